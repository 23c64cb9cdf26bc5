//! Timers of a request: its deadline, attempt timeouts, retry times and hedges.

use health::OutcomeKind;
use ids::{Millis, RequestId, Timestamp, WallTime};
use limits::{
    quarantine::{QuarantineDecision, RunEnd},
    retry::{AttemptFailure, RetryPolicy},
};
use routing::{Attempt, AttemptEnd};

use crate::{
    core::EntryCore,
    event::EntryAction,
    request::Phase,
    response::{Refusal, RefusalReason},
};

/// Retry-after time after the deadline has passed.
const DEADLINE_RETRY_AFTER: Millis = Millis(2_000);

impl EntryCore {
    /// Handles the expired timers of a request.
    pub(crate) fn run_request_timers(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if now >= request.deadline {
            return self.on_deadline(now, wall, id);
        }
        self.report_overdue_attempts(now, id);
        self.cancel_timed_out_attempts(now, wall, id);
        self.resume_after_wait(now, wall, id);
        self.send_hedge_if_due(now, wall, id);
        self.requests.reschedule(id);
    }

    fn on_deadline(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        // While the claim is undecided, an earlier request with the key may have run.
        let may_have_run = request.phase == Phase::Claiming || request.may_have_run();
        let reason = RefusalReason::Deadline;
        let refusal = match may_have_run {
            true => Refusal::unknown(reason, Some(DEADLINE_RETRY_AFTER)),
            false => Refusal::not_run(reason, Some(DEADLINE_RETRY_AFTER)),
        };
        for attempt in request.in_flight.clone() {
            self.report_to_health(now, &attempt, OutcomeKind::TimedOut);
        }
        self.refuse(now, wall, id, refusal);
    }

    fn report_overdue_attempts(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let mut overdue = Vec::new();
        for attempt in &mut request.in_flight {
            if !attempt.was_overdue && now >= attempt.overdue_at {
                overdue.push(attempt.clone());
                attempt.was_overdue = true;
            }
        }
        for attempt in overdue {
            self.report_to_health(now, &attempt, OutcomeKind::Overdue);
        }
    }

    fn cancel_timed_out_attempts(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let timed_out: Vec<_> =
            request.in_flight.iter().filter(|it| now >= it.deadline).map(|it| it.number).collect();
        for number in timed_out {
            let Some(attempt) = self.take_attempt(id, number) else { continue };
            self.actions.push(EntryAction::CancelAttempt { request: id, attempt: number });
            let end = AttemptEnd::Failed;
            let finished = Attempt { started: attempt.started_at, reported_load: None, end };
            self.chooser.finished(now, &attempt.server, finished);
            self.report_to_health(now, &attempt, OutcomeKind::TimedOut);
            self.record_run_end(now, wall, id, &attempt.server, RunEnd::Other);
            self.retry_or_give_up(now, wall, id, AttemptFailure::TimedOut);
        }
    }

    fn resume_after_wait(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::AwaitingRetry(retry_at) = request.phase else { return };
        if now < retry_at {
            return;
        }
        let Some(state) = self.services.get_mut(&request.service.name) else { return };
        let retry = request.retry_request();
        let decision = RetryPolicy.resume(now, retry, &mut request.attempts, &mut state.budget);
        self.apply_retry_decision(now, wall, id, decision);
    }

    /// Sends a hedged attempt if the first one is slow and the hedge policy allows it.
    fn send_hedge_if_due(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_due = request.hedge_at.is_some_and(|it| now >= it) && request.in_flight.len() == 1;
        if !is_due {
            return;
        }
        request.hedge_at = None;
        let service = request.service.name.clone();
        if self.check_quarantine(now, wall, id) != QuarantineDecision::Allowed {
            return;
        }
        let Some(server) = self.choose_server(now, id) else { return };
        let Some(state) = self.services.get_mut(&service) else { return };
        if state.hedge.try_hedge(now, &mut state.budget) {
            self.counters.hedges += 1;
            self.send_attempt(now, id, server);
        }
    }
}
