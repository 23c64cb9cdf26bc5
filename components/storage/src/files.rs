//! Atomic and durable operations on files and folders.

use std::{
    fs::{self, File},
    io::Write,
    path::Path,
};

use crate::error::StorageError;

/// Creates a folder if it does not exist, and syncs its parent.
pub(crate) fn create_folder(folder: &Path) -> Result<(), StorageError> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(StorageError::io(folder))?;
    match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => sync_folder(parent),
        _ => sync_folder(Path::new(".")),
    }
}

/// Replaces a file atomically: writes and syncs a temporary file, then renames it.
pub(crate) fn replace_atomically(path: &Path, data: &[u8]) -> Result<(), StorageError> {
    let temporary = path.with_extension("tmp");
    if let Err(e) = write_synced(&temporary, data) {
        // The remains of a failed write would take room on a full disk. If they can't be removed,
        // the next write replaces them.
        let _ = fs::remove_file(&temporary);
        return Err(e);
    }
    fs::rename(&temporary, path).map_err(StorageError::io(path))?;
    sync_folder(path.parent().expect("a file has a parent folder"))
}

fn write_synced(path: &Path, data: &[u8]) -> Result<(), StorageError> {
    let mut file = File::create(path).map_err(StorageError::io(path))?;
    file.write_all(data).map_err(StorageError::io(path))?;
    file.sync_all().map_err(StorageError::io(path))
}

/// Syncs a folder so that created, renamed and removed files in it survive a crash.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let file = File::open(folder).map_err(StorageError::io(folder))?;
    file.sync_all().map_err(StorageError::io(folder))
}
