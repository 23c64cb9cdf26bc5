//! Events that a control host of the registry handles, and the actions that it returns.

use ids::{HostId, Incarnation, RequestId, ServerId};
use schema::{
    announcement::Announcement, consensus::Snapshot, peer::PeerMessage, registry::ConfigDocument,
    storage::Record,
};

/// A request to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Stores a validated configuration; the highest version takes effect.
    PutConfig(ConfigDocument),
    /// Reads the newest configuration.
    ReadConfig,
    /// Announces a backend server or a change of its state.
    Announce(Announcement),
    /// Removes a backend server that has stopped.
    Leave {
        /// The server that leaves.
        server: ServerId,
        /// The incarnation that leaves; `None` matches the known one.
        incarnation: Option<Incarnation>,
    },
}

/// An event that a control host handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostEvent {
    /// A timer tick, expected about every 50 ms.
    Tick,
    /// A message from another host.
    Peer {
        /// The sender.
        from: HostId,
        /// The incarnation of the sender's process.
        incarnation: Incarnation,
        /// The message itself.
        message: PeerMessage,
    },
    /// A request from outside the fleet.
    Request {
        /// Identifies the request in [`HostAction::Answer`].
        id: RequestId,
        /// The operation requested.
        request: Request,
    },
    /// The seed control hosts in the settings have changed.
    SeedsChanged(Vec<HostId>),
    /// A graceful shutdown starts: polls are answered as not current, so that pollers switch to
    /// other control hosts.
    Stop,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request is done, and its result is durable on a majority of the control hosts.
    Accepted,
    /// The announcement is durable, or it is stale and has no effect.
    AnnouncementAccepted {
        /// The control host in the server's data centre or region that should receive its next
        /// announcements, if there is one.
        next: Option<HostId>,
    },
    /// The newest configuration.
    Config(ConfigDocument),
    /// No configuration has been stored yet.
    NoConfig,
    /// The departure names no incarnation, and no server with its id is known: it has no effect.
    UnknownServer,
    /// Only the leader can answer, and this is its id.
    AskLeader(HostId),
    /// The request failed or its outcome is unknown; it may still take effect.
    Unavailable(UnavailableReason),
}

/// Why a request could not be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum UnavailableReason {
    /// no leader of the replicated log is known
    NoLeader,
    /// this host leads but hears no majority
    NoMajority,
    /// the log did not accept the request in time
    TimedOut,
    /// another host leads the log now
    LeadershipLost,
    /// the request is larger than the log takes
    TooLarge,
    /// the disk of this host takes no writes
    DiskFailed,
}

/// An action for the driver of the host to execute, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostAction {
    /// Appends a record to the log on disk.
    Store(Record),
    /// Replaces the snapshot on disk.
    SaveSnapshot(Snapshot),
    /// Sends a message; delivery is not guaranteed.
    Send {
        /// The recipient.
        to: HostId,
        /// The message itself.
        message: PeerMessage,
    },
    /// Answers a request.
    Answer {
        /// The id from [`HostEvent::Request`].
        id: RequestId,
        /// The answer to that request.
        answer: Answer,
    },
}
