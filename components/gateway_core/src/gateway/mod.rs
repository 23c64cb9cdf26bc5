//! The top-level state machine of a gateway.

mod attempts;
mod detours;
mod limits;
mod notices;
mod quarantine;
mod rates;
mod registry;
mod reports;

use std::sync::Arc;

use ::quarantine::Quarantine;
use ids::{ConfigVersion, FastMap, HostId, Millis, RequestId, ServerId, ServiceName, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use routing::RouteTable;
use schema::{server_load::LoadReport, server_work::WorkReport, sync::Place};

use crate::{
    configuration::{CallerLimits, GatewayConfig, Idempotency, Route},
    entry_hosts::EntryHosts,
    events::{Event, RequestSummary},
    organisations::{CallerIdentity, KeyCheck, KeyTable, OrganisationRates},
    paths::{Paths, relays::Relays},
    planned_stop::StopSchedule,
    registry_poller::RegistryPoller,
    requests::{
        Deadline, QueueKey, Refusal, RefusalReason, Request, RequestHead,
        shedding::{Callers, Shedding},
        wait_queue::WaitQueues,
    },
    retry_budget::RetryBudget,
    server_limits::ServerLimits,
    servers::{Server, ServerTable},
    settings::{GatewaySettings, Lifecycle},
    work::{RequestKinds, RequestLook, Work, WorkRatio},
};

/// Retry-After while the gateway has no configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER: Millis = Millis(500);

/// Retry-After that sends callers of a draining gateway to another one, in milliseconds.
pub(crate) const STOPPING_RETRY_AFTER: Millis = Millis(50);

/// Multiple of the time after which a response is overdue that a stopping gateway allows requests that
/// can't be sent again.
const NON_IDEMPOTENT_LATENCY_FACTOR: f64 = 2.0;

/// Maximum random extension of the Retry-After of a service whose servers are all closed, as
/// a fraction of it, so that callers don't return at the same moment.
const PAUSE_RETURN_SPREAD: f64 = 0.25;

/// Time that is kept for a request to reach its server before a withdrawn key must be out of use, in
/// milliseconds.
const WITHDRAWAL_MARGIN: Millis = Millis(500);

/// Retry-After that sends callers of a gateway with outdated keys to another one, in milliseconds.
const KEYS_OUTDATED_RETRY_AFTER: Millis = Millis(100);

/// A load report to be sent to other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingReport {
    /// The receivers.
    pub to: Vec<HostId>,
    /// The report.
    pub report: LoadReport,
}

/// All decisions of a gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    lifecycle: Lifecycle,
    config: Option<Arc<GatewayConfig>>,
    /// Newest version that could not be decoded.
    undecoded: ConfigVersion,
    routes: RouteTable<Arc<Route>>,
    keys: KeyTable,
    servers: ServerTable,
    entry_hosts: EntryHosts,
    registry_poller: RegistryPoller,
    requests: FastMap<RequestId, Request>,
    wait_queues: WaitQueues,
    shedding: Shedding,
    callers: Callers,
    retry_budget: RetryBudget,
    server_limits: ServerLimits,
    rates: OrganisationRates,
    paths: Paths,
    relays: Relays,
    quarantine: Quarantine,
    work: Work,
    rng: Xoshiro256PlusPlus,
    next_request: RequestId,
    /// Whether the entry hosts have changed since the rates were told.
    keeper_places_outdated: bool,
    reports: Vec<OutgoingReport>,
    events: Vec<Event>,
    wakeups: Vec<RequestId>,
}

impl Gateway {
    /// Creates a gateway that has no configuration and knows no servers.
    pub fn new(settings: GatewaySettings) -> Self {
        let seed = settings.seed ^ (u64::from(settings.host.0) << 32) ^ settings.incarnation.0;
        let servers = ServerTable::new(
            settings.region.clone(),
            settings.data_centre.clone(),
            settings.regions.clone(),
        );
        let place =
            Place { region: settings.region.clone(), data_centre: settings.data_centre.clone() };
        Self {
            lifecycle: Lifecycle::Joining,
            config: None,
            undecoded: ConfigVersion(0),
            routes: RouteTable::default(),
            keys: KeyTable::new(settings.key_secret),
            servers,
            entry_hosts: EntryHosts::new(),
            registry_poller: RegistryPoller::new(place, &settings.seeds, seed),
            requests: FastMap::default(),
            wait_queues: WaitQueues::default(),
            shedding: Shedding::default(),
            callers: Callers::default(),
            retry_budget: RetryBudget::new(settings.retry_budget, settings.started),
            server_limits: ServerLimits::new(settings.host),
            rates: OrganisationRates::new(settings.host),
            paths: Paths::default(),
            relays: Relays::default(),
            quarantine: Quarantine::new(settings.started, seed),
            work: Work::new(settings.learns_work),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            next_request: RequestId(1),
            keeper_places_outdated: false,
            reports: Vec::new(),
            events: Vec::new(),
            wakeups: Vec::new(),
            settings,
        }
    }

