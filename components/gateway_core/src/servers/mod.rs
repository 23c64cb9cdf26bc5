//! The backend servers: what they announced, how busy they are and how they fare.
//!
//! Load pattern: few slots a server, shared by many gateways with a request or two in flight each.
//! Counts of one gateway say nothing, so gateways of one data centre tell each other each start
//! and end of an attempt, and each adds up what all of them have in flight.

mod failure_rate;
pub mod health;
pub mod placement;

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{
    ByteSize, DataCentreName, FastMap, HostId, Incarnation, Millis, RegionName, ServerId,
    ServiceName, Timestamp,
};
use schema::{
    announcement::{Announcement, ServerState},
    server_load::LoadEvent,
    sync::RegistryChanges,
};

use failure_rate::FailureRate;
use health::{BrokenPrior, ServerHealth};

use crate::configuration::{Route, RouteKey};

/// Age at which another gateway's count no longer holds, in milliseconds: longer than any attempt
/// lasts on the services of today, so that only counts of lost gateways run out.
const COUNT_TIMEOUT: Millis = Millis(15_000);

/// Share of a new latency in a moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// Share of a new size in a moving average.
const SIZE_EWMA_WEIGHT: f64 = 0.2;

/// Size of request and answer that is assumed before there was one, in kilobytes.
const INITIAL_KILOBYTES: f64 = 2.0;

/// How far a single latency counts above the usual one.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Share of a new latency in a server's slowness; servers differ, and few observations come.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.3;

/// Part of a route's latency aim that its answers are assumed to take before there are any.
const INITIAL_LATENCY_SHARE: f64 = 1.0 / 3.0;

/// Least usual latency, in milliseconds, so that the ratio to it means something.
const MIN_AVERAGE_LATENCY_MS: f64 = 1.0;

/// Time in which a server's slowness halves towards 1 without news, in milliseconds.
const SLOWDOWN_HALF_LIFE_MS: f64 = 8_000.0;

/// How far a backend server is from this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// One start of a backend server; addresses are used again by others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ServerKey {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
}

impl ServerKey {
    pub(crate) fn of(announcement: &Announcement) -> Self {
        Self { address: announcement.address, incarnation: announcement.incarnation }
    }
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// What it last announced.
    pub announcement: Announcement,
    /// How far it is.
    pub distance: Distance,
    /// How it fares.
    pub health: ServerHealth,
    own_in_flight: u32,
    /// Attempts of other gateways, and when they said so.
    peer_in_flight: FastMap<HostId, (u32, Timestamp)>,
    /// Latency in relation to the service's usual one.
    slowdown: f64,
    slowdown_at: Timestamp,
    /// When the server last answered, or got work after having none.
    last_progress_at: Timestamp,
    /// When a gateway of this data centre last sent it a request.
    last_used_at: Option<Timestamp>,
    /// Whether it said that another server has its address.
    is_misplaced: bool,
}

impl Server {
    fn new(announcement: Announcement, distance: Distance) -> Self {
        Self {
            announcement,
            distance,
            health: ServerHealth::default(),
            own_in_flight: 0,
            peer_in_flight: FastMap::default(),
            slowdown: 1.0,
            slowdown_at: Timestamp::default(),
            last_progress_at: Timestamp::default(),
            last_used_at: None,
            is_misplaced: false,
        }
    }

    /// Attempts that it works on, as far as this data centre's gateways know.
    pub fn in_flight(&self, now: Timestamp) -> u32 {
        let fresh = self.peer_in_flight.values().filter(|(_, at)| now.since(*at) < COUNT_TIMEOUT);
        self.own_in_flight + fresh.map(|(count, _)| count).sum::<u32>()
    }

    /// Time since a gateway of this data centre last sent it a request.
    pub fn idle(&self, now: Timestamp) -> Option<Millis> {
        self.last_used_at.map(|at| now.since(at))
    }

