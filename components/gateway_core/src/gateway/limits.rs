//! Keeps to the limits that backend servers name: learns them, and gets and grants permits.

use ids::{HostId, LimitRate, Millis, RequestId, ServerId, ServiceName, Timestamp};
use schema::{
    server_limit::{PermitAsk, PermitOutcome, ServerLimitMessage},
    server_load::LoadEvent,
};

use super::{Gateway, PAUSE_RETURN_SPREAD};
use crate::{
    configuration::Route,
    events::Event,
    server_limits::{PermitDecision, PermitRequest, ServerLimits},
    servers::{
        ServerKey,
        notices::{Closed, KnownLimit, LimitNotice},
    },
};

/// Maximum number of permits that a request asks for in vain.
const MAX_PERMIT_ASKS: u32 = 4;

impl Gateway {
    /// Processes a message of another host about the limit of a server.
    pub fn on_server_limit(&mut self, now: Timestamp, from: HostId, message: &ServerLimitMessage) {
        match message {
            ServerLimitMessage::PermitAsk(ask) => self.on_permit_ask(now, from, ask),
            ServerLimitMessage::PermitAnswer(answer) => {
                let asked = self.server_limits.record_outcome(now, answer.number, &answer.outcome);
                let Some((request, key)) = asked else { return };
                if let PermitOutcome::Unlimited(age) = answer.outcome
                    && self.servers.record_unlimited_by_grantor(key, now - age)
                {
                    self.on_limit_changed(from, key);
                }
                self.wakeups.push(request);
            }
            ServerLimitMessage::LeaseAnswer(answer) => {
                let held = self.server_limits.on_lease_answer(now, from, answer);
                if let Some(server) = held.and_then(|it| self.servers.by_key_mut(it)) {
                    let server = server.announcement.server.clone();
                    self.events.push(Event::LimitLeaseHeld { server });
                }
            }
            // Messages to control hosts.
            ServerLimitMessage::LeaseAsk(_) | ServerLimitMessage::LeaseRelease(_) => {}
        }
    }

    /// Takes the pending messages about the limits of servers.
    pub fn take_limit_messages(&mut self) -> Vec<(HostId, ServerLimitMessage)> {
        self.server_limits.take_messages()
    }

    /// Returns the limit that a server names.
    pub fn server_limit(&self, server: &ServerId) -> Option<LimitRate> {
        let key = self.servers.get(server)?.key();
        self.servers.limit(key).map(|it| it.rate)
    }

    fn on_permit_ask(&mut self, now: Timestamp, from: HostId, ask: &PermitAsk) {
        let key = ServerKey { address: ask.address, incarnation: ask.incarnation };
        let named = KnownLimit::from_message(now, &ask.limit);
        self.record_limit(from, key, named);
        let outcome = match (self.servers.limit(key), self.servers.limit_ended(key)) {
            (Some(limit), _) => self.server_limits.grant(now, key, limit.rate, ask.max_wait_ms),
            (None, Some(ended)) => PermitOutcome::Unlimited(now.since(ended)),
            (None, None) => self.server_limits.grant(now, key, named.rate, ask.max_wait_ms),
        };
        self.server_limits.answer(from, ask.number, outcome);
    }

    /// Processes what a response to this gateway says of the server's limit.
    pub(super) fn on_limit_notice(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        notice: LimitNotice,
        sent_at: Timestamp,
    ) {
        match notice {
            LimitNotice::Limited(rate) => {
                let named = KnownLimit { rate, sent_at, named_at: now };
                let is_new = self.record_limit(self.settings.host, key, named);
                let is_due = self.servers.should_tell_limit(now, key);
                if is_new || is_due {
                    self.report_event(now, key, LoadEvent::Limited(named.to_message(now)));
                }
            }
            LimitNotice::Unlimited => {
                if self.record_unlimited(self.settings.host, key, sent_at) {
                    self.report_event(now, key, LoadEvent::Unlimited(now.since(sent_at)));
                }
            }
            LimitNotice::Unknown => {}
        }
    }

    /// Records a limit that a gateway knows of; returns whether it is new.
    pub(super) fn record_limit(
        &mut self,
        seen_by: HostId,
        key: ServerKey,
        named: KnownLimit,
    ) -> bool {
        let is_new = self.servers.record_limit(key, named);
        if is_new {
            self.on_limit_changed(seen_by, key);
        }
        is_new
    }

