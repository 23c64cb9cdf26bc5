//! Metrics of a control host.

use std::sync::Arc;

use admin::{TransportMetrics, gauge_value};
use hyper::{Request, StatusCode, body::Incoming};
use prometheus_client::{encoding::text::encode, metrics::gauge::Gauge, registry::Registry};
use registry::RegistryStatus;
use schema::operator::Role;
use transport::StatsSnapshot;

use crate::{
    clients::ClientMetrics,
    http::{self, Reply},
};

/// The metrics of a control host; updated whenever its status changes.
pub(crate) struct Metrics {
    registry: Registry,
    transport: TransportMetrics,
    clients: ClientMetrics,
    is_leader: Gauge,
    is_current: Gauge,
    is_read_only: Gauge,
    term: Gauge,
    commit: Gauge,
    voters: Gauge,
    learners: Gauge,
    version: Gauge,
    servers: Gauge,
    unregistered_departures: Gauge,
    entry_hosts: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("daisypaddle");
        let transport = TransportMetrics::register(&mut registry);
        let clients = ClientMetrics::register(&mut registry);
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let is_leader = gauge("control_leads", "1 on the leader of the replicated log");
        let is_current = gauge("control_current", "1 when this host follows or leads closely");
        let is_read_only = gauge(
            "control_disk_failed",
            "1 while the disk takes no writes and this host can't vote",
        );
        let term = gauge("control_term", "Term of the replicated log");
        let commit = gauge("control_commit_index", "Newest accepted entry of the log");
        let voters = gauge("control_voters", "Voters of the replicated log");
        let learners = gauge("control_learners", "Hosts that copy the log before they vote");
        let version = gauge("config_version", "Newest accepted configuration version");
        let servers = gauge("servers", "Backend servers that have not left");
        let help =
            "Departures of backend servers that were not registered, since the state was read";
        let unregistered_departures = gauge("unregistered_departures", help);
        let entry_hosts = gauge("entry_hosts", "Entry hosts that are listed");
        Self {
            registry,
            transport,
            clients,
            is_leader,
            is_current,
            is_read_only,
            term,
            commit,
            voters,
            learners,
            version,
            servers,
            unregistered_departures,
            entry_hosts,
        }
    }

    /// Returns the metrics of what is held for clients.
    pub(crate) fn clients(&self) -> ClientMetrics {
        self.clients.clone()
    }

    /// Updates the metrics of the transport.
    pub(crate) fn set_transport(&self, stats: StatsSnapshot) {
        self.transport.set(stats);
    }

    /// Updates the metrics of the host status.
    pub(crate) fn set_status(&self, status: &RegistryStatus) {
        self.is_leader.set(i64::from(status.role == Role::Leader));
        self.is_current.set(i64::from(status.is_current));
        self.is_read_only.set(i64::from(status.is_read_only));
        self.term.set(gauge_value(status.term.0));
        self.commit.set(gauge_value(status.commit.0));
        self.voters.set(gauge_value(status.voters.len() as u64));
        self.learners.set(gauge_value(status.learners.len() as u64));
        self.version.set(gauge_value(status.version.0));
        self.servers.set(gauge_value(status.servers as u64));
        self.unregistered_departures.set(gauge_value(status.unregistered_departures));
        self.entry_hosts.set(gauge_value(status.entry_hosts as u64));
    }
}

/// Responds with the metrics in the Prometheus text format.
pub(crate) async fn handle(metrics: Arc<Metrics>, _req: Request<Incoming>) -> Reply {
    let mut text = String::new();
    encode(&mut text, &metrics.registry).expect("writing to a string cannot fail");
    http::text(StatusCode::OK, text)
}
