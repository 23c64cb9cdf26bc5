//! Attempts on backend servers: which server, what follows a failure, when to hedge.

use std::time::Duration;

use health::{Observation, OutcomeKind};
use ids::{AttemptNumber, Millis, RequestId, ServerId, ServiceName, Timestamp, WallTime};
use limits::{
    quarantine::{QuarantineDecision, RunEnd},
    retry::{AttemptFailure, FinalOutcome, GiveUpReason, RetryDecision, RetryPolicy},
};
use routing::{Attempt, AttemptEnd, Candidate, Distance};
use schema::{announcement::ServerState, answer::Answer};

use crate::{
    core::EntryCore,
    event::{AttemptEnded, AttemptOutcome, AttemptStart, EntryAction},
    request::{LiveAttempt, Phase},
    response::{CallerResponse, Outcome, Refusal, RefusalReason},
};

/// When a caller comes back whose service has no server in rotation.
const NO_SERVER_RETRY_AFTER: Millis = Millis(2_000);

/// The first status code that counts as a failure of the server.
const FIRST_SERVER_ERROR: u16 = 500;

impl EntryCore {
    /// Sends the request to a server, or decides what to do without one.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        match self.check_quarantine(now, wall, id) {
            QuarantineDecision::Clear => self.send_to_any(now, wall, id),
            QuarantineDecision::Wait => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.phase = Phase::AskingLeave;
                    self.requests.reschedule(id);
                }
            }
            QuarantineDecision::Refused(refusal) => {
                self.refuse_quarantined(now, wall, id, refusal);
            }
        }
    }

    /// Sends the request to the best server that is left.
    pub(crate) fn send_to_any(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        match self.choose_server(now, id) {
            Some(server) => self.send_attempt(now, id, server),
            None => self.after_failure(now, wall, id, AttemptFailure::NotSent),
        }
    }

    fn choose_server(&mut self, now: Timestamp, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let candidates = self.candidates(&request.service.name);
        self.chooser.choose(now, &candidates, &request.tried)
    }

    /// The servers of a service that may take an attempt.
    fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
        let rotation = self.health.rotation(service);
        let candidates = rotation.iter().filter_map(|entry| {
            let known = self.servers.get(&entry.server)?;
            let takes_work = matches!(known.state, ServerState::Serving | ServerState::Starting);
            takes_work.then(|| Candidate {
                server: entry.server.clone(),
                distance: self.distance(&known.data_centre),
                weight_milli: entry.weight,
                last_resort: entry.last_resort,
                slots: known.slots,
            })
        });
        candidates.collect()
    }

    fn distance(&self, data_centre: &ids::DataCentreName) -> Distance {
        if *data_centre == self.settings.data_centre {
            return Distance::SameDataCentre;
        }
        let region = self.config.as_ref().and_then(|it| it.region_of(data_centre));
        if region == Some(&self.settings.region) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }

    fn send_attempt(&mut self, now: Timestamp, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(known) = self.servers.get(&server) else { return };
        let Some(state) = self.services.get(&request.service.name) else { return };
        let deadline = RetryPolicy.attempt_deadline(now, request.retry_request(), &request.tries);
        let number = request.next_attempt;
        request.next_attempt = number.next();
        request.phase = Phase::Running;
        request.tried.push(server.clone());
        request.hedge_at = match request.live.is_empty() {
            true => state.hedge.hedge_at(now, request.service.idempotent, request.deadline),
            false => None,
        };
        request.live.push(LiveAttempt {
            number,
            server: server.clone(),
            started: now,
            deadline,
            overdue_at: now + self.health.overdue_after(&request.service.name),
            was_overdue: false,
        });
        self.counters.attempts += 1;
        self.actions.push(EntryAction::StartAttempt(AttemptStart {
            request: id,
            attempt: number,
            server: server.clone(),
            address: known.address,
            time_left: request.time_left(now).min(deadline.since(now)),
            max_answer: request.service.max_response_bytes,
            may_reuse_connection: request.service.idempotent,
        }));
        self.chooser.started(now, &server);
        self.requests.reschedule(id);
    }

    pub(crate) fn on_attempt_ended(&mut self, now: Timestamp, wall: WallTime, ended: AttemptEnded) {
        let AttemptEnded { request: id, attempt, outcome, reported_load } = ended;
        let Some(live) = self.take_attempt(id, attempt) else { return };
        let is_evidence = self.note_run_end(now, wall, id, &live.server, run_end(&outcome));
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

    fn take_attempt(&mut self, id: RequestId, attempt: AttemptNumber) -> Option<LiveAttempt> {
        let request = self.requests.get_mut(id)?;
        let index = request.live.iter().position(|it| it.number == attempt)?;
        let live = request.live.remove(index);
        self.requests.reschedule(id);
        Some(live)
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

    fn observe(&mut self, now: Timestamp, live: &LiveAttempt, kind: OutcomeKind) {
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
        if let Some(request) = self.requests.get_mut(id) {
            request.was_answered = true;
            if let Some(state) = self.services.get_mut(&request.service.name) {
                state.hedge.observe(now.since(live.started));
            }
        }
        self.respond(now, wall, id, CallerResponse::Answer { answer, replayed: false });
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
    fn after_failure(
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
            request.tries.note_parallel(failure);
            return;
        }
        let Some(state) = self.services.get_mut(&service) else {
            // The failed attempt may have run.
            request.tries.note_parallel(failure);
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

    fn carry_out(
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
            true => Refusal::unknown(reason, Some(NO_SERVER_RETRY_AFTER)),
            false => Refusal::not_run(reason, Some(NO_SERVER_RETRY_AFTER)),
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
        if self.check_quarantine(now, wall, id) != QuarantineDecision::Clear {
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

/// What the end of an attempt says about a crash of its server.
fn run_end(outcome: &AttemptOutcome) -> RunEnd {
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::Wrong => RunEnd::Answered,
        AttemptOutcome::Reset | AttemptOutcome::Truncated => RunEnd::ConnectionLost,
        AttemptOutcome::Shed { .. } | AttemptOutcome::NotSent => RunEnd::Other,
    }
}
