//! Requests that wait until a server of their service has room.
//!
//! Load pattern: a burst that fills all servers in reach. Requests wait here and not in the queues
//! of the servers, so that the most urgent one goes first, a server that turns out to be slow or
//! broken strands none of them, and none is shed after it was sent.

use std::collections::BTreeSet;

use ids::{FastMap, RequestId, ServiceName};

use super::QueueKey;

/// The requests that wait, by service, the most urgent and then the oldest first.
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

    /// Removes a request; says whether it waited.
    pub(crate) fn remove(&mut self, service: &ServiceName, key: QueueKey) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        let was_waiting = queue.remove(&key);
        if queue.is_empty() {
            self.queues.remove(service);
        }
        was_waiting
    }

    /// Requests that go before this one.
    pub(crate) fn ahead_of(&self, service: &ServiceName, key: QueueKey) -> usize {
        self.queues.get(service).map_or(0, |it| it.range(..key).count())
    }

    /// The request that goes first.
    pub(crate) fn first(&self, service: &ServiceName) -> Option<RequestId> {
        self.queues.get(service)?.first().map(|(_, id)| *id)
    }
}
