//! A token bucket.

use ids::{Millis, Timestamp};
use schema::config_text::OrganisationLimit;

use super::LimitDecision;

/// Micro-tokens that one request takes.
const REQUEST: u64 = 1_000_000;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Longest time after which a refused caller comes back.
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// Tokens that refill at a rate up to a burst.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    /// Micro-tokens a second.
    rate: u64,
    burst: u64,
    tokens: u64,
    refilled_at: Timestamp,
    used_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket with a share of a limit, in millionths.
    pub(super) fn new(now: Timestamp, limit: &OrganisationLimit, share_ppm: u32) -> Self {
        let burst = burst(limit, share_ppm);
        let rate = rate(limit, share_ppm);
        Self { rate, burst, tokens: burst, refilled_at: now, used_at: now }
    }

    /// Changes the rate and burst; the bucket stays full to the same part.
    pub(super) fn set_limit(&mut self, now: Timestamp, limit: &OrganisationLimit, share_ppm: u32) {
        self.refill(now);
        let burst = burst(limit, share_ppm);
        let scaled = u128::from(self.tokens) * u128::from(burst) / u128::from(self.burst);
        self.tokens = u64::try_from(scaled).unwrap_or(burst);
        self.rate = rate(limit, share_ppm);
        self.burst = burst;
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
        let micros = now.micros_since(self.refilled_at);
        let earned = micros.saturating_mul(self.rate) / MICROS_PER_SECOND;
        if earned == 0 {
            return;
        }
        self.tokens = self.tokens.saturating_add(earned).min(self.burst);
        self.refilled_at = now;
    }

    fn retry_after(&self) -> Millis {
        let missing = REQUEST - self.tokens;
        match (missing * 1_000).checked_div(self.rate) {
            Some(millis) => Millis(millis + 1).min(MAX_RETRY_AFTER),
            None => MAX_RETRY_AFTER,
        }
    }
}

/// Micro-tokens a second of a share of the limit.
fn rate(limit: &OrganisationLimit, share_ppm: u32) -> u64 {
    u64::from(limit.requests_per_second.0) * u64::from(share_ppm)
}

/// The burst of a share in micro-tokens; at least one request.
fn burst(limit: &OrganisationLimit, share_ppm: u32) -> u64 {
    (u64::from(limit.burst) * u64::from(share_ppm)).max(REQUEST)
}
