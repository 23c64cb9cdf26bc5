//! Runs a control host: its sockets, its disk, its clock and the operators' requests.

mod api;
mod driver;
mod host;
mod metrics;
mod tokens;

pub use crate::{
    host::{ControlError, RunningControl, start},
    tokens::{OperatorTokens, TokenError},
};
