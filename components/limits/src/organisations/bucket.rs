//! A token bucket for a share of an organisation's limit.

use ids::{Millis, Timestamp};
use schema::config_text::OrganisationLimit;

use super::LimitDecision;

/// Micro-tokens that a request takes.
const REQUEST_COST: u64 = 1_000_000;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Longest delay after which a refused caller should retry.
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// A token bucket that refills at a constant rate up to a burst.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    /// Micro-tokens per second.
    rate: u64,
    /// Capacity, in micro-tokens.
    burst: u64,
    /// Balance, in micro-tokens.
    tokens: u64,
    refilled_at: Timestamp,
    used_at: Timestamp,
}

impl TokenBucket {
    /// Returns a full bucket for `share_ppm` millionths of a limit.
    pub(super) fn new(now: Timestamp, limit: &OrganisationLimit, share_ppm: u32) -> Self {
        let burst = burst(limit, share_ppm);
        let rate = rate(limit, share_ppm);
        Self { rate, burst, tokens: burst, refilled_at: now, used_at: now }
    }

    /// Changes the rate and burst; the bucket stays filled to the same fraction.
    pub(super) fn set_limit(&mut self, now: Timestamp, limit: &OrganisationLimit, share_ppm: u32) {
        self.refill(now);
        let burst = burst(limit, share_ppm);
        let scaled = u128::from(self.tokens) * u128::from(burst) / u128::from(self.burst);
        self.tokens = u64::try_from(scaled).unwrap_or(burst);
        self.rate = rate(limit, share_ppm);
        self.burst = burst;
    }

    /// Takes a token for one request, or refuses the request if there is none.
    pub(super) fn take(&mut self, now: Timestamp) -> LimitDecision {
        self.refill(now);
        self.used_at = now;
        if self.tokens >= REQUEST_COST {
            self.tokens -= REQUEST_COST;
            return LimitDecision::Admitted;
        }
        LimitDecision::Refused { retry_after: self.retry_after() }
    }

    /// Returns whether the bucket is full and was not used for `idle`.
    ///
    /// Such a bucket may be dropped, as a new one would be full too.
    pub(super) fn is_idle(&mut self, now: Timestamp, idle: Millis) -> bool {
        self.refill(now);
        self.tokens == self.burst && now.since(self.used_at) >= idle
    }

    fn refill(&mut self, now: Timestamp) {
        let micros = now.micros_since(self.refilled_at);
        let earned = micros.saturating_mul(self.rate) / MICROS_PER_SECOND;
        if earned == 0 {
            return;
        }
        self.tokens = self.tokens.saturating_add(earned).min(self.burst);
        self.refilled_at = now;
    }

    fn retry_after(&self) -> Millis {
        let missing = REQUEST_COST - self.tokens;
        match (missing * 1_000).checked_div(self.rate) {
            Some(millis) => Millis(millis + 1).min(MAX_RETRY_AFTER),
            None => MAX_RETRY_AFTER,
        }
    }
}

/// Returns the refill rate of a share of the limit, in micro-tokens per second.
fn rate(limit: &OrganisationLimit, share_ppm: u32) -> u64 {
    u64::from(limit.requests_per_second.0) * u64::from(share_ppm)
}

/// Returns the burst of a share of the limit, in micro-tokens; it allows at least one request.
fn burst(limit: &OrganisationLimit, share_ppm: u32) -> u64 {
    (u64::from(limit.burst) * u64::from(share_ppm)).max(REQUEST_COST)
}
