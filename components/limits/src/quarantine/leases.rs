//! The leases that a coordinator gave for suspect runs; one a fingerprint.

use std::collections::BTreeMap;

use ids::{Fingerprint, HostId, Millis, Timestamp};
use schema::limits::{RunEnded, RunQuery};

use super::MAX_LEASE;

/// Time beyond the end of a lease in which the holder's strike can still arrive.
const GRACE: Millis = Millis(2_000);

/// The leases by fingerprint.
#[derive(Debug, Clone, Default)]
pub(super) struct Leases {
    held: BTreeMap<Fingerprint, Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    /// `None` when an unknown host may hold a lease of an earlier coordinator.
    holder: Option<Holder>,
    until: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    host: HostId,
    query: u64,
}

impl Leases {
    /// Gives the lease when it is free, or again when the same query holds it.
    pub(super) fn grant(&mut self, now: Timestamp, host: HostId, query: &RunQuery) -> bool {
        let holder = Holder { host, query: query.query };
        if let Some(lease) = self.held.get(&query.fingerprint)
            && lease.until > now
        {
            return lease.holder == Some(holder);
        }
        let lease = Lease { holder: Some(holder), until: now + query.lease.min(MAX_LEASE) + GRACE };
        self.held.insert(query.fingerprint, lease);
        true
    }

    /// Gives no lease while one of an earlier coordinator that ends by `until` may be held.
    pub(super) fn block(&mut self, fingerprint: Fingerprint, until: Timestamp) {
        let until = until + GRACE;
        let lease = self.held.entry(fingerprint).or_insert(Lease { holder: None, until });
        if lease.holder.is_none() {
            lease.until = lease.until.max(until);
        }
    }

    /// Frees the lease if the ended run holds it.
    pub(super) fn release(&mut self, host: HostId, ended: &RunEnded) {
        let holder = Some(Holder { host, query: ended.query });
        if self.held.get(&ended.fingerprint).is_some_and(|lease| lease.holder == holder) {
            self.held.remove(&ended.fingerprint);
        }
    }

    /// Frees the lease whoever holds it: its run has crashed or was answered.
    pub(super) fn release_all(&mut self, fingerprint: &Fingerprint) {
        self.held.remove(fingerprint);
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.held.retain(|_, lease| lease.until > now);
    }
}
