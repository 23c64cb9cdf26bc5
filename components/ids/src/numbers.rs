//! Numbered ids, sizes and rates.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Millis, ParseIdError};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $int:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The number that follows; stays at the largest one.
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
    /// Numbers a host of the fleet, entry and control hosts alike.
    HostId, u32, "host id"
);
number_type!(
    /// The version that operators give a configuration text.
    ConfigVersion, u64, "configuration version"
);
number_type!(
    /// Counts the starts of a process or server; a higher one replaces a lower one.
    Incarnation, u64, "incarnation"
);
number_type!(
    /// A term of the replicated log; at most one leader is elected in each.
    Term, u64, "term"
);
number_type!(
    /// A position in the replicated log; the first entry has index 1.
    LogIndex, u64, "log index"
);
number_type!(
    /// A generation of the claim map.
    Epoch, u64, "epoch"
);
number_type!(
    /// Numbers a request within one entry host process.
    RequestId, u64, "request id"
);
number_type!(
    /// Numbers the attempts of one request, from 0.
    AttemptNumber, u32, "attempt number"
);
number_type!(
    /// A size in bytes.
    ByteSize, u64, "byte size"
);
number_type!(
    /// A rate in bytes a second.
    ByteRate, u64, "byte rate"
);
number_type!(
    /// A rate in requests a second.
    RequestRate, u32, "request rate"
);

/// The slowest link of a host that is planned for, in bytes a second: half of the 2 Mbit/s of the
/// smallest hosts, since requests share it.
pub const SLOWEST_LINK: ByteRate = ByteRate(125_000);

impl ByteRate {
    /// How long `size` takes at this rate.
    pub fn time_for(self, size: ByteSize) -> Millis {
        Millis(size.0.saturating_mul(1_000) / self.0.max(1))
    }
}
