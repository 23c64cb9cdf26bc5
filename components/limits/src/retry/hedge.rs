//! Decides when a slow attempt is hedged with a second one.

use ids::{Millis, Timestamp};

use super::RetryBudget;
use crate::LatencyEstimate;

/// Latency quantile after which a hedge is sent, in thousandths.
const HEDGE_QUANTILE_MILLI: u32 = 950;

/// Shortest delay before a hedge.
const MIN_HEDGE_DELAY: Millis = Millis(5);

/// The hedging rules of one service.
#[derive(Debug, Clone, Default)]
pub struct HedgePolicy {
    latency: LatencyEstimate,
}

impl HedgePolicy {
    /// Records the latency of a complete response.
    pub fn observe(&mut self, latency: Millis) {
        self.latency.observe(latency);
    }

    /// Returns the latency estimate of the service.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// Returns when to hedge an attempt that started at `started`.
    ///
    /// Returns `None` if the service isn't idempotent, has too few observations, or if a hedge
    /// with the median latency would miss the deadline.
    pub fn hedge_at(
        &self,
        started: Timestamp,
        idempotent: bool,
        deadline: Timestamp,
    ) -> Option<Timestamp> {
        if !idempotent {
            return None;
        }
        let delay = self.latency.percentile(HEDGE_QUANTILE_MILLI)?.max(MIN_HEDGE_DELAY);
        let median = self.latency.percentile(500)?;
        let at = started + delay;
        (at + median < deadline).then_some(at)
    }

    /// Withdraws the token for a hedge; returns whether it may be sent.
    pub fn try_hedge(&self, now: Timestamp, budget: &mut RetryBudget) -> bool {
        budget.try_withdraw(now)
    }
}
