//! Health decisions of an entry host: pooled evidence, verdicts, and the rotation of each service.
//!
//! Each backend server has a few watchers among the entry hosts. Every entry host sends the
//! outcomes it observes to the watchers, which run a sequential test and spread verdicts. Each
//! entry host applies verdicts on its own and keeps the floor of each service.

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
