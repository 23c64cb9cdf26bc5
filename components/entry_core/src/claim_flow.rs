//! Requests of non-idempotent services: claims their keys before and stores their outcomes after.

use claims::{ClaimKey, Decision, NotGranted, Ticket};
use ids::{IdempotencyKey, KeyDigest, Millis, RequestId, Timestamp, WallTime};
use schema::{answer::Answer, claims::StoredAnswer};

use crate::{
    core::EntryCore,
    event::KeyHeader,
    request::{Phase, Request},
    response::{CallerResponse, Refusal, RefusalReason},
};

/// Retry-after time while another request with the key is in progress.
const IN_PROGRESS_RETRY_AFTER: Millis = Millis(1_000);

/// Retry-after time after too few claim replicas answered.
const UNAVAILABLE_RETRY_AFTER: Millis = Millis(2_000);

impl EntryCore {
    /// Starts to claim the request's idempotency key.
    pub(crate) fn begin_claim(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.phase = Phase::Claiming;
        let KeyHeader::Given(key) = &request.head.key else {
            return;
        };
        let payload = request.head.payload;
        match claim_key(request, key) {
            Ok(key) => {
                let actions = self.claims.begin(now, wall, id, key, payload);
                self.handle_claim_actions(now, wall, actions);
            }
            Err(reason) => self.refuse(now, wall, id, Refusal::not_run(reason, None)),
        }
    }

    pub(crate) fn on_claim_decided(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        decision: Decision,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            // The request ended before the decision, and its claim was released then.
            return;
        };
        if decision == Decision::Granted {
            request.claimed = true;
            return self.request_admission(now, wall, id);
        }
        match response_for_decision(decision) {
            CallerResponse::Refusal(refusal) => self.refuse(now, wall, id, refusal),
            response @ CallerResponse::Answer { .. } => self.respond(now, wall, id, response),
        }
    }

    /// Stores the outcome of a claimed request, or releases its claim if it cannot have run.
    pub(crate) fn settle_claim(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        request: &Request,
        response: &CallerResponse,
    ) {
        let actions = match response {
            _ if !request.may_have_run() => self.claims.release(now, wall, id),
            CallerResponse::Answer { answer, .. } => {
                let stored = StoredAnswer::Kept(schema::encode(answer).into());
                self.claims.finish(now, wall, id, stored)
            }
            CallerResponse::Refusal(_) => self.claims.finish(now, wall, id, StoredAnswer::Unknown),
        };
        self.handle_claim_actions(now, wall, actions);
    }
}

/// Returns the key's digest, which covers organisation and service, and its ticket.
fn claim_key(request: &Request, key: &IdempotencyKey) -> Result<ClaimKey, RefusalReason> {
    let ticket = Ticket::parse_prefix(key).map_err(|_| RefusalReason::MalformedKey)?;
    let scope = (&request.head.organisation, &request.service.name, key);
    let digest = KeyDigest::of(&schema::encode(&scope));
    Ok(ClaimKey { digest, ticket })
}

/// Returns the response to a request whose claim was not granted.
fn response_for_decision(decision: Decision) -> CallerResponse {
    let refusal = match decision {
        Decision::Finished(StoredAnswer::Kept(data)) => {
            return match schema::decode::<Answer>(data.as_slice()) {
                Ok(answer) => CallerResponse::Answer { answer, replayed: true },
                Err(_) => refused(Refusal::unknown(RefusalReason::OutcomeUnknown, None)),
            };
        }
        Decision::Finished(StoredAnswer::NotKept) => Refusal {
            reason: RefusalReason::AnswerNotKept,
            outcome: crate::Outcome::Ran,
            retry_after: None,
        },
        Decision::Finished(StoredAnswer::Unknown) | Decision::Unknown => {
            Refusal::unknown(RefusalReason::OutcomeUnknown, None)
        }
        Decision::InProgress => {
            Refusal::unknown(RefusalReason::KeyInProgress, Some(IN_PROGRESS_RETRY_AFTER))
        }
        // This payload did not run; the one that the key was first used for may have.
        Decision::PayloadMismatch => Refusal::not_run(RefusalReason::KeyReused, None),
        Decision::Expired => Refusal::unknown(RefusalReason::KeyExpired, None),
        Decision::Unavailable(NotGranted::NotRun) => {
            Refusal::not_run(RefusalReason::ClaimsUnavailable, Some(UNAVAILABLE_RETRY_AFTER))
        }
        Decision::Unavailable(NotGranted::Unknown) => {
            Refusal::unknown(RefusalReason::ClaimsUnavailable, Some(UNAVAILABLE_RETRY_AFTER))
        }
        Decision::Granted => unreachable!("a granted claim leads to an attempt"),
    };
    refused(refusal)
}

fn refused(refusal: Refusal) -> CallerResponse {
    CallerResponse::Refusal(refusal)
}
