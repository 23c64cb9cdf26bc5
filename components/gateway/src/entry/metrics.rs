//! Metrics of a gateway.

use std::cell::RefCell;

use admin::{TransportMetrics, gauge_value};
use gateway_core::{Event, Gateway, QuarantineEvent, RefusalCause, RequestSummary};
use ids::{FastSet, OrganisationName};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use transport::StatsSnapshot;

use crate::clients::ClientMetrics;

/// Maximum number of organisations with counters of their own, and the name that the others share.
const MAX_ORGANISATIONS: usize = 200;
const OTHER_ORGANISATIONS: &str = "other";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0];

/// Upper bounds of the buckets of the time that requests wait for a server, in seconds.
const WAIT_BUCKETS: [f64; 8] = [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Upper bounds of the buckets of the time without a control host, in seconds.
const SEARCH_BUCKETS: [f64; 7] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverLimitLabels {
    organisation: String,
    cause: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeaderLabels {
    header: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QuarantineLabels {
    event: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkLabels {
    likely: &'static str,
}

/// The metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    transport: TransportMetrics,
    clients: ClientMetrics,
    requests: Family<RequestLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    retries: Family<ServiceLabels, Counter>,
    work: Family<WorkLabels, Counter>,
    relays: Family<AttemptLabels, Counter>,
    over_limit: Family<OverLimitLabels, Counter>,
    /// Organisations with a counter of their own.
    counted_organisations: RefCell<FastSet<OrganisationName>>,
    quarantine: Family<QuarantineLabels, Counter>,
    paths_down: Counter,
    latency: Histogram,
    wait_time: Histogram,
    servers_avoided: Counter,
    servers_leaving: Counter,
    servers_paused: Counter,
    server_limits: Counter,
    limit_leases: Counter,
    permits_denied: Counter,
    invalid_notices: Family<HeaderLabels, Counter>,
    control_hosts_lost: Counter,
    control_hosts_passed_over: Family<CauseLabels, Counter>,
    control_host_search: Histogram,
    config_version: Gauge,
    in_flight: Gauge,
    servers: Gauge,
    kept_rates: Gauge,
    entry_hosts: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("daisypaddle");
        let transport = TransportMetrics::register(&mut registry);
        let clients = ClientMetrics::register(&mut registry);
        let requests = Family::<RequestLabels, Counter>::default();
        registry.register("requests", "Requests by service and outcome", requests.clone());
        let attempts = Family::<AttemptLabels, Counter>::default();
        registry.register("attempts", "Attempts by how they ended", attempts.clone());
        let retries = Family::<ServiceLabels, Counter>::default();
        registry.register("retries", "Retries sent, by service", retries.clone());
        let work = Family::<WorkLabels, Counter>::default();
        let help = "Requests by their likely work, compared with others of their route";
        registry.register("requests_by_work", help, work.clone());
        let relays = Family::<AttemptLabels, Counter>::default();
        registry.register("relays", "Requests passed on to other gateways", relays.clone());
        let over_limit = Family::<OverLimitLabels, Counter>::default();
        let help = "Requests refused by the limits of their organisations";
        registry.register("over_limit", help, over_limit.clone());
        let quarantine = Family::<QuarantineLabels, Counter>::default();
        let help = "Changes of what is known of requests that crash servers";
        registry.register("quarantine_events", help, quarantine.clone());
        let invalid_notices = Family::<HeaderLabels, Counter>::default();
        let help = "Headers of servers that were ignored because their values are not valid";
        registry.register("invalid_server_headers", help, invalid_notices.clone());
        let latency = Histogram::new(LATENCY_BUCKETS);
        let help = "Time from a request's receipt to its answer, in seconds";
        registry.register("request_seconds", help, latency.clone());
        let wait_time = Histogram::new(WAIT_BUCKETS);
        let help = "Time that requests waited for a server, in seconds";
        registry.register("wait_seconds", help, wait_time.clone());
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let servers_avoided = counter("server_avoided", "Outbreaks of broken requests at servers");
        let servers_leaving = counter("server_leaving", "Servers whose responses say they leave");
        let servers_paused = counter("server_paused", "Pauses that servers asked for");
        let server_limits = counter("server_limit_changed", "Changes of limits of servers");
        let limit_leases = counter("limit_lease", "Leases to grant permits for limited servers");
        let permits_denied = counter("permit_denied", "Permits for limited servers not granted");
        let paths_down = counter("paths_down", "Times that no backend server could be reached");
        let control_hosts_lost = counter("control_host_lost", "Control hosts left for another one");
        let control_hosts_passed_over = Family::<CauseLabels, Counter>::default();
        let help = "Polls of control hosts that were not followed and failed, by cause";
        registry.register("control_host_passed_over", help, control_hosts_passed_over.clone());
        let control_host_search = Histogram::new(SEARCH_BUCKETS);
        let help = "Time without a control host to follow until one was found, in seconds";
        registry.register("control_host_search_seconds", help, control_host_search.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let config_version = gauge("config_version", "Configuration version in force");
        let in_flight = gauge("requests_in_flight", "Requests in work");
        let servers = gauge("servers", "Backend servers that are listed");
        let kept_rates = gauge("kept_rates", "Organisations whose rates are kept here");
        let entry_hosts = gauge("entry_hosts", "Entry hosts that are listed");
        Self {
            registry,
            transport,
            clients,
            requests,
            attempts,
            retries,
            work,
            relays,
            over_limit,
            counted_organisations: RefCell::default(),
            quarantine,
            paths_down,
            latency,
            wait_time,
            servers_avoided,
            servers_leaving,
            servers_paused,
            server_limits,
            limit_leases,
            permits_denied,
            invalid_notices,
            control_hosts_lost,
            control_hosts_passed_over,
            control_host_search,
            config_version,
            in_flight,
            servers,
            kept_rates,
            entry_hosts,
        }
    }

    /// Returns the metrics of what is held for clients.
    pub(crate) fn clients(&self) -> ClientMetrics {
        self.clients.clone()
    }

    /// Counts a finished request.
    pub(crate) fn count_request(&self, summary: &RequestSummary, outcome: &'static str) {
        let labels = RequestLabels { service: summary.service.to_string(), outcome };
        self.requests.get_or_create(&labels).inc();
        for (_, end) in &summary.attempts {
            self.attempts.get_or_create(&AttemptLabels { end }).inc();
        }
        self.work.get_or_create(&WorkLabels { likely: summary.work.name() }).inc();
        self.latency.observe(summary.took.0 as f64 / 1e3);
        self.wait_time.observe(summary.waited.0 as f64 / 1e3);
    }

    /// Counts a request that was refused before a service was chosen.
    pub(crate) fn count_refusal(&self, outcome: &'static str) {
        let labels = RequestLabels { service: String::new(), outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a header of a backend server that was ignored.
    pub(crate) fn count_invalid_notice(&self, header: &'static str) {
        self.invalid_notices.get_or_create(&HeaderLabels { header }).inc();
    }

    pub(crate) fn count_event(&self, event: &Event) {
        match event {
            Event::ServerAvoided { .. } => {
                self.servers_avoided.inc();
            }
            Event::ServerLeaving { .. } => {
                self.servers_leaving.inc();
            }
            Event::ServerPaused { .. } => {
                self.servers_paused.inc();
            }
            Event::PathsDown { .. } => {
                self.paths_down.inc();
            }
            Event::RelayEnded { end, .. } => {
                self.relays.get_or_create(&AttemptLabels { end }).inc();
            }
            Event::ServerLimitChanged { .. } => {
                self.server_limits.inc();
            }
            Event::LimitLeaseHeld { .. } => {
                self.limit_leases.inc();
            }
            Event::PermitDenied { .. } => {
                self.permits_denied.inc();
            }
            Event::Quarantine(event) => {
                let event = match event {
                    QuarantineEvent::Crashed { .. } => "server-crashed",
                    QuarantineEvent::Quarantined { .. } => "quarantined",
                    QuarantineEvent::TrialGranted { .. } => "trial",
                    QuarantineEvent::Cleared { .. } => "cleared",
                };
                self.quarantine.get_or_create(&QuarantineLabels { event }).inc();
            }
            Event::OverLimit { organisation, cause, .. } => {
                self.count_over_limit(organisation, *cause);
            }
            Event::RetrySent { service, .. } => {
                let labels = ServiceLabels { service: service.to_string() };
                self.retries.get_or_create(&labels).inc();
            }
            Event::ControlHostLost { .. } => {
                self.control_hosts_lost.inc();
            }
            Event::ControlHostPassedOver { cause, .. } => {
                self.control_hosts_passed_over.get_or_create(&CauseLabels { cause }).inc();
            }
            Event::ControlHostFound { searched, .. } => {
                self.control_host_search.observe(searched.0 as f64 / 1e3);
            }
            _ => {}
        }
    }

    fn count_over_limit(&self, organisation: &OrganisationName, cause: RefusalCause) {
        let mut counted = self.counted_organisations.borrow_mut();
        if !counted.contains(organisation) && counted.len() < MAX_ORGANISATIONS {
            counted.insert(organisation.clone());
        }
        let name = match counted.contains(organisation) {
            true => organisation.to_string(),
            false => OTHER_ORGANISATIONS.to_owned(),
        };
        let labels = OverLimitLabels { organisation: name, cause: cause.to_string() };
        self.over_limit.get_or_create(&labels).inc();
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn render(&self, core: &Gateway, stats: StatsSnapshot) -> String {
        self.transport.set(stats);
        self.config_version.set(gauge_value(core.version().0));
        self.in_flight.set(gauge_value(core.in_flight() as u64));
        self.servers.set(gauge_value(core.servers().count() as u64));
        self.kept_rates.set(gauge_value(core.kept_rates() as u64));
        self.entry_hosts.set(gauge_value(core.entry_host_count() as u64));
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