    /// Whether new requests may be sent to it.
    pub fn accepts_requests(&self) -> bool {
        let is_open =
            matches!(self.announcement.state, ServerState::Serving | ServerState::Starting);
        is_open && !self.is_misplaced
    }

    /// Its latency in relation to the service's usual one, which a server with work and no
    /// answers shows before its first late answer comes.
    fn slowdown(&self, now: Timestamp, avg_latency: f64) -> f64 {
        let elapsed = now.since(self.slowdown_at).0 as f64;
        let decayed = 1.0 + (self.slowdown - 1.0) * (-elapsed / SLOWDOWN_HALF_LIFE_MS).exp2();
        let stalled = match self.in_flight(now) {
            0 => 0.0,
            _ => now.since(self.last_progress_at).0 as f64 / (avg_latency * STALL_LATENCY_FACTOR),
        };
        decayed.max(stalled)
    }

    fn record_latency(&mut self, now: Timestamp, latency: f64, avg_latency: f64) {
        let current = self.slowdown(now, avg_latency);
        let ratio = (latency / avg_latency).clamp(0.3, 50.0);
        self.slowdown = current + (ratio - current) * SLOWDOWN_EWMA_WEIGHT;
        self.slowdown_at = now;
    }
}

/// Usual latencies without any answer from a busy server after which it counts as slow.
const STALL_LATENCY_FACTOR: f64 = 2.0;

/// All backend servers.
#[derive(Debug)]
pub struct ServerTable {
    own_region: RegionName,
    own_data_centre: DataCentreName,
    /// Regions by data centre.
    regions: FastMap<DataCentreName, RegionName>,
    servers: BTreeMap<ServerId, Server>,
    by_address: FastMap<SocketAddr, ServerId>,
    by_service: FastMap<ServiceName, Vec<ServerId>>,
    /// How common broken servers are, by service.
    broken_priors: FastMap<ServiceName, BrokenPrior>,
    /// How many attempts of this data centre's gateways fail, by service.
    failure_rates: FastMap<ServiceName, FailureRate>,
    /// Usual latencies by route, in milliseconds.
    average_latencies: FastMap<RouteKey, f64>,
    /// Usual sizes of request and answer by route, in kilobytes.
    average_kilobytes_by_route: FastMap<RouteKey, f64>,
}

impl ServerTable {
    /// A table without servers, for a gateway in this place.
    pub fn new(
        own_region: RegionName,
        own_data_centre: DataCentreName,
        regions: FastMap<DataCentreName, RegionName>,
    ) -> Self {
        Self {
            own_region,
            own_data_centre,
            regions,
            servers: BTreeMap::new(),
            by_address: FastMap::default(),
            by_service: FastMap::default(),
            broken_priors: FastMap::default(),
            failure_rates: FastMap::default(),
            average_latencies: FastMap::default(),
            average_kilobytes_by_route: FastMap::default(),
        }
    }

    /// Takes over what the registry says; returns the servers that said something new.
    pub fn apply(&mut self, changes: &RegistryChanges) -> Vec<Announcement> {
        if changes.whole {
            let listed: Vec<_> = changes.servers.iter().map(|it| &it.server).collect();
            self.servers.retain(|id, _| listed.contains(&id));
        }
        let mut changed = Vec::new();
        for announcement in &changes.servers {
            if self.apply_announcement(announcement) {
                changed.push(announcement.clone());
            }
        }
        self.rebuild_indexes();
        changed
    }

