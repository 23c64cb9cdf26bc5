//! Requests that wait until the log has accepted their entry.

use std::collections::BTreeMap;

use ids::{DataCentreName, LogIndex, Millis, RequestId, Term, Timestamp};

/// How long a request waits for its entry, in milliseconds.
///
/// Callers turn to another control host after a second without an answer; an answer just before
/// that tells them why.
pub(crate) const ANSWER_WITHIN: Millis = Millis(900);

/// What is answered once the entry of a request is accepted.
#[derive(Debug, Clone)]
pub(crate) enum WhenAccepted {
    /// That it is done.
    Done,
    /// The newest configuration.
    Config,
    /// That an announcement from this data centre was taken.
    Taken(DataCentreName),
}

/// A request whose entry is in the log but not accepted yet.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) when_accepted: WhenAccepted,
    term: Term,
    give_up_at: Timestamp,
}

/// The requests that wait, by the entry that they wait for.
#[derive(Debug, Default)]
pub(crate) struct LogRequests {
    by_index: BTreeMap<LogIndex, Vec<Waiting>>,
}

impl LogRequests {
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        index: LogIndex,
        term: Term,
        id: RequestId,
        when_accepted: WhenAccepted,
    ) {
        let waiting = Waiting { id, when_accepted, term, give_up_at: now + ANSWER_WITHIN };
        self.by_index.entry(index).or_default().push(waiting);
    }

    /// The requests whose entry was accepted in the term that wrote it.
    pub(crate) fn take_accepted(&mut self, index: LogIndex, term: Term) -> Vec<Waiting> {
        let mut waiting = self.by_index.remove(&index).unwrap_or_default();
        waiting.retain(|it| it.term == term);
        waiting
    }

    /// The requests that have waited too long.
    pub(crate) fn take_late(&mut self, now: Timestamp) -> Vec<Waiting> {
        self.take_if(|it| now >= it.give_up_at)
    }

    /// All requests written in another term.
    pub(crate) fn take_of_other_terms(&mut self, term: Term) -> Vec<Waiting> {
        self.take_if(|it| it.term != term)
    }

    fn take_if(&mut self, is_taken: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for waiting in self.by_index.values_mut() {
            taken.extend(waiting.extract_if(.., |it| is_taken(it)));
        }
        self.by_index.retain(|_, waiting| !waiting.is_empty());
        taken
    }
}
