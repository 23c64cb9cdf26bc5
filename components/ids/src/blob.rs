//! Opaque binary data in messages.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Opaque binary data; clones share one buffer.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Blob(bytes::Bytes);

impl Blob {
    /// Returns the data as a slice.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// Returns the data, sharing the buffer.
    pub fn to_bytes(&self) -> bytes::Bytes {
        self.0.clone()
    }
}

impl From<Vec<u8>> for Blob {
    fn from(data: Vec<u8>) -> Self {
        Self(data.into())
    }
}

impl From<bytes::Bytes> for Blob {
    fn from(data: bytes::Bytes) -> Self {
        Self(data)
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({} bytes)", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct BlobVisitor;

        impl<'de> de::Visitor<'de> for BlobVisitor {
            type Value = Blob;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: de::Error>(self, data: &[u8]) -> Result<Blob, E> {
                Ok(Blob(bytes::Bytes::copy_from_slice(data)))
            }

            fn visit_byte_buf<E: de::Error>(self, data: Vec<u8>) -> Result<Blob, E> {
                Ok(data.into())
            }

            fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Blob, A::Error> {
                let mut data = Vec::new();
                while let Some(byte) = seq.next_element()? {
                    data.push(byte);
                }
                Ok(data.into())
            }
        }

        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}
