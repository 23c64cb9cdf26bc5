//! What latency is usual for a service, as this host sees it.

use std::time::Duration;

/// Share of usual answers that are faster than the tracked quantile.
const SLOW_QUANTILE: f64 = 0.95;

/// Step of the quantile tracker, in natural logarithms of the latency.
const LOG_STEP: f64 = 0.1;

/// An answer is slow when it takes this many times the tracked quantile.
const SLOW_FACTOR: f64 = 1.25;

/// Share of usual answers that are not overdue.
const OVERDUE_QUANTILE: f64 = 0.995;

/// A request is overdue after this many times the latency that is not overdue usually.
const OVERDUE_FACTOR: f64 = 1.2;

/// A request is never overdue before this many times the latency that is not slow usually.
const MIN_OVERDUE_FACTOR: f64 = 1.5;

/// Share of a step that answers of a doubtful server count for.
const DOUBTFUL_STEP_FACTOR: f64 = 0.1;

/// Observations before the tracker is trusted.
const WARM_UP_OBSERVATIONS: u32 = 20;

/// Tracks a high quantile of the latency over all servers of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyBaseline {
    log_slow_quantile: f64,
    log_overdue_quantile: f64,
    observations: u32,
}

impl LatencyBaseline {
    /// Notes an answer and says whether it is slow beside the others.
    ///
    /// The usual latency hardly follows the answers of a `doubtful` server, so that one that is
    /// often asked does not make its own slowness usual.
    pub(crate) fn record(&mut self, latency: Duration, doubtful: bool) -> bool {
        let log_latency = log_seconds(latency);
        let slow = self.is_warm() && log_latency > self.log_slow_quantile + SLOW_FACTOR.ln();
        if self.observations == 0 {
            self.log_slow_quantile = log_latency;
            self.log_overdue_quantile = log_latency;
        }
        let step = match (self.is_warm(), doubtful) {
            (false, _) => LOG_STEP * 3.0,
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

    /// The latency that is overdue, once enough answers were seen.
    pub(crate) fn overdue_after(&self) -> Option<Duration> {
        let from_overdue = self.log_overdue_quantile + OVERDUE_FACTOR.ln();
        let from_slow = self.log_slow_quantile + MIN_OVERDUE_FACTOR.ln();
        let seconds = from_overdue.max(from_slow).exp();
        self.is_warm().then(|| Duration::from_secs_f64(seconds.min(60.0)))
    }

    fn is_warm(&self) -> bool {
        self.observations >= WARM_UP_OBSERVATIONS
    }
}

/// The direction in which the tracker of a quantile moves.
fn quantile_step(quantile: f64, above: bool) -> f64 {
    if above { quantile } else { quantile - 1.0 }
}

fn log_seconds(latency: Duration) -> f64 {
    latency.as_secs_f64().max(1e-6).ln()
}
