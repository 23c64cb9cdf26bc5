//! Measures what all decisions of one entry host cost at growing sizes.
//!
//! Prints, for each size: time to apply a configuration, of an announcement, of an idempotent
//! request and of a tick, and the memory. Run with `--release`.
//!
//! The other entry hosts are silent: some are declared dead during the ticks, which costs the
//! longest ones, and this host alone takes all announcements.
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

/// Between two ticks.
const TICK: Millis = Millis(50);

/// Ticks of the measurement, ten simulated seconds.
const TICKS: u32 = 200;

/// Requests of the measurement.
const REQUESTS: u32 = 2_000;

/// Requests between two ticks.
const REQUESTS_PER_TICK: u32 = 20;

/// Data centres that hosts and servers are spread over.
const DATA_CENTRES: usize = 10;

const ENTRY: HostId = HostId(1);
const CONTROL: HostId = HostId(2);

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
    let servers = u32::try_from(size.servers).expect("a small number");
    let mut run = Run::new();
    let start_memory = resident_bytes();
    let apply = run.apply(&text(size));
    let config_memory = resident_bytes();
    show(micros(apply) / 1_000.0);
    run.add_hosts(size.hosts);
    let join = run.announce_all(size, 1);
    let server_memory = resident_bytes();
    show(micros(join) / f64::from(servers));
    let change = run.announce_all(size, 2);
    show(micros(change) / f64::from(servers));
    let ticks = run.ticks();
    let tick: Duration = ticks.iter().sum();
    show(micros(tick) / f64::from(TICKS));
    show(micros(ticks[ticks.len() / 2]));
    show(micros(ticks[ticks.len() * 95 / 100]));
    show(micros(ticks[ticks.len() - 1]));
    let request = run.requests(size);
    show(micros(request) / f64::from(REQUESTS));
    let servers_bytes = server_memory.saturating_sub(config_memory);
    println!(
        " {} {} {}",
        config_memory.saturating_sub(start_memory) / 1024,
        servers_bytes / 1024,
        servers_bytes / size.servers,
    );
}

/// Prints a figure at once, so that a run that is cut short shows what it measured.
fn show(figure: f64) {
    print!(" {figure:.1}");
    io::stdout().flush().expect("an open output");
}

/// One entry host, and a control host that only publishes.
struct Run {
    now: Timestamp,
    entry: EntryCore,
    control: FleetCore,
    spent: Duration,
    starts: Vec<AttemptStart>,
    responses: u32,
}

