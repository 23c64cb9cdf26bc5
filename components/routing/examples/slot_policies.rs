//! Compares policies for choosing among servers with few slots, in a simulation.
//!
//! 36 entry hosts send requests to 12 servers with 3 slots each; one server is four times slower.
//! Servers either queue the requests that they can't run yet, or shed them; a shed request is
//! retried on up to three other servers.

#![allow(clippy::print_stdout)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use ids::{ServerId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use routing::{Attempt, AttemptEnd, Candidate, Distance, ServerChooser};

const HOSTS: usize = 36;
const SERVERS: usize = 12;
const SLOTS: usize = 3;
const SLOW_SERVER: usize = 0;
const SLOW_FACTOR: f64 = 4.0;
const MEAN_SERVICE_MICROS: f64 = 100_000.0;
const ONE_WAY_LATENCY_MICROS: u64 = 1_000;
const REQUESTS: usize = 30_000;
const MAX_ATTEMPTS: usize = 4;
const MAX_BACKOFFS: u32 = 3;
const FIRST_BACKOFF_MICROS: u64 = 50_000;
const SUBSET_SIZE: usize = 4;
const SEEDS: [u64; 3] = [1, 2, 3];

/// How an entry host chooses servers; [`POLICIES`] has the printed names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Random,
    PowerOfTwoOwn,
    PowerOfTwoReported,
    Chooser,
    ChooserWithBackoffs,
    SubsetChooser,
    SubsetLocalQueue,
    LeasedSlots,
}

const POLICIES: [(Policy, &str); 8] = [
    (Policy::Random, "random"),
    (Policy::PowerOfTwoOwn, "power of two, own in flight"),
    (Policy::PowerOfTwoReported, "power of two, own + reported load"),
    (Policy::Chooser, "own load x latency (ServerChooser)"),
    (Policy::ChooserWithBackoffs, "own load x latency, waits after four sheds"),
    (Policy::SubsetChooser, "own load x latency in subsets of 4 by rendezvous"),
    (Policy::SubsetLocalQueue, "subset of 4 by rendezvous, local queue"),
    (Policy::LeasedSlots, "one leased slot a host, local queue"),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { request: usize },
    Reaches { request: usize, server: usize },
    Finishes { request: usize, server: usize },
    Returns { request: usize, server: usize, load: u32, shed: bool },
}

#[derive(Debug, Clone, Default)]
struct Request {
    host: usize,
    arrived: u64,
    sent: u64,
    tried: Vec<usize>,
    backoffs: u32,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
    busy_micros: u64,
}

struct Host {
    chooser: ServerChooser,
    in_flight: [u32; SERVERS],
    /// Load that each server reported last.
    reported: [u32; SERVERS],
    /// Requests that wait for a server of the host.
    waiting: VecDeque<usize>,
    subset: Vec<usize>,
}

/// A simulation of the entry hosts and servers under one policy.
struct Simulation {
    policy: Policy,
    /// Whether servers shed requests that they can't run yet; otherwise they queue them.
    sheds: bool,
    rng: Xoshiro256PlusPlus,
    now: u64,
    /// Events by time and number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    requests: Vec<Request>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    candidates: Vec<Candidate>,
    latencies: Vec<u64>,
    shed_answers: u64,
    refused: u64,
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Row {
    /// Median latency, in milliseconds.
    p50: f64,
    /// 99th percentile of the latency, in milliseconds.
    p99: f64,
    /// Mean number of sheds per request.
    sheds: f64,
    /// Refused requests, in percent.
    refused: f64,
    /// Time in which slots were busy, in percent.
    slot_use: f64,
}

fn server_id(server: usize) -> ServerId {
    format!("server-{server}").parse().expect("valid name")
}

fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

fn exponential(rng: &mut Xoshiro256PlusPlus, mean: f64) -> f64 {
    -mean * (1.0 - uniform(rng)).ln()
}

/// Returns the servers of a host: those with the lowest rendezvous hash for it.
fn subset(host: usize) -> Vec<usize> {
    let mut servers: Vec<usize> = (0..SERVERS).collect();
    servers.sort_by_key(|server| {
        use std::hash::{Hash, Hasher};
        let mut hasher = rustc_hash::FxHasher::default();
        (host, *server, host * SERVERS + *server).hash(&mut hasher);
        Xoshiro256PlusPlus::seed_from_u64(hasher.finish()).next_u64()
    });
    servers.truncate(SUBSET_SIZE);
    servers
}

impl Simulation {
    fn new(policy: Policy, sheds: bool, load: f64, seed: u64) -> Self {
        let candidate = |server| Candidate {
            server: server_id(server),
            distance: Distance::SameDataCentre,
            weight_milli: 1_000,
            last_resort: false,
            slots: SLOTS as u32,
        };
        let host = |host: usize| Host {
            chooser: ServerChooser::new(seed * 1_000 + host as u64),
            in_flight: [0; SERVERS],
            reported: [0; SERVERS],
            waiting: VecDeque::new(),
            subset: if policy == Policy::LeasedSlots { vec![host % SERVERS] } else { subset(host) },
        };
        let mut simulation = Self {
            policy,
            sheds,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            requests: Vec::new(),
            hosts: (0..HOSTS).map(host).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            candidates: (0..SERVERS).map(candidate).collect(),
            latencies: Vec::new(),
            shed_answers: 0,
            refused: 0,
        };
        simulation.schedule_arrivals(load);
        simulation
    }

