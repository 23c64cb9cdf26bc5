//! The admission of one service.

use ids::{FastMap, Millis, RequestId, Timestamp};
use schema::config_text::{Patience, Service};

use super::{
    AdmissionAction, AdmissionDecision, Completion, Offer,
    concurrency::ConcurrencyLimit,
    queue::{FairQueue, Waiting},
};

/// Longest wait of a prompt request in the queue.
const MAX_PROMPT_WAIT: Millis = Millis(1_000);

/// Shortest time after which a refused caller comes back.
const MIN_RETRY_AFTER: Millis = Millis(1_000);

/// Longest time after which a refused caller comes back.
pub(super) const MAX_RETRY_AFTER: Millis = Millis(30_000);

/// When the caller of a service without servers comes back.
const NO_SERVER_RETRY_AFTER: Millis = Millis(5_000);

/// Service time that is assumed before the first answer, in microseconds.
const INITIAL_SERVICE_MICROS: u64 = 100_000;

/// Share of a new service time in the moving average, in thousandths.
const SERVICE_GAIN_MILLI: u64 = 100;

/// The queue, limit and requests in flight of one service.
#[derive(Debug, Clone)]
pub(super) struct ServiceAdmission {
    patience: Patience,
    priority: u32,
    max_queued: u32,
    limit: ConcurrencyLimit,
    queue: FairQueue,
    started: FastMap<RequestId, Timestamp>,
    service_micros: u64,
}

impl Default for ServiceAdmission {
    fn default() -> Self {
        Self {
            patience: Patience::Prompt,
            priority: 0,
            max_queued: 0,
            limit: ConcurrencyLimit::default(),
            queue: FairQueue::default(),
            started: FastMap::default(),
            service_micros: INITIAL_SERVICE_MICROS,
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
        u32::try_from(self.started.len()).unwrap_or(u32::MAX)
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
        has_place: bool,
    ) -> AdmissionDecision {
        if has_place && self.queue.len() == 0 && self.in_flight() < self.limit.current() {
            self.started.insert(offer.request, now);
            return AdmissionDecision::Start;
        }
        if !self.queue.has_room(&offer.organisation, self.max_queued) {
            return AdmissionDecision::Refused { retry_after: self.retry_after() };
        }
        let expires = self.expiry(now, offer.deadline);
        if now + self.required_wait(&offer) >= expires {
            return AdmissionDecision::Refused { retry_after: self.retry_after() };
        }
        self.queue.push(offer.organisation, Waiting { request: offer.request, expires });
        AdmissionDecision::Queued
    }

    /// Starts the next request, or expires it when its time is over.
    pub(super) fn start_next(&mut self, now: Timestamp) -> Option<AdmissionAction> {
        if self.in_flight() >= self.limit.current() {
            return None;
        }
        let Waiting { request, expires } = self.queue.pop()?;
        if expires <= now {
            return Some(AdmissionAction::Expire { request, retry_after: self.retry_after() });
        }
        self.started.insert(request, now);
        Some(AdmissionAction::Start { request })
    }

    /// Notes the end of a started request; says whether it had been started.
    pub(super) fn finished(
        &mut self,
        now: Timestamp,
        request: RequestId,
        completion: Completion,
    ) -> bool {
        let in_flight = self.in_flight();
        let Some(started) = self.started.remove(&request) else { return false };
        match completion {
            Completion::Answered => {
                self.note_service_time(now.micros_since(started));
                self.limit.answered(in_flight);
            }
            Completion::Shed => self.limit.shed(now),
            Completion::Failed => {}
        }
        true
    }

    pub(super) fn shed(&mut self, now: Timestamp) {
        self.limit.shed(now);
    }

    /// Removes a request; says whether it had been started.
    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        if self.started.remove(&request).is_some() {
            return true;
        }
        self.queue.remove(request);
        false
    }

    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        self.expire_where(|waiting| waiting.expires <= now)
    }

    pub(super) fn expire_all(&mut self) -> Vec<AdmissionAction> {
        self.expire_where(|_| true)
    }

    fn expire_where(&mut self, matches: impl Fn(&Waiting) -> bool) -> Vec<AdmissionAction> {
        let retry_after = self.retry_after();
        let expired = self.queue.take_where(matches);
        expired
            .into_iter()
            .map(|waiting| AdmissionAction::Expire { request: waiting.request, retry_after })
            .collect()
    }

    /// The wait that has to fit before the expiry; a patient request takes any wait.
    fn required_wait(&self, offer: &Offer) -> Millis {
        match self.patience {
            Patience::Patient => Millis(0),
            Patience::Prompt => self.expected_wait(self.queue.ahead_of(&offer.organisation)),
        }
    }

    /// When a request is refused that has not started.
    fn expiry(&self, now: Timestamp, deadline: Timestamp) -> Timestamp {
        match self.patience {
            Patience::Patient => deadline,
            Patience::Prompt => deadline.min(now + MAX_PROMPT_WAIT),
        }
    }

    /// The time until a request starts that has `ahead` others before it.
    fn expected_wait(&self, ahead: u32) -> Millis {
        let limit = u64::from(self.limit.current());
        if limit == 0 {
            return MAX_PROMPT_WAIT;
        }
        Millis((u64::from(ahead) + 1) * self.service_micros / limit / 1_000)
    }

    /// When the present queue will have been worked off.
    fn retry_after(&self) -> Millis {
        if self.limit.current() == 0 {
            return NO_SERVER_RETRY_AFTER;
        }
        self.expected_wait(self.queue.len()).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn note_service_time(&mut self, micros: u64) {
        let known = self.service_micros * (1_000 - SERVICE_GAIN_MILLI);
        self.service_micros = (known + micros * SERVICE_GAIN_MILLI) / 1_000;
    }
}
