//! Bounds the log lines on clients that gave way or were refused.

use ids::{Millis, Timestamp};

/// Minimum time between two reports, in milliseconds.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Numbers since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Clients that gave way.
    pub evicted: u64,
    /// Requests and connections that were refused.
    pub refused: u64,
}

/// Collects what happens between two reports.
#[derive(Debug, Default)]
pub struct Reporter {
    pending: Report,
    next: Timestamp,
}

impl Reporter {
    /// Adds to the next report, and returns it if it is due.
    pub fn add(&mut self, now: Timestamp, added: Report) -> Option<Report> {
        self.pending.evicted += added.evicted;
        self.pending.refused += added.refused;
        if now < self.next {
            return None;
        }
        self.next = now + REPORT_INTERVAL;
        Some(std::mem::take(&mut self.pending))
    }
}
