//! Benchmark of `EntryCore` for fleets of growing size.
//!
//! Prints for each size the time of applying a configuration, of an announcement, of a tick and of
//! an idempotent request, and the memory of the configuration and the servers. Run with
//! `--release`.
//!
//! The other entry hosts send no messages. Membership declares some of them dead during the
//! measured ticks, which causes the longest ticks. All servers announce themselves to this host.
#![allow(clippy::disallowed_methods, clippy::print_stdout)]

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};

use entry_core::{
    AttemptEnded, AttemptOutcome, AttemptStart, EntryAction, EntryCore, EntryCoreSettings,
    EntryEvent, KeyHeader, RequestHead,
};
use fleet_core::{FleetAction, FleetCore, FleetSettings};
use ids::{
    ByteSize, ConfigVersion, ContentDigest, DataCentreName, Fingerprint, HostId, Incarnation,
    Millis, RequestId, RequestRate, Timestamp, WallTime,
};
use membership::{Member, MemberRole, MemberState, MembershipSettings, Timing};
use schema::{
    announcement::{Announcement, ServerState},
    answer::Answer,
    config_text::{
        ConfigText, Favour, Organisation, OrganisationLimit, Patience, Region, Route, Service,
    },
    membership::{MemberUpdate, MembershipMessage},
    peer::PeerMessage,
    settings::Peer,
};

/// Simulated time between two ticks.
const TICK: Millis = Millis(50);

/// Number of measured ticks: ten simulated seconds.
const TICKS: u32 = 200;

/// Number of measured requests.
const REQUESTS: u32 = 2_000;

/// Number of requests between two ticks.
const REQUESTS_PER_TICK: u32 = 20;

/// Number of data centres of the hosts and servers.
const DATA_CENTRES: usize = 10;

const ENTRY: HostId = HostId(1);
const CONTROL: HostId = HostId(2);

/// Size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    hosts: u32,
    services: usize,
    servers: usize,
    routes: usize,
    organisations: usize,
}

const SIZES: [Size; 3] = [
    Size { hosts: 36, services: 4, servers: 48, routes: 4, organisations: 3 },
    Size { hosts: 140, services: 83, servers: 1_500, routes: 590, organisations: 3_400 },
    Size { hosts: 1_400, services: 830, servers: 15_000, routes: 5_900, organisations: 34_000 },
];

fn main() {
    println!(
        "hosts services servers routes organisations config_ms join_us change_us tick_us \
         median_tick_us p95_tick_us max_tick_us request_us config_KiB servers_KiB bytes/server"
    );
    SIZES.iter().for_each(|size| measure(*size));
}

fn measure(size: Size) {
    print!(
        "{} {} {} {} {}",
        size.hosts, size.services, size.servers, size.routes, size.organisations
    );
    let servers = u32::try_from(size.servers).expect("the number of servers fits");
    let mut simulation = Simulation::new();
    let start_memory = resident_bytes();
    let config_time = simulation.apply_config(&config_text(size));
    let config_memory = resident_bytes();
    print_figure(micros(config_time) / 1_000.0);
    simulation.add_hosts(size.hosts);
    let join_time = simulation.announce_all(size, 1);
    let server_memory = resident_bytes();
    print_figure(micros(join_time) / f64::from(servers));
    let change_time = simulation.announce_all(size, 2);
    print_figure(micros(change_time) / f64::from(servers));
    let ticks = simulation.measure_ticks();
    let total_tick_time: Duration = ticks.iter().sum();
    print_figure(micros(total_tick_time) / f64::from(TICKS));
    print_figure(micros(ticks[ticks.len() / 2]));
    print_figure(micros(ticks[ticks.len() * 95 / 100]));
    print_figure(micros(ticks[ticks.len() - 1]));
    let request_time = simulation.measure_requests(size);
    print_figure(micros(request_time) / f64::from(REQUESTS));
    let server_bytes = server_memory.saturating_sub(config_memory);
    println!(
        " {} {} {}",
        config_memory.saturating_sub(start_memory) / 1024,
        server_bytes / 1024,
        server_bytes / size.servers,
    );
}

/// Prints a figure and flushes the output, so that an aborted benchmark shows what it measured.
fn print_figure(figure: f64) {
    print!(" {figure:.1}");
    io::stdout().flush().expect("standard output is open");
}

/// One entry host, and a control host that publishes the configuration.
struct Simulation {
    now: Timestamp,
    entry: EntryCore,
    control: FleetCore,
    /// Time spent in the entry host since the last reset.
    elapsed: Duration,
    started_attempts: Vec<AttemptStart>,
    responses: u32,
}

