//! Adapts the requests in flight of one service on this entry host.
//!
//! The slots of a service are shared with entry hosts whose load is unknown here. The limit
//! rises while it is used and answers come, and falls when a server sheds.

use ids::{Millis, Timestamp};

/// Least limit, in thousandths.
const MIN_LIMIT_MILLI: u64 = 1_000;

/// Limit of a service at the start, in thousandths.
const INITIAL_LIMIT_MILLI: u64 = 4_000;

/// What is left of the limit after a shed, in thousandths.
const DECREASE_MILLI: u64 = 800;

/// Shortest time between two decreases.
const DECREASE_INTERVAL: Millis = Millis(100);

/// The limit of one service.
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
    /// Notes the slots of all servers in rotation; the limit never exceeds them.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.clamp();
    }

    /// The requests that may be in flight; 0 without slots.
    pub(super) fn current(&self) -> u32 {
        let limit = u32::try_from(self.limit_milli / 1_000).unwrap_or(u32::MAX);
        limit.min(self.slots)
    }

    /// Notes an answer that came while `in_flight` requests, its own included, were in flight.
    pub(super) fn answered(&mut self, in_flight: u32) {
        if in_flight >= self.current() {
            self.limit_milli += (1_000_000 / self.limit_milli).max(1);
            self.clamp();
        }
    }

    /// Notes that a server shed a request.
    pub(super) fn shed(&mut self, now: Timestamp) {
        let recent = self.decreased_at.is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if recent {
            return;
        }
        self.decreased_at = Some(now);
        self.limit_milli = self.limit_milli * DECREASE_MILLI / 1_000;
        self.clamp();
    }

    fn clamp(&mut self) {
        let max = (u64::from(self.slots) * 1_000).max(INITIAL_LIMIT_MILLI);
        self.limit_milli = self.limit_milli.clamp(MIN_LIMIT_MILLI, max);
    }
}
