//! The audit trail: a bounded, hash-chained list of what operators did.

use std::collections::VecDeque;

use ids::ContentDigest;
use schema::{
    control_state::Audit,
    operator::{AuditEntry, AuditOutcome, AuditPage, AuditRecord, Origin},
};

/// Entries that are kept; older ones are dropped, but the chain goes on.
pub const MAX_AUDIT_ENTRIES: usize = 16_384;

/// The longest summary of an entry, in bytes.
pub(crate) const MAX_SUMMARY_BYTES: usize = 1000;

/// The longest name or address of an operator, in bytes.
const MAX_ORIGIN_BYTES: usize = 128;

/// The audit trail is broken at entry {0}.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct BrokenChain(pub u64);

impl std::error::Error for BrokenChain {}

/// What is to be recorded, before it has a place in the chain.
pub(crate) struct Attempt {
    pub(crate) at: ids::WallTime,
    pub(crate) origin: Origin,
    pub(crate) version: ids::ConfigVersion,
    pub(crate) digest: ContentDigest,
    pub(crate) outcome: AuditOutcome,
    pub(crate) summary: String,
}

/// The audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditTrail {
    base: ContentDigest,
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

    /// How many entries are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The hash of the newest entry.
    pub fn head(&self) -> ContentDigest {
        self.entries.back().map_or(self.base, |it| it.hash)
    }

    /// The entries from `first` on, at most `limit` of them.
    pub fn page(&self, first: u64, limit: usize) -> AuditPage {
        let oldest = self.next - self.entries.len() as u64;
        let skipped = usize::try_from(first.saturating_sub(oldest)).unwrap_or(usize::MAX);
        let skipped = skipped.min(self.entries.len());
        let base = match skipped.checked_sub(1) {
            Some(before) => self.entries[before].hash,
            None => self.base,
        };
        let entries = self.entries.iter().skip(skipped).take(limit).cloned().collect();
        AuditPage { base, entries, oldest, next: self.next, head: self.head() }
    }

    pub(crate) fn record(&mut self, attempt: Attempt) {
        let record = AuditRecord {
            sequence: self.next,
            at: attempt.at,
            origin: Origin {
                operator: shorten(attempt.origin.operator, MAX_ORIGIN_BYTES),
                address: shorten(attempt.origin.address, MAX_ORIGIN_BYTES),
            },
            version: attempt.version,
            digest: attempt.digest,
            outcome: attempt.outcome,
            summary: shorten(attempt.summary, MAX_SUMMARY_BYTES),
        };
        let hash = chain(self.head(), &record);
        self.entries.push_back(AuditEntry { record, hash });
        self.next += 1;
        if self.entries.len() > MAX_AUDIT_ENTRIES
            && let Some(dropped) = self.entries.pop_front()
        {
            self.base = dropped.hash;
        }
    }
}

/// Checks that each entry of a page follows the one before.
pub fn verify_page(page: &AuditPage) -> Result<(), BrokenChain> {
    let first = page.entries.first().map_or(page.next, |it| it.record.sequence);
    let (last, hash) = verify_entries(page, first, page.base)?;
    if last == page.next && hash != page.head {
        return Err(BrokenChain(last));
    }
    Ok(())
}

/// Checks that pages that were read one after the other hold the whole trail up to its head.
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

/// Checks the entries against the hash before them; gives the next sequence number and hash.
fn verify_entries(
    page: &AuditPage,
    first: u64,
    base: ContentDigest,
) -> Result<(u64, ContentDigest), BrokenChain> {
    let mut next = first;
    let mut before = base;
    for entry in &page.entries {
        if entry.record.sequence != next || entry.hash != chain(before, &entry.record) {
            return Err(BrokenChain(next));
        }
        before = entry.hash;
        next += 1;
    }
    Ok((next, before))
}

fn chain(before: ContentDigest, record: &AuditRecord) -> ContentDigest {
    let mut data = before.0.to_vec();
    data.extend(schema::encode(record));
    ContentDigest::of(&data)
}

/// Cuts a text at a character boundary.
fn shorten(mut text: String, max: usize) -> String {
    let mut end = text.len().min(max);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
