//! Measures the cost of the health decisions of one entry host at growing fleet sizes.
//!
//! Prints for each size: the servers watched; the time to apply the loss of one entry host, to
//! learn all hosts and servers, per observation and per tick; the share of a core; memory; bytes
//! sent and probes per second. Run with `--release`.
#![allow(clippy::disallowed_methods, clippy::print_stdout)]

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use health::{
    Health, HealthAction, KnownServer, KnownState, LiveHost, Observation, OutcomeKind, ProbeResult,
    Settings,
};
use ids::{ByteSize, HostId, Incarnation, Millis, Timestamp};
use schema::config_text::{Favour, Patience, Service};

/// Upper bound on the servers that the entry host sends requests to.
const SUBSET_SIZE: usize = 60;

/// Simulated time of each measurement, in seconds.
const SIMULATED_SECONDS: u64 = 60;

/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// Size of a memory page, in bytes.
const PAGE_BYTES: usize = 4096;

struct Size {
    hosts: u32,
    data_centres: u32,
    services: usize,
    servers: usize,
    requests_per_second: u64,
}

const SIZES: [Size; 4] = [
    Size { hosts: 36, data_centres: 6, services: 4, servers: 48, requests_per_second: 20 },
    Size { hosts: 140, data_centres: 10, services: 83, servers: 1_500, requests_per_second: 71 },
    Size { hosts: 700, data_centres: 10, services: 415, servers: 7_500, requests_per_second: 71 },
    Size {
        hosts: 1_400,
        data_centres: 10,
        services: 830,
        servers: 15_000,
        requests_per_second: 71,
    },
];

fn main() {
    println!(
        "hosts servers watched hosts_ms servers_ms observe_ns tick_us core_% MiB sent_B/s probes/s"
    );
    for size in &SIZES {
        measure(size);
    }
}

fn measure(size: &Size) {
    let before = resident_bytes();
    let mut health = Health::new(Settings {
        host: HostId(0),
        data_centre: "dc-0".parse().expect("valid name"),
        incarnation: Incarnation(1),
        seed: 1,
    });
    let servers = servers(size);
    health.set_services(Timestamp(0), &services(size));
    let started = Instant::now();
    health.set_hosts(Timestamp(0), &hosts(size));
    health.set_servers(Timestamp(0), &servers);
    let servers_time = started.elapsed();
    let started = Instant::now();
    health.set_hosts(Timestamp(0), &hosts(size)[..size.hosts as usize - 1]);
    let hosts_time = started.elapsed();
    let memory = resident_bytes().saturating_sub(before);

    let result = run_load(&mut health, size, &servers);
    let seconds = SIMULATED_SECONDS as f64;
    let cpu_share = (result.observe_time + result.tick_time).as_secs_f64() / seconds;
    println!(
        "{} {} {} {:.1} {:.1} {:.0} {:.1} {:.3} {:.1} {:.0} {:.1}",
        size.hosts,
        size.servers,
        result.watched,
        hosts_time.as_secs_f64() * 1e3,
        servers_time.as_secs_f64() * 1e3,
        result.observe_time.as_nanos() as f64 / result.observations as f64,
        result.tick_time.as_micros() as f64 / result.ticks as f64,
        cpu_share * 100.0,
        memory as f64 / f64::from(1 << 20),
        result.sent_bytes as f64 / seconds,
        result.probes as f64 / seconds,
    );
    black_box(health);
}

#[derive(Default)]
struct LoadResult {
    watched: usize,
    observations: u64,
    ticks: u64,
    probes: u64,
    sent_bytes: usize,
    observe_time: Duration,
    tick_time: Duration,
}

/// Feeds outcomes of requests and probes to `health` and measures the cost.
fn run_load(health: &mut Health, size: &Size, servers: &[KnownServer]) -> LoadResult {
    let mut result = LoadResult::default();
    let mut probed_servers = std::collections::BTreeSet::new();
    let subset = SUBSET_SIZE.min(servers.len());
    let mut sent = 0;
    for ms in (0..SIMULATED_SECONDS * 1000).step_by(TICK_MS as usize) {
        let now = Timestamp::from_millis(20_000 + ms);
        let target = size.requests_per_second * ms / 1000;
        let started = Instant::now();
        while sent < target {
            sent += 1;
            result.observations += 1;
            let server = servers[sent as usize * 7 % subset].server.clone();
            let latency = Duration::from_millis(80 + sent % 40);
            let kind = OutcomeKind::Answered;
            health.observe(now, Observation { server, kind, latency, was_overdue: false });
        }
        result.observe_time += started.elapsed();
        let started = Instant::now();
        let actions = health.tick(now);
        result.tick_time += started.elapsed();
        result.ticks += 1;
        for action in actions {
            match action {
                HealthAction::Send { message, .. } => {
                    result.sent_bytes += schema::encode(&message).len();
                }
                HealthAction::Probe { server, .. } => {
                    result.probes += 1;
                    let latency = Duration::from_millis(25);
                    let result = ProbeResult { kind: OutcomeKind::Answered, latency };
                    health.probe_result(now, &server, result);
                    probed_servers.insert(server);
                }
                HealthAction::StatusChanged { .. } => {}
            }
        }
    }
    result.watched = probed_servers.len();
    result
}

fn hosts(size: &Size) -> Vec<LiveHost> {
    let host = |number: u32| {
        let data_centre = number % size.data_centres;
        LiveHost {
            host: HostId(number),
            data_centre: format!("dc-{data_centre}").parse().expect("valid name"),
            region: format!("region-{}", data_centre * 4 / size.data_centres)
                .parse()
                .expect("valid name"),
        }
    };
    (0..size.hosts).map(host).collect()
}

fn servers(size: &Size) -> Vec<KnownServer> {
    let server = |number: usize| KnownServer {
        server: format!("server-{number}").parse().expect("valid name"),
        service: format!("service-{}", number % size.services).parse().expect("valid name"),
        data_centre: format!("dc-{}", number % size.data_centres as usize)
            .parse()
            .expect("valid name"),
        incarnation: Incarnation(1),
        state: KnownState::Serving,
    };
    (0..size.servers).map(server).collect()
}

fn services(size: &Size) -> Vec<Service> {
    let service = |number: usize| Service {
        connections_per_server: 330,
        deadline_ms: Millis(5_000),
        depends_on: Vec::new(),
        favour: Favour::Speed,
        floor: 6,
        idempotent: true,
        max_request_bytes: ByteSize(1 << 20),
        max_response_bytes: ByteSize(1 << 20),
        name: format!("service-{number}").parse().expect("valid name"),
        patience: Patience::Prompt,
        priority: 5,
        probe_path: "/probe".to_owned(),
        servers: 0,
        slots_per_server: 3,
    };
    (0..size.services).map(service).collect()
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
