//! Settings and time constants of the replicated log.

use ids::{HostId, Millis};

/// How often a leader sends to each member, in milliseconds.
pub const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// How long a follower waits for its leader before it asks for votes, in milliseconds.
///
/// The wait is drawn between this and twice this. A host that heard its leader within this time
/// grants no vote.
pub const ELECTION_TIMEOUT_MIN: Millis = Millis(900);

/// How long a leader answers as current after a majority's last answer was asked for, in
/// milliseconds.
///
/// It is shorter than [`ELECTION_TIMEOUT_MIN`], so that clocks may run apart by a quarter.
pub const LEASE_DURATION: Millis = Millis(700);

/// How long a leader waits for the answer to entries before it sends them again, in milliseconds.
pub const RETRY_INTERVAL: Millis = Millis(500);

/// How often a host that is no voter announces itself, in milliseconds.
pub const HELLO_INTERVAL: Millis = Millis(500);

/// The largest command, in bytes.
pub const MAX_ENTRY_BYTES: usize = 3_500_000;

/// The most bytes of commands in one message, unless a single command is larger.
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// How long a follower counts as current after it last heard its leader, in milliseconds.
///
/// Three heartbeats, so that a single lost packet and its resend pass unnoticed.
pub const MAX_FOLLOWER_STALENESS: Millis = Millis(800);

/// Which hosts besides the founding ones may join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipPolicy {
    /// None: operators list the voters and remove lost ones themselves.
    Listed,
    /// Any host that announces itself; voters that stay silent are removed.
    Open {
        /// Voters that are kept in any case: two for each disk that may be lost at once, and one.
        min_voters: usize,
        /// Silence after which a voter is removed, in milliseconds.
        remove_after: Millis,
    },
}

/// What a lease of the leader is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseUse {
    /// Reads: a host that has restarted grants no vote as long as a leader may hold a lease by an
    /// answer of this host from before.
    Reads,
    /// Hints only; reads go through the log. A host that has restarted votes at once.
    Advisory,
}

/// Shortest wait of a host that has heard no leader since its start before it asks for votes,
/// where leases are hints, in milliseconds: a few round trips between regions.
pub(crate) const RESTART_ELECTION_MIN: Millis = Millis(200);

/// Spread of that wait, in milliseconds: hosts that restart together should seldom ask at once.
pub(crate) const RESTART_ELECTION_SPREAD: Millis = Millis(600);

/// Settings of one host of the replicated log.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The hosts that found the log together; with [`MembershipPolicy::Listed`], all that may become voters.
    pub voters: Vec<HostId>,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Which other hosts may join.
    pub membership_policy: MembershipPolicy,
    /// What leases are used for.
    pub lease_use: LeaseUse,
}
