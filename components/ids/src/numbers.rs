//! Numbered ids, sizes and rates.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::{Millis, ParseIdError};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $int:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Returns the next number, saturating at the maximum.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map(Self).map_err(|_| ParseIdError::BadNumber($what))
            }
        }
    };
}

number_type!(
    /// Id of an entry host or control host of the fleet.
    HostId, u32, "host id"
);
number_type!(
    /// Version of a configuration text, set by operators.
    ConfigVersion, u64, "configuration version"
);
number_type!(
    /// Incarnation of a host or backend server: higher after each restart, so that what it says
    /// replaces that of earlier incarnations.
    Incarnation, u64, "incarnation"
);
number_type!(
    /// Term of the replicated log; each has at most one leader.
    Term, u64, "term"
);
number_type!(
    /// Index of an entry in the replicated log; the first is 1.
    LogIndex, u64, "log index"
);
number_type!(
    /// Epoch of the claim map or of one of its shards.
    Epoch, u64, "epoch"
);
number_type!(
    /// Id of a request, unique within the process of one host.
    RequestId, u64, "request id"
);
number_type!(
    /// Id of a client's connection, unique within the process of one host.
    ClientId, u64, "client id"
);
number_type!(
    /// Number of an attempt of a request, from 0.
    AttemptNumber, u32, "attempt number"
);
number_type!(
    /// Number of an ask for a loan of retries, unique within the process of one host.
    LoanNumber, u64, "loan number"
);
number_type!(
    /// An amount of retries, in thousandths of a retry.
    RetryCredit, u64, "retry credit"
);
number_type!(
    /// Number of a message about the limit of a backend server that expects an answer, unique within
    /// the process of one host.
    PermitNumber, u64, "permit number"
);
number_type!(
    /// The limit that a backend server names, in thousandths of a request per second.
    LimitRate, u64, "limit rate"
);
number_type!(
    /// A size in bytes.
    ByteSize, u64, "byte size"
);
number_type!(
    /// A rate in bytes per second.
    ByteRate, u64, "byte rate"
);
number_type!(
    /// A rate in requests per second.
    RequestRate, u32, "request rate"
);

macro_rules! whole_number_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        ///
        /// Texts may write it with a decimal point.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return u32::deserialize(deserializer).map(Self);
                }
                let value = f64::deserialize(deserializer)?;
                let is_count = value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value);
                match is_count {
                    true => Ok(Self(value as u32)),
                    false => Err(de::Error::custom(ParseIdError::BadNumber($what))),
                }
            }
        }
    };
}

whole_number_type!(
    /// A number of disks.
    DiskCount, "number of disks"
);
whole_number_type!(
    /// A number of file descriptors.
    DescriptorCount, "number of descriptors"
);
whole_number_type!(
    /// A size in megabytes of 1,000,000 bytes.
    Megabytes, "number of megabytes"
);

/// The slowest transfer rate that the fleet is designed for: half of the 2 Mbit/s link of the
/// smallest hosts, since requests share that link.
pub const MIN_LINK_RATE: ByteRate = ByteRate(125_000);

impl ByteRate {
    /// Returns the time that a transfer of `size` takes, rounded down.
    pub fn transfer_time(self, size: ByteSize) -> Millis {
        Millis(size.0.saturating_mul(1_000) / self.0.max(1))
    }
}
