//! Inputs and outputs of [`Health`](crate::Health).

use std::time::Duration;

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName, ServerId, ServiceName};
use schema::health::{EvidenceSummary, HealthMessage, VerdictStage};

/// Identity of this entry host, and the seed of its timers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Number of this start of the process; grows with each restart.
    pub incarnation: Incarnation,
    /// Seed of the jitter in probe timers.
    pub seed: u64,
}

/// Availability of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownState {
    /// Warming up; takes a reduced share of requests.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Announced before, but the announcement has expired.
    Missing,
}

/// A backend server as announced to the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownServer {
    /// Id of the server.
    pub server: ServerId,
    /// Service that it provides.
    pub service: ServiceName,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// Number of this start of the server; grows with each restart.
    pub incarnation: Incarnation,
    /// Availability of the server.
    pub state: KnownState,
}

/// A live entry host according to membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveHost {
    /// Id of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Region of that data centre.
    pub region: RegionName,
}

/// Outcome of a request to a backend server, final or so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A complete answer.
    Answered,
    /// Connection refused or reset, or an answer with a server error.
    Failed,
    /// No answer before the timeout.
    TimedOut,
    /// Still in flight after [`Health::overdue_after`](crate::Health::overdue_after).
    Overdue,
    /// An answer that failed its check.
    Wrong,
    /// A truncated answer.
    Truncated,
    /// Shed by the server because of overload.
    Shed,
    /// The connection broke while the server ran a request known to crash servers.
    CrashedByRequest,
}

/// Outcome of one real request, as this host observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Server that the request was sent to.
    pub server: ServerId,
    /// Kind of outcome.
    pub kind: OutcomeKind,
    /// Time since the request was sent.
    pub latency: Duration,
    /// Whether this request was already reported as overdue.
    pub was_overdue: bool,
}

/// Outcome of one probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    /// Kind of outcome.
    pub kind: OutcomeKind,
    /// Time since the probe was sent.
    pub latency: Duration,
}

/// Health that a server reports of itself; it is no evidence and can only speed up probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// Ignored, as it proves nothing.
    Healthy,
    /// Makes this host, if it watches the server, probe it more often.
    Unhealthy,
}

/// Status of a backend server on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerStatus {
    /// Takes its share of requests.
    InRotation,
    /// In rotation, but suspected by this host as one of its watchers.
    Suspect,
    /// In rotation with a small share of requests after an ejection.
    Probation,
    /// Ejected by verdict; stays in rotation, as a last resort, only if the floor requires it.
    Ejected,
}

/// Reason for a change of a server's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeReason {
    /// Verdicts of its watchers, with the strongest evidence among them.
    Verdict(EvidenceSummary),
    /// No verdict on the server's present incarnation is in force.
    VerdictsEnded,
    /// The server restarted.
    Restarted,
}

/// An action for the entry host to perform, or a change of status for it to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthAction {
    /// Send a message to another entry host.
    Send {
        /// Receiver of the message.
        to: HostId,
        /// Message to send.
        message: HealthMessage,
    },
    /// Probe a server and report with [`Health::probe_result`](crate::Health::probe_result).
    Probe {
        /// Server to probe.
        server: ServerId,
        /// Timeout of the probe.
        timeout: Millis,
    },
    /// A server's status on this host changed.
    StatusChanged {
        /// Id of the server.
        server: ServerId,
        /// Previous status.
        from: ServerStatus,
        /// New status.
        to: ServerStatus,
        /// Reason for the change.
        reason: ChangeReason,
    },
}

/// A backend server that routing may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RotationEntry {
    /// Id of the server.
    pub server: ServerId,
    /// Its share of requests, in thousandths of a full share.
    pub weight: u32,
    /// Whether routing may choose it only if no other entry can take the request.
    pub last_resort: bool,
}

/// Status of a backend server and the reasons for it, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// Id of the server.
    pub server: ServerId,
    /// Its status on this host.
    pub status: ServerStatus,
    /// Whether this host avoids it because of its own outcomes.
    pub avoided_here: bool,
    /// Whether the floor keeps it in rotation as a last resort although it is ejected.
    pub held_by_floor: bool,
    /// Entry hosts that watch it.
    pub watchers: Vec<HostId>,
    /// Verdicts in force, one per watcher.
    pub verdicts: Vec<WatcherVerdict>,
    /// Strongest evidence by data centre, if this host watches the server.
    pub evidence: Vec<DataCentreEvidence>,
    /// Shortest time until this host as a watcher may move it to probation; `None` unless this host
    /// ejects it.
    pub comes_back_in: Option<Millis>,
}

/// Verdict of one watcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherVerdict {
    /// Id of the watcher.
    pub watcher: HostId,
    /// Stage that it decided on.
    pub stage: VerdictStage,
    /// Evidence for the verdict.
    pub evidence: EvidenceSummary,
}

/// Evidence of the observers in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreEvidence {
    /// Data centre of the observers.
    pub data_centre: DataCentreName,
    /// Log-likelihood ratio of the strongest symptom, in thousandths of a nat.
    pub milli_nats: u64,
}
