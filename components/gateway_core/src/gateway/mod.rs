//! Composes the decisions of a gateway.

mod attempts;
mod registry;
mod reports;

use std::sync::Arc;

use ids::{ConfigVersion, FastMap, HostId, Millis, RequestId, ServerId, ServiceName, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use routing::RouteTable;
use schema::{server_load::LoadReport, sync::Place};

use crate::{
    configuration::{CallerLimits, GatewayConfig, Route},
    entry_hosts::EntryHosts,
    events::{Event, RequestSummary},
    quarantine::Quarantine,
    registry_poller::RegistryPoller,
    requests::{QueueKey, Refusal, RefusalReason, Request, RequestHead, wait_queue::WaitQueues},
    retry_budget::RetryBudget,
    servers::{Server, ServerTable},
    settings::{GatewaySettings, Lifecycle},
};

/// When callers come back to a gateway without a configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER: Millis = Millis(500);

/// When callers of a stopping gateway go to another one, in milliseconds.
const STOPPING_RETRY_AFTER: Millis = Millis(50);

/// When callers come back with a request that crashes servers, in milliseconds.
const QUARANTINE_RETRY_AFTER: Millis = Millis(30_000);

/// Time that a stopping gateway needs to hand over an answer, in milliseconds.
const STOP_MARGIN: Millis = Millis(100);

/// Usual latencies that a stopping gateway must have left to take a request.
const STOP_LATENCY_FACTOR: f64 = 3.0;

/// A message to other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingReport {
    /// The gateways.
    pub to: Vec<HostId>,
    /// What they are told.
    pub report: LoadReport,
}

/// All decisions of a gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    lifecycle: Lifecycle,
    config: Option<Arc<GatewayConfig>>,
    routes: RouteTable<Arc<Route>>,
    servers: ServerTable,
    entry_hosts: EntryHosts,
    registry_poller: RegistryPoller,
    requests: FastMap<RequestId, Request>,
    wait_queues: WaitQueues,
    retry_budget: RetryBudget,
    quarantine: Quarantine,
    rng: Xoshiro256PlusPlus,
    next_request: RequestId,
    reports: Vec<OutgoingReport>,
    events: Vec<Event>,
    wakeups: Vec<RequestId>,
}

impl Gateway {
    /// A gateway that knows only its settings.
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
            routes: RouteTable::default(),
            servers,
            entry_hosts: EntryHosts::new(),
            registry_poller: RegistryPoller::new(place, &settings.seeds, seed),
            requests: FastMap::default(),
            wait_queues: WaitQueues::default(),
            retry_budget: RetryBudget::new(settings.retry_budget),
            quarantine: Quarantine::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            next_request: RequestId(1),
            reports: Vec::new(),
            events: Vec::new(),
            wakeups: Vec::new(),
            settings,
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_config(&mut self, config: GatewayConfig) {
        let before = self.version();
        if config.version <= before {
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
        self.config = Some(Arc::new(config));
        if self.lifecycle == Lifecycle::Joining {
            self.lifecycle = Lifecycle::Serving;
            self.registry_poller.poll_now();
        }
    }

    /// The configuration version in force; 0 when there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }

    /// What callers may send, once there is a configuration.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.config.as_ref().map(|it| it.caller_limits)
    }

    /// Where the gateway is in its life.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// Begins a planned stop: the process ends at `until`.
    pub fn drain(&mut self, until: Timestamp) {
        self.lifecycle = Lifecycle::Draining { until };
        self.registry_poller.poll_now();
    }

    /// The requests in work.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// What is known of a backend server.
    pub fn server(&self, server: &ServerId) -> Option<&Server> {
        self.servers.get(server)
    }

    /// All backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.all()
    }

    /// The entry hosts that are listed.
    pub fn known_hosts(&self) -> usize {
        self.entry_hosts.len()
    }

    /// Takes a request in; [`Self::step`] says what it needs.
    pub fn begin(&mut self, now: Timestamp, head: RequestHead) -> Result<RequestId, Refusal> {
        let route = self.find_route(&head)?;
        if self.quarantine.is_quarantined(now, head.fingerprint) {
            let retry_after = Some(QUARANTINE_RETRY_AFTER);
            return Err(Refusal::not_run(RefusalReason::Quarantined, retry_after));
        }
        let service = self.choose_service(&route);
        let deadline = self.deadline(now, &route, head.caller_timeout)?;
        let id = self.next_request;
        self.next_request = id.next();
        self.requests.insert(id, Request::new(now, head, route, service, deadline));
        Ok(id)
    }

    /// Forgets a request whose caller has gone away, or that was answered.
    pub fn forget(&mut self, now: Timestamp, id: RequestId) -> Option<RequestSummary> {
        let request = self.requests.remove(&id)?;
        self.wait_queues.remove(&request.service, queue_key(&request, id));
        self.end_in_flight(now, &request);
        Some(RequestSummary {
            route: request.route.name.clone(),
            service: request.service.clone(),
            waited: request.first_sent_at.unwrap_or(now).since(request.received),
            took: now.since(request.received),
            time_limit: request.deadline.since(request.received),
            attempts: request.attempt_log,
            version: self.version(),
        })
    }

    /// The requests to be asked again since one of their servers has room.
    pub fn take_wakeups(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.wakeups)
    }

    /// What other gateways have to be told.
    pub fn take_reports(&mut self) -> Vec<OutgoingReport> {
        std::mem::take(&mut self.reports)
    }

    /// What was decided, for logs.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn find_route(&self, head: &RequestHead) -> Result<Arc<Route>, Refusal> {
        if self.config.is_none() {
            let retry_after = Some(NO_CONFIG_RETRY_AFTER);
            return Err(Refusal::not_run(RefusalReason::NoConfiguration, retry_after));
        }
        // Prefixes end with a slash, so that what follows the last slash selects nothing.
        let directory = head.path.rfind('/').map_or("", |it| &head.path[..=it]);
        let route = self.routes.lookup(&head.host, directory);
        route.cloned().ok_or(Refusal::not_run(RefusalReason::UnknownRoute, None))
    }

    /// Draws one of the route's services by weight.
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

    /// When a request must be answered; a stopping gateway takes only what it can finish.
    fn deadline(
        &self,
        now: Timestamp,
        route: &Route,
        caller_timeout: Option<Millis>,
    ) -> Result<Timestamp, Refusal> {
        let limit = caller_timeout.map_or(route.time_limit, |it| it.min(route.time_limit));
        let deadline = now + limit;
        let Lifecycle::Draining { until: stop_at } = self.lifecycle else { return Ok(deadline) };
        let min_time = self.servers.average_latency(route) * STOP_LATENCY_FACTOR;
        if (stop_at.since(now).0 as f64) < min_time {
            let retry_after = Some(STOPPING_RETRY_AFTER);
            return Err(Refusal::not_run(RefusalReason::Stopping, retry_after));
        }
        Ok(deadline.min(stop_at - STOP_MARGIN))
    }

    fn random_unit(rng: &mut Xoshiro256PlusPlus) -> f64 {
        (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn queue_key(request: &Request, id: RequestId) -> QueueKey {
    (request.route.priority, id)
}