    /// The server that was announced with this address and start.
    pub(crate) fn by_key_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        let id = self.by_address.get(&key.address)?;
        let server = self.servers.get_mut(id)?;
        (server.announcement.incarnation == key.incarnation).then_some(server)
    }

    /// A server.
    pub fn get(&self, server: &ServerId) -> Option<&Server> {
        self.servers.get(server)
    }

    /// The servers of a service that take work.
    pub fn available_for(&self, service: &ServiceName) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|it| self.servers.get(it)).filter(|it| it.accepts_requests())
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// How common broken servers are in a service.
    pub fn broken_prior(&self, service: &ServiceName) -> BrokenPrior {
        self.broken_priors.get(service).copied().unwrap_or_default()
    }

    /// Whether many attempts at a service fail now.
    pub fn has_widespread_failures(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.failure_rates.get(service).is_some_and(|it| it.is_widespread(now))
    }

    /// Counts the end of an attempt of this data centre's gateways for [`Self::is_in_distress`].
    pub(crate) fn record_outcome(&mut self, now: Timestamp, key: ServerKey, event: &LoadEvent) {
        let has_failed = match event {
            LoadEvent::Answered(_) => false,
            LoadEvent::Lost(_) | LoadEvent::Overdue | LoadEvent::ServerError => true,
            LoadEvent::Started
            | LoadEvent::Repeated
            | LoadEvent::Cancelled
            | LoadEvent::Shed
            | LoadEvent::Unreachable => return,
        };
        let Some(server) = self.by_key_mut(key) else { return };
        let service = server.announcement.service.clone();
        self.failure_rates.entry(service).or_default().record(now, has_failed);
    }

    /// The usual latency of a route, in milliseconds.
    pub fn average_latency(&self, route: &Route) -> f64 {
        let known = self.average_latencies.get(&route.key()).copied();
        known
            .unwrap_or(route.target_latency.0 as f64 * INITIAL_LATENCY_SHARE)
            .max(MIN_AVERAGE_LATENCY_MS)
    }

    /// The usual size of a route's request and answer together, in kilobytes.
    pub fn average_kilobytes(&self, route: &Route) -> f64 {
        self.average_kilobytes_by_route.get(&route.key()).copied().unwrap_or(INITIAL_KILOBYTES)
    }

    /// Learns the size of a route's request and answer.
    pub(crate) fn record_size(&mut self, route: RouteKey, size: ByteSize) {
        let kilobytes = size.0 as f64 / 1_000.0;
        let average = self.average_kilobytes_by_route.entry(route).or_insert(kilobytes);
        *average += (kilobytes - *average) * SIZE_EWMA_WEIGHT;
    }

    /// Learns the latency of a route from an answer.
    pub(crate) fn record_latency(&mut self, route: RouteKey, millis: f64) {
        let millis = millis.max(MIN_AVERAGE_LATENCY_MS);
        let average = self.average_latencies.entry(route).or_insert(millis);
        // Slow servers are the exception that the usual latency is for.
        let bounded = millis.min(*average * MAX_LATENCY_RATIO);
        *average += (bounded - *average) * LATENCY_EWMA_WEIGHT;
    }

    /// Notes an attempt of this gateway; returns what it now has in flight there.
    pub(crate) fn record_own_start(&mut self, now: Timestamp, key: ServerKey) -> u32 {
        let Some(server) = self.by_key_mut(key) else { return 0 };
        if server.in_flight(now) == 0 {
            server.last_progress_at = now;
        }
        server.own_in_flight += 1;
        server.last_used_at = Some(now);
        server.own_in_flight
    }

    /// Notes the end of an attempt of this gateway; returns what it now has in flight there.
    pub(crate) fn record_own_end(&mut self, key: ServerKey) -> u32 {
        let Some(server) = self.by_key_mut(key) else { return 0 };
        server.own_in_flight = server.own_in_flight.saturating_sub(1);
        server.own_in_flight
    }

    /// Attempts of this gateway that a server works on.
    pub(crate) fn own_in_flight(&mut self, key: ServerKey) -> u32 {
        self.by_key_mut(key).map_or(0, |it| it.own_in_flight)
    }

    /// Notes what another gateway has in flight.
    pub(crate) fn record_peer_in_flight(
        &mut self,
        now: Timestamp,
        from: HostId,
        key: ServerKey,
        in_flight: u32,
    ) {
        let Some(server) = self.by_key_mut(key) else { return };
        if server.in_flight(now) == 0 {
            server.last_progress_at = now;
        }
        if in_flight > 0 {
            server.last_used_at = Some(now);
        }
        match in_flight {
            0 => server.peer_in_flight.remove(&from),
            _ => server.peer_in_flight.insert(from, (in_flight, now)),
        };
    }

    /// Forgets the counts of a gateway that is gone.
    pub(crate) fn forget_peer(&mut self, host: HostId) {
        for server in self.servers.values_mut() {
            server.peer_in_flight.remove(&host);
        }
    }

    /// Notes what happened to an attempt; says whether the server is avoided only now.
    pub(crate) fn record_event(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        event: &LoadEvent,
    ) -> bool {
        let Some(id) = self.by_address.get(&key.address) else { return false };
        let Some(server) = self.servers.get_mut(id) else { return false };
        if server.announcement.incarnation != key.incarnation {
            return false;
        }
        let service = &server.announcement.service;
        if !self.broken_priors.contains_key(service) {
            self.broken_priors.insert(service.clone(), BrokenPrior::default());
        }
        let prior = self.broken_priors.get_mut(service).expect("was just inserted");
        match event {
            LoadEvent::Started | LoadEvent::Repeated | LoadEvent::Cancelled => {}
            LoadEvent::Answered(answered) => {
                server.health.record_answered(now, prior);
                server.last_progress_at = now;
                let route = RouteKey(answered.route);
                let avg_latency = self.average_latencies.get(&route).copied();
                let millis = f64::from(answered.latency_ms).max(1.0);
                if let Some(avg_latency) = avg_latency {
                    server.record_latency(now, millis, avg_latency);
                }
                self.record_latency(route, millis);
            }
            LoadEvent::ServerError => {
                server.health.record_server_error(now);
                server.last_progress_at = now;
            }
            LoadEvent::Shed => server.health.record_shed(now),
            LoadEvent::Lost(_) | LoadEvent::Overdue => {
                return server.health.record_lost(now, prior);
            }
            LoadEvent::Unreachable => server.health.record_unreachable(now),
        }
        false
    }

    /// Notes that another server has this one's address.
    pub(crate) fn mark_misplaced(&mut self, key: ServerKey) {
        if let Some(server) = self.by_key_mut(key) {
            server.is_misplaced = true;
        }
    }

    /// Takes over an announcement; false when it says nothing new.
    fn apply_announcement(&mut self, announcement: &Announcement) -> bool {
        let distance = self.distance(&announcement.data_centre);
        match self.servers.get_mut(&announcement.server) {
            Some(known) if known.announcement == *announcement => false,
            Some(known) if ServerKey::of(&known.announcement) == ServerKey::of(announcement) => {
                known.announcement = announcement.clone();
                true
            }
            Some(_) | None => {
                let server = Server::new(announcement.clone(), distance);
                self.servers.insert(announcement.server.clone(), server);
                true
            }
        }
    }

    fn distance(&self, data_centre: &DataCentreName) -> Distance {
        if *data_centre == self.own_data_centre {
            return Distance::SameDataCentre;
        }
        match self.regions.get(data_centre) == Some(&self.own_region) {
            true => Distance::SameRegion,
            false => Distance::OtherRegion,
        }
    }

    fn rebuild_indexes(&mut self) {
        self.servers
            .retain(|_, it| it.announcement.state != ServerState::Stopped || it.own_in_flight > 0);
        self.by_address.clear();
        self.by_service.clear();
        for (id, server) in &self.servers {
            let announcement = &server.announcement;
            // A server that has left may still have attempts to end, unless it was replaced.
            match announcement.state {
                ServerState::Stopped => {
                    self.by_address.entry(announcement.address).or_insert_with(|| id.clone());
                }
                _ => {
                    self.by_address.insert(announcement.address, id.clone());
                }
            }
            self.by_service.entry(announcement.service.clone()).or_default().push(id.clone());
        }
    }
}
