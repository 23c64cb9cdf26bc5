//! Handles the end of an attempt: a response, a retry or a refusal.

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
    request::{InFlightAttempt, Phase},
    response::{CallerResponse, Outcome, Refusal, RefusalReason},
};

/// Lowest HTTP status code that counts as a failure of the server.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

impl EntryCore {
    pub(crate) fn on_attempt_ended(&mut self, now: Timestamp, wall: WallTime, ended: AttemptEnded) {
        let AttemptEnded { request: id, attempt: number, outcome, reported_load } = ended;
        let Some(attempt) = self.take_attempt(id, number) else { return };
        let counts_against_server = self.counts_against_server(now, wall, id, &attempt, &outcome);
        if !counts_against_server && let Some(request) = self.requests.get_mut(id) {
            request.suspected_crashes.push(attempt.clone());
        }
        self.report_outcome(now, &attempt, &outcome, counts_against_server, reported_load);
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status < MIN_SERVER_ERROR_STATUS => {
                self.on_answer(now, wall, id, &attempt, answer);
            }
            AttemptOutcome::Answered(answer) => self.on_server_error(now, wall, id, answer),
            AttemptOutcome::Shed { proves_not_run, retry_after } => {
                self.counters.sheds += 1;
                let failure = AttemptFailure::Shed { proves_not_run, retry_after };
                self.retry_or_give_up(now, wall, id, failure);
            }
            AttemptOutcome::NotSent => {
                self.retry_or_give_up(now, wall, id, AttemptFailure::NotSent);
            }
            AttemptOutcome::ConnectionLost => {
                self.retry_or_give_up(now, wall, id, AttemptFailure::Failed);
            }
            AttemptOutcome::Truncated | AttemptOutcome::Mismatched => {
                self.retry_or_give_up(now, wall, id, AttemptFailure::Truncated);
            }
        }
    }

    /// Removes an attempt from the attempts in flight and returns it.
    pub(crate) fn take_attempt(
        &mut self,
        id: RequestId,
        number: AttemptNumber,
    ) -> Option<InFlightAttempt> {
        let request = self.requests.get_mut(id)?;
        let index = request.in_flight.iter().position(|it| it.number == number)?;
        let attempt = request.in_flight.remove(index);
        self.requests.reschedule(id);
        Some(attempt)
    }

    /// Records the end of the run and returns whether it may count against the server's health.
    ///
    /// It may not if the request, and not the server, is the likely cause of a crash; a truncated
    /// answer always may.
    fn counts_against_server(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        attempt: &InFlightAttempt,
        outcome: &AttemptOutcome,
    ) -> bool {
        let is_suspect = !self.record_run_end(now, wall, id, &attempt.server, run_end(outcome));
        if *outcome == AttemptOutcome::Truncated {
            return true;
        }
        let Some(request) = self.requests.get(id) else { return true };
        !is_suspect || self.lost_connections.record(now, &attempt.server, request.head.payload)
    }

    /// Reports to server choice and health how an attempt ended.
    fn report_outcome(
        &mut self,
        now: Timestamp,
        attempt: &InFlightAttempt,
        outcome: &AttemptOutcome,
        counts_against_server: bool,
        reported_load: Option<u32>,
    ) {
        let (kind, end) = match outcome {
            AttemptOutcome::Answered(answer) if answer.status < MIN_SERVER_ERROR_STATUS => {
                (OutcomeKind::Answered, AttemptEnd::Answered)
            }
            AttemptOutcome::Answered(_)
            | AttemptOutcome::NotSent
            | AttemptOutcome::ConnectionLost => (OutcomeKind::Failed, AttemptEnd::Failed),
            AttemptOutcome::Shed { .. } => (OutcomeKind::Shed, AttemptEnd::Shed),
            AttemptOutcome::Truncated => (OutcomeKind::Truncated, AttemptEnd::Failed),
            AttemptOutcome::Mismatched => (OutcomeKind::Wrong, AttemptEnd::Failed),
        };
        let finished = Attempt { started: attempt.started_at, reported_load, end };
        self.chooser.finished(now, &attempt.server, finished);
        let kind = if counts_against_server { kind } else { OutcomeKind::CrashedByRequest };
        self.report_to_health(now, attempt, kind);
    }

    pub(crate) fn report_to_health(
        &mut self,
        now: Timestamp,
        attempt: &InFlightAttempt,
        kind: OutcomeKind,
    ) {
        self.health.observe(
            now,
            Observation {
                server: attempt.server.clone(),
                kind,
                latency: Duration::from_micros(now.micros_since(attempt.started_at)),
                was_overdue: attempt.was_overdue,
            },
        );
    }

    /// Handles a complete answer without a server error.
    fn on_answer(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        attempt: &InFlightAttempt,
        answer: Answer,
    ) {
        self.attribute_losses_to_servers(now, id);
        if let Some(request) = self.requests.get_mut(id) {
            request.was_answered = true;
            if let Some(state) = self.services.get_mut(&request.service.name) {
                state.hedge.observe(now.since(attempt.started_at));
            }
        }
        self.respond(now, wall, id, CallerResponse::Answer { answer, replayed: false });
    }

    /// Reports the request's lost connections as failures of the servers: a request that gets an
    /// answer does not crash servers.
    fn attribute_losses_to_servers(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        for attempt in std::mem::take(&mut request.suspected_crashes) {
            self.report_to_health(now, &attempt, OutcomeKind::Failed);
        }
    }

    /// Handles a complete answer with a server error: it is final unless the service is idempotent.
    fn on_server_error(&mut self, now: Timestamp, wall: WallTime, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.was_answered = true;
        if !request.service.idempotent {
            let response = CallerResponse::Answer { answer, replayed: false };
            return self.respond(now, wall, id, response);
        }
        request.last_answer = Some(answer);
        self.retry_or_give_up(now, wall, id, AttemptFailure::Failed);
    }

    /// Retries a request after an attempt without a usable answer, or refuses it.
    pub(crate) fn retry_or_give_up(
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
        if !request.in_flight.is_empty() {
            // The end of the last attempt in flight decides.
            request.attempts.record_concurrent_failure(failure);
            return;
        }
        let Some(state) = self.services.get_mut(&service) else {
            // The failed attempt may have run the request.
            request.attempts.record_concurrent_failure(failure);
            let refusal = Refusal::not_run(RefusalReason::ServiceRemoved, None);
            return self.refuse(now, wall, id, refusal);
        };
        let has_untried_server = candidates
            .iter()
            .any(|it| it.weight_milli > 0 && !request.tried_servers.contains(&it.server));
        let decision = RetryPolicy.decide(
            now,
            request.retry_request(),
            &mut request.attempts,
            failure,
            has_untried_server,
            &mut state.budget,
        );
        self.apply_retry_decision(now, wall, id, decision);
    }

    /// Executes a decision of the retry policy.
    pub(crate) fn apply_retry_decision(
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
                request.phase = Phase::AwaitingRetry(at);
                request.tried_servers.clear();
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

    /// Distinguishes a busy service from one without any server in rotation.
    fn busy_reason(&self, id: RequestId) -> RefusalReason {
        let service = self.requests.get(id).map(|it| &it.service.name);
        match service.is_some_and(|it| self.candidates(it).is_empty()) {
            true => RefusalReason::NoServer,
            false => RefusalReason::Busy,
        }
    }
}

/// Returns the outcome of an attempt as the quarantine classifies it.
fn run_end(outcome: &AttemptOutcome) -> RunEnd {
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::Mismatched => RunEnd::Answered,
        AttemptOutcome::ConnectionLost | AttemptOutcome::Truncated => RunEnd::ConnectionLost,
        AttemptOutcome::Shed { .. } | AttemptOutcome::NotSent => RunEnd::Other,
    }
}
