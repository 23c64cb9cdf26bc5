//! One run: a stream of outcomes fed into the health values of all entry hosts.

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
    random::Random,
    response::{self, Response},
    rivals::{FOUND_SHARE, RivalResult, Rivals, SeenOutcome},
    scenario::{Announced, ONSET_US, Scenario},
};

/// Time between ticks of one entry host, in microseconds.
const TICK_US: u64 = 50_000;

/// Time between looks at the announcements, in microseconds.
const ANNOUNCE_US: u64 = 500_000;

/// Time after which a request without an answer is given up, in microseconds.
const DEADLINE_US: u64 = 5_000_000;

/// Share of messages between hosts that get lost.
const MESSAGE_LOSS: f64 = 0.001;

/// Time after an outage in which an ejection still counts as right, in microseconds.
const GRACE_US: u64 = 3_000_000;

/// What came of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunResult {
    /// Time until 90% of the affected entry hosts had the sick server out, in microseconds.
    pub found_us: Option<u64>,
    /// Ejections of servers that were not sick.
    pub false_ejections: u64,
    /// Five failures in a row on each host by itself.
    pub in_row_local: RivalResult,
    /// Five failures in a row over all hosts.
    pub in_row_pooled: RivalResult,
    /// Failure rate over a window over all hosts.
    pub rate_pooled: RivalResult,
    /// Simulated time times servers, in server-days.
    pub server_days: f64,
    /// Probes a second and server.
    pub probes_per_server_second: f64,
    /// Encoded message bytes that one host sent in a second.
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
    sick: usize,
    now_us: u64,
    random: Random,
    /// Events by time and order of scheduling; the payload is kept apart.
    queue: BinaryHeap<Reverse<EventKey>>,
    events: FastMap<u64, Event>,
    scheduled: u64,
    hosts: Vec<Health>,
    services: Vec<ServiceName>,
    servers: Vec<KnownServer>,
    numbers: FastMap<ServerId, usize>,
    ejected: Vec<bool>,
    found_us: Option<u64>,
    false_ejections: u64,
    rivals: Rivals,
    probes: u64,
    bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_us: u64,
    order: u64,
}

/// Runs one scenario with one seed.
pub fn run(deployment: Deployment, load: Load, scenario: Scenario, seed: u64) -> RunResult {
    let mut run = Run::new(deployment, load, scenario, seed);
    let end = scenario.duration_us();
    while let Some(Reverse(key)) = run.queue.pop() {
        if key.at_us > end {
            break;
        }
        run.now_us = key.at_us;
        let event = run.events.remove(&key.order).expect("each key has an event");
        run.perform(event);
    }
    run.result(end)
}

impl Run {
    fn new(deployment: Deployment, load: Load, scenario: Scenario, seed: u64) -> Self {
        let servers = known_servers();
        let services = deployment.services();
        let mut random = Random::new(seed);
        let host = |number: usize| {
            let mut health = Health::new(Settings {
                host: HostId(number as u32),
                data_centre: data_centre_name(host_data_centre(number)),
                incarnation: Incarnation(1),
                seed: seed ^ (number as u64) << 32,
            });
            health.set_services(Timestamp(0), &services);
            health.set_hosts(Timestamp(0), &live_hosts());
            health.set_servers(Timestamp(0), &servers);
            health
        };
        let mut run = Self {
            scenario,
            load,
            sick: random.below(SERVERS),
            now_us: 0,
            random,
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            scheduled: 0,
            hosts: (0..HOSTS).map(host).collect(),
            services: (0..SERVICES).map(service_name).collect(),
            numbers: servers.iter().enumerate().map(|(i, it)| (it.server.clone(), i)).collect(),
            servers,
            ejected: vec![false; HOSTS * SERVERS],
            found_us: None,
            false_ejections: 0,
            rivals: Rivals::new(),
            probes: 0,
            bytes: 0,
        };
        for service in 0..SERVICES {
            run.schedule_arrival(service);
        }
        for host in 0..HOSTS {
            let offset = run.random.below(TICK_US as usize) as u64;
            run.schedule(offset, Event::Tick { host });
        }
        run.schedule(ANNOUNCE_US, Event::Announcements);
        run
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.scheduled += 1;
        let key = EventKey { at_us: self.now_us + after_us, order: self.scheduled };
        self.queue.push(Reverse(key));
        self.events.insert(key.order, event);
    }

    fn schedule_arrival(&mut self, service: usize) {
        let seconds = self.random.exponential(1.0 / self.load.requests_per_second());
        self.schedule((seconds * 1e6) as u64, Event::Arrival { service });
    }

    fn perform(&mut self, event: Event) {
        match event {
            Event::Arrival { service } => self.arrive(service),
            Event::Outcome(outcome) => self.observe(outcome),
            Event::Message { from, to, message } => {
                let now = Timestamp(self.now_us);
                let actions = self.hosts[to].handle(now, HostId(from as u32), message);
                self.act(to, actions);
            }
            Event::Tick { host } => {
                let actions = self.hosts[host].tick(Timestamp(self.now_us));
                self.act(host, actions);
                self.check_found();
                self.schedule(TICK_US, Event::Tick { host });
            }
            Event::Announcements => {
                self.follow_announcements();
                self.schedule(ANNOUNCE_US, Event::Announcements);
            }
        }
    }

