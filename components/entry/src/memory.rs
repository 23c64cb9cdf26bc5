//! Limits the memory used by request and response bodies.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// Number of bytes per semaphore permit.
const BYTES_PER_PERMIT: u64 = 1024;

/// Maximum wait for memory in the middle of a body.
const GROW_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory budget for bodies.
#[derive(Debug, Clone)]
pub(crate) struct MemoryBudget {
    permits: Arc<Semaphore>,
}

/// Memory reserved for a body; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    permit: OwnedSemaphorePermit,
    bytes: u64,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub(crate) fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / BYTES_PER_PERMIT).unwrap_or(Semaphore::MAX_PERMITS);
        Self { permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))) }
    }

    /// Reserves memory without waiting; `None` if too little is free.
    pub(crate) fn try_reserve(&self, bytes: u64) -> Option<Reservation> {
        let permit = self.permits.clone().try_acquire_many_owned(permits_for(bytes)).ok()?;
        Some(Reservation {
            budget: self.clone(),
            permit,
            bytes: u64::from(permits_for(bytes)) * BYTES_PER_PERMIT,
        })
    }
}

impl Reservation {
    /// Extends the reservation to `bytes`; `false` if the memory is not free within
    /// [`GROW_TIMEOUT`].
    pub(crate) async fn grow_to(&mut self, bytes: u64) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        // Doubling the reservation keeps the number of waits small.
        let extra_permits = permits_for((bytes - self.bytes).max(self.bytes));
        let acquired = self.budget.permits.clone().acquire_many_owned(extra_permits);
        match timeout(GROW_TIMEOUT, acquired).await {
            Ok(Ok(permit)) => {
                self.permit.merge(permit);
                self.bytes += u64::from(extra_permits) * BYTES_PER_PERMIT;
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }
}

fn permits_for(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX)
}
