//! The backend servers: what they announced, how busy they are and how they fare.
//!
//! Load pattern: few slots a server, shared by many gateways with a request or two in flight each.
//! Counts of one gateway say nothing, so gateways of one data centre tell each other each start
//! and end of an attempt, and each adds up what all of them have in flight.

mod distress;
pub mod placement;
pub mod standing;

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

use distress::FailureShare;
use standing::{BrokenShare, Standing};

use crate::configuration::{Route, RouteKey};

/// Age at which another gateway's count no longer holds, in milliseconds: longer than any attempt
/// lasts on the services of today, so that only counts of lost gateways run out.
const COUNT_TIMEOUT: Millis = Millis(15_000);

/// Share of a new latency in a moving average.
const LATENCY_GAIN: f64 = 0.1;

/// Share of a new size in a moving average.
const SIZE_GAIN: f64 = 0.2;

/// Size of request and answer that is assumed before there was one, in kilobytes.
const FIRST_KILOBYTES: f64 = 2.0;

/// How far a single latency counts above the usual one.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Share of a new latency in a server's slowness; servers differ, and few observations come.
const SLOWNESS_GAIN: f64 = 0.3;

/// Part of a route's latency aim that its answers are assumed to take before there are any.
const FIRST_LATENCY_AIM_SHARE: f64 = 1.0 / 3.0;

/// Least usual latency, in milliseconds, so that the ratio to it means something.
const MIN_USUAL_LATENCY: f64 = 1.0;

/// Time in which a server's slowness halves towards 1 without news, in milliseconds.
const SLOWNESS_HALF_LIFE: f64 = 8_000.0;

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
    pub standing: Standing,
    own_in_flight: u32,
    /// Attempts of other gateways, and when they said so.
    others: FastMap<HostId, (u32, Timestamp)>,
    /// Latency in relation to the service's usual one.
    slowness: f64,
    slowness_at: Timestamp,
    /// When the server last answered, or got work after having none.
    progress_at: Timestamp,
    /// When a gateway of this data centre last sent it a request.
    used_at: Option<Timestamp>,
    /// Whether it said that another server has its address.
    is_misplaced: bool,
}

impl Server {
    fn new(announcement: Announcement, distance: Distance) -> Self {
        Self {
            announcement,
            distance,
            standing: Standing::default(),
            own_in_flight: 0,
            others: FastMap::default(),
            slowness: 1.0,
            slowness_at: Timestamp::default(),
            progress_at: Timestamp::default(),
            used_at: None,
            is_misplaced: false,
        }
    }

    /// Attempts that it works on, as far as this data centre's gateways know.
    pub fn in_flight(&self, now: Timestamp) -> u32 {
        let fresh = self.others.values().filter(|(_, at)| now.since(*at) < COUNT_TIMEOUT);
        self.own_in_flight + fresh.map(|(count, _)| count).sum::<u32>()
    }

    /// Time since a gateway of this data centre last sent it a request.
    pub fn idle(&self, now: Timestamp) -> Option<Millis> {
        self.used_at.map(|at| now.since(at))
    }

    /// Whether new requests may be sent to it.
    pub fn takes_work(&self) -> bool {
        let is_open =
            matches!(self.announcement.state, ServerState::Serving | ServerState::Starting);
        is_open && !self.is_misplaced
    }

    /// Its latency in relation to the service's usual one, which a server with work and no
    /// answers shows before its first late answer comes.
    fn slowness(&self, now: Timestamp, usual: f64) -> f64 {
        let elapsed = now.since(self.slowness_at).0 as f64;
        let known = 1.0 + (self.slowness - 1.0) * (-elapsed / SLOWNESS_HALF_LIFE).exp2();
        let stalled = match self.in_flight(now) {
            0 => 0.0,
            _ => now.since(self.progress_at).0 as f64 / (usual * STALL_LATENCIES),
        };
        known.max(stalled)
    }

    fn note_latency(&mut self, now: Timestamp, latency: f64, usual: f64) {
        let known = self.slowness(now, usual);
        let ratio = (latency / usual).clamp(0.3, 50.0);
        self.slowness = known + (ratio - known) * SLOWNESS_GAIN;
        self.slowness_at = now;
    }
}

