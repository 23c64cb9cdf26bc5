//! Handles announcements, records and renewals of backend servers.

use std::collections::BTreeSet;

use ids::{DataCentreName, HostId, Millis, ServerId, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    dissemination::{DisseminationMessage, ServerBuckets, ServerRecord, ServerVersion},
};

use crate::{
    dissemination::{Dissemination, DisseminationAction, send},
    renewals::monitors,
    servers::Outcome,
};

/// Maximum number of server records in one message; keeps it well below the size limit.
const RECORDS_PER_MESSAGE: usize = 500;

/// Interval between two searches for expired servers.
const EXPIRY_INTERVAL: Millis = Millis(5_000);

impl Dissemination {
    /// Handles an announcement that a backend server sent to this host.
    pub fn announce(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
    ) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        let server = announcement.server.clone();
        let version = (announcement.incarnation, announcement.sequence);
        let outcome = self.servers.announce(now, announcement);
        if outcome == Outcome::Outdated {
            return actions;
        }
        self.reset_monitor(now, &server);
        if outcome == Outcome::Renewed {
            self.forward_renewal(&server, version);
            return actions;
        }
        self.push_server_action(&server, outcome, &mut actions);
        self.send_servers_to_links(None, vec![server], &mut actions);
        actions
    }

    /// Returns the announcements of all known backend servers that have not stopped.
    pub fn servers(&self) -> impl Iterator<Item = &Announcement> {
        let announcements = self.servers.iter().map(|it| &it.record.announcement);
        announcements.filter(|it| it.state != ServerState::Stopped)
    }

    pub(crate) fn on_server_records(
        &mut self,
        now: Timestamp,
        from: HostId,
        records: Vec<ServerRecord>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let mut updated = Vec::new();
        let mut refuted = Vec::new();
        for record in records {
            let server = record.announcement.server.clone();
            match self.servers.merge(now, record) {
                Outcome::Outdated | Outcome::Renewed => {}
                Outcome::Refuted => refuted.push(server),
                outcome => {
                    self.reset_monitor(now, &server);
                    self.push_server_action(&server, outcome, actions);
                    updated.push(server);
                }
            }
        }
        self.send_servers_to_links(Some(from), updated, actions);
        self.send_servers_to_links(None, refuted, actions);
    }

    pub(crate) fn on_renewals(
        &mut self,
        now: Timestamp,
        renewals: Vec<ServerVersion>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let mut fresh = Vec::new();
        for renewal in renewals {
            let version = (renewal.incarnation, renewal.sequence);
            let outcome = self.servers.renew(now, &renewal.server, version);
            if outcome == Outcome::Outdated {
                continue;
            }
            self.renewals.record(now, &renewal.server);
            if outcome == Outcome::Fresh {
                self.push_server_action(&renewal.server, outcome, actions);
                fresh.push(renewal.server);
            }
        }
        self.send_servers_to_links(None, fresh, actions);
    }

    /// Sends the records of the buckets that differ and, if asked for, the digests of this host.
    pub(crate) fn on_server_buckets(
        &self,
        from: HostId,
        buckets: &ServerBuckets,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let records = self.servers.differing(&buckets.digests);
        for page in records.chunks(RECORDS_PER_MESSAGE) {
            actions.push(send(from, DisseminationMessage::Servers(page.to_vec())));
        }
        if buckets.wants_answer {
            let digests = self.servers.bucket_digests();
            let answer = ServerBuckets { digests, wants_answer: false };
            actions.push(send(from, DisseminationMessage::ServerBuckets(answer)));
        }
    }

    /// Decides which servers of data centres with changed entry hosts this host monitors.
    ///
    /// Servers whose data centre has no live entry host are included.
    pub(crate) fn assign_monitors(&mut self, now: Timestamp, changed: &BTreeSet<DataCentreName>) {
        let view = &self.view;
        let is_affected = |it: &&Announcement| {
            changed.contains(&it.data_centre) || !view.entry_hosts.contains_key(&it.data_centre)
        };
        let announcements = self.servers.iter().map(|it| &it.record.announcement);
        let servers = announcements.filter(is_affected).map(|it| it.server.clone());
        for server in servers.collect::<Vec<_>>() {
            self.assign_monitor(now, &server);
        }
    }

    pub(crate) fn send_renewals(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        if now.since(self.renewals.sent_at) < self.settings.renewal_interval {
            return;
        }
        self.renewals.sent_at = now;
        for (to, renewals) in self.renewals.take_outgoing() {
            actions.push(send(to, DisseminationMessage::Renewals(renewals)));
        }
    }

    /// Marks monitored servers with an overdue renewal stale, and removes expired servers.
    pub(crate) fn check_renewals(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let grace = self.settings.renewal_grace;
        let mut stale = Vec::new();
        for (server, renewed_at) in self.renewals.monitored() {
            let Some(known) = self.servers.get(server) else {
                continue;
            };
            let lifetime = known.record.announcement.lifetime_ms;
            if now.since(renewed_at) > Millis(lifetime.0 + grace.0) {
                stale.push(server.clone());
            }
        }
        stale.retain(|it| self.servers.mark_stale(now, it).is_some());
        for server in &stale {
            self.push_server_action(server, Outcome::Stale, actions);
        }
        self.send_servers_to_links(None, stale, actions);
        self.expire_servers(now, actions);
    }

    /// Removes servers that have been stale or stopped for the retention time.
    fn expire_servers(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        if now.since(self.expiry_checked_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expiry_checked_at = now;
        for server in self.servers.expire(now, self.settings.server_retention) {
            self.renewals.stop_monitoring(&server);
            actions.push(DisseminationAction::ServerRemoved { server });
        }
    }

    /// Starts or stops monitoring `server`, depending on whether this host is one of its monitors.
    fn assign_monitor(&mut self, now: Timestamp, server: &ServerId) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        let announcement = &known.record.announcement;
        let in_use = announcement.state != ServerState::Stopped;
        if in_use && monitors(announcement, &self.view).contains(&self.settings.host) {
            self.renewals.start_monitoring(now, server);
        } else {
            self.renewals.stop_monitoring(server);
        }
    }

    /// Updates the monitoring of `server` and, if this host monitors it, resets its timeout.
    fn reset_monitor(&mut self, now: Timestamp, server: &ServerId) {
        self.assign_monitor(now, server);
        self.renewals.record(now, server);
    }

    /// Queues a renewal for the other monitors of the server.
    fn forward_renewal(&mut self, server: &ServerId, version: (ids::Incarnation, u64)) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        for monitor in monitors(&known.record.announcement, &self.view) {
            if monitor != self.settings.host {
                self.renewals.queue(monitor, server, version);
            }
        }
    }

    /// Pushes the action, if any, that tells the owner of this component about `outcome`.
    fn push_server_action(
        &self,
        server: &ServerId,
        outcome: Outcome,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        let announcement = known.record.announcement.clone();
        let server = server.clone();
        match outcome {
            Outcome::Changed if announcement.state == ServerState::Stopped => {
                actions.push(DisseminationAction::ServerRemoved { server });
            }
            Outcome::Changed => actions.push(DisseminationAction::ServerChanged { announcement }),
            Outcome::Stale => actions.push(DisseminationAction::ServerStale { server }),
            Outcome::Fresh => actions.push(DisseminationAction::ServerFresh { server }),
            Outcome::FreshnessConfirmed
            | Outcome::Renewed
            | Outcome::Refuted
            | Outcome::Outdated => {}
        }
    }

    /// Sends the records of `servers` to all links except `except`.
    fn send_servers_to_links(
        &self,
        except: Option<HostId>,
        servers: Vec<ServerId>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let records = servers.iter().filter_map(|it| self.servers.get(it));
        let records = records.map(|it| it.record.clone()).collect::<Vec<_>>();
        for page in records.chunks(RECORDS_PER_MESSAGE) {
            let message = DisseminationMessage::Servers(page.to_vec());
            self.send_to_links(&message, except, actions);
        }
    }
}
