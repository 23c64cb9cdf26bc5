//! How this host's own path to one backend server does: fast, local and reversible.

use std::time::Duration;

use ids::{Millis, Timestamp};
use schema::health::OutcomeCounts;

use crate::evidence::log_likelihood_ratios;

/// Evidence of this host alone at which it avoids the server, in nats.
const AVOID_THRESHOLD_NATS: f64 = 8.0;

/// Evidence of this host alone at which it doubts the server, in nats.
const DOUBTFUL_THRESHOLD_NATS: f64 = 2.0;

/// How long the server is avoided before it is tried again.
const BASE_AVOID_TIME: Millis = Millis(2_000);

/// The longest time that repeated failures lead to.
const MAX_AVOID_TIME: Millis = Millis(60_000);

/// How long an outcome tells of the path.
const RECENT_WINDOW: Millis = Millis(3_000);

/// Age at which an outcome is too old for a comparison.
const MAX_COMPARISON_AGE: Millis = Millis(400);

/// Weight of a new latency in the average.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// This host's own view of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct PathHealth {
    sums: Vec<f64>,
    avoided_until: Option<Timestamp>,
    consecutive_avoidances: u32,
    last_good: Option<Timestamp>,
    last_bad: Option<Timestamp>,
    mean_latency: Option<f64>,
}

impl PathHealth {
    /// Notes outcomes of requests or probes; says whether avoidance began.
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

    /// Notes how long an answer took.
    pub(crate) fn record_latency(&mut self, latency: Duration) {
        let new = latency.as_secs_f64();
        let mean = self.mean_latency.unwrap_or(new);
        self.mean_latency = Some(mean + (new - mean) * LATENCY_EWMA_WEIGHT);
    }

    /// Ends avoidance whose time is over; says whether it did.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        if self.avoided_until.is_none_or(|it| now < it) {
            return false;
        }
        self.avoided_until = None;
        self.sums.iter_mut().for_each(|it| *it *= 0.5);
        true
    }

    /// Whether this host avoids the server.
    pub(crate) fn is_avoided(&self) -> bool {
        self.avoided_until.is_some()
    }

    /// Whether recent outcomes speak against the server.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.sums.iter().any(|it| *it >= DOUBTFUL_THRESHOLD_NATS)
    }

    /// The latest outcome of the last seconds, if any: whether it was bad.
    pub(crate) fn latest_was_bad(&self, now: Timestamp) -> Option<bool> {
        let recent = |at: Option<Timestamp>| at.filter(|it| now <= *it + RECENT_WINDOW);
        match (recent(self.last_good), recent(self.last_bad)) {
            (None, None) => None,
            (good, bad) => Some(bad > good),
        }
    }

    /// Whether the latest outcome is too old to compare another server with.
    pub(crate) fn is_outdated(&self, now: Timestamp) -> bool {
        let latest = self.last_good.max(self.last_bad);
        latest.is_none_or(|it| now >= it + MAX_COMPARISON_AGE)
    }

    /// The mean latency of recent answers, in seconds.
    pub(crate) fn mean_latency(&self) -> Option<f64> {
        self.mean_latency
    }

    fn is_healthy(&self) -> bool {
        self.sums.iter().all(|it| *it <= 0.0)
    }
}
