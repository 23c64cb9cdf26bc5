//! Decides the next step of a request: send, wait, retry, hedge or finish.

use ::quarantine::{Admission, Observer};
use ids::{AttemptNumber, ByteSize, Millis, RequestId, ServerId, Timestamp};
use schema::server_load::{Answered, LoadEvent};

use super::{Gateway, KEYS_OUTDATED_RETRY_AFTER, STOPPING_RETRY_AFTER, queue_key};
use crate::{
    configuration::Idempotency,
    events::Event,
    paths::PathOutcome,
    requests::{
        AttemptEnd, AttemptStart, AttemptTarget, Finish, InFlightAttempt, InFlightTarget, Refusal,
        RefusalReason, Request, RunStatus, Step, shedding,
    },
    retry_budget::RetryDecision,
    server_limits::PermitDecision,
    servers::{
        key_of,
        notices::Closed,
        placement::{self, Placement, PlacementRequest},
    },
    work::WorkSample,
};

/// Maximum number of attempts per request that don't reach a server.
const MAX_UNREACHABLE_ATTEMPTS: usize = 6;

/// Maximum number of attempts that don't reach a server, for a request that another gateway has
/// passed on and can pass on to others.
const MAX_UNREACHABLE_RELAYED: usize = 2;

/// Time after which an idempotent request that was sent to a server is passed on as well while the
/// paths are down, in milliseconds.
const TEST_PATIENCE: Millis = Millis(300);

/// Multiple of the average latency after which an idempotent request is hedged.
const HEDGE_LATENCY_FACTOR: f64 = 3.0;

/// Minimum time before a request is hedged, as a fraction of the target latency.
const HEDGE_TARGET_SHARE: f64 = 0.6;

/// Maximum time until a waiting request is checked again, in milliseconds. Servers in other data
/// centres, whose load is not reported here, may have free slots by then.
const RECHECK_INTERVAL: Millis = Millis(100);

/// Retry-After for requests that found no server or ran out of attempts, in milliseconds.
pub(super) const NO_SERVER_RETRY_AFTER: Millis = Millis(500);

impl Gateway {
    /// Returns what to do next for a request.
    pub fn step(&mut self, now: Timestamp, id: RequestId) -> Step {
        let Some(request) = self.requests.get(&id) else {
            let refusal = Refusal {
                reason: RefusalReason::NoAnswer,
                run: RunStatus::MayHaveRun,
                retry_after: None,
            };
            return Step::Finish(Finish::Refuse(refusal));
        };
        if let Some(attempt) = request.answered_by {
            return Step::Finish(Finish::Answer(attempt));
        }
        if now >= request.deadline {
            let reason = match request.ends_with_stop {
                true => RefusalReason::StopReached,
                false => RefusalReason::TimeLimit,
            };
            let retry_after = request.ends_with_stop.then_some(STOPPING_RETRY_AFTER);
            return self.give_up(now, id, reason, retry_after);
        }
        if !request.in_flight.is_empty() {
            return self.check_in_flight(now, id);
        }
        if !request.may_be_sent() {
            return self.give_up(now, id, RefusalReason::NoAnswer, None);
        }
        if request.is_key_refused {
            return self.give_up(now, id, RefusalReason::UnknownKey, None);
        }
        if request.identity.is_some() && self.are_keys_outdated(now) && !request.route.is_public {
            let retry_after = Some(KEYS_OUTDATED_RETRY_AFTER);
            return self.give_up(now, id, RefusalReason::KeysOutdated, retry_after);
        }
        if self.would_work_in_vain(now, request) {
            let retry_after = Some(STOPPING_RETRY_AFTER);
            return self.give_up(now, id, RefusalReason::StopReached, retry_after);
        }
        if let Some(step) = self.hold_to_rate(now, id) {
            return step;
        }
        self.send_or_wait(now, id)
    }

