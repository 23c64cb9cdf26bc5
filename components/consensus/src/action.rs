//! Actions and results that are returned to the owner of the state machine.

use ids::{Blob, ByteSize, HostId, LogIndex};
use schema::{
    consensus::{ConsensusMessage, Members, Snapshot},
    storage::Record,
};

/// An action for the owner, to be executed strictly in the given order.
///
/// `Store` and `SaveSnapshot` must be durable before the next action is executed. If one of them
/// fails, the process must stop without executing the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Appends a record to the log on disk.
    Store(Record),
    /// Replaces the snapshot on disk; entries up to its index may be deleted.
    SaveSnapshot(Snapshot),
    /// Sends a message; delivery is not guaranteed.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message to send.
        message: ConsensusMessage,
    },
    /// Applies a committed command to the replicated state.
    Apply {
        /// Log index of the command.
        index: LogIndex,
        /// The command as it was proposed.
        data: Blob,
    },
    /// Replaces the replicated state by a snapshot from the leader.
    RestoreState {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// The encoded state.
        data: Blob,
    },
    /// Reports that a membership change was committed.
    MembersChanged(Members),
}

/// The result of a proposal, and the actions to execute whether it succeeded or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposed {
    /// The log index of the new entry, which is not committed yet.
    pub outcome: Result<LogIndex, ProposeError>,
    /// Actions to execute in order.
    pub actions: Vec<Action>,
}

/// Reasons to reject a proposal.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ProposeError {
    /// this host is not the leader of the replicated log
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// this host cannot reach a majority of the voters
    LeaseExpired,
    /// the command is larger than {0} bytes
    TooLarge(ByteSize),
    /// another membership change is in progress
    ChangePending,
    /// this host cannot reach a majority of the voters after the membership change
    MajorityUnreachable,
    /// host {0} is not a voter or is the last voter
    NotRemovable(HostId),
}

impl std::error::Error for ProposeError {}

/// Reasons why this host cannot serve a read under its lease.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ReadError {
    /// this host is not the leader of the replicated log
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// this host cannot reach a majority of the voters
    LeaseExpired,
}

impl std::error::Error for ReadError {}
