//! The strikes that are recorded against each suspect fingerprint.

use std::collections::BTreeMap;

use ids::{Fingerprint, Millis, ServerId, Timestamp};

/// Time for which a fingerprint stays a suspect after its last strike.
const SUSPECT_DURATION: Millis = Millis(600_000);

/// Time for which a fingerprint stays in quarantine after its last strike.
pub(super) const QUARANTINE_DURATION: Millis = Millis(3_600_000);

/// Number of crashed servers at which a fingerprint is put into quarantine.
pub(super) const QUARANTINE_THRESHOLD: usize = 2;

/// Maximum number of servers that are recorded for a fingerprint.
const MAX_RECORDED_SERVERS: usize = 16;

/// The state of a fingerprint, which decides whether its requests may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintState {
    /// No strikes: requests run without a lease.
    Clear,
    /// Some strikes: requests run one at a time, each with a lease.
    Suspect,
    /// Requests must not run.
    Quarantined {
        /// When the quarantine ends.
        until: Timestamp,
    },
}

/// A suspect or quarantined fingerprint, as it is listed to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// State of the fingerprint.
    pub state: FingerprintState,
    /// Servers whose connections were lost while they ran the request.
    pub servers: Vec<ServerId>,
    /// When this host learnt of the last strike.
    pub last_strike: Timestamp,
}

/// The records of all suspect and quarantined fingerprints.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectRecords {
    by_fingerprint: BTreeMap<Fingerprint, SuspectRecord>,
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    servers: Vec<ServerId>,
    /// Whether a run crashed while it was the only one in flight.
    exclusive_crash: bool,
    last_strike: Timestamp,
}

impl SuspectRecord {
    fn is_quarantined(&self) -> bool {
        self.exclusive_crash || self.servers.len() >= QUARANTINE_THRESHOLD
    }

    fn expires_at(&self) -> Timestamp {
        let duration = if self.is_quarantined() { QUARANTINE_DURATION } else { SUSPECT_DURATION };
        self.last_strike + duration
    }

    fn state(&self, now: Timestamp) -> FingerprintState {
        match self.expires_at() {
            until if until <= now => FingerprintState::Clear,
            until if self.is_quarantined() => FingerprintState::Quarantined { until },
            _ => FingerprintState::Suspect,
        }
    }
}

impl SuspectRecords {
    /// Records a strike; `exclusive` if the crashed run was the only one in flight.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        server: ServerId,
        exclusive: bool,
    ) {
        let record = self.by_fingerprint.entry(fingerprint).or_insert(SuspectRecord {
            servers: Vec::new(),
            exclusive_crash: false,
            last_strike: now,
        });
        record.exclusive_crash |= exclusive;
        record.last_strike = now;
        if record.servers.len() < MAX_RECORDED_SERVERS && !record.servers.contains(&server) {
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

    /// Returns every strike as fingerprint, server and whether the crash was exclusive.
    pub(super) fn strikes(&self) -> impl Iterator<Item = (Fingerprint, ServerId, bool)> {
        self.by_fingerprint.iter().flat_map(|(&fingerprint, record)| {
            let exclusive = record.exclusive_crash;
            record.servers.iter().map(move |server| (fingerprint, server.clone(), exclusive))
        })
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.by_fingerprint.retain(|_, record| record.expires_at() > now);
    }

    pub(super) fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        let entry = |(&fingerprint, record): (&Fingerprint, &SuspectRecord)| QuarantineEntry {
            fingerprint,
            state: record.state(now),
            servers: record.servers.clone(),
            last_strike: record.last_strike,
        };
        self.by_fingerprint.iter().map(entry).collect()
    }
}
