//! The records of one shard in one epoch.

use std::collections::BTreeMap;

use ids::{HostId, Incarnation, KeyDigest, Millis, WallTime};
use schema::claims::{ClaimRecord, ClaimState, KeyAge, StoredAnswer};

/// What a replica remembers, by key.
#[derive(Debug, Clone, Default)]
pub(super) struct Records {
    by_key: BTreeMap<KeyDigest, ClaimRecord>,
    answer_bytes: usize,
}

impl Records {
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// The bytes of the answers that are kept.
    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    pub(super) fn get(&self, key: KeyDigest) -> Option<&ClaimRecord> {
        self.by_key.get(&key)
    }

    pub(super) fn insert(&mut self, record: ClaimRecord) {
        self.answer_bytes += answer_bytes(&record);
        if let Some(old) = self.by_key.insert(record.key, record) {
            self.answer_bytes -= answer_bytes(&old);
        }
    }

    pub(super) fn remove(&mut self, key: KeyDigest) {
        if let Some(old) = self.by_key.remove(&key) {
            self.answer_bytes -= answer_bytes(&old);
        }
    }

    /// Drops the records that no claim can ask for any more.
    pub(super) fn forget(&mut self, forgotten: WallTime) {
        let old = self.by_key.values().filter(|it| is_forgotten(it, forgotten));
        let keys: Vec<_> = old.map(|it| it.key).collect();
        keys.into_iter().for_each(|it| self.remove(it));
    }

    /// Marks the claims of ended processes as lost.
    pub(super) fn lose_host(&mut self, host: HostId, newest: Incarnation) {
        let of_host =
            |it: &ClaimRecord| it.claimant.host == host && it.claimant.incarnation <= newest;
        self.lose(of_host);
    }

    /// Marks the claims that have been held for longer than `limit` as lost.
    pub(super) fn lose_overdue(&mut self, wall: WallTime, limit: Millis) {
        self.lose(|it| wall.since(it.since) > limit);
    }

    fn lose(&mut self, is_lost: impl Fn(&ClaimRecord) -> bool) {
        for record in self.by_key.values_mut() {
            if record.state == ClaimState::Held && is_lost(record) {
                record.state = ClaimState::Lost;
            }
        }
    }
}

/// Whether a key is so old that its record may be dropped and its claims are refused.
pub(super) fn is_too_old(age: &KeyAge, forgotten: WallTime) -> bool {
    matches!(age, KeyAge::Ticket(ticket) if ticket.minted <= forgotten)
}

fn is_forgotten(record: &ClaimRecord, forgotten: WallTime) -> bool {
    match &record.age {
        KeyAge::Ticket(ticket) => ticket.minted <= forgotten,
        KeyAge::Unknown => record.since <= forgotten,
    }
}

fn answer_bytes(record: &ClaimRecord) -> usize {
    match &record.state {
        ClaimState::Finished(StoredAnswer::Kept(answer)) => answer.as_slice().len(),
        _ => 0,
    }
}
