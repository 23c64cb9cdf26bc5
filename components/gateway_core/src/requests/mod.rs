//! The state of callers' requests.

pub(crate) mod shedding;
pub(crate) mod wait_queue;

use std::{net::SocketAddr, sync::Arc};

use ids::{
    AttemptNumber, ByteSize, Fingerprint, HostId, Incarnation, Millis, OrganisationName, RequestId,
    ServerId, ServiceName, Timestamp,
};

use crate::{
    configuration::{Idempotency, Route},
    organisations::{CallerIdentity, Credentials},
    servers::ServerKey,
    work::RequestKinds,
};

/// Whether a request may have been executed by a backend server.
///
/// It only changes from [`RunStatus::NotRun`] to [`RunStatus::MayHaveRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, displaydoc::Display)]
pub enum RunStatus {
    /// not-run
    NotRun,
    /// may-have-run
    MayHaveRun,
}

/// Properties of a request whose body has been read completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Host name that the request carries.
    pub host: String,
    /// Method of the request.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Size of the body.
    pub body_size: ByteSize,
    /// Digest of method, path, query and body.
    pub content: Fingerprint,
    /// Time that the caller still waits, if it says so.
    pub caller_timeout: Option<Millis>,
    /// What it says of its caller.
    pub credentials: Credentials,
    /// Set if another gateway has passed the request on.
    pub relayed: Option<RelayedHead>,
}

impl RequestHead {
    /// Returns the identity of the request, which is the same for equal content that callers of one
    /// organisation send to one host name, and that the same services may run.
    pub(crate) fn fingerprint(
        &self,
        route: &Route,
        organisation: Option<&OrganisationName>,
    ) -> Fingerprint {
        let host = routing::normalise_host(&self.host);
        let mut services: Vec<&str> = route.targets.iter().map(|it| it.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        let services = services.iter().flat_map(|it| [it.as_bytes(), &[0]]);
        let caller: [&[u8]; 2] = match organisation {
            Some(it) => [&[1], it.as_str().as_bytes()],
            None => [&[0], &[]],
        };
        let head = [&self.content.0[..], host.as_bytes(), &[0]];
        Fingerprint::of_parts(head.into_iter().chain(services).chain(caller))
    }
}

/// An attempt to be sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStart {
    /// Number of the attempt within its request.
    pub attempt: AttemptNumber,
    /// The server.
    pub server: ServerId,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Time left until the deadline of the request.
    pub time_left: Millis,
    /// Whether the request had a permit, if the server names a limit.
    pub has_permit: bool,
    /// Whether the attempt may use a pooled connection.
    pub may_reuse_connection: bool,
    /// What the server is told of the caller.
    pub caller: CallerNote,
}

/// What a backend server is told of the caller of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerNote {
    /// What the caller itself has sent.
    AsReceived,
    /// Neither a key nor an organisation.
    Anonymous,
    /// The organisation, but no key.
    Organisation(OrganisationName),
}

/// A request that another gateway has passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedHead {
    /// The service that the other gateway has chosen.
    pub service: ServiceName,
    /// Number of servers that the request may still reach.
    pub max_attempts: u32,
    /// Whether only a gateway that checks the keys of callers may serve it.
    pub needs_key_check: bool,
}

/// A request to be passed on to another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayStart {
    /// Number of the attempt within its request.
    pub attempt: AttemptNumber,
    /// The other gateway.
    pub host: HostId,
    /// Address at which it accepts callers.
    pub address: SocketAddr,
    /// What it is told of the request.
    pub head: RelayedHead,
    /// Time left for the other gateway.
    pub time_left: Millis,
    /// Whether a pooled connection may be used.
    pub may_reuse_connection: bool,
    /// What a backend server is told of the caller.
    pub caller: CallerNote,
}

/// Where an attempt was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptTarget {
    /// To a backend server.
    Server(ServerId),
    /// To another gateway.
    Relay(HostId),
}

/// How an attempt ended.
///
/// `Shed`: the server refused the request without running it. `Misplaced`: a different server
/// responded at the address. `Unreachable`: no connection could be opened. `NotSent`: a new
/// connection failed before anything was sent. `Withheld`: the server asked for no or fewer requests
/// meanwhile.
/// `Lost`: no complete and valid response arrived.
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
    /// withheld
    Withheld,
    /// lost
    Lost,
}

