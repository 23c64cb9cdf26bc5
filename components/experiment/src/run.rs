//! One run: a discrete-event simulation of requests, probes and messages between entry hosts.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use health::{
    Health, HealthAction, KnownServer, KnownState, Observation, OutcomeKind, ProbeResult,
    ServerStatus, Settings,
};
use ids::{FastMap, HostId, Incarnation, ServerId, ServiceName, Timestamp};
use schema::health::HealthMessage;

use crate::{
    deployment::{
        Deployment, HOSTS, Load, SERVERS, SERVERS_PER_SERVICE, SERVICES, data_centre_name,
        host_data_centre, known_servers, latency_us, live_hosts, server_data_centre, service_name,
        service_of,
    },
    fixed_threshold::{DETECTION_SHARE, DetectorResult, FixedThresholdDetectors, ObservedOutcome},
    random::Random,
    response::{self, Response},
    scenario::{AnnouncedState, ONSET_US, Scenario},
};

/// Interval between the ticks of an entry host, in microseconds.
const TICK_INTERVAL_US: u64 = 50_000;

/// Interval at which entry hosts learn of changed announcements, in microseconds.
const ANNOUNCEMENT_INTERVAL_US: u64 = 500_000;

/// Time after which a request without a response times out, in microseconds.
const DEADLINE_US: u64 = 5_000_000;

/// Share of messages between hosts that are lost.
const MESSAGE_LOSS: f64 = 0.001;

/// Time after an outage in which an ejection does not count as false, in microseconds.
const GRACE_US: u64 = 3_000_000;

/// Results of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunResult {
    /// Time from the onset of the fault until 90% of the affected entry hosts kept the faulty
    /// server out of rotation, in microseconds.
    pub detected_us: Option<u64>,
    /// Ejections of healthy servers.
    pub false_ejections: u64,
    /// Detector of five consecutive failures on each host by itself.
    pub in_row_local: DetectorResult,
    /// Detector of five consecutive failures in the outcomes of all hosts.
    pub in_row_pooled: DetectorResult,
    /// Detector of the failure rate in a window of the outcomes of all hosts.
    pub rate_pooled: DetectorResult,
    /// Simulated time multiplied by the number of servers, in server-days.
    pub server_days: f64,
    /// Probes per second to each server.
    pub probes_per_server_second: f64,
    /// Bytes of encoded messages that each host sent per second.
    pub bytes_per_host_second: f64,
}

#[derive(Debug)]
enum Event {
    Arrival { service: usize },
    Outcome(OutcomeEvent),
    Message { from: usize, to: usize, message: HealthMessage },
    Tick { host: usize },
    Announcements,
}

#[derive(Debug)]
struct OutcomeEvent {
    host: usize,
    server: usize,
    kind: OutcomeKind,
    latency_us: u64,
    was_overdue: bool,
    is_probe: bool,
}

struct Run {
    scenario: Scenario,
    load: Load,
    /// Server that the fault affects.
    target: usize,
    now_us: u64,
    random: Random,
    /// Keys of the pending events, earliest first; those due at the same time are ordered by their
    /// scheduling. The events themselves are in `events`, by the order in their key.
    queue: BinaryHeap<Reverse<EventKey>>,
    events: FastMap<u64, Event>,
    last_order: u64,
    hosts: Vec<Health>,
    services: Vec<ServiceName>,
    servers: Vec<KnownServer>,
    server_indexes: FastMap<ServerId, usize>,
    /// Whether each host has ejected each server, indexed by host and server.
    ejected: Vec<bool>,
    detected_us: Option<u64>,
    false_ejections: u64,
    fixed_threshold: FixedThresholdDetectors,
    probes_sent: u64,
    bytes_sent: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_us: u64,
    order: u64,
}

/// Simulates one scenario with one seed.
pub fn run(deployment: Deployment, load: Load, scenario: Scenario, seed: u64) -> RunResult {
    let mut run = Run::new(deployment, load, scenario, seed);
    let end_us = scenario.duration_us();
    while let Some(Reverse(key)) = run.queue.pop() {
        if key.at_us > end_us {
            break;
        }
        run.now_us = key.at_us;
        let event = run.events.remove(&key.order).expect("each key has an event");
        run.dispatch(event);
    }
    run.result(end_us)
}

