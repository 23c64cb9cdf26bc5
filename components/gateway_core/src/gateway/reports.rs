//! Sends load reports on attempts to other gateways, and processes theirs.

use ::quarantine::Observer;
use ids::{HostId, Timestamp};
use rand_xoshiro::rand_core::RngCore;
use schema::{
    retry_budget::RetryBudgetMessage,
    server_load::{LoadEvent, LoadReport, ReportScope},
};

use super::{Gateway, OutgoingReport};
use crate::{
    events::Event,
    servers::{ServerKey, notices::KnownLimit},
};

impl Gateway {
    /// Processes a load report of another gateway.
    pub fn on_report(&mut self, now: Timestamp, from: HostId, report: &LoadReport) {
        let key = ServerKey { address: report.address, incarnation: report.incarnation };
        match report.scope {
            ReportScope::Near => {
                self.rates.record_heard(now, from);
                self.servers.record_peer_in_flight(now, from, key, report.in_flight);
            }
            ReportScope::ToPassOn => self.relay(report),
            ReportScope::PassedOn => {}
        }
        match report.event {
            LoadEvent::Lost(fingerprint) => {
                self.record_lost(now, fingerprint, key, Observer::Other);
            }
            LoadEvent::Answered(_) => self.quarantine.responded_elsewhere(now, key),
            LoadEvent::Leaving => {
                self.record_leaving(from, key);
            }
            LoadEvent::Limited(ref named) => {
                self.servers.record_limit_told(now, key);
                self.record_limit(from, key, KnownLimit::from_message(now, named));
            }
            LoadEvent::Unlimited(age) => {
                self.record_unlimited(from, key, now - age);
            }
            _ => {}
        }
        self.record_event(now, from, key, &report.event);
        self.wake_next(key);
    }

