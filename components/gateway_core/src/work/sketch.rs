//! The learned work of kinds of requests, in bounded memory.

use super::{RequestKinds, WorkRatio, WorkSample};

/// Number of sets of the table, a power of two.
const SETS: usize = 1_024;

/// Kinds in a set; a new kind replaces the one that was used least recently.
const WAYS: usize = 4;

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
    weight: f64,
    /// Mean of the logarithm of the work in relation to what is typical of the route.
    log_mean: f64,
    /// Mean of the squared deviation from `log_mean`.
    log_variance: f64,
    /// What another gateway knows; 0 if none has said so.
    peer_ratio: f64,
}

impl Cell {
    fn new(kind: u64) -> Self {
        let log_variance = ASSUMED_DEVIATION * ASSUMED_DEVIATION;
        Self { kind, log_variance, ..Self::default() }
    }

    /// Returns the work of the kind if it surely differs from the average.
    fn ratio(&self) -> Option<f64> {
        if self.weight < MIN_SAMPLES {
            return (self.peer_ratio > 0.0).then_some(self.peer_ratio);
        }
        let error = (self.log_variance / self.weight).sqrt();
        let differs = self.log_mean.abs() >= MIN_LOG_RATIO + MIN_STANDARD_ERRORS * error;
        differs.then(|| self.log_mean.exp())
    }

    fn record(&mut self, log_ratio: f64) {
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        let deviation = log_ratio - self.log_mean;
        self.log_mean += deviation / self.weight;
        let squared = deviation * (log_ratio - self.log_mean);
        self.log_variance += (squared - self.log_variance) / (self.weight + 1.0);
    }
}

/// The work of the kinds that were seen lately.
#[derive(Debug, Default)]
pub(super) struct WorkSketch {
    sets: Vec<[Cell; WAYS]>,
    clock: u64,
}

impl WorkSketch {
    /// Returns the work of the most specific kind that surely differs from the average.
    pub(super) fn estimate(&self, kinds: &RequestKinds) -> WorkRatio {
        let found = kinds.all().find_map(|it| self.find(it)?.ratio());
        let (min, max) = RATIO_BOUNDS;
        found.map_or(WorkRatio::AVERAGE, |it| WorkRatio(it.clamp(min, max)))
    }

    pub(super) fn record(&mut self, kinds: &RequestKinds, sample: &WorkSample) {
        let (min, max) = RATIO_BOUNDS;
        let usual = (sample.typical_latency * sample.slowdown).max(1.0);
        let log_ratio = (sample.latency.max(1.0) / usual).clamp(min, max).ln();
        for kind in kinds.all() {
            self.cell(kind).record(log_ratio);
        }
    }

    /// Takes over what another gateway knows of a kind, until enough is known here.
    pub(super) fn learn_from_peer(&mut self, kind: u64, ratio: WorkRatio) {
        if kind != 0 {
            self.cell(kind).peer_ratio = ratio.0;
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
    // The upper bits of a multiplicative hash are the best ones.
    (kind >> 32) as usize % SETS
}
