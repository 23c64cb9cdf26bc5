//! Bounds the work that is taken on: admission, retries, organisations' limits, dependencies.

pub mod admission;
mod dependencies;
mod latency;
pub mod organisations;
pub mod quarantine;
mod rendezvous;
pub mod retry;

pub use crate::{dependencies::Dependencies, latency::LatencyEstimate};
