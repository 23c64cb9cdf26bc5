//! Chooses a backend server for each attempt of a request.
//!
//! Samples up to twelve random candidates at each distance and picks the one with the lowest
//! expected wait, `(own requests in flight + 1) x latency / weight`, multiplied by a factor for the
//! distance. The latency includes the wait at the server, so the load that servers report is only
//! used when they shed.

use ids::{FastMap, Millis, ServerId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Maximum number of candidates that are compared at each distance.
const SAMPLE_SIZE: usize = 12;

/// Weight of a new latency in the EWMA, in thousandths.
const LATENCY_WEIGHT_MILLI: u64 = 250;

/// Half-life of a latency estimate from a response while there are no new observations.
const LATENCY_HALF_LIFE: Millis = Millis(30_000);

/// Half-life of the latency estimate after an attempt without a complete response.
///
/// From 200 ms it decays to the 1 ms of a fast server in 8 s. The entry host then tries the server
/// once more, which shows the outlier detection whether it still fails.
const NO_ANSWER_HALF_LIFE: Millis = Millis(1_000);

/// Half-life of the load that is added to a server after it shed.
const SHED_HALF_LIFE: Millis = Millis(200);

/// Latency assumed if no sampled server has an estimate, in microseconds.
const DEFAULT_LATENCY_MICROS: u64 = 100_000;

/// Minimum latency estimate after a failed attempt, in microseconds.
const FAILURE_LATENCY_MICROS: u64 = 200_000;

/// Maximum latency estimate, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Time without attempts after which the load and latency of a server are dropped.
const DROP_AFTER: Millis = Millis(600_000);

/// How far a backend server is from this entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region; traffic between regions is charged for.
    OtherRegion,
}

impl Distance {
    const ALL: [Self; 3] = [Self::SameDataCentre, Self::SameRegion, Self::OtherRegion];

    /// Returns the factor by which the expected wait is multiplied, in thousandths.
    fn cost_factor_milli(self) -> u64 {
        match self {
            Self::SameDataCentre => 1_000,
            Self::SameRegion => 1_200,
            Self::OtherRegion => 3_000,
        }
    }
}

/// A backend server that may take the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// How far it is from this entry host.
    pub distance: Distance,
    /// Share of its full load that it should get, in thousandths; with 0 it is never chosen.
    pub weight_milli: u32,
    /// Whether it is only used when no other candidate is left.
    pub last_resort: bool,
    /// Number of requests that it runs at a time.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server sent a complete response.
    Answered,
    /// The server shed the attempt because it was busy.
    Shed,
    /// The attempt failed or timed out, or its response was cut short.
    Failed,
    /// This entry host cancelled the attempt, such as the loser of a hedge.
    Cancelled,
}

/// A finished attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// When it started.
    pub started: Timestamp,
    /// Number of requests that the server reported to hold; only used if it shed.
    pub reported_load: Option<u32>,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Chooses backend servers by the load and latency that this entry host observes.
#[derive(Debug, Clone)]
pub struct ServerChooser {
    servers: FastMap<ServerId, ServerLoad>,
    rng: Xoshiro256PlusPlus,
}

/// The observed load and latency of one server.
#[derive(Debug, Clone, Default)]
struct ServerLoad {
    /// Attempts of this entry host in flight.
    in_flight: u32,
    /// Latency estimate at `latency_at`, from which it decays.
    latency_micros: Option<u64>,
    latency_at: Timestamp,
    latency_source: LatencySource,
    /// Load added by a shed at `shed_at`, from which it decays; in thousandths of a request.
    shed_load_milli: u64,
    shed_at: Timestamp,
    used_at: Timestamp,
}

