//! Ids and addresses of the hosts of a gateway fleet.
//!
//! The id of a host is its IPv4 address, and all hosts use the same port, so the address of a host
//! follows from its id.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use ids::{HostId, Incarnation};
use schema::peer::PeerFrame;
use storage::StorageError;
use tokio::sync::mpsc;
use transport::{FleetKeys, Transport, TransportSettings};

/// A process could not start, or stopped because of an error.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// {0}
    Storage(StorageError),
    /// {0}
    Io(io::Error),
}

impl std::error::Error for StartError {}

/// Returns the id of the host with this address.
pub(crate) fn host_of(ip: Ipv4Addr) -> HostId {
    HostId(ip.to_bits())
}

/// Returns the ids of the hosts with these addresses; the fleet uses only IPv4.
pub(crate) fn hosts_of(addresses: &[SocketAddr]) -> Vec<HostId> {
    let ips = addresses.iter().filter_map(|it| match it.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    ips.map(host_of).collect()
}

/// Returns the address of a host at a port that is the same on all hosts.
pub(crate) fn address_of(host: HostId, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(host.0), port))
}

/// Binds the transport of a host.
pub(crate) async fn bind_transport(
    ip: Ipv4Addr,
    peer_port: u16,
    incarnation: Incarnation,
) -> Result<(Transport, mpsc::Receiver<PeerFrame>), StartError> {
    let address = SocketAddr::from((ip, peer_port));
    let settings = TransportSettings {
        host: host_of(ip),
        incarnation,
        address,
        // The hosts of a gateway fleet share no secret; their network is trusted.
        keys: FleetKeys::unauthenticated(),
    };
    Transport::bind(settings).await.map_err(|e| StartError::Listen(address, e))
}
