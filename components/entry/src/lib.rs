//! Runs the state machine of an entry host: clock, connections to callers, backend servers and
//! other hosts, and the admin API.

mod api;
mod backend;
mod callers;
mod headers;
mod host;
mod memory;
mod metrics;
mod pages;
mod pool;
mod reply;
mod reply_body;
mod shared;
mod status_page;

pub use crate::{
    headers::{
        DEADLINE_HEADER, KEY_HEADER, LOAD_HEADER, ORGANISATION_HEADER, OUTCOME_HEADER,
        PROBE_HEADER, REPLAYED_HEADER, REQUEST_HEADER, SHED_HEADER, is_final_status,
        remove_hop_by_hop,
    },
    host::{EntryError, RunningEntry, start},
};
