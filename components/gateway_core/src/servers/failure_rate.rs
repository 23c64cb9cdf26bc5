//! Failure rate of the attempts at a service.
//!
//! Load pattern: many servers of a service break at the same moment. Requests then pile up on the
//! few servers known to be healthy, while servers that broke connections seconds before the outage
//! and have recovered are still avoided. While more than a tenth of the attempts fail, servers that
//! have been idle for two seconds are therefore tried whatever their estimated health. Such a try
//! is often lost and keeps the rate up by itself, so a server that has just lost a request is left
//! alone for longer.

use ids::{Millis, Timestamp};

/// Weight of a new outcome in the EWMA. It averages over about thirty outcomes, a few hundred
/// milliseconds of a data centre's traffic.
const EWMA_WEIGHT: f64 = 0.03;

/// Failure rate above which failures count as widespread.
const WIDESPREAD_RATE: f64 = 0.1;

/// Half-life of the rate while no outcomes arrive, in milliseconds.
const HALF_LIFE: Millis = Millis(1_000);

/// EWMA of the fraction of a service's attempts that fail.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    at: Timestamp,
}

impl FailureRate {
    /// Records how an attempt ended.
    pub fn record(&mut self, now: Timestamp, has_failed: bool) {
        let rate = self.rate(now);
        let outcome = f64::from(u8::from(has_failed));
        self.rate = rate + (outcome - rate) * EWMA_WEIGHT;
        self.at = now;
    }

    /// Returns whether so many attempts fail that the health estimates of idle servers are of
    /// little use.
    pub fn is_widespread(&self, now: Timestamp) -> bool {
        self.rate(now) > WIDESPREAD_RATE
    }

    fn rate(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.at).0 as f64;
        self.rate * (-elapsed / HALF_LIFE.0 as f64).exp2()
    }
}
