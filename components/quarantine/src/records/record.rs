//! The crashes of one request.

use std::cmp::Ordering;

use ids::{Fingerprint, Millis, ServerKey, Timestamp};
use schema::quarantine::{Crash, RequestRecord};

use super::{CRASH_THRESHOLD, Crashes};

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 8;

/// Time after the crash that puts a request into quarantine within which all gateways know of it, in
/// milliseconds; other crashes until then are of runs that had begun or were not refused yet.
const SPREAD_TIME: Millis = Millis(4_000);

/// Time for which a request in quarantine is kept after its last crash, in milliseconds: longer than
/// the time to its next trial.
const QUARANTINE_LIFETIME: Millis = Millis(90_000_000);

/// Time for which fewer crashes are kept after the last one, in milliseconds.
const CRASH_LIFETIME: Millis = Millis(600_000);

/// Time for which it is kept that a request was cleared, in milliseconds: longer than what was known
/// before takes to be told.
const CLEAR_LIFETIME: Millis = Millis(60_000);

/// Instants are counted from this long before the clock's zero, in milliseconds: crashes may be older
/// than this process.
const PAST: Millis = Millis(2 * QUARANTINE_LIFETIME.0);

/// The crashes of a request since it was last answered, with the earliest time known of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Record {
    clears: u32,
    cleared_at: Option<Timestamp>,
    /// In the order of their times.
    crashes: Vec<(Timestamp, ServerKey)>,
}

impl Record {
    /// Returns the number of starts of servers that have crashed.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    pub(super) fn clears(&self) -> u32 {
        self.clears
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASH_THRESHOLD
    }

    pub(super) fn has_crashed(&self, server: ServerKey) -> bool {
        self.crashes.iter().any(|(_, it)| *it == server)
    }

    /// Returns the crashes if they put the request into quarantine.
    pub(super) fn quarantined(&self, now: Timestamp) -> Option<Crashes> {
        let (third, _) = self.crashes.get(CRASH_THRESHOLD - 1)?;
        let is_late = |(at, _): &&(Timestamp, ServerKey)| *at > *third + SPREAD_TIME;
        let late = self.crashes.iter().filter(is_late).count();
        let (last, _) = self.crashes.last()?;
        Some(Crashes { late, last_age: (now + PAST).since(*last) })
    }

    /// Returns how long the record is still kept, at most; 0 if it has expired.
    pub(super) fn expires_in(&self, now: Timestamp) -> Millis {
        let lifetime = if self.is_quarantined() { QUARANTINE_LIFETIME } else { CRASH_LIFETIME };
        let crash = self.crashes.last().map(|(at, _)| *at + lifetime);
        let clear = self.cleared_at.map(|it| it + CLEAR_LIFETIME);
        crash.max(clear).map_or(Millis(0), |it| it.since(now + PAST))
    }

    /// Records a crash some time ago.
    pub(super) fn add(&mut self, now: Timestamp, server: ServerKey, age: Millis) {
        self.insert(server, now + PAST - age);
    }

    /// Forgets the crashes because the request was answered.
    pub(super) fn clear(&mut self, now: Timestamp) {
        self.clears = self.clears.saturating_add(1);
        self.cleared_at = Some(now + PAST);
        self.crashes.clear();
    }

    /// Adds what another host knows. Of two states the one that was cleared more often holds, with the
    /// crashes that are later than the clear.
    pub(super) fn merge(&mut self, now: Timestamp, received: &RequestRecord) {
        let at = |age: Millis| now + PAST - age;
        let cleared_at = (received.clears > 0).then_some(at(received.cleared_age_ms));
        let order = received.clears.cmp(&self.clears);
        match order {
            Ordering::Greater => {
                self.clears = received.clears;
                self.cleared_at = cleared_at;
                self.crashes.retain(|(at, _)| Some(*at) > cleared_at);
            }
            // The time that messages take must not move the clear.
            Ordering::Equal => self.cleared_at = self.cleared_at.min(cleared_at),
            Ordering::Less => {}
        }
        for it in &received.crashes {
            let at = at(it.age_ms);
            if order != Ordering::Less || Some(at) > self.cleared_at {
                self.insert(ServerKey { address: it.address, incarnation: it.incarnation }, at);
            }
        }
    }

    pub(super) fn to_message(&self, now: Timestamp, fingerprint: Fingerprint) -> RequestRecord {
        let age = |at: Timestamp| (now + PAST).since(at);
        let crash = |(at, server): &(Timestamp, ServerKey)| Crash {
            address: server.address,
            incarnation: server.incarnation,
            age_ms: age(*at),
        };
        RequestRecord {
            fingerprint,
            clears: self.clears,
            cleared_age_ms: self.cleared_at.map_or(Millis(0), age),
            crashes: self.crashes.iter().map(crash).collect(),
        }
    }

    /// Inserts a crash, or moves it to an earlier time. The first crashes, which put the request into
    /// quarantine, and the last ones are kept.
    fn insert(&mut self, server: ServerKey, at: Timestamp) {
        match self.crashes.iter_mut().find(|(_, it)| *it == server) {
            Some((known, _)) => *known = at.min(*known),
            None => self.crashes.push((at, server)),
        }
        self.crashes.sort();
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(CRASH_THRESHOLD);
        }
    }
}
