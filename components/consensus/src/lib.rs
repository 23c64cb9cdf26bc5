//! The replicated log of the control hosts: elections, replication, snapshots and membership.
//!
//! Everything is decided by [`Consensus`], a plain value. Its owner carries out the returned
//! actions in order and makes each storage action durable before the action that follows it.

mod action;
mod consensus;
mod election;
mod follower;
mod founding;
mod leader;
mod leadership;
mod log;
mod members;
mod message;
mod replica;
mod role;
mod settings;
mod snapshot;

pub use crate::{
    action::{Action, ProposeError, Proposed, ReadError},
    consensus::Consensus,
    settings::{
        ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, HELLO_INTERVAL, LEASE_DURATION, LeaseUse,
        MAX_APPEND_BYTES, MAX_ENTRY_BYTES, MAX_FOLLOWER_STALENESS, MembershipPolicy,
        RETRY_INTERVAL, SNAPSHOT_CHUNK_BYTES, Settings,
    },
};
