//! The decision logic of a gateway: an entry host whose routes have their own policies and whose
//! callers assign the ids of their requests.
//!
//! [`Gateway`] is a plain state machine without sockets, clocks or threads. Its owner feeds it
//! events, calls [`Gateway::step`] to learn what a request needs next, and performs the I/O.

mod configuration;
mod entry_hosts;
mod events;
mod gateway;
mod organisations;
mod paths;
mod planned_stop;
mod registry_poller;
mod requests;
mod retry_budget;
mod server_limits;
mod servers;
mod settings;
mod work;

pub use crate::{
    configuration::{
        CallerLimits, ConfigError, GatewayConfig, Idempotency, Route, RouteKey, RouteTarget,
        ServicePolicy, SubmittedConfig, UnusedTargets,
    },
    entry_hosts::DirectoryAnswer,
    events::{Event, RequestSummary, RetryUsage},
    gateway::{Gateway, OutgoingReport},
    organisations::{
        ApiKey, CallerIdentity, Credentials, KeySecret, Organisation, OrganisationLimit,
        RefusalCause,
    },
    paths::{PathOutcome, relays::RelayEnd},
    planned_stop::StopSchedule,
    registry_poller::{OutgoingPoll, POLL_TIMEOUT, SEARCH_INTERVAL},
    requests::{
        AttemptEnd, AttemptStart, AttemptTarget, CallerNote, Finish, Refusal, RefusalReason,
        RelayStart, RelayedHead, RequestHead, RunStatus, Step,
    },
    servers::{
        Distance, Server, ServerTable,
        health::{BrokenPrior, ServerHealth},
        notices::{LimitNotice, ServerNotice},
        placement::{Placement, PlacementRequest},
    },
    settings::{GatewaySettings, KeyWithdrawal, Lifecycle, RetryBudgetSettings},
    work::LikelyWork,
};
pub use ::quarantine::{Probe, ProbeOutcome, QuarantineEvent};
