//! Encodes and decodes messages between processes.

use ids::ByteSize;
use serde::{Serialize, de::DeserializeOwned};

/// The largest encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A received message could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum DecodeError {
    /// message of {0} bytes is too large
    TooLarge(usize),
    /// message is malformed: {0}
    Malformed(postcard::Error),
    /// message is followed by {0} stray bytes
    TrailingBytes(usize),
}

impl std::error::Error for DecodeError {}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages have no unsized parts")
}

/// The size of a message once it is encoded.
pub fn encoded_size<T: Serialize>(message: &T) -> ByteSize {
    let size = postcard::experimental::serialized_size(message);
    ByteSize(size.expect("messages have no unsized parts") as u64)
}

/// Decodes a message that fills `data` exactly.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, DecodeError> {
    if data.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLarge(data.len()));
    }
    let (message, rest) = postcard::take_from_bytes(data).map_err(DecodeError::Malformed)?;
    if !rest.is_empty() {
        return Err(DecodeError::TrailingBytes(rest.len()));
    }
    Ok(message)
}
