//! The suspect runs of this entry host: those that wait for a lease and those that hold one.

use std::collections::BTreeMap;

use ids::{Fingerprint, Millis, RequestId, Timestamp};

/// Longest wait for the coordinator's answer.
const QUERY_TIMEOUT: Millis = Millis(500);

/// A request that waits for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingRun {
    pub query: u64,
    pub request: RequestId,
    pub fingerprint: Fingerprint,
    /// When the lease ends; counted from the query, so before the coordinator's end.
    pub until: Timestamp,
    asked_at: Timestamp,
}

/// The suspect runs of this entry host.
#[derive(Debug, Clone, Default)]
pub(super) struct Runs {
    next_query: u64,
    waiting: BTreeMap<u64, WaitingRun>,
    leased: BTreeMap<RequestId, LeasedRun>,
}

#[derive(Debug, Clone, Copy)]
struct LeasedRun {
    query: u64,
    fingerprint: Fingerprint,
}

impl Runs {
    /// Whether a run of the fingerprint waits or is in flight here.
    pub(super) fn is_active(&self, fingerprint: &Fingerprint) -> bool {
        self.waiting.values().any(|run| run.fingerprint == *fingerprint)
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
        let run = WaitingRun { query, request, fingerprint, until: now + lease, asked_at: now };
        self.waiting.insert(query, run);
        query
    }

    pub(super) fn take_waiting(&mut self, query: u64) -> Option<WaitingRun> {
        self.waiting.remove(&query)
    }

    pub(super) fn start_leased(&mut self, run: &WaitingRun) {
        let leased = LeasedRun { query: run.query, fingerprint: run.fingerprint };
        self.leased.insert(run.request, leased);
    }

    /// Ends a leased run; returns its query.
    pub(super) fn take_leased(&mut self, request: RequestId) -> Option<u64> {
        self.leased.remove(&request).map(|run| run.query)
    }

    pub(super) fn is_leased(&self, query: u64) -> bool {
        self.leased.values().any(|run| run.query == query)
    }

    /// The runs whose query was not answered in time.
    pub(super) fn take_overdue(&mut self, now: Timestamp) -> Vec<WaitingRun> {
        let overdue = |run: &&WaitingRun| now.since(run.asked_at) >= QUERY_TIMEOUT;
        let overdue: Vec<WaitingRun> = self.waiting.values().filter(overdue).copied().collect();
        overdue.iter().for_each(|run| {
            self.waiting.remove(&run.query);
        });
        overdue
    }
}
