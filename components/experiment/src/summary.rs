//! Summaries of runs: detection times and false ejections by detector, as a table or as CSV.

use std::fmt::{self, Write};

use crate::{
    deployment::{Deployment, Load},
    fixed_threshold::DetectorResult,
    run::RunResult,
    scenario::Scenario,
};

const DAYS_PER_YEAR: f64 = 365.25;

/// A method of detecting faulty servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detector {
    /// The sequential test on pooled outcomes, as entry hosts run it.
    Pooled,
    /// Five consecutive failures on each host by itself.
    InRowLocal,
    /// Five consecutive failures in the outcomes of all hosts.
    InRowPooled,
    /// A fixed failure rate in a window of the outcomes of all hosts.
    RatePooled,
}

const DETECTORS: [Detector; 4] =
    [Detector::Pooled, Detector::InRowLocal, Detector::InRowPooled, Detector::RatePooled];

/// Summary of one detector over the runs of one scenario.
#[derive(Debug, Clone)]
pub struct Row {
    /// Simulated deployment.
    pub deployment: Deployment,
    /// Rate of requests.
    pub load: Load,
    /// Simulated scenario.
    pub scenario: Scenario,
    /// Detector that the row is about.
    pub detector: Detector,
    /// Number of runs.
    pub runs: usize,
    /// Number of runs in which the faulty server was detected.
    pub detected: usize,
    /// Detection times in ascending order, in microseconds.
    pub detection_times_us: Vec<u64>,
    /// Ejections of healthy servers.
    pub false_ejections: u64,
    /// Simulated time multiplied by the number of servers, in server-days.
    pub server_days: f64,
    /// Probes per second to each server.
    pub probes_per_server_second: f64,
    /// Bytes of encoded messages that each host sent per second.
    pub bytes_per_host_second: f64,
}

impl Row {
    /// Returns a percentile of the detection time, in seconds. Runs without a detection count as
    /// the longest: `None` if the percentile falls on one of them.
    pub fn percentile_s(&self, percent: f64) -> Option<f64> {
        let rank = (percent / 100.0 * self.runs as f64).ceil().max(1.0) as usize;
        self.detection_times_us.get(rank - 1).map(|it| *it as f64 / 1e6)
    }

    /// Returns the upper 95% confidence bound on false ejections per server and year.
    pub fn false_per_server_year_bound(&self) -> f64 {
        poisson_upper_bound(self.false_ejections) / self.server_days * DAYS_PER_YEAR
    }
}

/// Returns the upper 95% confidence bound on the mean of a Poisson distribution, given `count`
/// observed events.
fn poisson_upper_bound(count: u64) -> f64 {
    let mut low = count as f64;
    let mut high = count as f64 + 4.0 * (count as f64 + 1.0).sqrt() + 4.0;
    for _ in 0..60 {
        let middle = f64::midpoint(low, high);
        if poisson_cdf(count, middle) > 0.05 { low = middle } else { high = middle }
    }
    high
}

/// Returns the probability of at most `count` events of a Poisson distribution.
fn poisson_cdf(count: u64, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = term;
    for i in 1..=count {
        term *= mean / i as f64;
        sum += term;
    }
    sum
}

/// Summarises the runs of one scenario, with one row per detector.
pub fn summarise(
    deployment: Deployment,
    load: Load,
    scenario: Scenario,
    runs: &[RunResult],
) -> Vec<Row> {
    let row = |detector| {
        let results: Vec<DetectorResult> =
            runs.iter().map(|it| detector_result(it, detector)).collect();
        let mut detection_times_us: Vec<u64> =
            results.iter().filter_map(|it| it.detected_us).collect();
        detection_times_us.sort_unstable();
        let mean =
            |value: fn(&RunResult) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
        Row {
            deployment,
            load,
            scenario,
            detector,
            runs: runs.len(),
            detected: detection_times_us.len(),
            detection_times_us,
            false_ejections: results.iter().map(|it| it.false_ejections).sum(),
            server_days: runs.iter().map(|it| it.server_days).sum(),
            probes_per_server_second: mean(|it| it.probes_per_server_second),
            bytes_per_host_second: mean(|it| it.bytes_per_host_second),
        }
    };
    DETECTORS.into_iter().map(row).collect()
}

fn detector_result(run: &RunResult, detector: Detector) -> DetectorResult {
    match detector {
        Detector::Pooled => {
            DetectorResult { detected_us: run.detected_us, false_ejections: run.false_ejections }
        }
        Detector::InRowLocal => run.in_row_local,
        Detector::InRowPooled => run.in_row_pooled,
        Detector::RatePooled => run.rate_pooled,
    }
}

/// Formats the rows as an aligned text table.
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
            row.detected,
            format_seconds(row.percentile_s(50.0)),
            format_seconds(row.percentile_s(99.0)),
            row.false_ejections,
            row.server_days,
            row.probes_per_server_second,
            row.bytes_per_host_second,
        );
    }
    text
}

/// Formats the rows as comma-separated values.
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
            row.detected,
            format_seconds(row.percentile_s(50.0)),
            format_seconds(row.percentile_s(99.0)),
            row.false_ejections,
            row.server_days,
            row.false_per_server_year_bound(),
            row.probes_per_server_second,
            row.bytes_per_host_second,
        );
    }
    text
}

fn format_seconds(seconds: Option<f64>) -> String {
    seconds.map_or("-".to_owned(), |it| format!("{it:.2}"))
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
