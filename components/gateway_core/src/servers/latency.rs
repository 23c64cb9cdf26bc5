//! Latency of a route's responses: its average, and the time after which a response is overdue.
//!
//! Load pattern: a broken server that holds requests instead of breaking their connections. The
//! sooner it is noticed that a response will not come, the fewer requests are sent there. How long
//! healthy servers may take differs between routes, so the spread of their latencies is learned.

use ids::Millis;

/// Weight of a new latency in the averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Weight of a new latency in the variance of its logarithm; smaller, as slow responses are rare.
const VARIANCE_EWMA_WEIGHT: f64 = 0.03;

/// Cap on a single latency in the average, as a multiple of it, so that slow servers don't raise
/// the average that they are compared with.
const MAX_RATIO: f64 = 4.0;

/// Assumed average latency before any response, as a fraction of the target latency.
const ASSUMED_TARGET_SHARE: f64 = 1.0 / 3.0;

/// Lower bound of the average, in milliseconds, so that ratios to it are meaningful.
const MIN_AVERAGE_MS: f64 = 1.0;

/// Lower bound of the average that single latencies are compared with, in milliseconds: a round trip
/// between regions, or a process that isn't scheduled at once, says nothing of the server.
const MIN_COMPARED_MS: f64 = 50.0;

/// Standard deviation of the logarithm of the latency before any was measured.
const ASSUMED_DEVIATION: f64 = 0.5;

/// Number of standard deviations of the logarithm after which a response is overdue: fewer than one
/// in a hundred responses of healthy servers takes longer.
const OVERDUE_DEVIATIONS: f64 = 2.6;

/// Lower and upper bound of the time after which a response is overdue, as multiples of the average.
const OVERDUE_BOUNDS: (f64, f64) = (2.0, 8.0);

/// The latency of a route's responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RouteLatency {
    /// EWMA of the latency, in milliseconds.
    average: f64,
    /// EWMA of the logarithm of the latency in milliseconds.
    log_average: f64,
    /// EWMA of the squared deviation from `log_average`.
    log_variance: f64,
}

impl RouteLatency {
    /// Returns the latency assumed before any response.
    pub(crate) fn assumed(target: Millis) -> Self {
        Self::first(target.0 as f64 * ASSUMED_TARGET_SHARE)
    }

    /// Returns the latency after one response.
    pub(crate) fn first(millis: f64) -> Self {
        let average = millis.max(MIN_AVERAGE_MS);
        let log_variance = ASSUMED_DEVIATION * ASSUMED_DEVIATION;
        Self { average, log_average: average.ln(), log_variance }
    }

    /// Records the latency of a response.
    pub(crate) fn record(&mut self, millis: f64) {
        let bounded = millis.max(MIN_AVERAGE_MS).min(self.average * MAX_RATIO);
        self.average += (bounded - self.average) * EWMA_WEIGHT;
        let deviation = bounded.ln() - self.log_average;
        self.log_average += deviation * EWMA_WEIGHT;
        self.log_variance += (deviation * deviation - self.log_variance) * VARIANCE_EWMA_WEIGHT;
    }

    /// Returns the average latency, in milliseconds.
    pub(crate) fn average(&self) -> f64 {
        self.average
    }

    /// Returns a latency as a multiple of the average; small latencies don't differ.
    pub(crate) fn ratio(&self, millis: f64) -> f64 {
        millis.max(MIN_COMPARED_MS) / self.average.max(MIN_COMPARED_MS)
    }

    /// Returns the time after which a response is overdue, in milliseconds.
    pub(crate) fn overdue(&self) -> f64 {
        let (min, max) = OVERDUE_BOUNDS;
        let quantile = (self.log_average + self.log_variance.sqrt() * OVERDUE_DEVIATIONS).exp();
        quantile.clamp(self.average * min, self.average * max).max(MIN_COMPARED_MS * min)
    }
}
