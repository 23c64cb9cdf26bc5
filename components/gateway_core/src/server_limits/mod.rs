//! Limits that backend servers name, and that hold for all gateways together.
//!
//! A request is sent to such a server only with a permit, which one gateway grants: the grantor of the
//! server. The right to grant is a lease from a majority of the control hosts, so that a server never
//! has two grantors, whatever the gateways believe of each other; see [`grantor`]. A permit that is
//! lost or expires is wasted and never used twice.
//!
//! Load patterns:
//!
//! - *One server of many names a low limit.* Requests go elsewhere, except for those that the limit
//!   allows.
//! - *All servers of a service name limits.* Requests wait for a permit if one is free soon. The others
//!   are refused at once and told to return at the rate at which permits become free.
//! - *Far more requests than the limits allow, and slow answers.* A request is denied one permit after
//!   the other, since others were faster. The time that it spends on permits is limited in all.
//! - *The grantor is gone, or no majority of the control hosts can be reached.* The server gets nothing
//!   until there is a grantor again.

mod grantor;

use ids::{FastMap, HostId, LimitRate, Millis, PermitNumber, RequestId, ServiceName, Timestamp};
use schema::server_limit::{
    LimitLeaseAnswer, PermitAnswer, PermitAsk, PermitOutcome, ServerLimitMessage,
};

use crate::servers::{ServerKey, notices::KnownLimit};
use grantor::Grantor;

/// Time without an answer after which a grantor counts as gone: a round trip to the farthest region
/// and some time on busy links.
const ASK_TIMEOUT: Millis = Millis(150);

/// Time for which a server is closed after its grantor did not answer.
const NO_ANSWER_BACKOFF: Millis = Millis(500);

/// Time for which a permit may be used.
const PERMIT_LIFETIME: Millis = Millis(300);

/// Maximum time that a request of the most urgent routes waits for a permit, and that any other one
/// waits. Under too much load urgent requests get the permits, since they may be reserved longer
/// before.
const MAX_PERMIT_WAIT_URGENT: Millis = Millis(600);
const MAX_PERMIT_WAIT: Millis = Millis(300);

/// Part of the target latency that a request may spend on permits in all, if that is longer than one
/// wait. The rest is for the last answer and the response.
const PERMIT_SEARCH_SHARE: f64 = 2.0 / 3.0;

/// Longest time after which refused callers are told to return.
const MAX_RETURN_TIME: Millis = Millis(30_000);

/// Lowest limit that is enforced, so that a server that names less still gets the requests whose
/// responses show when the limit ends.
const MIN_RATE: LimitRate = LimitRate(100);

/// Whether an attempt may be sent to a limited server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitDecision {
    /// The request has a permit, which must be taken when the attempt is sent.
    Ready,
    /// Decide again when the request is woken, or then.
    Wait(Timestamp),
    /// There is no permit, and none before this time.
    Denied(Timestamp),
}

/// A permit for one request; it may be for a later time.
#[derive(Debug, Clone, Copy)]
struct Permit {
    key: ServerKey,
    usable_from: Timestamp,
    usable_until: Timestamp,
}

/// An ask that was sent to a grantor.
#[derive(Debug, Clone, Copy)]
struct Ask {
    number: PermitNumber,
    key: ServerKey,
    sent_at: Timestamp,
}

/// How far a request has got in its wait for a permit.
#[derive(Debug, Clone, Copy)]
enum PermitState {
    Asked(Ask),
    Granted(Permit),
    Denied(ServerKey, Timestamp),
}

/// A request that needs a permit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PermitRequest {
    pub(crate) request: RequestId,
    pub(crate) key: ServerKey,
    pub(crate) limit: KnownLimit,
    pub(crate) max_wait: Millis,
    /// The gateway that should grant it.
    pub(crate) grantor: HostId,
}

