//! What an entry host is told, and what it decides to do.

use std::net::SocketAddr;

use fleet_core::Outgoing;
use ids::{
    AttemptNumber, ByteSize, Fingerprint, HostId, IdempotencyKey, Incarnation, Millis,
    OrganisationName, RequestId, ServerId, Timestamp,
};
use schema::{announcement::Announcement, answer::Answer, peer::PeerMessage};

use crate::CallerResponse;

/// The `Idempotency-Key` header of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyHeader {
    /// There is none.
    Missing,
    /// It cannot be a key.
    Malformed,
    /// The key.
    Given(IdempotencyKey),
}

/// What the core knows of a request whose body was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The `Host` header without port, or empty.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The organisation of the caller.
    pub organisation: OrganisationName,
    /// The idempotency key.
    pub key: KeyHeader,
    /// Digest of method, path, query and body.
    pub payload: Fingerprint,
    /// Size of the body.
    pub body_size: ByteSize,
    /// How long the caller waits, if it says so.
    pub time_limit: Option<Millis>,
}

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer came.
    Answered(Answer),
    /// The server was busy.
    Shed {
        /// Whether its answer proves that the request did not run.
        proves_not_run: bool,
        /// When the server wants the request to come back.
        retry_after: Option<Millis>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke before a whole answer came.
    Reset,
    /// The answer was cut short, too long or malformed.
    Truncated,
    /// The answer belongs to another request.
    Wrong,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The requests that the server said it holds.
    pub reported_load: Option<u32>,
}

/// What happens to an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// Time has passed; to be given every 50 ms and when [`EntryCore::next_wakeup`] says so.
    ///
    /// [`EntryCore::next_wakeup`]: crate::EntryCore::next_wakeup
    Tick,
    /// A message from another host.
    Peer {
        /// Its sender.
        from: HostId,
        /// The start of the sender's process.
        incarnation: Incarnation,
        /// What it says.
        message: PeerMessage,
    },
    /// A caller's request was read whole.
    Request {
        /// The id given to it.
        request: RequestId,
        /// What it asks for.
        head: RequestHead,
    },
    /// The caller of a request has gone away.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended; `None` when it took too long.
        outcome: Option<AttemptOutcome>,
        /// When it was sent.
        started: Timestamp,
    },
    /// A backend server announced itself here.
    Announced(Announcement),
    /// A planned stop begins.
    Drain,
}

/// An attempt to be sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStart {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The server.
    pub server: ServerId,
    /// Where the server accepts requests.
    pub address: SocketAddr,
    /// Time that the server has.
    pub time_left: Millis,
    /// Largest body of the answer.
    pub max_answer: ByteSize,
    /// Whether a connection that was used before may serve.
    pub may_reuse_connection: bool,
}

/// A probe to be sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeStart {
    /// The server.
    pub server: ServerId,
    /// Where the server accepts requests.
    pub address: SocketAddr,
    /// The path to ask for.
    pub path: String,
    /// When the probe counts as timed out.
    pub timeout: Millis,
    /// Largest body of the answer.
    pub max_answer: ByteSize,
}

/// What the owner has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a message to another host; it may be lost.
    Send(Outgoing),
    /// Send a request to a backend server.
    StartAttempt(AttemptStart),
    /// End an attempt and close its connection.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Answer a caller; the last action of a request.
    Respond {
        /// The request.
        request: RequestId,
        /// The answer.
        response: Box<CallerResponse>,
    },
    /// Probe a backend server.
    StartProbe(ProbeStart),
    /// Accept connections of callers and backend servers from now on.
    OpenToCallers,
    /// Accept no more connections, and close the open ones after their requests in flight.
    CloseToCallers,
    /// The planned stop is complete: the process may end.
    Stopped,
}
