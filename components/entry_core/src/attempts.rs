//! Attempts on backend servers: which server a request is sent to.

use ids::{RequestId, ServerId, ServiceName, Timestamp, WallTime};
use limits::{
    quarantine::QuarantineDecision,
    retry::{AttemptFailure, RetryPolicy},
};
use routing::{Candidate, Distance};
use schema::announcement::ServerState;

use crate::{
    core::EntryCore,
    event::{AttemptStart, EntryAction},
    request::{LiveAttempt, Phase},
};

impl EntryCore {
    /// Sends the request to a server, or decides what to do without one.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        match self.check_quarantine(now, wall, id) {
            QuarantineDecision::Allowed => self.send_to_any(now, wall, id),
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

    pub(crate) fn choose_server(&mut self, now: Timestamp, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let candidates = self.candidates(&request.service.name);
        self.chooser.choose(now, &candidates, &request.tried)
    }

    /// The servers of a service that may take an attempt.
    pub(crate) fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
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

    pub(crate) fn send_attempt(&mut self, now: Timestamp, id: RequestId, server: ServerId) {
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
}
