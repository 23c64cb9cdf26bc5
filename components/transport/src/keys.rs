//! Shared secret keys that authenticate messages between the hosts of a fleet.

use std::fmt;

/// Length of a key, in bytes.
const KEY_BYTES: usize = 32;

/// The MAC keys of a fleet: the first one signs, and each of them verifies.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<[u8; KEY_BYTES]>,
}

/// Why a key file is invalid.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum KeyError {
    /// the key file must contain one or two keys, one per line
    BadCount,
    /// line {0} of the key file is not a key of 64 hexadecimal digits
    BadKey(usize),
}

impl std::error::Error for KeyError {}

impl FleetKeys {
    /// Parses keys of 64 hexadecimal digits, one per line; `#` starts a comment line.
    ///
    /// A second key is present only during a key rotation.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut keys = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let digest: ids::ContentDigest = line.parse().map_err(|_| KeyError::BadKey(i + 1))?;
            keys.push(digest.0);
        }
        if keys.is_empty() || keys.len() > 2 {
            return Err(KeyError::BadCount);
        }
        Ok(Self { keys })
    }

    /// Returns a fixed, publicly known key, for fleets without a shared secret.
    ///
    /// Its MAC detects corrupted messages but does not authenticate the sender.
    pub fn unauthenticated() -> Self {
        Self { keys: vec![[0; KEY_BYTES]] }
    }

    /// The key that signs outgoing messages.
    pub(crate) fn signing_key(&self) -> &[u8; KEY_BYTES] {
        &self.keys[0]
    }

    /// The keys that verify received messages.
    pub(crate) fn verification_keys(&self) -> &[[u8; KEY_BYTES]] {
        &self.keys
    }
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKeys({} keys)", self.keys.len())
    }
}
