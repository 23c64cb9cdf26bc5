//! A token bucket.

use ids::{Millis, Timestamp};
use schema::config_text::OrganisationLimit;

use super::LimitDecision;

/// Micro-tokens that one request takes.
const REQUEST: u64 = 1_000_000;

/// Longest time after which a refused caller comes back.
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// Tokens that refill at a rate up to a burst.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    /// Micro-tokens a microsecond are tokens a second.
    rate: u64,
    burst: u64,
    tokens: u64,
    refilled_at: Timestamp,
    used_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(now: Timestamp, limit: &OrganisationLimit) -> Self {
        let burst = burst(limit);
        let rate = u64::from(limit.requests_per_second.0);
        Self { rate, burst, tokens: burst, refilled_at: now, used_at: now }
    }

    pub(super) fn set_limit(&mut self, now: Timestamp, limit: &OrganisationLimit) {
        self.refill(now);
        self.rate = u64::from(limit.requests_per_second.0);
        self.burst = burst(limit);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes a token for one request.
    pub(super) fn take(&mut self, now: Timestamp) -> LimitDecision {
        self.refill(now);
        self.used_at = now;
        if self.tokens >= REQUEST {
            self.tokens -= REQUEST;
            return LimitDecision::Admitted;
        }
        LimitDecision::Refused { retry_after: self.retry_after() }
    }

    /// Whether the bucket is full and has not been used for `idle`, so a new one is the same.
    pub(super) fn is_idle(&mut self, now: Timestamp, idle: Millis) -> bool {
        self.refill(now);
        self.tokens == self.burst && now.since(self.used_at) >= idle
    }

    fn refill(&mut self, now: Timestamp) {
        let earned = now.micros_since(self.refilled_at).saturating_mul(self.rate);
        self.tokens = self.tokens.saturating_add(earned).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn retry_after(&self) -> Millis {
        let missing = REQUEST - self.tokens;
        match missing.checked_div(self.rate) {
            Some(micros) => Millis(micros / 1_000 + 1).min(MAX_RETRY_AFTER),
            None => MAX_RETRY_AFTER,
        }
    }
}

/// The burst in micro-tokens; at least one request.
fn burst(limit: &OrganisationLimit) -> u64 {
    u64::from(limit.burst.max(1)) * REQUEST
}
