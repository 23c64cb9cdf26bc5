//! Fixed-threshold detectors for comparison, fed with the same outcomes.

use std::collections::VecDeque;

use health::OutcomeKind;

use crate::deployment::{HOSTS, SERVERS};

/// Failures in a row that eject.
const FAILURES_IN_ROW: u32 = 5;

/// Window of the failure rate, in microseconds.
const WINDOW_US: u64 = 10_000_000;

/// Outcomes in the window that are needed for a rate.
const WINDOW_MIN: usize = 10;

/// Share of failures in the window that ejects.
const WINDOW_SHARE: f64 = 0.20;

/// How long an ejection by a fixed threshold lasts, in microseconds.
const EJECTION_US: u64 = 30_000_000;

/// Share of hosts that must have ejected a server for it to count as found.
pub const FOUND_SHARE: f64 = 0.9;

/// Five failures in a row, counted over some stream.
#[derive(Debug, Clone, Default)]
struct InRow {
    failures: u32,
    ejected_until: u64,
}

impl InRow {
    /// Notes an outcome; says whether it ejects.
    fn note(&mut self, now_us: u64, bad: bool) -> bool {
        self.failures = if bad { self.failures + 1 } else { 0 };
        if self.failures < FAILURES_IN_ROW || now_us < self.ejected_until {
            return false;
        }
        self.failures = 0;
        self.ejected_until = now_us + EJECTION_US;
        true
    }
}

/// Failure rate over a window, pooled over all hosts.
#[derive(Debug, Clone, Default)]
struct Window {
    outcomes: VecDeque<WindowOutcome>,
    bad: usize,
    ejected_until: u64,
}

#[derive(Debug, Clone, Copy)]
struct WindowOutcome {
    at_us: u64,
    bad: bool,
}

impl Window {
    fn note(&mut self, now_us: u64, bad: bool) -> bool {
        self.outcomes.push_back(WindowOutcome { at_us: now_us, bad });
        self.bad += usize::from(bad);
        while let Some(oldest) = self.outcomes.front().filter(|it| it.at_us + WINDOW_US < now_us) {
            self.bad -= usize::from(oldest.bad);
            self.outcomes.pop_front();
        }
        let seen = self.outcomes.len();
        let over = seen >= WINDOW_MIN && self.bad as f64 >= WINDOW_SHARE * seen as f64;
        if !over || now_us < self.ejected_until {
            return false;
        }
        self.ejected_until = now_us + EJECTION_US;
        true
    }
}

/// What a fixed-threshold detector did in a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RivalResult {
    /// When the sick server was ejected, in microseconds.
    pub found_us: Option<u64>,
    /// Ejections of servers that were not sick.
    pub false_ejections: u64,
}

/// All fixed-threshold detectors.
pub struct Rivals {
    local: Vec<InRow>,
    pooled: Vec<InRow>,
    window: Vec<Window>,
    /// Five failures in a row on each host by itself; found when most hosts ejected.
    pub in_row_local: RivalResult,
    /// Five failures in a row over the pooled outcomes of all hosts.
    pub in_row_pooled: RivalResult,
    /// Failure rate over a window of the pooled outcomes of all hosts.
    pub rate_pooled: RivalResult,
}

/// An outcome as the fixed-threshold detectors see it.
#[derive(Debug, Clone, Copy)]
pub struct SeenOutcome {
    /// When, in microseconds.
    pub now_us: u64,
    /// The observer.
    pub host: usize,
    /// The server.
    pub server: usize,
    /// What it saw.
    pub kind: OutcomeKind,
    /// Whether the server is sick in truth for this host.
    pub is_sick_here: bool,
    /// Whether the server is sick in truth for all hosts.
    pub is_sick: bool,
}

impl Rivals {
    /// Detectors that have seen nothing.
    pub fn new() -> Self {
        Self {
            local: vec![InRow::default(); HOSTS * SERVERS],
            pooled: vec![InRow::default(); SERVERS],
            window: vec![Window::default(); SERVERS],
            in_row_local: RivalResult::default(),
            in_row_pooled: RivalResult::default(),
            rate_pooled: RivalResult::default(),
        }
    }

    /// Feeds an outcome to all of them.
    pub fn note(&mut self, seen: SeenOutcome) {
        let bad = match seen.kind {
            OutcomeKind::Answered => false,
            OutcomeKind::Shed | OutcomeKind::Overdue => return,
            _ => true,
        };
        let now_us = seen.now_us;
        if self.local[seen.host * SERVERS + seen.server].note(now_us, bad) {
            let ejected = (0..HOSTS)
                .filter(|it| self.local[it * SERVERS + seen.server].ejected_until > now_us)
                .count();
            let found = ejected as f64 >= FOUND_SHARE * HOSTS as f64;
            count(&mut self.in_row_local, &seen, seen.is_sick_here, found);
        }
        if self.pooled[seen.server].note(now_us, bad) {
            count(&mut self.in_row_pooled, &seen, seen.is_sick, true);
        }
        if self.window[seen.server].note(now_us, bad) {
            count(&mut self.rate_pooled, &seen, seen.is_sick, true);
        }
    }
}

fn count(result: &mut RivalResult, seen: &SeenOutcome, is_sick: bool, found: bool) {
    if !is_sick {
        result.false_ejections += 1;
    } else if found && result.found_us.is_none() {
        result.found_us = Some(seen.now_us);
    }
}
