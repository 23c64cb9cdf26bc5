//! Takes a caller's request in, or refuses it before anything is sent.

use std::sync::Arc;

use ids::{OrganisationName, RequestId, ServiceName, Timestamp, WallTime};
use limits::{
    admission::{AdmissionAction, AdmissionDecision, Offer},
    organisations::LimitDecision,
};
use schema::config_text::Service;

use crate::{
    core::EntryCore,
    event::{KeyHeader, RequestHead},
    request::{Phase, Request},
    response::{Refusal, RefusalReason},
};

/// When callers come back while a host starts or a dependency cannot serve.
const OUTAGE_RETRY_AFTER: ids::Millis = ids::Millis(2_000);

impl EntryCore {
    pub(crate) fn on_request(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        head: RequestHead,
    ) {
        self.counters.received += 1;
        let service = match self.check_head(&head) {
            Ok(service) => service,
            Err(refusal) => return self.refuse_at_once(id, &head, refusal),
        };
        let is_idempotent = service.idempotent;
        self.requests.insert(id, Request::new(now, head, service));
        if is_idempotent {
            return self.offer(now, wall, id);
        }
        // The claim comes before all other checks: only with it is known whether an earlier send
        // of the key was run, so that a refusal may say `not-run`.
        self.begin_claim(now, wall, id);
    }

    /// Asks for a place among the requests in flight.
    pub(crate) fn offer(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.phase = Phase::Queued;
        let offer = Offer {
            request: id,
            service: request.service.name.clone(),
            organisation: request.head.organisation.clone(),
            deadline: request.deadline,
        };
        if let Err(refusal) = self.check_limits(now, &offer.service, &offer.organisation) {
            return self.refuse(now, wall, id, refusal);
        }
        match self.admission.offer(now, offer) {
            AdmissionDecision::Start => self.on_started(now, wall, id),
            AdmissionDecision::Queued => self.requests.reschedule(id),
            AdmissionDecision::Refused { retry_after } => {
                let refusal = Refusal::not_run(RefusalReason::Busy, Some(retry_after));
                self.refuse(now, wall, id, refusal);
            }
        }
    }

    pub(crate) fn on_admission(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        actions: Vec<AdmissionAction>,
    ) {
        for action in actions {
            match action {
                AdmissionAction::Start { request } => self.on_started(now, wall, request),
                AdmissionAction::Expire { request, retry_after } => {
                    let refusal = Refusal::not_run(RefusalReason::Busy, Some(retry_after));
                    self.refuse(now, wall, request, refusal);
                }
            }
        }
    }

    /// The service that the request is for.
    fn check_head(&self, head: &RequestHead) -> Result<Arc<Service>, Refusal> {
        if self.config.is_none() {
            let reason = RefusalReason::NoConfiguration;
            return Err(Refusal::not_run(reason, Some(OUTAGE_RETRY_AFTER)));
        }
        let name = self.routes.lookup(&head.host, &head.path);
        let Some(state) = name.and_then(|it| self.services.get(it)) else {
            return Err(Refusal::not_run(RefusalReason::UnknownRoute, None));
        };
        let service = &state.service;
        if head.body_size > service.max_request_bytes {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge, None));
        }
        match &head.key {
            KeyHeader::Missing if !service.idempotent => {
                Err(Refusal::not_run(RefusalReason::MissingKey, None))
            }
            KeyHeader::Malformed if !service.idempotent => {
                Err(Refusal::not_run(RefusalReason::MalformedKey, None))
            }
            KeyHeader::Missing | KeyHeader::Malformed | KeyHeader::Given(_) => Ok(service.clone()),
        }
    }

    fn check_limits(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        organisation: &OrganisationName,
    ) -> Result<(), Refusal> {
        if let LimitDecision::Refused { retry_after } = self.organisations.check(now, organisation)
        {
            return Err(Refusal::not_run(RefusalReason::OverLimit, Some(retry_after)));
        }
        if let Some(dependency) = self.dependencies.blocked_by(now, service) {
            let reason = RefusalReason::DependencyUnable(dependency.clone());
            return Err(Refusal::not_run(reason, Some(OUTAGE_RETRY_AFTER)));
        }
        Ok(())
    }

    fn on_started(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.admitted = true;
        if let Some(state) = self.services.get_mut(&request.service.name) {
            state.budget.record_first_attempt(now);
        }
        self.start_attempt(now, wall, id);
    }
}
