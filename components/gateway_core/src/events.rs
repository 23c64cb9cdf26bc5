//! What a gateway decided or came to believe, for logs.

use ids::{ConfigVersion, DataCentreName, HostId, Millis, RequestId, ServerId, ServiceName};

/// A decision or a change of belief.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A configuration is in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
        /// The version before.
        before: ConfigVersion,
        /// How many routes it has.
        routes: usize,
    },
    /// A backend server announced something new.
    ServerAnnounced {
        /// The server.
        server: ServerId,
        /// Its service.
        service: ServiceName,
        /// Where it is.
        data_centre: DataCentreName,
        /// What it says of itself.
        state: schema::announcement::ServerState,
    },
    /// A backend server is used only when no other can serve.
    ServerAvoided {
        /// The server.
        server: ServerId,
        /// What happened there.
        cause: &'static str,
        /// The host that saw it.
        seen_by: HostId,
    },
    /// A control host no longer answers or is not current.
    ControlHostLost {
        /// The control host.
        host: HostId,
        /// Why.
        cause: &'static str,
    },
    /// A control host keeps this gateway up to date.
    ControlHostFound {
        /// The control host.
        host: HostId,
    },
    /// A request crashes the servers that run it and is refused from now on.
    RequestQuarantined {
        /// The request that showed it.
        request: RequestId,
        /// Servers that lost it.
        servers: usize,
    },
}

/// What became of a request, for its log line and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSummary {
    /// The route's name.
    pub route: String,
    /// The service that was chosen.
    pub service: ServiceName,
    /// The servers that it was sent to, in order, and how each attempt ended.
    pub attempts: Vec<(ServerId, &'static str)>,
    /// Time that it waited for a server.
    pub waited: Millis,
    /// Time since it was received.
    pub took: Millis,
    /// Time that it had.
    pub time_limit: Millis,
    /// The configuration version that decided.
    pub version: ConfigVersion,
}
