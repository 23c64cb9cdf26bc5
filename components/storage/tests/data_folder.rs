//! Completed writes survive a restart, and corrupt files are rejected.

use std::{
    fs::{self, OpenOptions},
    path::{Path, PathBuf},
};

use ids::{Blob, HostId, Incarnation, LogIndex, Term};
use schema::{
    consensus::{Entry, Members, Payload, Snapshot, Vote, VotedFor},
    storage::{Persisted, Record},
};
use storage::{Opened, Storage, StorageError};
use tempfile::TempDir;

const HOST: HostId = HostId(3);
const CASES: u64 = 60;

/// Random input per case, in bytes; arbtest takes it from the low half of the seed.
const CASE_BYTES: u64 = 150;

fn open(folder: &Path) -> Result<Opened, StorageError> {
    Storage::open(folder, HOST, Incarnation(77), false)
}

fn reopen(folder: &Path) -> Persisted {
    open(folder).unwrap().persisted
}

fn entry(index: u64, bytes: usize) -> Entry {
    let data = Blob::from(vec![index as u8 | 1; bytes]);
    Entry { index: LogIndex(index), term: Term(1), payload: Payload::Data(data) }
}

fn append(indices: impl Iterator<Item = u64>) -> Record {
    Record::Append(indices.map(|it| entry(it, 20)).collect())
}

fn vote(term: u64) -> Record {
    Record::Vote(Vote { term: Term(term), voted_for: VotedFor::Host(HOST) })
}

fn snapshot(index: u64) -> Snapshot {
    let members = Members { voters: Vec::new(), learners: Vec::new() };
    Snapshot { index: LogIndex(index), term: Term(1), members, data: Blob::from(vec![9; 100]) }
}

fn indices(persisted: &Persisted) -> Vec<u64> {
    persisted.entries.iter().map(|it| it.index.0).collect()
}

/// Returns a folder with a few synced writes, and the size of the log after each of them.
fn written_folder() -> (TempDir, Vec<u64>) {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    let mut sizes = vec![0];
    for record in [vote(1), append(1..=3), vote(2), append(4..=5)] {
        storage.write(&[record]).unwrap();
        sizes.push(log_len(folder.path()));
    }
    (folder, sizes)
}

fn log_path(folder: &Path) -> PathBuf {
    let names = fs::read_dir(folder).unwrap().map(|it| it.unwrap().path());
    names.filter(|it| it.file_name().unwrap().to_string_lossy().starts_with("log-")).max().unwrap()
}

fn log_len(folder: &Path) -> u64 {
    fs::metadata(log_path(folder)).unwrap().len()
}

fn copy_folder(folder: &Path) -> TempDir {
    let target = tempfile::tempdir().unwrap();
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        fs::copy(&path, target.path().join(path.file_name().unwrap())).unwrap();
    }
    target
}

#[test]
fn a_new_folder_is_empty_and_keeps_its_identity() {
    let folder = tempfile::tempdir().unwrap();
    let first = Storage::open(folder.path(), HOST, Incarnation(1), true).unwrap().persisted;
    let second = Storage::open(folder.path(), HOST, Incarnation(2), true).unwrap().persisted;

    assert_eq!(first.identity.disk, Incarnation(1));
    assert_eq!(second, first);
    assert!(second.identity.bootstrap);
    assert!(second.entries.is_empty());
}

#[test]
fn a_folder_with_a_log_is_not_bootstrapped_again() {
    let (folder, _) = written_folder();

    let opened = Storage::open(folder.path(), HOST, Incarnation(1), true).unwrap();

    assert!(!opened.persisted.identity.bootstrap);
}

#[test]
fn a_second_process_and_another_host_are_rejected() {
    let (folder, _) = written_folder();
    let other = Storage::open(folder.path(), HostId(4), Incarnation(1), false);
    assert!(matches!(other, Err(StorageError::OtherHost { owner: HOST, .. })));

    let _first = open(folder.path()).unwrap();

    assert!(matches!(open(folder.path()), Err(StorageError::Locked(_))));
}

