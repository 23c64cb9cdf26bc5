//! Metrics of an entry host.

use admin::{TransportMetrics, gauge_value, set_counter};
use entry_core::EntryStatus;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use transport::StatsSnapshot;

/// Upper bounds of the histogram buckets for the added latency, in seconds.
const ADDED_LATENCY_BUCKETS: [f64; 12] =
    [0.0001, 0.0002, 0.0003, 0.0005, 0.0008, 0.0012, 0.0017, 0.003, 0.006, 0.02, 0.1, 1.0];

/// Histogram of the latency that this host adds to requests.
#[derive(Debug, Clone)]
pub(crate) struct LatencyMetrics {
    added: Histogram,
}

impl Default for LatencyMetrics {
    fn default() -> Self {
        Self { added: Histogram::new(ADDED_LATENCY_BUCKETS) }
    }
}

impl LatencyMetrics {
    /// Records the time that a request spent in this host and not at its backend server.
    pub(crate) fn observe(&self, micros: u64) {
        self.added.observe(micros as f64 / 1e6);
    }
}

/// Labels of the response counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    service: String,
    outcome: String,
    reason: &'static str,
}

/// Metrics of an entry host, registered once and set at each scrape.
pub(crate) struct Metrics {
    registry: Registry,
    transport: TransportMetrics,
    responses: Family<ResponseLabels, Counter>,
    gauges: Vec<StatusMetric<Gauge>>,
    counters: Vec<StatusMetric<Counter>>,
}

/// Metric, and the function that reads its value from the status.
struct StatusMetric<M> {
    metric: M,
    read: fn(&EntryStatus) -> u64,
}

/// Name, help text and value of a metric.
type MetricSpec = (&'static str, &'static str, fn(&EntryStatus) -> u64);

const GAUGES: [MetricSpec; 6] = [
    ("config_version", "Configuration version in force", |it| it.version.0),
    ("claim_epoch", "Epoch of the claim map in force", |it| it.claim_epoch.0),
    ("claims_held", "Claims held for the fleet", |it| it.claims_held as u64),
    ("requests_in_flight", "Requests in work", |it| it.in_flight as u64),
    ("members", "Hosts of the fleet that are listed", |it| it.members.len() as u64),
    ("servers", "Backend servers that are listed", |it| it.servers.len() as u64),
];

const COUNTERS: [MetricSpec; 8] = [
    ("requests_received", "Requests received whole", |it| it.counters.received),
    ("attempts", "Attempts sent to backend servers", |it| it.counters.attempts),
    ("retries", "Attempts after the first of a request", |it| it.counters.retries),
    ("hedges", "Attempts beside a slow one", |it| it.counters.hedges),
    ("sheds", "Attempts that a busy server refused", |it| it.counters.sheds),
    ("probes", "Probes sent", |it| it.counters.probes),
    ("server_changes", "Changes of a backend server's status", |it| it.counters.server_changes),
    ("replays", "Stored answers given to resends", |it| it.counters.replays),
];

impl Metrics {
    pub(crate) fn new(latency: &LatencyMetrics) -> Self {
        let mut registry = Registry::with_prefix("daisypaddle");
        let transport = TransportMetrics::register(&mut registry);
        let responses = Family::default();
        registry.register("responses", "Responses to callers", responses.clone());
        let help = "Time that requests spent in this host, in seconds";
        registry.register("added_latency_seconds", help, latency.added.clone());
        let gauges = GAUGES.map(|(name, help, read)| {
            let metric = Gauge::default();
            registry.register(name, help, metric.clone());
            StatusMetric { metric, read }
        });
        let counters = COUNTERS.map(|(name, help, read)| {
            let metric = Counter::default();
            registry.register(name, help, metric.clone());
            StatusMetric { metric, read }
        });
        Self { registry, transport, responses, gauges: gauges.into(), counters: counters.into() }
    }

    /// Sets the metrics and returns them in the Prometheus text format.
    pub(crate) fn render(&self, status: &EntryStatus, stats: StatsSnapshot) -> String {
        self.transport.set(stats);
        for it in &self.gauges {
            it.metric.set(gauge_value((it.read)(status)));
        }
        for it in &self.counters {
            set_counter(&it.metric, (it.read)(status));
        }
        for it in status.counters.responses() {
            let labels = ResponseLabels {
                service: it.service.map_or_else(String::new, |it| it.to_string()),
                outcome: it.outcome.to_string(),
                reason: it.reason,
            };
            set_counter(&self.responses.get_or_create(&labels), it.count);
        }
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
