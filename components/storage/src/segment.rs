//! Segments: numbered files that together hold the log as frames.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    path::{Path, PathBuf},
};

use schema::storage::Record;

use crate::{
    error::StorageError,
    files,
    frame::{self, ReadResult},
};

/// Prefix of segment file names.
const FILE_PREFIX: &str = "log-";

/// The newest segment, open for writing.
pub(crate) struct Segment {
    pub(crate) number: u64,
    pub(crate) bytes: u64,
    path: PathBuf,
    file: File,
}

impl Segment {
    /// Creates a segment that starts with the given records.
    pub(crate) fn create(
        folder: &Path,
        number: u64,
        records: &[Record],
    ) -> Result<Self, StorageError> {
        let path = folder.join(file_name(number));
        let data = if records.is_empty() { Vec::new() } else { encode(records) };
        files::replace_atomically(&path, &data)?;
        Self::open(path, number)
    }

    /// Opens a segment for appending.
    pub(crate) fn open(path: PathBuf, number: u64) -> Result<Self, StorageError> {
        let file = OpenOptions::new().append(true).open(&path).map_err(StorageError::io(&path))?;
        let bytes = file.metadata().map_err(StorageError::io(&path))?.len();
        Ok(Self { number, bytes, path, file })
    }

    /// Appends records as one frame and syncs it.
    pub(crate) fn write(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let data = encode(records);
        self.file.write_all(&data).map_err(StorageError::io(&self.path))?;
        self.file.sync_data().map_err(StorageError::io(&self.path))?;
        self.bytes += data.len() as u64;
        Ok(())
    }
}

/// Lists the segments of a folder in ascending order of their numbers.
pub(crate) fn list(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(folder).map_err(StorageError::io(folder))? {
        let path = entry.map_err(StorageError::io(folder))?.path();
        if let Some(number) = path.file_name().and_then(|it| parse_number(&it.to_string_lossy())) {
            segments.push((number, path));
        }
    }
    segments.sort_unstable();
    Ok(segments)
}

/// Reads the records of a segment; in the last segment, truncates a torn frame at the end.
pub(crate) fn read(path: &Path, is_last: bool) -> Result<Vec<Record>, StorageError> {
    let data = fs::read(path).map_err(StorageError::io(path))?;
    let corrupt =
        |offset: usize| StorageError::Corrupt { path: path.to_owned(), offset: offset as u64 };
    let mut records = Vec::new();
    let mut start = 0;
    loop {
        match frame::read(&data, start) {
            ReadResult::Frame { payload, end } => {
                let batch: Vec<Record> =
                    postcard::from_bytes(payload).map_err(|_| corrupt(start))?;
                records.extend(batch);
                start = end;
            }
            ReadResult::End => return Ok(records),
            ReadResult::Torn if is_last => {
                log::warn!(path:? = path, offset = start; "truncated a torn record");
                truncate(path, start as u64)?;
                return Ok(records);
            }
            ReadResult::Torn | ReadResult::Corrupt => return Err(corrupt(start)),
        }
    }
}

fn truncate(path: &Path, len: u64) -> Result<(), StorageError> {
    let file = OpenOptions::new().write(true).open(path).map_err(StorageError::io(path))?;
    file.set_len(len).map_err(StorageError::io(path))?;
    file.sync_all().map_err(StorageError::io(path))
}

fn encode(records: &[Record]) -> Vec<u8> {
    frame::encode(&schema::encode(&records))
}

fn file_name(number: u64) -> String {
    format!("{FILE_PREFIX}{number:016}")
}

fn parse_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(FILE_PREFIX)?;
    if digits.len() != 16 {
        return None;
    }
    digits.parse().ok()
}