impl Simulation {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000);
        Self {
            now,
            entry: EntryCore::new(entry_settings(), now),
            control: FleetCore::new(control_settings(), now),
            elapsed: Duration::ZERO,
            started_attempts: Vec::new(),
            responses: 0,
        }
    }

    /// Passes an event to the entry host, measures the time, and delivers messages to the control
    /// host.
    fn handle_event(&mut self, event: EntryEvent) {
        let start = Instant::now();
        let actions = self.entry.handle(self.now, WallTime(self.now.0 / 1_000), event);
        self.elapsed += start.elapsed();
        for action in actions {
            match action {
                EntryAction::Send(it) if it.to == CONTROL => self.pass_to_control(it.message),
                EntryAction::StartAttempt(it) => self.started_attempts.push(it),
                EntryAction::Respond { .. } => self.responses += 1,
                _ => {}
            }
        }
    }

    fn pass_to_control(&mut self, message: PeerMessage) {
        let actions = match message {
            PeerMessage::Membership(it) => self.control.handle_membership(self.now, ENTRY, it),
            PeerMessage::Dissemination(it) => {
                self.control.handle_dissemination(self.now, ENTRY, it)
            }
            _ => return,
        };
        self.pass_to_entry(actions);
    }

    fn pass_to_entry(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            let FleetAction::Send(it) = action else { continue };
            let message = it.message;
            let incarnation = Incarnation(1);
            self.handle_event(EntryEvent::Peer { from: CONTROL, incarnation, message });
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        let actions = self.control.tick(self.now);
        self.pass_to_entry(actions);
        self.handle_event(EntryEvent::Tick);
    }

    /// Publishes a configuration and returns the time spent in the entry host until it serves.
    fn apply_config(&mut self, text: &ConfigText) -> Duration {
        let digest = ContentDigest::of(&schema::encode(text));
        let control = self.control.dissemination_mut();
        let actions = control.publish_config(self.now, text.version, digest, text);
        control.set_current(true);
        let actions = self.control.to_fleet_actions(actions);
        self.elapsed = Duration::ZERO;
        self.pass_to_entry(actions);
        for _ in 0..1_200 {
            if self.entry.mode() == MemberState::Serving {
                return self.elapsed;
            }
            self.step();
        }
        panic!("the entry host is not serving after a minute");
    }

    /// Adds members that send no messages, so that the fleet has `hosts` entry hosts.
    fn add_hosts(&mut self, hosts: u32) {
        let others = (CONTROL.0 + 1..CONTROL.0 + hosts)
            .map(|it| MemberUpdate::Record(other_host(HostId(it))));
        let message = PeerMessage::Membership(MembershipMessage::Updates(others.collect()));
        self.handle_event(EntryEvent::Peer { from: CONTROL, incarnation: Incarnation(1), message });
    }

    fn announce_all(&mut self, size: Size, sequence: u64) -> Duration {
        self.elapsed = Duration::ZERO;
        for number in 0..size.servers {
            self.handle_event(EntryEvent::Announced(announcement(size, number, sequence)));
        }
        self.elapsed
    }

    /// Returns the times of the measured ticks, shortest first.
    fn measure_ticks(&mut self) -> Vec<Duration> {
        let mut ticks = Vec::new();
        for _ in 0..TICKS {
            self.now = self.now + TICK;
            let actions = self.control.tick(self.now);
            self.pass_to_entry(actions);
            self.elapsed = Duration::ZERO;
            self.handle_event(EntryEvent::Tick);
            ticks.push(self.elapsed);
        }
        ticks.sort();
        ticks
    }

    fn measure_requests(&mut self, size: Size) -> Duration {
        let mut total = Duration::ZERO;
        let mut answered = 0;
        for number in 0..REQUESTS {
            if number % REQUESTS_PER_TICK == 0 {
                self.step();
            }
            self.elapsed = Duration::ZERO;
            let head = request_head(size, number as usize);
            self.handle_event(EntryEvent::Request { request: RequestId(u64::from(number)), head });
            while let Some(it) = self.started_attempts.pop() {
                answered += 1;
                let answer = Answer { status: 200, headers: Vec::new(), body: Vec::new().into() };
                self.handle_event(EntryEvent::AttemptEnded(AttemptEnded {
                    request: it.request,
                    attempt: it.attempt,
                    outcome: AttemptOutcome::Answered(answer),
                    reported_load: None,
                }));
            }
            total += self.elapsed;
        }
        assert_eq!(self.responses, REQUESTS);
        assert_eq!(answered, REQUESTS, "some requests were refused");
        total
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("/proc is readable");
    let line =
        status.lines().find(|it| it.starts_with("VmRSS:")).expect("the status has a VmRSS line");
    let kibibytes = line.split_whitespace().nth(1).expect("VmRSS is a number");
    kibibytes.parse::<usize>().expect("VmRSS is a number") * 1024
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn peer(host: HostId, port: u16) -> Peer {
    Peer {
        host,
        region: "north".parse().expect("valid name"),
        data_centre: "dc0".parse().expect("valid name"),
        peer_address: address(port),
    }
}

fn entry_settings() -> EntryCoreSettings {
    EntryCoreSettings {
        host: ENTRY,
        region: "north".parse().expect("valid name"),
        data_centre: "dc0".parse().expect("valid name"),
        incarnation: Incarnation(1),
        caller_address: address(1),
        peer_address: address(2),
        admin_address: address(3),
        peers: vec![peer(CONTROL, 4)],
        seed: 1,
        drain: Millis(1_000),
    }
}

fn control_settings() -> FleetSettings {
    let membership = MembershipSettings {
        host: CONTROL,
        role: MemberRole::Control,
        region: "north".parse().expect("valid name"),
        data_centre: "dc0".parse().expect("valid name"),
        incarnation: Incarnation(1),
        peer_address: address(4),
        admin_address: address(5),
        seed: 2,
        timing: Timing::default(),
    };
    FleetSettings { membership, peers: vec![peer(ENTRY, 2)] }
}

fn other_host(host: HostId) -> Member {
    Member {
        host,
        role: MemberRole::Entry(address(1)),
        region: "north".parse().expect("valid name"),
        data_centre: data_centre(host.0 as usize),
        incarnation: Incarnation(1),
        revision: 1,
        state: MemberState::Serving,
        peer_address: address(2),
        admin_address: address(3),
        in_flight: 0,
    }
}

fn config_text(size: Size) -> ConfigText {
    let limit = OrganisationLimit { requests_per_second: RequestRate(100_000), burst: 100_000 };
    let organisation = |number: usize| Organisation {
        name: format!("organisation-{number:05}").parse().expect("valid name"),
        limit: limit.clone(),
    };
    let route = |number: usize| Route {
        host: "*".to_owned(),
        path: format!("/route-{number}"),
        service: format!("service-{}", number % size.services).parse().expect("valid name"),
    };
    let data_centres = (0..DATA_CENTRES).map(data_centre).collect();
    ConfigText {
        version: ConfigVersion(1),
        regions: vec![Region { name: "north".parse().expect("valid name"), data_centres }],
        services: (0..size.services).map(service).collect(),
        routes: (0..size.routes).map(route).collect(),
        organisations: (0..size.organisations).map(organisation).collect(),
        default_organisation: limit.clone(),
    }
}

fn data_centre(number: usize) -> DataCentreName {
    format!("dc{}", number % DATA_CENTRES).parse().expect("valid name")
}

fn service(number: usize) -> Service {
    Service {
        servers: 0,
        name: format!("service-{number}").parse().expect("valid name"),
        depends_on: Vec::new(),
        idempotent: true,
        patience: Patience::Prompt,
        priority: 5,
        deadline_ms: Millis(1_000),
        floor: 2,
        favour: Favour::Speed,
        slots_per_server: 3,
        connections_per_server: 330,
        max_request_bytes: ByteSize(10_000),
        max_response_bytes: ByteSize(10_000),
        probe_path: "/probe".to_owned(),
    }
}

fn announcement(size: Size, number: usize, sequence: u64) -> Announcement {
    Announcement {
        server: format!("server-{number}").parse().expect("valid name"),
        service: format!("service-{}", number % size.services).parse().expect("valid name"),
        data_centre: data_centre(number),
        address: address(9_000),
        incarnation: Incarnation(1),
        sequence,
        state: if sequence == 1 { ServerState::Starting } else { ServerState::Serving },
        slots: 3,
        lifetime_ms: Millis(3_600_000),
    }
}

fn request_head(size: Size, number: usize) -> RequestHead {
    RequestHead {
        host: "localhost".to_owned(),
        path: format!("/route-{}", number % size.routes),
        organisation: format!("organisation-{:05}", number % size.organisations)
            .parse()
            .expect("valid name"),
        key: KeyHeader::Missing,
        payload: Fingerprint::of(&number.to_le_bytes()),
        body_size: ByteSize(100),
        time_limit: None,
    }
}
