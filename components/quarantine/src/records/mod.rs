//! What a host knows of requests that have crashed servers.

mod record;

use ids::{FastMap, Fingerprint, Millis, ServerKey, Timestamp};
use schema::quarantine::RequestRecord;

use record::Record;

/// Number of crashes without an answer from which a request is in quarantine.
pub const CRASH_THRESHOLD: usize = 3;

/// Maximum number of requests with a record; those with the fewest crashes are dropped first.
const MAX_RECORDS: usize = 1_024;

/// Minimum time between two removals of expired records, in milliseconds.
const PRUNE_INTERVAL: Millis = Millis(1_000);

/// How what is known of a request has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Not at all.
    None,
    /// It has crashed servers, too few or too many already to change how it is treated.
    Crashed,
    /// It is in quarantine from now on.
    Quarantined,
    /// It was answered, and its crashes are forgotten.
    Cleared,
}

/// The crashes of a request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crashes {
    /// Number of crashes that are later than all gateways knew of the quarantine.
    pub late: usize,
    /// Time since the last crash.
    pub last_age: Millis,
}

/// The records of all requests that have crashed servers.
#[derive(Debug, Clone, Default)]
pub struct Records {
    records: FastMap<Fingerprint, Record>,
    pruned_at: Timestamp,
    /// When a record in quarantine last changed.
    changed_at: Timestamp,
}

impl Records {
    /// Records that the start of a server has crashed while it ran a request.
    pub fn add_crash(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        server: ServerKey,
        at: Timestamp,
    ) -> Change {
        self.change(now, request, |it| it.add(now, server, now.since(at)))
    }

    /// Forgets the crashes of a request that was answered.
    pub fn clear(&mut self, now: Timestamp, request: Fingerprint) -> Change {
        if self.crashes(request) == 0 {
            return Change::None;
        }
        self.change(now, request, |it| it.clear(now))
    }

    /// Adds what another host knows of a request.
    pub fn merge(&mut self, now: Timestamp, received: &RequestRecord) -> Change {
        self.change(now, received.fingerprint, |it| it.merge(now, received))
    }

    /// Returns the number of requests with a record, also of those that were cleared.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of starts of servers that the request has crashed since it was answered.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.records.get(&request).map_or(0, Record::len)
    }

    /// Returns whether the request has crashed this start of a server.
    pub fn has_crashed(&self, request: Fingerprint, server: ServerKey) -> bool {
        self.records.get(&request).is_some_and(|it| it.has_crashed(server))
    }

    /// Returns the crashes of a request, if it is in quarantine.
    pub fn quarantined(&self, now: Timestamp, request: Fingerprint) -> Option<Crashes> {
        let record = self.records.get(&request)?;
        record.quarantined(now).filter(|_| record.expires_in(now) > Millis(0))
    }

    /// Returns the records of these requests that were cleared more often than the sender knows.
    pub fn newer_than(&self, now: Timestamp, received: &[RequestRecord]) -> Vec<RequestRecord> {
        let known = received.iter().filter_map(|it| {
            let known = self.records.get(&it.fingerprint)?;
            (known.clears() > it.clears).then(|| known.to_message(now, it.fingerprint))
        });
        known.collect()
    }

    /// Returns what is known of a request.
    pub fn message(&self, now: Timestamp, request: Fingerprint) -> Option<RequestRecord> {
        Some(self.records.get(&request)?.to_message(now, request))
    }

    /// Returns all records, those in quarantine first.
    pub fn messages(&self, now: Timestamp) -> Vec<RequestRecord> {
        let mut all: Vec<_> =
            self.records.iter().filter(|(_, it)| it.expires_in(now) > Millis(0)).collect();
        all.sort_by_key(|(request, it)| (!it.is_quarantined(), **request));
        all.into_iter().map(|(request, it)| it.to_message(now, *request)).collect()
    }

    /// Returns the requests in quarantine, in a fixed order.
    pub fn all_quarantined(&self, now: Timestamp) -> Vec<Fingerprint> {
        let is_quarantined = |it: &Record| it.is_quarantined() && it.expires_in(now) > Millis(0);
        let all = self.records.iter().filter(|(_, it)| is_quarantined(it));
        let mut requests: Vec<_> = all.map(|(request, _)| *request).collect();
        requests.sort();
        requests
    }

    /// Returns when a record in quarantine last changed.
    pub fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Removes expired records.
    pub fn prune(&mut self, now: Timestamp) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.records.retain(|_, it| it.expires_in(now) > Millis(0));
        }
    }

    fn change(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        change: impl FnOnce(&mut Record),
    ) -> Change {
        self.prune(now);
        let before = self.records.get(&request).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        let result = match (before.is_quarantined(), after.is_quarantined()) {
            (false, true) => Change::Quarantined,
            _ if after.len() < before.len() => Change::Cleared,
            _ if after.len() > before.len() => Change::Crashed,
            _ => Change::None,
        };
        if result != Change::None && (before.is_quarantined() || after.is_quarantined()) {
            self.changed_at = now;
        }
        if after != Record::default() {
            self.records.insert(request, after);
        }
        if self.records.len() > MAX_RECORDS {
            self.remove_least(now);
        }
        result
    }

    /// Removes the record with the fewest crashes, of several the oldest.
    fn remove_least(&mut self, now: Timestamp) {
        let rank = |it: &Record| (it.is_quarantined(), it.len(), it.expires_in(now));
        let least = self.records.iter().min_by_key(|(_, it)| rank(it)).map(|(it, _)| *it);
        if let Some(least) = least {
            self.records.remove(&least);
        }
    }
}
