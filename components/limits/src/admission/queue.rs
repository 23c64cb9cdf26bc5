//! The bounded queue of one service, shared fairly between organisations.

use std::collections::{BTreeMap, VecDeque};

use ids::{OrganisationName, RequestId, Timestamp};

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    /// The request.
    pub request: RequestId,
    /// When it is refused if it has not started.
    pub expires: Timestamp,
}

/// Requests in arrival order within an organisation; organisations take turns.
#[derive(Debug, Clone, Default)]
pub(super) struct FairQueue {
    queues: BTreeMap<OrganisationName, VecDeque<Waiting>>,
    /// Organisations with waiting requests, the next one first.
    turns: VecDeque<OrganisationName>,
    len: u32,
}

impl FairQueue {
    /// All waiting requests.
    pub(super) fn len(&self) -> u32 {
        self.len
    }

    /// Whether `organisation` may add a request to a queue of at most `max` requests.
    ///
    /// It may hold as many places as are free, so there is always room for others.
    pub(super) fn has_room(&self, organisation: &OrganisationName, max: u32) -> bool {
        let free = max.saturating_sub(self.len);
        self.len_of(organisation) < free
    }

    /// Requests that start before a new one of `organisation`.
    pub(super) fn ahead_of(&self, organisation: &OrganisationName) -> u32 {
        let own = self.len_of(organisation);
        let others = self.queues.iter().filter(|(name, _)| *name != organisation);
        let ahead: u32 = others.map(|(_, queue)| queue_len(queue).min(own + 1)).sum();
        own + ahead
    }

    /// Adds a request.
    pub(super) fn push(&mut self, organisation: OrganisationName, waiting: Waiting) {
        let queue = self.queues.entry(organisation.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(organisation);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    /// Takes the next request of the organisation whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let organisation = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&organisation).expect("organisations with a turn wait");
        let waiting = queue.pop_front().expect("organisations with a turn wait");
        if queue.is_empty() {
            self.queues.remove(&organisation);
        } else {
            self.turns.push_back(organisation);
        }
        self.len -= 1;
        Some(waiting)
    }

    /// Removes one request; says whether it was there.
    pub(super) fn remove(&mut self, request: RequestId) -> bool {
        !self.take_where(|waiting| waiting.request == request).is_empty()
    }

    /// Removes and returns the requests that `matches` selects, by organisation.
    pub(super) fn take_where(&mut self, matches: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|waiting| {
                let matched = matches(waiting);
                if matched {
                    taken.push(*waiting);
                }
                !matched
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        let queues = &self.queues;
        self.turns.retain(|organisation| queues.contains_key(organisation));
        self.len -= u32::try_from(taken.len()).expect("no more were taken than waited");
        taken
    }

    fn len_of(&self, organisation: &OrganisationName) -> u32 {
        self.queues.get(organisation).map_or(0, queue_len)
    }
}

fn queue_len(queue: &VecDeque<Waiting>) -> u32 {
    u32::try_from(queue.len()).unwrap_or(u32::MAX)
}
