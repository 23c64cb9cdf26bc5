//! Detectors with fixed thresholds, for comparison, that are fed the same outcomes.

use std::collections::VecDeque;

use health::OutcomeKind;

use crate::deployment::{HOSTS, SERVERS};

/// Minimum number of consecutive failures that ejects a server.
const MIN_CONSECUTIVE_FAILURES: u32 = 5;

/// Length of the window of the failure rate, in microseconds.
const WINDOW_US: u64 = 10_000_000;

/// Minimum number of outcomes in the window for its failure rate to count.
const MIN_WINDOW_OUTCOMES: usize = 10;

/// Minimum share of failures in the window that ejects a server.
const MIN_FAILURE_SHARE: f64 = 0.20;

/// Duration of an ejection by a fixed threshold, in microseconds.
const EJECTION_US: u64 = 30_000_000;

/// Share of hosts that must have ejected a server for it to count as detected.
pub const DETECTION_SHARE: f64 = 0.9;

/// Counter of consecutive failures in one stream of outcomes.
#[derive(Debug, Clone, Default)]
struct ConsecutiveFailures {
    failures: u32,
    ejected_until_us: u64,
}

impl ConsecutiveFailures {
    /// Records an outcome and returns whether it ejects the server.
    fn record(&mut self, now_us: u64, is_failure: bool) -> bool {
        self.failures = if is_failure { self.failures + 1 } else { 0 };
        if self.failures < MIN_CONSECUTIVE_FAILURES || now_us < self.ejected_until_us {
            return false;
        }
        self.failures = 0;
        self.ejected_until_us = now_us + EJECTION_US;
        true
    }
}

/// Failure rate of one server over a sliding window, pooled over all hosts.
#[derive(Debug, Clone, Default)]
struct FailureRateWindow {
    outcomes: VecDeque<WindowOutcome>,
    failures: usize,
    ejected_until_us: u64,
}

#[derive(Debug, Clone, Copy)]
struct WindowOutcome {
    at_us: u64,
    is_failure: bool,
}

impl FailureRateWindow {
    fn record(&mut self, now_us: u64, is_failure: bool) -> bool {
        self.outcomes.push_back(WindowOutcome { at_us: now_us, is_failure });
        self.failures += usize::from(is_failure);
        while let Some(oldest) = self.outcomes.front().filter(|it| it.at_us + WINDOW_US < now_us) {
            self.failures -= usize::from(oldest.is_failure);
            self.outcomes.pop_front();
        }
        let count = self.outcomes.len();
        let is_exceeded = count >= MIN_WINDOW_OUTCOMES
            && self.failures as f64 >= MIN_FAILURE_SHARE * count as f64;
        if !is_exceeded || now_us < self.ejected_until_us {
            return false;
        }
        self.ejected_until_us = now_us + EJECTION_US;
        true
    }
}

/// Results of one detector in one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct DetectorResult {
    /// Time of the detection, in microseconds: during the run since its start, in the
    /// [`RunResult`](crate::RunResult) since the onset of the fault.
    pub detected_us: Option<u64>,
    /// Ejections of healthy servers.
    pub false_ejections: u64,
}

/// State and results of all fixed-threshold detectors.
pub struct FixedThresholdDetectors {
    /// Indexed by host and server.
    consecutive_local: Vec<ConsecutiveFailures>,
    /// Indexed by server.
    consecutive_pooled: Vec<ConsecutiveFailures>,
    /// Indexed by server.
    rate_window: Vec<FailureRateWindow>,
    /// Five consecutive failures on each host by itself; the faulty server counts as detected once
    /// [`DETECTION_SHARE`] of the hosts have ejected it.
    pub in_row_local: DetectorResult,
    /// Five consecutive failures in the pooled outcomes of all hosts.
    pub in_row_pooled: DetectorResult,
    /// Failure rate in a window of the pooled outcomes of all hosts.
    pub rate_pooled: DetectorResult,
}

/// Outcome of a request or probe, with the ground truth about the server.
#[derive(Debug, Clone, Copy)]
pub struct ObservedOutcome {
    /// Time of the outcome, in microseconds since the start of the run.
    pub now_us: u64,
    /// Entry host that observed it.
    pub host: usize,
    /// Server that it concerns.
    pub server: usize,
    /// Kind of outcome.
    pub kind: OutcomeKind,
    /// Whether the server is in fact faulty towards this host.
    pub is_faulty_for_host: bool,
    /// Whether the server is in fact faulty towards all hosts.
    pub is_faulty: bool,
}

impl FixedThresholdDetectors {
    /// Creates detectors that have no outcomes yet.
    pub fn new() -> Self {
        Self {
            consecutive_local: vec![ConsecutiveFailures::default(); HOSTS * SERVERS],
            consecutive_pooled: vec![ConsecutiveFailures::default(); SERVERS],
            rate_window: vec![FailureRateWindow::default(); SERVERS],
            in_row_local: DetectorResult::default(),
            in_row_pooled: DetectorResult::default(),
            rate_pooled: DetectorResult::default(),
        }
    }

    /// Feeds an outcome to all detectors. Shed and overdue requests do not count.
    pub fn record(&mut self, outcome: ObservedOutcome) {
        let is_failure = match outcome.kind {
            OutcomeKind::Answered => false,
            OutcomeKind::Shed | OutcomeKind::Overdue => return,
            _ => true,
        };
        let now_us = outcome.now_us;
        if self.consecutive_local[outcome.host * SERVERS + outcome.server]
            .record(now_us, is_failure)
        {
            let ejecting_hosts = (0..HOSTS)
                .filter(|it| {
                    self.consecutive_local[it * SERVERS + outcome.server].ejected_until_us > now_us
                })
                .count();
            let is_detected = ejecting_hosts as f64 >= DETECTION_SHARE * HOSTS as f64;
            record_ejection(
                &mut self.in_row_local,
                &outcome,
                outcome.is_faulty_for_host,
                is_detected,
            );
        }
        if self.consecutive_pooled[outcome.server].record(now_us, is_failure) {
            record_ejection(&mut self.in_row_pooled, &outcome, outcome.is_faulty, true);
        }
        if self.rate_window[outcome.server].record(now_us, is_failure) {
            record_ejection(&mut self.rate_pooled, &outcome, outcome.is_faulty, true);
        }
    }
}

fn record_ejection(
    result: &mut DetectorResult,
    outcome: &ObservedOutcome,
    is_faulty: bool,
    is_detected: bool,
) {
    if !is_faulty {
        result.false_ejections += 1;
    } else if is_detected && result.detected_us.is_none() {
        result.detected_us = Some(outcome.now_us);
    }
}
