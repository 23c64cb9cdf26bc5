//! A caller's request while it is in work.

mod table;

use std::sync::Arc;

use ids::{AttemptNumber, Millis, ServerId, Timestamp};
use limits::retry::{RequestAttempts, RetryRequest};
use schema::{answer::Answer, config_text::Service};

use crate::event::RequestHead;

pub(crate) use table::RequestTable;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its place in the queue of its service.
    Queued,
    /// The decision about its claim.
    Claiming,
    /// Leave to run although it may crash its server.
    AskingLeave,
    /// The end of an attempt.
    Running,
    /// The time of the next attempt.
    Waiting(Timestamp),
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct LiveAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) server: ServerId,
    pub(crate) started: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) overdue_at: Timestamp,
    pub(crate) was_overdue: bool,
}

/// A request in work.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) service: Arc<Service>,
    pub(crate) deadline: Timestamp,
    pub(crate) phase: Phase,
    pub(crate) admitted: bool,
    pub(crate) claimed: bool,
    pub(crate) caller_gone: bool,
    pub(crate) was_answered: bool,
    pub(crate) tries: RequestAttempts,
    pub(crate) tried: Vec<ServerId>,
    pub(crate) live: Vec<LiveAttempt>,
    /// Attempts that lost their connection, for which the request may be to blame.
    pub(crate) excused: Vec<LiveAttempt>,
    pub(crate) next_attempt: AttemptNumber,
    pub(crate) hedge_at: Option<Timestamp>,
    pub(crate) last_answer: Option<Answer>,
}

impl Request {
    pub(crate) fn new(now: Timestamp, head: RequestHead, service: Arc<Service>) -> Self {
        let limit = service.deadline_ms;
        let limit = head.time_limit.map_or(limit, |it| it.min(limit));
        Self {
            head,
            service,
            deadline: now + limit,
            phase: Phase::Queued,
            admitted: false,
            claimed: false,
            caller_gone: false,
            was_answered: false,
            tries: RequestAttempts::default(),
            tried: Vec::new(),
            live: Vec::new(),
            excused: Vec::new(),
            next_attempt: AttemptNumber(0),
            hedge_at: None,
            last_answer: None,
        }
    }

    /// What the retry rules need to know.
    pub(crate) fn retry_request(&self) -> RetryRequest {
        RetryRequest {
            idempotent: self.service.idempotent,
            patience: self.service.patience,
            deadline: self.deadline,
        }
    }

    /// When something is due without any event.
    pub(crate) fn wakeup(&self) -> Timestamp {
        let waiting = match self.phase {
            Phase::Waiting(until) => Some(until),
            Phase::Queued | Phase::Claiming | Phase::AskingLeave | Phase::Running => None,
        };
        let attempts = self
            .live
            .iter()
            .map(|it| if it.was_overdue { it.deadline } else { it.deadline.min(it.overdue_at) });
        attempts
            .chain(waiting)
            .chain(self.hedge_at)
            .chain([self.deadline])
            .min()
            .unwrap_or(self.deadline)
    }

    /// Whether a backend server may have run the request, or may yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.was_answered || self.tries.may_have_run() || !self.live.is_empty()
    }

    /// The time that is left before the deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> Millis {
        self.deadline.since(now)
    }
}
