//! The requests that were answered lately.

use std::collections::VecDeque;

use ids::{FastMap, Fingerprint, Millis, Timestamp};

/// Time for which an answer shows that a request does not crash servers.
const LIFETIME: Millis = Millis(10_000);

/// Age from which another answer is recorded.
const RENEWAL_AGE: Millis = Millis(1_000);

/// Maximum number of answers remembered.
const MAX_ANSWERS: usize = 1_024;

/// The requests that this gateway has got an answer to.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    answered: FastMap<Fingerprint, Timestamp>,
    /// The same in the order of their times; entries of renewed answers are outdated.
    order: VecDeque<(Fingerprint, Timestamp)>,
}

impl RecentAnswers {
    pub(crate) fn record(&mut self, now: Timestamp, request: Fingerprint) {
        let known = self.answered.get(&request);
        if known.is_some_and(|it| now.since(*it) < RENEWAL_AGE) {
            return;
        }
        self.answered.insert(request, now);
        self.order.push_back((request, now));
        while let Some((oldest, at)) = self.order.front().copied() {
            if self.order.len() <= MAX_ANSWERS && now.since(at) < LIFETIME {
                break;
            }
            self.order.pop_front();
            if self.answered.get(&oldest) == Some(&at) {
                self.answered.remove(&oldest);
            }
        }
    }

    /// Returns whether the request was answered lately.
    pub(crate) fn contains(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.answered.get(&request).is_some_and(|it| now.since(*it) < LIFETIME)
    }
}
