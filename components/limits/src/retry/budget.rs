//! Bounds the retries and hedges of a service to a ratio of its first attempts.

use ids::Timestamp;

/// Limits on the extra runs (retries and hedges) of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Extra runs per first attempt, in thousandths.
    pub retry_ratio_milli: u64,
    /// Largest balance, in thousandths of a token; bounds a burst of extra runs.
    pub max_tokens_milli: u64,
    /// Extra runs per second that are allowed without first attempts, in thousandths.
    pub min_rate_milli: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retry_ratio_milli: 200, max_tokens_milli: 10_000, min_rate_milli: 200 }
    }
}

/// The token balance of one service; each extra run takes one token.
///
/// Over any period there are at most
/// `max_tokens + retry_ratio x first attempts + min_rate x seconds` extra runs.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens_milli: u64,
    refilled_at: Timestamp,
    /// Fraction that the last refill carried over, in billionths of a token.
    remainder: u64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(now: Timestamp, settings: RetryBudgetSettings) -> Self {
        Self { settings, tokens_milli: settings.max_tokens_milli, refilled_at: now, remainder: 0 }
    }

    /// Deposits the retry ratio for the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.refill(now);
        self.deposit(self.settings.retry_ratio_milli);
    }

    /// Takes the token for an extra run; returns whether there was one.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens_milli < 1_000 {
            return false;
        }
        self.tokens_milli -= 1_000;
        true
    }

    fn refill(&mut self, now: Timestamp) {
        let micros = now.micros_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let earned = micros.saturating_mul(self.settings.min_rate_milli) + self.remainder;
        self.remainder = earned % 1_000_000;
        self.deposit(earned / 1_000_000);
    }

    fn deposit(&mut self, milli: u64) {
        self.tokens_milli = (self.tokens_milli + milli).min(self.settings.max_tokens_milli);
    }
}
