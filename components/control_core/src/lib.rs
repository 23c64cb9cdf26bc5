//! The replicated log of a control host and the state that it replicates.
//!
//! It does no I/O: its owner passes events to [`ControlCore`] and executes the returned actions in
//! order.

mod action;
mod audit;
mod core;
mod requests;
mod state;
mod submission;
mod summary;

pub use crate::{
    action::{Action, Event},
    audit::{AuditTrail, BrokenChain, MAX_AUDIT_ENTRIES, verify_page, verify_trail},
    core::ControlCore,
    requests::{MAX_AUDIT_PAGE, MAX_QUEUED_SUBMITS},
    state::{Applied, MAX_ACCEPTED_VERSIONS, ReplicatedState, SubmitOutcome},
};
