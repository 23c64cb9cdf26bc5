//! Baseline of a service's latency, from the answers that this host receives.

use std::time::Duration;

/// Quantile of the latency that slow answers are detected with.
const SLOW_QUANTILE: f64 = 0.95;

/// Step of the quantile estimates, in natural logarithms of the latency.
const LOG_STEP: f64 = 0.1;

/// An answer is slow above this multiple of the [`SLOW_QUANTILE`].
const SLOW_FACTOR: f64 = 1.25;

/// Quantile of the latency that overdue requests are detected with.
const OVERDUE_QUANTILE: f64 = 0.995;

/// A request is overdue above this multiple of the [`OVERDUE_QUANTILE`].
const OVERDUE_FACTOR: f64 = 1.2;

/// A request is not overdue below this multiple of the [`SLOW_QUANTILE`].
const MIN_OVERDUE_FACTOR: f64 = 1.5;

/// Factor on the step while the baseline warms up.
const WARM_UP_STEP_FACTOR: f64 = 3.0;

/// Factor on the step for answers of a doubtful server.
const DOUBTFUL_STEP_FACTOR: f64 = 0.1;

/// Answers that are needed before the estimates are used.
const WARM_UP_OBSERVATIONS: u32 = 20;

/// Longest time after which a request is overdue, in seconds.
const MAX_OVERDUE_AFTER_S: f64 = 60.0;

/// Estimates two high quantiles of the latency over all servers of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyBaseline {
    log_slow_quantile: f64,
    log_overdue_quantile: f64,
    observations: u32,
}

impl LatencyBaseline {
    /// Records an answer and returns whether it is slow compared with the others.
    ///
    /// Answers of a `doubtful` server hardly move the estimates, so that a slow server with many
    /// requests does not raise the baseline to its own latency.
    pub(crate) fn record(&mut self, latency: Duration, doubtful: bool) -> bool {
        let log_latency = log_seconds(latency);
        let slow = self.is_warm() && log_latency > self.log_slow_quantile + SLOW_FACTOR.ln();
        if self.observations == 0 {
            self.log_slow_quantile = log_latency;
            self.log_overdue_quantile = log_latency;
        }
        let step = match (self.is_warm(), doubtful) {
            (false, _) => LOG_STEP * WARM_UP_STEP_FACTOR,
            (true, false) => LOG_STEP,
            (true, true) => LOG_STEP * DOUBTFUL_STEP_FACTOR,
        };
        self.log_slow_quantile +=
            quantile_step(SLOW_QUANTILE, log_latency > self.log_slow_quantile) * step;
        self.log_overdue_quantile +=
            quantile_step(OVERDUE_QUANTILE, log_latency > self.log_overdue_quantile) * step;
        self.observations = self.observations.saturating_add(1);
        slow
    }

    /// Returns the time after which a request is overdue, or `None` until enough answers are
    /// recorded.
    pub(crate) fn overdue_after(&self) -> Option<Duration> {
        let from_overdue = self.log_overdue_quantile + OVERDUE_FACTOR.ln();
        let from_slow = self.log_slow_quantile + MIN_OVERDUE_FACTOR.ln();
        let seconds = from_overdue.max(from_slow).exp();
        self.is_warm().then(|| Duration::from_secs_f64(seconds.min(MAX_OVERDUE_AFTER_S)))
    }

    fn is_warm(&self) -> bool {
        self.observations >= WARM_UP_OBSERVATIONS
    }
}

/// Returns the signed size of one step of a stochastic quantile estimate.
fn quantile_step(quantile: f64, above: bool) -> f64 {
    if above { quantile } else { quantile - 1.0 }
}

fn log_seconds(latency: Duration) -> f64 {
    latency.as_secs_f64().max(1e-6).ln()
}
