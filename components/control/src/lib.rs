//! Runs the state machine of a control host: sockets, data folder, clock and the HTTP API for
//! operators.

mod api;
mod driver;
mod host;
mod metrics;
mod tokens;

pub use crate::{
    host::{ControlError, RunningControl, start},
    tokens::{OperatorTokens, TokenError},
};
