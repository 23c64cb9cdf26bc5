//! Responses to callers.

use ids::{Millis, ServiceName};
use schema::answer::Answer;

/// Whether a backend server ran a request, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, displaydoc::Display)]
pub enum Outcome {
    /// ran
    Ran,
    /// not-run
    NotRun,
    /// unknown
    Unknown,
}

/// Response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResponse {
    /// Complete answer of a backend server.
    Answer {
        /// The answer.
        answer: Answer,
        /// Whether it is the stored answer to an earlier request with the same key.
        replayed: bool,
    },
    /// Error response of the entry host itself.
    Refusal(Refusal),
}

impl CallerResponse {
    /// Returns whether a backend server ran the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer { .. } => Outcome::Ran,
            Self::Refusal(refusal) => refusal.outcome,
        }
    }
}

/// Error response of the entry host itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the caller gets no answer of a backend server.
    pub reason: RefusalReason,
    /// Whether a backend server ran the request.
    pub outcome: Outcome,
    /// Time after which the caller should retry.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after }
    }
}

/// Why the caller gets no answer of a backend server.
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
    /// this request may have crashed a backend server, and another run of it is in flight
    SuspectRunning,
    /// the deadline has passed
    Deadline,
    /// no backend server gave a whole answer
    NoAnswer,
    /// the service was removed from the configuration
    ServiceRemoved,
}

impl RefusalReason {
    /// Returns the HTTP status code.
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
            | Self::SuspectRunning
            | Self::ServiceRemoved => 503,
            Self::Deadline => 504,
        }
    }

    /// Returns the reason's name in metrics and the error body.
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
            Self::SuspectRunning => "suspect-running",
            Self::Deadline => "deadline",
            Self::NoAnswer => "no-answer",
            Self::ServiceRemoved => "service-removed",
        }
    }
}
