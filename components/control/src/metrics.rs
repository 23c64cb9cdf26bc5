//! Metrics of a control host.

use admin::{TransportMetrics, gauge_value};
use prometheus_client::{encoding::text::encode, metrics::gauge::Gauge, registry::Registry};
use transport::StatsSnapshot;

use crate::driver::SharedStatus;

/// Metrics of a control host, registered once and set at each scrape.
pub(crate) struct Metrics {
    registry: Registry,
    transport: TransportMetrics,
    is_leader: Gauge,
    term: Gauge,
    version: Gauge,
    commit_index: Gauge,
    members: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("daisypaddle");
        let transport = TransportMetrics::register(&mut registry);
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let is_leader = gauge("control_leads", "1 on the leader of the replicated log");
        let term = gauge("control_term", "Term of the replicated log");
        let version = gauge("config_version", "Newest accepted configuration version");
        let commit_index = gauge("control_commit_index", "Newest accepted entry of the log");
        let members = gauge("members", "Hosts of the fleet that are listed");
        Self { registry, transport, is_leader, term, version, commit_index, members }
    }

    /// Sets the metrics and returns them in the Prometheus text format.
    pub(crate) fn render(&self, status: &SharedStatus, stats: StatsSnapshot) -> String {
        self.transport.set(stats);
        self.is_leader.set(i64::from(status.is_leader));
        self.term.set(gauge_value(status.term));
        self.version.set(gauge_value(status.version.0));
        self.commit_index.set(gauge_value(status.commit_index));
        self.members.set(gauge_value(status.fleet.hosts.len() as u64));
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
