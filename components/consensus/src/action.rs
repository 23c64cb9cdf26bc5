//! What the replicated log asks its owner to do.

use ids::{Blob, ByteSize, HostId, LogIndex};
use schema::{
    consensus::{ConsensusMessage, Members, Snapshot},
    storage::Record,
};

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
    /// Applies an accepted command to the replicated state.
    Apply {
        /// Position of the command.
        index: LogIndex,
        /// The command.
        data: Blob,
    },
    /// Replaces the replicated state by a snapshot.
    RestoreState {
        /// The last command that the snapshot contains.
        index: LogIndex,
        /// The state.
        data: Blob,
    },
    /// A change of members was accepted.
    MembersChanged(Members),
}

/// What became of a command, and what is to be done in either case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposed {
    /// The position of the command in the log; it is not accepted yet.
    pub outcome: Result<LogIndex, ProposeError>,
    /// What is to be done.
    pub actions: Vec<Action>,
}

/// Why a command was not taken.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ProposeError {
    /// this host does not lead the replicated log
    NotLeader {
        /// The leader, when known.
        leader: Option<HostId>,
    },
    /// this host cannot reach a majority of the voters
    LeaseExpired,
    /// the command is larger than {0} bytes
    TooLarge(ByteSize),
    /// another change of members is under way
    ChangePending,
    /// a majority of the voters after the change was not heard lately
    MajorityUnreachable,
    /// host {0} is no voter or the last one
    NotRemovable(HostId),
}

impl std::error::Error for ProposeError {}

/// Why this host may not answer as current.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ReadError {
    /// this host does not lead the replicated log
    NotLeader {
        /// The leader, when known.
        leader: Option<HostId>,
    },
    /// this host cannot reach a majority of the voters
    LeaseExpired,
}

impl std::error::Error for ReadError {}
