//! The registry of a gateway fleet: the newest configuration and the announced backend servers,
//! replicated by the control hosts.
//!
//! [`RegistryHost`] implements a control host without performing I/O. Its driver executes the
//! returned actions in order and makes each storage action durable before the next action.

mod action;
mod entry_hosts;
mod host;
mod limit_leases;
mod long_polls;
mod packed_text;
mod pending_requests;
mod places;
mod retry_charges;
mod state;

pub use crate::{
    action::{Answer, HostAction, HostEvent, Request, UnavailableReason},
    host::{RegistryHost, RegistryHostSettings, RegistryStatus},
    limit_leases::LimitLeases,
    long_polls::{MAX_POLL_WAIT, MIN_HOST_UPDATE_INTERVAL},
    packed_text::{MAX_CONFIG_BYTES, UnpackError, pack_text, unpack_text},
    retry_charges::RetryChargeRecords,
    state::{Departure, Freshness, Registry, departed},
};