    fn schedule_arrivals(&mut self, load: f64) {
        let effective_servers = (SERVERS - 1) as f64 + 1.0 / SLOW_FACTOR;
        let capacity = effective_servers * SLOTS as f64 / MEAN_SERVICE_MICROS;
        let mut at = 0.0;
        for request in 0..REQUESTS {
            at += exponential(&mut self.rng, 1.0 / (capacity * load));
            let host = (self.rng.next_u64() % HOSTS as u64) as usize;
            let arrived = at as u64;
            self.requests.push(Request { host, arrived, ..Request::default() });
            self.schedule(arrived, Event::Arrives { request });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next_event, event)));
        self.next_event += 1;
    }

    fn run(mut self) -> Row {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
        self.row()
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrives { request } => self.send(request),
            Event::Reaches { request, server } => self.reach(request, server),
            Event::Finishes { request, server } => self.finish(request, server),
            Event::Returns { request, server, load, shed } => {
                self.return_to_host(request, server, load, shed);
            }
        }
    }

    fn send(&mut self, request: usize) {
        let Some(server) = self.choose(request) else {
            let host = self.requests[request].host;
            self.hosts[host].waiting.push_back(request);
            return;
        };
        let now = self.now;
        self.requests[request].sent = now;
        self.requests[request].tried.push(server);
        let host = &mut self.hosts[self.requests[request].host];
        host.in_flight[server] += 1;
        host.chooser.started(Timestamp(now), &server_id(server));
        self.schedule(now + ONE_WAY_LATENCY_MICROS, Event::Reaches { request, server });
    }

    /// Returns the server for the next attempt; `None` if the request has to wait at its host.
    fn choose(&mut self, request: usize) -> Option<usize> {
        let Request { host, tried, .. } = &self.requests[request];
        let untried: Vec<usize> = (0..SERVERS).filter(|server| !tried.contains(server)).collect();
        let host = &mut self.hosts[*host];
        let mut pick = || untried[(self.rng.next_u64() % untried.len() as u64) as usize];
        match self.policy {
            Policy::Random => Some(pick()),
            Policy::PowerOfTwoOwn => {
                let pair = [pick(), pick()];
                pair.into_iter().min_by_key(|&server| host.in_flight[server])
            }
            Policy::PowerOfTwoReported => {
                let pair = [pick(), pick()];
                pair.into_iter()
                    .min_by_key(|&server| host.in_flight[server] + host.reported[server])
            }
            Policy::Chooser | Policy::ChooserWithBackoffs | Policy::SubsetChooser => {
                let tried: Vec<ServerId> = tried.iter().copied().map(server_id).collect();
                let in_subset = |server: &usize| {
                    self.policy != Policy::SubsetChooser || host.subset.contains(server)
                };
                let candidates: Vec<Candidate> =
                    (0..SERVERS).filter(in_subset).map(|i| self.candidates[i].clone()).collect();
                let now = Timestamp(self.now);
                let chosen = host
                    .chooser
                    .choose(now, &candidates, &tried)
                    .or_else(|| host.chooser.choose(now, &self.candidates, &tried))?;
                self.candidates.iter().position(|candidate| candidate.server == chosen)
            }
            Policy::SubsetLocalQueue | Policy::LeasedSlots => {
                let free = host.subset.iter().copied().filter(|&server| {
                    host.in_flight[server] == 0
                        && (!tried.contains(&server) || tried.len() >= host.subset.len())
                });
                free.min_by_key(|&server| host.reported[server])
            }
        }
    }

    fn reach(&mut self, request: usize, server: usize) {
        let load = self.load(server);
        if self.servers[server].running < SLOTS {
            self.run_on(request, server);
        } else if self.sheds {
            self.shed_answers += 1;
            let returns = Event::Returns { request, server, load, shed: true };
            self.schedule(self.now + ONE_WAY_LATENCY_MICROS, returns);
        } else {
            self.servers[server].queue.push_back(request);
        }
    }

    fn run_on(&mut self, request: usize, server: usize) {
        let slowness = if server == SLOW_SERVER { SLOW_FACTOR } else { 1.0 };
        let took = exponential(&mut self.rng, MEAN_SERVICE_MICROS * slowness) as u64;
        self.servers[server].running += 1;
        self.servers[server].busy_micros += took;
        self.schedule(self.now + took, Event::Finishes { request, server });
    }

    fn finish(&mut self, request: usize, server: usize) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.run_on(next, server);
        }
        let load = self.load(server);
        let returns = Event::Returns { request, server, load, shed: false };
        self.schedule(self.now + ONE_WAY_LATENCY_MICROS, returns);
    }

    fn load(&self, server: usize) -> u32 {
        (self.servers[server].running + self.servers[server].queue.len()) as u32
    }

    fn return_to_host(&mut self, request: usize, server: usize, load: u32, shed: bool) {
        let Request { host, arrived, sent, .. } = self.requests[request];
        let end = if shed { AttemptEnd::Shed } else { AttemptEnd::Answered };
        let attempt = Attempt { started: Timestamp(sent), reported_load: Some(load), end };
        self.hosts[host].in_flight[server] -= 1;
        self.hosts[host].reported[server] = load;
        self.hosts[host].chooser.finished(Timestamp(self.now), &server_id(server), attempt);
        if !shed {
            self.latencies.push(self.now - arrived);
        } else if self.requests[request].tried.len() < MAX_ATTEMPTS {
            self.send(request);
        } else if self.policy == Policy::ChooserWithBackoffs
            && self.requests[request].backoffs < MAX_BACKOFFS
        {
            let backoff = FIRST_BACKOFF_MICROS << self.requests[request].backoffs;
            self.requests[request].backoffs += 1;
            self.requests[request].tried.clear();
            self.schedule(self.now + backoff, Event::Arrives { request });
        } else {
            self.refused += 1;
        }
        if let Some(next) = self.hosts[host].waiting.pop_front() {
            self.send(next);
        }
    }

    fn row(mut self) -> Row {
        self.latencies.sort_unstable();
        let at = |share: f64| {
            let index = (self.latencies.len() as f64 * share) as usize;
            self.latencies[index.min(self.latencies.len() - 1)] as f64 / 1_000.0
        };
        let busy: u64 = self.servers.iter().map(|server| server.busy_micros).sum();
        Row {
            p50: at(0.5),
            p99: at(0.99),
            sheds: self.shed_answers as f64 / REQUESTS as f64,
            refused: self.refused as f64 * 100.0 / REQUESTS as f64,
            slot_use: busy as f64 * 100.0 / (self.now as f64 * (SERVERS * SLOTS) as f64),
        }
    }
}

/// Returns the mean results over all seeds.
fn mean_row(policy: Policy, sheds: bool, load: f64) -> Row {
    let mut mean = Row::default();
    for seed in SEEDS {
        let row = Simulation::new(policy, sheds, load, seed).run();
        let weight = 1.0 / SEEDS.len() as f64;
        mean.p50 += row.p50 * weight;
        mean.p99 += row.p99 * weight;
        mean.sheds += row.sheds * weight;
        mean.refused += row.refused * weight;
        mean.slot_use += row.slot_use * weight;
    }
    mean
}

fn main() {
    for sheds in [false, true] {
        println!("\nservers that {}:\n", if sheds { "shed" } else { "queue" });
        println!("| policy | load | p50 ms | p99 ms | sheds a request | refused | slot use |");
        println!("|---|---|---|---|---|---|---|");
        for (policy, name) in POLICIES {
            for load in [0.5, 0.8, 0.95] {
                let row = mean_row(policy, sheds, load);
                println!(
                    "| {name} | {:.0}% | {:.0} | {:.0} | {:.2} | {:.2}% | {:.0}% |",
                    load * 100.0,
                    row.p50,
                    row.p99,
                    row.sheds,
                    row.refused,
                    row.slot_use
                );
            }
        }
    }
}
