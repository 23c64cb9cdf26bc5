//! Newtypes for ids, sizes, rates and instants, shared by all components.

mod blob;
mod digest;
mod fractions;
mod names;
mod numbers;
mod server_key;
mod time;

use std::hash::BuildHasherDefault;

pub use crate::{
    blob::Blob,
    digest::{ContentDigest, Fingerprint, KeyDigest},
    fractions::{RetryAllowance, Seconds, Share},
    names::{DataCentreName, IdempotencyKey, OrganisationName, RegionName, ServerId, ServiceName},
    numbers::{
        AttemptNumber, ByteRate, ByteSize, ClientId, ConfigVersion, DescriptorCount, DiskCount,
        Epoch, HostId, Incarnation, LimitRate, LoanNumber, LogIndex, MIN_LINK_RATE, Megabytes,
        PermitNumber, RequestId, RequestRate, RetryCredit, Term,
    },
    server_key::ServerKey,
    time::{LIMIT_LEASE_TIME, Millis, Timestamp, WallTime},
};

/// A hash map with a fast hasher that does not resist hash flooding.
pub type FastMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<rustc_hash::FxHasher>>;

/// A hash set with a fast hasher that does not resist hash flooding.
pub type FastSet<K> = std::collections::HashSet<K, BuildHasherDefault<rustc_hash::FxHasher>>;

/// Why a text could not be parsed as an id, size or rate.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ParseIdError {
    /// {0} must not be empty
    Empty(&'static str),
    /// {0} is longer than {1} bytes
    TooLong(&'static str, usize),
    /// {0} may only hold letters, digits, '-', '_', '.' and ':'
    BadCharacter(&'static str),
    /// {0} is not a number in range
    BadNumber(&'static str),
    /// {0} is not {1} hexadecimal digits
    BadDigest(&'static str, usize),
}

impl std::error::Error for ParseIdError {}
