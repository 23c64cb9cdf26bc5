//! What is known of each suspect fingerprint.

use std::collections::BTreeMap;

use ids::{Fingerprint, Millis, ServerId, Timestamp};

/// How long a fingerprint stays a suspect after its last strike.
const SUSPECT_TIME: Millis = Millis(600_000);

/// How long a fingerprint stays in quarantine after its last strike.
pub(super) const QUARANTINE_TIME: Millis = Millis(3_600_000);

/// Servers that a fingerprint crashes before it is put into quarantine.
pub(super) const QUARANTINE_SERVERS: usize = 2;

/// Servers that are remembered of one fingerprint.
const MAX_SERVERS: usize = 16;

/// Whether requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintState {
    /// Without strikes.
    Clear,
    /// One run at a time.
    Suspect,
    /// None.
    Quarantined {
        /// When the quarantine ends.
        until: Timestamp,
    },
}

/// One line of the operators' list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it may run.
    pub state: FingerprintState,
    /// The servers whose connections were lost while they ran it.
    pub servers: Vec<ServerId>,
    /// When this host heard of the last strike.
    pub last_strike: Timestamp,
}

/// All suspect fingerprints.
#[derive(Debug, Clone, Default)]
pub(super) struct Records {
    by_fingerprint: BTreeMap<Fingerprint, Record>,
}

#[derive(Debug, Clone)]
struct Record {
    servers: Vec<ServerId>,
    /// Whether a run crashed that was the only one in flight.
    exclusive_crash: bool,
    last_strike: Timestamp,
}

impl Record {
    fn is_quarantined(&self) -> bool {
        self.exclusive_crash || self.servers.len() >= QUARANTINE_SERVERS
    }

    fn until(&self) -> Timestamp {
        let time = if self.is_quarantined() { QUARANTINE_TIME } else { SUSPECT_TIME };
        self.last_strike + time
    }

    fn state(&self, now: Timestamp) -> FingerprintState {
        match self.until() {
            until if until <= now => FingerprintState::Clear,
            until if self.is_quarantined() => FingerprintState::Quarantined { until },
            _ => FingerprintState::Suspect,
        }
    }
}

impl Records {
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        server: ServerId,
        exclusive: bool,
    ) {
        let record = self.by_fingerprint.entry(fingerprint).or_insert(Record {
            servers: Vec::new(),
            exclusive_crash: false,
            last_strike: now,
        });
        record.exclusive_crash |= exclusive;
        record.last_strike = now;
        if record.servers.len() < MAX_SERVERS && !record.servers.contains(&server) {
            record.servers.push(server);
        }
    }

    pub(super) fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        self.by_fingerprint.remove(fingerprint).is_some()
    }

    pub(super) fn state(&self, now: Timestamp, fingerprint: &Fingerprint) -> FingerprintState {
        self.by_fingerprint
            .get(fingerprint)
            .map_or(FingerprintState::Clear, |record| record.state(now))
    }

    pub(super) fn servers(&self, fingerprint: &Fingerprint) -> Vec<ServerId> {
        self.by_fingerprint.get(fingerprint).map_or_else(Vec::new, |record| record.servers.clone())
    }

    pub(super) fn fingerprints(&self) -> Vec<Fingerprint> {
        self.by_fingerprint.keys().copied().collect()
    }

    /// Every strike, to tell a new host.
    pub(super) fn strikes(&self) -> impl Iterator<Item = (Fingerprint, ServerId, bool)> {
        self.by_fingerprint.iter().flat_map(|(&fingerprint, record)| {
            let exclusive = record.exclusive_crash;
            record.servers.iter().map(move |server| (fingerprint, server.clone(), exclusive))
        })
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.by_fingerprint.retain(|_, record| record.until() > now);
    }

    pub(super) fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        let entry = |(&fingerprint, record): (&Fingerprint, &Record)| QuarantineEntry {
            fingerprint,
            state: record.state(now),
            servers: record.servers.clone(),
            last_strike: record.last_strike,
        };
        self.by_fingerprint.iter().map(entry).collect()
    }
}
