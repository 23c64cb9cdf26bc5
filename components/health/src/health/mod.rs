//! The health decisions of one entry host as a plain value.

mod inbound;
mod outbound;
mod record;
mod refresh;
mod report;

use std::collections::{BTreeMap, BTreeSet};

use ids::{HostId, Millis, ServerId, ServiceName, Timestamp};
use schema::{config_text::Service, health::VerdictStage};

use crate::{
    baseline::Baseline,
    budget::Budget,
    health::record::{ServerRecord, Watch},
    types::{HealthAction, KnownServer, LiveHost, RotationEntry, Settings},
    watchers::HostIndex,
};

/// Requests are overdue after this time until the usual latency is known.
const DEFAULT_OVERDUE: Millis = Millis(2_000);

/// A service of the configuration and its rotation on this host.
#[derive(Debug)]
struct ServiceRecord {
    floor: u32,
    budget: Budget,
    depends_on: Vec<ServiceName>,
    /// Until when the service counts as in trouble as a whole.
    trouble_until: Timestamp,
    requests: Baseline,
    probes: Baseline,
    members: BTreeSet<ServerId>,
    rotation: Vec<RotationEntry>,
}

/// The health decisions of one entry host.
pub struct Health {
    settings: Settings,
    hosts: HostIndex,
    services: BTreeMap<ServiceName, ServiceRecord>,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Servers that this host watches.
    watched: BTreeSet<ServerId>,
    /// Servers with outcomes that are not yet sent to their watchers.
    pending: BTreeSet<ServerId>,
    /// Servers whose state changes with time alone: verdicts, avoidance, slow start.
    timed: BTreeSet<ServerId>,
    /// Services whose rotation is to be built anew.
    stale: BTreeSet<ServiceName>,
    /// Servers that some watcher holds suspect, and until when that counts.
    suspicions: BTreeMap<ServerId, Timestamp>,
    sequence: u64,
    last_flush: Timestamp,
    last_renewal: Timestamp,
    last_suspicions: Timestamp,
    new_suspects: bool,
    outgoing: Vec<HealthAction>,
}

impl Health {
    /// Starts with no services, servers or hosts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            hosts: HostIndex::default(),
            services: BTreeMap::new(),
            servers: BTreeMap::new(),
            watched: BTreeSet::new(),
            pending: BTreeSet::new(),
            timed: BTreeSet::new(),
            stale: BTreeSet::new(),
            suspicions: BTreeMap::new(),
            sequence: 0,
            last_flush: Timestamp::default(),
            last_renewal: Timestamp::default(),
            last_suspicions: Timestamp::default(),
            new_suspects: false,
            outgoing: Vec::new(),
        }
    }

    /// Replaces the services of the configuration.
    pub fn set_services(&mut self, now: Timestamp, services: &[Service]) {
        let mut old = std::mem::take(&mut self.services);
        for service in services {
            let kept = old.remove(&service.name);
            let record = ServiceRecord::new(service, kept);
            self.services.insert(service.name.clone(), record);
        }
        for (id, record) in &self.servers {
            if let Some(service) = self.services.get_mut(&record.known.service) {
                service.members.insert(id.clone());
            }
        }
        self.mark_all_stale();
        self.refresh(now);
    }

    /// Replaces the known backend servers.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[KnownServer]) {
        let mut old = std::mem::take(&mut self.servers);
        self.services.values_mut().for_each(|it| it.members.clear());
        for known in servers {
            let mut record = match old.remove(&known.server) {
                Some(record) => record,
                None => ServerRecord::new(now, known, self.hosts.watchers(&known.server)),
            };
            record.update(now, known);
            if let Some(service) = self.services.get_mut(&known.service) {
                service.members.insert(known.server.clone());
            }
            self.servers.insert(known.server.clone(), record);
        }
        self.after_membership(now);
    }

    /// Replaces the live entry hosts, this one included.
    pub fn set_hosts(&mut self, now: Timestamp, hosts: &[LiveHost]) {
        self.hosts = HostIndex::new(hosts);
        for (id, record) in &mut self.servers {
            record.watchers = self.hosts.watchers(id);
        }
        self.after_membership(now);
    }

    /// The servers of a service that routing may choose from, sorted by id.
    pub fn rotation(&self, service: &ServiceName) -> &[RotationEntry] {
        self.services.get(service).map_or(&[], |it| it.rotation.as_slice())
    }

    /// When a request to a service that is still in flight is to be reported as overdue.
    pub fn overdue_after(&self, service: &ServiceName) -> Millis {
        let usual = self.services.get(service).and_then(|it| it.requests.overdue_after());
        usual.map_or(DEFAULT_OVERDUE, |it| Millis(it.as_millis() as u64 + 1))
    }

    /// Follows changes of members: who watches what, and the rotations.
    fn after_membership(&mut self, now: Timestamp) {
        let host = self.settings.host;
        self.watched.clear();
        for (id, record) in &mut self.servers {
            if !record.watchers.contains(&host) {
                record.watch = None;
                continue;
            }
            self.watched.insert(id.clone());
            if record.watch.is_none() {
                let watch = Watch::new(now, id, &self.settings);
                record.watch = Some(watch);
            }
        }
        self.pending.retain(|it| self.servers.contains_key(it));
        self.timed = self.servers.keys().cloned().collect();
        self.mark_all_stale();
        self.refresh(now);
    }

    fn mark_all_stale(&mut self) {
        self.stale = self.services.keys().cloned().collect();
    }

    fn own_stage(&self, server: &ServerId) -> Option<VerdictStage> {
        let watch = self.servers.get(server)?.watch.as_ref()?;
        Some(watch.judge.state().stage())
    }

    /// The watchers of a server other than this host.
    fn other_watchers(&self, server: &ServerId) -> Vec<HostId> {
        let watchers = self.servers.get(server).map_or(&[][..], |it| it.watchers.as_slice());
        watchers.iter().copied().filter(|it| *it != self.settings.host).collect()
    }
}

impl ServiceRecord {
    fn new(service: &Service, kept: Option<Self>) -> Self {
        let (requests, probes) = kept.map(|it| (it.requests, it.probes)).unwrap_or_default();
        Self {
            floor: service.floor.max(1),
            budget: Budget::of(service.favour),
            depends_on: service.depends_on.clone(),
            trouble_until: Timestamp::default(),
            requests,
            probes,
            members: BTreeSet::new(),
            rotation: Vec::new(),
        }
    }
}
