//! What goes into the health decisions and what comes out.

use std::time::Duration;

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName, ServerId, ServiceName};
use schema::health::{EvidenceSummary, HealthMessage, VerdictStage};

/// Who this entry host is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub host: HostId,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Counts the starts of this process.
    pub incarnation: Incarnation,
    /// Spreads timers.
    pub seed: u64,
}

/// Whether a known backend server can take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownState {
    /// Not yet warm.
    Starting,
    /// Takes work.
    Serving,
    /// Finishes its work and takes no more.
    Draining,
    /// Announced before, but the announcement has run out.
    Missing,
}

/// A backend server as the membership knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownServer {
    /// The server.
    pub server: ServerId,
    /// The service that it provides.
    pub service: ServiceName,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Counts the starts of the server.
    pub incarnation: Incarnation,
    /// Whether it can take work.
    pub state: KnownState,
}

/// A live entry host as the membership knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveHost {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The region of its data centre.
    pub region: RegionName,
}

/// How a request to a backend server ended, or how it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A whole answer.
    Answered,
    /// Refused, reset, or answered with a server error.
    Failed,
    /// No answer in time.
    TimedOut,
    /// Still in flight after [`Health::overdue_after`](crate::Health::overdue_after).
    Overdue,
    /// An answer that fails its check.
    Wrong,
    /// An answer that was cut short.
    Truncated,
    /// The server refused because it is busy.
    Shed,
    /// The connection broke while the server ran a request known to crash servers.
    CrashedByRequest,
}

/// The outcome of one real request, as this host saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The server that had the request.
    pub server: ServerId,
    /// How the request ended or stands.
    pub kind: OutcomeKind,
    /// Time since the request was sent.
    pub latency: Duration,
    /// Whether the same request was reported as overdue before.
    pub was_overdue: bool,
}

/// The outcome of one probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    /// How the probe ended.
    pub kind: OutcomeKind,
    /// Time since the probe was sent.
    pub latency: Duration,
}

/// What a server's own health or load endpoint says; can only raise suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// The server says that it is well, which proves nothing.
    Healthy,
    /// The server says that it is unwell.
    Unhealthy,
}

/// Where a backend server stands on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerStatus {
    /// Takes its share of work.
    InRotation,
    /// In rotation, while its watchers look closer.
    Suspect,
    /// Gets a trickle of work.
    Probation,
    /// Ejected by verdict; in rotation only as far as the floor demands.
    Ejected,
}

/// Why a server's status changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeReason {
    /// Verdicts of its watchers.
    Verdict(EvidenceSummary),
    /// The verdicts against it were withdrawn or ran out.
    VerdictsEnded,
    /// The server started anew.
    Restarted,
}

/// What the health decisions ask their host to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthAction {
    /// Send a message to another entry host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: HealthMessage,
    },
    /// Probe a server and report with [`Health::probe_result`](crate::Health::probe_result).
    Probe {
        /// The server to probe.
        server: ServerId,
        /// When the probe counts as timed out.
        timeout: Millis,
    },
    /// A server's status on this host changed.
    StatusChanged {
        /// The server.
        server: ServerId,
        /// Its status before.
        from: ServerStatus,
        /// Its status now.
        to: ServerStatus,
        /// Why.
        reason: ChangeReason,
    },
}

/// A backend server that routing may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RotationEntry {
    /// The server.
    pub server: ServerId,
    /// Its share of the work, in thousandths of a full share.
    pub weight: u32,
    /// Whether it is to be used only when no other entry can be.
    pub last_resort: bool,
}

/// Where a backend server stands and why, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// Its status on this host.
    pub status: ServerStatus,
    /// Whether this host avoids it on its own path.
    pub avoided_here: bool,
    /// Whether the floor keeps it in rotation as a last resort.
    pub held_by_floor: bool,
    /// The entry hosts that watch it.
    pub watchers: Vec<HostId>,
    /// The current verdicts, one a watcher.
    pub verdicts: Vec<WatcherVerdict>,
    /// The strongest evidence by data centre, when this host watches the server.
    pub evidence: Vec<DataCentreEvidence>,
    /// Time until the watcher on this host lets it into probation, when it holds it out.
    pub comes_back_in: Option<Millis>,
}

/// The verdict of one watcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherVerdict {
    /// The watcher.
    pub watcher: HostId,
    /// What it holds.
    pub stage: VerdictStage,
    /// Its evidence.
    pub evidence: EvidenceSummary,
}

/// The evidence of one data centre's observers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreEvidence {
    /// The observers' data centre.
    pub data_centre: DataCentreName,
    /// Log-likelihood ratio of the strongest symptom, in thousandths of a nat.
    pub milli_nats: u64,
}
