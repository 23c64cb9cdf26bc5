//! The registry of a gateway fleet: the newest configuration and the backend servers that have
//! announced themselves, replicated by the control hosts.
//!
//! [`RegistryHost`] holds all decisions of a control host. Its owner carries out the returned
//! actions in order and makes each storage action durable before the action that follows it.

mod action;
mod followers;
mod host;
mod log_requests;
mod packed_text;
mod places;
mod presence;
mod state;

pub use crate::{
    action::{Answer, HostAction, HostEvent, Request, UnavailableReason},
    followers::{HOST_LIST_INTERVAL, POLL_HOLD},
    host::{RegistryHost, RegistryHostSettings, RegistryStatus},
    packed_text::{MAX_CONFIG_BYTES, UnpackError, pack_text, unpack_text},
    state::{Judgement, Registry},
};
