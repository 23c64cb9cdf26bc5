//! How many of a service's attempts fail now.
//!
//! Load pattern: many servers of a service break at the same moment. Work then crowds on the few
//! that are known to be sound, and those that broke connections seconds before the outbreak and have
//! recovered are still left alone. While more than a tenth of the attempts fail, servers that were
//! idle for two seconds are therefore tried whatever was believed of them.

use ids::{Millis, Timestamp};

/// Share of a new outcome in the moving share of failed attempts: it follows some thirty outcomes, a
/// few hundred milliseconds of a data centre's traffic.
const EWMA_WEIGHT: f64 = 0.03;

/// Share of failed attempts from which a service is in distress.
const WIDESPREAD_FROM: f64 = 0.1;

/// Time in which the share halves without outcomes, in milliseconds.
const HALF_LIFE: Millis = Millis(1_000);

/// The moving share of a service's attempts that failed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    at: Timestamp,
}

impl FailureRate {
    /// Notes how an attempt ended.
    pub fn record(&mut self, now: Timestamp, has_failed: bool) {
        let rate = self.rate(now);
        let outcome = f64::from(u8::from(has_failed));
        self.rate = rate + (outcome - rate) * EWMA_WEIGHT;
        self.at = now;
    }

    /// Whether so many attempts fail that what was believed of idle servers counts for little.
    pub fn is_widespread(&self, now: Timestamp) -> bool {
        self.rate(now) > WIDESPREAD_FROM
    }

    fn rate(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.at).0 as f64;
        self.rate * (-elapsed / HALF_LIFE.0 as f64).exp2()
    }
}