    /// Sends a request of a service to some server that takes work.
    fn arrive(&mut self, service: usize) {
        self.schedule_arrival(service);
        let host = self.random.below(HOSTS);
        let server = service * SERVERS_PER_SERVICE + self.random.below(SERVERS_PER_SERVICE);
        if self.servers[server].state == KnownState::Draining {
            return;
        }
        let condition = self.scenario.condition(self.now_us, host, server, self.sick);
        let round_trip = self.round_trip_us(host, server);
        let response = response::request(&mut self.random, &condition, round_trip);
        let overdue = self.hosts[host].overdue_after(&self.services[service]).0 * 1000;
        self.schedule_request(host, server, response, overdue);
    }

    fn schedule_request(&mut self, host: usize, server: usize, response: Response, overdue: u64) {
        let (kind, after_us) = match response.kind {
            Some(kind) if response.after_us < DEADLINE_US => (kind, response.after_us),
            _ => (OutcomeKind::TimedOut, DEADLINE_US),
        };
        let was_overdue = after_us > overdue;
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
            self.schedule(overdue, outcome(OutcomeKind::Overdue, overdue, false));
        }
        self.schedule(after_us, outcome(kind, after_us, was_overdue));
    }

    fn send_probe(&mut self, host: usize, server: usize, timeout_us: u64) {
        self.probes += 1;
        let condition = self.scenario.condition(self.now_us, host, server, self.sick);
        let round_trip = self.round_trip_us(host, server);
        let response = response::probe(&mut self.random, &condition, round_trip);
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
        if !is_probe && self.scenario.crashes_at(self.now_us, server) {
            kind = OutcomeKind::CrashedByRequest;
        }
        let is_sick = self.is_sick(server);
        let is_sick_here = is_sick
            || (self.scenario == Scenario::OnePath
                && server == self.sick
                && self.scenario.is_affected(host, server));
        let now_us = self.now_us;
        self.rivals.note(SeenOutcome { now_us, host, server, kind, is_sick_here, is_sick });
        let latency = Duration::from_micros(latency_us);
        let id = self.servers[server].server.clone();
        if is_probe {
            self.hosts[host].probe_result(now, &id, ProbeResult { kind, latency });
        } else {
            let observation = Observation { server: id, kind, latency, was_overdue };
            self.hosts[host].observe(now, observation);
        }
    }

    fn act(&mut self, host: usize, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                HealthAction::Send { to, message } => self.send(host, to.0 as usize, message),
                HealthAction::Probe { server, timeout } => {
                    let server = self.numbers[&server];
                    self.send_probe(host, server, timeout.0 * 1000);
                }
                HealthAction::StatusChanged { server, to, .. } => {
                    let server = self.numbers[&server];
                    self.note_change(host, server, to == ServerStatus::Ejected);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: HealthMessage) {
        self.bytes += schema::encode(&message).len() as u64;
        let (a, b) = (host_data_centre(from), host_data_centre(to));
        let lost = self.scenario.loses_messages(self.now_us, a, b);
        if lost || self.random.chance(MESSAGE_LOSS) {
            return;
        }
        self.schedule(latency_us(a, b), Event::Message { from, to, message });
    }

    fn note_change(&mut self, host: usize, server: usize, ejected: bool) {
        let elsewhere = (0..HOSTS).any(|it| self.ejected[it * SERVERS + server]);
        self.ejected[host * SERVERS + server] = ejected;
        if ejected && !elsewhere && !self.is_sick(server) {
            self.false_ejections += 1;
        }
    }

    fn check_found(&mut self) {
        if !self.scenario.is_fault() || self.found_us.is_some() || self.now_us < ONSET_US {
            return;
        }
        let affected = (0..HOSTS).filter(|it| self.scenario.is_affected(*it, self.sick));
        let hosts: Vec<usize> = affected.collect();
        let out = hosts.iter().filter(|it| self.is_out(**it)).count();
        if out as f64 >= FOUND_SHARE * hosts.len() as f64 {
            self.found_us = Some(self.now_us - ONSET_US);
        }
    }

    /// Whether a host has the sick server out: by verdict, or on its own path for that fault.
    fn is_out(&self, host: usize) -> bool {
        if self.scenario != Scenario::OnePath {
            return self.ejected[host * SERVERS + self.sick];
        }
        let rotation = self.hosts[host].rotation(&self.services[service_of(self.sick)]);
        let entry = rotation.iter().find(|it| it.server == self.servers[self.sick].server);
        entry.is_none_or(|it| it.last_resort)
    }

    fn is_sick(&self, server: usize) -> bool {
        self.scenario.is_sick(self.now_us, server, self.sick, GRACE_US)
    }

    fn follow_announcements(&mut self) {
        let mut changed = false;
        for (number, server) in self.servers.iter_mut().enumerate() {
            let (announced, restarts) = self.scenario.announced(self.now_us, number);
            let state = match announced {
                Announced::Serving => KnownState::Serving,
                Announced::Draining => KnownState::Draining,
                Announced::Starting => KnownState::Starting,
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
        let since_onset =
            |it: RivalResult| RivalResult { found_us: it.found_us.map(|it| it - ONSET_US), ..it };
        RunResult {
            found_us: self.found_us,
            false_ejections: self.false_ejections,
            in_row_local: since_onset(self.rivals.in_row_local),
            in_row_pooled: since_onset(self.rivals.in_row_pooled),
            rate_pooled: since_onset(self.rivals.rate_pooled),
            server_days: seconds * SERVERS as f64 / 86_400.0,
            probes_per_server_second: self.probes as f64 / seconds / SERVERS as f64,
            bytes_per_host_second: self.bytes as f64 / seconds / HOSTS as f64,
        }
    }
}