impl Run {
    fn new(deployment: Deployment, load: Load, scenario: Scenario, seed: u64) -> Self {
        let servers = known_servers();
        let services = deployment.services();
        let mut random = Random::new(seed);
        let new_health = |host: usize| {
            let mut health = Health::new(Settings {
                host: HostId(host as u32),
                data_centre: data_centre_name(host_data_centre(host)),
                incarnation: Incarnation(1),
                seed: seed ^ (host as u64) << 32,
            });
            health.set_services(Timestamp(0), &services);
            health.set_hosts(Timestamp(0), &live_hosts());
            health.set_servers(Timestamp(0), &servers);
            health
        };
        let mut run = Self {
            scenario,
            load,
            target: random.below(SERVERS),
            now_us: 0,
            random,
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            last_order: 0,
            hosts: (0..HOSTS).map(new_health).collect(),
            services: (0..SERVICES).map(service_name).collect(),
            server_indexes: servers
                .iter()
                .enumerate()
                .map(|(i, it)| (it.server.clone(), i))
                .collect(),
            servers,
            ejected: vec![false; HOSTS * SERVERS],
            detected_us: None,
            false_ejections: 0,
            fixed_threshold: FixedThresholdDetectors::new(),
            probes_sent: 0,
            bytes_sent: 0,
        };
        for service in 0..SERVICES {
            run.schedule_arrival(service);
        }
        for host in 0..HOSTS {
            let offset = run.random.below(TICK_INTERVAL_US as usize) as u64;
            run.schedule(offset, Event::Tick { host });
        }
        run.schedule(ANNOUNCEMENT_INTERVAL_US, Event::Announcements);
        run
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.last_order += 1;
        let key = EventKey { at_us: self.now_us + after_us, order: self.last_order };
        self.queue.push(Reverse(key));
        self.events.insert(key.order, event);
    }

