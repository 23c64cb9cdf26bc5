//! The end of a request.

use ids::{RequestId, Timestamp, WallTime};
use limits::admission::Completion;
use routing::{Attempt, AttemptEnd};

use crate::{
    core::EntryCore,
    event::{EntryAction, KeyHeader, RequestHead},
    request::Request,
    response::{CallerResponse, Outcome, Refusal},
};

impl EntryCore {
    /// Refuses a request of which nothing is kept yet.
    pub(crate) fn refuse_at_once(
        &mut self,
        id: RequestId,
        head: &RequestHead,
        mut refusal: Refusal,
    ) {
        // An earlier send of the key may have run: that was not looked up.
        if matches!(head.key, KeyHeader::Given(_)) {
            refusal.outcome = Outcome::Unknown;
        }
        let response = Box::new(CallerResponse::Refusal(refusal));
        self.counters.count_response(None, &response);
        self.actions.push(EntryAction::Respond { request: id, response });
    }

    /// Refuses a request in work.
    pub(crate) fn refuse(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        refusal: Refusal,
    ) {
        self.respond(now, wall, id, CallerResponse::Refusal(refusal));
    }

    /// Answers the caller and forgets the request.
    pub(crate) fn respond(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        response: CallerResponse,
    ) {
        let Some(request) = self.requests.remove(id) else { return };
        let response = honest(&request, response);
        self.cancel_attempts(now, id, &request);
        if !request.service.idempotent {
            self.settle_claim(now, wall, id, &request, &response);
        }
        self.counters.count_response(Some(&request.service.name), &response);
        if !request.caller_gone {
            let response = Box::new(response);
            self.actions.push(EntryAction::Respond { request: id, response });
        }
        self.leave_admission(now, wall, id, &request, was_answered(&request));
    }

    fn cancel_attempts(&mut self, now: Timestamp, id: RequestId, request: &Request) {
        for live in &request.live {
            self.actions.push(EntryAction::CancelAttempt { request: id, attempt: live.number });
            let end = AttemptEnd::Cancelled;
            let finished = Attempt { started: live.started, reported_load: None, end };
            self.chooser.finished(now, &live.server, finished);
        }
    }

    fn leave_admission(
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
        self.on_admission(now, wall, actions);
    }

    /// The caller of a request has closed its connection.
    pub(crate) fn on_caller_gone(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.caller_gone = true;
        if !request.service.idempotent && request.may_have_run() {
            // The answer is kept for a resend of the key.
            return;
        }
        let refusal = Refusal::not_run(crate::RefusalReason::Deadline, None);
        self.refuse(now, wall, id, refusal);
    }
}

/// Says `unknown` instead of `not-run` when a server may have run the request.
fn honest(request: &Request, response: CallerResponse) -> CallerResponse {
    match response {
        CallerResponse::Refusal(refusal)
            if refusal.outcome == Outcome::NotRun && request.may_have_run() =>
        {
            CallerResponse::Refusal(Refusal { outcome: Outcome::Unknown, ..refusal })
        }
        other => other,
    }
}

fn was_answered(request: &Request) -> Completion {
    if request.was_answered {
        return Completion::Answered;
    }
    if request.tries.may_have_run() { Completion::Failed } else { Completion::Shed }
}
