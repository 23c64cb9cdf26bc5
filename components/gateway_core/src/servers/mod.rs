//! The backend servers: their announcements, load and health.
//!
//! Load pattern: each server has few slots, shared by many gateways with one or two requests in
//! flight each. The counts of a single gateway say little, so the gateways of a data centre report
//! each start and end of an attempt to each other, and each sums the requests in flight of all.
//!
//! Load pattern: some of these reports are lost. A request whose end was lost would make the server
//! look as if it had stopped responding, so a count lasts no longer than an attempt can.

mod failures;
pub mod health;
mod latency;
pub(crate) mod notices;
pub mod placement;

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{
    ByteSize, DataCentreName, FastMap, HostId, LimitRate, Millis, RegionName, ServerId,
    ServiceName, Timestamp,
};
use schema::{
    announcement::{Announcement, ServerState},
    server_load::LoadEvent,
    sync::RegistryChanges,
};

use failures::RecentFailures;
use health::{BrokenPrior, ServerHealth};
use latency::RouteLatency;
use notices::{Closed, KnownLimit, ServerNotices};

pub(crate) use ids::ServerKey;

use crate::configuration::{Route, RouteKey};

/// Age at which the in-flight count of another gateway expires, in milliseconds, for services
/// without a route.
const DEFAULT_PEER_COUNT_TIMEOUT: Millis = Millis(15_000);

/// Weight of a new size in the EWMA of a route.
const SIZE_EWMA_WEIGHT: f64 = 0.2;

/// Assumed size of request and response before any was seen, in kilobytes.
const INITIAL_KILOBYTES: f64 = 2.0;

/// Weight of a new latency in the EWMA of a server's slowdown; high because servers differ and
/// observations are few.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.3;

/// Lower and upper bound of a single latency in the EWMA of a server's slowdown, as multiples of
/// the average latency.
const SLOWDOWN_RATIO_BOUNDS: (f64, f64) = (0.3, 50.0);

/// Half-life of the decay of a server's slowdown to 1 without new responses, in milliseconds.
const SLOWDOWN_HALF_LIFE_MS: f64 = 8_000.0;

/// Time after a gateway was found to be gone for which its callers may not be served, in
/// milliseconds.
const UNSETTLED_TIME: Millis = Millis(4_000);

/// Distance of a backend server from this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// What is known of a start of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Course {
    /// Nothing shows that it has ended or will end.
    Running,
    /// It ends as planned, or has done so.
    Leaving,
    /// A later start has its address.
    Replaced,
}

/// Returns the start of a server that an announcement is of.
pub(crate) fn key_of(announcement: &Announcement) -> ServerKey {
    ServerKey { address: announcement.address, incarnation: announcement.incarnation }
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// Its distance from this gateway.
    pub distance: Distance,
    /// Its estimated health.
    pub health: ServerHealth,
    own_in_flight: u32,
    /// In-flight counts reported by other gateways, and when they were reported.
    peer_in_flight: FastMap<HostId, (u32, Timestamp)>,
    /// Age at which the count of another gateway expires: the longest time limit of the service.
    peer_count_timeout: Millis,
    /// EWMA of the latency relative to the average of the route.
    slowdown: f64,
    slowdown_at: Timestamp,
    /// When the server last responded, or received a request after having none.
    last_progress_at: Timestamp,
    /// When a gateway of this data centre last sent it a request.
    last_used_at: Option<Timestamp>,
    /// Whether a different server responded at its address.
    is_misplaced: bool,
}

impl Server {
    fn new(announcement: Announcement, distance: Distance, peer_count_timeout: Millis) -> Self {
        Self {
            announcement,
            distance,
            health: ServerHealth::default(),
            own_in_flight: 0,
            peer_in_flight: FastMap::default(),
            peer_count_timeout,
            slowdown: 1.0,
            slowdown_at: Timestamp::default(),
            last_progress_at: Timestamp::default(),
            last_used_at: None,
            is_misplaced: false,
        }
    }

    pub(crate) fn key(&self) -> ServerKey {
        key_of(&self.announcement)
    }

