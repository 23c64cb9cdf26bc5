//! Compresses configuration texts.
//!
//! A text is compressed once, where it is put, and travels and is stored like that: 2,000 routes are
//! 400 KB, which a host with a link of 2 Mbit/s would wait for longer than a change may take.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use ids::Blob;

/// Largest configuration text, in bytes: tens of thousands of routes.
pub const MAX_CONFIG_BYTES: usize = 3 * 1024 * 1024;

/// A compressed text could not be read.
#[derive(Debug, displaydoc::Display)]
pub enum UnpackError {
    /// the text is larger than 3 MiB
    TooLarge,
    /// the text cannot be decompressed: {0}
    Malformed(io::Error),
}

impl std::error::Error for UnpackError {}

/// Compresses a configuration text.
pub fn pack_text(text: &[u8]) -> Blob {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(text).expect("memory takes all that is written");
    encoder.finish().expect("memory takes all that is written").into()
}

/// The text as it was put.
pub fn unpack_text(packed: &Blob) -> Result<Vec<u8>, UnpackError> {
    let mut text = Vec::new();
    let limit = MAX_CONFIG_BYTES as u64 + 1;
    let mut decoder = DeflateDecoder::new(packed.as_slice()).take(limit);
    decoder.read_to_end(&mut text).map_err(UnpackError::Malformed)?;
    if text.len() > MAX_CONFIG_BYTES {
        return Err(UnpackError::TooLarge);
    }
    Ok(text)
}
