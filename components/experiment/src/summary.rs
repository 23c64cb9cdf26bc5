//! Tables of results: detection times and false ejections by detector.

use std::fmt::{self, Write};

use crate::{
    deployment::{Deployment, Load},
    rivals::RivalResult,
    run::RunResult,
    scenario::Scenario,
};

/// Days in a year.
const DAYS_PER_YEAR: f64 = 365.25;

/// A way to find sick servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detector {
    /// The project's pooled sequential test.
    Pooled,
    /// Five failures in a row, on each host by itself.
    InRowLocal,
    /// Five failures in a row, over the outcomes of all hosts.
    InRowPooled,
    /// A fixed failure rate over a window, over the outcomes of all hosts.
    RatePooled,
}

const DETECTORS: [Detector; 4] =
    [Detector::Pooled, Detector::InRowLocal, Detector::InRowPooled, Detector::RatePooled];

/// The results of one detector in the runs of one scenario.
#[derive(Debug, Clone)]
pub struct Row {
    /// The deployment.
    pub deployment: Deployment,
    /// The load.
    pub load: Load,
    /// The scenario.
    pub scenario: Scenario,
    /// The detector.
    pub detector: Detector,
    /// Runs.
    pub runs: usize,
    /// Runs in which the sick server was found.
    pub found: usize,
    /// Detection times in ascending order, in microseconds.
    pub times_us: Vec<u64>,
    /// Ejections of servers that were not sick.
    pub false_ejections: u64,
    /// Observed server-days.
    pub server_days: f64,
    /// Probes a second and server.
    pub probes_per_server_second: f64,
    /// Encoded message bytes that one host sent in a second.
    pub bytes_per_host_second: f64,
}

impl Row {
    /// A percentile of the detection time, in seconds; `None` when too few runs found the server.
    pub fn percentile_s(&self, percent: f64) -> Option<f64> {
        let rank = (percent / 100.0 * self.runs as f64).ceil().max(1.0) as usize;
        self.times_us.get(rank - 1).map(|it| *it as f64 / 1e6)
    }

    /// The upper 95% confidence bound of false ejections per server and year.
    pub fn false_per_server_year_bound(&self) -> f64 {
        poisson_upper_bound(self.false_ejections) / self.server_days * DAYS_PER_YEAR
    }
}

/// The upper 95% confidence bound of a Poisson mean after `count` events.
fn poisson_upper_bound(count: u64) -> f64 {
    let mut low = count as f64;
    let mut high = count as f64 + 4.0 * (count as f64 + 1.0).sqrt() + 4.0;
    for _ in 0..60 {
        let middle = f64::midpoint(low, high);
        if poisson_at_most(count, middle) > 0.05 { low = middle } else { high = middle }
    }
    high
}

/// The probability of at most `count` events when `mean` are expected.
fn poisson_at_most(count: u64, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = term;
    for i in 1..=count {
        term *= mean / i as f64;
        sum += term;
    }
    sum
}

/// Sums up the runs of one scenario, one row a detector.
pub fn summarise(
    deployment: Deployment,
    load: Load,
    scenario: Scenario,
    runs: &[RunResult],
) -> Vec<Row> {
    let row = |detector| {
        let results: Vec<RivalResult> = runs.iter().map(|it| result_of(it, detector)).collect();
        let mut times_us: Vec<u64> = results.iter().filter_map(|it| it.found_us).collect();
        times_us.sort_unstable();
        let mean = |of: fn(&RunResult) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        Row {
            deployment,
            load,
            scenario,
            detector,
            runs: runs.len(),
            found: times_us.len(),
            times_us,
            false_ejections: results.iter().map(|it| it.false_ejections).sum(),
            server_days: runs.iter().map(|it| it.server_days).sum(),
            probes_per_server_second: mean(|it| it.probes_per_server_second),
            bytes_per_host_second: mean(|it| it.bytes_per_host_second),
        }
    };
    DETECTORS.into_iter().map(row).collect()
}

fn result_of(run: &RunResult, detector: Detector) -> RivalResult {
    match detector {
        Detector::Pooled => {
            RivalResult { found_us: run.found_us, false_ejections: run.false_ejections }
        }
        Detector::InRowLocal => run.in_row_local,
        Detector::InRowPooled => run.in_row_pooled,
        Detector::RatePooled => run.rate_pooled,
    }
}

/// The rows as a table for people.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<10}{:<7}{:<18}{:<15}{:>6}{:>7}{:>9}{:>9}{:>7}{:>13}{:>9}{:>8}",
        "where",
        "load",
        "scenario",
        "detector",
        "runs",
        "found",
        "p50 s",
        "p99 s",
        "false",
        "server-days",
        "probe/s",
        "B/s",
    );
    for row in rows {
        let _ = writeln!(
            text,
            "{:<10}{:<7}{:<18}{:<15}{:>6}{:>7}{:>9}{:>9}{:>7}{:>13.3}{:>9.2}{:>8.0}",
            row.deployment,
            row.load,
            row.scenario,
            row.detector,
            row.runs,
            row.found,
            seconds(row.percentile_s(50.0)),
            seconds(row.percentile_s(99.0)),
            row.false_ejections,
            row.server_days,
            row.probes_per_server_second,
            row.bytes_per_host_second,
        );
    }
    text
}

/// The rows as comma-separated values.
pub fn csv(rows: &[Row]) -> String {
    let mut text = String::from(
        "deployment,load,scenario,detector,runs,found,p50_s,p99_s,false_ejections,server_days,\
         false_per_server_year_95_bound,probes_per_server_second,bytes_per_host_second\n",
    );
    for row in rows {
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{},{},{},{:.4},{:.2},{:.3},{:.1}",
            row.deployment,
            row.load,
            row.scenario,
            row.detector,
            row.runs,
            row.found,
            seconds(row.percentile_s(50.0)),
            seconds(row.percentile_s(99.0)),
            row.false_ejections,
            row.server_days,
            row.false_per_server_year_bound(),
            row.probes_per_server_second,
            row.bytes_per_host_second,
        );
    }
    text
}

fn seconds(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |it| format!("{it:.2}"))
}

impl fmt::Display for Detector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Detector::Pooled => "pooled",
            Detector::InRowLocal => "in-row-local",
            Detector::InRowPooled => "in-row-pooled",
            Detector::RatePooled => "rate-pooled",
        })
    }
}
