//! The rules of retries.
//!
//! Attempts that may have run the request are repeated for idempotent services only, and cost
//! the retry budget. Attempts that did not run it (refused connections, proven sheds) are
//! repeated for every service without cost, but few of them a request; then prompt requests wait a
//! few times and patient ones until their deadline. A request without a further attempt gets its final answer at once.

use ids::{Millis, Timestamp};
use schema::config_text::Patience;

use super::RetryBudget;

/// Runs of one prompt request, the first included; also those of a patient one before it waits.
const MAX_RUNS: u32 = 3;

/// Attempts in a row that did not run the request before it waits or is given up.
const MAX_UNRUN_ATTEMPTS: u32 = 4;

/// First wait of a patient request.
const MIN_BACKOFF: Millis = Millis(100);

/// First wait of a prompt request whose servers are all busy.
const MIN_PROMPT_BACKOFF: Millis = Millis(50);

/// Waits of a prompt request before it is given up.
const MAX_PROMPT_WAITS: u32 = 3;

/// Longest wait of a patient request between attempts.
const MAX_BACKOFF: Millis = Millis(5_000);

/// Least time in which an attempt can succeed.
const MIN_ATTEMPT: Millis = Millis(5);

/// When a caller comes back that was given up on for lack of servers or slots.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// When a caller comes back after the retry budget was spent.
const OUTAGE_RETRY_AFTER: Millis = Millis(5_000);

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent: the connection was refused or no server was left.
    NotSent,
    /// The server was busy.
    Shed {
        /// Whether its answer proves that the request did not run.
        proves_not_run: bool,
        /// When the server wants the request to come back.
        retry_after: Option<Millis>,
    },
    /// The attempt ended with an error or a lost connection.
    Failed,
    /// The attempt took too long.
    TimedOut,
    /// The answer was cut short, too long or malformed.
    Truncated,
}

/// What doesn't change during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it waits for a free server.
    pub patience: Patience,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestAttempts {
    /// Attempts that failed after the request was sent; sheds don't count.
    runs: u32,
    /// Attempts since the last wait or run that did not run it.
    unrun: u32,
    /// Waits so far.
    waits: u32,
    /// Whether an attempt may have run the request.
    may_have_run: bool,
    /// Whether the next attempt takes a token of the retry budget.
    owes_token: bool,
}

/// What the caller is told of a request that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum GiveUpReason {
    /// the request may have run and is not idempotent
    NotIdempotent,
    /// the request was run too often without an answer
    TooManyRuns,
    /// the service's retry budget is spent
    BudgetSpent,
    /// all servers that were tried are busy or unreachable
    Busy,
    /// too little time is left before the deadline
    Deadline,
}

/// What happens to a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another server now.
    RetryNow,
    /// Wait in the queue, then try any server.
    RetryAt(Timestamp),
    /// Answer the caller now.
    GiveUp {
        /// What is known of the request.
        outcome: FinalOutcome,
        /// Why no further attempt is made.
        reason: GiveUpReason,
        /// When the caller should come back.
        retry_after: Millis,
    },
}

/// The retry rules of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides what follows a failed attempt; `servers_left` says whether an untried server is
    /// in rotation.
    pub fn decide(
        self,
        now: Timestamp,
        request: RetryRequest,
        tries: &mut RequestAttempts,
        failure: AttemptFailure,
        servers_left: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        tries.note(failure);
        if now + MIN_ATTEMPT >= request.deadline {
            return tries.give_up(GiveUpReason::Deadline);
        }
        if tries.may_have_run && !request.idempotent {
            return tries.give_up(GiveUpReason::NotIdempotent);
        }
        if counts_as_run(failure) {
            return tries.after_run(now, request, servers_left, budget);
        }
        tries.after_no_run(now, request, failure, servers_left)
    }

    /// Decides what follows when the wait of a [`RetryDecision::RetryAt`] is over.
    pub fn resume(
        self,
        now: Timestamp,
        request: RetryRequest,
        tries: &mut RequestAttempts,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if now + MIN_ATTEMPT >= request.deadline {
            return tries.give_up(GiveUpReason::Deadline);
        }
        if tries.owes_token && !budget.try_withdraw(now) {
            return tries.wait(now, request, None);
        }
        tries.owes_token = false;
        RetryDecision::RetryNow
    }

    /// The deadline of one attempt: all that is left, or half of it when a retry could follow.
    pub fn attempt_deadline(
        self,
        now: Timestamp,
        request: RetryRequest,
        tries: &RequestAttempts,
    ) -> Timestamp {
        let left = request.deadline.since(now);
        if !request.idempotent || tries.runs + 1 >= MAX_RUNS || left < Millis(2 * MIN_ATTEMPT.0) {
            return request.deadline;
        }
        now + Millis(left.0 / 2)
    }
}

