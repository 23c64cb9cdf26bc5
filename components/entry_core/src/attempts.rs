//! Chooses backend servers for requests and starts attempts on them.

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
    request::{InFlightAttempt, Phase},
};

impl EntryCore {
    /// Starts an attempt if the quarantine allows it; otherwise waits for its permit or refuses the
    /// request.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        match self.check_quarantine(now, wall, id) {
            QuarantineDecision::Allowed => self.send_to_best_server(now, wall, id),
            QuarantineDecision::Wait => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.phase = Phase::AwaitingPermit;
                    self.requests.reschedule(id);
                }
            }
            QuarantineDecision::Refused(refusal) => {
                self.refuse_quarantined(now, wall, id, refusal);
            }
        }
    }

    /// Sends the request to the best untried server, or waits or gives up if there is none.
    pub(crate) fn send_to_best_server(&mut self, now: Timestamp, wall: WallTime, id: RequestId) {
        match self.choose_server(now, id) {
            Some(server) => self.send_attempt(now, id, server),
            None => self.retry_or_give_up(now, wall, id, AttemptFailure::NotSent),
        }
    }

    pub(crate) fn choose_server(&mut self, now: Timestamp, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let candidates = self.candidates(&request.service.name);
        self.chooser.choose(now, &candidates, &request.tried_servers)
    }

    /// Returns the servers of a service that may receive an attempt.
    pub(crate) fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
        let rotation = self.health.rotation(service);
        let candidates = rotation.iter().filter_map(|entry| {
            let announcement = self.servers.get(&entry.server)?;
            let accepts_requests =
                matches!(announcement.state, ServerState::Serving | ServerState::Starting);
            accepts_requests.then(|| Candidate {
                server: entry.server.clone(),
                distance: self.distance(&announcement.data_centre),
                weight_milli: entry.weight,
                last_resort: entry.last_resort,
                slots: announcement.slots,
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

    /// Sends the request to the given server.
    pub(crate) fn send_attempt(&mut self, now: Timestamp, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(announcement) = self.servers.get(&server) else { return };
        let Some(state) = self.services.get(&request.service.name) else { return };
        let deadline =
            RetryPolicy.attempt_deadline(now, request.retry_request(), &request.attempts);
        let number = request.next_attempt;
        request.next_attempt = number.next();
        request.phase = Phase::Running;
        request.tried_servers.push(server.clone());
        request.hedge_at = match request.in_flight.is_empty() {
            true => state.hedge.hedge_at(now, request.service.idempotent, request.deadline),
            false => None,
        };
        request.in_flight.push(InFlightAttempt {
            number,
            server: server.clone(),
            started_at: now,
            deadline,
            overdue_at: now + self.health.overdue_after(&request.service.name),
            was_overdue: false,
        });
        self.counters.attempts += 1;
        self.actions.push(EntryAction::StartAttempt(AttemptStart {
            request: id,
            attempt: number,
            server: server.clone(),
            address: announcement.address,
            time_left: request.time_left(now).min(deadline.since(now)),
            max_response_bytes: request.service.max_response_bytes,
            may_reuse_connection: request.service.idempotent,
        }));
        self.chooser.started(now, &server);
        self.requests.reschedule(id);
    }
}