/// The permits of this gateway's requests, and those that it grants to others.
#[derive(Debug)]
pub(crate) struct ServerLimits {
    own_host: HostId,
    states: FastMap<RequestId, PermitState>,
    next_number: PermitNumber,
    grantor: Grantor,
    /// When the next refused caller of a service is told to return.
    next_return: FastMap<ServiceName, Timestamp>,
    messages: Vec<(HostId, ServerLimitMessage)>,
}

impl ServerLimits {
    pub(crate) fn new(own_host: HostId) -> Self {
        Self {
            own_host,
            states: FastMap::default(),
            next_number: PermitNumber(1),
            grantor: Grantor::default(),
            next_return: FastMap::default(),
            messages: Vec::new(),
        }
    }

    /// Returns how long a request of a route with this priority may wait for a permit.
    pub(crate) fn max_wait(priority: u32, time_left: Millis) -> Millis {
        let max_wait = if priority == 0 { MAX_PERMIT_WAIT_URGENT } else { MAX_PERMIT_WAIT };
        max_wait.min(time_left)
    }

    /// Returns how long a request of a route with this priority and target latency may spend on
    /// permits in all: asks, and waits for permits and for servers without any.
    pub(crate) fn max_search(priority: u32, target_latency: Millis) -> Millis {
        let share = Millis((target_latency.0 as f64 * PERMIT_SEARCH_SHARE) as u64);
        share.max(Self::max_wait(priority, Millis(u64::MAX)))
    }

    /// Sets the control hosts of which a majority grants leases.
    pub(crate) fn set_control_hosts(&mut self, control_hosts: Vec<HostId>) {
        self.grantor.set_control_hosts(control_hosts);
    }

    /// Returns the server for which a request has asked, as long as that matters.
    pub(crate) fn pending_server(&self, now: Timestamp, request: RequestId) -> Option<ServerKey> {
        match self.states.get(&request)? {
            PermitState::Asked(it) => Some(it.key),
            PermitState::Granted(it) => (now < it.usable_until).then_some(it.key),
            PermitState::Denied(key, _) => Some(*key),
        }
    }

    /// Decides whether a request may be sent to a limited server.
    pub(crate) fn decide(&mut self, now: Timestamp, needed: &PermitRequest) -> PermitDecision {
        let state = self.states.get(&needed.request).copied();
        match state.filter(|it| it.key() == needed.key) {
            Some(PermitState::Granted(it)) if now < it.usable_from => {
                return PermitDecision::Wait(it.usable_from);
            }
            Some(PermitState::Granted(it)) if now < it.usable_until => {
                return PermitDecision::Ready;
            }
            Some(PermitState::Granted(_)) => {}
            Some(PermitState::Denied(_, until)) => {
                self.states.remove(&needed.request);
                return PermitDecision::Denied(until);
            }
            Some(PermitState::Asked(it)) => {
                let timeout = it.sent_at + ASK_TIMEOUT;
                if now < timeout {
                    return PermitDecision::Wait(timeout);
                }
                self.states.remove(&needed.request);
                return PermitDecision::Denied(now + NO_ANSWER_BACKOFF);
            }
            None => {}
        }
        self.ask(now, needed)
    }

    fn ask(&mut self, now: Timestamp, needed: &PermitRequest) -> PermitDecision {
        let number = self.next_number;
        self.next_number = number.next();
        let ask = Ask { number, key: needed.key, sent_at: now };
        self.states.insert(needed.request, PermitState::Asked(ask));
        if needed.grantor == self.own_host {
            let rate = needed.limit.rate;
            let outcome = self.grant(now, needed.key, rate, needed.max_wait);
            self.record_outcome(now, number, &outcome);
            return self.decide(now, needed);
        }
        let ServerKey { address, incarnation } = needed.key;
        let limit = needed.limit.to_message(now);
        let max_wait_ms = needed.max_wait;
        let ask = PermitAsk { number, address, incarnation, limit, max_wait_ms };
        self.messages.push((needed.grantor, ServerLimitMessage::PermitAsk(ask)));
        PermitDecision::Wait(now + ASK_TIMEOUT)
    }

