//! The runs of suspect requests on this entry host that wait for a lease or hold one.

use std::collections::BTreeMap;

use ids::{Fingerprint, Millis, RequestId, Timestamp};

/// Longest wait for the coordinator's reply to a query.
const QUERY_TIMEOUT: Millis = Millis(500);

/// A run that waits for the reply to its lease query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingRun {
    pub query: u64,
    pub request: RequestId,
    pub fingerprint: Fingerprint,
    /// When the lease ends. It is counted from the query, so the run ends before the coordinator
    /// grants another lease.
    pub lease_until: Timestamp,
    asked_at: Timestamp,
}

/// The suspect runs of this entry host, with their lease queries.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectRuns {
    next_query: u64,
    pending: BTreeMap<u64, PendingRun>,
    leased: BTreeMap<RequestId, LeasedRun>,
}

#[derive(Debug, Clone, Copy)]
struct LeasedRun {
    query: u64,
    fingerprint: Fingerprint,
}

impl SuspectRuns {
    /// Returns whether a run of the fingerprint is pending or in flight on this host.
    pub(super) fn is_active(&self, fingerprint: &Fingerprint) -> bool {
        self.pending.values().any(|run| run.fingerprint == *fingerprint)
            || self.leased.values().any(|run| run.fingerprint == *fingerprint)
    }

    pub(super) fn start_query(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fingerprint: Fingerprint,
        lease: Millis,
    ) -> u64 {
        let query = self.next_query;
        self.next_query += 1;
        let run =
            PendingRun { query, request, fingerprint, lease_until: now + lease, asked_at: now };
        self.pending.insert(query, run);
        query
    }

    pub(super) fn take_pending(&mut self, query: u64) -> Option<PendingRun> {
        self.pending.remove(&query)
    }

    pub(super) fn record_leased(&mut self, run: &PendingRun) {
        let leased = LeasedRun { query: run.query, fingerprint: run.fingerprint };
        self.leased.insert(run.request, leased);
    }

    /// Removes a leased run; returns its query.
    pub(super) fn take_leased(&mut self, request: RequestId) -> Option<u64> {
        self.leased.remove(&request).map(|run| run.query)
    }

    pub(super) fn is_leased(&self, query: u64) -> bool {
        self.leased.values().any(|run| run.query == query)
    }

    /// Removes and returns the runs whose query was not answered in time.
    pub(super) fn take_timed_out(&mut self, now: Timestamp) -> Vec<PendingRun> {
        let timed_out = |run: &&PendingRun| now.since(run.asked_at) >= QUERY_TIMEOUT;
        let timed_out: Vec<PendingRun> = self.pending.values().filter(timed_out).copied().collect();
        timed_out.iter().for_each(|run| {
            self.pending.remove(&run.query);
        });
        timed_out
    }
}
