//! Messages to other hosts, and how many of them are told at once.

use ids::{Fingerprint, HostId, Millis, Timestamp};
use schema::quarantine::QuarantineMessage;

/// Maximum number of changes that are told in a row.
const BURST: u64 = 10;

/// Time after which one more change is told, in milliseconds.
const REFILL_INTERVAL: Millis = Millis(100);

/// Time after which the allowance is whole again if it was spent, in milliseconds.
const WHOLE_AFTER: Millis = Millis(BURST * REFILL_INTERVAL.0);

/// Maximum number of records in a message, so that it fits into a datagram.
pub(crate) const RECORDS_PER_MESSAGE: usize = 3;

/// Maximum number of changes that wait to be told; the oldest are dropped first.
const MAX_WAITING: usize = 256;

/// Who gets a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All gateways, through one of each other data centre, and all control hosts.
    Fleet,
    /// The other gateways of this data centre.
    DataCentre,
    /// Some gateways and the nearest control hosts.
    Informants,
    /// A gateway drawn at random, and now and then a control host.
    AnyGateway,
    /// One host.
    Host(HostId),
}

/// A message to other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receivers.
    pub to: Audience,
    /// The message.
    pub message: QuarantineMessage,
}

/// Requests whose records have changed and are to be told.
///
/// Load pattern: when a rack dies, many requests are lost at once.
#[derive(Debug, Default)]
pub(crate) struct Untold {
    waiting: Vec<Fingerprint>,
    /// When the allowance is whole again.
    whole_at: Timestamp,
}

impl Untold {
    pub(crate) fn add(&mut self, request: Fingerprint) {
        self.waiting.retain(|it| *it != request);
        self.waiting.push(request);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.remove(0);
        }
    }

    /// Returns when the next request may be told, if one waits.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        let spent = Millis(WHOLE_AFTER.0 - REFILL_INTERVAL.0);
        (!self.waiting.is_empty()).then_some(self.whole_at - spent)
    }

    /// Takes the requests that may be told now.
    pub(crate) fn take(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let mut told = Vec::new();
        while !self.waiting.is_empty() {
            let whole_at = self.whole_at.max(now) + REFILL_INTERVAL;
            if whole_at > now + WHOLE_AFTER {
                break;
            }
            self.whole_at = whole_at;
            told.push(self.waiting.remove(0));
        }
        told
    }
}
