//! How likely a backend server is to lose the next request.
//!
//! Load pattern: now and then a server breaks most of its connections for a few seconds while its
//! health page is fine, any server at any time. A request that must not repeat is lost with its
//! connection, so that requests should go where others were answered a moment ago, leave a server
//! at its first broken connection, and come back when it has had time to recover.
//!
//! A server is taken to be in one of two states, sound or broken, that change at random. What is
//! kept is the chance that it is broken: outcomes move it by Bayes' rule, time moves it back to
//! the share of servers that are broken at any time, which is learned.

use ids::{Millis, Timestamp};

/// Time in which knowledge of a server's state fades to a share of 1/e, in milliseconds: outbreaks
/// last about this long.
const STATE_DECAY_TIME: Millis = Millis(4_000);

/// The chance that a broken server loses a request.
const BROKEN_LOSS_PROBABILITY: f64 = 0.85;

/// The chance that a sound server loses a request.
const HEALTHY_LOSS_PROBABILITY: f64 = 0.003;

/// Chance of being broken from which a server counts as avoided, for logs.
const AVOIDED_PROBABILITY: f64 = 0.5;

/// How long a server that could not be connected to is avoided, in milliseconds; doubled for each
/// further failure in a row.
const UNREACHABLE_BACKOFF: Millis = Millis(500);

/// Doublings of [`UNREACHABLE_AVOIDANCE`] at most.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 4;

/// How long a full server gets nothing more, in milliseconds: about the time in which one of its
/// slots comes free.
const FULL_BACKOFF: Millis = Millis(100);

/// Share of a new outcome in the moving share of server errors.
const ERROR_EWMA_WEIGHT: f64 = 0.2;

/// Time in which the moving share of server errors halves without news, in milliseconds.
const ERROR_HALF_LIFE: Millis = Millis(6_000);

/// Share of servers that are taken to be broken before anything was learned.
const INITIAL_BROKEN_PRIOR: f64 = 0.1;

/// Share of a new outcome in the learned share of broken servers.
const BROKEN_PRIOR_EWMA_WEIGHT: f64 = 0.03;

/// Bounds of the learned share of broken servers.
const BROKEN_PRIOR_BOUNDS: (f64, f64) = (0.005, 0.5);

/// Time without news of a server after which its next outcome tells of the share of broken
/// servers, in milliseconds.
const UNOBSERVED_AFTER: Millis = Millis(8_000);

/// How common broken servers are in a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrokenPrior(f64);

impl Default for BrokenPrior {
    fn default() -> Self {
        Self(INITIAL_BROKEN_PRIOR)
    }
}

impl BrokenPrior {
    /// Learns from a request to a server of which nothing was heard for a while.
    fn learn(&mut self, is_lost: bool) {
        let sample = if is_lost { 1.0 / BROKEN_LOSS_PROBABILITY } else { 0.0 };
        let (min, max) = BROKEN_PRIOR_BOUNDS;
        self.0 = (self.0 + (sample - self.0) * BROKEN_PRIOR_EWMA_WEIGHT).clamp(min, max);
    }
}

/// What the outcomes of its requests say of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerHealth {
    /// The chance of being broken after the last outcome, and when that was.
    broken_probability: Option<(f64, Timestamp)>,
    /// Connections that failed in a row.
    failed_connections: u32,
    unreachable_until: Timestamp,
    full_until: Timestamp,
    error_ewma: f64,
    error_ewma_at: Timestamp,
}

impl ServerHealth {
    /// Notes a request without a whole answer; says whether the server is avoided only now.
    pub fn record_lost(&mut self, now: Timestamp, prior: &mut BrokenPrior) -> bool {
        let before = self.broken_probability(now, *prior);
        self.update_posterior(now, prior, true);
        before < AVOIDED_PROBABILITY && self.broken_probability(now, *prior) >= AVOIDED_PROBABILITY
    }

    /// Notes a whole answer.
    pub fn record_answered(&mut self, now: Timestamp, prior: &mut BrokenPrior) {
        self.failed_connections = 0;
        self.unreachable_until = Timestamp::default();
        self.update_error_rate(now, 0.0);
        self.update_posterior(now, prior, false);
    }

    /// Notes an answer that says that the server failed.
    pub fn record_server_error(&mut self, now: Timestamp) {
        self.failed_connections = 0;
        self.update_error_rate(now, 1.0);
    }

    /// Notes that no connection could be made.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        let doublings = self.failed_connections.min(MAX_UNREACHABLE_DOUBLINGS);
        self.failed_connections += 1;
        self.unreachable_until = now + Millis(UNREACHABLE_BACKOFF.0 << doublings);
    }

    /// Notes that the server was full.
    pub fn record_shed(&mut self, now: Timestamp) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Whether the server said a moment ago that it is full.
    pub fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }

    /// Whether connections to the server have just failed.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// The chance that the next request gets no good answer, from 0 to 1.
    pub fn failure_probability(&self, now: Timestamp, prior: BrokenPrior) -> f64 {
        let lost = self.broken_probability(now, prior) * BROKEN_LOSS_PROBABILITY;
        lost.max(self.error_rate(now))
    }

    /// The chance that the server is broken.
    pub fn broken_probability(&self, now: Timestamp, prior: BrokenPrior) -> f64 {
        let Some((broken_probability, at)) = self.broken_probability else { return prior.0 };
        let elapsed = now.since(at).0 as f64;
        prior.0 + (broken_probability - prior.0) * (-elapsed / STATE_DECAY_TIME.0 as f64).exp()
    }

    /// The share of answers that say that the server failed.
    fn error_rate(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.error_ewma_at).0 as f64;
        self.error_ewma * (-elapsed / ERROR_HALF_LIFE.0 as f64).exp2()
    }

    fn update_posterior(&mut self, now: Timestamp, prior: &mut BrokenPrior, is_lost: bool) {
        let is_unobserved =
            self.broken_probability.is_none_or(|(_, at)| now.since(at) >= UNOBSERVED_AFTER);
        let broken_probability = self.broken_probability(now, *prior);
        if is_unobserved {
            prior.learn(is_lost);
        }
        let likelihood = |loss: f64| if is_lost { loss } else { 1.0 - loss };
        let if_broken = broken_probability * likelihood(BROKEN_LOSS_PROBABILITY);
        let if_healthy = (1.0 - broken_probability) * likelihood(HEALTHY_LOSS_PROBABILITY);
        self.broken_probability = Some((if_broken / (if_broken + if_healthy), now));
    }

    fn update_error_rate(&mut self, now: Timestamp, outcome: f64) {
        let rate = self.error_rate(now);
        self.error_ewma = rate + (outcome - rate) * ERROR_EWMA_WEIGHT;
        self.error_ewma_at = now;
    }
}
