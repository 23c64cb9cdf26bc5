//! BLAKE3 digests of contents, idempotency keys and requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::ParseIdError;

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident, $len:literal, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub [u8; $len]);

        impl $name {
            /// Computes the digest of `data`.
            pub fn of(data: &[u8]) -> Self {
                let mut bytes = [0; $len];
                bytes.copy_from_slice(&blake3::hash(data).as_bytes()[..$len]);
                Self(bytes)
            }

            /// Computes the digest of the data that `parts` make up together.
            pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
                let mut hasher = blake3::Hasher::new();
                for part in parts {
                    hasher.update(part);
                }
                let mut bytes = [0; $len];
                bytes.copy_from_slice(&hasher.finalize().as_bytes()[..$len]);
                Self(bytes)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let error = || ParseIdError::BadDigest($what, $len * 2);
                if text.len() != $len * 2 || !text.is_ascii() {
                    return Err(error());
                }
                let mut bytes = [0; $len];
                for (i, byte) in bytes.iter_mut().enumerate() {
                    let digits = &text[i * 2..i * 2 + 2];
                    *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
                }
                Ok(Self(bytes))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                serializer.serialize_bytes(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct DigestVisitor;

                impl de::Visitor<'_> for DigestVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($what)
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }

                    fn visit_bytes<E: de::Error>(self, data: &[u8]) -> Result<$name, E> {
                        let bytes =
                            data.try_into().map_err(|_| E::invalid_length(data.len(), &self))?;
                        Ok($name(bytes))
                    }
                }

                if deserializer.is_human_readable() {
                    return deserializer.deserialize_str(DigestVisitor);
                }
                deserializer.deserialize_bytes(DigestVisitor)
            }
        }
    };
}

digest_type!(
    /// Digest of content such as a configuration text, a fragment of it or an audit record.
    ContentDigest, 32, "content digest"
);
digest_type!(
    /// Digest of an idempotency key together with its organisation and service.
    KeyDigest, 16, "key digest"
);
digest_type!(
    /// Digest of a request's method, path with query, and body; equal for repeated requests.
    Fingerprint, 16, "fingerprint"
);
