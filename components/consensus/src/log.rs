//! The log in memory.

use ids::{LogIndex, Term};
use schema::consensus::{Entry, Members, Payload, Snapshot};

use crate::settings::MAX_APPEND_BYTES;

/// A snapshot and the entries after it.
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// The members by the newest membership entry, or by the snapshot.
    members: Members,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let entries = entries.into_iter().filter(|it| it.index > snapshot.index).collect();
        let members = snapshot.members.clone();
        let mut log = Self { snapshot, entries, members };
        log.members = log.members_at(log.last_index());
        log
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the members by the newest membership entry, committed or not.
    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.last_index() == LogIndex(0)
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |it| it.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |it| it.term)
    }

    /// Returns the term of an entry; `None` if the entry was compacted or is not in the log yet.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|it| it.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns the entries from `first` on that fit into one message; at least one if any exist.
    pub(crate) fn batch_from(&self, first: LogIndex) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            bytes += payload_bytes(&entry.payload);
            if bytes > MAX_APPEND_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    pub(crate) fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            assert_eq!(entry.index, self.last_index().next(), "entries must be contiguous");
            if let Payload::Members(members) = &entry.payload {
                self.members = members.clone();
            }
            self.entries.push(entry.clone());
        }
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        self.entries.retain(|it| it.index < from);
        self.members = self.members_at(self.last_index());
    }

    /// Creates a snapshot that replaces the log up to and including `index`.
    pub(crate) fn make_snapshot(&self, index: LogIndex, data: ids::Blob) -> Option<Snapshot> {
        let term = self.term_at(index)?;
        Some(Snapshot { index, term, members: self.members_at(index), data })
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.entries.retain(|it| it.index > snapshot.index);
        self.snapshot = snapshot;
        self.members = self.members_at(self.last_index());
    }

    /// Returns the index of the newest membership entry, or of the snapshot if there is none.
    pub(crate) fn members_index(&self) -> LogIndex {
        let is_members = |it: &&Entry| matches!(it.payload, Payload::Members(_));
        self.entries.iter().rev().find(is_members).map_or(self.snapshot.index, |it| it.index)
    }

    /// Returns the members as of an index.
    pub(crate) fn members_at(&self, index: LogIndex) -> Members {
        let newest = self.entries.iter().rev().filter(|it| it.index <= index).find_map(|it| {
            match &it.payload {
                Payload::Members(members) => Some(members.clone()),
                Payload::Noop | Payload::Data(_) => None,
            }
        });
        newest.unwrap_or_else(|| self.snapshot.members.clone())
    }
}

fn payload_bytes(payload: &Payload) -> usize {
    match payload {
        Payload::Data(data) => data.as_slice().len(),
        Payload::Noop | Payload::Members(_) => 0,
    }
}
