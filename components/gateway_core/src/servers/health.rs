//! Estimates how likely a backend server is to lose the next request.
//!
//! Load pattern: now and then any server breaks most of its connections for a few seconds while its
//! health check still passes. A non-idempotent request is lost with its connection, so requests
//! should go to servers that answered a moment ago, avoid a server after its first broken
//! connection, and return once it has had time to recover.
//!
//! A server is modelled as being in one of two states, healthy or broken, that change at random.
//! The estimate is the probability that it is broken: outcomes update it by Bayes' rule, and over
//! time it decays to the prior, the learned fraction of servers that are broken at any time.

use ids::{Millis, Timestamp};

/// Time constant of the decay to the prior, in milliseconds: failures last about this long.
const STATE_DECAY_TIME: Millis = Millis(4_000);

/// Probability that a broken server loses a request.
const BROKEN_LOSS_PROBABILITY: f64 = 0.85;

/// Probability that a healthy server loses a request.
const HEALTHY_LOSS_PROBABILITY: f64 = 0.003;

/// Probability that a healthy server answers a request only after it is overdue.
const HEALTHY_OVERDUE_PROBABILITY: f64 = 0.01;

/// Probability of being broken from which a server is logged as avoided.
const AVOIDED_PROBABILITY: f64 = 0.5;

/// How long a server is avoided after a failed connection, in milliseconds; doubles with each
/// further failure in a row.
const UNREACHABLE_BACKOFF: Millis = Millis(500);

/// Maximum number of doublings of [`UNREACHABLE_BACKOFF`].
const MAX_UNREACHABLE_DOUBLINGS: u32 = 4;

/// How long a full server receives no requests, in milliseconds: about the time until one of its
/// slots becomes free.
const FULL_BACKOFF: Millis = Millis(100);

/// Weight of a new outcome in the EWMA of server errors.
const ERROR_EWMA_WEIGHT: f64 = 0.2;

/// Half-life of the server error rate without new outcomes, in milliseconds.
const ERROR_HALF_LIFE: Millis = Millis(6_000);

/// Prior before anything has been learned.
const INITIAL_BROKEN_PRIOR: f64 = 0.1;

/// Weight of a new outcome in the EWMA of the prior.
const BROKEN_PRIOR_EWMA_WEIGHT: f64 = 0.03;

/// Lower and upper bound of the prior.
const BROKEN_PRIOR_BOUNDS: (f64, f64) = (0.005, 0.5);

/// Time without outcomes from a server after which its next outcome updates the prior, in
/// milliseconds.
const UNOBSERVED_AFTER: Millis = Millis(8_000);

/// Prior probability that a server of a service is broken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrokenPrior(f64);

impl Default for BrokenPrior {
    fn default() -> Self {
        Self(INITIAL_BROKEN_PRIOR)
    }
}

impl BrokenPrior {
    /// Updates the prior from the first outcome of a server that was unobserved for a while.
    fn learn(&mut self, is_lost: bool) {
        let sample = if is_lost { 1.0 / BROKEN_LOSS_PROBABILITY } else { 0.0 };
        let (min, max) = BROKEN_PRIOR_BOUNDS;
        self.0 = (self.0 + (sample - self.0) * BROKEN_PRIOR_EWMA_WEIGHT).clamp(min, max);
    }
}

/// Health of a server as estimated from the outcomes of its requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerHealth {
    /// Probability of being broken after the last outcome, and the time of that outcome.
    broken_probability: Option<(f64, Timestamp)>,
    /// Probability of being broken before the latest overdue request.
    before_overdue: Option<f64>,
    /// When a gateway of any data centre last lost a request here.
    lost_at: Option<Timestamp>,
    /// Number of consecutive failed connections.
    failed_connections: u32,
    unreachable_until: Timestamp,
    full_until: Timestamp,
    error_ewma: f64,
    error_ewma_at: Timestamp,
}

impl ServerHealth {
    /// Records a lost request; returns whether the server becomes avoided.
    pub fn record_lost(&mut self, now: Timestamp, prior: &mut BrokenPrior) -> bool {
        self.record_failure(now, prior, HEALTHY_LOSS_PROBABILITY)
    }

    /// Records an overdue request; returns whether the server becomes avoided.
    pub fn record_overdue(&mut self, now: Timestamp, prior: &mut BrokenPrior) -> bool {
        self.before_overdue = Some(self.broken_probability(now, *prior));
        self.record_failure(now, prior, HEALTHY_OVERDUE_PROBABILITY)
    }

