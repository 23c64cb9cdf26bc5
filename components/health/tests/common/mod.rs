//! Fixtures: a small fleet of entry hosts that exchange messages without delay.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use health::{
    Health, HealthAction, KnownServer, KnownState, LiveHost, Observation, OutcomeKind, ProbeResult,
    Settings,
};
use ids::{
    ByteSize, DataCentreName, HostId, Incarnation, Millis, ServerId, ServiceName, Timestamp,
};
use schema::config_text::{Favour, Patience, Service};

pub const DATA_CENTRES: u32 = 6;

pub fn service(name: &str, floor: u32, favour: Favour) -> Service {
    Service {
        connections_per_server: 330,
        deadline_ms: Millis(5_000),
        depends_on: Vec::new(),
        favour,
        floor,
        idempotent: true,
        max_request_bytes: ByteSize(1 << 20),
        max_response_bytes: ByteSize(1 << 20),
        name: name.parse().unwrap(),
        patience: Patience::Prompt,
        priority: 5,
        probe_path: "/probe".to_owned(),
        servers: 0,
        slots_per_server: 3,
    }
}

pub fn data_centre(number: u32) -> DataCentreName {
    format!("dc{}", number % DATA_CENTRES).parse().unwrap()
}

pub fn server_id(service: &str, number: u32) -> ServerId {
    format!("{service}-{number}").parse().unwrap()
}

pub fn known_server(service: &str, number: u32) -> KnownServer {
    KnownServer {
        server: server_id(service, number),
        service: service.parse().unwrap(),
        data_centre: data_centre(number),
        incarnation: Incarnation(1),
        state: KnownState::Serving,
    }
}

pub fn live_host(number: u32) -> LiveHost {
    LiveHost {
        host: HostId(number),
        data_centre: data_centre(number),
        region: format!("region{}", number % DATA_CENTRES / 2).parse().unwrap(),
    }
}

pub fn host_health(number: u32) -> Health {
    Health::new(Settings {
        host: HostId(number),
        data_centre: data_centre(number),
        incarnation: Incarnation(1),
        seed: u64::from(number),
    })
}

/// Entry hosts that exchange messages without delay.
pub struct Fleet {
    pub now: Timestamp,
    pub hosts: BTreeMap<HostId, Health>,
    pub probes: Vec<(HostId, ServerId)>,
}

impl Fleet {
    pub fn new(hosts: u32, services: &[Service], servers: &[KnownServer]) -> Self {
        let live: Vec<LiveHost> = (0..hosts).map(live_host).collect();
        let now = Timestamp::from_millis(1_000);
        let build = |number| {
            let mut it = host_health(number);
            it.set_services(now, services);
            it.set_hosts(now, &live);
            it.set_servers(now, servers);
            (HostId(number), it)
        };
        Self { now, hosts: (0..hosts).map(build).collect(), probes: Vec::new() }
    }

    /// Advances the time in ticks of 50 ms and leaves probes unanswered.
    pub fn advance(&mut self, time: Millis) {
        self.advance_with_probes(time, |_, _| None);
    }

    /// Advances the time in ticks of 50 ms; `answer` returns the outcome of each probe, if any.
    pub fn advance_with_probes(
        &mut self,
        time: Millis,
        mut answer: impl FnMut(HostId, &ServerId) -> Option<OutcomeKind>,
    ) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Millis(50);
            let now = self.now;
            let ids: Vec<HostId> = self.hosts.keys().copied().collect();
            for id in ids {
                let actions = self.hosts.get_mut(&id).unwrap().tick(now);
                self.perform(id, actions);
            }
            for (host, server) in std::mem::take(&mut self.probes) {
                let Some(kind) = answer(host, &server) else { continue };
                let result = ProbeResult { kind, latency: Duration::from_millis(25) };
                self.hosts.get_mut(&host).unwrap().probe_result(now, &server, result);
            }
        }
    }

    pub fn observe(&mut self, host: u32, server: &ServerId, kind: OutcomeKind) {
        let latency = Duration::from_millis(100);
        let observation = Observation { server: server.clone(), kind, latency, was_overdue: false };
        self.hosts.get_mut(&HostId(host)).unwrap().observe(self.now, observation);
    }

    pub fn in_rotation(&self, host: u32, service: &str, server: &ServerId) -> bool {
        let service: ServiceName = service.parse().unwrap();
        self.hosts[&HostId(host)].rotation(&service).iter().any(|it| it.server == *server)
    }

    /// Counts the hosts that have the server in their rotation.
    pub fn hosts_routing_to(&self, service: &str, server: &ServerId) -> usize {
        self.hosts.keys().filter(|it| self.in_rotation(it.0, service, server)).count()
    }

    fn perform(&mut self, from: HostId, actions: Vec<HealthAction>) {
        let mut queue: Vec<(HostId, HealthAction)> =
            actions.into_iter().map(|it| (from, it)).collect();
        while let Some((from, action)) = queue.pop() {
            match action {
                HealthAction::Send { to, message } => {
                    let Some(health) = self.hosts.get_mut(&to) else { continue };
                    let more = health.handle(self.now, from, message);
                    queue.extend(more.into_iter().map(|it| (to, it)));
                }
                HealthAction::Probe { server, .. } => self.probes.push((from, server)),
                HealthAction::StatusChanged { .. } => {}
            }
        }
    }
}
