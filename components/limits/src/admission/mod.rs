//! Admission control: decides which requests start, wait or are refused.
//!
//! Each service has its own bounded queue and adaptive concurrency limit, so that a busy service
//! doesn't delay others. Within a service, organisations take turns, and an organisation may use at
//! most half of the queue that others leave free. Free permits of the entry host go to services by
//! priority, but each service is guaranteed some.

mod concurrency;
mod permits;
mod queue;
mod service;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use ids::{FastMap, Millis, OrganisationName, RequestId, ServiceName, Timestamp};
use schema::config_text::Service;

use self::{permits::PermitPool, service::ServiceAdmission};

/// The limits of one entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of requests in flight, over all services.
    pub max_in_flight: u32,
    /// Maximum number of requests in the queue of one service.
    pub max_queued: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_in_flight: 2_000, max_queued: 500 }
    }
}

/// A request that is offered for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Id of the request.
    pub request: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// The decision on an [`Offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start the request now, and call [`Admission::finished`] or [`Admission::cancel`] at its end.
    Start,
    /// The request waits for an [`AdmissionAction`].
    Queued,
    /// The request is refused and did not run.
    Refused {
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
}

/// What to do with a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start the request now, and call [`Admission::finished`] or [`Admission::cancel`] at its end.
    Start {
        /// Id of the request.
        request: RequestId,
    },
    /// Refuse the request, which did not run.
    Expire {
        /// Id of the request.
        request: RequestId,
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
}

impl AdmissionAction {
    /// Returns the request that the action applies to.
    pub fn request(self) -> RequestId {
        match self {
            Self::Start { request } | Self::Expire { request, .. } => request,
        }
    }
}

/// What a finished request says about the load of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// A server answered the request.
    Answered,
    /// A server shed the request.
    Shed,
    /// The request failed or timed out.
    Failed,
}

/// Admission control of one entry host.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: AdmissionSettings,
    services: BTreeMap<ServiceName, ServiceAdmission>,
    /// Services with queued requests, highest priority first.
    queued_services: BTreeSet<QueuedService>,
    /// Service of each request that is queued or in flight.
    requests: FastMap<RequestId, ServiceName>,
    permits: PermitPool,
}

/// A service with queued requests; the order of the fields sorts by falling priority.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedService {
    priority: Reverse<u32>,
    name: ServiceName,
}

impl Admission {
    /// Returns an admission control without services.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            queued_services: BTreeSet::new(),
            requests: FastMap::default(),
            permits: PermitPool::default(),
        }
    }

    /// Applies a new configuration; queued requests of removed services expire.
    pub fn configure(&mut self, services: &[Service]) -> Vec<AdmissionAction> {
        let mut previous = std::mem::take(&mut self.services);
        for service in services {
            let mut admission = previous.remove(&service.name).unwrap_or_default();
            admission.configure(service, self.settings.max_queued);
            self.services.insert(service.name.clone(), admission);
        }
        let actions = previous.into_values().flat_map(|mut removed| removed.expire_all()).collect();
        let services = &self.services;
        self.requests.retain(|_, service| services.contains_key(service));
        let in_flight = services.values().map(ServiceAdmission::in_flight);
        self.permits = PermitPool::new(self.settings.max_in_flight, in_flight);
        self.queued_services.clear();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        names.iter().for_each(|name| self.update_queued_service(name));
        actions
    }

    /// Sets the total slots of the servers of `service` in rotation, and starts what they allow.
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

    /// Decides on a request; requests of unknown services are refused.
    pub fn offer(&mut self, now: Timestamp, offer: Offer) -> AdmissionDecision {
        let Some(admission) = self.services.get_mut(&offer.service) else {
            return AdmissionDecision::Refused { retry_after: service::MAX_RETRY_AFTER };
        };
        let request = offer.request;
        let service = offer.service.clone();
        let in_flight = admission.in_flight();
        let decision = admission.offer(now, offer, self.permits.has_permit(in_flight));
        match decision {
            AdmissionDecision::Start => self.permits.acquire(in_flight),
            AdmissionDecision::Queued => self.update_queued_service(&service),
            AdmissionDecision::Refused { .. } => return decision,
        }
        self.requests.insert(request, service);
        decision
    }

    /// Records the end of a started request and starts queued ones that may follow.
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
        self.permits.release(admission.in_flight());
        self.requests.remove(&request);
        self.start_queued(now)
    }

    /// Lowers the limit of a service after a server shed an attempt of a request that is retried.
    pub fn record_shed(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(admission) = self.services.get_mut(service) {
            admission.record_shed(now);
        }
    }

    /// Removes a queued or started request that ends without a completion, for example because its
    /// caller has disconnected.
    pub fn cancel(&mut self, now: Timestamp, request: RequestId) -> Vec<AdmissionAction> {
        let Some(service) = self.requests.remove(&request) else { return Vec::new() };
        let Some(admission) = self.services.get_mut(&service) else { return Vec::new() };
        if admission.cancel(request) {
            self.permits.release(admission.in_flight());
        }
        self.update_queued_service(&service);
        self.start_queued(now)
    }

    /// Expires queued requests whose time is over, and starts those that may start.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for QueuedService { name, .. } in self.queued_services.clone() {
            let Some(admission) = self.services.get_mut(&name) else { continue };
            for action in admission.expire(now) {
                self.requests.remove(&action.request());
                actions.push(action);
            }
            self.update_queued_service(&name);
        }
        actions.extend(self.start_queued(now));
        actions
    }

    /// Returns the number of requests in flight over all services.
    pub fn in_flight(&self) -> u32 {
        self.permits.in_flight()
    }

    /// Returns the number of queued requests of `service`.
    pub fn queued(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceAdmission::queued)
    }

    /// Returns how many requests `service` may have in flight now.
    pub fn limit(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceAdmission::limit)
    }

    fn start_queued(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if self.queued_services.is_empty() {
            return actions;
        }
        for QueuedService { name, .. } in self.queued_services.clone() {
            while let Some(action) = self.start_next(now, &name) {
                actions.push(action);
            }
            self.update_queued_service(&name);
        }
        actions
    }

    /// Starts or expires the next queued request of a service, if a permit is available.
    fn start_next(&mut self, now: Timestamp, service: &ServiceName) -> Option<AdmissionAction> {
        let admission = self.services.get_mut(service)?;
        let in_flight = admission.in_flight();
        if !self.permits.has_permit(in_flight) {
            return None;
        }
        let action = admission.start_next(now)?;
        match action {
            AdmissionAction::Start { .. } => self.permits.acquire(in_flight),
            AdmissionAction::Expire { request, .. } => {
                self.requests.remove(&request);
            }
        }
        Some(action)
    }

    /// Adds a service to `queued_services` if it has queued requests, or else removes it.
    fn update_queued_service(&mut self, name: &ServiceName) {
        let Some(admission) = self.services.get(name) else { return };
        let queued_service =
            QueuedService { priority: Reverse(admission.priority()), name: name.clone() };
        if admission.queued() > 0 {
            self.queued_services.insert(queued_service);
        } else {
            self.queued_services.remove(&queued_service);
        }
    }
}
