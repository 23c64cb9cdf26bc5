//! Simulation that measures detection time and false ejections of the outlier detection.
//!
//! Each run feeds a seeded stream of request outcomes into the `Health` of every entry host and
//! delivers the messages between hosts after the latency of the network. Ejections have no
//! influence on where requests go, so that every detector sees the same stream.

mod deployment;
mod fixed_threshold;
mod random;
mod response;
mod run;
mod scenario;
mod summary;

pub use crate::{
    deployment::{Deployment, Load},
    run::{RunResult, run},
    scenario::{ALL as ALL_SCENARIOS, Scenario},
    summary::{Detector, Row, csv, summarise, table},
};