impl AttemptEnd {
    /// Returns whether the request may have been executed.
    pub fn run_status(self) -> RunStatus {
        match self {
            Self::Shed | Self::Misplaced | Self::Unreachable | Self::NotSent | Self::Withheld => {
                RunStatus::NotRun
            }
            Self::Answered | Self::ServerError | Self::Lost => RunStatus::MayHaveRun,
        }
    }

    /// Returns whether the request reached the server.
    pub(crate) fn reached_server(self) -> bool {
        !matches!(self, Self::Unreachable | Self::NotSent | Self::Withheld)
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::ServerError => "server-error",
            Self::Shed => "shed",
            Self::Misplaced => "misplaced",
            Self::Unreachable => "unreachable",
            Self::NotSent => "not-sent",
            Self::Withheld => "withheld",
            Self::Lost => "lost",
        }
    }
}

/// Why a request has no response of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum RefusalReason {
    /// this gateway holds no configuration yet
    NoConfiguration,
    /// no route leads there
    UnknownRoute,
    /// the key is missing or not valid
    UnknownKey,
    /// this gateway can't learn whether the key was withdrawn
    KeysOutdated,
    /// the organisation asks for more than its limit
    OverLimit,
    /// all backend servers of the service are busy
    Busy,
    /// no backend server of the service is known
    NoServer,
    /// all backend servers of the service have asked for a pause
    ServersPaused,
    /// all backend servers of the service get as many requests as they allow
    ServersAtLimit,
    /// the request has crashed the backend servers that ran it
    Quarantined,
    /// the time for an answer is over
    TimeLimit,
    /// no backend server gave a whole answer
    NoAnswer,
    /// the retry budget of the service is spent
    RetryBudgetSpent,
    /// this gateway stops
    Stopping,
    /// this gateway stops before the backend server has answered
    StopReached,
    /// this gateway can't reach the backend servers
    PathsDown,
    /// this gateway checks no keys yet
    KeysUnchecked,
    /// this gateway already works on too many requests of others
    TooManyRelayed,
    /// the gateways that reach the backend servers refuse the request
    RelayRefused,
}

impl RefusalReason {
    /// Returns a short name for metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::KeysOutdated => "keys-outdated",
            Self::OverLimit => "over-limit",
            Self::Busy => "busy",
            Self::NoServer => "no-server",
            Self::ServersPaused => "servers-paused",
            Self::ServersAtLimit => "servers-at-limit",
            Self::Quarantined => "quarantined",
            Self::TimeLimit => "time-limit",
            Self::NoAnswer => "no-answer",
            Self::RetryBudgetSpent => "retry-budget-spent",
            Self::Stopping => "stopping",
            Self::StopReached => "stop-reached",
            Self::PathsDown => "paths-down",
            Self::KeysUnchecked => "keys-unchecked",
            Self::TooManyRelayed => "too-many-relayed",
            Self::RelayRefused => "relay-refused",
        }
    }
}

/// An error response generated by the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have been executed.
    pub run: RunStatus,
    /// When the caller should retry, if a retry makes sense.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    pub(crate) fn not_run(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        Self { reason, run: RunStatus::NotRun, retry_after }
    }
}

/// How a request finishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The caller receives the response of this attempt.
    Answer(AttemptNumber),
    /// The caller receives an error response of the gateway.
    Refuse(Refusal),
}

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this attempt to a server, then step again.
    Send(AttemptStart),
    /// Pass the request on to another gateway, then step again.
    Relay(RelayStart),
    /// Step again when an attempt ends, when the request is woken, or at this time.
    Wait(Timestamp),
    /// Respond to the caller and forget the request.
    Finish(Finish),
}

/// Where an attempt in flight was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InFlightTarget {
    Server(ServerKey),
    Relay(HostId),
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) target: InFlightTarget,
    pub(crate) started: Timestamp,
    pub(crate) is_reported_overdue: bool,
    /// Whether the server had a free slot, so that the latency shows the work of the request.
    pub(crate) shows_work: bool,
}

/// When a new request must have its response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline {
    pub(crate) at: Timestamp,
    /// Whether a planned stop sets it.
    pub(crate) ends_with_stop: bool,
}

