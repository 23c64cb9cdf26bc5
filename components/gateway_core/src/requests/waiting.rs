//! Requests that wait until a server of their service has room.
//!
//! Load pattern: a burst that fills all servers in reach. Requests wait here and not in the queues
//! of the servers, so that the most urgent one goes first, a server that turns out to be slow or
//! broken strands none of them, and none is shed after it was sent.

use std::collections::BTreeSet;

use ids::{FastMap, RequestId, ServiceName};

use super::WaitingKey;

/// The requests that wait, by service, the most urgent and then the oldest first.
#[derive(Debug, Default)]
pub(crate) struct WaitingLines {
    lines: FastMap<ServiceName, BTreeSet<WaitingKey>>,
}

impl WaitingLines {
    pub(crate) fn add(&mut self, service: &ServiceName, key: WaitingKey) {
        match self.lines.get_mut(service) {
            Some(line) => {
                line.insert(key);
            }
            None => {
                self.lines.insert(service.clone(), BTreeSet::from([key]));
            }
        }
    }

    /// Removes a request; says whether it waited.
    pub(crate) fn remove(&mut self, service: &ServiceName, key: WaitingKey) -> bool {
        let Some(line) = self.lines.get_mut(service) else { return false };
        let has_waited = line.remove(&key);
        if line.is_empty() {
            self.lines.remove(service);
        }
        has_waited
    }

    /// Requests that go before this one.
    pub(crate) fn ahead_of(&self, service: &ServiceName, key: WaitingKey) -> usize {
        self.lines.get(service).map_or(0, |it| it.range(..key).count())
    }

    /// The request that goes first.
    pub(crate) fn first(&self, service: &ServiceName) -> Option<RequestId> {
        self.lines.get(service)?.first().map(|(_, id)| *id)
    }
}
