//! Rebuilds the state of the log from its records.

use ids::{Incarnation, LogIndex, Term};
use schema::{
    consensus::{Entry, Snapshot, Vote, VotedFor},
    storage::{Identity, Persisted, Record},
};

/// The state after all records applied so far.
pub(crate) struct LogState {
    pub(crate) promised: Incarnation,
    pub(crate) vote: Vote,
    pub(crate) entries: Vec<Entry>,
    /// Index of the snapshot that precedes the records.
    pub(crate) base: LogIndex,
}

impl LogState {
    pub(crate) fn new() -> Self {
        Self {
            promised: Incarnation(0),
            vote: Vote { term: Term(0), voted_for: VotedFor::Nobody },
            entries: Vec::new(),
            base: LogIndex(0),
        }
    }

    /// Returns the state together with the identity and the snapshot of its folder.
    pub(crate) fn persisted(&self, identity: Identity, snapshot: Snapshot) -> Persisted {
        Persisted {
            identity,
            promised: self.promised,
            vote: self.vote.clone(),
            snapshot,
            entries: self.entries.clone(),
        }
    }

    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Reset(base) => {
                *self = Self::new();
                self.base = base;
            }
            Record::Promise(disk) => self.promised = disk,
            Record::Vote(vote) => self.vote = vote,
            Record::Append(entries) => self.entries.extend(entries),
            Record::Truncate(from) => self.entries.retain(|it| it.index < from),
        }
    }

    /// Discards the entries up to a snapshot's index; returns whether the rest follow it without a
    /// gap.
    pub(crate) fn discard_through(&mut self, snapshot: LogIndex) -> bool {
        self.entries.retain(|it| it.index > snapshot);
        let mut expected = snapshot.next();
        for entry in &self.entries {
            if entry.index != expected {
                return false;
            }
            expected = expected.next();
        }
        true
    }
}
