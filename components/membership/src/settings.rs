//! Settings of the membership component.

use std::net::SocketAddr;

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::membership::MemberRole;

/// The identity of this host and its parameters for failure detection.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The id of this host.
    pub host: HostId,
    /// Whether this is an entry host or a control host.
    pub role: MemberRole,
    /// The region of this host.
    pub region: RegionName,
    /// The data centre of this host.
    pub data_centre: DataCentreName,
    /// The incarnation of this host, which increases with each start.
    pub incarnation: Incarnation,
    /// The address at which other hosts reach this one.
    pub peer_address: SocketAddr,
    /// The address at which operators reach this host.
    pub admin_address: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// A host from which a starting host requests the member table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed {
    /// The id of the seed host.
    pub host: HostId,
    /// The address at which other hosts reach it.
    pub address: SocketAddr,
}

/// Intervals and timeouts.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Time between heartbeats to a host of the same data centre.
    pub heartbeat_interval: Millis,
    /// Time between heartbeats to a host of another data centre.
    pub remote_heartbeat_interval: Millis,
    /// Time without messages in either direction after which a host is probed.
    pub link_timeout: Millis,
    /// Time without a confirmed exchange after which a data centre counts as unreachable.
    pub remote_timeout: Millis,
    /// Time for which probes go unanswered before the host is suspected.
    pub probe_timeout: Millis,
    /// Time from the first suspicion to death if several hosts suspect the host.
    pub shared_suspicion_timeout: Millis,
    /// Time from the suspicion to death if only one host suspects the host.
    pub single_suspicion_timeout: Millis,
    /// How long an update is piggybacked on heartbeats.
    pub piggyback_period: Millis,
    /// How long the tables of two hosts may differ before anti-entropy starts.
    pub anti_entropy_delay: Millis,
    /// Time between join requests to seeds while the host has no member table.
    pub join_interval: Millis,
    /// Time between attempts to reach the seeds that are not live, and one dead host.
    pub rejoin_interval: Millis,
    /// How long the record of a dead or stopped host (a tombstone) is kept.
    pub tombstone_retention: Millis,
    /// Gap between two ticks after which this host was itself stalled, so that missing
    /// messages are no evidence against other hosts.
    pub stall_threshold: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(250),
            remote_heartbeat_interval: Millis(500),
            link_timeout: Millis(1_000),
            remote_timeout: Millis(3_000),
            probe_timeout: Millis(500),
            shared_suspicion_timeout: Millis(400),
            single_suspicion_timeout: Millis(1_000),
            piggyback_period: Millis(600),
            anti_entropy_delay: Millis(1_000),
            join_interval: Millis(500),
            rejoin_interval: Millis(5_000),
            tombstone_retention: Millis(600_000),
            stall_threshold: Millis(600),
        }
    }
}
