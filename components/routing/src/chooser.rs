//! Chooses a backend server for each attempt of a request.
//!
//! Of up to twelve random candidates in each distance, the one with the lowest expected wait is
//! taken: `(own in flight + 1) x latency / weight`. A farther server has to beat a nearer one by
//! the factor of its distance. The latency includes the wait at the server, so the load that
//! servers report is only used when they shed.

use ids::{FastMap, Millis, ServerId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Candidates that are compared in each distance.
const SAMPLE_SIZE: usize = 12;

/// Share of a new latency in the moving average, in thousandths.
const LATENCY_GAIN_MILLI: u64 = 250;

/// Time in which the latency of an answer halves that gets no new observation.
const LATENCY_HALF_LIFE: Millis = Millis(30_000);

/// Time in which the latency that an attempt without an answer stands for halves.
///
/// From 200 ms it reaches the 1 ms of a fast server after 8 s. A host then tries the server once
/// more, which tells the detector whether it still fails.
const NO_ANSWER_HALF_LIFE: Millis = Millis(1_000);

/// Time in which the load of a server that shed halves.
const SHED_HALF_LIFE: Millis = Millis(200);

/// Latency that is assumed before any server has answered, in microseconds.
const DEFAULT_LATENCY_MICROS: u64 = 100_000;

/// Least latency that a failed attempt stands for, in microseconds.
const FAILURE_LATENCY_MICROS: u64 = 200_000;

/// Largest latency estimate, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Time after which a server without attempts is forgotten.
const FORGET_AFTER: Millis = Millis(600_000);

/// How far a backend server is from this entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region; its traffic is paid.
    OtherRegion,
}

impl Distance {
    const ALL: [Self; 3] = [Self::SameDataCentre, Self::SameRegion, Self::OtherRegion];

    /// Factor by which the expected wait counts, in thousandths.
    fn cost_milli(self) -> u64 {
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
    /// Where it is.
    pub distance: Distance,
    /// Share of its full load that it should get, in thousandths; 0 takes it out.
    pub weight_milli: u32,
    /// Whether it is only used when no other server is left.
    pub last_resort: bool,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server gave a whole answer.
    Answered,
    /// The server was busy and did not run the request.
    Shed,
    /// The attempt failed, timed out or was cut.
    Failed,
    /// This entry host gave up the attempt, as for the loser of a hedge.
    Cancelled,
}

/// A finished attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// When it was started.
    pub started: Timestamp,
    /// The requests that the server said it holds; used when it shed.
    pub reported_load: Option<u32>,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Keeps what this entry host knows of the load and latency of backend servers.
#[derive(Debug, Clone)]
pub struct ServerChooser {
    servers: FastMap<ServerId, ServerLoad>,
    rng: Xoshiro256PlusPlus,
}

#[derive(Debug, Clone, Default)]
struct ServerLoad {
    in_flight: u32,
    latency_micros: Option<u64>,
    latency_at: Timestamp,
    latency_source: LatencySource,
    shed_load_milli: u64,
    shed_at: Timestamp,
    used_at: Timestamp,
}

/// What the last change of a latency estimate came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LatencySource {
    #[default]
    Answer,
    NoAnswer,
}

impl LatencySource {
    /// Time in which the estimate halves.
    fn half_life(self) -> Millis {
        match self {
            Self::Answer => LATENCY_HALF_LIFE,
            Self::NoAnswer => NO_ANSWER_HALF_LIFE,
        }
    }
}

