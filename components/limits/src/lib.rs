//! Overload protection: admission control, retry budgets, hedging, rate limits of organisations,
//! quarantine of requests that crash servers, and refusal while dependencies are unavailable.

pub mod admission;
mod dependencies;
mod latency;
pub mod organisations;
pub mod quarantine;
pub mod rendezvous;
pub mod retry;

pub use crate::{dependencies::Dependencies, latency::LatencyEstimate};
