//! Claims on idempotency keys, which make a non-idempotent request run at most once.
//!
//! An entry host claims the key at a majority of the key's replicas before it sends the first byte
//! of the request to a backend server. The replicas store the outcome and the answer for resends.

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
    map::{ClaimHost, ClaimMap, REPLICAS_PER_SHARD, ReplicaReport, SHARDS_PER_HOME, ShardEpochId},
    replica::ClaimReplica,
    settings::{ClaimantSettings, ClaimsSettings, MAX_CLOCK_SKEW, ReplicaSettings},
    ticket::{Ticket, TicketError},
};
