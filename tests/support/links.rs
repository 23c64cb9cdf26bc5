//! Proxies between all hosts, one for each ordered pair, that inject faults into their messages.

use std::{collections::BTreeMap, net::SocketAddr};

use fault_proxy::{Fault, FaultProxy};
use ids::HostId;

/// The proxies of a fleet, by sender and receiver.
pub struct Links {
    proxies: BTreeMap<(HostId, HostId), FaultProxy>,
}

impl Links {
    /// Starts a proxy for each ordered pair of hosts.
    pub async fn start(hosts: &[(HostId, SocketAddr)]) -> Self {
        let mut proxies = BTreeMap::new();
        for (from, _) in hosts {
            for (to, address) in hosts {
                if from != to {
                    let seed = u64::from(from.0) << 32 | u64::from(to.0);
                    let proxy = FaultProxy::start(*address, seed).await.unwrap();
                    proxies.insert((*from, *to), proxy);
                }
            }
        }
        Self { proxies }
    }

    /// Returns the address at which `from` reaches `to`.
    pub fn address(&self, from: HostId, to: HostId) -> SocketAddr {
        self.proxies[&(from, to)].address()
    }

    /// Sets the fault of the messages from one host to another.
    pub fn set(&self, from: HostId, to: HostId, fault: Fault) {
        self.proxies[&(from, to)].set(fault);
    }

    /// Sets the fault of all messages from or to a host.
    pub fn isolate(&self, host: HostId, fault: Fault) {
        for ((from, to), proxy) in &self.proxies {
            if *from == host || *to == host {
                proxy.set(fault);
            }
        }
    }

    /// Sets the fault of all messages that a host sends.
    pub fn set_outgoing(&self, host: HostId, fault: Fault) {
        let outgoing = self.proxies.iter().filter(|((from, _), _)| *from == host);
        outgoing.for_each(|(_, proxy)| proxy.set(fault));
    }

    /// Sets the fault of all messages that a host receives.
    pub fn set_incoming(&self, host: HostId, fault: Fault) {
        let incoming = self.proxies.iter().filter(|((_, to), _)| *to == host);
        incoming.for_each(|(_, proxy)| proxy.set(fault));
    }

    /// Sets the fault of all messages.
    pub fn set_all(&self, fault: Fault) {
        self.proxies.values().for_each(|it| it.set(fault));
    }
}
