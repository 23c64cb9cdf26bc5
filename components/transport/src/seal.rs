//! Adds a MAC (keyed BLAKE3) to frames and verifies it.

use schema::{DecodeError, peer::PeerFrame};

use crate::FleetKeys;

/// Length of the MAC in front of each frame, in bytes.
pub(crate) const MAC_BYTES: usize = 16;

/// Why sealed data was rejected.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum OpenError {
    /// the data is shorter than a MAC
    TooShort,
    /// the MAC matches no key of the fleet
    BadMac,
    /// {0}
    Decode(DecodeError),
}

impl std::error::Error for OpenError {}

/// Encodes a frame and prepends its MAC.
pub fn seal(keys: &FleetKeys, frame: &PeerFrame) -> Vec<u8> {
    let body = schema::encode(frame);
    let mut data = Vec::with_capacity(MAC_BYTES + body.len());
    data.extend_from_slice(&mac(keys.signing_key(), &body));
    data.extend_from_slice(&body);
    data
}

/// Verifies the MAC and decodes the frame.
pub fn open(keys: &FleetKeys, data: &[u8]) -> Result<PeerFrame, OpenError> {
    let (received, body) = data.split_at_checked(MAC_BYTES).ok_or(OpenError::TooShort)?;
    if !keys.verification_keys().iter().any(|it| constant_time_eq(&mac(it, body), received)) {
        return Err(OpenError::BadMac);
    }
    schema::decode(body).map_err(OpenError::Decode)
}

fn mac(key: &[u8; 32], body: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&blake3::keyed_hash(key, body).as_bytes()[..MAC_BYTES]);
    mac
}

/// Compares in constant time, so that timing reveals nothing about the expected MAC.
fn constant_time_eq(a: &[u8; MAC_BYTES], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