/// An unfinished request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Its caller, if it is known by a key.
    pub(crate) identity: Option<CallerIdentity>,
    /// Its identity: requests with the same one crash the same servers.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the configuration in force refuses its key, or that it has none.
    pub(crate) is_key_refused: bool,
    pub(crate) urgency: Urgency,
    /// The kinds of requests that it belongs to.
    pub(crate) kinds: RequestKinds,
    pub(crate) received: Timestamp,
    /// When the caller first asked, as far as is known.
    pub(crate) first_asked: Timestamp,
    /// When the caller must have its response.
    pub(crate) deadline: Timestamp,
    /// Whether a planned stop sets the deadline.
    pub(crate) ends_with_stop: bool,
    pub(crate) tried: Vec<ServerId>,
    /// All attempts in the order of sending, and how each ended.
    pub(crate) attempt_log: Vec<(AttemptTarget, &'static str)>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) run: RunStatus,
    /// Number of ended attempts that reached a server.
    pub(crate) arrived_attempts: u32,
    pub(crate) answered_by: Option<AttemptNumber>,
    /// The latest attempt that ended with a server error.
    pub(crate) server_error: Option<AttemptNumber>,
    pub(crate) first_sent_at: Option<Timestamp>,
    /// Whether it is within the rate of its organisation.
    pub(crate) is_admitted: bool,
    /// Number of permits that were denied.
    pub(crate) permit_asks: u32,
    /// When the time for a permit ends, if the request has needed one to go on since it last
    /// reached a server.
    pub(crate) permit_search_ends: Option<Timestamp>,
    /// Maximum number of servers that it may reach.
    pub(crate) max_attempts: u32,
    /// The `Retry-After` of another gateway's refusal.
    pub(crate) relay_refusal: Option<Option<Millis>>,
}

impl Request {
    pub(crate) fn new(
        now: Timestamp,
        head: RequestHead,
        route: Arc<Route>,
        service: ServiceName,
        identity: Option<CallerIdentity>,
        fingerprint: Fingerprint,
        deadline: Deadline,
    ) -> Self {
        let own_priority = identity.as_ref().and_then(|it| it.organisation.priority);
        let urgency = Urgency(own_priority.unwrap_or(route.priority), route.priority);
        let allowed = head.relayed.as_ref().map_or(u32::MAX, |it| it.max_attempts);
        let max_attempts = route.max_attempts.min(allowed);
        Self {
            head,
            route,
            service,
            identity,
            fingerprint,
            is_key_refused: false,
            urgency,
            kinds: RequestKinds::default(),
            max_attempts,
            relay_refusal: None,
            received: now,
            first_asked: now,
            deadline: deadline.at,
            ends_with_stop: deadline.ends_with_stop,
            tried: Vec::new(),
            attempt_log: Vec::new(),
            in_flight: Vec::new(),
            run: RunStatus::NotRun,
            arrived_attempts: 0,
            answered_by: None,
            server_error: None,
            first_sent_at: None,
            is_admitted: false,
            permit_asks: 0,
            permit_search_ends: None,
        }
    }

    /// Returns whether idempotency allows the request to be sent once more.
    pub(crate) fn may_be_sent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
            || (self.run == RunStatus::NotRun && self.in_flight.is_empty())
    }

    /// Returns whether the request may have been executed, counting attempts in flight.
    pub(crate) fn run_status(&self) -> RunStatus {
        if self.in_flight.is_empty() { self.run } else { RunStatus::MayHaveRun }
    }

    /// Returns the number of attempts that reached a server or still may.
    pub(crate) fn counted_attempts(&self) -> u32 {
        self.arrived_attempts + u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Returns the gateways that the request was passed on to.
    pub(crate) fn tried_relays(&self) -> Vec<HostId> {
        let relays = self.attempt_log.iter().filter_map(|(target, _)| match target {
            AttemptTarget::Relay(host) => Some(*host),
            AttemptTarget::Server(_) => None,
        });
        relays.collect()
    }

    /// Returns the number of attempts that could not be sent to a server.
    pub(crate) fn unsent_attempts(&self) -> usize {
        let is_unsent = |(target, end): &&(AttemptTarget, &str)| {
            matches!(target, AttemptTarget::Server(_))
                && [AttemptEnd::Unreachable.name(), AttemptEnd::NotSent.name()].contains(end)
        };
        self.attempt_log.iter().filter(is_unsent).count()
    }

    pub(crate) fn time_left(&self, now: Timestamp) -> Millis {
        self.deadline.since(now)
    }
}

/// Priority of a request among those of its service, then that of its route; 0 is the most urgent. An
/// organisation's priority goes before the route's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency(pub(crate) u32, pub(crate) u32);

/// Urgency and id of a queued request.
pub(crate) type QueueKey = (Urgency, RequestId);
