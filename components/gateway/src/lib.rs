//! Runs the two processes of a gateway fleet: gateways, which serve callers, and control hosts of
//! the registry.

pub mod control;
pub mod entry;

mod http;
mod peers;
mod seeds;

pub use crate::peers::StartError;
