//! Passes requests on to other gateways while this one's paths to the backend servers are down, and
//! accepts those of others.

use std::net::SocketAddr;

use ids::{AttemptNumber, HostId, Incarnation, Millis, RequestId, ServiceName, Timestamp};
use rand_xoshiro::rand_core::RngCore;

use super::{Gateway, attempts::NO_SERVER_RETRY_AFTER};
use crate::{
    configuration::{Idempotency, Route},
    events::Event,
    paths::{PathChange, PathOutcome, relays::RelayEnd},
    requests::{
        AttemptTarget, InFlightAttempt, InFlightTarget, Refusal, RefusalReason, RelayStart,
        RelayedHead, RunStatus, Step,
    },
    retry_budget::RetryDecision,
    servers::ServerKey,
};

/// Number of servers that a request could not be sent to after which it is passed on.
const MAX_UNSENT_ATTEMPTS: usize = 2;

/// Maximum number of gateways that a request is passed on to.
const MAX_RELAY_ATTEMPTS: usize = 3;

/// Time that is kept for the way back from another gateway, in milliseconds.
const HOP_MARGIN: Millis = Millis(20);

/// Retry-After that sends callers of a gateway without paths to another one, in milliseconds.
const PATHS_DOWN_RETRY_AFTER: Millis = Millis(100);

impl Gateway {
    /// Records what happened on a new connection to a backend server.
    pub fn on_path_outcome(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        incarnation: Incarnation,
        outcome: PathOutcome,
    ) {
        self.record_path(now, ServerKey { address, incarnation }, outcome);
    }

    pub(super) fn record_path(&mut self, now: Timestamp, key: ServerKey, outcome: PathOutcome) {
        match self.paths.record(now, key, outcome) {
            Some(PathChange::Down(servers)) => {
                self.events.push(Event::PathsDown { servers });
                self.registry_poller.poll_now();
                // Idempotent requests in flight may now be passed on.
                self.wakeups.extend(self.requests.keys().copied());
            }
            Some(PathChange::Up(after)) => {
                self.events.push(Event::PathsUp { after });
                self.registry_poller.poll_now();
                self.servers.forget_unreachable();
            }
            None => {}
        }
    }

    /// Returns whether this gateway's paths to the backend servers are down.
    pub fn are_paths_down(&self) -> bool {
        self.paths.are_down()
    }

    /// Returns a server to which a connection without a request should be opened now, to learn
    /// whether the paths are still down.
    pub fn take_path_probe(&mut self, now: Timestamp) -> Option<(SocketAddr, Incarnation)> {
        if !self.paths.are_down() || !self.paths.take_probe(now, Self::random_unit(&mut self.rng)) {
            return None;
        }
        let open = self.servers.all().filter(|it| {
            it.accepts_requests() && self.servers.closed(now, it.key(), true).is_none()
        });
        let keys: Vec<ServerKey> = open.map(|it| it.key()).collect();
        if keys.is_empty() {
            return None;
        }
        let key = keys[self.rng.next_u64() as usize % keys.len()];
        Some((key.address, key.incarnation))
    }

