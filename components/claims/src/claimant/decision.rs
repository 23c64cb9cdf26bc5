//! The decision on a claim, as the caller's request sees it.

use ids::Fingerprint;
use schema::claims::StoredAnswer;

use super::vote::RoundResult;

/// The decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to a backend server once.
    Granted,
    /// The request has run before; holds its answer as far as it is stored.
    Finished(StoredAnswer),
    /// Another request with this key is in progress.
    InProgress,
    /// The key was used for another payload.
    PayloadMismatch,
    /// The request may have run, and its outcome can no longer be found out.
    Unknown,
    /// The key is older than the retention, so its record may have been removed.
    Expired,
    /// The key can't be claimed at present; the caller may retry with the same key.
    Unavailable(NotGranted),
}

/// Whether the request of a key that could not be claimed is known not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotGranted {
    /// A majority of the replicas holds no record of the key, so its request has not run.
    NotRun,
    /// Too few replicas answered to tell whether an earlier request with the key has run.
    Unknown,
}

/// Converts the result of a round into the decision for a request with this payload.
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
