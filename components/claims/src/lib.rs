//! Claims on idempotency keys: a non-idempotent request runs at most once.
//!
//! Before a byte of such a request leaves, its entry host claims the key at a majority of the
//! key's replicas. The outcome and the answer are stored there for resends.

mod answer;
mod claimant;
mod claims;
mod key;
mod map;
mod replica;
mod settings;
mod ticket;

pub use crate::{
    claimant::{Claimant, Decision, NotGranted},
    claims::{ClaimAction, Claims, ClaimsStatus},
    key::{ClaimKey, ShardNumber},
    map::{
        ClaimHost, ClaimMap, REPLICAS_PER_SHARD, ReplicaReport, SHARDS_PER_HOME, ShardEpochNumber,
    },
    replica::ClaimReplica,
    settings::{ClaimantSettings, ClaimsSettings, MAX_CLOCK_SKEW, ReplicaSettings},
    ticket::{Ticket, TicketError},
};
