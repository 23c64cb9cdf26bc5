//! The leases that a coordinator granted for suspect runs, at most one per fingerprint.

use std::collections::BTreeMap;

use ids::{Fingerprint, HostId, Millis, Timestamp};
use schema::limits::{RunEnded, RunQuery};

use super::MAX_LEASE;

/// Time after the end of a lease in which a strike of its holder may still arrive.
const LEASE_GRACE: Millis = Millis(2_000);

/// The granted leases by fingerprint.
#[derive(Debug, Clone, Default)]
pub(super) struct LeaseTable {
    held: BTreeMap<Fingerprint, Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    /// `None` if some host may hold a lease of an earlier coordinator.
    holder: Option<Holder>,
    expires_at: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    host: HostId,
    query: u64,
}

impl LeaseTable {
    /// Grants the lease if it is free or held by the same query; returns whether it was granted.
    pub(super) fn grant(&mut self, now: Timestamp, host: HostId, query: &RunQuery) -> bool {
        let holder = Holder { host, query: query.query };
        if let Some(lease) = self.held.get(&query.fingerprint)
            && lease.expires_at > now
        {
            return lease.holder == Some(holder);
        }
        let lease = Lease {
            holder: Some(holder),
            expires_at: now + query.lease.min(MAX_LEASE) + LEASE_GRACE,
        };
        self.held.insert(query.fingerprint, lease);
        true
    }

    /// Blocks new leases while one of an earlier coordinator may be held, which ends by `until`.
    pub(super) fn block(&mut self, fingerprint: Fingerprint, until: Timestamp) {
        let expires_at = until + LEASE_GRACE;
        let lease = self.held.entry(fingerprint).or_insert(Lease { holder: None, expires_at });
        if lease.holder.is_none() {
            lease.expires_at = lease.expires_at.max(expires_at);
        }
    }

    /// Releases the lease if the ended run holds it.
    pub(super) fn release(&mut self, host: HostId, ended: &RunEnded) {
        let holder = Some(Holder { host, query: ended.query });
        if self.held.get(&ended.fingerprint).is_some_and(|lease| lease.holder == holder) {
            self.held.remove(&ended.fingerprint);
        }
    }

    /// Releases the lease whoever holds it, as its run has crashed or the fingerprint is cleared.
    pub(super) fn revoke(&mut self, fingerprint: &Fingerprint) {
        self.held.remove(fingerprint);
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.held.retain(|_, lease| lease.expires_at > now);
    }
}
