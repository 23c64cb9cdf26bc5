//! Replicates the configuration, the announcements of backend servers and the claim map to every
//! host of the fleet.
//!
//! Changes are sent at once over the links between hosts; periodic summaries repair what was lost
//! (anti-entropy).

mod acknowledgements;
mod active_config;
mod claim_map;
mod config_events;
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
