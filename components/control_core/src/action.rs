//! What a control host is told, and what it decides to do.

use ids::{ConfigVersion, ContentDigest, HostId, RequestId};
use schema::{
    consensus::{ConsensusMessage, Members, Snapshot},
    control_state::ClaimMap,
    operator::{OperatorRequest, OperatorResponse, Origin},
    storage::Record,
};

/// What happens to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; to be given every 50 ms or so.
    Tick,
    /// A message from another control host.
    Message {
        /// Its sender.
        from: HostId,
        /// What it says.
        message: ConsensusMessage,
    },
    /// A request of an operator whose token was checked.
    Request {
        /// Comes back with the answer.
        request: RequestId,
        /// Who asks.
        origin: Origin,
        /// What is asked.
        body: OperatorRequest,
    },
    /// A new claim map; dropped unless this host leads and its epoch follows the current one.
    ReplaceClaimMap(ClaimMap),
}

/// Something to be done by the owner, strictly in the order given.
///
/// `Store` and `SaveSnapshot` must be durable before the action that follows is carried out.
/// When one of them fails, the process must stop without carrying out the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Adds a record to the log on disk.
    Store(Record),
    /// Replaces the snapshot on disk; entries up to its index may be dropped.
    SaveSnapshot(Snapshot),
    /// Sends a message that may be lost.
    Send {
        /// Where to.
        to: HostId,
        /// What.
        message: ConsensusMessage,
    },
    /// Answers an operator.
    Answer {
        /// The request that is answered.
        request: RequestId,
        /// The answer.
        response: OperatorResponse,
    },
    /// A configuration text is in force from now on.
    ConfigCommitted {
        /// Its version, higher than all before in this process.
        version: ConfigVersion,
        /// Digest of the text's bytes.
        digest: ContentDigest,
        /// The text.
        text: String,
    },
    /// A claim map is in force from now on.
    ClaimMapCommitted(ClaimMap),
    /// The members of the replicated log have changed.
    MembersChanged(Members),
}
