//! Callers' requests while they are in work.

pub(crate) mod wait_queue;

use std::{net::SocketAddr, sync::Arc};

use ids::{AttemptNumber, Fingerprint, Millis, RequestId, ServerId, ServiceName, Timestamp};

use crate::{
    configuration::{Idempotency, Route},
    servers::ServerKey,
};

/// What is known of whether a request ran on a backend server.
///
/// It only ever moves towards [`RunStatus::MayHaveRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, displaydoc::Display)]
pub enum RunStatus {
    /// not-run
    NotRun,
    /// may-have-run
    MayHaveRun,
}

/// What a gateway knows of a request whose body was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The host that the request names.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// Digest of method, path, query and body.
    pub fingerprint: Fingerprint,
    /// How long the caller waits from now on, if it says so.
    pub caller_timeout: Option<Millis>,
}

/// An attempt to be sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStart {
    /// Numbers the attempts of a request.
    pub attempt: AttemptNumber,
    /// The server.
    pub server: ServerId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Time that is left for the answer.
    pub time_left: Millis,
    /// Whether a connection that was used before may serve.
    pub may_reuse_connection: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum AttemptEnd {
    /// answered
    Answered,
    /// server-error
    ServerError,
    /// shed
    Shed,
    /// misplaced
    Misplaced,
    /// unreachable
    Unreachable,
    /// not-sent
    NotSent,
    /// lost
    Lost,
}

impl AttemptEnd {
    /// What the end says about the request's run.
    pub fn run_status(self) -> RunStatus {
        match self {
            Self::Shed | Self::Misplaced | Self::Unreachable | Self::NotSent => RunStatus::NotRun,
            Self::Answered | Self::ServerError | Self::Lost => RunStatus::MayHaveRun,
        }
    }

    /// Whether the request reached the server.
    pub(crate) fn reached_server(self) -> bool {
        !matches!(self, Self::Unreachable | Self::NotSent)
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::ServerError => "server-error",
            Self::Shed => "shed",
            Self::Misplaced => "misplaced",
            Self::Unreachable => "unreachable",
            Self::NotSent => "not-sent",
            Self::Lost => "lost",
        }
    }
}

/// Why a request has no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum RefusalReason {
    /// this gateway holds no configuration yet
    NoConfiguration,
    /// no route leads there
    UnknownRoute,
    /// all backend servers of the service are busy
    Busy,
    /// no backend server of the service is known
    NoServer,
    /// the request has crashed the backend servers that ran it
    Quarantined,
    /// the time for an answer is over
    TimeLimit,
    /// no backend server gave a whole answer
    NoAnswer,
    /// this gateway stops
    Stopping,
}

impl RefusalReason {
    /// A short name for metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::UnknownRoute => "unknown-route",
            Self::Busy => "busy",
            Self::NoServer => "no-server",
            Self::Quarantined => "quarantined",
            Self::TimeLimit => "time-limit",
            Self::NoAnswer => "no-answer",
            Self::Stopping => "stopping",
        }
    }
}

/// An answer of the gateway itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// What is known of the request's run.
    pub run: RunStatus,
    /// When the caller should come back, if coming back makes sense.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    pub(crate) fn not_run(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        Self { reason, run: RunStatus::NotRun, retry_after }
    }
}

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The caller gets the answer of this attempt.
    Answer(AttemptNumber),
    /// The caller gets an answer of the gateway.
    Refuse(Refusal),
}

/// What a request needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send it to a server, then ask again.
    Send(AttemptStart),
    /// Ask again when an attempt ends, when the request is woken, or at this time.
    Wait(Timestamp),
    /// Answer the caller; the request is forgotten.
    Finish(Finish),
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) key: ServerKey,
    pub(crate) started: Timestamp,
    pub(crate) is_reported_overdue: bool,
}

/// A request in work.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) received: Timestamp,
    /// When the caller must have its answer.
    pub(crate) deadline: Timestamp,
    pub(crate) tried: Vec<ServerId>,
    /// How each attempt went, in the order of sending.
    pub(crate) attempt_log: Vec<(ServerId, &'static str)>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) run: RunStatus,
    /// Attempts that reached a server.
    pub(crate) arrived_attempts: u32,
    pub(crate) answered_by: Option<AttemptNumber>,
    /// The last answer by which a server said that it failed.
    pub(crate) server_error: Option<AttemptNumber>,
    pub(crate) first_sent_at: Option<Timestamp>,
}

impl Request {
    pub(crate) fn new(
        now: Timestamp,
        head: RequestHead,
        route: Arc<Route>,
        service: ServiceName,
        deadline: Timestamp,
    ) -> Self {
        Self {
            head,
            route,
            service,
            received: now,
            deadline,
            tried: Vec::new(),
            attempt_log: Vec::new(),
            in_flight: Vec::new(),
            run: RunStatus::NotRun,
            arrived_attempts: 0,
            answered_by: None,
            server_error: None,
            first_sent_at: None,
        }
    }

    /// Whether the request may be sent to a further server, as far as its own run goes.
    pub(crate) fn may_be_sent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
            || (self.run == RunStatus::NotRun && self.in_flight.is_empty())
    }

    /// What is known of its run, attempts in flight included.
    pub(crate) fn run_status(&self) -> RunStatus {
        if self.in_flight.is_empty() { self.run } else { RunStatus::MayHaveRun }
    }

    /// Attempts that reached a server or may yet.
    pub(crate) fn counted_attempts(&self) -> u32 {
        self.arrived_attempts + u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn time_left(&self, now: Timestamp) -> Millis {
        self.deadline.since(now)
    }
}

/// The id of a request and its place among those that wait for a server.
pub(crate) type QueueKey = (u32, RequestId);
