//! What earlier processes of this host have charged to its part of the budget.
//!
//! Load pattern: servers break, gateways spend their parts, and many gateways are killed right after
//! that. Without a memory, their next processes would spend what new requests entitle to besides.
//!
//! Each gateway reports its charges to some control hosts, and its next process asks these. As long as
//! it doesn't know, it spends as little as the reserve of the budget covers.

use ids::{HostId, Millis, RetryCredit, Timestamp};

/// Number of control hosts that a gateway reports to.
pub(super) const RECORDERS: usize = 3;

/// Minimum time between two reports on a service.
const REPORT_INTERVAL: Millis = Millis(500);

/// Minimum time between two reports if a large part of the allowed retries was charged since.
const URGENT_REPORT_INTERVAL: Millis = Millis(100);

/// Fraction of the allowed retries whose charge makes a report urgent.
const URGENT_FRACTION: u64 = 10;

/// Minimum time between two asks.
const ASK_INTERVAL: Millis = Millis(300);

/// Whether the charges of earlier processes are known.
#[derive(Debug, Default)]
pub(super) struct EarlierKnown {
    /// The control hosts that have answered and have run for a whole window.
    answered_by: Vec<HostId>,
    is_known: bool,
    asked_at: Option<Timestamp>,
}

impl EarlierKnown {
    pub(super) fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns whether the recorders should be asked now, and records that they are.
    pub(super) fn should_ask(&mut self, now: Timestamp) -> bool {
        let is_due = self.asked_at.is_none_or(|it| now.since(it) >= ASK_INTERVAL);
        if is_due && !self.is_known {
            self.asked_at = Some(now);
        }
        is_due && !self.is_known
    }

    /// Records an answer of a control host that has recorded charges for a whole window; a majority of
    /// the recorders is enough.
    pub(super) fn record_answer(&mut self, from: HostId, recorders: &[HostId]) {
        if !self.answered_by.contains(&from) && recorders.contains(&from) {
            self.answered_by.push(from);
        }
        self.is_known |= self.answered_by.len() * 2 > recorders.len();
    }
}

/// When the charges to one account were last reported.
#[derive(Debug, Default)]
pub(super) struct Reported {
    unreported: RetryCredit,
    reported_at: Option<Timestamp>,
}

impl Reported {
    pub(super) fn record_charge(&mut self, amount: RetryCredit) {
        self.unreported.0 += amount.0;
    }

    /// Returns whether a report is due if this much is allowed in the window.
    pub(super) fn is_due(&self, now: Timestamp, allowed: RetryCredit) -> bool {
        let is_urgent = self.unreported.0.saturating_mul(URGENT_FRACTION) >= allowed.0;
        let interval = if is_urgent { URGENT_REPORT_INTERVAL } else { REPORT_INTERVAL };
        let is_old = self.reported_at.is_none_or(|it| now.since(it) >= interval);
        self.unreported > RetryCredit(0) && is_old
    }

    pub(super) fn record_report(&mut self, now: Timestamp) {
        *self = Self { unreported: RetryCredit(0), reported_at: Some(now) };
    }
}