/// The kind of attempt that last changed a latency estimate.
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
    /// Returns a chooser without observations, whose random samples follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { servers: FastMap::default(), rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// Returns the server for the next attempt, or `None` if no untried candidate is usable.
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
        let assumed = self.assumed_latency(now, &sampled);
        let best = sampled
            .into_iter()
            .min_by_key(|candidate| (self.cost(now, candidate, assumed), candidate.distance))?;
        Some(best.server.clone())
    }

    /// Records the start of an attempt on `server`.
    pub fn started(&mut self, now: Timestamp, server: &ServerId) {
        let load = self.servers.entry(server.clone()).or_default();
        load.in_flight += 1;
        load.used_at = now;
    }

    /// Records the end of an attempt on `server`.
    pub fn finished(&mut self, now: Timestamp, server: &ServerId, attempt: Attempt) {
        let Some(load) = self.servers.get_mut(server) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.used_at = now;
        load.record_shed(now, attempt);
        load.record_latency(now, attempt);
    }

    /// Returns the number of attempts of this entry host in flight on `server`.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        self.servers.get(server).map_or(0, |load| load.in_flight)
    }

    /// Drops the load and latency of servers without recent attempts.
    pub fn tick(&mut self, now: Timestamp) {
        self.servers.retain(|_, load| load.in_flight > 0 || now.since(load.used_at) < DROP_AFTER);
    }

    /// Returns up to [`SAMPLE_SIZE`] random candidates of each distance.
    fn sample<'a>(&mut self, mut pool: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
        pool.sort_by_key(|candidate| candidate.distance);
        let mut sampled = Vec::with_capacity(SAMPLE_SIZE * Distance::ALL.len());
        for distance in Distance::ALL {
            let start = pool.partition_point(|candidate| candidate.distance < distance);
            let end = pool.partition_point(|candidate| candidate.distance <= distance);
            self.shuffle_front(&mut pool[start..end]);
            sampled.extend(pool[start..end].iter().copied().take(SAMPLE_SIZE));
        }
        sampled
    }

    /// Moves random candidates to the first [`SAMPLE_SIZE`] positions.
    fn shuffle_front(&mut self, pool: &mut [&Candidate]) {
        for i in 0..pool.len().min(SAMPLE_SIZE) {
            let rest = (pool.len() - i) as u64;
            let j = i + (self.rng.next_u64() % rest) as usize;
            pool.swap(i, j);
        }
    }

    /// Returns the latency assumed for servers without an estimate: the lowest of the sample.
    ///
    /// With the mean, one failed server would keep servers without an estimate from being tried for
    /// as long as the fastest server is idle.
    fn assumed_latency(&self, now: Timestamp, sampled: &[&Candidate]) -> u64 {
        let known = sampled
            .iter()
            .filter_map(|candidate| self.servers.get(&candidate.server)?.latency(now));
        known.min().unwrap_or(DEFAULT_LATENCY_MICROS)
    }

    /// Returns the expected wait at a candidate, scaled by distance and weight.
    fn cost(&self, now: Timestamp, candidate: &Candidate, assumed: u64) -> u64 {
        let load = self.servers.get(&candidate.server);
        let latency = load.and_then(|load| load.latency(now)).unwrap_or(assumed).max(1);
        let load_milli = load.map_or(0, |load| load.load_milli(now)) + 1_000;
        let cost = u128::from(latency)
            * u128::from(load_milli)
            * u128::from(candidate.distance.cost_factor_milli())
            / u128::from(candidate.weight_milli.max(1));
        u64::try_from(cost).unwrap_or(u64::MAX)
    }
}

impl ServerLoad {
    /// Adds load to a server that shed, so that it is avoided for a short time.
    fn record_shed(&mut self, now: Timestamp, attempt: Attempt) {
        if attempt.end != AttemptEnd::Shed {
            return;
        }
        let load = attempt.reported_load.unwrap_or(0).max(self.in_flight + 1);
        self.shed_load_milli = u64::from(load) * 1_000;
        self.shed_at = now;
    }

    fn record_latency(&mut self, now: Timestamp, attempt: Attempt) {
        let observed = now.micros_since(attempt.started);
        let known = self.latency(now);
        let latency = match attempt.end {
            AttemptEnd::Shed => return,
            AttemptEnd::Cancelled => known.unwrap_or(observed).max(observed),
            AttemptEnd::Answered => known.map_or(observed, |known| ewma(known, observed)),
            AttemptEnd::Failed => {
                (known.unwrap_or(0) * 2).max(observed).max(FAILURE_LATENCY_MICROS)
            }
        };
        self.latency_source = match attempt.end {
            AttemptEnd::Answered | AttemptEnd::Shed => LatencySource::Answer,
            AttemptEnd::Failed | AttemptEnd::Cancelled => LatencySource::NoAnswer,
        };
        self.latency_micros = Some(latency.min(MAX_LATENCY_MICROS));
        self.latency_at = now;
    }

    fn latency(&self, now: Timestamp) -> Option<u64> {
        let latency = self.latency_micros?;
        Some(decayed(latency, now.since(self.latency_at), self.latency_source.half_life()))
    }

    fn load_milli(&self, now: Timestamp) -> u64 {
        let shed_load = decayed(self.shed_load_milli, now.since(self.shed_at), SHED_HALF_LIFE);
        u64::from(self.in_flight) * 1_000 + shed_load
    }
}

fn ewma(known: u64, observed: u64) -> u64 {
    (known * (1_000 - LATENCY_WEIGHT_MILLI) + observed * LATENCY_WEIGHT_MILLI) / 1_000
}

/// Returns `value` halved once per `half_life` in `elapsed`, with linear decay in between.
fn decayed(value: u64, elapsed: Millis, half_life: Millis) -> u64 {
    let halvings = elapsed.0 / half_life.0;
    if halvings >= 64 {
        return 0;
    }
    let value = value >> halvings;
    let part = elapsed.0 % half_life.0;
    value - value * part / (2 * half_life.0)
}
