//! What a request needs next: a server, a wait, a further attempt or its end.

use ids::{AttemptNumber, ByteSize, Millis, RequestId, ServerId, Timestamp};
use schema::server_load::{Answered, LoadEvent};

use super::{Gateway, QUARANTINE_RETRY_AFTER, waiting_key};
use crate::{
    configuration::Idempotency,
    events::Event,
    requests::{
        AttemptEnd, AttemptStart, Finish, LiveAttempt, Refusal, RefusalReason, Request, RunStatus,
        Step,
    },
    servers::{
        ServerKey,
        placement::{self, Placement, PlacementRequest},
    },
};

/// Servers that a request is tried on that cannot be connected to.
const MAX_UNREACHABLE: usize = 6;

/// Usual latencies after which an answer is overdue: longer than the rare slow requests take.
const OVERDUE_LATENCIES: f64 = 8.0;

/// Usual latencies after which a request that may repeat is sent to a second server too.
const HEDGE_LATENCIES: f64 = 3.0;

/// Part of the latency aim after which a request is sent to a second server at the earliest.
const HEDGE_AIM_SHARE: f64 = 0.6;

/// Longest time until a waiting request is looked at again, in milliseconds: servers in other data
/// centres, whose load is not reported here, may have room by then.
const LOOK_AGAIN: Millis = Millis(100);

/// When callers come back that found no server, in milliseconds.
const NO_SERVER_RETRY_AFTER: Millis = Millis(500);

impl Gateway {
    /// Says what a request needs next.
    pub fn step(&mut self, now: Timestamp, id: RequestId) -> Step {
        let Some(request) = self.requests.get(&id) else {
            let refusal = Refusal {
                reason: RefusalReason::NoAnswer,
                run: RunStatus::MayHaveRun,
                retry_after: None,
            };
            return Step::Finish(Finish::Refuse(refusal));
        };
        if let Some(attempt) = request.answer {
            return Step::Finish(Finish::Answer(attempt));
        }
        if now >= request.until {
            return self.give_up(id, RefusalReason::TimeLimit, None);
        }
        if !request.live.is_empty() {
            return self.watch(now, id);
        }
        if !request.may_be_sent() {
            return self.give_up(id, RefusalReason::NoAnswer, None);
        }
        self.send_or_wait(now, id)
    }

