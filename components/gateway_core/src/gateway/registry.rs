//! Applies updates from the registry, and answers callers' directory requests.

use ids::{DataCentreName, HostId, RegionName, Timestamp};
use schema::{
    registry::ConfigDocument,
    sync::{EntryHostRecord, EntryHostState, Presence, RegistryUpdate, Update, UpdateBegins},
};

use super::Gateway;
use crate::{
    entry_hosts::DirectoryAnswer,
    events::Event,
    registry_poller::{OutgoingPoll, PollContent},
    settings::Lifecycle,
};

impl Gateway {
    /// Returns the poll to be sent now, if any; there may be several, one at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<OutgoingPoll> {
        self.update_rates(now);
        self.quarantine.tick(now);
        let content = PollContent {
            presence: Presence::Entry(self.own_record()),
            holds_hosts: self.entry_hosts.revision(),
            hosts_digest: self.entry_hosts.digest(),
        };
        self.registry_poller.poll(now, content, &mut self.events)
    }

    /// Returns when [`Self::poll`] must be called again if no update arrives.
    pub fn next_poll(&self) -> Timestamp {
        let poll = self.registry_poller.next_wakeup();
        self.quarantine.next_tick().map_or(poll, |it| it.min(poll))
    }

    /// Applies an update; returns a new configuration to be decoded and applied, if it contains
    /// one.
    pub fn on_update(
        &mut self,
        now: Timestamp,
        from: HostId,
        update: Update,
    ) -> Option<ConfigDocument> {
        let answered = self.registry_poller.take_answered(from, update.sequence)?;
        if update.current {
            self.rates.record_current(now);
            self.quarantine.record_contact(now);
            self.registry_poller.set_control_hosts(now, &update.control_hosts);
            self.server_limits.set_control_hosts(self.registry_poller.control_hosts());
            let nearest = self.registry_poller.control_hosts_by_rank(self.settings.host);
            self.retry_budget.set_control_hosts(now, nearest);
            self.apply_hosts(now, update.hosts);
        }
        let config = match update.registry {
            RegistryUpdate::Changed(changes) if update.current => self.apply_registry(now, changes),
            RegistryUpdate::Changed(_) | RegistryUpdate::Unchanged => None,
        };
        self.registry_poller.record_answer(now, answered, update.current, &mut self.events);
        config
    }

    /// Handles the notice that a control host has started to send a large update.
    pub fn on_update_begins(&mut self, now: Timestamp, from: HostId, begins: &UpdateBegins) {
        self.registry_poller.extend_timeout(now, from, begins.sequence, begins.size);
    }

    /// Adds control hosts from reloaded settings.
    pub fn add_seeds(&mut self, seeds: &[HostId]) {
        self.registry_poller.add_seeds(seeds);
    }

    /// Returns the addresses of entry hosts for a caller.
    pub fn directory(
        &self,
        region: Option<&RegionName>,
        data_centre: Option<&DataCentreName>,
    ) -> DirectoryAnswer {
        let mut addresses = self.entry_hosts.addresses_for(region, data_centre);
        if addresses.is_empty() && self.lifecycle == Lifecycle::Serving {
            addresses.push(self.settings.caller_address);
        }
        DirectoryAnswer { addresses, ttl: self.settings.directory_ttl }
    }

    fn own_record(&self) -> EntryHostRecord {
        let settings = &self.settings;
        EntryHostRecord {
            host: settings.host,
            incarnation: settings.incarnation,
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_address,
            state: match self.lifecycle {
                Lifecycle::Joining => EntryHostState::Joining,
                Lifecycle::Serving if self.paths.are_down() => EntryHostState::Detoured,
                Lifecycle::Serving => EntryHostState::Serving,
                Lifecycle::Draining(_) => EntryHostState::Draining,
            },
        }
    }

    fn apply_hosts(&mut self, now: Timestamp, update: schema::sync::HostsUpdate) {
        let before: Vec<_> = self
            .local_peers()
            .into_iter()
            .map(|it| (it, self.entry_hosts.incarnation(it)))
            .collect();
        self.entry_hosts.apply(update);
        // A host that isn't serving removes itself from its own directory at once, even if the
        // control hosts still list it.
        if self.lifecycle != Lifecycle::Serving {
            self.entry_hosts.remove(self.settings.host);
        }
        self.keeper_places_outdated = true;
        self.relays.retain(|it| self.entry_hosts.incarnation(it).is_some());
        // The requests of a gateway that has left or restarted have ended with its process.
        for (host, incarnation) in before {
            if self.entry_hosts.incarnation(host) != incarnation {
                self.servers.forget_peer(now, host);
                self.work.forget_peer(host);
            }
        }
    }

    fn apply_registry(
        &mut self,
        now: Timestamp,
        changes: schema::sync::RegistryChanges,
    ) -> Option<ConfigDocument> {
        // Another control host may have answered since this one was polled, which was ahead of it.
        if changes.up_to < self.registry_poller.applied_index {
            return None;
        }
        self.note_starts(now, &changes.servers);
        for announcement in self.servers.apply(&changes) {
            self.events.push(Event::ServerAnnounced {
                server: announcement.server,
                service: announcement.service,
                data_centre: announcement.data_centre,
                state: announcement.state,
            });
        }
        self.work.retain(|it| self.servers.contains(it));
        self.registry_poller.applied_index = self.registry_poller.applied_index.max(changes.up_to);
        changes.config.into_iter().next()
    }
}
