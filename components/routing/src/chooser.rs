//! Chooses a backend server for each attempt of a request.
//!
//! Samples up to twelve random candidates per distance and takes the one with the lowest cost,
//! `(requests in flight + 1) x latency / weight x distance factor`. Only the requests in flight
//! from this entry host count: the latency already includes the queueing at the server, so the
//! load that a server reports is only used when it sheds a request.

use ids::{FastMap, Millis, ServerId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Maximum number of candidates that are compared per distance.
const SAMPLE_SIZE: usize = 12;

/// Weight of a new sample in the latency EWMA, in thousandths.
const EWMA_WEIGHT_MILLI: u64 = 250;

/// Half-life of a latency estimate that was last updated by an answer.
const LATENCY_HALF_LIFE: Millis = Millis(30_000);

/// Half-life of a latency estimate that was last updated by an attempt without an answer.
///
/// An estimate of 200 ms decays to the 1 ms of a fast server in 8 s. The entry host then tries the
/// server once more, which shows outlier detection whether it still fails.
const NO_ANSWER_HALF_LIFE: Millis = Millis(1_000);

/// Half-life of the load that is assumed of a server that shed a request.
const SHED_LOAD_HALF_LIFE: Millis = Millis(200);

/// Latency that is assumed while no sampled server has an estimate, in microseconds.
const DEFAULT_LATENCY_MICROS: u64 = 100_000;

/// Minimum latency estimate after a failed attempt, in microseconds.
const MIN_FAILURE_LATENCY_MICROS: u64 = 200_000;

/// Maximum latency estimate, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Time without attempts after which the statistics of a server are dropped.
const IDLE_TIMEOUT: Millis = Millis(600_000);

/// Distance of a backend server from this entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region; traffic between regions costs money.
    OtherRegion,
}

impl Distance {
    const ALL: [Self; 3] = [Self::SameDataCentre, Self::SameRegion, Self::OtherRegion];

    /// Returns the cost factor of servers at this distance, in thousandths.
    fn cost_factor_milli(self) -> u64 {
        match self {
            Self::SameDataCentre => 1_000,
            Self::SameRegion => 1_200,
            Self::OtherRegion => 3_000,
        }
    }
}

/// A backend server that may receive the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the server.
    pub server: ServerId,
    /// Distance of the server.
    pub distance: Distance,
    /// Share of its full load that the server should get, in thousandths; 0 excludes it.
    pub weight_milli: u32,
    /// Whether the server is only used when no other is left.
    pub last_resort: bool,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server sent a complete answer.
    Answered,
    /// The server was busy and did not run the request.
    Shed,
    /// The attempt failed or timed out, or the answer was truncated.
    Failed,
    /// This entry host cancelled the attempt, for example the slower one of two hedged attempts.
    Cancelled,
}

/// A finished attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// When the attempt started.
    pub started: Timestamp,
    /// Number of requests that the server reported to hold; only used if it shed the request.
    pub reported_load: Option<u32>,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

/// Tracks the load and latency of backend servers as this entry host observes them.
#[derive(Debug, Clone)]
pub struct ServerChooser {
    servers: FastMap<ServerId, ServerStats>,
    rng: Xoshiro256PlusPlus,
}

/// Load and latency of one server.
#[derive(Debug, Clone, Default)]
struct ServerStats {
    /// Attempts of this entry host that are in flight.
    in_flight: u32,
    /// Latency estimate at `latency_updated_at`, from which it decays.
    latency_micros: Option<u64>,
    latency_updated_at: Timestamp,
    latency_source: LatencySource,
    /// Load added by a shed request at `shed_at`, from which it decays.
    shed_load_milli: u64,
    shed_at: Timestamp,
    last_used_at: Timestamp,
}

/// Kind of attempt that last updated a latency estimate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LatencySource {
    #[default]
    Answer,
    NoAnswer,
}

impl LatencySource {
    /// Returns the half-life of the estimate.
    fn half_life(self) -> Millis {
        match self {
            Self::Answer => LATENCY_HALF_LIFE,
            Self::NoAnswer => NO_ANSWER_HALF_LIFE,
        }
    }
}

