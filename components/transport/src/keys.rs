//! The keys that hosts of a fleet share.

use std::fmt;

/// Length of a key, in bytes.
const KEY_BYTES: usize = 32;

/// The keys of a fleet: the first one signs, all of them are accepted.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<[u8; KEY_BYTES]>,
}

/// A key file could not be used.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum KeyError {
    /// the key file must hold one or two keys, one a line
    BadCount,
    /// line {0} of the key file is not a key of 64 hexadecimal digits
    BadKey(usize),
}

impl std::error::Error for KeyError {}

impl FleetKeys {
    /// Reads keys of 64 hexadecimal digits, one a line; `#` starts a comment line.
    ///
    /// Two keys are in use while a key is being rotated.
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

    /// Keys that everybody knows, for fleets whose hosts are handed no secret.
    ///
    /// They still tell damaged messages from whole ones, but keep no stranger out.
    pub fn public() -> Self {
        Self { keys: vec![[0; KEY_BYTES]] }
    }

    /// The key that signs.
    pub(crate) fn signing(&self) -> &[u8; KEY_BYTES] {
        &self.keys[0]
    }

    /// All keys that are accepted.
    pub(crate) fn accepted(&self) -> &[[u8; KEY_BYTES]] {
        &self.keys
    }
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKeys({} keys)", self.keys.len())
    }
}
