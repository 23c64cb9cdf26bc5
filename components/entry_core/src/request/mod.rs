//! State of a caller's request from its arrival to its response.

mod table;

use std::sync::Arc;

use ids::{AttemptNumber, Millis, ServerId, Timestamp};
use limits::retry::{RequestAttempts, RetryRequest};
use schema::{answer::Answer, config_text::Service};

use crate::event::RequestHead;

pub(crate) use table::RequestTable;

/// What a request is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Admission, in the queue of its service.
    Queued,
    /// The decision on the claim of its idempotency key.
    Claiming,
    /// The quarantine's permission to run, because it may crash its server.
    AwaitingPermit,
    /// The end of an attempt in flight.
    Running,
    /// The given time, at which the next attempt may start.
    AwaitingRetry(Timestamp),
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) server: ServerId,
    pub(crate) started_at: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) overdue_at: Timestamp,
    pub(crate) was_overdue: bool,
}

/// A request that has not been answered yet.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) service: Arc<Service>,
    pub(crate) deadline: Timestamp,
    pub(crate) phase: Phase,
    pub(crate) admitted: bool,
    pub(crate) claimed: bool,
    pub(crate) caller_gone: bool,
    /// Whether a server sent a complete answer, even one with a server error.
    pub(crate) was_answered: bool,
    pub(crate) attempts: RequestAttempts,
    /// Servers that the next attempt must not use.
    pub(crate) tried_servers: Vec<ServerId>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Ended attempts whose lost connection this request may have caused.
    pub(crate) suspected_crashes: Vec<InFlightAttempt>,
    pub(crate) next_attempt: AttemptNumber,
    pub(crate) hedge_at: Option<Timestamp>,
    /// The latest answer with a server error, for the caller if no retry succeeds.
    pub(crate) last_answer: Option<Answer>,
}

impl Request {
    pub(crate) fn new(now: Timestamp, head: RequestHead, service: Arc<Service>) -> Self {
        let time_limit = service.deadline_ms;
        let time_limit = head.time_limit.map_or(time_limit, |it| it.min(time_limit));
        Self {
            head,
            service,
            deadline: now + time_limit,
            phase: Phase::Queued,
            admitted: false,
            claimed: false,
            caller_gone: false,
            was_answered: false,
            attempts: RequestAttempts::default(),
            tried_servers: Vec::new(),
            in_flight: Vec::new(),
            suspected_crashes: Vec::new(),
            next_attempt: AttemptNumber(0),
            hedge_at: None,
            last_answer: None,
        }
    }

    /// Returns the properties that the retry policy depends on.
    pub(crate) fn retry_request(&self) -> RetryRequest {
        RetryRequest {
            idempotent: self.service.idempotent,
            patience: self.service.patience,
            deadline: self.deadline,
        }
    }

    /// Returns when the next timer of the request expires.
    pub(crate) fn wakeup(&self) -> Timestamp {
        let retry_at = match self.phase {
            Phase::AwaitingRetry(at) => Some(at),
            Phase::Queued | Phase::Claiming | Phase::AwaitingPermit | Phase::Running => None,
        };
        let attempt_timers = self
            .in_flight
            .iter()
            .map(|it| if it.was_overdue { it.deadline } else { it.deadline.min(it.overdue_at) });
        attempt_timers
            .chain(retry_at)
            .chain(self.hedge_at)
            .chain([self.deadline])
            .min()
            .unwrap_or(self.deadline)
    }

    /// Returns whether a backend server may have run the request or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.was_answered || self.attempts.may_have_run() || !self.in_flight.is_empty()
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> Millis {
        self.deadline.since(now)
    }
}