    /// Applies a configuration unless its version is not newer than the current one.
    pub fn set_config(&mut self, mut config: GatewayConfig) {
        let before = self.version();
        if self.config.is_some() && config.version <= before {
            return;
        }
        let mut routes = RouteTable::default();
        for route in &config.routes {
            routes.insert(&route.host, &route.path_prefix, Arc::new(route.clone()));
        }
        self.events.push(Event::ConfigInForce {
            version: config.version,
            before,
            routes: config.routes.len(),
        });
        self.routes = routes;
        self.servers.set_routes(&config.routes);
        self.keys.set(config.organisations.as_deref());
        self.rates.set_organisations(config.organisations.as_deref());
        // Keys are kept as hashes only.
        config.organisations = None;
        self.identify_again();
        self.config = Some(Arc::new(config));
        if self.lifecycle == Lifecycle::Joining {
            self.lifecycle = Lifecycle::Serving;
            self.registry_poller.poll_now();
        }
    }

    /// Records that a configuration can't be decoded; the keys in force count as outdated until one
    /// that is at least as new is in force.
    pub fn on_undecoded_config(&mut self, version: ConfigVersion) {
        self.undecoded = self.undecoded.max(version);
    }

    /// Returns the configuration version in force, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }

    /// Returns the limits on callers' requests, once there is a configuration.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.config.as_ref().map(|it| it.caller_limits)
    }

    /// Returns the current lifecycle state.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// Starts a planned stop; no request outlasts it.
    pub fn drain(&mut self, schedule: StopSchedule) {
        self.lifecycle = Lifecycle::Draining(schedule);
        // Control hosts that can't be reached go on listing it.
        self.entry_hosts.remove(self.settings.host);
        self.keeper_places_outdated = true;
        self.registry_poller.poll_now();
        for (id, request) in &mut self.requests {
            if schedule.cut_at < request.deadline {
                request.deadline = schedule.cut_at;
                request.ends_with_stop = true;
                self.wakeups.push(*id);
            }
        }
    }

    /// Returns the number of unfinished requests.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns what is known about a backend server.
    pub fn server(&self, server: &ServerId) -> Option<&Server> {
        self.servers.get(server)
    }

    /// Returns all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.all()
    }

    /// Returns the number of entry hosts in the host list.
    pub fn entry_host_count(&self) -> usize {
        self.entry_hosts.len()
    }

    /// Returns whether a host is in the host list.
    pub fn is_entry_host(&self, host: HostId) -> bool {
        self.entry_hosts.incarnation(host).is_some()
    }

    /// Accepts or refuses a request; [`Self::step`] then returns what to do with it.
    pub fn begin(&mut self, now: Timestamp, head: RequestHead) -> Result<RequestId, Refusal> {
        let route = self.find_route(&head)?;
        let identity = self.identify(now, &head, &route)?;
        let organisation = identity.as_ref().map(CallerIdentity::organisation);
        let fingerprint = head.fingerprint(&route, organisation);
        if let Some(retry_after) = self.quarantine.refuses(now, fingerprint) {
            return Err(Refusal::not_run(RefusalReason::Quarantined, Some(retry_after)));
        }
        let kinds = self.kinds(&head, &route, identity.as_ref());
        let work = self.work.estimate(now, &kinds);
        let deadline = self.deadline(now, &route, &head, work)?;
        let service = match &head.relayed {
            Some(relayed) => self.accept_relayed(&route, relayed)?,
            None => {
                let service = self.choose_service(&route);
                self.retry_budget.record_request(now, &service);
                service
            }
        };
        let id = self.next_request;
        self.next_request = id.next();
        let asked_before = match (head.caller_timeout, &head.relayed) {
            (Some(timeout), None) => self.callers.record_request(now, route.key(), timeout),
            (Some(_), Some(_)) | (None, _) => Millis(0),
        };
        let mut request = Request::new(now, head, route, service, identity, fingerprint, deadline);
        request.first_asked = now - asked_before;
        request.kinds = kinds;
        self.requests.insert(id, request);
        Ok(id)
    }

    /// Removes a request that has finished or whose caller has disconnected.
    pub fn forget(&mut self, now: Timestamp, id: RequestId) -> Option<RequestSummary> {
        let request = self.requests.remove(&id)?;
        self.wait_queues.remove(&request.service, queue_key(&request, id));
        self.server_limits.forget(id);
        self.forget_rate(now, id, &request);
        let is_running = !request.in_flight.is_empty();
        self.quarantine.finished(now, id, request.fingerprint, is_running);
        if request.head.relayed.is_some() {
            self.relays.end_accepted();
        }
        self.end_in_flight(now, id, &request);
        Some(RequestSummary {
            route: request.route.name.clone(),
            service: request.service.clone(),
            work: self.work_of(now, &request).likely(),
            waited: request.first_sent_at.unwrap_or(now).since(request.received),
            took: now.since(request.received),
            organisation: request.identity.as_ref().map(|it| it.organisation().clone()),
            time_limit: request.deadline.since(request.received),
            attempts: request.attempt_log,
            version: self.version(),
        })
    }

    /// Takes the requests that should be stepped again because a server may have a free slot.
    pub fn take_wakeups(&mut self) -> Vec<RequestId> {
        self.wakeups.extend(self.quarantine.take_wakeups());
        std::mem::take(&mut self.wakeups)
    }

    /// Takes the pending reports for other gateways.
    pub fn take_reports(&mut self) -> Vec<OutgoingReport> {
        std::mem::take(&mut self.reports)
    }

    /// Takes the pending reports of work for the other gateways of this data centre.
    pub fn take_work_reports(&mut self) -> Vec<(HostId, WorkReport)> {
        let reports = self.work.take_reports();
        if reports.is_empty() {
            return Vec::new();
        }
        let peers = self.local_peers();
        let to_peers = |it: WorkReport| peers.iter().map(move |peer| (*peer, it.clone()));
        reports.into_iter().flat_map(to_peers).collect()
    }

    /// Processes a report of work of another gateway of this data centre.
    pub fn on_work_report(&mut self, now: Timestamp, from: HostId, report: &WorkReport) {
        self.work.on_report(now, from, report);
    }

    /// Takes the pending events for logs and metrics.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.collect_quarantine_events();
        std::mem::take(&mut self.events)
    }

    /// Judges unfinished requests by the keys of a new configuration.
    fn identify_again(&mut self) {
        for (id, request) in &mut self.requests {
            request.is_key_refused = false;
            match self.keys.check(&request.head.credentials, request.route.is_public) {
                KeyCheck::Known(identity) => request.identity = Some(identity),
                KeyCheck::NotNeeded => request.identity = None,
                KeyCheck::Refused => {
                    request.is_key_refused = true;
                    self.wakeups.push(*id);
                }
            }
        }
    }

    /// Returns whether this gateway may have missed that a key was withdrawn and must take none.
    fn are_keys_outdated(&self, now: Timestamp) -> bool {
        let Some(withdrawal) = self.settings.key_withdrawal.filter(|it| it.is_strict) else {
            return false;
        };
        let max_age = Millis(withdrawal.within.0.saturating_sub(WITHDRAWAL_MARGIN.0));
        let known = self.registry_poller.current_as_of();
        let is_older = || known.is_none_or(|it| now >= it + max_age);
        self.keys.are_needed() && (self.undecoded > self.version() || is_older())
    }

    /// Returns whether callers should be sent to this gateway.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.lifecycle == Lifecycle::Serving && !self.are_keys_outdated(now)
    }

    fn identify(
        &self,
        now: Timestamp,
        head: &RequestHead,
        route: &Route,
    ) -> Result<Option<CallerIdentity>, Refusal> {
        match self.keys.check(&head.credentials, route.is_public) {
            KeyCheck::Known(_) if self.are_keys_outdated(now) && route.is_public => Ok(None),
            KeyCheck::Known(_) if self.are_keys_outdated(now) => {
                let retry_after = Some(KEYS_OUTDATED_RETRY_AFTER);
                Err(Refusal::not_run(RefusalReason::KeysOutdated, retry_after))
            }
            KeyCheck::Known(identity) => Ok(Some(identity)),
            KeyCheck::NotNeeded => Ok(None),
            KeyCheck::Refused => Err(Refusal::not_run(RefusalReason::UnknownKey, None)),
        }
    }

    fn find_route(&self, head: &RequestHead) -> Result<Arc<Route>, Refusal> {
        if self.config.is_none() {
            let retry_after = Some(NO_CONFIG_RETRY_AFTER);
            return Err(Refusal::not_run(RefusalReason::NoConfiguration, retry_after));
        }
        // Prefixes end with a slash, so the part of the path after the last slash never matters.
        let directory = head.path.rfind('/').map_or("", |it| &head.path[..=it]);
        let route = self.routes.lookup(&head.host, directory);
        route.cloned().ok_or(Refusal::not_run(RefusalReason::UnknownRoute, None))
    }

    /// Picks one of the route's services at random by weight.
    fn choose_service(&mut self, route: &Route) -> ServiceName {
        let total: u64 = route.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut drawn = self.rng.next_u64() % total.max(1);
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if drawn < weight {
                return target.service.clone();
            }
            drawn -= weight;
        }
        route.targets[0].service.clone()
    }

    /// Returns the deadline of a new request. A draining gateway refuses requests that it may not finish
    /// in time; of those of other gateways it takes only what ends in time for sure, since their callers
    /// don't choose this gateway.
    fn deadline(
        &self,
        now: Timestamp,
        route: &Route,
        head: &RequestHead,
        work: WorkRatio,
    ) -> Result<Deadline, Refusal> {
        let limit = head.caller_timeout.map_or(route.time_limit, |it| it.min(route.time_limit));
        let at = now + limit;
        let Lifecycle::Draining(schedule) = self.lifecycle else {
            return Ok(Deadline { at, ends_with_stop: false });
        };
        let likely_end = match head.relayed {
            Some(_) => at,
            None => now + self.likely_latency(route, work),
        };
        if !schedule.admits(now, at, likely_end) {
            let retry_after = Some(STOPPING_RETRY_AFTER);
            return Err(Refusal::not_run(RefusalReason::Stopping, retry_after));
        }
        Ok(Deadline { at: at.min(schedule.cut_at), ends_with_stop: schedule.cut_at < at })
    }

    /// Returns the time within which a request of a route most likely ends. One that can't be sent
    /// again is lost if it doesn't.
    fn likely_latency(&self, route: &Route, work: WorkRatio) -> Millis {
        let factor = match route.idempotency {
            Idempotency::Idempotent => 1.0,
            Idempotency::NonIdempotent => NON_IDEMPOTENT_LATENCY_FACTOR,
        };
        Millis((self.servers.overdue_latency(route) * work.0.max(1.0) * factor) as u64)
    }

    /// Returns the kinds of requests that a new one belongs to.
    fn kinds(
        &self,
        head: &RequestHead,
        route: &Route,
        identity: Option<&CallerIdentity>,
    ) -> RequestKinds {
        self.work.kinds(RequestLook {
            route: route.key(),
            organisation: identity.map(|it| it.organisation()),
            method: &head.method,
            path: &head.path,
            body: head.body_size,
        })
    }

    /// Returns the likely work of a request.
    fn work_of(&self, now: Timestamp, request: &Request) -> WorkRatio {
        self.work.estimate(now, &request.kinds)
    }

    /// Returns the time after which the response to a request is overdue, in milliseconds. What costs more
    /// than others of its route has more time.
    fn overdue_after(&self, now: Timestamp, request: &Request) -> f64 {
        self.servers.overdue_latency(&request.route) * self.work_of(now, request).0.max(1.0)
    }

    fn random_unit(rng: &mut Xoshiro256PlusPlus) -> f64 {
        (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn queue_key(request: &Request, id: RequestId) -> QueueKey {
    (request.urgency, id)
}
