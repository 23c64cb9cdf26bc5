//! Opens the data folder and writes to it.

use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

use ids::{Blob, HostId, Incarnation, LogIndex, Term};
use schema::{
    consensus::{Members, Snapshot},
    storage::{Identity, Persisted, Record},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::StorageError,
    files,
    frame::{self, Found},
    replay::Replay,
    segment::{self, Segment},
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";

/// The size at which a new segment is begun, in bytes.
const MAX_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

/// The open data folder of one process.
pub struct Storage {
    folder: PathBuf,
    segment: Segment,
    /// What the records on disk describe, without the entries' commands being applied.
    log: Replay,
    is_poisoned: bool,
    /// Held until the process ends.
    _lock: File,
}

/// An opened data folder and all that it holds.
pub struct Opened {
    /// To write to the folder.
    pub storage: Storage,
    /// What the folder holds.
    pub persisted: Persisted,
}

impl Storage {
    /// Opens the folder of a host, or creates it with the identity `new_disk`.
    ///
    /// `bootstrap` marks a folder with an empty log as one of a cluster to be founded.
    pub fn open(
        folder: &Path,
        host: HostId,
        new_disk: Incarnation,
        bootstrap: bool,
    ) -> Result<Opened, StorageError> {
        files::create_folder(folder)?;
        let lock = lock(folder)?;
        let identity_path = folder.join(IDENTITY_FILE);
        let segments = segment::list(folder)?;
        let known: Option<Identity> = read_file(&identity_path)?;
        let identity = match &known {
            Some(identity) => identity.clone(),
            None if segments.is_empty() => Identity { host, disk: new_disk, bootstrap: false },
            None => return Err(StorageError::Corrupt { path: identity_path, offset: 0 }),
        };
        if identity.host != host {
            let (path, owner) = (folder.to_owned(), identity.host);
            return Err(StorageError::OtherHost { path, owner, host });
        }
        let snapshot = read_file(&folder.join(SNAPSHOT_FILE))?.unwrap_or_else(no_snapshot);
        let log = replay(folder, &segments, &snapshot)?;
        let is_empty = log.entries.is_empty() && snapshot.index == LogIndex(0);
        let identity = Identity { bootstrap: bootstrap && is_empty, ..identity };
        if known.as_ref() != Some(&identity) {
            files::replace(&identity_path, &encode_file(&identity))?;
        }
        let segment = match segments.last() {
            Some((number, path)) => Segment::open(path.clone(), *number)?,
            None => Segment::create(folder, 1, &[])?,
        };
        let persisted = Persisted {
            identity,
            promised: log.promised,
            vote: log.vote.clone(),
            snapshot,
            entries: log.entries.clone(),
        };
        let folder = folder.to_owned();
        let storage = Self { folder, segment, log, is_poisoned: false, _lock: lock };
        Ok(Opened { storage, persisted })
    }

    /// Adds records to the log; they are on disk when this returns.
    ///
    /// Records given at once are there together after a crash, or not at all.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StorageError> {
        self.guarded(|storage| {
            storage.segment.write(records)?;
            records.iter().for_each(|it| storage.log.apply(it.clone()));
            if storage.segment.bytes < MAX_SEGMENT_BYTES {
                return Ok(());
            }
            let number = storage.segment.number + 1;
            storage.segment = Segment::create(&storage.folder, number, &[])?;
            Ok(())
        })
    }

    /// Replaces the snapshot and drops the entries that it stands for.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.guarded(|storage| {
            let path = storage.folder.join(SNAPSHOT_FILE);
            files::replace(&path, &encode_file(snapshot))?;
            storage.log.start_after(snapshot.index);
            storage.log.base = snapshot.index;
            storage.rewrite_log()
        })
    }

    /// Begins a segment with all that is still needed and removes the older ones.
    fn rewrite_log(&mut self) -> Result<(), StorageError> {
        let log = &self.log;
        let records = [
            Record::Reset(log.base),
            Record::Promise(log.promised),
            Record::Vote(log.vote.clone()),
            Record::Append(log.entries.clone()),
        ];
        let number = self.segment.number + 1;
        self.segment = Segment::create(&self.folder, number, &records)?;
        for (older, path) in segment::list(&self.folder)? {
            if older < number {
                fs::remove_file(&path).map_err(StorageError::io(&path))?;
            }
        }
        files::sync_folder(&self.folder)
    }

    /// Refuses all further writes once one has failed, since it may have been written in part.
    fn guarded(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.is_poisoned {
            return Err(StorageError::Poisoned);
        }
        let result = write(self);
        self.is_poisoned = result.is_err();
        result
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(StorageError::io(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked(path)),
        Err(TryLockError::Error(source)) => Err(StorageError::Io { path, source }),
    }
}

fn replay(
    folder: &Path,
    segments: &[(u64, PathBuf)],
    snapshot: &Snapshot,
) -> Result<Replay, StorageError> {
    let mut log = Replay::new();
    for (i, (_, path)) in segments.iter().enumerate() {
        let is_last = i + 1 == segments.len();
        segment::read(path, is_last)?.into_iter().for_each(|it| log.apply(it));
    }
    if snapshot.index < log.base {
        return Err(StorageError::MissingSnapshot(log.base, folder.to_owned()));
    }
    if !log.start_after(snapshot.index) {
        return Err(StorageError::MissingEntries(snapshot.index.next(), folder.to_owned()));
    }
    Ok(log)
}

fn no_snapshot() -> Snapshot {
    let members = Members { voters: Vec::new(), learners: Vec::new() };
    Snapshot { index: LogIndex(0), term: Term(0), members, data: Blob::default() }
}

fn encode_file<T: Serialize>(value: &T) -> Vec<u8> {
    frame::encode(&schema::encode(value))
}

/// Reads a file that holds one frame; `None` when there is no file.
fn read_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    if !path.exists() {
        return Ok(None);
    }
    let data = fs::read(path).map_err(StorageError::io(path))?;
    let damaged = || StorageError::Corrupt { path: path.to_owned(), offset: 0 };
    let Found::Frame { payload, end } = frame::read(&data, 0) else {
        return Err(damaged());
    };
    if end != data.len() {
        return Err(damaged());
    }
    postcard::from_bytes(payload).map(Some).map_err(|_| damaged())
}
