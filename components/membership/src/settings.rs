//! Settings of the membership component.

use std::net::SocketAddr;

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::membership::MemberRole;

/// What a host says of itself and how it watches others.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The host itself.
    pub host: HostId,
    /// What the host does.
    pub role: MemberRole,
    /// The region that the host is in.
    pub region: RegionName,
    /// The data centre that the host is in.
    pub data_centre: DataCentreName,
    /// Higher after each start of the host.
    pub incarnation: Incarnation,
    /// Where other hosts reach this one.
    pub peer_address: SocketAddr,
    /// Where operators reach this host.
    pub admin_address: SocketAddr,
    /// Seed of the random choices.
    pub seed: u64,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// A host that a starting host asks for the list of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed {
    /// The host to ask.
    pub host: HostId,
    /// Where other hosts reach it.
    pub address: SocketAddr,
}

/// Intervals and timeouts.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two heartbeats to a host of the same data centre.
    pub heartbeat: Millis,
    /// Between two heartbeats to a host of another data centre.
    pub remote_heartbeat: Millis,
    /// Silence in either direction after which a host is probed by way of others.
    pub silence: Millis,
    /// Silence after which a data centre counts as unreachable.
    pub remote_silence: Millis,
    /// Time that indirect probes get before the host is suspected.
    pub probing: Millis,
    /// From a suspicion that others share to death.
    pub shared_suspicion: Millis,
    /// From a suspicion of a single host to death.
    pub lone_suspicion: Millis,
    /// How long a changed record is repeated in heartbeats.
    pub repeat: Millis,
    /// How long two lists may differ before they are compared.
    pub differ: Millis,
    /// Between two requests to join.
    pub join: Millis,
    /// Between two attempts to reach a seed or dead host again.
    pub rejoin: Millis,
    /// How long the record of a dead or stopped host is kept.
    pub forget: Millis,
    /// A gap between two ticks after which silence of others proves nothing.
    pub stall: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Millis(250),
            remote_heartbeat: Millis(500),
            silence: Millis(1_000),
            remote_silence: Millis(3_000),
            probing: Millis(500),
            shared_suspicion: Millis(400),
            lone_suspicion: Millis(1_000),
            repeat: Millis(600),
            differ: Millis(1_000),
            join: Millis(500),
            rejoin: Millis(5_000),
            forget: Millis(600_000),
            stall: Millis(600),
        }
    }
}