    /// Records the end of a request that was passed on to another gateway.
    pub fn relay_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptNumber,
        end: RelayEnd,
    ) {
        let ended = self.remove_in_flight(id, attempt, end.name());
        let Some(InFlightTarget::Relay(host)) = ended.map(|it| it.target) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        match end {
            RelayEnd::Answered => request.answered_by = Some(attempt),
            RelayEnd::ServerError => request.server_error = Some(attempt),
            RelayEnd::Refused(retry_after) => request.relay_refusal = Some(retry_after),
            RelayEnd::Unable | RelayEnd::Unreachable | RelayEnd::Lost => {}
        }
        if end == RelayEnd::Answered {
            self.quarantine.answered_elsewhere(now, request.fingerprint);
        }
        match end {
            RelayEnd::Answered | RelayEnd::ServerError | RelayEnd::Lost => {
                request.run = RunStatus::MayHaveRun;
                // The other gateway may have sent it to as many servers as it was allowed to.
                request.arrived_attempts = request.max_attempts;
            }
            RelayEnd::Refused(_) | RelayEnd::Unable | RelayEnd::Unreachable => {}
        }
        self.relays.record(now, host, &request.service, end);
        self.events.push(Event::RelayEnded { host, end: end.name() });
    }

    /// Accepts a request of another gateway; returns its service.
    pub(super) fn accept_relayed(
        &mut self,
        route: &Route,
        relayed: &RelayedHead,
    ) -> Result<ServiceName, Refusal> {
        let not_run = |reason| Refusal::not_run(reason, Some(PATHS_DOWN_RETRY_AFTER));
        if self.paths.are_down() {
            return Err(not_run(RefusalReason::PathsDown));
        }
        if route.targets.iter().all(|it| it.service != relayed.service) {
            return Err(not_run(RefusalReason::UnknownRoute));
        }
        if relayed.needs_key_check && !self.keys.are_needed() {
            return Err(not_run(RefusalReason::KeysUnchecked));
        }
        match self.relays.accept() {
            true => Ok(relayed.service.clone()),
            false => Err(not_run(RefusalReason::TooManyRelayed)),
        }
    }

    /// Returns how a refusal is told to the gateway that has passed the request on.
    pub fn relay_end_of(&self, refusal: &Refusal) -> RelayEnd {
        if refusal.run == RunStatus::MayHaveRun {
            return RelayEnd::Lost;
        }
        match refusal.reason {
            RefusalReason::NoConfiguration
            | RefusalReason::UnknownRoute
            // Its configuration may be older or newer; the gateway that the caller asked decides.
            | RefusalReason::UnknownKey
            | RefusalReason::KeysOutdated
            | RefusalReason::Stopping
            | RefusalReason::StopReached
            | RefusalReason::PathsDown
            | RefusalReason::KeysUnchecked
            | RefusalReason::TooManyRelayed => RelayEnd::Unable,
            _ if self.paths.are_down() => RelayEnd::Unable,
            _ => RelayEnd::Refused(refusal.retry_after),
        }
    }

    /// Passes a request on to another gateway if it doesn't reach the servers from here.
    pub(super) fn detour(&mut self, now: Timestamp, id: RequestId) -> Option<Step> {
        let request = &self.requests[&id];
        if request.head.relayed.is_some() {
            return None;
        }
        let are_down = self.paths.are_down();
        let has_failed = request.unsent_attempts() >= MAX_UNSENT_ATTEMPTS;
        if let Some(retry_after) = request.relay_refusal.filter(|_| are_down) {
            return Some(self.give_up(now, id, RefusalReason::RelayRefused, retry_after));
        }
        let may_help = are_down || self.relays.may_help(now, &request.service);
        if !(are_down || has_failed) || !may_help {
            return None;
        }
        let is_idempotent = request.route.idempotency == Idempotency::Idempotent;
        let is_first = request.attempt_log.is_empty();
        if is_first && self.paths.take_test(now, is_idempotent) {
            return None;
        }
        let Some(host) = self.choose_relay(now, id) else {
            if !are_down || !has_failed {
                return None;
            }
            let retry_after = Some(PATHS_DOWN_RETRY_AFTER);
            return Some(self.give_up(now, id, RefusalReason::PathsDown, retry_after));
        };
        if self.requests[&id].arrived_attempts > 0 {
            match self.decide_retry(now, id) {
                RetryDecision::Send => {}
                RetryDecision::AwaitLoan(until) => return Some(Step::Wait(until)),
                RetryDecision::Deny => {
                    let reason = RefusalReason::RetryBudgetSpent;
                    return Some(self.give_up(now, id, reason, Some(NO_SERVER_RETRY_AFTER)));
                }
            }
        }
        self.start_relay(now, id, host).map(Step::Relay)
    }

    pub(super) fn choose_relay(&mut self, now: Timestamp, id: RequestId) -> Option<HostId> {
        let request = &self.requests[&id];
        let tried = request.tried_relays();
        if tried.len() >= MAX_RELAY_ATTEMPTS {
            return None;
        }
        let candidates = self.entry_hosts.relays_for(&self.settings);
        let rng = &mut self.rng;
        self.relays.choose(now, candidates, &tried, || rng.next_u64())
    }

    pub(super) fn start_relay(
        &mut self,
        now: Timestamp,
        id: RequestId,
        host: HostId,
    ) -> Option<RelayStart> {
        let address = self.entry_hosts.caller_address(host)?;
        let request = self.requests.get_mut(&id)?;
        let caller = self.keys.note(request.identity.as_ref());
        let attempt = AttemptNumber(u32::try_from(request.attempt_log.len()).unwrap_or(u32::MAX));
        let max_attempts = request.max_attempts.saturating_sub(request.counted_attempts());
        request.in_flight.push(InFlightAttempt {
            number: attempt,
            target: InFlightTarget::Relay(host),
            started: now,
            is_reported_overdue: false,
            shows_work: false,
        });
        request.attempt_log.push((AttemptTarget::Relay(host), "in-flight"));
        request.first_sent_at.get_or_insert(now);
        let time_left = Millis(request.time_left(now).0.saturating_sub(HOP_MARGIN.0));
        Some(RelayStart {
            attempt,
            host,
            address,
            head: RelayedHead {
                service: request.service.clone(),
                max_attempts,
                needs_key_check: self.keys.are_needed(),
            },
            time_left,
            may_reuse_connection: request.route.idempotency == Idempotency::Idempotent,
            caller,
        })
    }
}
