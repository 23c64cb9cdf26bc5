//! Spreads configuration, backend servers' announcements and the claim map over the fleet.

mod acknowledgements;
mod claim_map;
mod config_events;
mod config_slot;
mod dissemination;
mod fragments;
mod pull;
mod recovery;
mod renewals;
mod reports;
mod server_events;
mod servers;
mod settings;
mod summaries;
mod view;

pub use schema::dissemination::DisseminationMessage;

pub use crate::{
    dissemination::{Dissemination, DisseminationAction},
    settings::DisseminationSettings,
    view::View,
};
