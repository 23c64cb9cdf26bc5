//! Encodes and decodes messages between processes, in the postcard format.

use ids::{ByteSize, ContentDigest};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of an encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a received message could not be decoded.
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
    postcard::to_stdvec(message).expect("all sequences in messages have a known length")
}

/// Returns the size that a message has when encoded.
pub fn encoded_size<T: Serialize>(message: &T) -> ByteSize {
    let size = postcard::experimental::serialized_size(message);
    ByteSize(size.expect("all sequences in messages have a known length") as u64)
}

/// Returns the digest of a record, for lists of which each party may hold another order.
///
/// The digest of a list is the exclusive or of those of its records.
pub fn record_digest<T: Serialize>(record: &T) -> u64 {
    let digest = ContentDigest::of(&encode(record));
    digest.0.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Returns the digest of a list, which does not depend on the order.
pub fn list_digest<'a, T: Serialize + 'a>(records: impl IntoIterator<Item = &'a T>) -> u64 {
    records.into_iter().fold(0, |sum, it| sum ^ record_digest(it))
}

/// Decodes a message; `data` must contain nothing else.
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
