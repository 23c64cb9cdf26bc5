//! Numbers that settings write as decimal fractions and that are stored as integers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{Millis, ParseIdError};

/// Highest number of thousandths that a fraction holds exactly.
const MAX_MILLI: f64 = 9_007_199_254_740_992.0;

/// A non-negative fraction, stored in thousandths; it may exceed 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share {
    /// The fraction in thousandths.
    pub milli: u32,
}

/// A duration that is written in seconds and stored in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seconds(pub Millis);

/// A number of retries that may have a fraction, stored in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAllowance {
    /// The number of retries in thousandths.
    pub milli: u64,
}

macro_rules! fraction_text {
    ($name:ident, $what:literal, $to_milli:expr, $from_milli:expr) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let milli: u64 = $to_milli(*self);
                (milli as f64 / 1_000.0).fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let value: f64 = text.parse().map_err(|_| ParseIdError::BadNumber($what))?;
                to_milli(value).and_then($from_milli).ok_or(ParseIdError::BadNumber($what))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                let milli: u64 = $to_milli(*self);
                serializer.serialize_f64(milli as f64 / 1_000.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let value = f64::deserialize(deserializer)?;
                let parsed = to_milli(value).and_then($from_milli);
                parsed.ok_or_else(|| de::Error::custom(ParseIdError::BadNumber($what)))
            }
        }
    };
}

fraction_text!(Share, "share", |it: Share| u64::from(it.milli), |milli| {
    u32::try_from(milli).ok().map(|milli| Share { milli })
});
fraction_text!(Seconds, "number of seconds", |it: Seconds| it.0.0, |milli| {
    Some(Seconds(Millis(milli)))
});
fraction_text!(RetryAllowance, "number of retries", |it: RetryAllowance| it.milli, |milli| {
    Some(RetryAllowance { milli })
});

/// Converts to thousandths; returns `None` for negative numbers and for those without an exact
/// result.
fn to_milli(value: f64) -> Option<u64> {
    let milli = (value * 1_000.0).round();
    (0.0..=MAX_MILLI).contains(&milli).then_some(milli as u64)
}
