//! The learned work of kinds of requests, in bounded memory.

use ids::{FastMap, Millis, Timestamp};

use super::{RequestKinds, WorkRatio, WorkSample};
use crate::configuration::RouteKey;

/// Number of sets of the table, a power of two.
const SETS: usize = 1_024;

/// Kinds in a set; a new kind replaces the one that was used least recently.
const WAYS: usize = 4;

/// Time after which a kind without a sample says nothing, in milliseconds.
const EXPIRY: Millis = Millis(60_000);

/// Samples after which older ones fade in what is typical of a route.
const MAX_TYPICAL_WEIGHT: f64 = 100.0;

/// Maximum number of routes of which something is known.
const MAX_ROUTES: usize = 8_192;

/// Samples after which older ones fade.
const MAX_WEIGHT: f64 = 64.0;

/// Samples below which a kind says nothing.
const MIN_SAMPLES: f64 = 8.0;

/// Ratio from which the work of a kind differs from the average, as a logarithm.
const MIN_LOG_RATIO: f64 = 0.25;

/// Standard errors by which a kind has to differ.
const MIN_STANDARD_ERRORS: f64 = 3.0;

/// Standard deviation of the logarithm of the work that is assumed before it is known.
const ASSUMED_DEVIATION: f64 = 0.8;

/// Lower and upper bound of a single sample and of an estimate.
const RATIO_BOUNDS: (f64, f64) = (0.02, 50.0);

/// What is known of a kind. Logarithms, since the work of like requests has a long tail.
#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    kind: u64,
    used_at: u64,
    recorded_at: Timestamp,
    weight: f64,
    /// Mean of the logarithm of the work in relation to what is typical of the route.
    log_mean: f64,
    /// Mean of the squared deviation from `log_mean`.
    log_variance: f64,
}

impl Cell {
    fn new(kind: u64) -> Self {
        let log_variance = ASSUMED_DEVIATION * ASSUMED_DEVIATION;
        Self { kind, log_variance, ..Self::default() }
    }

    /// Returns the work of the kind if it is known whether it differs from the average.
    fn ratio(&self, now: Timestamp) -> Option<f64> {
        if self.weight < MIN_SAMPLES || now.since(self.recorded_at) >= EXPIRY {
            return None;
        }
        let error = MIN_STANDARD_ERRORS * (self.log_variance / self.weight).sqrt();
        match self.log_mean.abs() {
            differs if differs >= MIN_LOG_RATIO + error => Some(self.log_mean.exp()),
            differs if differs + error <= MIN_LOG_RATIO => Some(WorkRatio::AVERAGE.0),
            _ => None,
        }
    }

    fn record(&mut self, now: Timestamp, log_ratio: f64) {
        if now.since(self.recorded_at) >= EXPIRY {
            self.weight = 0.0;
        }
        self.recorded_at = now;
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        let deviation = log_ratio - self.log_mean;
        self.log_mean += deviation / self.weight;
        let squared = deviation * (log_ratio - self.log_mean);
        self.log_variance += (squared - self.log_variance) / (self.weight + 1.0);
    }
}

/// The work that is typical of a route.
#[derive(Debug, Clone, Copy, Default)]
struct Typical {
    weight: f64,
    /// Mean of the logarithm of the work in milliseconds.
    log_mean: f64,
}

/// The work of the kinds that were seen lately.
#[derive(Debug, Default)]
pub(super) struct WorkSketch {
    sets: Vec<[Cell; WAYS]>,
    clock: u64,
    /// What is typical of routes, from the samples of all their kinds.
    typical: FastMap<RouteKey, Typical>,
}

impl WorkSketch {
    /// Returns the work of the most specific kind of which it is known.
    pub(super) fn estimate(&self, now: Timestamp, kinds: &RequestKinds) -> WorkRatio {
        let found = kinds.all().find_map(|it| self.find(it)?.ratio(now));
        let (min, max) = RATIO_BOUNDS;
        found.map_or(WorkRatio::AVERAGE, |it| WorkRatio(it.clamp(min, max)))
    }

    pub(super) fn record(&mut self, now: Timestamp, kinds: &RequestKinds, sample: &WorkSample) {
        let log_work = (sample.latency.max(1.0) / sample.slowdown.max(1.0)).ln();
        if self.typical.len() >= MAX_ROUTES && !self.typical.contains_key(&sample.route) {
            return;
        }
        let typical = self.typical.entry(sample.route).or_default();
        typical.weight = (typical.weight + 1.0).min(MAX_TYPICAL_WEIGHT);
        typical.log_mean += (log_work - typical.log_mean) / typical.weight;
        if typical.weight < MIN_SAMPLES {
            return;
        }
        let (min, max) = RATIO_BOUNDS;
        let log_ratio = (log_work - typical.log_mean).clamp(min.ln(), max.ln());
        for kind in kinds.all() {
            self.cell(kind).record(now, log_ratio);
        }
    }

    fn find(&self, kind: u64) -> Option<&Cell> {
        self.sets.get(set_of(kind))?.iter().find(|it| it.kind == kind)
    }

    /// Returns the cell of a kind, in place of the least recently used one if it is new.
    fn cell(&mut self, kind: u64) -> &mut Cell {
        if self.sets.is_empty() {
            self.sets = vec![[Cell::default(); WAYS]; SETS];
        }
        self.clock += 1;
        let set = &mut self.sets[set_of(kind)];
        let known = set.iter().position(|it| it.kind == kind);
        let way = known.unwrap_or_else(|| {
            let oldest = (0..WAYS).min_by_key(|it| set[*it].used_at).unwrap_or(0);
            set[oldest] = Cell::new(kind);
            oldest
        });
        set[way].used_at = self.clock;
        &mut set[way]
    }
}

fn set_of(kind: u64) -> usize {
    (kind >> 32) as usize % SETS
}
