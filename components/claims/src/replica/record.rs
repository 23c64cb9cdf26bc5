//! The claim records of one shard in one epoch.

use std::{collections::BTreeMap, ops::Bound};

use ids::{HostId, Incarnation, KeyDigest, Millis, WallTime};
use schema::claims::{ClaimRecord, ClaimState, CopyCursor, KeyAge, StoredAnswer};

use crate::answer::kept_bytes;

/// Maximum number of records in a page.
const PAGE_RECORDS: usize = 512;

/// Total size of answers, in bytes, at which a page takes no more records.
const PAGE_ANSWER_BYTES: usize = 256 * 1024;

/// A run of records that fits into one message.
#[derive(Debug)]
pub(super) struct Page {
    pub(super) records: Vec<ClaimRecord>,
    /// Whether there are no further records.
    pub(super) last: bool,
}

/// The claim records by key, with the total size of their answers.
#[derive(Debug, Clone, Default)]
pub(super) struct Records {
    by_key: BTreeMap<KeyDigest, ClaimRecord>,
    answer_bytes: usize,
}

impl Records {
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the total size of the stored answers in bytes.
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

    /// Merges a record of another replica; of two records, keeps the more advanced one.
    ///
    /// If two claimants hold the key at different replicas, either of them may have a majority.
    /// The record becomes contested, so this replica grants the key to neither.
    pub(super) fn merge(&mut self, record: ClaimRecord) {
        let Some(known) = self.by_key.get_mut(&record.key) else {
            self.insert(record);
            return;
        };
        let has_other_claimant = known.claimant != record.claimant;
        if has_other_claimant && !is_finished(known) && !is_finished(&record) {
            known.state = ClaimState::Contested;
            return;
        }
        if (state_rank(&known.state), known.round) < (state_rank(&record.state), record.round) {
            self.insert(record);
        }
    }

    /// Removes the expired records.
    pub(super) fn remove_expired(&mut self, expiry_cutoff: WallTime) {
        let expired = self.by_key.values().filter(|it| is_expired(it, expiry_cutoff));
        let keys: Vec<_> = expired.map(|it| it.key).collect();
        keys.into_iter().for_each(|it| self.remove(it));
    }

    /// Marks the claims of incarnations of `host` up to `newest` as lost.
    pub(super) fn mark_host_lost(&mut self, host: HostId, newest: Incarnation) {
        let of_host =
            |it: &ClaimRecord| it.claimant.host == host && it.claimant.incarnation <= newest;
        self.mark_lost(of_host);
    }

    /// Marks the claims that have been held for longer than `limit` as lost.
    pub(super) fn mark_overdue_lost(&mut self, wall: WallTime, limit: Millis) {
        self.mark_lost(|it| wall.since(it.since) > limit);
    }

    /// Marks the held claims that match `is_lost` as lost.
    fn mark_lost(&mut self, is_lost: impl Fn(&ClaimRecord) -> bool) {
        for record in self.by_key.values_mut() {
            if record.state == ClaimState::Held && is_lost(record) {
                record.state = ClaimState::Lost;
            }
        }
    }

    /// Returns the records after `cursor`, as many as fit into one message.
    pub(super) fn page(&self, cursor: &CopyCursor) -> Page {
        let start = match cursor {
            CopyCursor::Start => Bound::Unbounded,
            CopyCursor::After(key) => Bound::Excluded(*key),
        };
        let mut page = Page { records: Vec::new(), last: true };
        let mut bytes = 0;
        for record in self.by_key.range((start, Bound::Unbounded)).map(|(_, it)| it) {
            if page.records.len() >= PAGE_RECORDS || bytes >= PAGE_ANSWER_BYTES {
                page.last = false;
                break;
            }
            bytes += answer_bytes(record);
            page.records.push(record.clone());
        }
        page
    }
}

impl Page {
    /// Returns the cursor after a page that was read at `cursor`.
    pub(super) fn next_cursor(records: &[ClaimRecord], cursor: CopyCursor) -> CopyCursor {
        records.last().map_or(cursor, |it| CopyCursor::After(it.key))
    }
}

/// Returns whether the outcome of the record's request is stored.
pub(super) fn is_finished(record: &ClaimRecord) -> bool {
    matches!(record.state, ClaimState::Finished(_))
}

/// Returns whether a key's ticket is so old that its claims are refused, as its record may be
/// removed.
pub(super) fn is_ticket_expired(age: &KeyAge, expiry_cutoff: WallTime) -> bool {
    matches!(age, KeyAge::Ticket(ticket) if ticket.minted <= expiry_cutoff)
}

/// Returns whether a record is so old that it may be removed.
fn is_expired(record: &ClaimRecord, expiry_cutoff: WallTime) -> bool {
    match &record.age {
        KeyAge::Ticket(ticket) => ticket.minted <= expiry_cutoff,
        KeyAge::Unknown => record.since <= expiry_cutoff,
    }
}

fn answer_bytes(record: &ClaimRecord) -> usize {
    match &record.state {
        ClaimState::Finished(answer) => kept_bytes(answer),
        ClaimState::Held | ClaimState::Lost | ClaimState::Contested => 0,
    }
}

/// Returns how far a claim has advanced, to choose between two records of it.
fn state_rank(state: &ClaimState) -> u8 {
    match state {
        ClaimState::Held => 0,
        ClaimState::Lost => 1,
        ClaimState::Contested => 2,
        ClaimState::Finished(StoredAnswer::Unknown) => 3,
        ClaimState::Finished(StoredAnswer::NotKept) => 4,
        ClaimState::Finished(StoredAnswer::Kept(_)) => 5,
    }
}
