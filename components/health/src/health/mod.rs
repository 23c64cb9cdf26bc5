//! Health decisions of one entry host, without I/O and without a clock of their own.

mod inbound;
mod outbound;
mod record;
mod refresh;
mod report;

use std::collections::{BTreeMap, BTreeSet};

use ids::{HostId, Millis, ServerId, ServiceName, Timestamp};
use schema::{config_text::Service, health::VerdictStage};

use crate::{
    baseline::LatencyBaseline,
    health::record::{ServerRecord, Watch},
    thresholds::Thresholds,
    types::{HealthAction, KnownServer, LiveHost, RotationEntry, Settings},
    watchers::HostIndex,
};

/// Time after which a request is overdue while the latency baseline is unknown.
const DEFAULT_OVERDUE_AFTER: Millis = Millis(2_000);

/// A configured service and its rotation on this host.
#[derive(Debug)]
struct ServiceRecord {
    floor: u32,
    thresholds: Thresholds,
    depends_on: Vec<ServiceName>,
    /// Until when the service counts as faulty as a whole.
    service_fault_until: Timestamp,
    request_latency: LatencyBaseline,
    probe_latency: LatencyBaseline,
    members: BTreeSet<ServerId>,
    rotation: Vec<RotationEntry>,
}

/// Tracks the health of all backend servers on one entry host, and builds the rotations.
pub struct Health {
    settings: Settings,
    hosts: HostIndex,
    services: BTreeMap<ServiceName, ServiceRecord>,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Servers that this host watches.
    watched: BTreeSet<ServerId>,
    /// Servers with outcomes that are not yet sent to their watchers.
    pending: BTreeSet<ServerId>,
    /// Servers to update in the next refresh: something about them changed, or their status or
    /// weight may change with time alone because of verdicts, avoidance or a slow start.
    servers_to_refresh: BTreeSet<ServerId>,
    /// Services whose rotation must be rebuilt.
    stale_rotations: BTreeSet<ServiceName>,
    /// Servers that some watcher suspects, and when that suspicion expires.
    suspicions: BTreeMap<ServerId, Timestamp>,
    verdict_sequence: u64,
    last_flush: Timestamp,
    last_renewal: Timestamp,
    last_suspicions_sent: Timestamp,
    has_new_suspects: bool,
    actions: Vec<HealthAction>,
}