    /// Returns the number of requests in flight, as far as this data centre's gateways know.
    pub fn in_flight(&self, now: Timestamp) -> u32 {
        let fresh =
            self.peer_in_flight.values().filter(|(_, at)| now.since(*at) < self.peer_count_timeout);
        self.own_in_flight + fresh.map(|(count, _)| count).sum::<u32>()
    }

    /// Returns whether the latency of a further request will show its work: it is worked on at once. The
    /// requests at servers of other data centres are not known.
    pub(crate) fn shows_work(&self, now: Timestamp) -> bool {
        self.distance == Distance::SameDataCentre && self.in_flight(now) < self.announcement.slots
    }

    /// Returns the time since a gateway of this data centre last sent it a request, or `None` if
    /// none has.
    pub fn idle(&self, now: Timestamp) -> Option<Millis> {
        self.last_used_at.map(|at| now.since(at))
    }

    /// Returns whether new requests may be sent to it.
    pub fn accepts_requests(&self) -> bool {
        let is_open =
            matches!(self.announcement.state, ServerState::Serving | ServerState::Starting);
        is_open && !self.is_misplaced
    }

    /// Returns the latency of its responses relative to the average.
    fn settled_slowdown(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.slowdown_at).0 as f64;
        1.0 + (self.slowdown - 1.0) * (-elapsed / SLOWDOWN_HALF_LIFE_MS).exp2()
    }

    /// Returns its latency relative to the average. For a busy server that sends no responses, the
    /// value rises before the first late response arrives.
    fn slowdown(&self, now: Timestamp, avg_latency: f64) -> f64 {
        self.settled_slowdown(now)
            .max(self.stalled_millis(now) / (avg_latency * STALL_LATENCY_FACTOR))
    }

    /// Returns for how long a busy server has sent no response, in milliseconds; 0 if it is idle.
    fn stalled_millis(&self, now: Timestamp) -> f64 {
        match self.in_flight(now) {
            0 => 0.0,
            _ => now.since(self.last_progress_at).0 as f64,
        }
    }

    fn record_latency(&mut self, now: Timestamp, millis: f64, latency: &RouteLatency) {
        let current = self.slowdown(now, latency.average());
        let (min, max) = SLOWDOWN_RATIO_BOUNDS;
        let ratio = latency.ratio(millis).clamp(min, max);
        self.slowdown = current + (ratio - current) * SLOWDOWN_EWMA_WEIGHT;
        self.slowdown_at = now;
    }
}

/// Multiple of the average latency without any response after which a busy server counts as slow.
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
    /// Longest time limit of the routes of each service.
    time_limits: FastMap<ServiceName, Millis>,
    /// Prior probability of a broken server, by service.
    broken_priors: FastMap<ServiceName, BrokenPrior>,
    /// How many attempts failed lately at servers of this data centre, by service.
    failures: FastMap<ServiceName, RecentFailures>,
    /// When a gateway was last found to be gone.
    peer_gone_at: Option<Timestamp>,
    /// Latencies by route.
    latencies: FastMap<RouteKey, RouteLatency>,
    /// Average sizes of request and response together by route, in kilobytes.
    average_kilobytes: FastMap<RouteKey, f64>,
    notices: ServerNotices,
}

