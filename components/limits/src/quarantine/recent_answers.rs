//! Remembers recently answered requests, as an answer shows that a request doesn't crash servers.

use ids::{FastMap, Fingerprint, Millis, Timestamp};

/// Maximum number of fingerprints in each of the two generations.
const MAX_GENERATION_SIZE: usize = 8_192;

/// Age up to which an answer counts as evidence that the request does not crash servers.
const RECENT_ANSWER_AGE: Millis = Millis(1_000);

/// When fingerprints were last answered, in two generations.
///
/// When the current generation is full, it replaces the previous one, which bounds the size.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    current: FastMap<Fingerprint, Timestamp>,
    previous: FastMap<Fingerprint, Timestamp>,
}

impl RecentAnswers {
    pub(super) fn insert(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.current.insert(fingerprint, now);
        if self.current.len() >= MAX_GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Removes a fingerprint; returns whether it was answered recently.
    pub(super) fn take_recent(&mut self, now: Timestamp, fingerprint: &Fingerprint) -> bool {
        let previous = self.previous.remove(fingerprint);
        let answered = self.current.remove(fingerprint).or(previous);
        answered.is_some_and(|at| now.since(at) < RECENT_ANSWER_AGE)
    }
}