impl Health {
    /// Creates a tracker without services, servers or hosts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            hosts: HostIndex::default(),
            services: BTreeMap::new(),
            servers: BTreeMap::new(),
            watched: BTreeSet::new(),
            pending: BTreeSet::new(),
            servers_to_refresh: BTreeSet::new(),
            stale_rotations: BTreeSet::new(),
            suspicions: BTreeMap::new(),
            verdict_sequence: 0,
            last_flush: Timestamp::default(),
            last_renewal: Timestamp::default(),
            last_suspicions_sent: Timestamp::default(),
            has_new_suspects: false,
            actions: Vec::new(),
        }
    }

    /// Replaces the configured services.
    pub fn set_services(&mut self, now: Timestamp, services: &[Service]) {
        let mut old = std::mem::take(&mut self.services);
        for service in services {
            let previous = old.remove(&service.name);
            let record = ServiceRecord::new(service, previous);
            self.services.insert(service.name.clone(), record);
        }
        for (id, record) in &self.servers {
            if let Some(service) = self.services.get_mut(&record.known.service) {
                service.members.insert(id.clone());
            }
        }
        self.mark_all_rotations_stale();
        self.refresh(now);
    }

    /// Replaces the known backend servers.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[KnownServer]) {
        let known: BTreeSet<&ServerId> = servers.iter().map(|it| &it.server).collect();
        let gone: Vec<ServerId> =
            self.servers.keys().filter(|it| !known.contains(it)).cloned().collect();
        gone.iter().for_each(|it| self.forget_server(it));
        servers.iter().for_each(|it| self.upsert_server(now, it));
        self.refresh(now);
    }

    /// Adds or updates one backend server.
    pub fn set_server(&mut self, now: Timestamp, server: &KnownServer) {
        self.upsert_server(now, server);
        self.refresh(now);
    }

    /// Removes a backend server.
    pub fn remove_server(&mut self, now: Timestamp, server: &ServerId) {
        self.forget_server(server);
        self.refresh(now);
    }

    /// Replaces the live entry hosts, including this one.
    pub fn set_hosts(&mut self, now: Timestamp, hosts: &[LiveHost]) {
        let new = HostIndex::new(hosts);
        let change = new.change_since(&self.hosts);
        self.hosts = new;
        let mut reassigned = Vec::new();
        for (id, record) in &mut self.servers {
            if change.may_change_watchers(record.rendezvous_key, &record.watchers, &self.hosts) {
                record.watchers = self.hosts.watchers(id);
                reassigned.push(id.clone());
            }
        }
        for server in reassigned {
            self.update_watch(now, &server);
            self.servers_to_refresh.insert(server);
        }
        self.refresh(now);
    }

    fn upsert_server(&mut self, now: Timestamp, known: &KnownServer) {
        let id = &known.server;
        match self.servers.get_mut(id) {
            Some(record) if record.known == *known => return,
            Some(record) if record.known.service == known.service => record.update(now, known),
            _ => {
                self.forget_server(id);
                let record = ServerRecord::new(now, known, self.hosts.watchers(id));
                self.servers.insert(id.clone(), record);
                self.update_watch(now, id);
            }
        }
        if let Some(service) = self.services.get_mut(&known.service) {
            service.members.insert(id.clone());
        }
        self.servers_to_refresh.insert(id.clone());
        self.stale_rotations.insert(known.service.clone());
    }

    fn forget_server(&mut self, server: &ServerId) {
        let Some(record) = self.servers.remove(server) else { return };
        if let Some(service) = self.services.get_mut(&record.known.service) {
            service.members.remove(server);
        }
        self.stale_rotations.insert(record.known.service);
        self.watched.remove(server);
        self.pending.remove(server);
        self.servers_to_refresh.remove(server);
        self.suspicions.remove(server);
    }

    /// Starts or stops watching a server, depending on whether this host is one of its watchers.
    fn update_watch(&mut self, now: Timestamp, server: &ServerId) {
        let Some(record) = self.servers.get_mut(server) else { return };
        if !record.watchers.contains(&self.settings.host) {
            record.watch = None;
            self.watched.remove(server);
            return;
        }
        self.watched.insert(server.clone());
        if record.watch.is_none() {
            record.watch = Some(Watch::new(now, server, &self.settings));
        }
    }

    /// Returns the servers of a service that routing may choose, sorted by id.
    pub fn rotation(&self, service: &ServiceName) -> &[RotationEntry] {
        self.services.get(service).map_or(&[], |it| it.rotation.as_slice())
    }

    /// Returns the time after which a request in flight to a service must be reported as overdue.
    pub fn overdue_after(&self, service: &ServiceName) -> Millis {
        let baseline = self.services.get(service).and_then(|it| it.request_latency.overdue_after());
        baseline.map_or(DEFAULT_OVERDUE_AFTER, |it| Millis(it.as_millis() as u64 + 1))
    }

    fn mark_all_rotations_stale(&mut self) {
        self.stale_rotations = self.services.keys().cloned().collect();
    }

    fn own_verdict_stage(&self, server: &ServerId) -> Option<VerdictStage> {
        let watch = self.servers.get(server)?.watch.as_ref()?;
        Some(watch.ejector.state().stage())
    }

    /// Returns the watchers of a server other than this host.
    fn other_watchers(&self, server: &ServerId) -> Vec<HostId> {
        let watchers = self.servers.get(server).map_or(&[][..], |it| it.watchers.as_slice());
        watchers.iter().copied().filter(|it| *it != self.settings.host).collect()
    }
}

impl ServiceRecord {
    fn new(service: &Service, previous: Option<Self>) -> Self {
        let (request_latency, probe_latency) =
            previous.map(|it| (it.request_latency, it.probe_latency)).unwrap_or_default();
        Self {
            floor: service.floor.max(1),
            thresholds: Thresholds::for_favour(service.favour),
            depends_on: service.depends_on.clone(),
            service_fault_until: Timestamp::default(),
            request_latency,
            probe_latency,
            members: BTreeSet::new(),
            rotation: Vec::new(),
        }
    }
}
