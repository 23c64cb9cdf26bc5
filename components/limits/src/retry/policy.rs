//! Decides what follows a failed attempt: a retry, a backoff or giving up.
//!
//! An attempt that may have run the request is retried for idempotent services only, and the
//! retry takes a token of the retry budget unless a server shed the attempt. An attempt that did
//! not run the request (a refused connection, or a shed that proves it) is retried for every
//! service without a token, but only a few times in a row. Then prompt requests that were shed
//! back off a few times, and patient requests until their deadline. A request that is given up is
//! answered at once.

use ids::{Millis, Timestamp};
use schema::config_text::Patience;

use super::RetryBudget;

/// Maximum number of runs of a prompt request, the first included, and of a patient request before
/// it backs off.
const MAX_RUNS: u32 = 3;

/// Number of consecutive attempts without a run after which a request backs off or is given up.
const MAX_CONSECUTIVE_NOT_RUN: u32 = 4;

/// First backoff of a patient request; each further one doubles, up to [`MAX_BACKOFF`].
const MIN_PATIENT_BACKOFF: Millis = Millis(100);

/// First backoff of a prompt request whose servers are all busy.
const MIN_PROMPT_BACKOFF: Millis = Millis(50);

/// Maximum number of backoffs of a prompt request before it is given up.
const MAX_PROMPT_BACKOFFS: u32 = 3;

/// Longest backoff between attempts.
const MAX_BACKOFF: Millis = Millis(5_000);

/// Minimum time that an attempt needs before the deadline.
const MIN_ATTEMPT_TIME: Millis = Millis(5);

/// `retry_after` for callers, unless the service seems to be down.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// `retry_after` for callers when runs keep failing or the retry budget is spent.
const OUTAGE_RETRY_AFTER: Millis = Millis(5_000);

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent: the connection was refused or no server was left.
    NotSent,
    /// The server shed the attempt because it was busy.
    Shed {
        /// Whether the response proves that the request did not run.
        proves_not_run: bool,
        /// Delay before the next attempt that the server asks for.
        retry_after: Option<Millis>,
    },
    /// The attempt ended with an error or a lost connection.
    Failed,
    /// The attempt reached its deadline.
    TimedOut,
    /// The response was cut short, too long or malformed.
    Truncated,
}

/// The properties of a request that its retries depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it is given up or keeps waiting when no server can take it.
    pub patience: Patience,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestAttempts {
    /// Attempts that failed after the request was sent, without sheds.
    runs: u32,
    /// Attempts that were not sent or were shed, since the last run or backoff.
    consecutive_not_run: u32,
    /// Backoffs so far.
    backoffs: u32,
    /// Whether an attempt may have run the request.
    may_have_run: bool,
    /// Whether the next attempt must take a token of the retry budget.
    needs_token: bool,
}

/// What the caller is told about a request that was given up.
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
    /// Back off until this time, then try any server.
    RetryAt(Timestamp),
    /// Make no further attempt and answer the caller now.
    GiveUp {
        /// Whether the request may have run.
        outcome: FinalOutcome,
        /// Why no further attempt is made.
        reason: GiveUpReason,
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
}

/// The retry rules of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides what follows a failed attempt.
    ///
    /// `servers_left` says whether a server that was not tried yet is in rotation.
    pub fn decide(
        self,
        now: Timestamp,
        request: RetryRequest,
        attempts: &mut RequestAttempts,
        failure: AttemptFailure,
        servers_left: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        attempts.record_failure(failure);
        if now + MIN_ATTEMPT_TIME >= request.deadline {
            return attempts.give_up(GiveUpReason::Deadline);
        }
        if attempts.may_have_run && !request.idempotent {
            return attempts.give_up(GiveUpReason::NotIdempotent);
        }
        if counts_as_run(failure) {
            return attempts.after_run(now, request, servers_left, budget);
        }
        attempts.after_no_run(now, request, failure, servers_left)
    }

    /// Decides what follows the backoff of a [`RetryDecision::RetryAt`].
    pub fn resume(
        self,
        now: Timestamp,
        request: RetryRequest,
        attempts: &mut RequestAttempts,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if now + MIN_ATTEMPT_TIME >= request.deadline {
            return attempts.give_up(GiveUpReason::Deadline);
        }
        if attempts.needs_token && !budget.try_withdraw(now) {
            return attempts.back_off(now, request, None);
        }
        attempts.needs_token = false;
        RetryDecision::RetryNow
    }

    /// Returns the deadline of the next attempt.
    ///
    /// An attempt that may be retried gets half of the time left, any other all of it.
    pub fn attempt_deadline(
        self,
        now: Timestamp,
        request: RetryRequest,
        attempts: &RequestAttempts,
    ) -> Timestamp {
        let left = request.deadline.since(now);
        if !request.idempotent
            || attempts.runs + 1 >= MAX_RUNS
            || left < Millis(2 * MIN_ATTEMPT_TIME.0)
        {
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
    /// Returns whether an attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records a failed attempt while another attempt of the request is in flight.
    pub fn record_concurrent_failure(&mut self, failure: AttemptFailure) {
        self.record_failure(failure);
    }

    fn record_failure(&mut self, failure: AttemptFailure) {
        self.may_have_run |= may_have_run(failure);
        if counts_as_run(failure) {
            self.runs += 1;
            self.consecutive_not_run = 0;
        } else {
            self.consecutive_not_run += 1;
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
        let give_up_reason = if self.runs >= MAX_RUNS {
            Some(GiveUpReason::TooManyRuns)
        } else if !servers_left {
            Some(GiveUpReason::Busy)
        } else if !budget.try_withdraw(now) {
            Some(GiveUpReason::BudgetSpent)
        } else {
            None
        };
        match give_up_reason {
            None => RetryDecision::RetryNow,
            Some(_) if patient => {
                self.needs_token = true;
                self.back_off(now, request, None)
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
        if servers_left && self.consecutive_not_run < MAX_CONSECUTIVE_NOT_RUN {
            return RetryDecision::RetryNow;
        }
        let (was_shed, server_retry_after) = match failure {
            AttemptFailure::Shed { retry_after, .. } => (true, retry_after),
            _ => (false, None),
        };
        let may_back_off = match request.patience {
            Patience::Prompt => was_shed && self.backoffs < MAX_PROMPT_BACKOFFS,
            Patience::Patient => true,
        };
        if !may_back_off {
            return self.give_up(GiveUpReason::Busy);
        }
        self.back_off(now, request, server_retry_after)
    }

    fn back_off(
        &mut self,
        now: Timestamp,
        request: RetryRequest,
        server_retry_after: Option<Millis>,
    ) -> RetryDecision {
        let backoff = match request.patience {
            Patience::Prompt => Millis(MIN_PROMPT_BACKOFF.0 << self.backoffs.min(10)),
            Patience::Patient => Millis(MIN_PATIENT_BACKOFF.0 << self.backoffs.min(10))
                .max(server_retry_after.unwrap_or_default()),
        };
        let backoff = backoff.min(MAX_BACKOFF);
        let at = now + backoff;
        if at + MIN_ATTEMPT_TIME >= request.deadline {
            return self.give_up(GiveUpReason::Deadline);
        }
        self.backoffs += 1;
        self.consecutive_not_run = 0;
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
