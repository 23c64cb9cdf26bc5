//! Admission control of one service.

use ids::{FastMap, Millis, RequestId, Timestamp};
use schema::config_text::{Patience, Service};

use super::{
    AdmissionAction, AdmissionDecision, Completion, Offer,
    concurrency::ConcurrencyLimit,
    queue::{FairQueue, QueuedRequest},
};

/// Longest time that a prompt request may spend in the queue.
const MAX_PROMPT_WAIT: Millis = Millis(1_000);

/// Shortest delay after which a refused caller should retry.
const MIN_RETRY_AFTER: Millis = Millis(1_000);

/// Longest delay after which a refused caller should retry.
pub(super) const MAX_RETRY_AFTER: Millis = Millis(30_000);

/// Delay after which the caller of a service without servers should retry.
const NO_SERVER_RETRY_AFTER: Millis = Millis(5_000);

/// Service time assumed before the first response, in microseconds.
const INITIAL_SERVICE_TIME_MICROS: u64 = 100_000;

/// Weight of a new service time in the EWMA, in thousandths.
const SERVICE_TIME_WEIGHT_MILLI: u64 = 100;

/// The queue, concurrency limit and requests in flight of one service.
#[derive(Debug, Clone)]
pub(super) struct ServiceAdmission {
    patience: Patience,
    priority: u32,
    max_queued: u32,
    limit: ConcurrencyLimit,
    queue: FairQueue,
    /// When each request in flight was started.
    started_at: FastMap<RequestId, Timestamp>,
    /// EWMA of the time from the start to the answer, in microseconds.
    service_time_micros: u64,
}

impl Default for ServiceAdmission {
    fn default() -> Self {
        Self {
            patience: Patience::Prompt,
            priority: 0,
            max_queued: 0,
            limit: ConcurrencyLimit::default(),
            queue: FairQueue::default(),
            started_at: FastMap::default(),
            service_time_micros: INITIAL_SERVICE_TIME_MICROS,
        }
    }
}

impl ServiceAdmission {
    pub(super) fn configure(&mut self, service: &Service, max_queued: u32) {
        self.patience = service.patience;
        self.priority = service.priority;
        self.max_queued = max_queued;
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.limit.set_slots(slots);
    }

    pub(super) fn priority(&self) -> u32 {
        self.priority
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.started_at.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn queued(&self) -> u32 {
        self.queue.len()
    }

    pub(super) fn limit(&self) -> u32 {
        self.limit.current()
    }

    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        offer: Offer,
        has_permit: bool,
    ) -> AdmissionDecision {
        if has_permit && self.queue.len() == 0 && self.in_flight() < self.limit.current() {
            self.started_at.insert(offer.request, now);
            return AdmissionDecision::Start;
        }
        if !self.queue.has_room(&offer.organisation, self.max_queued) {
            return AdmissionDecision::Refused { retry_after: self.retry_after() };
        }
        let expires_at = self.expires_at(now, offer.deadline);
        if now + self.required_wait(&offer) >= expires_at {
            return AdmissionDecision::Refused { retry_after: self.retry_after() };
        }
        self.queue.push(offer.organisation, QueuedRequest { request: offer.request, expires_at });
        AdmissionDecision::Queued
    }

    /// Starts the next queued request, or expires it if its time is over.
    pub(super) fn start_next(&mut self, now: Timestamp) -> Option<AdmissionAction> {
        if self.in_flight() >= self.limit.current() {
            return None;
        }
        let QueuedRequest { request, expires_at } = self.queue.pop()?;
        if expires_at <= now {
            return Some(AdmissionAction::Expire { request, retry_after: self.retry_after() });
        }
        self.started_at.insert(request, now);
        Some(AdmissionAction::Start { request })
    }

    /// Records the end of a request; returns whether it had been started.
    pub(super) fn finished(
        &mut self,
        now: Timestamp,
        request: RequestId,
        completion: Completion,
    ) -> bool {
        let in_flight = self.in_flight();
        let Some(started) = self.started_at.remove(&request) else { return false };
        match completion {
            Completion::Answered => {
                self.record_service_time(now.micros_since(started));
                self.limit.record_answer(in_flight);
            }
            Completion::Shed => self.limit.record_shed(now),
            Completion::Failed => {}
        }
        true
    }

    pub(super) fn record_shed(&mut self, now: Timestamp) {
        self.limit.record_shed(now);
    }

    /// Removes a request; returns whether it had been started.
    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        if self.started_at.remove(&request).is_some() {
            return true;
        }
        self.queue.remove(request);
        false
    }

    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        self.expire_where(|queued| queued.expires_at <= now)
    }

    pub(super) fn expire_all(&mut self) -> Vec<AdmissionAction> {
        self.expire_where(|_| true)
    }

    fn expire_where(&mut self, matches: impl Fn(&QueuedRequest) -> bool) -> Vec<AdmissionAction> {
        let retry_after = self.retry_after();
        let expired = self.queue.remove_where(matches);
        expired
            .into_iter()
            .map(|queued| AdmissionAction::Expire { request: queued.request, retry_after })
            .collect()
    }

    /// Returns the wait that must fit before the request expires; none for patient requests.
    fn required_wait(&self, offer: &Offer) -> Millis {
        match self.patience {
            Patience::Patient => Millis(0),
            Patience::Prompt => self.expected_wait(self.queue.ahead_of(&offer.organisation)),
        }
    }

    /// Returns when a queued request is refused unless it has started.
    fn expires_at(&self, now: Timestamp, deadline: Timestamp) -> Timestamp {
        match self.patience {
            Patience::Patient => deadline,
            Patience::Prompt => deadline.min(now + MAX_PROMPT_WAIT),
        }
    }

    /// Estimates the time until a request with `ahead` others before it starts.
    fn expected_wait(&self, ahead: u32) -> Millis {
        let limit = u64::from(self.limit.current());
        if limit == 0 {
            return MAX_PROMPT_WAIT;
        }
        Millis((u64::from(ahead) + 1) * self.service_time_micros / limit / 1_000)
    }

    /// Returns the delay for refused callers: the estimated time until the queue is empty.
    fn retry_after(&self) -> Millis {
        if self.limit.current() == 0 {
            return NO_SERVER_RETRY_AFTER;
        }
        self.expected_wait(self.queue.len()).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn record_service_time(&mut self, micros: u64) {
        let previous = self.service_time_micros * (1_000 - SERVICE_TIME_WEIGHT_MILLI);
        self.service_time_micros = (previous + micros * SERVICE_TIME_WEIGHT_MILLI) / 1_000;
    }
}
