//! Why the data folder could not be read or written.

use std::{io, path::PathBuf};

use ids::{HostId, LogIndex};

/// Why the data folder could not be read or written.
#[derive(Debug, displaydoc::Display)]
pub enum StorageError {
    /// {path:?}: {source}
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// {0:?} is in use by another process
    Locked(PathBuf),
    /// {path:?} is damaged at byte {offset}
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the first damaged record starts.
        offset: u64,
    },
    /// {path:?} belongs to host {owner}, not to host {host}
    OtherHost {
        /// The folder.
        path: PathBuf,
        /// The host that it was created by.
        owner: HostId,
        /// The host that opens it.
        host: HostId,
    },
    /// {1:?} lacks the entries from {0} on
    MissingEntries(LogIndex, PathBuf),
    /// {1:?} lacks a snapshot of entry {0} or later
    MissingSnapshot(LogIndex, PathBuf),
    /// an earlier write failed; the data folder must be opened anew
    Poisoned,
}

impl std::error::Error for StorageError {}

impl StorageError {
    pub(crate) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { path, source }
    }
}
