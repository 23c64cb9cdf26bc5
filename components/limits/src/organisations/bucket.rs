//! A token bucket for a share of an organisation's limit.

use ids::{Millis, Timestamp};
use schema::config_text::OrganisationLimit;

use super::LimitDecision;

/// Micro-tokens that a request takes.
const REQUEST_COST: u64 = 1_000_000;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Longest delay after which a refused caller should retry.
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// The rate at which a bucket refills, and how much it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketSize {
    /// Micro-tokens per second.
    pub rate: u64,
    /// Capacity, in micro-tokens.
    pub burst: u64,
}

impl BucketSize {
    /// Returns the size for `share_ppm` millionths of a limit.
    pub(super) fn share_of(limit: &OrganisationLimit, share_ppm: u32) -> Self {
        Self { rate: rate(limit, share_ppm), burst: burst(limit, share_ppm) }
    }
}

/// A token bucket that refills at a constant rate up to a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    size: BucketSize,
    /// Balance, in micro-tokens.
    tokens: u64,
    refilled_at: Timestamp,
    used_at: Timestamp,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn full(now: Timestamp, size: BucketSize) -> Self {
        Self { size, tokens: size.burst, refilled_at: now, used_at: now }
    }

    /// Returns an empty bucket.
    pub fn empty(now: Timestamp, size: BucketSize) -> Self {
        Self { size, tokens: 0, refilled_at: now, used_at: now }
    }

    /// Changes the rate and burst; the bucket stays filled to the same fraction.
    pub fn resize(&mut self, now: Timestamp, size: BucketSize) {
        self.refill(now);
        let scaled = u128::from(self.tokens) * u128::from(size.burst) / u128::from(self.size.burst);
        self.tokens = u64::try_from(scaled).unwrap_or(size.burst);
        self.size = size;
    }

    /// Returns the rate and burst.
    pub fn size(&self) -> BucketSize {
        self.size
    }

    /// Returns the number of whole tokens.
    pub fn tokens(&mut self, now: Timestamp) -> u64 {
        self.refill(now);
        self.tokens / REQUEST_COST
    }

    /// Adds tokens, as far as there is room for them.
    pub fn put(&mut self, now: Timestamp, tokens: u64) {
        self.refill(now);
        let added = self.tokens.saturating_add(tokens.saturating_mul(REQUEST_COST));
        self.tokens = added.min(self.size.burst);
    }

    /// Takes up to this number of tokens; returns how many.
    pub fn take_up_to(&mut self, now: Timestamp, tokens: u64) -> u64 {
        let taken = tokens.min(self.tokens(now));
        self.tokens -= taken * REQUEST_COST;
        taken
    }

    /// Takes a token for one request, or refuses the request if there is none.
    pub fn take(&mut self, now: Timestamp) -> LimitDecision {
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
        self.tokens == self.size.burst && now.since(self.used_at) >= idle
    }

    fn refill(&mut self, now: Timestamp) {
        let micros = now.micros_since(self.refilled_at);
        let earned = micros.saturating_mul(self.size.rate) / MICROS_PER_SECOND;
        if earned == 0 {
            return;
        }
        self.tokens = self.tokens.saturating_add(earned).min(self.size.burst);
        self.refilled_at = now;
    }

    fn retry_after(&self) -> Millis {
        let missing = REQUEST_COST - self.tokens;
        match (missing * 1_000).checked_div(self.size.rate) {
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
