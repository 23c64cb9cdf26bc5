//! An adaptive limit of the requests that this entry host has in flight to one service.
//!
//! Entry hosts share the slots of a service without knowing each other's load. The limit rises by
//! about one per round of responses while it is fully used, and is cut by a factor when a server
//! sheds (additive increase, multiplicative decrease).

use ids::{Millis, Timestamp};

/// Smallest limit, in thousandths of a request.
const MIN_LIMIT_MILLI: u64 = 1_000;

/// Initial limit, in thousandths of a request.
const INITIAL_LIMIT_MILLI: u64 = 4_000;

/// Factor applied to the limit after a shed, in thousandths.
const DECREASE_FACTOR_MILLI: u64 = 800;

/// Shortest time between two decreases.
const MIN_DECREASE_INTERVAL: Millis = Millis(100);

/// The concurrency limit of one service.
#[derive(Debug, Clone)]
pub(super) struct ConcurrencyLimit {
    limit_milli: u64,
    slots: u32,
    decreased_at: Option<Timestamp>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit_milli: INITIAL_LIMIT_MILLI, slots: 0, decreased_at: None }
    }
}

impl ConcurrencyLimit {
    /// Sets the total slots of the servers in rotation, which bound the limit.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.clamp();
    }

    /// Returns the number of requests that may be in flight, which is 0 without slots.
    pub(super) fn current(&self) -> u32 {
        let limit = u32::try_from(self.limit_milli / 1_000).unwrap_or(u32::MAX);
        limit.min(self.slots)
    }

    /// Records a response to one of `in_flight` requests; raises the limit if it was fully used.
    pub(super) fn record_answer(&mut self, in_flight: u32) {
        if in_flight >= self.current() {
            self.limit_milli += (1_000_000 / self.limit_milli).max(1);
            self.clamp();
        }
    }

    /// Records a shed and lowers the limit, at most once per [`MIN_DECREASE_INTERVAL`].
    pub(super) fn record_shed(&mut self, now: Timestamp) {
        let decreased_recently =
            self.decreased_at.is_some_and(|at| now.since(at) < MIN_DECREASE_INTERVAL);
        if decreased_recently {
            return;
        }
        self.decreased_at = Some(now);
        self.limit_milli = self.limit_milli * DECREASE_FACTOR_MILLI / 1_000;
        self.clamp();
    }

    fn clamp(&mut self) {
        let max = (u64::from(self.slots) * 1_000).max(INITIAL_LIMIT_MILLI);
        self.limit_milli = self.limit_milli.clamp(MIN_LIMIT_MILLI, max);
    }
}
