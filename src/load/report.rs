//! Report of a run of the load tool.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;

/// Number of significant digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Upper bound of the latency histogram, in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Names and values of the printed percentiles.
const PERCENTILES: [(&str, f64); 4] =
    [("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("p99.9", 99.9)];

/// Latencies and outcomes of one lane.
#[derive(Debug, Clone)]
pub struct LaneReport {
    latencies: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
    unsent: u64,
}

impl LaneReport {
    /// Creates an empty report; `unsent` requests were dropped because the queue was full.
    pub fn new(unsent: u64) -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        Self { latencies, outcomes: BTreeMap::new(), unsent }
    }

    /// Records the latency and outcome of a request.
    pub fn record(&mut self, latency: Duration, outcome: &str) {
        self.latencies.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Merges the report of another connection of the same lane.
    pub fn merge(&mut self, other: &Self) {
        self.latencies.add(&other.latencies).expect("the bounds are equal");
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.unsent += other.unsent;
    }

    /// Returns a percentile of the latencies, in microseconds.
    pub fn percentile(&self, percentile: f64) -> u64 {
        self.latencies.value_at_percentile(percentile)
    }
}

impl fmt::Display for LaneReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, percentile) in PERCENTILES {
            write!(f, "{name}={} us ", self.percentile(percentile))?;
        }
        write!(f, "answers={}", self.latencies.len())?;
        for (outcome, count) in &self.outcomes {
            write!(f, " {outcome}={count}")?;
        }
        match self.unsent {
            0 => Ok(()),
            unsent => write!(f, " unsent={unsent}"),
        }
    }
}

/// Reports of the lanes of one run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Lane through the fleet.
    pub through: LaneReport,
    /// Lane directly to a backend server.
    pub direct: Option<LaneReport>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "through {}", self.through)?;
        let Some(direct) = &self.direct else { return Ok(()) };
        writeln!(f, "direct  {direct}")?;
        write!(f, "added  ")?;
        for (name, percentile) in PERCENTILES {
            let through = self.through.percentile(percentile) as i64;
            write!(f, " {name}={} us", through - direct.percentile(percentile) as i64)?;
        }
        writeln!(f)
    }
}