impl Run {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000);
        Self {
            now,
            entry: EntryCore::new(entry_settings(), now),
            control: FleetCore::new(control_settings(), now),
            spent: Duration::ZERO,
            starts: Vec::new(),
            responses: 0,
        }
    }

    /// Gives the entry host an event, counts its time, and carries messages to the control host.
    fn event(&mut self, event: EntryEvent) {
        let start = Instant::now();
        let actions = self.entry.handle(self.now, WallTime(self.now.0 / 1_000), event);
        self.spent += start.elapsed();
        for action in actions {
            match action {
                EntryAction::Send(it) if it.to == CONTROL => self.pass_to_control(it.message),
                EntryAction::StartAttempt(it) => self.starts.push(it),
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
            self.event(EntryEvent::Peer { from: CONTROL, incarnation, message });
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        let actions = self.control.tick(self.now);
        self.pass_to_entry(actions);
        self.event(EntryEvent::Tick);
    }

    /// Publishes a text and returns the time the entry host works until it serves.
    fn apply(&mut self, text: &ConfigText) -> Duration {
        let digest = ContentDigest::of(&schema::encode(text));
        let control = self.control.dissemination_mut();
        let actions = control.publish_config(self.now, text.version, digest, text);
        control.set_current(true);
        let actions = self.control.to_fleet_actions(actions);
        self.spent = Duration::ZERO;
        self.pass_to_entry(actions);
        for _ in 0..1_200 {
            if self.entry.mode() == MemberState::Serving {
                return self.spent;
            }
            self.step();
        }
        panic!("the entry host does not serve after a minute");
    }

    /// Tells the entry host of silent others, until there are `hosts` of them with itself.
    fn add_hosts(&mut self, hosts: u32) {
        let others = (CONTROL.0 + 1..CONTROL.0 + hosts)
            .map(|it| MemberUpdate::Record(other_host(HostId(it))));
        let message = PeerMessage::Membership(MembershipMessage::Updates(others.collect()));
        self.event(EntryEvent::Peer { from: CONTROL, incarnation: Incarnation(1), message });
    }

    fn announce_all(&mut self, size: Size, sequence: u64) -> Duration {
        self.spent = Duration::ZERO;
        for number in 0..size.servers {
            self.event(EntryEvent::Announced(announcement(size, number, sequence)));
        }
        self.spent
    }

    /// The time of each tick, shortest first.
    fn ticks(&mut self) -> Vec<Duration> {
        let mut ticks = Vec::new();
        for _ in 0..TICKS {
            self.now = self.now + TICK;
            let actions = self.control.tick(self.now);
            self.pass_to_entry(actions);
            self.spent = Duration::ZERO;
            self.event(EntryEvent::Tick);
            ticks.push(self.spent);
        }
        ticks.sort();
        ticks
    }

    fn requests(&mut self, size: Size) -> Duration {
        let mut spent = Duration::ZERO;
        let mut answered = 0;
        for number in 0..REQUESTS {
            if number % REQUESTS_PER_TICK == 0 {
                self.step();
            }
            self.spent = Duration::ZERO;
            let head = head(size, number as usize);
            self.event(EntryEvent::Request { request: RequestId(u64::from(number)), head });
            while let Some(it) = self.starts.pop() {
                answered += 1;
                let answer = Answer { status: 200, headers: Vec::new(), body: Vec::new().into() };
                self.event(EntryEvent::AttemptEnded(AttemptEnded {
                    request: it.request,
                    attempt: it.attempt,
                    outcome: AttemptOutcome::Answered(answer),
                    reported_load: None,
                }));
            }
            spent += self.spent;
        }
        assert_eq!(self.responses, REQUESTS);
        assert_eq!(answered, REQUESTS, "some requests were refused");
        spent
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the process status");
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).expect("a VmRSS line");
    let kibibytes = line.split_whitespace().nth(1).expect("a number");
    kibibytes.parse::<usize>().expect("a number") * 1024
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn peer(host: HostId, port: u16) -> Peer {
    Peer {
        host,
        region: "north".parse().expect("a name"),
        data_centre: "dc0".parse().expect("a name"),
        peer_address: address(port),
    }
}

fn entry_settings() -> EntryCoreSettings {
    EntryCoreSettings {
        host: ENTRY,
        region: "north".parse().expect("a name"),
        data_centre: "dc0".parse().expect("a name"),
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
        region: "north".parse().expect("a name"),
        data_centre: "dc0".parse().expect("a name"),
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
        region: "north".parse().expect("a name"),
        data_centre: data_centre(host.0 as usize),
        incarnation: Incarnation(1),
        revision: 1,
        state: MemberState::Serving,
        peer_address: address(2),
        admin_address: address(3),
        in_flight: 0,
    }
}

fn text(size: Size) -> ConfigText {
    let limit = OrganisationLimit { requests_per_second: RequestRate(100_000), burst: 100_000 };
    let organisation = |number: usize| Organisation {
        name: format!("organisation-{number:05}").parse().expect("a name"),
        limit: limit.clone(),
    };
    let route = |number: usize| Route {
        host: "*".to_owned(),
        path: format!("/route-{number}"),
        service: format!("service-{}", number % size.services).parse().expect("a name"),
    };
    let data_centres = (0..DATA_CENTRES).map(data_centre).collect();
    ConfigText {
        version: ConfigVersion(1),
        regions: vec![Region { name: "north".parse().expect("a name"), data_centres }],
        services: (0..size.services).map(service).collect(),
        routes: (0..size.routes).map(route).collect(),
        organisations: (0..size.organisations).map(organisation).collect(),
        default_organisation: limit.clone(),
    }
}

fn data_centre(number: usize) -> DataCentreName {
    format!("dc{}", number % DATA_CENTRES).parse().expect("a name")
}

fn service(number: usize) -> Service {
    Service {
        servers: 0,
        name: format!("service-{number}").parse().expect("a name"),
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
        server: format!("server-{number}").parse().expect("a name"),
        service: format!("service-{}", number % size.services).parse().expect("a name"),
        data_centre: data_centre(number),
        address: address(9_000),
        incarnation: Incarnation(1),
        sequence,
        state: if sequence == 1 { ServerState::Starting } else { ServerState::Serving },
        slots: 3,
        lifetime_ms: Millis(3_600_000),
    }
}

fn head(size: Size, number: usize) -> RequestHead {
    RequestHead {
        host: "localhost".to_owned(),
        path: format!("/route-{}", number % size.routes),
        organisation: format!("organisation-{:05}", number % size.organisations)
            .parse()
            .expect("a name"),
        key: KeyHeader::Missing,
        payload: Fingerprint::of(&number.to_le_bytes()),
        body_size: ByteSize(100),
        time_limit: None,
    }
}
