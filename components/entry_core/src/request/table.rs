//! Table of the unanswered requests, indexed by id and by the next timer.

use std::collections::BTreeSet;

use ids::{FastMap, RequestId, Timestamp};

use super::Request;

/// All requests that have not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: FastMap<RequestId, ScheduledRequest>,
    wakeups: BTreeSet<(Timestamp, RequestId)>,
}

#[derive(Debug)]
struct ScheduledRequest {
    request: Request,
    wakeup: Timestamp,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        let wakeup = request.wakeup();
        self.wakeups.insert((wakeup, id));
        self.requests.insert(id, ScheduledRequest { request, wakeup });
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id).map(|it| &it.request)
    }

    /// Returns the request for a change; [`Self::reschedule`] must be called afterwards.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id).map(|it| &mut it.request)
    }

    /// Updates the wakeup time of a changed request.
    pub(crate) fn reschedule(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let wakeup = entry.request.wakeup();
        if wakeup != entry.wakeup {
            self.wakeups.remove(&(entry.wakeup, id));
            self.wakeups.insert((wakeup, id));
            entry.wakeup = wakeup;
        }
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let entry = self.requests.remove(&id)?;
        self.wakeups.remove(&(entry.wakeup, id));
        Some(entry.request)
    }

    /// Returns the requests with an expired timer, earliest first.
    pub(crate) fn due(&self, now: Timestamp) -> Vec<RequestId> {
        self.wakeups.iter().take_while(|it| it.0 <= now).map(|it| it.1).collect()
    }

    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.wakeups.first().map(|it| it.0)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
