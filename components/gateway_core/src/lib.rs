//! All decisions of a gateway: an entry host that serves routes with policies of their own and
//! knows each request by the id that its caller gave it.
//!
//! [`Gateway`] is a plain value. Its owner tells it what happens, asks [`Gateway::step`] what a
//! request needs next, and carries that out. It has no sockets, clocks or threads.

mod configuration;
mod entry_hosts;
mod events;
mod follower;
mod gateway;
mod quarantine;
mod requests;
mod servers;
mod settings;
mod shared_budget;

pub use crate::{
    configuration::{
        CallerLimits, ConfigError, GatewayConfig, Idempotency, Route, RouteKey, RouteTarget,
        ServicePolicy,
    },
    entry_hosts::DirectoryAnswer,
    events::{Event, RequestSummary},
    follower::{ANSWER_TIMEOUT, PollOut},
    gateway::{Gateway, ReportOut},
    requests::{
        AttemptEnd, AttemptStart, Finish, Refusal, RefusalReason, RequestHead, RunStatus, Step,
    },
    servers::{
        Distance, Server, ServerTable,
        placement::{Placement, PlacementRequest},
        standing::{BrokenShare, Standing},
    },
    settings::{GatewaySettings, Lifecycle, RetryBudgetSettings},
};
