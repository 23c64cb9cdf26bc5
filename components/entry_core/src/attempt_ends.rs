//! What follows the end of an attempt.

use std::time::Duration;

use health::{Observation, OutcomeKind};
use ids::{AttemptNumber, RequestId, Timestamp, WallTime};
use limits::{
    quarantine::RunEnd,
    retry::{AttemptFailure, FinalOutcome, GiveUpReason, RetryDecision, RetryPolicy},
};
use routing::{Attempt, AttemptEnd};
use schema::answer::Answer;

use crate::{
    core::EntryCore,
    event::{AttemptEnded, AttemptOutcome},
    request::{LiveAttempt, Phase},
    response::{CallerResponse, Outcome, Refusal, RefusalReason},
};

/// The first status code that counts as a failure of the server.
const FIRST_SERVER_ERROR: u16 = 500;

impl EntryCore {
    pub(crate) fn on_attempt_ended(&mut self, now: Timestamp, wall: WallTime, ended: AttemptEnded) {
        let AttemptEnded { request: id, attempt, outcome, reported_load } = ended;
        let Some(live) = self.take_attempt(id, attempt) else { return };
        let is_evidence = self.is_evidence(now, wall, id, &live, &outcome);
        if !is_evidence && let Some(request) = self.requests.get_mut(id) {
            request.excused.push(live.clone());
        }
        self.note_end(now, &live, &outcome, is_evidence, reported_load);
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status < FIRST_SERVER_ERROR => {
                self.on_answer(now, wall, id, &live, answer);
            }
            AttemptOutcome::Answered(answer) => self.on_server_error(now, wall, id, answer),
            AttemptOutcome::Shed { proves_not_run, retry_after } => {
                self.counters.sheds += 1;
                let failure = AttemptFailure::Shed { proves_not_run, retry_after };
                self.after_failure(now, wall, id, failure);
            }
            AttemptOutcome::NotSent => {
                self.after_failure(now, wall, id, AttemptFailure::NotSent);
            }
            AttemptOutcome::Reset => self.after_failure(now, wall, id, AttemptFailure::Failed),
            AttemptOutcome::Truncated | AttemptOutcome::Wrong => {
                self.after_failure(now, wall, id, AttemptFailure::Truncated);
            }
        }
    }

    pub(crate) fn take_attempt(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
    ) -> Option<LiveAttempt> {
        let request = self.requests.get_mut(id)?;
        let index = request.live.iter().position(|it| it.number == attempt)?;
        let live = request.live.remove(index);
        self.requests.reschedule(id);
        Some(live)
    }

    /// Whether the end of an attempt may count against the server's health: a request that crashes
    /// servers is no evidence against them.
    fn is_evidence(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        live: &LiveAttempt,
        outcome: &AttemptOutcome,
    ) -> bool {
        let is_excused = !self.note_run_end(now, wall, id, &live.server, run_end(outcome));
        if *outcome == AttemptOutcome::Truncated {
            return true;
        }
        let Some(request) = self.requests.get(id) else { return true };
        !is_excused || self.lost_connections.note(now, &live.server, request.head.payload)
    }

    /// Tells health and routing how an attempt ended.
    fn note_end(
        &mut self,
        now: Timestamp,
        live: &LiveAttempt,
        outcome: &AttemptOutcome,
        is_evidence: bool,
        reported_load: Option<u32>,
    ) {
        let (kind, end) = match outcome {
            AttemptOutcome::Answered(answer) if answer.status < FIRST_SERVER_ERROR => {
                (OutcomeKind::Answered, AttemptEnd::Answered)
            }
            AttemptOutcome::Answered(_) | AttemptOutcome::NotSent | AttemptOutcome::Reset => {
                (OutcomeKind::Failed, AttemptEnd::Failed)
            }
            AttemptOutcome::Shed { .. } => (OutcomeKind::Shed, AttemptEnd::Shed),
            AttemptOutcome::Truncated => (OutcomeKind::Truncated, AttemptEnd::Failed),
            AttemptOutcome::Wrong => (OutcomeKind::Wrong, AttemptEnd::Failed),
        };
        let attempt = Attempt { started: live.started, reported_load, end };
        self.chooser.finished(now, &live.server, attempt);
        let kind = if is_evidence { kind } else { OutcomeKind::CrashedByRequest };
        self.observe(now, live, kind);
    }

    pub(crate) fn observe(&mut self, now: Timestamp, live: &LiveAttempt, kind: OutcomeKind) {
        self.health.observe(
            now,
            Observation {
                server: live.server.clone(),
                kind,
                latency: Duration::from_micros(now.micros_since(live.started)),
                was_overdue: live.was_overdue,
            },
        );
    }

    fn on_answer(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        live: &LiveAttempt,
        answer: Answer,
    ) {
        self.accuse_servers(now, id);
        if let Some(request) = self.requests.get_mut(id) {
            request.was_answered = true;
            if let Some(state) = self.services.get_mut(&request.service.name) {
                state.hedge.observe(now.since(live.started));
            }
        }
        self.respond(now, wall, id, CallerResponse::Answer { answer, replayed: false });
    }

    /// An answered request crashes no servers: those that lost its connection failed themselves.
    fn accuse_servers(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        for live in std::mem::take(&mut request.excused) {
            self.observe(now, &live, OutcomeKind::Failed);
        }
    }

    /// A whole answer that says that the server failed.
    fn on_server_error(&mut self, now: Timestamp, wall: WallTime, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.was_answered = true;
        if !request.service.idempotent {
            let response = CallerResponse::Answer { answer, replayed: false };
            return self.respond(now, wall, id, response);
        }
        request.last_answer = Some(answer);
        self.after_failure(now, wall, id, AttemptFailure::Failed);
    }

    /// Decides what follows an attempt that gave no usable answer.
    pub(crate) fn after_failure(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        failure: AttemptFailure,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let service = request.service.name.clone();
        let candidates = self.candidates(&service);
        let Some(request) = self.requests.get_mut(id) else { return };
        if !request.live.is_empty() {
            // Another attempt is still in flight; its end decides.
            request.tries.record_concurrent_failure(failure);
            return;
        }
        let Some(state) = self.services.get_mut(&service) else {
            // The failed attempt may have run.
            request.tries.record_concurrent_failure(failure);
            let refusal = Refusal::not_run(RefusalReason::ServiceRemoved, None);
            return self.refuse(now, wall, id, refusal);
        };
        let servers_left =
            candidates.iter().any(|it| it.weight_milli > 0 && !request.tried.contains(&it.server));
        let decision = RetryPolicy.decide(
            now,
            request.retry_request(),
            &mut request.tries,
            failure,
            servers_left,
            &mut state.budget,
        );
        self.carry_out(now, wall, id, decision);
    }

    pub(crate) fn carry_out(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        decision: RetryDecision,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        match decision {
            RetryDecision::RetryNow => {
                if request.next_attempt > AttemptNumber(0) {
                    self.counters.retries += 1;
                }
                self.start_attempt(now, wall, id);
            }
            RetryDecision::RetryAt(at) => {
                request.phase = Phase::Waiting(at);
                request.tried.clear();
                self.requests.reschedule(id);
            }
            RetryDecision::GiveUp { outcome, reason, retry_after } => {
                if let Some(answer) = request.last_answer.take() {
                    let response = CallerResponse::Answer { answer, replayed: false };
                    return self.respond(now, wall, id, response);
                }
                let reason = match reason {
                    GiveUpReason::Deadline => RefusalReason::Deadline,
                    GiveUpReason::Busy => self.busy_reason(id),
                    GiveUpReason::NotIdempotent => RefusalReason::OutcomeUnknown,
                    GiveUpReason::TooManyRuns | GiveUpReason::BudgetSpent => {
                        RefusalReason::NoAnswer
                    }
                };
                let outcome = match outcome {
                    FinalOutcome::NotRun => Outcome::NotRun,
                    FinalOutcome::Unknown => Outcome::Unknown,
                };
                let refusal = Refusal { reason, outcome, retry_after: Some(retry_after) };
                self.refuse(now, wall, id, refusal);
            }
        }
    }

    fn busy_reason(&self, id: RequestId) -> RefusalReason {
        let service = self.requests.get(id).map(|it| &it.service.name);
        match service.is_some_and(|it| self.candidates(it).is_empty()) {
            true => RefusalReason::NoServer,
            false => RefusalReason::Busy,
        }
    }
}

/// What the end of an attempt says about a crash of its server.
fn run_end(outcome: &AttemptOutcome) -> RunEnd {
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::Wrong => RunEnd::Answered,
        AttemptOutcome::Reset | AttemptOutcome::Truncated => RunEnd::ConnectionLost,
        AttemptOutcome::Shed { .. } | AttemptOutcome::NotSent => RunEnd::Other,
    }
}
