//! A Raft implementation for the control hosts: elections, replication, snapshots and membership.
//!
//! [`Consensus`] is a state machine without I/O. Its owner executes the returned actions in order
//! and makes each storage action durable before it executes the next action.

mod action;
mod bootstrap;
mod consensus;
mod election;
mod follower;
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
