//! Runs the two kinds of processes of a gateway fleet: gateways, which serve callers, and control
//! hosts, which replicate the registry.

pub mod control;
pub mod entry;

mod body;
mod client_stream;
mod clients;
mod connections;
mod http;
mod peers;
mod seeds;

pub use crate::peers::StartError;
