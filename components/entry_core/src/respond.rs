//! Ends requests with a response to the caller.

use ids::{RequestId, Timestamp, WallTime};
use limits::{admission::Completion, quarantine::RunEnd};
use routing::{Attempt, AttemptEnd};

use crate::{
    core::EntryCore,
    event::{EntryAction, KeyHeader, RequestHead},
    request::Request,
    response::{CallerResponse, Outcome, Refusal},
};

impl EntryCore {
    /// Refuses a request that is not in the request table.
    pub(crate) fn refuse_untracked(
        &mut self,
        id: RequestId,
        head: &RequestHead,
        mut refusal: Refusal,
    ) {
        // An earlier request with the key may have run: its claim was not looked up.
        if matches!(head.key, KeyHeader::Given(_)) {
            refusal.outcome = Outcome::Unknown;
        }
        let response = Box::new(CallerResponse::Refusal(refusal));
        self.counters.count_response(None, &response);
        self.actions.push(EntryAction::Respond { request: id, response });
    }

    /// Refuses a request that is in the request table.
    pub(crate) fn refuse(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        refusal: Refusal,
    ) {
        self.respond(now, wall, id, CallerResponse::Refusal(refusal));
    }

    /// Ends the request and sends its response if the caller is still connected.
    pub(crate) fn respond(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        response: CallerResponse,
    ) {
        let Some(request) = self.requests.remove(id) else { return };
        let response = correct_outcome(&request, response);
        self.cancel_attempts(now, wall, id, &request);
        if !request.service.idempotent {
            self.settle_claim(now, wall, id, &request, &response);
        }
        self.counters.count_response(Some(&request.service.name), &response);
        if !request.caller_gone {
            let response = Box::new(response);
            self.actions.push(EntryAction::Respond { request: id, response });
        }
        self.release_admission(now, wall, id, &request, completion(&request));
    }

    fn cancel_attempts(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        request: &Request,
    ) {
        for attempt in &request.in_flight {
            self.actions.push(EntryAction::CancelAttempt { request: id, attempt: attempt.number });
            let end = AttemptEnd::Cancelled;
            let finished = Attempt { started: attempt.started_at, reported_load: None, end };
            self.chooser.finished(now, &attempt.server, finished);
            let payload = request.head.payload;
            let finding =
                self.quarantine.finished(now, id, payload, &attempt.server, RunEnd::Other);
            self.handle_quarantine_actions(now, wall, finding.actions);
        }
    }

    fn release_admission(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        request: &Request,
        completion: Completion,
    ) {
        let actions = match request.admitted {
            true => self.admission.finished(now, id, completion),
            false => self.admission.cancel(now, id),
        };
        self.handle_admission_actions(now, wall, actions);
    }

    /// Handles that the caller of a request closed its connection.
    pub(crate) fn on_caller_gone(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.caller_gone = true;
        if !request.service.idempotent && request.may_have_run() {
            // The request goes on: its answer is stored for a resend of the key.
            return;
        }
        let refusal = Refusal::not_run(crate::RefusalReason::Deadline, None);
        self.refuse(now, wall, id, refusal);
    }
}

/// Changes the outcome `not-run` to `unknown` if a server may have run the request.
fn correct_outcome(request: &Request, response: CallerResponse) -> CallerResponse {
    match response {
        CallerResponse::Refusal(refusal)
            if refusal.outcome == Outcome::NotRun && request.may_have_run() =>
        {
            CallerResponse::Refusal(Refusal { outcome: Outcome::Unknown, ..refusal })
        }
        other => other,
    }
}

/// Returns how the request ended for admission control.
fn completion(request: &Request) -> Completion {
    if request.was_answered {
        return Completion::Answered;
    }
    if request.attempts.may_have_run() { Completion::Failed } else { Completion::Shed }
}
