//! A fake backend server for tests and for trying out a fleet.
//!
//! It announces itself to entry hosts, serves a limited number of requests at a time, counts how
//! often each idempotency key ran, and can simulate the failures of real servers.

mod announcer;
mod behaviour;
mod body;
mod client;
mod server;
mod status_stream;

pub use crate::{
    behaviour::{Behaviour, Runs},
    client::{HttpAnswer, HttpError, exchange},
    server::{StandIn, StandInSettings, start},
};
