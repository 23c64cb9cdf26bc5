//! Input events and output actions of [`EntryCore`](crate::EntryCore).

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
    /// The request has no such header.
    Missing,
    /// The value is not a valid key.
    Malformed,
    /// The value is a valid key.
    Given(IdempotencyKey),
}

/// Properties of a request whose body was read completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The `Host` header without its port; empty if the request has none.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Idempotency key.
    pub key: KeyHeader,
    /// Digest of method, path, query and body.
    pub payload: Fingerprint,
    /// Size of the body.
    pub body_size: ByteSize,
    /// How long the caller waits for the answer, if it says so.
    pub time_limit: Option<Millis>,
}

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server sent a complete answer.
    Answered(Answer),
    /// The server refused the request because it is busy.
    Shed {
        /// Whether the refusal proves that the request did not run.
        proves_not_run: bool,
        /// The server's `Retry-After` time, if it sent one.
        retry_after: Option<Millis>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost after some of the request may have been sent and before a complete
    /// answer arrived.
    ConnectionLost,
    /// The answer was cut short, too large or malformed.
    Truncated,
    /// The answer belongs to a different request.
    Mismatched,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptEnded {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Number of requests in the server, if its answer reports it.
    pub reported_load: Option<u32>,
}

/// Event that an entry host has to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// Time has passed; due every 50 ms and at [`EntryCore::next_wakeup`].
    ///
    /// [`EntryCore::next_wakeup`]: crate::EntryCore::next_wakeup
    Tick,
    /// Another host sent a message.
    Peer {
        /// The sender.
        from: HostId,
        /// Incarnation of the sender's process.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A caller's request was read completely.
    Request {
        /// Id of the request.
        request: RequestId,
        /// Properties of the request.
        head: RequestHead,
    },
    /// The caller of a request closed its connection.
    CallerGone {
        /// Id of the request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// Id of the server.
        server: ServerId,
        /// How the probe ended; `None` if it timed out.
        outcome: Option<AttemptOutcome>,
        /// When the probe was sent.
        started: Timestamp,
    },
    /// A backend server announced itself to this host.
    Announced(Announcement),
    /// A graceful shutdown starts.
    Drain,
}

/// Parameters of an attempt on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStart {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Id of the server.
    pub server: ServerId,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Time left until the attempt times out.
    pub time_left: Millis,
    /// Largest allowed body of the answer.
    pub max_response_bytes: ByteSize,
    /// Whether the attempt may use a connection that has carried requests before.
    pub may_reuse_connection: bool,
}

/// Parameters of a health probe of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeStart {
    /// Id of the server.
    pub server: ServerId,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Path of the probe request.
    pub path: String,
    /// Time after which the probe counts as timed out.
    pub timeout: Millis,
    /// Largest allowed body of the answer.
    pub max_response_bytes: ByteSize,
}

/// Action that the host's process has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a message to another host; delivery is not guaranteed.
    Send(Outgoing),
    /// Send a request to a backend server.
    StartAttempt(AttemptStart),
    /// Cancel an attempt and close its connection.
    CancelAttempt {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// Send the response to a caller; the last action for a request.
    Respond {
        /// Id of the request.
        request: RequestId,
        /// The response.
        response: Box<CallerResponse>,
    },
    /// Send a probe to a backend server.
    StartProbe(ProbeStart),
    /// Start to accept connections of callers and backend servers.
    OpenToCallers,
    /// Stop accepting connections, and close each open one after its requests in flight.
    CloseToCallers,
    /// The graceful shutdown is complete: the process may exit.
    Stopped,
}
