//! The audit trail: a bounded, hash-chained list of the changes that operators made or attempted.

use std::collections::VecDeque;

use ids::ContentDigest;
use schema::{
    control_state::Audit,
    operator::{AuditEntry, AuditOutcome, AuditPage, AuditRecord, Origin},
};

/// Number of entries that are kept.
///
/// Older ones are dropped; the hash of the last dropped one stays as the start of the chain.
pub const MAX_AUDIT_ENTRIES: usize = 16_384;

/// Maximum length of a summary, in bytes.
pub(crate) const MAX_SUMMARY_BYTES: usize = 1000;

/// Maximum length of an operator's name and of their address, in bytes.
const MAX_ORIGIN_BYTES: usize = 128;

/// The audit trail is broken at entry {0}.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct BrokenChain(pub u64);

impl std::error::Error for BrokenChain {}

/// The contents of an audit record that has no sequence number yet.
pub(crate) struct NewRecord {
    pub(crate) at: ids::WallTime,
    pub(crate) origin: Origin,
    pub(crate) version: ids::ConfigVersion,
    pub(crate) digest: ContentDigest,
    pub(crate) outcome: AuditOutcome,
    pub(crate) summary: String,
}

/// The hash-chained audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditTrail {
    /// Hash of the entry before the oldest kept one.
    base: ContentDigest,
    /// Sequence number of the next entry.
    next: u64,
    entries: VecDeque<AuditEntry>,
}

impl Default for AuditTrail {
    fn default() -> Self {
        Self { base: ContentDigest::default(), next: 1, entries: VecDeque::new() }
    }
}

impl AuditTrail {
    pub(crate) fn restore(audit: Audit) -> Self {
        Self { base: audit.base, next: audit.next, entries: audit.entries.into() }
    }

    pub(crate) fn save(&self) -> Audit {
        let entries = self.entries.iter().cloned().collect();
        Audit { base: self.base, next: self.next, entries }
    }

    /// Returns the number of entries that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the hash of the newest entry.
    pub fn head(&self) -> ContentDigest {
        self.entries.back().map_or(self.base, |it| it.hash)
    }

    /// Returns at most `limit` entries, starting at sequence number `first`.
    pub fn page(&self, first: u64, limit: usize) -> AuditPage {
        let oldest = self.next - self.entries.len() as u64;
        let skipped = usize::try_from(first.saturating_sub(oldest)).unwrap_or(usize::MAX);
        let skipped = skipped.min(self.entries.len());
        let base = match skipped.checked_sub(1) {
            Some(previous) => self.entries[previous].hash,
            None => self.base,
        };
        let entries = self.entries.iter().skip(skipped).take(limit).cloned().collect();
        AuditPage { base, entries, oldest, next: self.next, head: self.head() }
    }

    pub(crate) fn append(&mut self, new: NewRecord) {
        let record = AuditRecord {
            sequence: self.next,
            at: new.at,
            origin: Origin {
                operator: truncate(new.origin.operator, MAX_ORIGIN_BYTES),
                address: truncate(new.origin.address, MAX_ORIGIN_BYTES),
            },
            version: new.version,
            digest: new.digest,
            outcome: new.outcome,
            summary: truncate(new.summary, MAX_SUMMARY_BYTES),
        };
        let hash = chained_hash(self.head(), &record);
        self.entries.push_back(AuditEntry { record, hash });
        self.next += 1;
        if self.entries.len() > MAX_AUDIT_ENTRIES
            && let Some(dropped) = self.entries.pop_front()
        {
            self.base = dropped.hash;
        }
    }
}

/// Verifies the hash chain of a page, and the trail's head if the page reaches it.
pub fn verify_page(page: &AuditPage) -> Result<(), BrokenChain> {
    let first = page.entries.first().map_or(page.next, |it| it.record.sequence);
    let (next, hash) = verify_entries(page, first, page.base)?;
    if next == page.next && hash != page.head {
        return Err(BrokenChain(next));
    }
    Ok(())
}

/// Verifies that consecutive pages form the complete trail, from its oldest entry to its head.
pub fn verify_trail(pages: &[AuditPage]) -> Result<(), BrokenChain> {
    let Some(newest) = pages.last() else {
        return Ok(());
    };
    let mut next = pages[0].oldest;
    let mut hash = pages[0].base;
    for page in pages {
        (next, hash) = verify_entries(page, next, hash)?;
    }
    match next == newest.next && hash == newest.head {
        true => Ok(()),
        false => Err(BrokenChain(next)),
    }
}

/// Verifies a page's entries, of which the first must have sequence number `first` and follow the
/// entry with hash `base`.
///
/// Returns the sequence number after the last entry, and the last entry's hash.
fn verify_entries(
    page: &AuditPage,
    first: u64,
    base: ContentDigest,
) -> Result<(u64, ContentDigest), BrokenChain> {
    let mut next = first;
    let mut previous = base;
    for entry in &page.entries {
        if entry.record.sequence != next || entry.hash != chained_hash(previous, &entry.record) {
            return Err(BrokenChain(next));
        }
        previous = entry.hash;
        next += 1;
    }
    Ok((next, previous))
}

/// Returns a record's hash, which also covers the hash of the previous entry.
fn chained_hash(previous: ContentDigest, record: &AuditRecord) -> ContentDigest {
    let mut data = previous.0.to_vec();
    data.extend(schema::encode(record));
    ContentDigest::of(&data)
}

/// Truncates a text to at most `max` bytes, at a character boundary.
fn truncate(mut text: String, max: usize) -> String {
    let mut end = text.len().min(max);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
