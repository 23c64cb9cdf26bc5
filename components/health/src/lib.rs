//! Health decisions of an entry host: pooled evidence, verdicts, and the rotation of each service.
//!
//! Each backend server has a few watchers among the entry hosts. Every entry host sends the
//! outcomes it observes to the watchers, which run a sequential test and spread verdicts. Each
//! entry host applies verdicts on its own and keeps the floor of each service.

mod baseline;
mod budget;
mod evidence;
mod hash;
mod health;
mod judge;
mod path;
mod rotation;
mod types;
mod verdicts;
mod watchers;

pub use crate::{
    budget::Budget,
    health::Health,
    types::{
        ChangeReason, HealthAction, Hint, KnownServer, KnownState, LiveHost, Observation,
        OutcomeKind, ProbeResult, RotationEntry, ServerReport, ServerStatus, Settings,
    },
    watchers::WATCHERS,
};
