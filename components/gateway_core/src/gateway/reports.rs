//! Tells nearby gateways of attempts, and hears of theirs.

use ids::{HostId, Timestamp};
use schema::server_load::{LoadEvent, LoadReport};

use super::{Gateway, ReportOut};
use crate::{notes::Note, servers::ServerKey};

impl Gateway {
    /// Takes in what another gateway reports.
    pub fn on_report(&mut self, now: Timestamp, from: HostId, report: &LoadReport) {
        let key = ServerKey { address: report.address, incarnation: report.incarnation };
        self.servers.note_other(now, from, key, report.in_flight);
        if let LoadEvent::Lost(fingerprint) = report.event {
            self.note_lost(now, None, fingerprint, key);
        }
        self.note_event(now, from, key, &report.event);
        self.wake_next(key);
    }

    pub(super) fn report_start(&mut self, now: Timestamp, key: ServerKey, is_first: bool) {
        let in_flight = self.servers.note_own_start(now, key);
        let event = if is_first { LoadEvent::Started } else { LoadEvent::Repeated };
        self.report(key, in_flight, event);
    }

    pub(super) fn report_end(&mut self, now: Timestamp, key: ServerKey, event: LoadEvent) {
        let in_flight = self.servers.note_own_end(key);
        self.note_event(now, self.settings.host, key, &event);
        self.report(key, in_flight, event);
        self.wake_next(key);
    }

    /// Reports something of an attempt that is still in flight.
    pub(super) fn report_event(&mut self, now: Timestamp, key: ServerKey, event: LoadEvent) {
        let in_flight = self.servers.own_in_flight(key);
        self.note_event(now, self.settings.host, key, &event);
        self.report(key, in_flight, event);
    }

    fn note_event(&mut self, now: Timestamp, seen_by: HostId, key: ServerKey, event: &LoadEvent) {
        if !self.servers.note_event(now, key, event) {
            return;
        }
        let Some(server) = self.servers.by_key_mut(key) else { return };
        self.notes.push(Note::ServerAvoided {
            server: server.announcement.server.clone(),
            cause: event_name(event),
            seen_by,
        });
    }

    /// Wakes the request that goes first at a server's service.
    fn wake_next(&mut self, key: ServerKey) {
        let Some(server) = self.servers.by_key_mut(key) else { return };
        let service = server.announcement.service.clone();
        self.wakeups.extend(self.waiting.first(&service));
    }

    fn report(&mut self, key: ServerKey, in_flight: u32, event: LoadEvent) {
        let settings = &self.settings;
        let mut to: Vec<HostId> = self.hosts.in_data_centre(&settings.data_centre).collect();
        if concerns_region(&event) {
            to.extend(self.hosts.elsewhere_in_region(&settings.region, &settings.data_centre));
        }
        to.retain(|it| *it != settings.host);
        if to.is_empty() {
            return;
        }
        let ServerKey { address, incarnation } = key;
        let report = LoadReport { address, incarnation, in_flight, event };
        self.reports.push(ReportOut { to, report });
    }
}

/// Whether gateways of the region's other data centres should hear of it too.
fn concerns_region(event: &LoadEvent) -> bool {
    matches!(event, LoadEvent::Lost(_) | LoadEvent::Overdue | LoadEvent::Unreachable)
}

fn event_name(event: &LoadEvent) -> &'static str {
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
    }
}
