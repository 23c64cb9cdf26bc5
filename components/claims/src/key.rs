//! What a claim is made on.

use std::fmt;

use ids::KeyDigest;
use schema::claims::KeyAge;

use crate::Ticket;

/// Numbers a shard of the claim map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardNumber(pub u32);

impl fmt::Display for ShardNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An idempotency key as the claim protocol sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// Digest of the key with its organisation and service.
    pub digest: KeyDigest,
    /// The ticket that the key starts with.
    pub ticket: Option<Ticket>,
}

impl ClaimKey {
    /// What is known of the key's age.
    pub(crate) fn age(&self) -> KeyAge {
        match &self.ticket {
            Some(ticket) => KeyAge::Ticket(ticket.age()),
            None => KeyAge::Unknown,
        }
    }
}
