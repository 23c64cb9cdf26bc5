//! State machine of an entry host, without I/O.
//!
//! The host's process passes events to [`EntryCore`] and executes the returned actions. The crate
//! opens no sockets, reads no clock and starts no threads, so that deterministic tests can drive it
//! as well.

mod admission;
mod attempt_ends;
mod attempts;
mod claim_flow;
mod claim_reports;
mod configuration;
mod core;
mod directory;
mod event;
mod lifecycle;
mod lost_connections;
mod peers;
mod quarantine_flow;
mod request;
mod request_timers;
mod respond;
mod response;
mod settings;
mod status;

pub use crate::{
    core::EntryCore,
    directory::DirectoryResponse,
    event::{
        AttemptEnded, AttemptOutcome, AttemptStart, EntryAction, EntryEvent, KeyHeader, ProbeStart,
        RequestHead,
    },
    lost_connections::LostConnections,
    response::{CallerResponse, Outcome, Refusal, RefusalReason},
    settings::EntryCoreSettings,
    status::{Counters, EntryStatus, OutcomeCount},
};
