//! Metrics of a control host.

use std::sync::Arc;

use admin::{TransportMetrics, gauge_value};
use hyper::{Request, StatusCode, body::Incoming};
use prometheus_client::{encoding::text::encode, metrics::gauge::Gauge, registry::Registry};
use registry::RegistryStatus;
use schema::operator::Role;
use transport::StatsSnapshot;

use crate::http::{self, Reply};

/// The metrics of a control host, set whenever its status changes.
pub(crate) struct Metrics {
    registry: Registry,
    transport: TransportMetrics,
    leads: Gauge,
    current: Gauge,
    term: Gauge,
    commit: Gauge,
    voters: Gauge,
    learners: Gauge,
    version: Gauge,
    servers: Gauge,
    entry_hosts: Gauge,
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
        let leads = gauge("control_leads", "1 on the leader of the replicated log");
        let current = gauge("control_current", "1 when this host follows or leads closely");
        let term = gauge("control_term", "Term of the replicated log");
        let commit = gauge("control_commit_index", "Newest accepted entry of the log");
        let voters = gauge("control_voters", "Voters of the replicated log");
        let learners = gauge("control_learners", "Hosts that copy the log before they vote");
        let version = gauge("config_version", "Newest accepted configuration version");
        let servers = gauge("servers", "Backend servers that have not left");
        let entry_hosts = gauge("entry_hosts", "Entry hosts that are listed");
        Self {
            registry,
            transport,
            leads,
            current,
            term,
            commit,
            voters,
            learners,
            version,
            servers,
            entry_hosts,
        }
    }

    /// Shows what was sent and received.
    pub(crate) fn set_transport(&self, stats: StatsSnapshot) {
        self.transport.set(stats);
    }

    /// Shows the status of the host.
    pub(crate) fn set(&self, status: &RegistryStatus) {
        self.leads.set(i64::from(status.role == Role::Leader));
        self.current.set(i64::from(status.is_current));
        self.term.set(gauge_value(status.term.0));
        self.commit.set(gauge_value(status.commit.0));
        self.voters.set(gauge_value(status.voters.len() as u64));
        self.learners.set(gauge_value(status.learners.len() as u64));
        self.version.set(gauge_value(status.version.0));
        self.servers.set(gauge_value(status.servers as u64));
        self.entry_hosts.set(gauge_value(status.entry_hosts as u64));
    }
}

/// Answers with the metrics in the exposition format.
pub(crate) async fn handle(metrics: Arc<Metrics>, _req: Request<Incoming>) -> Reply {
    let mut text = String::new();
    encode(&mut text, &metrics.registry).expect("a string takes any text");
    http::text(StatusCode::OK, text)
}
