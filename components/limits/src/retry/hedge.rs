//! Decides when a slow attempt gets a second one beside it.

use ids::{Millis, Timestamp};

use super::RetryBudget;
use crate::LatencyEstimate;

/// Share of the answers that come before a hedge is sent, in thousandths.
const HEDGE_SHARE_MILLI: u32 = 950;

/// Shortest time before a hedge.
const MIN_HEDGE_DELAY: Millis = Millis(5);

/// The hedging of one service.
#[derive(Debug, Clone, Default)]
pub struct HedgePolicy {
    latency: LatencyEstimate,
}

impl HedgePolicy {
    /// Notes the latency of a whole answer.
    pub fn observe(&mut self, latency: Millis) {
        self.latency.observe(latency);
    }

    /// The latency estimate of the service.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// When an attempt started at `started` is slow enough for a hedge.
    ///
    /// `None` when the service isn't idempotent, too little is known of it, or the hedge could
    /// not be answered before the deadline.
    pub fn hedge_at(
        &self,
        started: Timestamp,
        idempotent: bool,
        deadline: Timestamp,
    ) -> Option<Timestamp> {
        if !idempotent {
            return None;
        }
        let slow = self.latency.percentile(HEDGE_SHARE_MILLI)?.max(MIN_HEDGE_DELAY);
        let median = self.latency.percentile(500)?;
        let at = started + slow;
        (at + median < deadline).then_some(at)
    }

    /// Whether a hedge may be sent now; takes it from the retry budget.
    pub fn try_hedge(&self, now: Timestamp, budget: &mut RetryBudget) -> bool {
        budget.try_withdraw(now)
    }
}
