//! Timers of open claims.

use std::collections::BTreeSet;

use ids::{RequestId, Timestamp};

/// The claims that have a timer, by expiry.
#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Timestamp, RequestId)>,
}

impl Timers {
    pub(super) fn insert(&mut self, due: Timestamp, request: RequestId) {
        self.due.insert((due, request));
    }

    pub(super) fn remove(&mut self, due: Timestamp, request: RequestId) {
        self.due.remove(&(due, request));
    }

    /// Removes and returns the earliest claim that is due.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<RequestId> {
        let (due, _) = *self.due.first()?;
        if due > now {
            return None;
        }
        self.due.pop_first().map(|(_, request)| request)
    }

    /// Returns when the earliest timer expires.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.due.first().map(|(due, _)| *due)
    }
}
