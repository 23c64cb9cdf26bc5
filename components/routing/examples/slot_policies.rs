//! Simulates policies that choose among servers with few slots.
//!
//! 36 entry hosts send requests to 12 servers with 3 slots each; one server is four times slower.
//! Servers without a free slot either queue a request or shed it; a shed request is retried on up
//! to three other servers.

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
const ONE_WAY_DELAY_MICROS: u64 = 1_000;
const REQUESTS: usize = 30_000;
const MAX_ATTEMPTS: usize = 4;
const MAX_BACKOFFS: u32 = 3;
const INITIAL_BACKOFF_MICROS: u64 = 50_000;
const SUBSET_SIZE: usize = 4;
const SEEDS: [u64; 3] = [1, 2, 3];

/// How an entry host chooses servers; [`POLICIES`] has the printed names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Random,
    PowerOfTwoOwn,
    PowerOfTwoReported,
    Chooser,
    ChooserWithBackoff,
    SubsetChooser,
    SubsetLocalQueue,
    LeasedSlots,
}

const POLICIES: [(Policy, &str); 8] = [
    (Policy::Random, "random"),
    (Policy::PowerOfTwoOwn, "power of two, own in flight"),
    (Policy::PowerOfTwoReported, "power of two, own + reported load"),
    (Policy::Chooser, "own load x latency (ServerChooser)"),
    (Policy::ChooserWithBackoff, "own load x latency, waits after four sheds"),
    (Policy::SubsetChooser, "own load x latency in subsets of 4 by rendezvous"),
    (Policy::SubsetLocalQueue, "subset of 4 by rendezvous, local queue"),
    (Policy::LeasedSlots, "one leased slot a host, local queue"),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ReachesHost { request: usize },
    ReachesServer { request: usize, server: usize },
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
    reported_load: [u32; SERVERS],
    /// Requests that wait for a free server.
    queue: VecDeque<usize>,
    subset: Vec<usize>,
}

struct Simulation {
    policy: Policy,
    /// Whether servers without a free slot shed requests; otherwise they queue them.
    sheds: bool,
    rng: Xoshiro256PlusPlus,
    now: u64,
    /// Events by time, then in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    requests: Vec<Request>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    candidates: Vec<Candidate>,
    latencies: Vec<u64>,
    shed_attempts: u64,
    refused: u64,
}

