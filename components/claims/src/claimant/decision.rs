//! What a claim can come to.

use ids::Fingerprint;
use schema::claims::StoredAnswer;

use super::vote::Outcome;

/// What a claim came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent, once.
    Granted,
    /// The request ran before; this is what is kept of its answer.
    Finished(StoredAnswer),
    /// Another send of the key is under way.
    InProgress,
    /// The key was used for another payload.
    PayloadMismatch,
    /// The request may have run and nothing more can be learnt.
    Unknown,
    /// The key is older than the retention; whether its request ran is forgotten.
    Expired,
    /// Not enough replicas could answer; the same key may be sent again later.
    Unavailable(NotGranted),
}

/// What is known of a key's request when the key could not be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotGranted {
    /// A majority of the replicas holds no record of the key: its request was not run.
    NotRun,
    /// Too few replicas answered to tell whether an earlier send of the key was run.
    Unknown,
}

/// What a caller with this payload is told.
pub(super) fn decision(outcome: Outcome, payload: Fingerprint) -> Decision {
    match outcome {
        Outcome::Granted => Decision::Granted,
        Outcome::Finished(finished) if finished.payload != payload => Decision::PayloadMismatch,
        Outcome::Finished(finished) => match finished.answer {
            StoredAnswer::Unknown => Decision::Unknown,
            answer => Decision::Finished(answer),
        },
        Outcome::Held(other) | Outcome::Lost(other) if other != payload => {
            Decision::PayloadMismatch
        }
        Outcome::Held(_) | Outcome::Split => Decision::InProgress,
        Outcome::Lost(_) | Outcome::Closed => Decision::Unknown,
        Outcome::Expired => Decision::Expired,
        Outcome::Full(true) => Decision::Unavailable(NotGranted::NotRun),
        Outcome::Full(false) | Outcome::TooLate | Outcome::Open => {
            Decision::Unavailable(NotGranted::Unknown)
        }
    }
}