    /// Processes a message about retry budgets from another gateway or a control host.
    pub fn on_retry_budget_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &RetryBudgetMessage,
    ) {
        let fleet_hosts = self.entry_hosts.len();
        let knew_earlier = self.retry_budget.knows_earlier();
        let ready = self.retry_budget.on_message(now, from, message, fleet_hosts);
        self.wakeups.extend(ready);
        if !knew_earlier && self.retry_budget.knows_earlier() {
            let charged = self.retry_budget.earlier_charges(now);
            self.events.push(Event::EarlierRetriesKnown { charged });
        }
    }

    /// Takes the pending messages about retry budgets.
    pub fn take_retry_budget_messages(&mut self) -> Vec<(HostId, RetryBudgetMessage)> {
        self.retry_budget.take_messages()
    }

    pub(super) fn report_start(&mut self, now: Timestamp, key: ServerKey, is_first: bool) {
        let in_flight = self.servers.record_own_start(now, key);
        let event = if is_first { LoadEvent::Started } else { LoadEvent::Repeated };
        self.report(key, in_flight, event);
    }

    pub(super) fn report_end(&mut self, now: Timestamp, key: ServerKey, event: LoadEvent) {
        let in_flight = self.servers.record_own_end(key);
        self.record_event(now, self.settings.host, key, &event);
        let event = if self.may_be_own_fault(now, &event) { LoadEvent::Cancelled } else { event };
        self.report(key, in_flight, event);
        self.wake_next(key);
    }

    /// Reports an event of an attempt that is still in flight.
    pub(super) fn report_event(&mut self, now: Timestamp, key: ServerKey, event: LoadEvent) {
        let in_flight = self.servers.own_in_flight(key);
        self.record_event(now, self.settings.host, key, &event);
        if !self.may_be_own_fault(now, &event) {
            self.report(key, in_flight, event);
        }
    }

    /// Returns whether an event is as likely due to this gateway's paths as to the server, so that
    /// others should not avoid the server for it. Losses of requests that crash servers must be told
    /// as long as the paths are up.
    fn may_be_own_fault(&self, now: Timestamp, event: &LoadEvent) -> bool {
        match event {
            LoadEvent::Overdue | LoadEvent::Unreachable => self.paths.are_doubtful(now),
            LoadEvent::Lost(_) => self.paths.are_down(),
            _ => false,
        }
    }

    /// Records whether a server takes requests that it has slots for.
    fn record_shedding(&mut self, now: Timestamp, key: ServerKey, event: &LoadEvent) {
        let Some(server) = self.servers.by_key_mut(key) else { return };
        let is_shed = match event {
            LoadEvent::Answered(_) => false,
            LoadEvent::Shed if server.in_flight(now) < server.announcement.slots => true,
            _ => return,
        };
        self.shedding.record(now, &server.announcement.service, is_shed);
    }

    fn record_event(&mut self, now: Timestamp, seen_by: HostId, key: ServerKey, event: &LoadEvent) {
        self.record_shedding(now, key, event);
        if !self.servers.record_event(now, key, event) {
            return;
        }
        let Some(server) = self.servers.by_key_mut(key) else { return };
        self.events.push(Event::ServerAvoided {
            server: server.announcement.server.clone(),
            cause: load_event_name(event),
            seen_by,
        });
    }

    /// Wakes the first queued request of the server's service.
    fn wake_next(&mut self, key: ServerKey) {
        let Some(server) = self.servers.by_key_mut(key) else { return };
        let service = server.announcement.service.clone();
        self.wakeups.extend(self.wait_queues.first(&service));
    }

    fn report(&mut self, key: ServerKey, in_flight: u32, event: LoadEvent) {
        let ServerKey { address, incarnation } = key;
        let scope = ReportScope::Near;
        let report = LoadReport { address, incarnation, scope, in_flight, event };
        if is_fleet_wide(&report.event) {
            let to = self.pick_relays();
            let scope = ReportScope::ToPassOn;
            self.send_report(to, LoadReport { scope, ..report.clone() });
        }
        self.send_report(self.local_peers(), report);
    }

    /// Forwards a report from another data centre to the other gateways of this one.
    fn relay(&mut self, report: &LoadReport) {
        let report = LoadReport { scope: ReportScope::PassedOn, ..report.clone() };
        self.send_report(self.local_peers(), report);
    }

    fn send_report(&mut self, to: Vec<HostId>, report: LoadReport) {
        if !to.is_empty() {
            self.reports.push(OutgoingReport { to, report });
        }
    }

    /// Returns the other gateways in this data centre.
    pub(super) fn local_peers(&self) -> Vec<HostId> {
        let entry_hosts = self.entry_hosts.in_data_centre(&self.settings.data_centre);
        entry_hosts.filter(|it| *it != self.settings.host).collect()
    }

    /// Returns the other gateways in this data centre, starting with a random one.
    pub(super) fn rotated_local_peers(&mut self) -> Vec<HostId> {
        let mut peers = self.local_peers();
        if !peers.is_empty() {
            let first = self.rng.next_u64() as usize % peers.len();
            peers.rotate_left(first);
        }
        peers
    }

    /// Picks one gateway in each other data centre.
    pub(super) fn pick_relays(&mut self) -> Vec<HostId> {
        let random = self.rng.next_u64();
        self.entry_hosts.pick_one_in_each_other_data_centre(&self.settings.data_centre, random)
    }
}

/// Returns whether an event is reported to all data centres. Gateways anywhere may use the server,
/// and a lost request costs more than the report, as does one that reaches a server that has left or
/// above its limit.
fn is_fleet_wide(event: &LoadEvent) -> bool {
    match event {
        LoadEvent::Lost(_)
        | LoadEvent::Overdue
        | LoadEvent::Leaving
        | LoadEvent::Limited(_)
        | LoadEvent::Unlimited(_) => true,
        LoadEvent::Started
        | LoadEvent::Repeated
        | LoadEvent::Answered(_)
        | LoadEvent::ServerError
        | LoadEvent::Shed
        | LoadEvent::Unreachable
        | LoadEvent::Cancelled => false,
    }
}

fn load_event_name(event: &LoadEvent) -> &'static str {
    match event {
        LoadEvent::Started => "started",
        LoadEvent::Repeated => "repeated",
        LoadEvent::Answered(_) => "answered",
        LoadEvent::ServerError => "server-error",
        LoadEvent::Shed => "shed",
        LoadEvent::Lost(_) => "lost",
        LoadEvent::Overdue => "overdue",
        LoadEvent::Unreachable => "unreachable",
        LoadEvent::Cancelled => "cancelled",
        LoadEvent::Leaving => "leaving",
        LoadEvent::Limited(_) => "limited",
        LoadEvent::Unlimited(_) => "unlimited",
    }
}
