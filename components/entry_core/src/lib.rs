//! All decisions of an entry host, as one value fed with events.
//!
//! The owner passes events to [`EntryCore`] and carries out the returned actions. The core has no
//! sockets, clocks or threads, so that any host, real or of a test, can drive it.

mod attempt_ends;
mod attempts;
mod claim_flow;
mod claim_reports;
mod configuration;
mod core;
mod directory;
mod event;
mod gate;
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
    directory::DirectoryPage,
    event::{
        AttemptEnded, AttemptOutcome, AttemptStart, EntryAction, EntryEvent, KeyHeader, ProbeStart,
        RequestHead,
    },
    lost_connections::LostConnections,
    response::{CallerResponse, Outcome, Refusal, RefusalReason},
    settings::EntryCoreSettings,
    status::{Counters, EntryStatus, OutcomeCount},
};
