//! Instants and durations.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::ParseIdError;

/// A monotonic instant, in microseconds since an origin that each process chooses itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

/// A duration in milliseconds; texts may write it with a fraction, which is rounded up so that a
/// limit below 1 ms does not become 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(Self);
        }
        let value = f64::deserialize(deserializer)?;
        match value.is_finite() && value >= 0.0 {
            true => Ok(Self(value.ceil() as u64)),
            false => Err(de::Error::custom(ParseIdError::BadNumber("duration in milliseconds"))),
        }
    }
}

/// Time for which a control host grants the lease of a server's limit to no other gateway, in
/// milliseconds.
pub const LIMIT_LEASE_TIME: Millis = Millis(3_000);

/// A wall clock instant, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl Timestamp {
    /// Returns the instant `millis` milliseconds after the origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the microseconds since `earlier`, or 0 if `earlier` is later than `self`.
    pub fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds since `earlier`, or 0 if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.micros_since(earlier) / 1000)
    }
}

impl Add<Millis> for Timestamp {
    type Output = Self;

    fn add(self, millis: Millis) -> Self {
        Self(self.0.saturating_add(millis.0.saturating_mul(1000)))
    }
}

impl Sub<Millis> for Timestamp {
    type Output = Self;

    fn sub(self, millis: Millis) -> Self {
        Self(self.0.saturating_sub(millis.0.saturating_mul(1000)))
    }
}

impl WallTime {
    /// Returns the milliseconds since `earlier`, or 0 if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.0)
    }
}

macro_rules! millis_text {
    ($name:ident, $what:literal) => {
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

millis_text!(Timestamp, "timestamp");
millis_text!(Millis, "duration in milliseconds");
millis_text!(WallTime, "wall clock time");