    fn record_failure(&mut self, now: Timestamp, prior: &mut BrokenPrior, healthy: f64) -> bool {
        self.lost_at = Some(now);
        let before = self.broken_probability(now, *prior);
        self.update_posterior(now, prior, (BROKEN_LOSS_PROBABILITY, healthy), true);
        before < AVOIDED_PROBABILITY && self.broken_probability(now, *prior) >= AVOIDED_PROBABILITY
    }

    /// Records the complete response to an overdue request: the server was slow, so that the
    /// suspicion was wrong.
    pub fn record_late_answer(&mut self, now: Timestamp, prior: &mut BrokenPrior) {
        if let Some(before) = self.before_overdue.take() {
            self.broken_probability = Some((before, now));
        }
        self.record_answered(now, prior);
    }

    /// Records a complete response.
    pub fn record_answered(&mut self, now: Timestamp, prior: &mut BrokenPrior) {
        self.failed_connections = 0;
        self.unreachable_until = Timestamp::default();
        self.update_error_rate(now, 0.0);
        let if_answered = (1.0 - BROKEN_LOSS_PROBABILITY, 1.0 - HEALTHY_LOSS_PROBABILITY);
        self.update_posterior(now, prior, if_answered, false);
    }

    /// Records a server error response.
    pub fn record_server_error(&mut self, now: Timestamp) {
        self.failed_connections = 0;
        self.update_error_rate(now, 1.0);
    }

    /// Records a failed connection.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        let doublings = self.failed_connections.min(MAX_UNREACHABLE_DOUBLINGS);
        self.failed_connections += 1;
        self.unreachable_until = now + Millis(UNREACHABLE_BACKOFF.0 << doublings);
    }

    /// Forgets the failed connections.
    pub(crate) fn forget_unreachable(&mut self) {
        self.failed_connections = 0;
        self.unreachable_until = Timestamp::default();
    }

    /// Records that the server shed a request.
    pub fn record_shed(&mut self, now: Timestamp) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Returns the time since a request was lost here, or `None` if none was.
    pub fn since_lost(&self, now: Timestamp) -> Option<Millis> {
        self.lost_at.map(|at| now.since(at))
    }

    /// Returns whether the server has recently reported that it is full.
    pub fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }

    /// Returns whether a connection to the server has recently failed.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Returns the probability that the next request gets no successful response, from 0 to 1.
    pub fn failure_probability(&self, now: Timestamp, prior: BrokenPrior) -> f64 {
        let lost = self.broken_probability(now, prior) * BROKEN_LOSS_PROBABILITY;
        lost.max(self.error_rate(now))
    }

    /// Returns the probability that the server is broken.
    pub fn broken_probability(&self, now: Timestamp, prior: BrokenPrior) -> f64 {
        let Some((broken_probability, at)) = self.broken_probability else { return prior.0 };
        let elapsed = now.since(at).0 as f64;
        prior.0 + (broken_probability - prior.0) * (-elapsed / STATE_DECAY_TIME.0 as f64).exp()
    }

    /// Returns the fraction of responses that are server errors.
    fn error_rate(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.error_ewma_at).0 as f64;
        self.error_ewma * (-elapsed / ERROR_HALF_LIFE.0 as f64).exp2()
    }

    /// Applies Bayes' rule; `likelihoods` are those of the outcome at a broken and a healthy server.
    fn update_posterior(
        &mut self,
        now: Timestamp,
        prior: &mut BrokenPrior,
        likelihoods: (f64, f64),
        is_lost: bool,
    ) {
        let is_unobserved =
            self.broken_probability.is_none_or(|(_, at)| now.since(at) >= UNOBSERVED_AFTER);
        let broken_probability = self.broken_probability(now, *prior);
        if is_unobserved {
            prior.learn(is_lost);
        }
        let if_broken = broken_probability * likelihoods.0;
        let if_healthy = (1.0 - broken_probability) * likelihoods.1;
        self.broken_probability = Some((if_broken / (if_broken + if_healthy), now));
    }

    fn update_error_rate(&mut self, now: Timestamp, outcome: f64) {
        let rate = self.error_rate(now);
        self.error_ewma = rate + (outcome - rate) * ERROR_EWMA_WEIGHT;
        self.error_ewma_at = now;
    }
}