/// Usual latencies without any answer from a busy server after which it counts as slow.
const STALL_LATENCIES: f64 = 2.0;

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
    broken_shares: FastMap<ServiceName, BrokenShare>,
    /// How many attempts of this data centre's gateways fail, by service.
    failure_shares: FastMap<ServiceName, FailureShare>,
    /// Usual latencies by route, in milliseconds.
    latencies: FastMap<RouteKey, f64>,
    /// Usual sizes of request and answer by route, in kilobytes.
    sizes: FastMap<RouteKey, f64>,
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
            broken_shares: FastMap::default(),
            failure_shares: FastMap::default(),
            latencies: FastMap::default(),
            sizes: FastMap::default(),
        }
    }

    /// Takes over what the registry says; returns the servers that said something new.
    pub fn apply(&mut self, changes: &RegistryChanges) -> Vec<Announcement> {
        if changes.whole {
            let listed: Vec<_> = changes.servers.iter().map(|it| &it.server).collect();
            self.servers.retain(|id, _| listed.contains(&id));
        }
        let mut news = Vec::new();
        for announcement in &changes.servers {
            if self.take(announcement) {
                news.push(announcement.clone());
            }
        }
        self.index();
        news
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
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|it| self.servers.get(it)).filter(|it| it.takes_work())
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// How common broken servers are in a service.
    pub fn broken_share(&self, service: &ServiceName) -> BrokenShare {
        self.broken_shares.get(service).copied().unwrap_or_default()
    }

    /// Whether many attempts at a service fail now.
    pub fn is_in_distress(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.failure_shares.get(service).is_some_and(|it| it.is_distress(now))
    }

    /// Counts the end of an attempt of this data centre's gateways for [`Self::is_in_distress`].
    pub(crate) fn note_end(&mut self, now: Timestamp, key: ServerKey, event: &LoadEvent) {
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
        self.failure_shares.entry(service).or_default().note(now, has_failed);
    }

    /// The usual latency of a route, in milliseconds.
    pub fn usual_latency(&self, route: &Route) -> f64 {
        let known = self.latencies.get(&route.key()).copied();
        known
            .unwrap_or(route.target_latency.0 as f64 * FIRST_LATENCY_AIM_SHARE)
            .max(MIN_USUAL_LATENCY)
    }

    /// The usual size of a route's request and answer together, in kilobytes.
    pub fn usual_kilobytes(&self, route: &Route) -> f64 {
        self.sizes.get(&route.key()).copied().unwrap_or(FIRST_KILOBYTES)
    }

    /// Learns the size of a route's request and answer.
    pub(crate) fn note_size(&mut self, route: RouteKey, size: ByteSize) {
        let kilobytes = size.0 as f64 / 1_000.0;
        let usual = self.sizes.entry(route).or_insert(kilobytes);
        *usual += (kilobytes - *usual) * SIZE_GAIN;
    }

    /// Learns the latency of a route from an answer.
    pub(crate) fn note_latency(&mut self, route: RouteKey, millis: f64) {
        let millis = millis.max(MIN_USUAL_LATENCY);
        let usual = self.latencies.entry(route).or_insert(millis);
        // Slow servers are the exception that the usual latency is for.
        let bounded = millis.min(*usual * MAX_LATENCY_RATIO);
        *usual += (bounded - *usual) * LATENCY_GAIN;
    }

    /// Notes an attempt of this gateway; returns what it now has in flight there.
    pub(crate) fn note_own_start(&mut self, now: Timestamp, key: ServerKey) -> u32 {
        let Some(server) = self.by_key_mut(key) else { return 0 };
        if server.in_flight(now) == 0 {
            server.progress_at = now;
        }
        server.own_in_flight += 1;
        server.used_at = Some(now);
        server.own_in_flight
    }

    /// Notes the end of an attempt of this gateway; returns what it now has in flight there.
    pub(crate) fn note_own_end(&mut self, key: ServerKey) -> u32 {
        let Some(server) = self.by_key_mut(key) else { return 0 };
        server.own_in_flight = server.own_in_flight.saturating_sub(1);
        server.own_in_flight
    }

    /// Attempts of this gateway that a server works on.
    pub(crate) fn own_in_flight(&mut self, key: ServerKey) -> u32 {
        self.by_key_mut(key).map_or(0, |it| it.own_in_flight)
    }

    /// Notes what another gateway has in flight.
    pub(crate) fn note_other(
        &mut self,
        now: Timestamp,
        from: HostId,
        key: ServerKey,
        in_flight: u32,
    ) {
        let Some(server) = self.by_key_mut(key) else { return };
        if server.in_flight(now) == 0 {
            server.progress_at = now;
        }
        if in_flight > 0 {
            server.used_at = Some(now);
        }
        match in_flight {
            0 => server.others.remove(&from),
            _ => server.others.insert(from, (in_flight, now)),
        };
    }

    /// Forgets the counts of a gateway that is gone.
    pub(crate) fn forget_other(&mut self, host: HostId) {
        for server in self.servers.values_mut() {
            server.others.remove(&host);
        }
    }

    /// Notes what happened to an attempt; says whether the server is avoided only now.
    pub(crate) fn note_event(&mut self, now: Timestamp, key: ServerKey, event: &LoadEvent) -> bool {
        let Some(id) = self.by_address.get(&key.address) else { return false };
        let Some(server) = self.servers.get_mut(id) else { return false };
        if server.announcement.incarnation != key.incarnation {
            return false;
        }
        let service = &server.announcement.service;
        if !self.broken_shares.contains_key(service) {
            self.broken_shares.insert(service.clone(), BrokenShare::default());
        }
        let share = self.broken_shares.get_mut(service).expect("was just inserted");
        match event {
            LoadEvent::Started | LoadEvent::Repeated | LoadEvent::Cancelled => {}
            LoadEvent::Answered(answered) => {
                server.standing.note_answered(now, share);
                server.progress_at = now;
                let route = RouteKey(answered.route);
                let usual = self.latencies.get(&route).copied();
                let millis = f64::from(answered.latency_ms).max(1.0);
                if let Some(usual) = usual {
                    server.note_latency(now, millis, usual);
                }
                self.note_latency(route, millis);
            }
            LoadEvent::ServerError => {
                server.standing.note_server_error(now);
                server.progress_at = now;
            }
            LoadEvent::Shed => server.standing.note_shed(now),
            LoadEvent::Lost(_) | LoadEvent::Overdue => {
                return server.standing.note_lost(now, share);
            }
            LoadEvent::Unreachable => server.standing.note_unreachable(now),
        }
        false
    }

    /// Notes that another server has this one's address.
    pub(crate) fn note_misplaced(&mut self, key: ServerKey) {
        if let Some(server) = self.by_key_mut(key) {
            server.is_misplaced = true;
        }
    }

    /// Takes over an announcement; false when it says nothing new.
    fn take(&mut self, announcement: &Announcement) -> bool {
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

    fn index(&mut self) {
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