    /// Notes how an attempt ended, and how large request and answer were together.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
        size: ByteSize,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(position) = request.live.iter().position(|it| it.number == attempt) else {
            return;
        };
        let live = request.live.remove(position);
        request.log[attempt.0 as usize].1 = end.name();
        request.run = request.run.max(end.run_status());
        request.arrivals += u32::from(end.has_arrived());
        match end {
            AttemptEnd::Answered => request.answer = Some(attempt),
            AttemptEnd::ServerError => request.server_error = Some(attempt),
            _ => {}
        }
        let fingerprint = request.head.fingerprint;
        let route = request.route.key();
        let event = match end {
            AttemptEnd::Answered => {
                let millis = now.since(live.started).0;
                LoadEvent::Answered(Answered {
                    latency_ms: u32::try_from(millis).unwrap_or(u32::MAX),
                    route: route.0,
                })
            }
            AttemptEnd::ServerError => LoadEvent::ServerError,
            AttemptEnd::Shed => LoadEvent::Shed,
            AttemptEnd::Unreachable => LoadEvent::Unreachable,
            AttemptEnd::Lost => LoadEvent::Lost(fingerprint),
            AttemptEnd::Misplaced | AttemptEnd::NotSent => LoadEvent::Cancelled,
        };
        if end == AttemptEnd::Misplaced {
            self.servers.note_misplaced(live.key);
        }
        if end == AttemptEnd::Answered {
            self.quarantine.note_answered(fingerprint);
            self.servers.note_size(route, size);
        }
        if end == AttemptEnd::Lost {
            self.note_lost(now, Some(id), fingerprint, live.key);
        }
        self.report_end(now, live.key, event);
    }

    /// Ends the attempts of a request that is answered or whose caller is gone.
    pub(super) fn end_live_attempts(&mut self, now: Timestamp, request: &Request) {
        let usual = self.servers.usual_latency(&request.route);
        for live in &request.live {
            let age = now.since(live.started).0 as f64;
            let is_overdue = age >= usual * OVERDUE_LATENCIES / 2.0;
            let event = match is_overdue && !live.is_reported_overdue {
                true => LoadEvent::Overdue,
                false => LoadEvent::Cancelled,
            };
            self.report_end(now, live.key, event);
        }
    }

    pub(super) fn note_lost(
        &mut self,
        now: Timestamp,
        request: Option<RequestId>,
        fingerprint: ids::Fingerprint,
        key: ServerKey,
    ) {
        if let Some(servers) = self.quarantine.note_lost(now, fingerprint, key) {
            let request = request.unwrap_or(RequestId(0));
            self.events.push(Event::RequestQuarantined { request, servers });
        }
    }

    /// Looks after attempts in flight: reports late ones, and sends a second one beside them.
    fn watch(&mut self, now: Timestamp, id: RequestId) -> Step {
        let request = &self.requests[&id];
        let usual = self.servers.usual_latency(&request.route);
        let overdue_after = Millis((usual * OVERDUE_LATENCIES) as u64);
        let aim = request.route.target_latency.0 as f64;
        let hedge_after = Millis((usual * HEDGE_LATENCIES).max(aim * HEDGE_AIM_SHARE) as u64);
        let newest = request.live.last().expect("an attempt is in flight").started;
        let hedge_at = newest + hedge_after;
        let may_hedge =
            request.route.idempotency == Idempotency::Idempotent && request.live.len() == 1;
        if may_hedge
            && now >= hedge_at
            && let Some(start) = self.hedge(now, id)
        {
            return Step::Send(start);
        }
        self.report_overdue(now, id, overdue_after);
        let request = &self.requests[&id];
        let pending = request.live.iter().filter(|it| !it.is_reported_overdue);
        let mut wakeup = request.until;
        for live in pending {
            wakeup = wakeup.min(live.started + overdue_after);
        }
        if may_hedge {
            wakeup = wakeup.min(hedge_at.max(now + LOOK_AGAIN));
        }
        Step::Wait(wakeup)
    }

    fn report_overdue(&mut self, now: Timestamp, id: RequestId, overdue_after: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut overdue = Vec::new();
        for live in &mut request.live {
            if !live.is_reported_overdue && now >= live.started + overdue_after {
                live.is_reported_overdue = true;
                overdue.push(live.key);
            }
        }
        for key in overdue {
            self.report_event(now, key, LoadEvent::Overdue);
        }
    }

    /// A second attempt beside a late one, if the budget and the servers have room for it.
    fn hedge(&mut self, now: Timestamp, id: RequestId) -> Option<AttemptStart> {
        let request = &self.requests[&id];
        if request.counted_attempts() >= request.route.max_attempts {
            return None;
        }
        let Placement::Server(server) = self.place(now, id) else { return None };
        self.may_send_further(now, id).then(|| self.start(now, id, server)).flatten()
    }

    fn send_or_wait(&mut self, now: Timestamp, id: RequestId) -> Step {
        let request = &self.requests[&id];
        let unreachable = request.log.len() - request.arrivals as usize;
        let is_spent =
            request.arrivals >= request.route.max_attempts || unreachable >= MAX_UNREACHABLE;
        if is_spent {
            return self.give_up(id, RefusalReason::NoAnswer, Some(NO_SERVER_RETRY_AFTER));
        }
        if self.quarantine.holds(now, request.head.fingerprint) {
            return self.give_up(id, RefusalReason::Quarantined, Some(QUARANTINE_RETRY_AFTER));
        }
        let key = waiting_key(request, id);
        if self.waiting.ahead_of(&request.service, key) > 0 {
            return self.wait(now, id, LOOK_AGAIN);
        }
        match self.place(now, id) {
            Placement::Server(server) => self.send(now, id, server),
            Placement::Full(free_in) => self.wait(now, id, free_in),
            Placement::TooLate(lacking) => self.give_up(id, RefusalReason::Busy, Some(lacking)),
            Placement::NoServer => {
                self.give_up(id, RefusalReason::NoServer, Some(NO_SERVER_RETRY_AFTER))
            }
        }
    }

    fn send(&mut self, now: Timestamp, id: RequestId, server: ServerId) -> Step {
        if self.requests[&id].arrivals > 0 && !self.may_send_further(now, id) {
            return self.give_up(id, RefusalReason::NoAnswer, Some(NO_SERVER_RETRY_AFTER));
        }
        let request = &self.requests[&id];
        let (service, key) = (request.service.clone(), waiting_key(request, id));
        if self.waiting.remove(&service, key) {
            // Several may have room; the next one in line sees for itself.
            self.wakeups.extend(self.waiting.first(&service));
        }
        match self.start(now, id, server) {
            Some(start) => Step::Send(start),
            None => self.give_up(id, RefusalReason::NoServer, Some(NO_SERVER_RETRY_AFTER)),
        }
    }

    /// Lets a request wait for a server with room, or refuses it when it would wait too long.
    fn wait(&mut self, now: Timestamp, id: RequestId, free_in: Millis) -> Step {
        let request = &self.requests[&id];
        let key = waiting_key(request, id);
        let ahead = self.waiting.ahead_of(&request.service, key) as u64;
        let neighbours =
            self.hosts.in_data_centre(&self.settings.data_centre).count().max(1) as u64;
        let servers = self.servers.of_service(&request.service).count().max(1) as u64;
        let expected = Millis(free_in.0 * (1 + ahead * neighbours) / servers);
        let usual = Millis(self.servers.usual_latency(&request.route) as u64);
        if expected.0 + usual.0 > request.time_left(now).0 {
            return self.give_up(id, RefusalReason::Busy, Some(expected));
        }
        let (service, until) = (request.service.clone(), request.until);
        self.waiting.add(&service, key);
        Step::Wait(until.min(now + free_in.min(LOOK_AGAIN)))
    }

    fn place(&mut self, now: Timestamp, id: RequestId) -> Placement {
        let request = &self.requests[&id];
        let asked = PlacementRequest {
            service: &request.service,
            route: &request.route,
            tried: &request.tried,
            time_left: request.time_left(now),
        };
        let rng = &mut self.rng;
        placement::place(now, &self.servers, &asked, || Self::random_unit(rng))
    }

    /// Whether the budget has room for a further attempt.
    fn may_send_further(&self, now: Timestamp, id: RequestId) -> bool {
        let service = &self.requests[&id].service;
        let neighbours = self.hosts.in_data_centre(&self.settings.data_centre).count().max(1);
        self.budget.allows(now, service, self.hosts.len(), neighbours)
    }

    fn start(&mut self, now: Timestamp, id: RequestId, server: ServerId) -> Option<AttemptStart> {
        let announcement = self.servers.get(&server)?.announcement.clone();
        let request = self.requests.get_mut(&id)?;
        let attempt = AttemptNumber(u32::try_from(request.log.len()).unwrap_or(u32::MAX));
        let is_first = request.counted_attempts() == 0;
        let key = ServerKey::of(&announcement);
        request.live.push(LiveAttempt {
            number: attempt,
            key,
            started: now,
            is_reported_overdue: false,
        });
        request.tried.push(server.clone());
        request.log.push((server.clone(), "in-flight"));
        request.sent_at.get_or_insert(now);
        let start = AttemptStart {
            attempt,
            server,
            address: announcement.address,
            time_left: request.time_left(now),
            may_reuse_connection: request.route.idempotency == Idempotency::Idempotent,
        };
        let service = request.service.clone();
        self.budget.note_attempt(now, &service, is_first);
        self.report_start(now, key, is_first);
        Some(start)
    }

    /// Ends a request: with a server's own failure if there is one, else with a refusal.
    fn give_up(&self, id: RequestId, reason: RefusalReason, retry_after: Option<Millis>) -> Step {
        let request = &self.requests[&id];
        if let Some(attempt) = request.server_error {
            return Step::Finish(Finish::Answer(attempt));
        }
        let run = request.run_status();
        let retry_after = retry_after.filter(|_| run == RunStatus::NotRun);
        Step::Finish(Finish::Refuse(Refusal { reason, run, retry_after }))
    }
}
