//! The state machine that entry hosts and control hosts have in common, and that of a control host.
//!
//! [`FleetCore`] combines membership and dissemination; [`ControlHost`] adds the replicated log and
//! the claim map. Neither does any I/O.

mod address_book;
mod claim_planner;
mod control_host;
mod fleet;

pub use crate::{
    address_book::AddressBook,
    claim_planner::ClaimPlanner,
    control_host::{ControlHost, ControlHostAction, ControlHostEvent, ControlHostSettings},
    fleet::{FleetAction, FleetCore, FleetSettings, Outgoing},
};
