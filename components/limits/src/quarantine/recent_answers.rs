//! Remembers requests that were just answered, which shows that they don't crash servers.

use ids::{FastMap, Fingerprint, Millis, Timestamp};

/// Fingerprints in each of the two generations.
const GENERATION_SIZE: usize = 8_192;

/// How long an answer speaks for a request.
const ANSWER_COUNTS_FOR: Millis = Millis(1_000);

/// When fingerprints were last answered; the older generation is dropped as a whole.
#[derive(Debug, Clone, Default)]
pub(super) struct AnsweredSet {
    current: FastMap<Fingerprint, Timestamp>,
    previous: FastMap<Fingerprint, Timestamp>,
}

impl AnsweredSet {
    pub(super) fn insert(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.current.insert(fingerprint, now);
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Forgets a fingerprint; says whether it was answered a short time ago.
    pub(super) fn take_recent(&mut self, now: Timestamp, fingerprint: &Fingerprint) -> bool {
        let previous = self.previous.remove(fingerprint);
        let answered = self.current.remove(fingerprint).or(previous);
        answered.is_some_and(|at| now.since(at) < ANSWER_COUNTS_FOR)
    }
}