    /// Returns whether a server would most likely not answer a request before the planned stop gives it up.
    fn would_work_in_vain(&self, now: Timestamp, request: &Request) -> bool {
        request.ends_with_stop
            && request.deadline
                < now + self.likely_latency(&request.route, self.work_of(now, request))
    }

    /// Records the end of an attempt; `size` is that of the request and the response together.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
        size: ByteSize,
    ) {
        let ended = self.remove_in_flight(id, attempt, end.name());
        let Some(ended) = ended else { return };
        let InFlightTarget::Server(key) = ended.target else { return };
        let started = ended.started;
        self.work.end(now, key, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.run = request.run.max(end.run_status());
        if end.reached_server() {
            request.arrived_attempts += 1;
            request.permit_search_ends = None;
        }
        match end {
            AttemptEnd::Answered => request.answered_by = Some(attempt),
            AttemptEnd::ServerError => request.server_error = Some(attempt),
            // The server may still take the request once it has a permit.
            AttemptEnd::Withheld => {
                if let (AttemptTarget::Server(server), _) = &request.attempt_log[attempt.0 as usize]
                {
                    request.tried.retain(|it| it != server);
                }
            }
            _ => {}
        }
        let fingerprint = request.fingerprint;
        let route = request.route.key();
        let kinds = request.kinds;
        let millis = now.since(started).0 as f64;
        let event = match end {
            AttemptEnd::Answered => {
                // In proportion to its work, a latency tells how fast the server is.
                let usual_millis = millis / self.work.estimate(now, &kinds).0;
                LoadEvent::Answered(Answered { latency_ms: usual_millis as u32, route: route.0 })
            }
            AttemptEnd::ServerError => LoadEvent::ServerError,
            AttemptEnd::Shed => LoadEvent::Shed,
            AttemptEnd::Unreachable => LoadEvent::Unreachable,
            AttemptEnd::Lost => LoadEvent::Lost(fingerprint),
            AttemptEnd::Misplaced | AttemptEnd::NotSent | AttemptEnd::Withheld => {
                LoadEvent::Cancelled
            }
        };
        if end == AttemptEnd::Misplaced {
            self.servers.mark_misplaced(key);
            self.quarantine.ended(now, key);
        }
        if matches!(end, AttemptEnd::ServerError | AttemptEnd::Shed) {
            self.quarantine.responded(now, key, started);
        }
        if end == AttemptEnd::Answered {
            self.quarantine.answered(now, fingerprint, key, started);
            self.servers.record_size(route, size);
            if ended.shows_work {
                let slowdown = self.servers.slowdown(now, key);
                let sample = WorkSample { latency: millis, route, slowdown };
                self.work.record(now, &kinds, &sample);
            }
        }
        if end == AttemptEnd::Lost {
            self.record_lost(now, fingerprint, key, Observer::Own);
        }
        self.report_end(now, key, event);
    }

    /// Removes an attempt that has ended; returns where it was sent and when.
    pub(super) fn remove_in_flight(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        end: &'static str,
    ) -> Option<InFlightAttempt> {
        let request = self.requests.get_mut(&id)?;
        let position = request.in_flight.iter().position(|it| it.number == attempt)?;
        let ended = request.in_flight.remove(position);
        request.attempt_log[attempt.0 as usize].1 = end;
        Some(ended)
    }

    /// Reports the end of all attempts that are still in flight when the request finishes or its
    /// caller disconnects.
    pub(super) fn end_in_flight(&mut self, now: Timestamp, id: RequestId, request: &Request) {
        let overdue_after = self.overdue_after(now, request);
        for attempt in &request.in_flight {
            let InFlightTarget::Server(key) = attempt.target else { continue };
            let is_overdue = now.since(attempt.started).0 as f64 >= overdue_after;
            let event = match is_overdue && !attempt.is_reported_overdue {
                true => LoadEvent::Overdue,
                false => LoadEvent::Cancelled,
            };
            self.work.end(now, key, id);
            self.report_end(now, key, event);
        }
    }

    /// Monitors attempts in flight: hedges the request and reports overdue attempts.
    fn check_in_flight(&mut self, now: Timestamp, id: RequestId) -> Step {
        let request = &self.requests[&id];
        let work = self.work_of(now, request);
        let likely_latency = self.servers.average_latency(&request.route) * work.0.max(1.0);
        let overdue_after = Millis(self.overdue_after(now, request) as u64);
        let target_latency = request.route.target_latency.0 as f64;
        let hedge_after = Millis(
            (likely_latency * HEDGE_LATENCY_FACTOR).max(target_latency * HEDGE_TARGET_SHARE) as u64,
        );
        let last = request.in_flight.last().expect("an attempt is in flight");
        let hedge_after =
            if self.paths.are_down() { hedge_after.min(TEST_PATIENCE) } else { hedge_after };
        let hedge_at = last.started + hedge_after;
        let may_hedge = request.route.idempotency == Idempotency::Idempotent
            && request.in_flight.len() == 1
            && matches!(last.target, InFlightTarget::Server(_))
            && !request.is_key_refused
            && (request.identity.is_none() || !self.are_keys_outdated(now))
            && !self.would_work_in_vain(now, request);
        if may_hedge
            && now >= hedge_at
            && let Some(step) = self.hedge(now, id)
        {
            return step;
        }
        self.report_overdue(now, id, overdue_after);
        let request = &self.requests[&id];
        let pending = request
            .in_flight
            .iter()
            .filter(|it| !it.is_reported_overdue && matches!(it.target, InFlightTarget::Server(_)));
        let mut wakeup = request.deadline;
        for attempt in pending {
            wakeup = wakeup.min(attempt.started + overdue_after);
        }
        if may_hedge {
            wakeup = wakeup.min(hedge_at.max(now + RECHECK_INTERVAL));
        }
        Step::Wait(wakeup)
    }

    fn report_overdue(&mut self, now: Timestamp, id: RequestId, overdue_after: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut overdue = Vec::new();
        for attempt in &mut request.in_flight {
            let InFlightTarget::Server(key) = attempt.target else { continue };
            if !attempt.is_reported_overdue && now >= attempt.started + overdue_after {
                attempt.is_reported_overdue = true;
                overdue.push(key);
            }
        }
        for key in overdue {
            self.record_path(now, key, PathOutcome::Broken);
            self.report_event(now, key, LoadEvent::Overdue);
        }
    }

    /// Starts a second attempt in parallel if the retry budget and the servers allow it.
    fn hedge(&mut self, now: Timestamp, id: RequestId) -> Option<Step> {
        let request = &self.requests[&id];
        let is_quarantined = self.quarantine.is_quarantined(now, request.fingerprint);
        if is_quarantined || request.counted_attempts() >= request.max_attempts {
            return None;
        }
        if self.paths.are_down() && request.head.relayed.is_none() {
            let host = self.choose_relay(now, id)?;
            return match self.decide_retry(now, id) {
                RetryDecision::Send => self.start_relay(now, id, host).map(Step::Relay),
                RetryDecision::AwaitLoan(_) | RetryDecision::Deny => None,
            };
        }
        let Placement::Server(server) = self.place(now, id, false) else { return None };
        match self.decide_retry(now, id) {
            RetryDecision::Send => self.start_attempt(now, id, server).map(Step::Send),
            RetryDecision::AwaitLoan(_) | RetryDecision::Deny => None,
        }
    }

    fn send_or_wait(&mut self, now: Timestamp, id: RequestId) -> Step {
        let request = &self.requests[&id];
        let unreachable =
            request.attempt_log.len().saturating_sub(request.arrived_attempts as usize);
        let max_unreachable = match request.head.relayed {
            Some(_) => MAX_UNREACHABLE_RELAYED,
            None => MAX_UNREACHABLE_ATTEMPTS,
        };
        let is_exhausted =
            request.arrived_attempts >= request.max_attempts || unreachable >= max_unreachable;
        if is_exhausted {
            let retry_after = self.return_time(now, id).unwrap_or(NO_SERVER_RETRY_AFTER);
            return self.give_up(now, id, RefusalReason::NoAnswer, Some(retry_after));
        }
        match self.admit(now, id) {
            Admission::Free => {
                if let Some(step) = self.detour(now, id) {
                    return step;
                }
            }
            // Another gateway would need a trial of its own.
            Admission::Trial(until) => self.limit_to_one_attempt(id, until),
            Admission::Wait(until) => {
                return Step::Wait(until.min(self.requests[&id].deadline));
            }
            Admission::Refused(retry_after) => {
                return self.give_up(now, id, RefusalReason::Quarantined, Some(retry_after));
            }
        }
        if let Some(step) = self.send_with_permit(now, id) {
            return step;
        }
        if let Some(step) = self.wait_while_closed(now, id) {
            return step;
        }
        let request = &self.requests[&id];
        let key = queue_key(request, id);
        if self.wait_queues.ahead_of(&request.service, key) > 0 {
            return self.wait(now, id, RECHECK_INTERVAL);
        }
        loop {
            let may_ask = self.may_ask_for_permit(now, id);
            match self.place(now, id, may_ask) {
                Placement::Server(server) => {
                    let step = self.send_if_permitted(now, id, server);
                    if let Some(step) = step.or_else(|| self.wait_while_closed(now, id)) {
                        return step;
                    }
                }
                Placement::Full(free_in) => return self.wait(now, id, free_in),
                Placement::TooLate(retry_after) => {
                    return self.give_up(now, id, RefusalReason::Busy, Some(retry_after));
                }
                Placement::NoServer if !may_ask => {
                    let service = self.requests[&id].service.clone();
                    let retry_after = self
                        .return_time_at_limit(now, &service, NO_SERVER_RETRY_AFTER)
                        .unwrap_or(NO_SERVER_RETRY_AFTER);
                    let reason = RefusalReason::ServersAtLimit;
                    return self.give_up(now, id, reason, Some(retry_after));
                }
                Placement::NoServer => {
                    let retry_after = Some(NO_SERVER_RETRY_AFTER);
                    return self.give_up(now, id, RefusalReason::NoServer, retry_after);
                }
            }
        }
    }

    /// Waits or gives up while no server of the service takes requests.
    fn wait_while_closed(&mut self, now: Timestamp, id: RequestId) -> Option<Step> {
        let reason = match self.servers.all_closed_for(now, &self.requests[&id].service)? {
            Closed::Leaving => return None,
            Closed::Paused(_) => RefusalReason::ServersPaused,
            Closed::AtLimit(free_in)
                if self.may_ask_for_permit(now + free_in, id)
                    && free_in <= self.max_permit_wait(now, id) =>
            {
                self.begin_permit_search(now, id);
                return Some(Step::Wait(now + free_in));
            }
            Closed::AtLimit(_) => RefusalReason::ServersAtLimit,
        };
        Some(self.give_up(now, id, reason, None))
    }

    /// Goes on with a request that has asked for a permit; returns `None` if it needs a server.
    fn send_with_permit(&mut self, now: Timestamp, id: RequestId) -> Option<Step> {
        let key = self.server_limits.pending_server(now, id)?;
        let is_open = self.servers.closed(now, key, true).is_none();
        let server = self.servers.by_key_mut(key).filter(|it| is_open && it.accepts_requests());
        let Some(server) = server.map(|it| it.announcement.server.clone()) else {
            self.server_limits.forget(id);
            return None;
        };
        self.send_if_permitted(now, id, server)
    }

    /// Sends a request to a server, or waits for a permit; returns `None` if there is none.
    fn send_if_permitted(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server: ServerId,
    ) -> Option<Step> {
        let key = self.servers.get(&server)?.key();
        match self.decide_permit(now, id, key) {
            PermitDecision::Ready => Some(self.send(now, id, server)),
            PermitDecision::Wait(until) => Some(Step::Wait(until)),
            PermitDecision::Denied(_) => {
                self.requests.get_mut(&id)?.permit_asks += 1;
                None
            }
        }
    }

    fn send(&mut self, now: Timestamp, id: RequestId, server: ServerId) -> Step {
        let request = &self.requests[&id];
        let is_retry = request.arrived_attempts > 0;
        let (service, key) = (request.service.clone(), queue_key(request, id));
        if self.wait_queues.remove(&service, key) {
            // Several slots may be free; wake the next request so that it checks for itself.
            self.wakeups.extend(self.wait_queues.first(&service));
        }
        if is_retry {
            if let Some(step) = self.let_return(now, id) {
                return step;
            }
            match self.decide_retry(now, id) {
                RetryDecision::Send => {}
                RetryDecision::AwaitLoan(until) => return Step::Wait(until),
                RetryDecision::Deny => {
                    let retry_after = self.return_time(now, id);
                    let retry_after = Some(retry_after.unwrap_or(NO_SERVER_RETRY_AFTER));
                    return self.give_up(now, id, RefusalReason::RetryBudgetSpent, retry_after);
                }
            }
        }
        match self.start_attempt(now, id, server) {
            Some(start) => Step::Send(start),
            None => self.give_up(now, id, RefusalReason::NoServer, Some(NO_SERVER_RETRY_AFTER)),
        }
    }

    /// Refuses a request that was shed if its caller will be back in time, so that the retry budget is
    /// left to those that can't.
    fn let_return(&mut self, now: Timestamp, id: RequestId) -> Option<Step> {
        let request = &self.requests[&id];
        let is_first = request.head.relayed.is_none() && request.run_status() == RunStatus::NotRun;
        if !is_first || !self.callers.do_return(request.route.key()) {
            return None;
        }
        let retry_after = self.return_time(now, id)?;
        Some(self.give_up(now, id, RefusalReason::RetryBudgetSpent, Some(retry_after)))
    }

    /// Returns when the caller of a request that was shed should return so that its answer can still
    /// meet the target latency; `None` if it can't, or if the service doesn't shed.
    fn return_time(&mut self, now: Timestamp, id: RequestId) -> Option<Millis> {
        let request = &self.requests[&id];
        if !self.shedding.is_shedding(now, &request.service) {
            return None;
        }
        let likely = Millis(self.servers.average_latency(&request.route) as u64);
        let target_at = request.first_asked + request.route.target_latency;
        let left = target_at.since(now + likely);
        shedding::return_time(left, Self::random_unit(&mut self.rng))
    }

    /// Queues a request until a server has a free slot, or refuses it if the expected wait is too
    /// long.
    fn wait(&mut self, now: Timestamp, id: RequestId, free_in: Millis) -> Step {
        let request = &self.requests[&id];
        let key = queue_key(request, id);
        let ahead = self.wait_queues.ahead_of(&request.service, key) as u64;
        let local_gateways =
            self.entry_hosts.in_data_centre(&self.settings.data_centre).count().max(1) as u64;
        let servers = self.servers.available_for(now, &request.service).count().max(1) as u64;
        let expected_wait = Millis(free_in.0 * (1 + ahead * local_gateways) / servers);
        let avg_latency = Millis(self.servers.average_latency(&request.route) as u64);
        if expected_wait.0 + avg_latency.0 > request.time_left(now).0 {
            return self.give_up(now, id, RefusalReason::Busy, Some(expected_wait));
        }
        let (service, deadline) = (request.service.clone(), request.deadline);
        self.wait_queues.add(&service, key);
        Step::Wait(deadline.min(now + free_in.min(RECHECK_INTERVAL)))
    }

    /// Chooses a server; `may_ask` is whether it may be one that needs a permit.
    fn place(&mut self, now: Timestamp, id: RequestId, may_ask: bool) -> Placement {
        let request = &self.requests[&id];
        let placement_request = PlacementRequest {
            service: &request.service,
            route: &request.route,
            excluded: &request.tried,
            time_left: request.time_left(now),
            may_ask,
            work: self.work_of(now, request),
        };
        let (rng, work) = (&mut self.rng, &self.work);
        let excess_at = |key| work.excess_at(now, key);
        let random = || Self::random_unit(rng);
        placement::place(now, &self.servers, &placement_request, excess_at, random)
    }

    /// Charges a retry to the retry budget, or asks other gateways for a loan.
    pub(super) fn decide_retry(&mut self, now: Timestamp, id: RequestId) -> RetryDecision {
        let lenders = self.rotated_local_peers();
        let fleet_hosts = self.entry_hosts.len();
        let service = &self.requests[&id].service;
        let usage = self.retry_budget.usage(now, service, fleet_hosts);
        let decision = self.retry_budget.decide(now, service, fleet_hosts, id, &lenders);
        if decision == RetryDecision::Send {
            self.events.push(Event::RetrySent { service: service.clone(), usage });
        }
        decision
    }

    fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server: ServerId,
    ) -> Option<AttemptStart> {
        let announcement = self.servers.get(&server)?.announcement.clone();
        let key = key_of(&announcement);
        let shows_work = self.servers.get(&server)?.shows_work(now);
        let has_permit = self.servers.limit(key).is_some();
        if has_permit && !self.server_limits.take_permit(now, id, key) {
            return None;
        }
        let are_keys_outdated = self.are_keys_outdated(now);
        let request = self.requests.get_mut(&id)?;
        let caller = self.keys.note(request.identity.as_ref().filter(|_| !are_keys_outdated));
        let is_first = request.counted_attempts() == 0;
        let attempt = AttemptNumber(u32::try_from(request.attempt_log.len()).unwrap_or(u32::MAX));
        request.in_flight.push(InFlightAttempt {
            number: attempt,
            target: InFlightTarget::Server(key),
            started: now,
            is_reported_overdue: false,
            shows_work,
        });
        request.tried.push(server.clone());
        request.attempt_log.push((AttemptTarget::Server(server.clone()), "in-flight"));
        request.first_sent_at.get_or_insert(now);
        let start = AttemptStart {
            attempt,
            server,
            address: announcement.address,
            incarnation: announcement.incarnation,
            time_left: request.time_left(now),
            has_permit,
            // Only new connections show that the paths are up again.
            may_reuse_connection: request.route.idempotency == Idempotency::Idempotent
                && !self.paths.are_down(),
            caller,
        };
        let (kinds, route) = (request.kinds, request.route.clone());
        let average_latency = self.servers.average_latency(&route);
        self.work.start(now, key, id, &kinds, average_latency);
        self.report_start(now, key, is_first);
        Some(start)
    }

    /// Ends a request with the last error response of a server if there is one, otherwise with a
    /// refusal. While all servers of the service are closed, its Retry-After is not shorter than
    /// that.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Millis>,
    ) -> Step {
        let request = &self.requests[&id];
        if let Some(attempt) = request.server_error {
            return Step::Finish(Finish::Answer(attempt));
        }
        let run = request.run_status();
        let retry_after = match run {
            RunStatus::NotRun => {
                let service = request.service.clone();
                retry_after.max(self.return_time_while_closed(now, &service))
            }
            RunStatus::MayHaveRun => None,
        };
        if retry_after.is_some() {
            let route = self.requests[&id].route.key();
            self.callers.record_refusal(now, route);
        }
        Step::Finish(Finish::Refuse(Refusal { reason, run, retry_after }))
    }
}
