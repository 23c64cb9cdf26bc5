//! Decides which requests start, wait or are refused.
//!
//! Each service has its own bounded queue and its own adaptive limit of requests in flight, so
//! that a busy service doesn't hold up another. Within a service, organisations take turns, and
//! one organisation may only take half of the free places of the queue. Freed places of the
//! entry host go to services by priority, but each service keeps a guaranteed part.

mod concurrency;
mod queue;
mod service;

use std::collections::BTreeMap;

use ids::{FastMap, Millis, OrganisationName, RequestId, ServiceName, Timestamp};
use schema::config_text::Service;

use self::service::ServiceAdmission;

/// Bounds of one entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests that this entry host has in flight, over all services.
    pub max_in_flight: u32,
    /// Requests that wait in the queue of one service.
    pub max_queued: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_in_flight: 2_000, max_queued: 500 }
    }
}

/// A request that asks to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The request.
    pub request: RequestId,
    /// Its service.
    pub service: ServiceName,
    /// The organisation of its caller.
    pub organisation: OrganisationName,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
}

/// The answer to an [`Offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start now; [`Admission::finished`] has to follow.
    Start,
    /// Wait for an action.
    Queued,
    /// Refused without having run.
    Refused {
        /// When the caller should come back.
        retry_after: Millis,
    },
}

/// What becomes of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start now; [`Admission::finished`] has to follow.
    Start {
        /// The request.
        request: RequestId,
    },
    /// Refuse; it did not run.
    Expire {
        /// The request.
        request: RequestId,
        /// When the caller should come back.
        retry_after: Millis,
    },
}

/// What a finished request says about the load of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// It was answered.
    Answered,
    /// A server shed it.
    Shed,
    /// It failed or timed out.
    Failed,
}

/// The admission of one entry host.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: AdmissionSettings,
    services: BTreeMap<ServiceName, ServiceAdmission>,
    /// Names by falling priority.
    by_priority: Vec<ServiceName>,
    /// The services of all requests that are queued or in flight.
    requests: FastMap<RequestId, ServiceName>,
    in_flight: u32,
}

impl Admission {
    /// Admission without services.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            by_priority: Vec::new(),
            requests: FastMap::default(),
            in_flight: 0,
        }
    }

    /// Takes a new configuration; requests of services that are gone expire.
    pub fn configure(&mut self, services: &[Service]) -> Vec<AdmissionAction> {
        let mut kept = std::mem::take(&mut self.services);
        for service in services {
            let mut admission = kept.remove(&service.name).unwrap_or_default();
            admission.configure(service, self.settings.max_queued);
            self.services.insert(service.name.clone(), admission);
        }
        let mut by_priority: Vec<&Service> = services.iter().collect();
        by_priority.sort_by(|a, b| b.priority.cmp(&a.priority).then(a.name.cmp(&b.name)));
        self.by_priority = by_priority.iter().map(|service| service.name.clone()).collect();

        let mut actions = Vec::new();
        for mut removed in kept.into_values() {
            self.in_flight -= removed.in_flight();
            actions.extend(removed.expire_all());
        }
        actions.iter().for_each(|&action| self.note(action));
        let services = &self.services;
        self.requests.retain(|_, service| services.contains_key(service));
        actions
    }

    /// Notes how many slots the servers of `service` that are in rotation have together.
    pub fn capacity(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        slots: u32,
    ) -> Vec<AdmissionAction> {
        if let Some(admission) = self.services.get_mut(service) {
            admission.set_slots(slots);
        }
        self.start_queued(now)
    }

    /// Decides on a request; an unknown service is refused.
    pub fn offer(&mut self, now: Timestamp, offer: Offer) -> AdmissionDecision {
        let has_place = self.has_place(&offer.service);
        let Some(admission) = self.services.get_mut(&offer.service) else {
            return AdmissionDecision::Refused { retry_after: service::MAX_RETRY_AFTER };
        };
        let request = offer.request;
        let service = offer.service.clone();
        let decision = admission.offer(now, offer, has_place);
        match decision {
            AdmissionDecision::Start => {
                self.in_flight += 1;
                self.requests.insert(request, service);
            }
            AdmissionDecision::Queued => {
                self.requests.insert(request, service);
            }
            AdmissionDecision::Refused { .. } => {}
        }
        decision
    }

    /// Notes the end of a started request and starts the ones that may follow.
    pub fn finished(
        &mut self,
        now: Timestamp,
        request: RequestId,
        completion: Completion,
    ) -> Vec<AdmissionAction> {
        let Some(service) = self.requests.get(&request) else { return Vec::new() };
        let Some(admission) = self.services.get_mut(service) else { return Vec::new() };
        if !admission.finished(now, request, completion) {
            return Vec::new();
        }
        self.requests.remove(&request);
        self.in_flight -= 1;
        self.start_queued(now)
    }

    /// Adapts the service's limit when an attempt was shed but its request goes on.
    pub fn shed(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(admission) = self.services.get_mut(service) {
            admission.shed(now);
        }
    }

    /// Removes a request whose caller has gone away, queued or started.
    pub fn cancel(&mut self, now: Timestamp, request: RequestId) -> Vec<AdmissionAction> {
        let Some(service) = self.requests.remove(&request) else { return Vec::new() };
        let Some(admission) = self.services.get_mut(&service) else { return Vec::new() };
        if admission.cancel(request) {
            self.in_flight -= 1;
        }
        self.start_queued(now)
    }

    /// Expires the requests that can't be answered in time and starts the ones that may start.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for admission in self.services.values_mut() {
            actions.extend(admission.expire(now));
        }
        actions.iter().for_each(|&action| self.note(action));
        actions.extend(self.start_queued(now));
        actions
    }

    /// The requests in flight over all services.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The requests that wait for `service`.
    pub fn queued(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceAdmission::queued)
    }

    /// The requests that `service` may have in flight now.
    pub fn limit(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceAdmission::limit)
    }

    fn start_queued(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for name in self.by_priority.clone() {
            while self.has_place(&name) {
                let Some(admission) = self.services.get_mut(&name) else { break };
                let Some(action) = admission.start_next(now) else { break };
                self.note(action);
                actions.push(action);
            }
        }
        actions
    }

    /// Whether the entry host has a place for one more request of the service.
    fn has_place(&self, service: &ServiceName) -> bool {
        let Some(admission) = self.services.get(service) else { return false };
        let guaranteed = self.guaranteed();
        if admission.in_flight() < guaranteed {
            return true;
        }
        let owed: u32 = self
            .services
            .values()
            .map(|admission| guaranteed.saturating_sub(admission.in_flight()))
            .sum();
        self.in_flight + owed < self.settings.max_in_flight
    }

    /// The places that each service can always have.
    fn guaranteed(&self) -> u32 {
        let services = u32::try_from(self.services.len()).unwrap_or(u32::MAX).max(1);
        (self.settings.max_in_flight / 2 / services).max(1)
    }

    fn note(&mut self, action: AdmissionAction) {
        match action {
            AdmissionAction::Start { .. } => self.in_flight += 1,
            AdmissionAction::Expire { request, .. } => {
                self.requests.remove(&request);
            }
        }
    }
}
