//! Idempotency keys and the shards that they map to.

use std::fmt;

use ids::KeyDigest;
use schema::claims::KeyAge;

use crate::Ticket;

/// The index of a shard in the claim map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardNumber(pub u32);

impl fmt::Display for ShardNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An idempotency key, as the claim protocol identifies it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// The digest of the key, its organisation and its service.
    pub digest: KeyDigest,
    /// The ticket that the key starts with, if any.
    pub ticket: Option<Ticket>,
}

impl ClaimKey {
    /// Returns the key's age as it is sent to replicas: its ticket's, or unknown.
    pub(crate) fn age(&self) -> KeyAge {
        match &self.ticket {
            Some(ticket) => KeyAge::Ticket(ticket.age()),
            None => KeyAge::Unknown,
        }
    }
}
