//! Applies changes of the configuration, the members, the backend servers and the claim map.

use std::sync::Arc;

use claims::ClaimMap;
use ids::{Blob, ServerId, ServiceName, Timestamp, WallTime};
use membership::{Member, MemberRole, MemberState};
use schema::{
    announcement::{Announcement, ServerState},
    claims::ClaimMapState,
    config_text::ConfigText,
};

use crate::core::{Capacity, EntryCore, ServiceState};

impl EntryCore {
    pub(crate) fn apply_config(&mut self, now: Timestamp, wall: WallTime, text: &ConfigText) {
        let Ok(config) = config::validate(text.clone()) else {
            // Control hosts accept only valid configurations, but a newer version of them may have
            // other rules than this host.
            log::error!(version = text.version.0; "accepted configuration fails validation");
            return;
        };
        log::info!(version = config.version().0; "configuration in force");
        self.routes = routing::RouteTable::build(&text.routes);
        let mut previous = std::mem::take(&mut self.services);
        for service in &text.services {
            let settings = Arc::new(service.clone());
            let state = match previous.remove(&service.name) {
                Some(state) => ServiceState { service: settings, capacity: None, ..state },
                None => ServiceState::new(now, settings),
            };
            self.services.insert(service.name.clone(), state);
        }
        self.dependencies.configure(&text.services);
        self.health.set_services(now, &text.services);
        self.organisations.configure(now, &text.default_organisation, &text.organisations);
        self.config = Some(Arc::new(config));
        let actions = self.admission.configure(&text.services);
        self.handle_admission_actions(now, wall, actions);
        self.update_capacity(now, wall);
    }

    pub(crate) fn apply_claim_map(&mut self, now: Timestamp, wall: WallTime, content: &Blob) {
        let Ok(state) = schema::decode::<ClaimMapState>(content.as_slice()) else {
            log::error!("claim map cannot be decoded");
            return;
        };
        log::info!(epoch = state.epoch.0; "claim map in force");
        let actions = self.claims.set_map(now, wall, ClaimMap::from_state(state));
        self.handle_claim_actions(now, wall, actions);
    }

    pub(crate) fn on_members_changed(&mut self, now: Timestamp, wall: WallTime) {
        let live_hosts: Vec<_> = self.fleet.membership().members().filter_map(live_host).collect();
        let hosts: Vec<_> = live_hosts.iter().map(|it| it.host).collect();
        self.health.set_hosts(now, &live_hosts);
        self.organisations.set_hosts(now, &hosts);
        let actions = self.quarantine.set_hosts(now, &hosts);
        self.handle_quarantine_actions(now, wall, actions);
    }

    /// Stores the new announcement of a backend server.
    pub(crate) fn on_server_changed(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        announcement: Announcement,
    ) {
        log::info!(
            server:% = announcement.server,
            service:% = announcement.service,
            state:% = announcement.state;
            "server announced"
        );
        let service = announcement.service.clone();
        let server = announcement.server.clone();
        match known_server(&announcement) {
            Some(known) => self.health.set_server(now, &known),
            None => self.health.remove_server(now, &server),
        }
        self.servers.insert(server, announcement);
        self.update_capacity_of(now, wall, &service);
    }

    pub(crate) fn on_server_removed(&mut self, now: Timestamp, wall: WallTime, server: &ServerId) {
        self.health.remove_server(now, server);
        self.lost_connections.remove_server(server);
        if let Some(announcement) = self.servers.remove(server) {
            self.update_capacity_of(now, wall, &announcement.service);
        }
    }

    /// Passes the capacity of every service to admission and dependency tracking.
    pub(crate) fn update_capacity(&mut self, now: Timestamp, wall: WallTime) {
        let services: Vec<_> = self.services.keys().cloned().collect();
        services.iter().for_each(|it| self.update_capacity_of(now, wall, it));
    }

    fn update_capacity_of(&mut self, now: Timestamp, wall: WallTime, name: &ServiceName) {
        let Some(state) = self.services.get_mut(name) else { return };
        let rotation = self.health.rotation(name);
        let can_serve = rotation.iter().any(|it| it.weight > 0 && !it.last_resort);
        let servers = u32::try_from(rotation.len()).unwrap_or(u32::MAX);
        let slots = servers.saturating_mul(state.service.slots_per_server);
        let capacity = Capacity { slots, can_serve };
        if state.capacity == Some(capacity) {
            return;
        }
        state.capacity = Some(capacity);
        self.dependencies.set_available(now, name, can_serve);
        let actions = self.admission.set_slots(now, name, slots);
        self.handle_admission_actions(now, wall, actions);
    }
}

/// Returns the member as a live entry host, or `None` if it is not one.
fn live_host(member: &Member) -> Option<health::LiveHost> {
    let is_entry = matches!(member.role, MemberRole::Entry(_));
    let is_live = matches!(member.state, MemberState::Serving | MemberState::Draining);
    (is_entry && is_live).then(|| health::LiveHost {
        host: member.host,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
    })
}

/// Returns what the health component has to know of a server, or `None` if it has stopped.
fn known_server(announcement: &Announcement) -> Option<health::KnownServer> {
    let state = match announcement.state {
        ServerState::Stopped => return None,
        ServerState::Draining => health::KnownState::Draining,
        ServerState::Starting => health::KnownState::Starting,
        ServerState::Serving => health::KnownState::Serving,
    };
    Some(health::KnownServer {
        server: announcement.server.clone(),
        service: announcement.service.clone(),
        data_centre: announcement.data_centre.clone(),
        incarnation: announcement.incarnation,
        state,
    })
}
