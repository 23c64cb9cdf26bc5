//! The crashes of one request.

use std::cmp::Ordering;

use ids::{Fingerprint, Millis, ServerKey, Timestamp};
use schema::quarantine::{Crash, RequestRecord};

use super::CRASH_THRESHOLD;

/// Maximum number of crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 6;

/// Time for which a request in quarantine is kept after its last crash, in milliseconds.
const QUARANTINE_LIFETIME: Millis = Millis(120_000);

/// Time for which fewer crashes are kept after the last one, in milliseconds.
const CRASH_LIFETIME: Millis = Millis(120_000);

/// Time for which it is kept that a request was cleared, in milliseconds: longer than what was known
/// before takes to be told.
const CLEAR_LIFETIME: Millis = Millis(60_000);

/// The crashes of a request since it was last answered, with the earliest time known of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Record {
    clears: u32,
    cleared_at: Option<Timestamp>,
    crashes: Vec<(ServerKey, Timestamp)>,
}

impl Record {
    /// Returns the number of starts of servers that have crashed.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASH_THRESHOLD
    }

    pub(super) fn has_crashed(&self, server: ServerKey) -> bool {
        self.crashes.iter().any(|(it, _)| *it == server)
    }

    pub(super) fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.iter().map(|(_, at)| *at).max()
    }

    pub(super) fn expires_at(&self) -> Timestamp {
        let lifetime = if self.is_quarantined() { QUARANTINE_LIFETIME } else { CRASH_LIFETIME };
        let crash = self.last_crash().map(|it| it + lifetime);
        let clear = self.cleared_at.map(|it| it + CLEAR_LIFETIME);
        crash.max(clear).unwrap_or_default()
    }

    /// Records a crash; returns whether it is new.
    pub(super) fn add(&mut self, server: ServerKey, at: Timestamp) -> bool {
        if let Some((_, known)) = self.crashes.iter_mut().find(|(it, _)| *it == server) {
            *known = at.min(*known);
            return false;
        }
        self.crashes.push((server, at));
        if self.crashes.len() > MAX_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|i| self.crashes[*i].1);
            self.crashes.remove(oldest.unwrap_or_default());
        }
        true
    }

    /// Forgets the crashes because the request was answered.
    pub(super) fn clear(&mut self, now: Timestamp) {
        self.clears = self.clears.saturating_add(1);
        self.cleared_at = Some(now);
        self.crashes.clear();
    }

    /// Adds what another host knows. Of two states the one that was cleared more often holds, with the
    /// crashes that are later than the clear.
    pub(super) fn merge(&mut self, now: Timestamp, received: &RequestRecord) {
        let cleared_at = (received.clears > 0).then_some(now - received.cleared_age_ms);
        let order = received.clears.cmp(&self.clears);
        match order {
            Ordering::Greater => {
                self.clears = received.clears;
                self.cleared_at = cleared_at;
                self.crashes.retain(|(_, at)| Some(*at) > cleared_at);
            }
            // The time that messages take must not move the clear.
            Ordering::Equal => self.cleared_at = self.cleared_at.min(cleared_at),
            Ordering::Less => {}
        }
        for it in &received.crashes {
            let at = now - it.age_ms;
            if order != Ordering::Less || Some(at) > self.cleared_at {
                self.add(ServerKey { address: it.address, incarnation: it.incarnation }, at);
            }
        }
    }

    pub(super) fn to_message(&self, now: Timestamp, fingerprint: Fingerprint) -> RequestRecord {
        let crash = |(server, at): &(ServerKey, Timestamp)| Crash {
            address: server.address,
            incarnation: server.incarnation,
            age_ms: now.since(*at),
        };
        RequestRecord {
            fingerprint,
            clears: self.clears,
            cleared_age_ms: self.cleared_at.map_or(Millis(0), |it| now.since(it)),
            crashes: self.crashes.iter().map(crash).collect(),
        }
    }
}
