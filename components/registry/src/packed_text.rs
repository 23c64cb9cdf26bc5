//! Compresses configuration texts.
//!
//! A text is compressed once, by the control host that receives it, and is stored and sent in this
//! form: 2,000 routes take 400 KB uncompressed, and a host with a link of 2 Mbit/s would receive
//! them too late for the time in which a change has to be in force.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use ids::Blob;

/// Maximum size of a configuration text, enough for tens of thousands of routes.
pub const MAX_CONFIG_BYTES: usize = 3 * 1024 * 1024;

/// Why a text could not be decompressed.
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
    encoder.write_all(text).expect("writing to a Vec does not fail");
    encoder.finish().expect("writing to a Vec does not fail").into()
}

/// Decompresses a configuration text.
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
