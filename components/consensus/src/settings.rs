//! Settings, timeouts and size limits.

use ids::{HostId, Millis};

/// Interval between a leader's heartbeats to each member, in milliseconds.
pub const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// Shortest election timeout, in milliseconds.
///
/// Each timeout is drawn at random between this and twice this value. A host that heard from its
/// leader within this time grants no vote.
pub const ELECTION_TIMEOUT_MIN: Millis = Millis(900);

/// Duration of a leader's lease, in milliseconds.
///
/// The lease starts at the send time of the newest message that a majority has acknowledged. It is
/// shorter than [`ELECTION_TIMEOUT_MIN`] to tolerate clock rates that differ by a quarter.
pub const LEASE_DURATION: Millis = Millis(700);

/// How long a leader waits for a reply to entries before it resends them, in milliseconds.
pub const RETRY_INTERVAL: Millis = Millis(500);

/// Interval between a host's announcements (`Hello` messages), in milliseconds.
pub const HELLO_INTERVAL: Millis = Millis(500);

/// Time without a `Hello` after which an initial voter counts as missing from the bootstrap, in
/// milliseconds: several intervals, so that lost messages have no effect.
pub(crate) const MISSING_AFTER: Millis = Millis(2_000);

/// Largest size of a command, in bytes.
pub const MAX_ENTRY_BYTES: usize = 3_500_000;

/// Largest total size of the commands in one message, in bytes; a single command may be larger.
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Largest size of a snapshot chunk, in bytes.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// How long a follower counts as up to date after it last heard from its leader, in milliseconds.
///
/// More than three heartbeats, so that one lost packet and its retransmission have no effect.
pub const MAX_FOLLOWER_STALENESS: Millis = Millis(800);

/// Silence after which a voter gives its place to a successor, in milliseconds.
///
/// Longer than most elections, so that voters that only lack a leader keep theirs.
pub(crate) const DEMOTE_AFTER: Millis = Millis(2_000);

/// Time for which a leader's own messages must have stayed unanswered before a member counts as
/// silent, in milliseconds: several heartbeats.
pub(crate) const OBSERVED_FOR: Millis = Millis(1_000);

/// Which hosts may join, and whether unresponsive members are removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipPolicy {
    /// Only the voters in the settings may join; operators remove lost ones themselves.
    Listed,
    /// Any host that announces itself may join; members that stop responding are removed.
    Open {
        /// Fewest voters that automatic removal leaves: `2n + 1` to survive the simultaneous loss
        /// of `n` disks.
        min_voters: usize,
        /// Time without a response after which a member is removed, in milliseconds.
        remove_after: Millis,
    },
}

impl MembershipPolicy {
    /// Returns how many voters may be lost at once, if members are changed without operators.
    pub(crate) fn bearable_losses(self) -> Option<usize> {
        match self {
            Self::Listed => None,
            Self::Open { min_voters, .. } => Some(min_voters.saturating_sub(1) / 2),
        }
    }
}

/// What the leader's lease is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseUse {
    /// Reads are served under the lease. After a restart, a host grants no vote until every lease
    /// that it may have acknowledged before the restart has expired.
    Reads,
    /// The lease is only a hint and reads go through the log. After a restart, a host may vote at
    /// once.
    Advisory,
}

/// Shortest election timeout after a restart with [`LeaseUse::Advisory`], in milliseconds.
///
/// It covers a few round trips between regions and applies until a leader is heard.
pub(crate) const RESTART_ELECTION_MIN: Millis = Millis(200);

/// Jitter added to [`RESTART_ELECTION_MIN`], in milliseconds.
///
/// Hosts that restart together should rarely request votes at the same time.
pub(crate) const RESTART_ELECTION_JITTER: Millis = Millis(600);

/// Shortest time after which a failed campaign is repeated, in milliseconds: a few round trips.
///
/// It doubles with each further failure, up to [`ELECTION_TIMEOUT_MIN`].
pub(crate) const CAMPAIGN_RETRY_MIN: Millis = Millis(200);

/// Settings of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Voters of a new cluster; with [`MembershipPolicy::Listed`], the only possible voters.
    pub voters: Vec<HostId>,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Which hosts may join.
    pub membership_policy: MembershipPolicy,
    /// What the lease is used for.
    pub lease_use: LeaseUse,
}
