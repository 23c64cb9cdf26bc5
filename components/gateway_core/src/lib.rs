//! All decisions of a gateway: an entry host that serves routes with policies of their own and
//! knows each request by the id that its caller gave it.
//!
//! [`Gateway`] is a plain value. Its owner tells it what happens, asks [`Gateway::step`] what a
//! request needs next, and carries that out. It has no sockets, clocks or threads.

mod configuration;
mod entry_hosts;
mod events;
mod gateway;
mod quarantine;
mod registry_poller;
mod requests;
mod retry_budget;
mod servers;
mod settings;

pub use crate::{
    configuration::{
        CallerLimits, ConfigError, GatewayConfig, Idempotency, Route, RouteKey, RouteTarget,
        ServicePolicy,
    },
    entry_hosts::DirectoryAnswer,
    events::{Event, RequestSummary},
    gateway::{Gateway, OutgoingReport},
    registry_poller::{OutgoingPoll, POLL_TIMEOUT},
    requests::{
        AttemptEnd, AttemptStart, Finish, Refusal, RefusalReason, RequestHead, RunStatus, Step,
    },
    servers::{
        Distance, Server, ServerTable,
        health::{BrokenPrior, ServerHealth},
        placement::{Placement, PlacementRequest},
    },
    settings::{GatewaySettings, Lifecycle, RetryBudgetSettings},
};