#[test]
fn a_log_truncated_at_any_byte_keeps_all_complete_writes() {
    let (folder, sizes) = written_folder();
    let original = reopen(folder.path());

    for len in 0..*sizes.last().unwrap() {
        let truncated = copy_folder(folder.path());
        let file = OpenOptions::new().write(true).open(log_path(truncated.path())).unwrap();
        file.set_len(len).unwrap();

        let persisted = reopen(truncated.path());

        let writes = sizes.iter().filter(|it| **it <= len).count() - 1;
        let expected = [0, 0, 3, 3][writes];
        assert_eq!(persisted.entries, original.entries[..expected], "truncated to {len}");
        let mut storage = open(truncated.path()).unwrap().storage;
        storage.write(&[append(expected as u64 + 1..=9)]).unwrap();
        drop(storage);
        assert_eq!(
            indices(&reopen(truncated.path())),
            (1..=9).collect::<Vec<_>>(),
            "truncated to {len}"
        );
    }
}

#[test]
fn a_corrupt_byte_is_reported_with_its_file_and_offset() {
    let (folder, sizes) = written_folder();
    let original = fs::read(log_path(folder.path())).unwrap();

    for position in 0..original.len() {
        for change in [1, original[position]] {
            let corrupt = copy_folder(folder.path());
            let mut data = original.clone();
            data[position] ^= change;
            if data == original {
                continue;
            }
            fs::write(log_path(corrupt.path()), &data).unwrap();

            let result = open(corrupt.path());

            let Err(StorageError::Corrupt { path, offset }) = result.map(|it| it.persisted) else {
                panic!("byte {position} changed by {change} is not detected");
            };
            assert_eq!(path, log_path(corrupt.path()));
            let start = sizes.iter().rev().find(|it| **it <= position as u64).unwrap();
            assert_eq!(offset, *start, "byte {position}");
        }
    }
}

#[test]
fn unwritten_sectors_are_truncated() {
    let (folder, _) = written_folder();
    let original = reopen(folder.path());
    let mut data = fs::read(log_path(folder.path())).unwrap();
    data.resize(data.len() + 4096, 0);
    fs::write(log_path(folder.path()), &data).unwrap();

    assert_eq!(reopen(folder.path()), original);
}

#[test]
fn a_corrupt_snapshot_or_identity_is_rejected() {
    let (folder, _) = written_folder();
    open(folder.path()).unwrap().storage.save_snapshot(&snapshot(4)).unwrap();

    for name in ["snapshot", "identity"] {
        let original = fs::read(folder.path().join(name)).unwrap();
        for position in 0..original.len() {
            let corrupt = copy_folder(folder.path());
            let mut data = original.clone();
            data[position] ^= 0x55;
            fs::write(corrupt.path().join(name), &data).unwrap();

            let result = open(corrupt.path()).map(|it| it.persisted);

            assert!(matches!(result, Err(StorageError::Corrupt { .. })), "{name} {position}");
        }
    }
}

#[test]
fn a_missing_snapshot_or_identity_is_rejected() {
    for name in ["snapshot", "identity"] {
        let (folder, _) = written_folder();
        open(folder.path()).unwrap().storage.save_snapshot(&snapshot(4)).unwrap();
        fs::remove_file(folder.path().join(name)).unwrap();

        assert!(open(folder.path()).is_err(), "without {name}");
    }
}

#[test]
fn a_crash_between_snapshot_and_log_rewrite_loses_nothing() {
    let (folder, _) = written_folder();
    let before = copy_folder(folder.path());
    open(folder.path()).unwrap().storage.save_snapshot(&snapshot(4)).unwrap();
    fs::copy(folder.path().join("snapshot"), before.path().join("snapshot")).unwrap();

    let interrupted = reopen(before.path());
    let completed = reopen(folder.path());

    assert_eq!(interrupted, completed);
    assert_eq!(indices(&completed), [5]);
    assert_eq!(completed.vote.term, Term(2));
}

#[test]
fn a_crash_before_old_segments_are_removed_loses_nothing() {
    let (folder, _) = written_folder();
    let before = copy_folder(folder.path());
    open(folder.path()).unwrap().storage.save_snapshot(&snapshot(4)).unwrap();
    let completed = reopen(folder.path());
    fs::copy(log_path(before.path()), folder.path().join("log-0000000000000001")).unwrap();

    assert_eq!(reopen(folder.path()), completed);
}

#[test]
fn a_missing_segment_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    for index in 1..=12 {
        storage.write(&[Record::Append(vec![entry(index, 3_000_000)])]).unwrap();
    }
    drop(storage);
    fs::remove_file(folder.path().join("log-0000000000000001")).unwrap();

    assert!(matches!(open(folder.path()), Err(StorageError::MissingEntries(LogIndex(1), _))));
}

