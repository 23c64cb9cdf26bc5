//! Avoidance of a backend server by this host alone, from the outcomes on its own network path.
//!
//! Unlike an ejection, it needs no agreement of watchers, takes effect at once and ends by itself.

use std::time::Duration;

use ids::{Millis, Timestamp};
use schema::health::OutcomeCounts;

use crate::evidence::log_likelihood_ratios;

/// Evidence of this host alone at which it avoids the server, in nats.
const AVOID_THRESHOLD_NATS: f64 = 8.0;

/// Evidence of this host alone at which the server counts as doubtful, in nats.
const DOUBTFUL_THRESHOLD_NATS: f64 = 2.0;

/// Duration of a first avoidance; doubles with each further one until the path is healthy again.
const BASE_AVOID_TIME: Millis = Millis(2_000);

/// Longest duration of an avoidance.
const MAX_AVOID_TIME: Millis = Millis(60_000);

/// Age up to which an outcome counts as recent.
const RECENT_WINDOW: Millis = Millis(3_000);

/// Age from which an outcome is too old to compare another server with.
const MAX_COMPARISON_AGE: Millis = Millis(400);

/// Weight of a new sample in the EWMA of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// Outcomes of one server on this host's own network path.
#[derive(Debug, Clone, Default)]
pub(crate) struct PathHealth {
    /// Cumulative sums of the log-likelihood ratios, one per symptom, in nats.
    sums: Vec<f64>,
    avoided_until: Option<Timestamp>,
    consecutive_avoidances: u32,
    /// When the latest outcome was recorded that was neither failed nor wrong.
    last_good: Option<Timestamp>,
    /// When the latest failed or wrong outcome was recorded.
    last_bad: Option<Timestamp>,
    /// EWMA of the latency, in seconds.
    mean_latency: Option<f64>,
}

impl PathHealth {
    /// Records outcomes of requests or probes; returns whether avoidance begins.
    pub(crate) fn record_outcomes(&mut self, now: Timestamp, counts: &OutcomeCounts) -> bool {
        let bad = counts.failed + counts.wrong > 0;
        if bad {
            self.last_bad = Some(now);
        } else {
            self.last_good = Some(now);
        }
        let ratios = log_likelihood_ratios(counts);
        self.sums.resize(ratios.len(), 0.0);
        for (sum, ratio) in self.sums.iter_mut().zip(ratios) {
            *sum = (*sum + ratio).clamp(0.0, AVOID_THRESHOLD_NATS);
        }
        if self.is_healthy() {
            self.consecutive_avoidances = 0;
        }
        if self.is_avoided() || !bad || self.sums.iter().all(|it| *it < AVOID_THRESHOLD_NATS) {
            return false;
        }
        let time =
            Millis((BASE_AVOID_TIME.0 << self.consecutive_avoidances.min(8)).min(MAX_AVOID_TIME.0));
        self.consecutive_avoidances += 1;
        self.avoided_until = Some(now + time);
        true
    }

    /// Records the latency of an answer.
    pub(crate) fn record_latency(&mut self, latency: Duration) {
        let new = latency.as_secs_f64();
        let mean = self.mean_latency.unwrap_or(new);
        self.mean_latency = Some(mean + (new - mean) * LATENCY_EWMA_WEIGHT);
    }

    /// Ends an avoidance whose time is over and halves the evidence behind it; returns whether
    /// there was one.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        if self.avoided_until.is_none_or(|it| now < it) {
            return false;
        }
        self.avoided_until = None;
        self.sums.iter_mut().for_each(|it| *it *= 0.5);
        true
    }

    /// Returns whether this host avoids the server.
    pub(crate) fn is_avoided(&self) -> bool {
        self.avoided_until.is_some()
    }

    /// Returns whether this host alone has some evidence against the server.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.sums.iter().any(|it| *it >= DOUBTFUL_THRESHOLD_NATS)
    }

    /// Returns whether the latest recent outcome was a failure or a wrong answer, or `None` without
    /// a recent outcome.
    pub(crate) fn latest_was_bad(&self, now: Timestamp) -> Option<bool> {
        let recent = |at: Option<Timestamp>| at.filter(|it| now <= *it + RECENT_WINDOW);
        match (recent(self.last_good), recent(self.last_bad)) {
            (None, None) => None,
            (good, bad) => Some(bad > good),
        }
    }

    /// Returns whether the latest outcome is too old to compare another server with.
    pub(crate) fn is_outdated(&self, now: Timestamp) -> bool {
        let latest = self.last_good.max(self.last_bad);
        latest.is_none_or(|it| now >= it + MAX_COMPARISON_AGE)
    }

    /// Returns the mean latency of recent answers, in seconds.
    pub(crate) fn mean_latency(&self) -> Option<f64> {
        self.mean_latency
    }

    fn is_healthy(&self) -> bool {
        self.sums.iter().all(|it| *it <= 0.0)
    }
}
