//! What a claim can come to.

use ids::Fingerprint;
use schema::claims::StoredAnswer;

use super::vote::RoundResult;

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
pub(super) fn decision(result: RoundResult, payload: Fingerprint) -> Decision {
    match result {
        RoundResult::Granted => Decision::Granted,
        RoundResult::Finished(finished) if finished.payload != payload => Decision::PayloadMismatch,
        RoundResult::Finished(finished) => match finished.answer {
            StoredAnswer::Unknown => Decision::Unknown,
            answer => Decision::Finished(answer),
        },
        RoundResult::Held(other) | RoundResult::Lost(other) if other != payload => {
            Decision::PayloadMismatch
        }
        RoundResult::Held(_) | RoundResult::Split => Decision::InProgress,
        RoundResult::Lost(_) | RoundResult::Closed => Decision::Unknown,
        RoundResult::Expired => Decision::Expired,
        RoundResult::Full(true) => Decision::Unavailable(NotGranted::NotRun),
        RoundResult::Full(false) | RoundResult::TooLate | RoundResult::Pending => {
            Decision::Unavailable(NotGranted::Unknown)
        }
    }
}
