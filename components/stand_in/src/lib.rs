//! A small backend server for trying the fleet out and for tests.
//!
//! It announces itself to entry hosts, works on a few requests at a time, counts the runs of each
//! idempotency key, and can be told to fail in the ways that real servers do.

mod announcer;
mod behaviour;
mod body;
mod client;
mod server;

pub use crate::{
    behaviour::{Behaviour, Runs},
    client::{HttpAnswer, HttpError, exchange},
    server::{StandIn, StandInSettings, start},
};
