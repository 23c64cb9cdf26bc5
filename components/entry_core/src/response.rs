//! What callers are told.

use ids::{Millis, ServiceName};
use schema::answer::Answer;

/// What is known of a request's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, displaydoc::Display)]
pub enum Outcome {
    /// ran
    Ran,
    /// not-run
    NotRun,
    /// unknown
    Unknown,
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResponse {
    /// The whole answer of a backend server.
    Answer {
        /// The answer.
        answer: Answer,
        /// Whether it was stored for an earlier send of the same key.
        replayed: bool,
    },
    /// An answer of the entry host itself.
    Refusal(Refusal),
}

impl CallerResponse {
    /// What is known of the request's run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer { .. } => Outcome::Ran,
            Self::Refusal(refusal) => refusal.outcome,
        }
    }
}

/// An answer of the entry host itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why there is no answer of a backend server.
    pub reason: RefusalReason,
    /// What is known of the request's run.
    pub outcome: Outcome,
    /// When the caller should come back.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub fn not_run(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after }
    }
}

/// Why there is no answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum RefusalReason {
    /// this entry host holds no configuration yet
    NoConfiguration,
    /// no route leads there
    UnknownRoute,
    /// the request body is too large for the service
    BodyTooLarge,
    /// the service is not idempotent: an Idempotency-Key header is needed
    MissingKey,
    /// the Idempotency-Key header is malformed
    MalformedKey,
    /// the Idempotency-Key was used for another request
    KeyReused,
    /// a request with this Idempotency-Key is in progress
    KeyInProgress,
    /// the Idempotency-Key is too old: whether its request ran is forgotten
    KeyExpired,
    /// the request ran; its answer was too large to keep
    AnswerNotKept,
    /// whether the request ran is unknown
    OutcomeUnknown,
    /// too few claim replicas answer
    ClaimsUnavailable,
    /// the organisation's request limit is reached
    OverLimit,
    /// the service is busy
    Busy,
    /// service {0}, which this service depends on, cannot serve
    DependencyUnable(ServiceName),
    /// no backend server of the service is in rotation
    NoServer,
    /// this request has crashed backend servers
    Quarantined,
    /// the deadline has passed
    Deadline,
    /// no backend server gave a whole answer
    NoAnswer,
    /// the service was removed from the configuration
    ServiceRemoved,
}

impl RefusalReason {
    /// The HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::MissingKey | Self::MalformedKey => 400,
            Self::UnknownRoute => 404,
            Self::KeyInProgress => 409,
            Self::KeyExpired | Self::AnswerNotKept => 410,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::OverLimit => 429,
            Self::OutcomeUnknown | Self::NoAnswer => 502,
            Self::NoConfiguration
            | Self::ClaimsUnavailable
            | Self::Busy
            | Self::DependencyUnable(_)
            | Self::NoServer
            | Self::Quarantined
            | Self::ServiceRemoved => 503,
            Self::Deadline => 504,
        }
    }

    /// A short name for metrics and the error body.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::UnknownRoute => "unknown-route",
            Self::BodyTooLarge => "body-too-large",
            Self::MissingKey => "missing-key",
            Self::MalformedKey => "malformed-key",
            Self::KeyReused => "key-reused",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyExpired => "key-expired",
            Self::AnswerNotKept => "answer-not-kept",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::ClaimsUnavailable => "claims-unavailable",
            Self::OverLimit => "over-limit",
            Self::Busy => "busy",
            Self::DependencyUnable(_) => "dependency-unable",
            Self::NoServer => "no-server",
            Self::Quarantined => "quarantined",
            Self::Deadline => "deadline",
            Self::NoAnswer => "no-answer",
            Self::ServiceRemoved => "service-removed",
        }
    }
}
