//! Measures the health decisions: detection time and false ejections on seeded streams.
//!
//! Streams of outcomes are fed into the health values of all entry hosts; messages between them
//! arrive after the deployment's latency. No request is routed by the decisions, so that every
//! detector sees the same stream.

mod deployment;
mod random;
mod response;
mod rivals;
mod run;
mod scenario;
mod summary;

pub use crate::{
    deployment::{Deployment, Load},
    run::{RunResult, run},
    scenario::{ALL as ALL_SCENARIOS, Scenario},
    summary::{Detector, Row, csv, summarise, table},
};
