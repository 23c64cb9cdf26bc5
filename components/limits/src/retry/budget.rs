//! Bounds the retries of a service to a share of its first tries.

use ids::Timestamp;

/// How many extra runs a service may cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Extra runs for each first try, in thousandths.
    pub retry_ratio_milli: u64,
    /// Extra runs that may be saved up, in thousandths.
    pub max_tokens_milli: u64,
    /// Extra runs a second that are allowed without first tries, in thousandths.
    pub min_rate_milli: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retry_ratio_milli: 200, max_tokens_milli: 10_000, min_rate_milli: 200 }
    }
}

/// The tokens of one service; each extra run takes one.
///
/// Over any time the extra runs are at most `reserve + share x first tries + trickle x seconds`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens_milli: u64,
    refilled_at: Timestamp,
    /// What a refill left over, in millionths of a thousandth.
    remainder: u64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: Timestamp, settings: RetryBudgetSettings) -> Self {
        Self { settings, tokens_milli: settings.max_tokens_milli, refilled_at: now, remainder: 0 }
    }

    /// Notes the first try of a request.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.refill(now);
        self.deposit(self.settings.retry_ratio_milli);
    }

    /// Takes the token for an extra run, when there is one.
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
