//! Decides which requests start, wait or are refused.
//!
//! Each service has its own bounded queue and its own adaptive limit of requests in flight, so
//! that a busy service doesn't hold up another. Within a service, organisations take turns, and
//! one organisation may only take half of the free places of the queue. Freed places of the
//! entry host go to services by priority, but each service keeps a guaranteed part.

mod concurrency;
mod places;
mod queue;
mod service;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use ids::{FastMap, Millis, OrganisationName, RequestId, ServiceName, Timestamp};
use schema::config_text::Service;

use self::{places::Places, service::ServiceAdmission};

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

impl AdmissionAction {
    /// The request that the action is about.
    pub fn request(self) -> RequestId {
        match self {
            Self::Start { request } | Self::Expire { request, .. } => request,
        }
    }
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
    /// The services with queued requests, by falling priority.
    waiting: BTreeSet<WaitingService>,
    /// The services of all requests that are queued or in flight.
    requests: FastMap<RequestId, ServiceName>,
    places: Places,
}

/// A service with queued requests; the first in order is served first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingService {
    priority: Reverse<u32>,
    name: ServiceName,
}

impl Admission {
    /// Admission without services.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            waiting: BTreeSet::new(),
            requests: FastMap::default(),
            places: Places::default(),
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
        let actions = kept.into_values().flat_map(|mut removed| removed.expire_all()).collect();
        let services = &self.services;
        self.requests.retain(|_, service| services.contains_key(service));
        let in_flight = services.values().map(ServiceAdmission::in_flight);
        self.places = Places::new(self.settings.max_in_flight, in_flight);
        self.waiting.clear();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        names.iter().for_each(|name| self.update_waiting(name));
        actions
    }

    /// Notes how many slots the servers of `service` that are in rotation have together.
    pub fn set_slots(
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
        let Some(admission) = self.services.get_mut(&offer.service) else {
            return AdmissionDecision::Refused { retry_after: service::MAX_RETRY_AFTER };
        };
        let request = offer.request;
        let service = offer.service.clone();
        let used = admission.in_flight();
        let decision = admission.offer(now, offer, self.places.has_place(used));
        match decision {
            AdmissionDecision::Start => self.places.take(used),
            AdmissionDecision::Queued => self.update_waiting(&service),
            AdmissionDecision::Refused { .. } => return decision,
        }
        self.requests.insert(request, service);
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
        self.places.give_back(admission.in_flight());
        self.requests.remove(&request);
        self.start_queued(now)
    }

    /// Adapts the service's limit when an attempt was shed but its request goes on.
    pub fn record_shed(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(admission) = self.services.get_mut(service) {
            admission.shed(now);
        }
    }

    /// Removes a request whose caller has gone away, queued or started.
    pub fn cancel(&mut self, now: Timestamp, request: RequestId) -> Vec<AdmissionAction> {
        let Some(service) = self.requests.remove(&request) else { return Vec::new() };
        let Some(admission) = self.services.get_mut(&service) else { return Vec::new() };
        if admission.cancel(request) {
            self.places.give_back(admission.in_flight());
        }
        self.update_waiting(&service);
        self.start_queued(now)
    }

    /// Expires the requests that can't be answered in time and starts the ones that may start.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for WaitingService { name, .. } in self.waiting.clone() {
            let Some(admission) = self.services.get_mut(&name) else { continue };
            for action in admission.expire(now) {
                self.requests.remove(&action.request());
                actions.push(action);
            }
            self.update_waiting(&name);
        }
        actions.extend(self.start_queued(now));
        actions
    }

    /// The requests in flight over all services.
    pub fn in_flight(&self) -> u32 {
        self.places.in_flight()
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
        if self.waiting.is_empty() {
            return actions;
        }
        for WaitingService { name, .. } in self.waiting.clone() {
            while let Some(action) = self.start_next(now, &name) {
                actions.push(action);
            }
            self.update_waiting(&name);
        }
        actions
    }

    /// Starts or expires the next request of a service, if it has a place.
    fn start_next(&mut self, now: Timestamp, service: &ServiceName) -> Option<AdmissionAction> {
        let admission = self.services.get_mut(service)?;
        let used = admission.in_flight();
        if !self.places.has_place(used) {
            return None;
        }
        let action = admission.start_next(now)?;
        match action {
            AdmissionAction::Start { .. } => self.places.take(used),
            AdmissionAction::Expire { request, .. } => {
                self.requests.remove(&request);
            }
        }
        Some(action)
    }

    /// Notes whether a service has queued requests.
    fn update_waiting(&mut self, name: &ServiceName) {
        let Some(admission) = self.services.get(name) else { return };
        let waiting =
            WaitingService { priority: Reverse(admission.priority()), name: name.clone() };
        if admission.queued() > 0 {
            self.waiting.insert(waiting);
        } else {
            self.waiting.remove(&waiting);
        }
    }
}