    /// Takes the permit of a request for a server; returns whether it has one that may be used now.
    pub(crate) fn take_permit(
        &mut self,
        now: Timestamp,
        request: RequestId,
        key: ServerKey,
    ) -> bool {
        match self.states.get(&request) {
            Some(PermitState::Granted(it)) if it.key == key => {
                let is_usable = it.usable_from <= now && now < it.usable_until;
                self.states.remove(&request);
                is_usable
            }
            _ => false,
        }
    }

    /// Forgets a request that has ended; a permit that it holds is wasted.
    pub(crate) fn forget(&mut self, request: RequestId) {
        self.states.remove(&request);
    }

    /// Grants a permit for a server or denies it.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        rate: LimitRate,
        max_wait: Millis,
    ) -> PermitOutcome {
        let rate = rate.max(MIN_RATE);
        self.grantor.grant(now, key, rate, max_wait, &mut self.next_number, &mut self.messages)
    }

    /// Answers a permit ask of another gateway.
    pub(crate) fn answer(&mut self, to: HostId, number: PermitNumber, outcome: PermitOutcome) {
        let answer = PermitAnswer { number, outcome };
        self.messages.push((to, ServerLimitMessage::PermitAnswer(answer)));
    }

    /// Records the answer to a permit ask; returns the request that asked and the server.
    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        number: PermitNumber,
        outcome: &PermitOutcome,
    ) -> Option<(RequestId, ServerKey)> {
        let is_asked =
            |it: &PermitState| matches!(it, PermitState::Asked(ask) if ask.number == number);
        let (request, state) = self.states.iter_mut().find(|(_, it)| is_asked(it))?;
        let (request, key) = (*request, state.key());
        let PermitState::Asked(ask) = *state else { return None };
        match outcome {
            PermitOutcome::Granted(usable_in) => {
                // Counted from the ask: the permit must not outlive the pace that allowed it.
                let usable_until = ask.sent_at + Millis(usable_in.0 + PERMIT_LIFETIME.0);
                let usable_from = now + *usable_in;
                *state = PermitState::Granted(Permit { key, usable_from, usable_until });
            }
            PermitOutcome::Denied(free_in) => *state = PermitState::Denied(key, now + *free_in),
            PermitOutcome::Unlimited(_) => {
                self.states.remove(&request);
            }
        }
        Some((request, key))
    }

    /// Records a control host's answer to a lease ask; returns the server if this gateway has become
    /// its grantor.
    pub(crate) fn on_lease_answer(
        &mut self,
        now: Timestamp,
        from: HostId,
        answer: &LimitLeaseAnswer,
    ) -> Option<ServerKey> {
        self.grantor.on_lease_answer(now, from, answer, &mut self.messages)
    }

    /// Returns when a caller that is refused should return; callers return one after the other, at
    /// the rate of this gateway's part of the limits of all servers of the service.
    ///
    /// `free_in` is the time until the next permit.
    pub(crate) fn return_time(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        free_in: Millis,
        total: LimitRate,
        gateways: usize,
    ) -> Millis {
        let earliest = now + free_in;
        let at = self.next_return.get(service).copied().unwrap_or_default().max(earliest);
        let at = at.min(now + MAX_RETURN_TIME);
        let interval = 1_000_000 * gateways.max(1) as u64 / total.max(MIN_RATE).0;
        self.next_return.insert(service.clone(), at + Millis(interval));
        at.since(now).max(Millis(1))
    }

    /// Takes the pending messages for other hosts.
    pub(crate) fn take_messages(&mut self) -> Vec<(HostId, ServerLimitMessage)> {
        std::mem::take(&mut self.messages)
    }
}

impl PermitState {
    fn key(&self) -> ServerKey {
        match self {
            Self::Asked(it) => it.key,
            Self::Granted(it) => it.key,
            Self::Denied(key, _) => *key,
        }
    }
}
