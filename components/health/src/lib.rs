//! Outlier detection on an entry host: pooled evidence, verdicts and the rotation of each service.
//!
//! A few of the entry hosts watch each backend server. Every entry host sends the outcomes that it
//! observes to the server's watchers, which run a sequential test on the pooled outcomes and
//! broadcast verdicts. Each entry host applies the verdicts by itself, and leaves ejected servers
//! out of rotation only while the service keeps its floor, the minimum of healthy servers.

mod baseline;
mod ejector;
mod evidence;
mod hash;
mod health;
mod path;
mod rotation;
mod thresholds;
mod types;
mod verdicts;
mod watchers;

pub use crate::{
    health::Health,
    thresholds::Thresholds,
    types::{
        ChangeReason, HealthAction, Hint, KnownServer, KnownState, LiveHost, Observation,
        OutcomeKind, ProbeResult, RotationEntry, ServerReport, ServerStatus, Settings,
    },
    watchers::WATCHERS_PER_SERVER,
};