impl ServerChooser {
    /// Creates a chooser without statistics whose random samples follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { servers: FastMap::default(), rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// Returns the server for the next attempt, or `None` if no untried candidate has a weight
    /// above 0.
    pub fn choose(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate],
        tried: &[ServerId],
    ) -> Option<ServerId> {
        let usable = |candidate: &&Candidate| {
            candidate.weight_milli > 0 && !tried.contains(&candidate.server)
        };
        let mut pool: Vec<&Candidate> =
            candidates.iter().filter(usable).filter(|candidate| !candidate.last_resort).collect();
        if pool.is_empty() {
            pool = candidates.iter().filter(usable).collect();
        }
        let sampled = self.sample(pool);
        let assumed_latency = self.assumed_latency(now, &sampled);
        let best = sampled.into_iter().min_by_key(|candidate| {
            (self.cost(now, candidate, assumed_latency), candidate.distance)
        })?;
        Some(best.server.clone())
    }

    /// Records the start of an attempt on `server`.
    pub fn started(&mut self, now: Timestamp, server: &ServerId) {
        let stats = self.servers.entry(server.clone()).or_default();
        stats.in_flight += 1;
        stats.last_used_at = now;
    }

    /// Records the end of an attempt on `server`.
    pub fn finished(&mut self, now: Timestamp, server: &ServerId, attempt: Attempt) {
        let Some(stats) = self.servers.get_mut(server) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.last_used_at = now;
        stats.record_shed(now, attempt);
        stats.record_latency(now, attempt);
    }

    /// Returns the number of attempts of this entry host that are in flight on `server`.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        self.servers.get(server).map_or(0, |stats| stats.in_flight)
    }

    /// Drops the statistics of servers without recent attempts.
    pub fn tick(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, stats| stats.in_flight > 0 || now.since(stats.last_used_at) < IDLE_TIMEOUT);
    }

    /// Returns up to [`SAMPLE_SIZE`] random candidates per distance.
    fn sample<'a>(&mut self, mut pool: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
        pool.sort_by_key(|candidate| candidate.distance);
        let mut sampled = Vec::with_capacity(SAMPLE_SIZE * Distance::ALL.len());
        for distance in Distance::ALL {
            let start = pool.partition_point(|candidate| candidate.distance < distance);
            let end = pool.partition_point(|candidate| candidate.distance <= distance);
            self.partial_shuffle(&mut pool[start..end]);
            sampled.extend(pool[start..end].iter().copied().take(SAMPLE_SIZE));
        }
        sampled
    }

    /// Moves random candidates to the first [`SAMPLE_SIZE`] positions.
    fn partial_shuffle(&mut self, pool: &mut [&Candidate]) {
        for i in 0..pool.len().min(SAMPLE_SIZE) {
            let remaining = (pool.len() - i) as u64;
            let j = i + (self.rng.next_u64() % remaining) as usize;
            pool.swap(i, j);
        }
    }

    /// Returns the latency that is assumed of servers without an estimate: the lowest estimate in
    /// the sample.
    ///
    /// With the mean, one failed server would make all servers without an estimate look slow, and
    /// none of them would be tried while the fastest server is idle.
    fn assumed_latency(&self, now: Timestamp, sampled: &[&Candidate]) -> u64 {
        let estimates = sampled
            .iter()
            .filter_map(|candidate| self.servers.get(&candidate.server)?.latency(now));
        estimates.min().unwrap_or(DEFAULT_LATENCY_MICROS)
    }

    /// Returns the expected latency of one more request on a candidate, scaled by its distance and
    /// weight.
    fn cost(&self, now: Timestamp, candidate: &Candidate, assumed_latency: u64) -> u64 {
        let stats = self.servers.get(&candidate.server);
        let latency = stats.and_then(|stats| stats.latency(now)).unwrap_or(assumed_latency).max(1);
        let load_milli = stats.map_or(0, |stats| stats.load_milli(now)) + 1_000;
        let cost = u128::from(latency)
            * u128::from(load_milli)
            * u128::from(candidate.distance.cost_factor_milli())
            / u128::from(candidate.weight_milli.max(1));
        u64::try_from(cost).unwrap_or(u64::MAX)
    }
}

impl ServerStats {
    /// Adds load to a server that shed the request, so that it is avoided for a short time.
    fn record_shed(&mut self, now: Timestamp, attempt: Attempt) {
        if attempt.end != AttemptEnd::Shed {
            return;
        }
        let load = attempt.reported_load.unwrap_or(0).max(self.in_flight + 1);
        self.shed_load_milli = u64::from(load) * 1_000;
        self.shed_at = now;
    }

    /// Updates the latency estimate after an attempt that was not shed.
    fn record_latency(&mut self, now: Timestamp, attempt: Attempt) {
        let observed = now.micros_since(attempt.started);
        let estimate = self.latency(now);
        let latency = match attempt.end {
            AttemptEnd::Shed => return,
            AttemptEnd::Cancelled => estimate.unwrap_or(observed).max(observed),
            AttemptEnd::Answered => estimate.map_or(observed, |estimate| ewma(estimate, observed)),
            AttemptEnd::Failed => {
                (estimate.unwrap_or(0) * 2).max(observed).max(MIN_FAILURE_LATENCY_MICROS)
            }
        };
        self.latency_source = match attempt.end {
            AttemptEnd::Answered | AttemptEnd::Shed => LatencySource::Answer,
            AttemptEnd::Failed | AttemptEnd::Cancelled => LatencySource::NoAnswer,
        };
        self.latency_micros = Some(latency.min(MAX_LATENCY_MICROS));
        self.latency_updated_at = now;
    }

    /// Returns the decayed latency estimate, in microseconds.
    fn latency(&self, now: Timestamp) -> Option<u64> {
        let latency = self.latency_micros?;
        Some(decay(latency, now.since(self.latency_updated_at), self.latency_source.half_life()))
    }

    /// Returns the requests in flight plus the decayed load after a shed request, in thousandths.
    fn load_milli(&self, now: Timestamp) -> u64 {
        let shed_load = decay(self.shed_load_milli, now.since(self.shed_at), SHED_LOAD_HALF_LIFE);
        u64::from(self.in_flight) * 1_000 + shed_load
    }
}

fn ewma(estimate: u64, observed: u64) -> u64 {
    (estimate * (1_000 - EWMA_WEIGHT_MILLI) + observed * EWMA_WEIGHT_MILLI) / 1_000
}

/// Returns `value` halved once per `half_life` in `elapsed`, with linear interpolation in between.
fn decay(value: u64, elapsed: Millis, half_life: Millis) -> u64 {
    let halvings = elapsed.0 / half_life.0;
    if halvings >= 64 {
        return 0;
    }
    let value = value >> halvings;
    let remainder = elapsed.0 % half_life.0;
    value - value * remainder / (2 * half_life.0)
}
