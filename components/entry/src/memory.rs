//! Bounds the memory of request and response bodies.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// Bytes that one permit stands for.
const UNIT_BYTES: u64 = 1024;

/// Longest wait for memory in the middle of a body.
const GROW_TIMEOUT: Duration = Duration::from_secs(5);

/// The memory that bodies may take.
#[derive(Debug, Clone)]
pub(crate) struct MemoryBudget {
    units: Arc<Semaphore>,
}

/// Memory that is reserved for a body until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    permit: OwnedSemaphorePermit,
    bytes: u64,
}

impl MemoryBudget {
    /// A budget of `bytes`.
    pub(crate) fn new(bytes: u64) -> Self {
        let units = usize::try_from(bytes / UNIT_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
        Self { units: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))) }
    }

    /// Reserves memory if there is enough at once.
    pub(crate) fn try_reserve(&self, bytes: u64) -> Option<Reservation> {
        let permit = self.units.clone().try_acquire_many_owned(units(bytes)).ok()?;
        Some(Reservation {
            budget: self.clone(),
            permit,
            bytes: u64::from(units(bytes)) * UNIT_BYTES,
        })
    }
}

impl Reservation {
    /// Makes room for a body of `bytes`; waits for memory, but not for long.
    pub(crate) async fn grow_to(&mut self, bytes: u64) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        // Doubling keeps the number of waits small.
        let more = units((bytes - self.bytes).max(self.bytes));
        let acquired = self.budget.units.clone().acquire_many_owned(more);
        match timeout(GROW_TIMEOUT, acquired).await {
            Ok(Ok(permit)) => {
                self.permit.merge(permit);
                self.bytes += u64::from(more) * UNIT_BYTES;
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }
}

fn units(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}
