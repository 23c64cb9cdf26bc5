//! What this host does about announcements of backend servers.

use std::collections::BTreeSet;

use ids::{DataCentreName, HostId, Millis, ServerId, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    dissemination::{DisseminationMessage, ServerBuckets, ServerRecord, ServerVersion},
};

use crate::{
    dissemination::{Dissemination, DisseminationAction, send},
    renewals::keepers,
    servers::Taken,
};

/// Records in one message, so that a message stays well below the largest size.
const RECORDS_PER_MESSAGE: usize = 500;

/// Between two searches for servers to forget.
const FORGET_INTERVAL: Millis = Millis(5_000);

impl Dissemination {
    /// Takes in what a backend server said to this host.
    pub fn announce(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
    ) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        let server = announcement.server.clone();
        let at = (announcement.incarnation, announcement.sequence);
        let taken = self.servers.announce(now, announcement);
        if taken == Taken::Old {
            return actions;
        }
        self.note_keeper(now, &server);
        if taken == Taken::Renewed {
            self.pass_on_renewal(&server, at);
            return actions;
        }
        self.report(&server, taken, &mut actions);
        self.spread_servers(None, vec![server], &mut actions);
        actions
    }

    /// The announcements of all known backend servers that have not stopped.
    pub fn servers(&self) -> impl Iterator<Item = &Announcement> {
        let announcements = self.servers.iter().map(|it| &it.record.announcement);
        announcements.filter(|it| it.state != ServerState::Stopped)
    }

    pub(crate) fn take_records(
        &mut self,
        now: Timestamp,
        from: HostId,
        records: Vec<ServerRecord>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let mut news = Vec::new();
        let mut contradicted = Vec::new();
        for record in records {
            let server = record.announcement.server.clone();
            match self.servers.merge(now, record) {
                Taken::Old | Taken::Renewed => {}
                Taken::Contradicted => contradicted.push(server),
                taken => {
                    self.note_keeper(now, &server);
                    self.report(&server, taken, actions);
                    news.push(server);
                }
            }
        }
        self.spread_servers(Some(from), news, actions);
        self.spread_servers(None, contradicted, actions);
    }

    pub(crate) fn take_renewals(
        &mut self,
        now: Timestamp,
        renewals: Vec<ServerVersion>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let mut fresh = Vec::new();
        for renewal in renewals {
            let at = (renewal.incarnation, renewal.sequence);
            let taken = self.servers.renew(now, &renewal.server, at);
            if taken == Taken::Old {
                continue;
            }
            self.renewals.note(now, &renewal.server);
            if taken == Taken::Fresh {
                self.report(&renewal.server, taken, actions);
                fresh.push(renewal.server);
            }
        }
        self.spread_servers(None, fresh, actions);
    }

    pub(crate) fn on_buckets(
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

    /// Finds out which servers of changed data centres this host watches for renewals.
    pub(crate) fn assign_keepers(&mut self, now: Timestamp, changed: &BTreeSet<DataCentreName>) {
        let view = &self.view;
        let is_affected = |it: &&Announcement| {
            changed.contains(&it.data_centre) || !view.entry_hosts.contains_key(&it.data_centre)
        };
        let announcements = self.servers.iter().map(|it| &it.record.announcement);
        let servers = announcements.filter(is_affected).map(|it| it.server.clone());
        for server in servers.collect::<Vec<_>>() {
            self.assign_keeper(now, &server);
        }
    }

    pub(crate) fn send_renewals(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        if now.since(self.renewals.sent_at) < self.settings.renewals {
            return;
        }
        self.renewals.sent_at = now;
        for (to, renewals) in self.renewals.take_outgoing() {
            actions.push(send(to, DisseminationMessage::Renewals(renewals)));
        }
    }

    /// Marks servers stale that are late, and drops those that are so for long.
    pub(crate) fn watch_servers(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        let grace = self.settings.renewal_grace;
        let mut stale = Vec::new();
        for (server, at) in self.renewals.kept() {
            let Some(known) = self.servers.get(server) else {
                continue;
            };
            let lifetime = known.record.announcement.lifetime_ms;
            if now.since(at) > Millis(lifetime.0 + grace.0) {
                stale.push(server.clone());
            }
        }
        stale.retain(|it| self.servers.mark_stale(now, it).is_some());
        for server in &stale {
            self.report(server, Taken::Stale, actions);
        }
        self.spread_servers(None, stale, actions);
        self.forget_servers(now, actions);
    }

    fn forget_servers(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        if now.since(self.forgot_at) < FORGET_INTERVAL {
            return;
        }
        self.forgot_at = now;
        for server in self.servers.forget(now, self.settings.forget_server) {
            self.renewals.release(&server);
            actions.push(DisseminationAction::ServerRemoved { server });
        }
    }

    fn assign_keeper(&mut self, now: Timestamp, server: &ServerId) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        let announcement = &known.record.announcement;
        let in_use = announcement.state != ServerState::Stopped;
        if in_use && keepers(announcement, &self.view).contains(&self.settings.host) {
            self.renewals.keep(now, server);
        } else {
            self.renewals.release(server);
        }
    }

    /// Notes a sign of life of a server, if this host watches it.
    fn note_keeper(&mut self, now: Timestamp, server: &ServerId) {
        self.assign_keeper(now, server);
        self.renewals.note(now, server);
    }

    fn pass_on_renewal(&mut self, server: &ServerId, at: (ids::Incarnation, u64)) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        for keeper in keepers(&known.record.announcement, &self.view) {
            if keeper != self.settings.host {
                self.renewals.queue(keeper, server, at);
            }
        }
    }

    fn report(&self, server: &ServerId, taken: Taken, actions: &mut Vec<DisseminationAction>) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        let announcement = known.record.announcement.clone();
        let server = server.clone();
        match taken {
            Taken::Changed if announcement.state == ServerState::Stopped => {
                actions.push(DisseminationAction::ServerRemoved { server });
            }
            Taken::Changed => actions.push(DisseminationAction::ServerChanged { announcement }),
            Taken::Stale => actions.push(DisseminationAction::ServerStale { server }),
            Taken::Fresh => actions.push(DisseminationAction::ServerFresh { server }),
            Taken::Noted | Taken::Renewed | Taken::Contradicted | Taken::Old => {}
        }
    }

    /// Sends what this host holds of the servers to all links but one.
    fn spread_servers(
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
