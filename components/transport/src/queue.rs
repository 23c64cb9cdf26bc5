//! Limits the memory taken by messages queued for peers.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum bytes queued for one peer: two messages of the maximum size.
const MAX_QUEUED_BYTES_PER_PEER: usize = 8 * 1024 * 1024;

/// Maximum bytes queued for all peers: a fifth of the 160 MB of the smallest hosts.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// A limit on the total size of queued messages; each message holds a permit for its size.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget(Arc<Semaphore>);

impl ByteBudget {
    /// Returns the budget of one peer.
    pub(crate) fn per_peer() -> Self {
        Self(Arc::new(Semaphore::new(MAX_QUEUED_BYTES_PER_PEER)))
    }

    /// Returns the budget shared by all peers.
    pub(crate) fn total() -> Self {
        Self(Arc::new(Semaphore::new(MAX_QUEUED_BYTES)))
    }

    /// Waits until no message holds a permit of the total budget.
    pub(crate) async fn all_returned(&self) {
        // The semaphore is never closed.
        let _ = self.0.acquire_many(MAX_QUEUED_BYTES as u32).await;
    }

    fn try_acquire(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        self.0.clone().try_acquire_many_owned(bytes).ok()
    }
}

/// A sealed message in a queue; dropping it returns its bytes to both budgets.
#[derive(Debug)]
pub(crate) struct QueuedMessage {
    pub(crate) data: Vec<u8>,
    _permits: [OwnedSemaphorePermit; 2],
}

impl QueuedMessage {
    /// Returns `None` when the message exceeds one of the budgets.
    pub(crate) fn new(data: Vec<u8>, peer: &ByteBudget, total: &ByteBudget) -> Option<Self> {
        let permits = [peer.try_acquire(data.len())?, total.try_acquire(data.len())?];
        Some(Self { data, _permits: permits })
    }
}
