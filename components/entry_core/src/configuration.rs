//! Takes in configuration, members, backend servers and the claim map.

use std::sync::Arc;

use claims::ClaimMap;
use ids::{Blob, ServerId, Timestamp, WallTime};
use membership::{Member, MemberRole, MemberState};
use schema::{
    announcement::{Announcement, ServerState},
    claims::ClaimMapState,
    config_text::ConfigText,
};

use crate::core::{EntryCore, KnownServer, ServiceState};

impl EntryCore {
    pub(crate) fn apply_config(&mut self, now: Timestamp, wall: WallTime, text: &ConfigText) {
        let Ok(config) = config::validate(text.clone()) else {
            // An accepted text always passes; a newer control host may know newer rules.
            log::error!(version = text.version.0; "accepted configuration does not pass the checks");
            return;
        };
        log::info!(version = config.version().0; "configuration in force");
        self.routes = routing::RouteTable::build(&text.routes);
        let mut old = std::mem::take(&mut self.services);
        for service in &text.services {
            let shared = Arc::new(service.clone());
            let state = match old.remove(&service.name) {
                Some(state) => ServiceState { service: shared, ..state },
                None => ServiceState::new(now, shared),
            };
            self.services.insert(service.name.clone(), state);
        }
        self.dependencies.configure(&text.services);
        self.health.set_services(now, &text.services);
        self.organisations.configure(now, &text.default_organisation, &text.organisations);
        self.config = Some(Arc::new(config));
        let actions = self.admission.configure(&text.services);
        self.on_admission(now, wall, actions);
        self.update_capacity(now, wall);
    }

    pub(crate) fn apply_claim_map(&mut self, now: Timestamp, wall: WallTime, content: &Blob) {
        let Ok(state) = schema::decode::<ClaimMapState>(content.as_slice()) else {
            log::error!("claim map cannot be decoded");
            return;
        };
        log::info!(epoch = state.epoch.0; "claim map in force");
        let actions = self.claims.set_map(now, wall, ClaimMap::from_state(state));
        self.on_claims(now, wall, actions);
    }

    pub(crate) fn on_members_changed(&mut self, now: Timestamp) {
        let live: Vec<_> = self.fleet.membership().members().filter_map(live_host).collect();
        let hosts: Vec<_> = live.iter().map(|it| it.host).collect();
        self.health.set_hosts(now, &live);
        self.organisations.set_hosts(now, &hosts);
    }

    pub(crate) fn on_server_changed(&mut self, now: Timestamp, announcement: Announcement) {
        log::info!(
            server:% = announcement.server,
            service:% = announcement.service,
            state:% = announcement.state;
            "server announced"
        );
        let server = announcement.server.clone();
        self.servers.insert(server, KnownServer { announcement, is_stale: false });
        self.update_servers(now);
    }

    pub(crate) fn set_stale(&mut self, now: Timestamp, server: &ServerId, is_stale: bool) {
        if let Some(known) = self.servers.get_mut(server) {
            known.is_stale = is_stale;
            self.update_servers(now);
        }
    }

    pub(crate) fn on_server_removed(&mut self, now: Timestamp, server: &ServerId) {
        self.servers.remove(server);
        self.update_servers(now);
    }

    fn update_servers(&mut self, now: Timestamp) {
        let known: Vec<_> = self.servers.values().filter_map(known_to_health).collect();
        self.health.set_servers(now, &known);
    }

    /// Tells admission and dependencies how many slots each service has in rotation.
    pub(crate) fn update_capacity(&mut self, now: Timestamp, wall: WallTime) {
        let services: Vec<_> = self.services.values().map(|it| it.service.clone()).collect();
        for service in services {
            let rotation = self.health.rotation(&service.name);
            let usable = rotation.iter().filter(|it| it.weight > 0 && !it.last_resort).count();
            let servers = u32::try_from(rotation.len()).unwrap_or(u32::MAX);
            let slots = servers.saturating_mul(service.slots_per_server);
            self.dependencies.set_able(now, &service.name, usable > 0);
            let actions = self.admission.capacity(now, &service.name, slots);
            self.on_admission(now, wall, actions);
        }
    }
}

fn live_host(member: &Member) -> Option<health::LiveHost> {
    let is_entry = matches!(member.role, MemberRole::Entry(_));
    let is_live = matches!(member.state, MemberState::Serving | MemberState::Draining);
    (is_entry && is_live).then(|| health::LiveHost {
        host: member.host,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
    })
}

fn known_to_health(known: &KnownServer) -> Option<health::KnownServer> {
    let announcement = &known.announcement;
    let state = match announcement.state {
        ServerState::Stopped => return None,
        ServerState::Draining => health::KnownState::Draining,
        ServerState::Starting => health::KnownState::Starting,
        // A late announcement alone does not take a server out of use.
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
