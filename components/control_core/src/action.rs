//! Input events and output actions of [`ControlCore`](crate::ControlCore).

use ids::{ConfigVersion, ContentDigest, HostId, RequestId};
use schema::{
    consensus::{ConsensusMessage, Members, Snapshot},
    control_state::ClaimMap,
    operator::{OperatorRequest, OperatorResponse, Origin},
    storage::Record,
};

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Runs the timers that are due; expected about every 50 ms.
    Tick,
    /// A message from another control host.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        message: ConsensusMessage,
    },
    /// A request of an authenticated operator.
    Request {
        /// Id that is returned with the response.
        request: RequestId,
        /// The operator who sent it.
        origin: Origin,
        /// The request itself.
        body: OperatorRequest,
    },
    /// A new claim map; ignored unless this host is the leader and the map has the next epoch.
    ReplaceClaimMap(ClaimMap),
}

/// An action that the owner must execute, strictly in the order returned.
///
/// `Store` and `SaveSnapshot` must be durable before the next action is executed. If one of them
/// fails, the process must stop without executing the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Appends a record to the log on disk.
    Store(Record),
    /// Replaces the snapshot on disk; log entries up to its index may be deleted.
    SaveSnapshot(Snapshot),
    /// Sends a message, without any guarantee of delivery.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Answers an operator.
    Answer {
        /// The request that this responds to.
        request: RequestId,
        /// The response.
        response: OperatorResponse,
    },
    /// A configuration was committed and is now in force.
    ConfigCommitted {
        /// Its version; higher than in every earlier action of this process.
        version: ConfigVersion,
        /// Digest of the bytes of `text`.
        digest: ContentDigest,
        /// The configuration text.
        text: String,
    },
    /// A claim map was committed and is now in force.
    ClaimMapCommitted(ClaimMap),
    /// The members of the replicated log have changed.
    MembersChanged(Members),
}
