//! The network addresses of the hosts of the fleet.

use std::net::SocketAddr;

use ids::{FastMap, HostId};
use schema::settings::Peer;

/// The addresses of the other hosts, of which the configured ones take precedence over those that
/// hosts advertise.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    configured: FastMap<HostId, SocketAddr>,
    advertised: FastMap<HostId, SocketAddr>,
}

impl AddressBook {
    /// Creates a book with the configured peers.
    pub fn new(peers: &[Peer]) -> Self {
        let configured = peers.iter().map(|it| (it.host, it.peer_address)).collect();
        Self { configured, advertised: FastMap::default() }
    }

    /// Sets the address that a host advertises for itself.
    pub fn set_advertised(&mut self, host: HostId, address: SocketAddr) {
        self.advertised.insert(host, address);
    }

    /// Returns the address of a host, if it is known.
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.configured.get(&host).or_else(|| self.advertised.get(&host)).copied()
    }
}