impl ServerTable {
    /// Creates an empty table for a gateway in this region and data centre.
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
            time_limits: FastMap::default(),
            broken_priors: FastMap::default(),
            failures: FastMap::default(),
            peer_gone_at: None,
            latencies: FastMap::default(),
            average_kilobytes: FastMap::default(),
            notices: ServerNotices::default(),
        }
    }

    /// Applies registry changes; returns the announcements that are new or have changed.
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

    /// Sets the routes, whose time limits say how long an attempt can last.
    pub(crate) fn set_routes(&mut self, routes: &[Route]) {
        self.time_limits.clear();
        for route in routes {
            for target in &route.targets {
                let limit = self.time_limits.entry(target.service.clone()).or_default();
                *limit = route.time_limit.max(*limit);
            }
        }
        for server in self.servers.values_mut() {
            let limit = self.time_limits.get(&server.announcement.service);
            server.peer_count_timeout = limit.copied().unwrap_or(DEFAULT_PEER_COUNT_TIMEOUT);
        }
    }

    /// Returns the server with this address and incarnation.
    pub(crate) fn by_key_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        let id = self.by_address.get(&key.address)?;
        let server = self.servers.get_mut(id)?;
        (server.announcement.incarnation == key.incarnation).then_some(server)
    }

    /// Returns the latency of a server relative to the average.
    pub(crate) fn slowdown(&self, now: Timestamp, key: ServerKey) -> f64 {
        let id = self.by_address.get(&key.address);
        let server = id.and_then(|it| self.servers.get(it));
        let server = server.filter(|it| it.key() == key);
        server.map_or(1.0, |it| it.settled_slowdown(now))
    }

    /// Returns what the registry shows of a start that has lost a request.
    pub(crate) fn course_of(&self, now: Timestamp, key: ServerKey) -> Course {
        let at_address = self.by_address.get(&key.address).and_then(|it| self.servers.get(it));
        let Some(known) = at_address.map(|it| &it.announcement) else { return Course::Running };
        match known.state {
            _ if known.incarnation > key.incarnation => Course::Replaced,
            ServerState::Draining | ServerState::Stopped => Course::Leaving,
            _ if self.closed(now, key, true) == Some(Closed::Leaving) => Course::Leaving,
            _ => Course::Running,
        }
    }

    /// Returns whether a server is known.
    pub(crate) fn contains(&self, key: ServerKey) -> bool {
        let id = self.by_address.get(&key.address);
        id.and_then(|it| self.servers.get(it)).is_some_and(|it| it.key() == key)
    }

    /// Returns a server by id.
    pub fn get(&self, server: &ServerId) -> Option<&Server> {
        self.servers.get(server)
    }

    /// Returns the servers of a service that accept requests now. Those that name a limit take only
    /// requests with a permit.
    pub fn available_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> impl Iterator<Item = &Server> {
        let servers = self.accepting_for(service);
        servers.filter(move |it| self.closed(now, it.key(), false).is_none())
    }

    /// Returns the announced servers of a service that accept requests.
    fn accepting_for(&self, service: &ServiceName) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).into_iter().flatten();
        let servers = ids.filter_map(|it| self.servers.get(it));
        servers.filter(|it| it.accepts_requests())
    }

    /// Returns why all servers of a service are closed, and the time until the first one opens:
    /// `None` if one is open, or if none will open.
    pub(crate) fn all_closed_for(&self, now: Timestamp, service: &ServiceName) -> Option<Closed> {
        let mut first: Option<(Millis, Closed)> = None;
        for server in self.accepting_for(service) {
            let closed = self.closed(now, server.key(), false)?;
            let opens_in = match closed {
                Closed::Leaving => continue,
                Closed::Paused(it) | Closed::AtLimit(it) => it,
            };
            if first.is_none_or(|(earliest, _)| opens_in < earliest) {
                first = Some((opens_in, closed));
            }
        }
        first.map(|(_, closed)| closed)
    }

    /// Returns why a server gets no new request now; see [`ServerNotices::closed`].
    pub(crate) fn closed(
        &self,
        now: Timestamp,
        key: ServerKey,
        has_permit: bool,
    ) -> Option<Closed> {
        self.notices.closed(now, key, has_permit)
    }

    /// Returns the limit that a server names.
    pub(crate) fn limit(&self, key: ServerKey) -> Option<KnownLimit> {
        self.notices.limit(key)
    }

    /// Returns when the request was sent whose response showed that the server's limit had ended.
    pub(crate) fn limit_ended(&self, key: ServerKey) -> Option<Timestamp> {
        self.notices.limit_ended(key)
    }

    /// Returns the sum of the limits of a service's servers, or `None` if one has no limit.
    pub(crate) fn total_limit(&self, service: &ServiceName) -> Option<LimitRate> {
        let mut total: u64 = 0;
        for server in self.accepting_for(service) {
            total = total.saturating_add(self.limit(server.key())?.rate.0);
        }
        Some(LimitRate(total))
    }

    /// Records a limit that a server named; returns whether it is new.
    pub(crate) fn record_limit(&mut self, key: ServerKey, named: KnownLimit) -> bool {
        self.notices.record_limit(key, named)
    }

    /// Records a response that names no limit; returns whether a limit has ended.
    pub(crate) fn record_unlimited(&mut self, key: ServerKey, sent_at: Timestamp) -> bool {
        self.notices.record_unlimited(key, sent_at)
    }

    /// Records that a server's grantor knows that the limit has ended; returns whether that is new.
    pub(crate) fn record_unlimited_by_grantor(
        &mut self,
        key: ServerKey,
        sent_at: Timestamp,
    ) -> bool {
        self.notices.record_unlimited_by_grantor(key, sent_at)
    }

    /// Records that no permit for a server is free for a while.
    pub(crate) fn record_no_permit(&mut self, key: ServerKey, until: Timestamp) {
        self.notices.record_no_permit(key, until);
    }

    /// Returns whether the other gateways should be told of a limit once more, and records that
    /// they are.
    pub(crate) fn should_tell_limit(&mut self, now: Timestamp, key: ServerKey) -> bool {
        self.notices.should_tell_limit(now, key)
    }

    /// Records that the other gateways were told of a limit.
    pub(crate) fn record_limit_told(&mut self, now: Timestamp, key: ServerKey) {
        self.notices.record_limit_told(now, key);
    }

    /// Records that a server leaves; returns whether that is new.
    pub(crate) fn record_leaving(&mut self, key: ServerKey) -> bool {
        self.notices.record_leaving(key)
    }

    /// Records that a server wants no requests of this gateway; `random` is from 0 to 1. Returns
    /// the end of the pause.
    pub(crate) fn record_pause(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        pause: Millis,
        random: f64,
    ) -> Timestamp {
        self.notices.record_pause(now, key, pause, random)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the prior probability that a server of the service is broken.
    pub fn broken_prior(&self, service: &ServiceName) -> BrokenPrior {
        self.broken_priors.get(service).copied().unwrap_or_default()
    }

    /// Returns whether so many of a service's requests may not be served now that each of its
    /// servers has to have part in the work.
    pub(crate) fn fails_often(&self, now: Timestamp, service: &ServiceName) -> bool {
        let is_gone = self.peer_gone_at.is_some_and(|at| now.since(at) < UNSETTLED_TIME);
        is_gone || self.failures.get(service).is_some_and(|it| it.are_many(now))
    }

    /// Returns the average latency of a route, in milliseconds.
    pub fn average_latency(&self, route: &Route) -> f64 {
        self.latency(route).average()
    }

    /// Returns the time after which the response to a request of the route is overdue, in
    /// milliseconds.
    pub(crate) fn overdue_latency(&self, route: &Route) -> f64 {
        self.latency(route).overdue()
    }

    fn latency(&self, route: &Route) -> RouteLatency {
        let known = self.latencies.get(&route.key()).copied();
        known.unwrap_or_else(|| RouteLatency::assumed(route.target_latency))
    }

    /// Returns the average size of a route's request and response together, in kilobytes.
    pub fn average_kilobytes(&self, route: &Route) -> f64 {
        self.average_kilobytes.get(&route.key()).copied().unwrap_or(INITIAL_KILOBYTES)
    }

    /// Updates the average size of a route.
    pub(crate) fn record_size(&mut self, route: RouteKey, size: ByteSize) {
        let kilobytes = size.0 as f64 / 1_000.0;
        let average = self.average_kilobytes.entry(route).or_insert(kilobytes);
        *average += (kilobytes - *average) * SIZE_EWMA_WEIGHT;
    }

    /// Updates the average latency of a route.
    pub(crate) fn record_latency(&mut self, route: RouteKey, millis: f64) {
        match self.latencies.get_mut(&route) {
            Some(it) => it.record(millis),
            None => {
                self.latencies.insert(route, RouteLatency::first(millis));
            }
        }
    }

    /// Records the start of an attempt of this gateway; returns its new in-flight count at the
    /// server.
    pub(crate) fn record_own_start(&mut self, now: Timestamp, key: ServerKey) -> u32 {
        let Some(server) = self.by_key_mut(key) else { return 0 };
        if server.in_flight(now) == 0 {
            server.last_progress_at = now;
        }
        server.own_in_flight += 1;
        server.last_used_at = Some(now);
        server.own_in_flight
    }

    /// Records the end of an attempt of this gateway; returns its new in-flight count at the
    /// server.
    pub(crate) fn record_own_end(&mut self, key: ServerKey) -> u32 {
        let Some(server) = self.by_key_mut(key) else { return 0 };
        server.own_in_flight = server.own_in_flight.saturating_sub(1);
        server.own_in_flight
    }

    /// Returns the in-flight count of this gateway at a server.
    pub(crate) fn own_in_flight(&mut self, key: ServerKey) -> u32 {
        self.by_key_mut(key).map_or(0, |it| it.own_in_flight)
    }

    /// Records the in-flight count of another gateway.
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
        match in_flight {
            0 => server.peer_in_flight.remove(&from),
            _ => server.peer_in_flight.insert(from, (in_flight, now)),
        };
    }

    /// Drops the in-flight counts of a gateway that has left or restarted.
    pub(crate) fn forget_peer(&mut self, now: Timestamp, host: HostId) {
        self.peer_gone_at = Some(now);
        for server in self.servers.values_mut() {
            server.peer_in_flight.remove(&host);
        }
    }

    /// Applies a load event to the server's health; returns whether the server becomes avoided.
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
        if server.distance == Distance::SameDataCentre {
            if !self.failures.contains_key(service) {
                self.failures.insert(service.clone(), RecentFailures::default());
            }
            self.failures.get_mut(service).expect("was just inserted").record(now, event);
        }
        let prior = self.broken_priors.get_mut(service).expect("was just inserted");
        match event {
            LoadEvent::Started | LoadEvent::Repeated => server.last_used_at = Some(now),
            LoadEvent::Cancelled
            | LoadEvent::Leaving
            | LoadEvent::Limited(_)
            | LoadEvent::Unlimited(_) => {}
            LoadEvent::Answered(answered) => {
                server.last_progress_at = now;
                let route = RouteKey(answered.route);
                let millis = f64::from(answered.latency_ms).max(1.0);
                let latency = self.latencies.get(&route).copied();
                match latency.is_some_and(|it| millis >= it.overdue()) {
                    true => server.health.record_late_answer(now, prior),
                    false => server.health.record_answered(now, prior),
                }
                if let Some(latency) = latency {
                    server.record_latency(now, millis, &latency);
                }
                self.record_latency(route, millis);
            }
            LoadEvent::ServerError => {
                server.health.record_server_error(now);
                server.last_progress_at = now;
            }
            LoadEvent::Shed => server.health.record_shed(now),
            LoadEvent::Lost(_) => return server.health.record_lost(now, prior),
            LoadEvent::Overdue => return server.health.record_overdue(now, prior),
            LoadEvent::Unreachable => server.health.record_unreachable(now),
        }
        false
    }

    /// Forgets which servers this gateway could not connect to.
    pub(crate) fn forget_unreachable(&mut self) {
        for server in self.servers.values_mut() {
            server.health.forget_unreachable();
        }
    }

    /// Marks that a different server responded at this server's address.
    pub(crate) fn mark_misplaced(&mut self, key: ServerKey) {
        if let Some(server) = self.by_key_mut(key) {
            server.is_misplaced = true;
        }
    }

    /// Stores an announcement; returns false if it contains nothing new.
    fn apply_announcement(&mut self, announcement: &Announcement) -> bool {
        let distance = self.distance(&announcement.data_centre);
        match self.servers.get_mut(&announcement.server) {
            Some(known) if known.announcement == *announcement => false,
            Some(known) if known.key() == key_of(announcement) => {
                known.announcement = announcement.clone();
                true
            }
            Some(_) | None => {
                let time_limit = self.time_limits.get(&announcement.service).copied();
                let timeout = time_limit.unwrap_or(DEFAULT_PEER_COUNT_TIMEOUT);
                let server = Server::new(announcement.clone(), distance, timeout);
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
            // A stopped server is kept while it has attempts in flight, but another server that
            // has taken over its address takes precedence.
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