    fn schedule_arrival(&mut self, service: usize) {
        let seconds = self.random.exponential(1.0 / self.load.requests_per_second());
        self.schedule((seconds * 1e6) as u64, Event::Arrival { service });
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrival { service } => self.send_request(service),
            Event::Outcome(outcome) => self.observe(outcome),
            Event::Message { from, to, message } => {
                let now = Timestamp(self.now_us);
                let actions = self.hosts[to].handle(now, HostId(from as u32), message);
                self.apply_actions(to, actions);
            }
            Event::Tick { host } => {
                let actions = self.hosts[host].tick(Timestamp(self.now_us));
                self.apply_actions(host, actions);
                self.check_detection();
                self.schedule(TICK_INTERVAL_US, Event::Tick { host });
            }
            Event::Announcements => {
                self.update_announcements();
                self.schedule(ANNOUNCEMENT_INTERVAL_US, Event::Announcements);
            }
        }
    }

    /// Sends a request from a random entry host to a random server of a service, unless the server
    /// is draining.
    fn send_request(&mut self, service: usize) {
        self.schedule_arrival(service);
        let host = self.random.below(HOSTS);
        let server = service * SERVERS_PER_SERVICE + self.random.below(SERVERS_PER_SERVICE);
        if self.servers[server].state == KnownState::Draining {
            return;
        }
        let condition = self.scenario.condition(self.now_us, host, server, self.target);
        let round_trip_us = self.round_trip_us(host, server);
        let response = response::draw_request(&mut self.random, &condition, round_trip_us);
        let overdue_us = self.hosts[host].overdue_after(&self.services[service]).0 * 1000;
        self.schedule_request(host, server, response, overdue_us);
    }

    fn schedule_request(
        &mut self,
        host: usize,
        server: usize,
        response: Response,
        overdue_us: u64,
    ) {
        let (kind, after_us) = match response.kind {
            Some(kind) if response.after_us < DEADLINE_US => (kind, response.after_us),
            _ => (OutcomeKind::TimedOut, DEADLINE_US),
        };
        let was_overdue = after_us > overdue_us;
        let outcome = |kind, latency_us, was_overdue| {
            Event::Outcome(OutcomeEvent {
                host,
                server,
                kind,
                latency_us,
                was_overdue,
                is_probe: false,
            })
        };
        if was_overdue {
            self.schedule(overdue_us, outcome(OutcomeKind::Overdue, overdue_us, false));
        }
        self.schedule(after_us, outcome(kind, after_us, was_overdue));
    }

    fn send_probe(&mut self, host: usize, server: usize, timeout_us: u64) {
        self.probes_sent += 1;
        let condition = self.scenario.condition(self.now_us, host, server, self.target);
        let round_trip_us = self.round_trip_us(host, server);
        let response = response::draw_probe(&mut self.random, &condition, round_trip_us);
        let (kind, latency_us) = match response.kind {
            Some(kind) if response.after_us < timeout_us => (kind, response.after_us),
            _ => (OutcomeKind::TimedOut, timeout_us),
        };
        let outcome =
            OutcomeEvent { host, server, kind, latency_us, was_overdue: false, is_probe: true };
        self.schedule(latency_us, Event::Outcome(outcome));
    }

    fn observe(&mut self, outcome: OutcomeEvent) {
        let now = Timestamp(self.now_us);
        let OutcomeEvent { host, server, mut kind, latency_us, was_overdue, is_probe } = outcome;
        if !is_probe && self.scenario.is_crashed_by_request(self.now_us, server) {
            kind = OutcomeKind::CrashedByRequest;
        }
        let is_faulty = self.is_faulty(server);
        let is_faulty_for_host = is_faulty
            || (self.scenario == Scenario::OnePath
                && server == self.target
                && self.scenario.is_affected(host, server));
        let now_us = self.now_us;
        self.fixed_threshold.record(ObservedOutcome {
            now_us,
            host,
            server,
            kind,
            is_faulty_for_host,
            is_faulty,
        });
        let latency = Duration::from_micros(latency_us);
        let id = self.servers[server].server.clone();
        if is_probe {
            self.hosts[host].probe_result(now, &id, ProbeResult { kind, latency });
        } else {
            let observation = Observation { server: id, kind, latency, was_overdue };
            self.hosts[host].observe(now, observation);
        }
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                HealthAction::Send { to, message } => self.send(host, to.0 as usize, message),
                HealthAction::Probe { server, timeout } => {
                    let server = self.server_indexes[&server];
                    self.send_probe(host, server, timeout.0 * 1000);
                }
                HealthAction::StatusChanged { server, to, .. } => {
                    let server = self.server_indexes[&server];
                    self.record_status(host, server, to == ServerStatus::Ejected);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: HealthMessage) {
        self.bytes_sent += schema::encode(&message).len() as u64;
        let (a, b) = (host_data_centre(from), host_data_centre(to));
        let is_partitioned = self.scenario.loses_messages(self.now_us, a, b);
        if is_partitioned || self.random.chance(MESSAGE_LOSS) {
            return;
        }
        self.schedule(latency_us(a, b), Event::Message { from, to, message });
    }

    /// Records whether a host has ejected a server. The ejection of a healthy server counts as
    /// false only if no host had ejected it already.
    fn record_status(&mut self, host: usize, server: usize, ejected: bool) {
        let already_ejected = (0..HOSTS).any(|it| self.ejected[it * SERVERS + server]);
        self.ejected[host * SERVERS + server] = ejected;
        if ejected && !already_ejected && !self.is_faulty(server) {
            self.false_ejections += 1;
        }
    }

    fn check_detection(&mut self) {
        if !self.scenario.is_fault() || self.detected_us.is_some() || self.now_us < ONSET_US {
            return;
        }
        let affected = (0..HOSTS).filter(|it| self.scenario.is_affected(*it, self.target));
        let hosts: Vec<usize> = affected.collect();
        let hosts_without_target = hosts.iter().filter(|it| self.keeps_target_out(**it)).count();
        if hosts_without_target as f64 >= DETECTION_SHARE * hosts.len() as f64 {
            self.detected_us = Some(self.now_us - ONSET_US);
        }
    }

    /// Returns whether a host keeps the target out of rotation: by verdict, or, for a fault on one
    /// path only, by its own path detection.
    fn keeps_target_out(&self, host: usize) -> bool {
        if self.scenario != Scenario::OnePath {
            return self.ejected[host * SERVERS + self.target];
        }
        let rotation = self.hosts[host].rotation(&self.services[service_of(self.target)]);
        let entry = rotation.iter().find(|it| it.server == self.servers[self.target].server);
        entry.is_none_or(|it| it.last_resort)
    }

    fn is_faulty(&self, server: usize) -> bool {
        self.scenario.is_faulty(self.now_us, server, self.target, GRACE_US)
    }

    fn update_announcements(&mut self) {
        let mut changed = false;
        for (index, server) in self.servers.iter_mut().enumerate() {
            let (announced, restarts) = self.scenario.announced_state(self.now_us, index);
            let state = match announced {
                AnnouncedState::Serving => KnownState::Serving,
                AnnouncedState::Draining => KnownState::Draining,
                AnnouncedState::Starting => KnownState::Starting,
            };
            let incarnation = Incarnation(1 + restarts);
            changed |= server.state != state || server.incarnation != incarnation;
            server.state = state;
            server.incarnation = incarnation;
        }
        if changed {
            let now = Timestamp(self.now_us);
            self.hosts.iter_mut().for_each(|it| it.set_servers(now, &self.servers));
        }
    }

    fn round_trip_us(&self, host: usize, server: usize) -> u64 {
        2 * latency_us(host_data_centre(host), server_data_centre(server))
    }

    fn result(self, end_us: u64) -> RunResult {
        let seconds = end_us as f64 / 1e6;
        let since_onset = |it: DetectorResult| DetectorResult {
            detected_us: it.detected_us.map(|it| it - ONSET_US),
            ..it
        };
        RunResult {
            detected_us: self.detected_us,
            false_ejections: self.false_ejections,
            in_row_local: since_onset(self.fixed_threshold.in_row_local),
            in_row_pooled: since_onset(self.fixed_threshold.in_row_pooled),
            rate_pooled: since_onset(self.fixed_threshold.rate_pooled),
            server_days: seconds * SERVERS as f64 / 86_400.0,
            probes_per_server_second: self.probes_sent as f64 / seconds / SERVERS as f64,
            bytes_per_host_second: self.bytes_sent as f64 / seconds / HOSTS as f64,
        }
    }
}
