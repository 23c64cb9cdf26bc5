//! What every host of the fleet decides together with the others, and all decisions of a
//! control host.
//!
//! [`FleetCore`] composes membership and dissemination for entry and control hosts alike;
//! [`ControlHost`] adds the replicated log and the claim map to it.

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
