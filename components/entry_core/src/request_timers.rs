//! What is due for a request without any event: deadline, timeouts, waits and hedges.

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

/// When a caller comes back whose deadline has passed.
const DEADLINE_RETRY_AFTER: Millis = Millis(2_000);

impl EntryCore {
    /// Does what is due for a request: its deadline, timeouts, waits and hedges.
    pub(crate) fn check_request(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if now >= request.deadline {
            return self.on_deadline(now, wall, id);
        }
        self.note_overdue(now, id);
        self.end_late_attempts(now, wall, id);
        self.end_wait(now, wall, id);
        self.hedge(now, wall, id);
        self.requests.reschedule(id);
    }

    fn on_deadline(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let is_undecided = request.phase == Phase::Claiming || request.may_have_run();
        let reason = RefusalReason::Deadline;
        let refusal = match is_undecided {
            true => Refusal::unknown(reason, Some(DEADLINE_RETRY_AFTER)),
            false => Refusal::not_run(reason, Some(DEADLINE_RETRY_AFTER)),
        };
        for live in request.live.clone() {
            self.observe(now, &live, OutcomeKind::TimedOut);
        }
        self.refuse(now, wall, id, refusal);
    }

    fn note_overdue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let mut overdue = Vec::new();
        for live in &mut request.live {
            if !live.was_overdue && now >= live.overdue_at {
                overdue.push(live.clone());
                live.was_overdue = true;
            }
        }
        for live in overdue {
            self.observe(now, &live, OutcomeKind::Overdue);
        }
    }

    fn end_late_attempts(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let late: Vec<_> =
            request.live.iter().filter(|it| now >= it.deadline).map(|it| it.number).collect();
        for attempt in late {
            let Some(live) = self.take_attempt(id, attempt) else { continue };
            self.actions.push(EntryAction::CancelAttempt { request: id, attempt });
            let end = AttemptEnd::Failed;
            let finished = Attempt { started: live.started, reported_load: None, end };
            self.chooser.finished(now, &live.server, finished);
            self.observe(now, &live, OutcomeKind::TimedOut);
            self.note_run_end(now, wall, id, &live.server, RunEnd::Other);
            self.after_failure(now, wall, id, AttemptFailure::TimedOut);
        }
    }

    fn end_wait(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Waiting(until) = request.phase else { return };
        if now < until {
            return;
        }
        let Some(state) = self.services.get_mut(&request.service.name) else { return };
        let retry = request.retry_request();
        let decision = RetryPolicy.resume(now, retry, &mut request.tries, &mut state.budget);
        self.carry_out(now, wall, id, decision);
    }

    /// Sends a second attempt beside a slow one.
    fn hedge(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_due = request.hedge_at.is_some_and(|it| now >= it) && request.live.len() == 1;
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
