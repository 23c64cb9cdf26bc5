//! The queue of one service, shared fairly between organisations.

use std::collections::{BTreeMap, VecDeque};

use ids::{OrganisationName, RequestId, Timestamp};

/// A request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueuedRequest {
    pub request: RequestId,
    /// When the request is refused unless it has started.
    pub expires_at: Timestamp,
}

/// A queue that serves organisations in round-robin order, and the requests of each organisation
/// in order of arrival.
#[derive(Debug, Clone, Default)]
pub(super) struct FairQueue {
    queues: BTreeMap<OrganisationName, VecDeque<QueuedRequest>>,
    /// Organisations with queued requests, the next one first.
    round_robin: VecDeque<OrganisationName>,
    len: u32,
}

impl FairQueue {
    /// Returns the number of queued requests of all organisations.
    pub(super) fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether `organisation` may add a request to a queue of at most `max` requests.
    ///
    /// An organisation may have as many requests queued as there is space left, so there is always
    /// room for other organisations.
    pub(super) fn has_room(&self, organisation: &OrganisationName, max: u32) -> bool {
        let free = max.saturating_sub(self.len);
        self.len_of(organisation) < free
    }

    /// Returns how many requests start before a new one of `organisation`.
    pub(super) fn ahead_of(&self, organisation: &OrganisationName) -> u32 {
        let own = self.len_of(organisation);
        let others = self.queues.iter().filter(|(name, _)| *name != organisation);
        let ahead: u32 = others.map(|(_, queue)| queue_len(queue).min(own + 1)).sum();
        own + ahead
    }

    /// Adds a request at the end of its organisation's queue.
    pub(super) fn push(&mut self, organisation: OrganisationName, queued: QueuedRequest) {
        let queue = self.queues.entry(organisation.clone()).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(organisation);
        }
        queue.push_back(queued);
        self.len += 1;
    }

    /// Removes the next request in round-robin order.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        let organisation = self.round_robin.pop_front()?;
        let queue =
            self.queues.get_mut(&organisation).expect("organisations in round_robin have requests");
        let queued = queue.pop_front().expect("organisations in round_robin have requests");
        if queue.is_empty() {
            self.queues.remove(&organisation);
        } else {
            self.round_robin.push_back(organisation);
        }
        self.len -= 1;
        Some(queued)
    }

    /// Removes one request; returns whether it was queued.
    pub(super) fn remove(&mut self, request: RequestId) -> bool {
        !self.remove_where(|queued| queued.request == request).is_empty()
    }

    /// Removes the requests that match, and returns them grouped by organisation.
    pub(super) fn remove_where(
        &mut self,
        matches: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|queued| {
                let matched = matches(queued);
                if matched {
                    removed.push(*queued);
                }
                !matched
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        let queues = &self.queues;
        self.round_robin.retain(|organisation| queues.contains_key(organisation));
        self.len -=
            u32::try_from(removed.len()).expect("no more requests were removed than queued");
        removed
    }

    fn len_of(&self, organisation: &OrganisationName) -> u32 {
        self.queues.get(organisation).map_or(0, queue_len)
    }
}

fn queue_len(queue: &VecDeque<QueuedRequest>) -> u32 {
    u32::try_from(queue.len()).unwrap_or(u32::MAX)
}