fn counts_as_run(failure: AttemptFailure) -> bool {
    match failure {
        AttemptFailure::NotSent | AttemptFailure::Shed { .. } => false,
        AttemptFailure::Failed | AttemptFailure::TimedOut | AttemptFailure::Truncated => true,
    }
}

fn may_have_run(failure: AttemptFailure) -> bool {
    match failure {
        AttemptFailure::NotSent => false,
        AttemptFailure::Shed { proves_not_run, .. } => !proves_not_run,
        AttemptFailure::Failed | AttemptFailure::TimedOut | AttemptFailure::Truncated => true,
    }
}

impl RequestAttempts {
    /// Whether an attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notes a failed attempt while another one of the request is still in flight.
    pub fn record_concurrent_failure(&mut self, failure: AttemptFailure) {
        self.note(failure);
    }

    fn note(&mut self, failure: AttemptFailure) {
        self.may_have_run |= may_have_run(failure);
        if counts_as_run(failure) {
            self.runs += 1;
            self.unrun = 0;
        } else {
            self.unrun += 1;
        }
    }

    fn after_run(
        &mut self,
        now: Timestamp,
        request: RetryRequest,
        servers_left: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        let patient = request.patience == Patience::Patient;
        let spent = if self.runs >= MAX_RUNS {
            Some(GiveUpReason::TooManyRuns)
        } else if !servers_left {
            Some(GiveUpReason::Busy)
        } else if !budget.try_withdraw(now) {
            Some(GiveUpReason::BudgetSpent)
        } else {
            None
        };
        match spent {
            None => RetryDecision::RetryNow,
            Some(_) if patient => {
                self.owes_token = true;
                self.wait(now, request, None)
            }
            Some(reason) => self.give_up(reason),
        }
    }

    fn after_no_run(
        &mut self,
        now: Timestamp,
        request: RetryRequest,
        failure: AttemptFailure,
        servers_left: bool,
    ) -> RetryDecision {
        if servers_left && self.unrun < MAX_UNRUN_ATTEMPTS {
            return RetryDecision::RetryNow;
        }
        let (was_shed, wanted) = match failure {
            AttemptFailure::Shed { retry_after, .. } => (true, retry_after),
            _ => (false, None),
        };
        let may_wait = match request.patience {
            Patience::Prompt => was_shed && self.waits < MAX_PROMPT_WAITS,
            Patience::Patient => true,
        };
        if !may_wait {
            return self.give_up(GiveUpReason::Busy);
        }
        self.wait(now, request, wanted)
    }

    fn wait(
        &mut self,
        now: Timestamp,
        request: RetryRequest,
        wanted: Option<Millis>,
    ) -> RetryDecision {
        let backoff = match request.patience {
            Patience::Prompt => Millis(MIN_PROMPT_BACKOFF.0 << self.waits.min(10)),
            Patience::Patient => {
                Millis(MIN_BACKOFF.0 << self.waits.min(10)).max(wanted.unwrap_or_default())
            }
        };
        let backoff = backoff.min(MAX_BACKOFF);
        let at = now + backoff;
        if at + MIN_ATTEMPT >= request.deadline {
            return self.give_up(GiveUpReason::Deadline);
        }
        self.waits += 1;
        self.unrun = 0;
        RetryDecision::RetryAt(at)
    }

    fn give_up(&self, reason: GiveUpReason) -> RetryDecision {
        let outcome = if self.may_have_run { FinalOutcome::Unknown } else { FinalOutcome::NotRun };
        let retry_after = match reason {
            GiveUpReason::BudgetSpent | GiveUpReason::TooManyRuns => OUTAGE_RETRY_AFTER,
            GiveUpReason::NotIdempotent | GiveUpReason::Busy | GiveUpReason::Deadline => {
                BUSY_RETRY_AFTER
            }
        };
        RetryDecision::GiveUp { outcome, reason, retry_after }
    }
}
