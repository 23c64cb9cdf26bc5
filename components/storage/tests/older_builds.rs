//! A data folder that an older build has written is read, and what is written can be read by it: a host
//! can be replaced by a newer build and go back with its disk.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use ids::{Blob, HostId, Incarnation, LogIndex, Term};
use schema::{
    consensus::{Entry, Member, Members, Payload, Snapshot, Vote, VotedFor},
    storage::{Persisted, Record},
};
use storage::Storage;

const HOST: HostId = HostId(3);

/// The files of a data folder that the build of commit 287041c has written as [`write_folder`] does.
fn recorded_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/287041c")
}

fn members() -> Members {
    let voters = (1..=3).map(|it| Member { host: HostId(it), disk: Incarnation(70) }).collect();
    Members { voters, learners: vec![Member { host: HostId(4), disk: Incarnation(71) }] }
}

fn entry(index: u64) -> Entry {
    let payload = match index % 3 {
        0 => Payload::Noop,
        1 => Payload::Members(members()),
        _ => Payload::Data(Blob::from(vec![index as u8; 20])),
    };
    Entry { index: LogIndex(index), term: Term(2), payload }
}

fn append(indices: impl Iterator<Item = u64>) -> Record {
    Record::Append(indices.map(entry).collect())
}

/// Writes a snapshot and records of each kind.
fn write_folder(folder: &Path) {
    let mut storage = Storage::open(folder, HOST, Incarnation(77), true).unwrap().storage;
    let vote = Vote { term: Term(2), voted_for: VotedFor::Host(HostId(1)) };
    storage.write(&[Record::Promise(Incarnation(70)), Record::Vote(vote)]).unwrap();
    storage.write(&[append(1..=6)]).unwrap();
    let data = Blob::from(vec![9; 50]);
    let snapshot = Snapshot { index: LogIndex(3), term: Term(2), members: members(), data };
    storage.save_snapshot(&snapshot).unwrap();
    storage.write(&[Record::Truncate(LogIndex(6)), append(6..=8)]).unwrap();
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = fs::read_dir(folder).unwrap().map(|it| it.unwrap().path());
    let read = |it: PathBuf| {
        (it.file_name().unwrap().to_string_lossy().into_owned(), fs::read(&it).unwrap())
    };
    files.filter(|it| it.is_file()).map(read).filter(|(name, _)| name != "lock").collect()
}

fn read_folder(folder: &Path) -> Persisted {
    Storage::open(folder, HOST, Incarnation(99), false).unwrap().persisted
}

#[test]
fn a_folder_is_written_as_the_older_build_writes_it() {
    let folder = tempfile::tempdir().unwrap();

    write_folder(folder.path());

    assert_eq!(files(folder.path()), files(&recorded_folder()));
}

#[test]
fn a_folder_of_the_older_build_is_read_whole() {
    let folder = tempfile::tempdir().unwrap();
    for (name, data) in files(&recorded_folder()) {
        fs::write(folder.path().join(name), data).unwrap();
    }

    let persisted = read_folder(folder.path());

    assert_eq!((persisted.identity.host, persisted.identity.disk), (HOST, Incarnation(77)));
    assert_eq!((persisted.promised, persisted.vote.term), (Incarnation(70), Term(2)));
    assert_eq!(persisted.snapshot.index, LogIndex(3));
    assert_eq!(persisted.entries, (4..=8).map(entry).collect::<Vec<_>>());
}
