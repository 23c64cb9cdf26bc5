//! Names chosen by operators, callers and backend servers.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::ParseIdError;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal, $max:expr, $allowed:expr) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                if text.is_empty() {
                    return Err(ParseIdError::Empty($what));
                }
                if text.len() > $max {
                    return Err(ParseIdError::TooLong($what, $max));
                }
                if !text.chars().all($allowed) {
                    return Err(ParseIdError::BadCharacter($what));
                }
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_graphic()
}

name_type!(
    /// Name of a service in the configuration text.
    ServiceName, "service name", MAX_NAME_BYTES, is_name_char
);
name_type!(
    /// Name of an organisation that callers belong to.
    OrganisationName, "organisation name", MAX_NAME_BYTES, is_name_char
);
name_type!(
    /// Name of a region.
    RegionName, "region name", MAX_NAME_BYTES, is_name_char
);
name_type!(
    /// Name of a data centre.
    DataCentreName, "data centre name", MAX_NAME_BYTES, is_name_char
);
name_type!(
    /// Id of a backend server, chosen by the server and sent in its announcements.
    ServerId, "server id", MAX_NAME_BYTES, is_name_char
);
name_type!(
    /// Value of a caller's `Idempotency-Key` header, without the quotes.
    IdempotencyKey, "idempotency key", MAX_KEY_BYTES, is_key_char
);
