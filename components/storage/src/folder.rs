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
    frame::{self, ReadResult},
    log_state::LogState,
    segment::{self, Segment},
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const PROBE_FILE: &str = "probe";

/// Size of the file that tests whether the disk takes writes again, in bytes: room for a few
/// hundred changes.
const PROBE_BYTES: usize = 64 * 1024;

/// Size at which a new segment is started, in bytes.
const MAX_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

/// An open data folder, locked by this process.
pub struct Storage {
    folder: PathBuf,
    identity: Identity,
    segment: Segment,
    /// The state that the records on disk describe.
    log: LogState,
    is_poisoned: bool,
    /// Locks the folder against other processes until it is dropped.
    _lock: File,
}

/// An opened data folder and its contents.
pub struct Opened {
    /// The folder, open for writing.
    pub storage: Storage,
    /// The contents of the folder.
    pub persisted: Persisted,
}

impl Storage {
    /// Opens the folder of a host, or creates it with the disk identity `new_disk`.
    ///
    /// `bootstrap` marks the folder as part of a new cluster. It is ignored if the folder holds log
    /// entries or a snapshot.
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
        let snapshot = read_file(&folder.join(SNAPSHOT_FILE))?.unwrap_or_else(empty_snapshot);
        let log = replay_segments(folder, &segments, &snapshot)?;
        let is_empty = log.entries.is_empty() && snapshot.index == LogIndex(0);
        let identity = Identity { bootstrap: bootstrap && is_empty, ..identity };
        if known.as_ref() != Some(&identity) {
            files::replace_atomically(&identity_path, &encode_file(&identity))?;
        }
        let segment = match segments.last() {
            Some((number, path)) => Segment::open(path.clone(), *number)?,
            None => Segment::create(folder, 1, &[])?,
        };
        let persisted = log.persisted(identity.clone(), snapshot);
        let folder = folder.to_owned();
        let storage = Self { folder, identity, segment, log, is_poisoned: false, _lock: lock };
        Ok(Opened { storage, persisted })
    }

    /// Appends records to the log and syncs them.
    ///
    /// The records of one call are written atomically: after a crash, all or none of them are read.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StorageError> {
        self.poison_on_error(|storage| {
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

    /// Replaces the snapshot and discards the log entries that it covers.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.poison_on_error(|storage| {
            let path = storage.folder.join(SNAPSHOT_FILE);
            files::replace_atomically(&path, &encode_file(snapshot))?;
            storage.log.discard_through(snapshot.index);
            storage.log.base = snapshot.index;
            storage.rewrite_log()
        })
    }

    /// Returns the contents as of the last complete write. It writes nothing, so that it also works
    /// after a failed one.
    pub fn last_written(&mut self) -> Result<Persisted, StorageError> {
        let snapshot = read_file(&self.folder.join(SNAPSHOT_FILE))?.unwrap_or_else(empty_snapshot);
        // A failed write may have replaced the snapshot but not the log.
        if !self.log.discard_through(snapshot.index) {
            let first = snapshot.index.next();
            return Err(StorageError::MissingEntries(first, self.folder.clone()));
        }
        self.log.base = self.log.base.max(snapshot.index);
        Ok(self.log.persisted(self.identity.clone(), snapshot))
    }

    /// Makes the folder usable again after a failed write, once the disk takes writes.
    ///
    /// All that was written completely goes to a new segment, so that remains of the failed write
    /// are never read.
    pub fn recover(&mut self) -> Result<Persisted, StorageError> {
        let probe = self.folder.join(PROBE_FILE);
        files::replace_atomically(&probe, &[0; PROBE_BYTES])?;
        fs::remove_file(&probe).map_err(StorageError::io(&probe))?;
        let persisted = self.last_written()?;
        self.rewrite_log()?;
        self.is_poisoned = false;
        Ok(persisted)
    }

    /// Writes the current state to a new segment and removes the older segments.
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

    /// Runs a write and rejects all further ones if it fails, since it may be partly on disk.
    fn poison_on_error(
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

fn replay_segments(
    folder: &Path,
    segments: &[(u64, PathBuf)],
    snapshot: &Snapshot,
) -> Result<LogState, StorageError> {
    let mut log = LogState::new();
    for (i, (_, path)) in segments.iter().enumerate() {
        let is_last = i + 1 == segments.len();
        segment::read(path, is_last)?.into_iter().for_each(|it| log.apply(it));
    }
    if snapshot.index < log.base {
        return Err(StorageError::MissingSnapshot(log.base, folder.to_owned()));
    }
    if !log.discard_through(snapshot.index) {
        return Err(StorageError::MissingEntries(snapshot.index.next(), folder.to_owned()));
    }
    Ok(log)
}

fn empty_snapshot() -> Snapshot {
    let members = Members { voters: Vec::new(), learners: Vec::new() };
    Snapshot { index: LogIndex(0), term: Term(0), members, data: Blob::default() }
}

fn encode_file<T: Serialize>(value: &T) -> Vec<u8> {
    frame::encode(&schema::encode(value))
}

/// Reads a file that consists of one frame; `None` if the file does not exist.
fn read_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    if !path.exists() {
        return Ok(None);
    }
    let data = fs::read(path).map_err(StorageError::io(path))?;
    let corrupt = || StorageError::Corrupt { path: path.to_owned(), offset: 0 };
    let ReadResult::Frame { payload, end } = frame::read(&data, 0) else {
        return Err(corrupt());
    };
    if end != data.len() {
        return Err(corrupt());
    }
    postcard::from_bytes(payload).map(Some).map_err(|_| corrupt())
}
