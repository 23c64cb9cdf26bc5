//! Where each host of the fleet is reached.

use std::net::SocketAddr;

use ids::{FastMap, HostId};
use schema::settings::Peer;

/// The addresses of the other hosts; those of the settings go before those learnt.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    configured: FastMap<HostId, SocketAddr>,
    learnt: FastMap<HostId, SocketAddr>,
}

impl AddressBook {
    /// A book with the hosts of the settings.
    pub fn new(peers: &[Peer]) -> Self {
        let configured = peers.iter().map(|it| (it.host, it.peer_address)).collect();
        Self { configured, learnt: FastMap::default() }
    }

    /// Notes the address that a host gives for itself.
    pub fn set_advertised(&mut self, host: HostId, address: SocketAddr) {
        self.learnt.insert(host, address);
    }

    /// Where the host is reached, if known.
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.configured.get(&host).or_else(|| self.learnt.get(&host)).copied()
    }
}
