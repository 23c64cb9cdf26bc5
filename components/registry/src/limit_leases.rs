//! Leases of the limits of backend servers, as this control host has granted them.
//!
//! An entry host holds the lease of a server if a majority of the control hosts has granted it. Leases
//! are kept in memory only: a control host that has just started grants none until those of its
//! previous process have expired.

use std::net::SocketAddr;

use ids::{FastMap, HostId, Incarnation, LIMIT_LEASE_TIME, Millis, PermitNumber, Timestamp};
use schema::server_limit::{LimitLeaseAsk, LimitLeaseRelease};

/// Number of leases from which expired ones are removed.
const PRUNE_LEN: usize = 1_024;

/// Minimum time between two removals.
const PRUNE_INTERVAL: Millis = Millis(1_000);

/// A process of an entry host.
type Holder = (HostId, Incarnation);

#[derive(Debug)]
struct Lease {
    holder: Holder,
    number: PermitNumber,
    until: Timestamp,
}

/// The leases that a control host has granted, by address and incarnation of the server.
#[derive(Debug)]
pub struct LimitLeases {
    grants_from: Timestamp,
    leases: FastMap<(SocketAddr, Incarnation), Lease>,
    pruned_at: Timestamp,
}

impl LimitLeases {
    /// Creates the leases of a process that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self { grants_from: now + LIMIT_LEASE_TIME, leases: FastMap::default(), pruned_at: now }
    }

    /// Grants or renews a lease; returns false if another process may hold it.
    pub fn grant(&mut self, now: Timestamp, holder: Holder, ask: &LimitLeaseAsk) -> bool {
        if now < self.grants_from {
            return false;
        }
        if self.leases.len() >= PRUNE_LEN && now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.leases.retain(|_, it| now < it.until);
            self.pruned_at = now;
        }
        let key = (ask.address, ask.incarnation);
        let is_taken =
            self.leases.get(&key).is_some_and(|it| it.holder != holder && now < it.until);
        if !is_taken {
            let until = now + LIMIT_LEASE_TIME;
            self.leases.insert(key, Lease { holder, number: ask.number, until });
        }
        !is_taken
    }

    /// Ends a lease that its holder could not use, unless the holder has asked again.
    pub fn release(&mut self, holder: Holder, release: &LimitLeaseRelease) {
        let key = (release.address, release.incarnation);
        let is_same = |it: &Lease| it.holder == holder && it.number == release.number;
        if self.leases.get(&key).is_some_and(is_same) {
            self.leases.remove(&key);
        }
    }
}