impl ServerChooser {
    /// A chooser that knows no server yet.
    pub fn new(seed: u64) -> Self {
        Self { servers: FastMap::default(), rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// The server for the next attempt, or `None` when each candidate was tried.
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

    /// Notes that an attempt goes to `server`.
    pub fn started(&mut self, now: Timestamp, server: &ServerId) {
        let load = self.servers.entry(server.clone()).or_default();
        load.in_flight += 1;
        load.used_at = now;
    }

    /// Notes the end of an attempt on `server`.
    pub fn finished(&mut self, now: Timestamp, server: &ServerId, attempt: Attempt) {
        let Some(load) = self.servers.get_mut(server) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.used_at = now;
        load.note_shed(now, attempt);
        load.note_latency(now, attempt);
    }

    /// The attempts of this entry host that `server` works on.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        self.servers.get(server).map_or(0, |load| load.in_flight)
    }

    /// Forgets servers that had no attempt for long.
    pub fn tick(&mut self, now: Timestamp) {
        self.servers.retain(|_, load| load.in_flight > 0 || now.since(load.used_at) < FORGET_AFTER);
    }

    /// Up to [`SAMPLE_SIZE`] random candidates of each distance.
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

    /// Moves random candidates to the first [`SAMPLE_SIZE`] places.
    fn shuffle_front(&mut self, pool: &mut [&Candidate]) {
        for i in 0..pool.len().min(SAMPLE_SIZE) {
            let rest = (pool.len() - i) as u64;
            let j = i + (self.rng.next_u64() % rest) as usize;
            pool.swap(i, j);
        }
    }

    /// The latency that is assumed of servers without one: the least of the sampled others.
    ///
    /// With their mean, one failed server would keep all servers without a latency from being tried
    /// as long as the fastest is idle.
    fn assumed_latency(&self, now: Timestamp, sampled: &[&Candidate]) -> u64 {
        let known = sampled
            .iter()
            .filter_map(|candidate| self.servers.get(&candidate.server)?.latency(now));
        known.min().unwrap_or(DEFAULT_LATENCY_MICROS)
    }

    /// The expected wait on a candidate, scaled by distance and weight.
    fn cost(&self, now: Timestamp, candidate: &Candidate, assumed: u64) -> u64 {
        let load = self.servers.get(&candidate.server);
        let latency = load.and_then(|load| load.latency(now)).unwrap_or(assumed).max(1);
        let work_milli = load.map_or(0, |load| load.work_milli(now)) + 1_000;
        let cost = u128::from(latency)
            * u128::from(work_milli)
            * u128::from(candidate.distance.cost_milli())
            / u128::from(candidate.weight_milli.max(1));
        u64::try_from(cost).unwrap_or(u64::MAX)
    }
}

impl ServerLoad {
    /// A server that shed counts as busy for a short time.
    fn note_shed(&mut self, now: Timestamp, attempt: Attempt) {
        if attempt.end != AttemptEnd::Shed {
            return;
        }
        let load = attempt.reported_load.unwrap_or(0).max(self.in_flight + 1);
        self.shed_load_milli = u64::from(load) * 1_000;
        self.shed_at = now;
    }

    fn note_latency(&mut self, now: Timestamp, attempt: Attempt) {
        let observed = now.micros_since(attempt.started);
        let known = self.latency(now);
        let latency = match attempt.end {
            AttemptEnd::Shed => return,
            AttemptEnd::Cancelled => known.unwrap_or(observed).max(observed),
            AttemptEnd::Answered => known.map_or(observed, |known| moving_average(known, observed)),
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
        Some(halved(latency, now.since(self.latency_at), self.latency_source.half_life()))
    }

    fn work_milli(&self, now: Timestamp) -> u64 {
        let shed_load = halved(self.shed_load_milli, now.since(self.shed_at), SHED_HALF_LIFE);
        u64::from(self.in_flight) * 1_000 + shed_load
    }
}

fn moving_average(known: u64, observed: u64) -> u64 {
    (known * (1_000 - LATENCY_GAIN_MILLI) + observed * LATENCY_GAIN_MILLI) / 1_000
}

/// `value` halved once for each `half_life` in `elapsed`, linearly in between.
fn halved(value: u64, elapsed: Millis, half_life: Millis) -> u64 {
    let halvings = elapsed.0 / half_life.0;
    if halvings >= 64 {
        return 0;
    }
    let value = value >> halvings;
    let part = elapsed.0 % half_life.0;
    value - value * part / (2 * half_life.0)
}