#[test]
fn large_logs_are_split_into_segments_and_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    for index in 1..=12 {
        storage.write(&[Record::Append(vec![entry(index, 3_000_000)])]).unwrap();
    }
    drop(storage);

    let files = fs::read_dir(folder.path()).unwrap().count();

    assert!(files >= 5, "{files} files");
    assert_eq!(indices(&reopen(folder.path())), (1..=12).collect::<Vec<_>>());
}

/// Writes random records and compares the reopened folder with the expected state.
#[test]
fn random_records_are_read_back() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let folder = tempfile::tempdir().unwrap();
            let mut storage = open(folder.path()).unwrap().storage;
            let (mut first, mut last, mut term) = (1, 0, 0);
            while !u.is_empty() {
                match u.int_in_range(0..=9)? {
                    0..5 => {
                        let count = u.int_in_range(1..=4)?;
                        storage.write(&[append(last + 1..=last + count)]).unwrap();
                        last += count;
                    }
                    5..7 => {
                        term += 1;
                        storage.write(&[vote(term)]).unwrap();
                    }
                    7 if last >= first => {
                        let from = u.int_in_range(first..=last)?;
                        storage.write(&[Record::Truncate(LogIndex(from))]).unwrap();
                        last = from - 1;
                    }
                    8 if last >= first => {
                        let index = u.int_in_range(first..=last + 3)?;
                        storage.save_snapshot(&snapshot(index)).unwrap();
                        first = index + 1;
                        last = last.max(index);
                    }
                    _ => {
                        drop(storage);
                        storage = open(folder.path()).unwrap().storage;
                    }
                }
            }
            drop(storage);
            let persisted = reopen(folder.path());
            assert_eq!(indices(&persisted), (first..=last).collect::<Vec<_>>());
            assert_eq!(persisted.vote.term, Term(term));
            assert_eq!(persisted.snapshot.index, LogIndex(first - 1));
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Makes the next write of a file that replaces `name` fail for want of room.
fn refuse_next_replacement(folder: &Path, name: &str) {
    let path = folder.join(name).with_extension("tmp");
    std::os::unix::fs::symlink("/dev/full", path).unwrap();
}

#[test]
fn a_snapshot_without_room_is_taken_back_and_writes_continue_after_a_recovery() {
    let (folder, _) = written_folder();
    let mut storage = open(folder.path()).unwrap().storage;
    refuse_next_replacement(folder.path(), "snapshot");

    let error = storage.save_snapshot(&snapshot(4)).unwrap_err();
    let while_full = storage.last_written().unwrap();
    let recovered = storage.recover().unwrap();
    storage.write(&[append(6..=6)]).unwrap();

    assert!(error.is_disk_full(), "{error}");
    assert_eq!(while_full, recovered);
    drop(storage);
    assert_eq!(indices(&reopen(folder.path())), [1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_log_that_cannot_be_rewritten_keeps_the_snapshot_and_the_entries_after_it() {
    let (folder, _) = written_folder();
    let mut storage = open(folder.path()).unwrap().storage;
    refuse_next_replacement(folder.path(), "log-0000000000000002");

    let error = storage.save_snapshot(&snapshot(4)).unwrap_err();
    let while_full = storage.last_written().unwrap();
    let after_crash = reopen(copy_folder(folder.path()).path());
    let recovered = storage.recover().unwrap();

    assert!(error.is_disk_full(), "{error}");
    assert_eq!(while_full.snapshot.index, LogIndex(4));
    assert_eq!(indices(&while_full), [5]);
    assert_eq!((indices(&after_crash), indices(&recovered)), (vec![5], vec![5]));
}

#[test]
fn a_disk_without_room_is_not_recovered() {
    let (folder, _) = written_folder();
    let mut storage = open(folder.path()).unwrap().storage;
    refuse_next_replacement(folder.path(), "snapshot");
    storage.save_snapshot(&snapshot(4)).unwrap_err();
    refuse_next_replacement(folder.path(), "probe");

    assert!(storage.recover().unwrap_err().is_disk_full());

    assert!(matches!(storage.write(&[vote(9)]), Err(StorageError::Poisoned)));
    storage.recover().unwrap();
    storage.write(&[vote(9)]).unwrap();
}
