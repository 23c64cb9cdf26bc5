//! Queues of requests that wait for a free slot on a server of their service.
//!
//! Load pattern: a burst that fills all servers in reach. Requests wait here rather than in the
//! servers' own queues, so that the most urgent one goes first, none is stuck behind a slow or
//! broken server, and none is shed after it was sent.

use std::collections::BTreeSet;

use ids::{FastMap, RequestId, ServiceName};

use super::QueueKey;

/// The queued requests of each service, ordered by priority, then by age.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    queues: FastMap<ServiceName, BTreeSet<QueueKey>>,
}

impl WaitQueues {
    pub(crate) fn add(&mut self, service: &ServiceName, key: QueueKey) {
        match self.queues.get_mut(service) {
            Some(queue) => {
                queue.insert(key);
            }
            None => {
                self.queues.insert(service.clone(), BTreeSet::from([key]));
            }
        }
    }

    /// Removes a request; returns whether it was queued.
    pub(crate) fn remove(&mut self, service: &ServiceName, key: QueueKey) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        let was_waiting = queue.remove(&key);
        if queue.is_empty() {
            self.queues.remove(service);
        }
        was_waiting
    }

    /// Returns the number of requests queued before this one.
    pub(crate) fn ahead_of(&self, service: &ServiceName, key: QueueKey) -> usize {
        self.queues.get(service).map_or(0, |it| it.range(..key).count())
    }

    /// Returns all requests in the queue, the first one first.
    pub(crate) fn all(&self, service: &ServiceName) -> impl Iterator<Item = RequestId> {
        self.queues.get(service).into_iter().flatten().map(|(_, id)| *id)
    }

    /// Returns the first request in the queue.
    pub(crate) fn first(&self, service: &ServiceName) -> Option<RequestId> {
        self.queues.get(service)?.first().map(|(_, id)| *id)
    }
}