    /// Records a response without a limit that a gateway has received; returns whether a limit has
    /// ended.
    pub(super) fn record_unlimited(
        &mut self,
        seen_by: HostId,
        key: ServerKey,
        sent_at: Timestamp,
    ) -> bool {
        let has_ended = self.servers.record_unlimited(key, sent_at);
        if has_ended {
            self.on_limit_changed(seen_by, key);
        }
        has_ended
    }

    fn on_limit_changed(&mut self, seen_by: HostId, key: ServerKey) {
        let limit = self.servers.limit(key).map(|it| it.rate);
        let Some(server) = self.servers.by_key_mut(key) else { return };
        let announcement = &server.announcement;
        let (server, service) = (announcement.server.clone(), announcement.service.clone());
        self.events.push(Event::ServerLimitChanged { server, limit, seen_by });
        if limit.is_none() {
            self.wakeups.extend(self.wait_queues.first(&service));
        }
    }

    /// Decides whether a request may be sent to a server; always if it names no limit.
    pub(super) fn decide_permit(
        &mut self,
        now: Timestamp,
        id: RequestId,
        key: ServerKey,
    ) -> PermitDecision {
        let Some(limit) = self.servers.limit(key) else { return PermitDecision::Ready };
        let request = &self.requests[&id];
        let has_alternative = self.servers.available_for(now, &request.service).any(|it| {
            self.servers.limit(it.key()).is_none()
                && !request.tried.contains(&it.announcement.server)
        });
        let max_wait = match has_alternative {
            true => Millis(0),
            false => {
                self.begin_permit_search(now, id);
                self.max_permit_wait(now, id)
            }
        };
        let grantor = self.servers.by_key_mut(key).map(|it| it.announcement.data_centre.clone());
        let grantor = grantor
            .and_then(|it| self.entry_hosts.grantor_for(&it, key.address, key.incarnation))
            .unwrap_or(self.settings.host);
        let needed = PermitRequest { request: id, key, limit, max_wait, grantor };
        let decision = self.server_limits.decide(now, &needed);
        if let PermitDecision::Denied(until) = decision {
            self.servers.record_no_permit(key, until);
            if let Some(server) = self.servers.by_key_mut(key) {
                let server = server.announcement.server.clone();
                self.events.push(Event::PermitDenied { server, free_in: until.since(now) });
            }
        }
        decision
    }

    /// Returns how long a request may wait for a permit.
    pub(super) fn max_permit_wait(&self, now: Timestamp, id: RequestId) -> Millis {
        let request = &self.requests[&id];
        let response_time = Millis(self.servers.average_latency(&request.route) as u64);
        let time_left = Millis(request.time_left(now).0.saturating_sub(response_time.0));
        let search_left = request.permit_search_ends.map_or(time_left, |it| it.since(now));
        ServerLimits::max_wait(request.route.priority, time_left.min(search_left))
    }

    /// Returns whether a request may still ask for a permit.
    pub(super) fn may_ask_for_permit(&self, now: Timestamp, id: RequestId) -> bool {
        let request = &self.requests[&id];
        request.permit_asks < MAX_PERMIT_ASKS
            && request.permit_search_ends.is_none_or(|it| now < it)
    }

    /// Records that only a permit lets a request go on. The time for that starts anew when a server
    /// is reached.
    pub(super) fn begin_permit_search(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Route { priority, target_latency, .. } = *request.route;
        let ends = now + ServerLimits::max_search(priority, target_latency);
        request.permit_search_ends.get_or_insert(ends);
    }

    /// Returns when a caller of a service should return while all its servers are closed for a time.
    pub(super) fn return_time_while_closed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<Millis> {
        let opens_in = match self.servers.all_closed_for(now, service)? {
            Closed::Leaving => return None,
            Closed::Paused(it) | Closed::AtLimit(it) => it,
        };
        let return_time = self.return_time_at_limit(now, service, opens_in);
        Some(return_time.unwrap_or_else(|| {
            let spread = opens_in.0 as f64 * PAUSE_RETURN_SPREAD;
            Millis(opens_in.0 + (spread * Self::random_unit(&mut self.rng)) as u64)
        }))
    }

    /// Returns when a caller that got no permit should return, not before `free_in`; `None` if
    /// a server of the service names no limit.
    pub(super) fn return_time_at_limit(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        free_in: Millis,
    ) -> Option<Millis> {
        let total = self.servers.total_limit(service)?;
        let gateways = self.entry_hosts.len();
        Some(self.server_limits.return_time(now, service, free_in, total, gateways))
    }
}