/// Results of a policy at one load.
#[derive(Debug, Default)]
struct Row {
    p50_ms: f64,
    p99_ms: f64,
    sheds_per_request: f64,
    refused_percent: f64,
    utilisation_percent: f64,
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

/// Returns the servers that a host uses: those with the lowest rendezvous hashes for it.
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
            reported_load: [0; SERVERS],
            queue: VecDeque::new(),
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
            shed_attempts: 0,
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
            self.schedule(arrived, Event::ReachesHost { request });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next_event, event)));
        self.next_event += 1;
    }

    fn run(mut self) -> Row {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.row()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ReachesHost { request } => self.send(request),
            Event::ReachesServer { request, server } => self.reach_server(request, server),
            Event::Finishes { request, server } => self.finish(request, server),
            Event::Returns { request, server, load, shed } => {
                self.return_to_host(request, server, load, shed);
            }
        }
    }

    fn send(&mut self, request: usize) {
        let Some(server) = self.choose(request) else {
            let host = self.requests[request].host;
            self.hosts[host].queue.push_back(request);
            return;
        };
        let now = self.now;
        self.requests[request].sent = now;
        self.requests[request].tried.push(server);
        let host = &mut self.hosts[self.requests[request].host];
        host.in_flight[server] += 1;
        host.chooser.started(Timestamp(now), &server_id(server));
        self.schedule(now + ONE_WAY_DELAY_MICROS, Event::ReachesServer { request, server });
    }

    /// Returns the server of the next attempt, or `None` if the request has to queue at the host.
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
                    .min_by_key(|&server| host.in_flight[server] + host.reported_load[server])
            }
            Policy::Chooser | Policy::ChooserWithBackoff | Policy::SubsetChooser => {
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
                free.min_by_key(|&server| host.reported_load[server])
            }
        }
    }

    fn reach_server(&mut self, request: usize, server: usize) {
        let load = self.load(server);
        if self.servers[server].running < SLOTS {
            self.run_request(request, server);
        } else if self.sheds {
            self.shed_attempts += 1;
            let returns = Event::Returns { request, server, load, shed: true };
            self.schedule(self.now + ONE_WAY_DELAY_MICROS, returns);
        } else {
            self.servers[server].queue.push_back(request);
        }
    }

    fn run_request(&mut self, request: usize, server: usize) {
        let factor = if server == SLOW_SERVER { SLOW_FACTOR } else { 1.0 };
        let duration = exponential(&mut self.rng, MEAN_SERVICE_MICROS * factor) as u64;
        self.servers[server].running += 1;
        self.servers[server].busy_micros += duration;
        self.schedule(self.now + duration, Event::Finishes { request, server });
    }

    fn finish(&mut self, request: usize, server: usize) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.run_request(next, server);
        }
        let load = self.load(server);
        let returns = Event::Returns { request, server, load, shed: false };
        self.schedule(self.now + ONE_WAY_DELAY_MICROS, returns);
    }

    fn load(&self, server: usize) -> u32 {
        (self.servers[server].running + self.servers[server].queue.len()) as u32
    }

    fn return_to_host(&mut self, request: usize, server: usize, load: u32, shed: bool) {
        let Request { host, arrived, sent, .. } = self.requests[request];
        let end = if shed { AttemptEnd::Shed } else { AttemptEnd::Answered };
        let attempt = Attempt { started: Timestamp(sent), reported_load: Some(load), end };
        self.hosts[host].in_flight[server] -= 1;
        self.hosts[host].reported_load[server] = load;
        self.hosts[host].chooser.finished(Timestamp(self.now), &server_id(server), attempt);
        if !shed {
            self.latencies.push(self.now - arrived);
        } else if self.requests[request].tried.len() < MAX_ATTEMPTS {
            self.send(request);
        } else if self.policy == Policy::ChooserWithBackoff
            && self.requests[request].backoffs < MAX_BACKOFFS
        {
            let backoff = INITIAL_BACKOFF_MICROS << self.requests[request].backoffs;
            self.requests[request].backoffs += 1;
            self.requests[request].tried.clear();
            self.schedule(self.now + backoff, Event::ReachesHost { request });
        } else {
            self.refused += 1;
        }
        if let Some(next) = self.hosts[host].queue.pop_front() {
            self.send(next);
        }
    }

    fn row(mut self) -> Row {
        self.latencies.sort_unstable();
        let percentile = |share: f64| {
            let index = (self.latencies.len() as f64 * share) as usize;
            self.latencies[index.min(self.latencies.len() - 1)] as f64 / 1_000.0
        };
        let busy: u64 = self.servers.iter().map(|server| server.busy_micros).sum();
        Row {
            p50_ms: percentile(0.5),
            p99_ms: percentile(0.99),
            sheds_per_request: self.shed_attempts as f64 / REQUESTS as f64,
            refused_percent: self.refused as f64 * 100.0 / REQUESTS as f64,
            utilisation_percent: busy as f64 * 100.0 / (self.now as f64 * (SERVERS * SLOTS) as f64),
        }
    }
}

/// Returns the means over all seeds.
fn mean_row(policy: Policy, sheds: bool, load: f64) -> Row {
    let mut mean = Row::default();
    for seed in SEEDS {
        let row = Simulation::new(policy, sheds, load, seed).run();
        let weight = 1.0 / SEEDS.len() as f64;
        mean.p50_ms += row.p50_ms * weight;
        mean.p99_ms += row.p99_ms * weight;
        mean.sheds_per_request += row.sheds_per_request * weight;
        mean.refused_percent += row.refused_percent * weight;
        mean.utilisation_percent += row.utilisation_percent * weight;
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
                    row.p50_ms,
                    row.p99_ms,
                    row.sheds_per_request,
                    row.refused_percent,
                    row.utilisation_percent
                );
            }
        }
    }
}
