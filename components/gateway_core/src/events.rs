//! Events that a gateway reports for logs and metrics.

use std::net::SocketAddr;

use ids::{
    ConfigVersion, DataCentreName, HostId, LimitRate, Millis, OrganisationName, RetryCredit,
    ServerId, ServiceName,
};

use quarantine::QuarantineEvent;

use crate::{organisations::RefusalCause, requests::AttemptTarget, work::LikelyWork};

/// A gateway's part of the retry budget of a service in the current window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// Requests of its callers.
    pub requests: u64,
    /// What it has spent or lent.
    pub charged: RetryCredit,
    /// What it has borrowed and not spent.
    pub borrowed: RetryCredit,
    /// What it may spend or lend in the window, without loans.
    pub allowed: RetryCredit,
}

impl RetryUsage {
    /// Returns what is left of its own part.
    pub fn left(&self) -> RetryCredit {
        RetryCredit(self.allowed.0.saturating_sub(self.charged.0))
    }

    /// Returns what can be spent, loans included.
    pub fn available(&self) -> RetryCredit {
        RetryCredit(self.left().0 + self.borrowed.0)
    }
}

/// A decision or an observed state change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A configuration took effect.
    ConfigInForce {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Version that it replaces.
        before: ConfigVersion,
        /// Number of routes.
        routes: usize,
    },
    /// A backend server was announced or its announcement changed.
    ServerAnnounced {
        /// The server.
        server: ServerId,
        /// Service of the server.
        service: ServiceName,
        /// Data centre of the server.
        data_centre: DataCentreName,
        /// Announced state of the server.
        state: schema::announcement::ServerState,
    },
    /// A backend server became likely to be broken, so most requests now go to other servers.
    ServerAvoided {
        /// The server.
        server: ServerId,
        /// Name of the load event that caused it.
        cause: &'static str,
        /// Host that observed the event.
        seen_by: HostId,
    },
    /// A backend server said in a response that it leaves.
    ServerLeaving {
        /// The server, if it is known.
        server: Option<ServerId>,
        /// Address of the server.
        address: SocketAddr,
        /// Host that received the response.
        seen_by: HostId,
    },
    /// A backend server asked this gateway for a pause.
    ServerPaused {
        /// The server.
        server: ServerId,
        /// Until the next request may be sent to it.
        pause: Millis,
    },
    /// A backend server named another limit on the requests of all gateways, or none any more.
    ServerLimitChanged {
        /// The server.
        server: ServerId,
        /// The limit, if there is one.
        limit: Option<LimitRate>,
        /// Host that received the response.
        seen_by: HostId,
    },
    /// This gateway has become the one that grants permits for a limited server.
    LimitLeaseHeld {
        /// The server.
        server: ServerId,
    },
    /// A request got no permit for a limited server.
    PermitDenied {
        /// The server.
        server: ServerId,
        /// Time until a permit may be free.
        free_in: Millis,
    },
    /// Control hosts have told what earlier processes of this gateway have spent of the retry budgets.
    EarlierRetriesKnown {
        /// What they have spent in the window.
        charged: RetryCredit,
    },
    /// The control host that was followed stopped answering, or reported that it is not current.
    ControlHostLost {
        /// The control host.
        host: HostId,
        /// Why it was abandoned.
        cause: &'static str,
    },
    /// A control host that is not followed failed a poll.
    ControlHostPassedOver {
        /// The control host.
        host: HostId,
        /// How it failed.
        cause: &'static str,
    },
    /// A control host answered as current and is followed from now on.
    ControlHostFound {
        /// The control host.
        host: HostId,
        /// Time for which no control host was followed.
        searched: Millis,
    },
    /// This gateway can't reach the backend servers.
    PathsDown {
        /// Number of servers in a row that it did not reach.
        servers: usize,
    },
    /// This gateway reaches backend servers again.
    PathsUp {
        /// Time since the paths were found to be down.
        after: Millis,
    },
    /// A request that was passed on to another gateway has ended there.
    RelayEnded {
        /// The other gateway.
        host: HostId,
        /// How it ended.
        end: &'static str,
    },
    /// A request was refused since its organisation asks for more than its limit.
    OverLimit {
        /// The organisation.
        organisation: OrganisationName,
        /// What kept the request from being admitted.
        cause: RefusalCause,
        /// When the caller is told to return.
        retry_after: Millis,
    },
    /// A retry was sent.
    RetrySent {
        /// Service of the request.
        service: ServiceName,
        /// The gateway's part of the retry budget before the retry.
        usage: RetryUsage,
    },
    /// What is known of a request that crashes servers has changed.
    Quarantine(QuarantineEvent),
}

/// Summary of a finished request for its log line and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSummary {
    /// Name of the route.
    pub route: String,
    /// Service that was chosen for the request.
    pub service: ServiceName,
    /// Organisation of the caller, if it is known by a key.
    pub organisation: Option<OrganisationName>,
    /// Where the request was sent, in order, and how each attempt ended.
    pub attempts: Vec<(AttemptTarget, &'static str)>,
    /// Likely work of the request.
    pub work: LikelyWork,
    /// Time until the first attempt was sent, or until the end if there was none.
    pub waited: Millis,
    /// Time since the request was received.
    pub took: Millis,
    /// Time limit of the request.
    pub time_limit: Millis,
    /// Configuration version in force when the request ended.
    pub version: ConfigVersion,
}
