//! Errors of the data folder.

use std::{io, path::PathBuf};

use ids::{HostId, LogIndex};

/// Errors of reading or writing the data folder.
#[derive(Debug, displaydoc::Display)]
pub enum StorageError {
    /// {path:?}: {source}
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// {0:?} is in use by another process
    Locked(PathBuf),
    /// {path:?} is corrupt at byte {offset}
    Corrupt {
        /// The corrupt file.
        path: PathBuf,
        /// Offset of the first corrupt record, in bytes.
        offset: u64,
    },
    /// {path:?} belongs to host {owner}, not to host {host}
    OtherHost {
        /// The data folder.
        path: PathBuf,
        /// The host that created the folder.
        owner: HostId,
        /// The host that tried to open the folder.
        host: HostId,
    },
    /// the log entries from {0} on are incomplete in {1:?}
    MissingEntries(LogIndex, PathBuf),
    /// a snapshot at index {0} or later is missing in {1:?}
    MissingSnapshot(LogIndex, PathBuf),
    /// an earlier write failed; the data folder must be reopened
    Poisoned,
}

impl std::error::Error for StorageError {}

impl StorageError {
    /// Returns whether the disk has no room, which may pass.
    pub fn is_disk_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, ReadOnlyFilesystem, StorageFull};
        let Self::Io { source, .. } = self else { return false };
        matches!(source.kind(), StorageFull | QuotaExceeded | ReadOnlyFilesystem | FileTooLarge)
    }

    pub(crate) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { path, source }
    }
}
