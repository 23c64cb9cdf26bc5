//! Tests with real processes that crowds of clients that send too much, or stop short of their end,
//! harm neither processes nor ordinary callers.

#![allow(clippy::print_stderr)]

mod gateway;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
};

use gateway::{
    Cut, Fleet, Server, call,
    crowds::{CONTROL_MEMORY, Crowd, GATEWAY_MEMORY, Meter, Script, memory_of},
    receive, wait_for,
};
use ids::{ByteSize, Millis};
use platform::stand_in;
use schema::announcement::ServerState;

/// Largest body that the configuration allows, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Bytes that stalled bodies are short of their end.
const SHORT_OF_END: usize = 64 * 1024;

/// Largest configuration text, in bytes.
const MAX_CONFIG: usize = 3 * 1024 * 1024;

const MEBIBYTE: usize = 1024 * 1024;

/// Descriptors of the processes that are attacked with connections, and how many may be open.
const FEW_DESCRIPTORS: usize = 512;
const MAX_OPEN: usize = FEW_DESCRIPTORS / 8 * 7;

/// What a host may account for clients once a crowd has left, in bytes: a few connections.
const MAX_HELD_AFTERWARDS: u64 = 1_000_000;

/// The gateway and the control host that are attacked.
const GATEWAY: u8 = 11;
const CONTROL: u8 = 1;

/// Slots of each of the four servers: no crowd takes them all.
const SLOTS: u32 = 200;

const PATH: &str = "/pay/{id}";

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A fleet that serves, its backend servers, and what its hosts use.
struct Attacked {
    fleet: Fleet,
    servers: Vec<Server>,
    meter: Meter,
    _turn: MutexGuard<'static, ()>,
}

impl Attacked {
    fn start() -> Self {
        Self::start_with(|_| {})
    }

    fn start_with(prepare: impl FnOnce(&mut Fleet)) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fleet = Fleet::without_hosts();
        prepare(&mut fleet);
        fleet.start_hosts(2);
        let servers: Vec<Server> = (1..=4)
            .map(|i| {
                let mut server = Server::start(i, "queue");
                server.announcement.slots = SLOTS;
                server
            })
            .collect();
        let mut config = gateway::config(1, "queue");
        config.caller_limits.max_body = ByteSize(MAX_BODY as u64);
        // Stalled requests don't end by themselves while the test runs.
        config.routes.iter_mut().for_each(|it| it.time_limit = Millis(60_000));
        fleet.put(&config);
        servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
        fleet.wait_until_ready();
        [11, 12].iter().for_each(|it| fleet.wait_until_used(*it, &servers));
        let meter = Meter::start(&fleet, &[1, 2, 3, 11, 12]);
        Self { fleet, servers, meter, _turn: turn }
    }

    fn callers(&self) -> SocketAddr {
        self.fleet.address(GATEWAY, self.fleet.ports.callers)
    }

    fn attack(&self, name: &str, clients: usize, script: &Script) -> Crowd {
        Crowd::send(name, self.callers(), clients, None, script)
    }

    /// Checks, while crowds are still connected, that ordinary requests are answered, that all
    /// processes live within the memory of their machines, and that refusals were true.
    fn check(&self, crowds: &mut [Crowd]) {
        for gateway in [11, 12] {
            self.wait_until_served(gateway);
            self.check_small_body(gateway);
        }
        wait_for("a change of the configuration", || {
            let read = call(
                self.fleet.address(CONTROL, self.fleet.ports.requests),
                "GET",
                stand_in::READ_CONFIG,
                &[],
                b"",
            );
            read.filter(|it| [200, 307].contains(&it.status)).map(drop)
        });
        let runs: Vec<_> =
            self.servers.iter().flat_map(|it| it.runs.lock().unwrap().clone()).collect();
        crowds.iter_mut().for_each(|it| it.check_refusals(&runs));
        assert_eq!(self.fleet.take_ended(), None);
        for (host, memory) in [(1, CONTROL_MEMORY), (11, GATEWAY_MEMORY), (12, GATEWAY_MEMORY)] {
            let with_unread = self.meter.most(self.fleet.ip(host)).memory;
            let most = with_unread.max(self.fleet.peak_memory(host));
            eprintln!("host {host} has used {most} kB, {with_unread} kB with unread bytes");
            assert!(most <= memory, "host {host} has used {most} kB of {memory} kB");
        }
    }

    /// Waits until a request is served, each time to another path: what is lost too often is refused.
    fn wait_until_served(&self, gateway: u8) {
        let mut paths = (0..).map(|it| format!("/look/ordinary-{gateway}-{it}"));
        wait_for("an ordinary request", || {
            let path = paths.next()?;
            self.fleet.request(gateway, "ordinary", &path).filter(|it| it.status == 200).map(drop)
        });
    }

    fn check_small_body(&self, gateway: u8) {
        let id = format!("small-body-{gateway}");
        let address = self.fleet.address(gateway, self.fleet.ports.callers);
        let mut paths = (0..).map(|it| format!("/pay/ordinary-{gateway}-{it}"));
        wait_for("a request with a body", || {
            let headers = stand_in::caller_headers(&id, Millis(4_000));
            let response = call(address, "POST", &paths.next()?, &headers, &[b'a'; 1_000]);
            response.filter(|it| it.status == 200).map(drop)
        });
    }

    /// Waits until the memory of a host is back below half of its machine's.
    fn check_memory_returns(&self, host: u8, machine: u64) {
        let id = self.fleet.processes[&self.fleet.ip(host)].id();
        wait_for("memory that is free again", || {
            (memory_of(id, "VmRSS:") <= machine / 2).then_some(())
        });
        eprintln!("host {host} uses {} kB afterwards", memory_of(id, "VmRSS:"));
        wait_for("clients for whom nothing is held", || {
            (self.metric(host, "daisypaddle_client_memory_bytes")? <= MAX_HELD_AFTERWARDS)
                .then_some(())
        });
    }

    /// Returns a value of the metrics page of a host, or 0 if it isn't there yet.
    fn metric(&self, host: u8, name: &str) -> Option<u64> {
        let address = self.fleet.address(host, self.fleet.ports.metrics);
        let page = call(address, "GET", "/metrics", &[], b"")?;
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let value = text.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
        Some(value.map_or(0, |it| it.parse().unwrap()))
    }

    /// Checks everything while the crowds are connected, and the memory once they have left.
    fn check_and_leave(&self, mut crowds: Vec<Crowd>) {
        self.check(&mut crowds);
        drop(crowds);
        self.check_memory_returns(GATEWAY, GATEWAY_MEMORY);
        self.check_memory_returns(CONTROL, CONTROL_MEMORY);
    }
}

#[test]
fn one_body_of_the_largest_size_is_served() {
    let attacked = Attacked::start();
    let headers = stand_in::caller_headers("largest", Millis(60_000));

    let body = vec![b'a'; MAX_BODY];
    let response = call(attacked.callers(), "POST", "/pay/largest", &headers, &body);

    assert_eq!(response.map(|it| it.status), Some(200));
    attacked.check_and_leave(Vec::new());
}

#[test]
fn whole_bodies_that_stop_short_of_their_end() {
    let attacked = Attacked::start();
    let sent = MAX_BODY - SHORT_OF_END;
    let stalled = Script::announced("POST", PATH, MAX_BODY, SHORT_OF_END, sent);
    let whole = Script::announced("POST", PATH, MAX_BODY, SHORT_OF_END, MAX_BODY);

    let crowd = attacked.attack("stalled", 6, &stalled);
    let others = attacked.attack("whole", 2, &whole);

    attacked.check_and_leave(vec![crowd, others]);
}

#[test]
fn what_gives_way_or_is_refused_is_counted() {
    let attacked = Attacked::start();
    let stalled = Script::announced("POST", PATH, MAX_BODY, SHORT_OF_END, SHORT_OF_END);

    let _refused = attacked.attack("refused", 3, &stalled);
    wait_for("a refusal", || {
        attacked
            .metric(GATEWAY, "daisypaddle_client_refusals_total{cause=\"memory\"}")
            .filter(|it| *it > 0)
    });
    wait_for("an eviction", || {
        let _next = attacked.attack("next", 1, &stalled);
        attacked
            .metric(GATEWAY, "daisypaddle_client_evictions_total{cause=\"stalled\"}")
            .filter(|it| *it > 0)
    });
}

#[test]
fn clients_that_send_or_read_nothing_for_long_are_cut_off_though_there_is_room() {
    let attacked =
        Attacked::start_with(|it| it.gateway_settings = "client_stall_s: 1\n".to_owned());
    let stalled = Script::announced("POST", PATH, 1_000, 100, 900);
    let not_read = Script::of_head("GET", "/look/{id}/size-15000000");

    let _crowds =
        [attacked.attack("stalled", 1, &stalled), attacked.attack("not-read", 1, &not_read)];

    wait_for("two clients that are cut off", || {
        attacked
            .metric(GATEWAY, "daisypaddle_client_evictions_total{cause=\"timeout\"}")
            .filter(|it| *it == 2)
    });
}

#[test]
fn an_announced_body_that_is_too_large_is_refused_by_its_head() {
    let attacked = Attacked::start();
    let head = Script::announced("POST", PATH, MAX_BODY + 1, 1, 0).head.replace("{id}", "large");
    let mut stream = TcpStream::connect(attacked.callers()).unwrap();
    stream.write_all(head.as_bytes()).unwrap();

    let response = receive(&mut stream).unwrap();

    assert_eq!(response.status, 413);
    assert!(response.closes_connection());
    let piece = vec![b'a'; SHORT_OF_END];
    wait_for("the end of the connection", || stream.write_all(&piece).is_err().then_some(()));
}

#[test]
fn a_body_that_does_not_arrive_in_its_callers_time_is_refused_and_does_not_run() {
    let attacked = Attacked::start();
    let mut stream = TcpStream::connect(attacked.callers()).unwrap();
    let mut head =
        "POST /pay/late HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 9\r\n".to_owned();
    for (name, value) in stand_in::caller_headers("late", Millis(300)) {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n12345678").as_bytes()).unwrap();

    let response = receive(&mut stream).unwrap();

    assert_eq!(response.status, 408);
    // The last byte comes too late.
    let _ = stream.write_all(b"9");
    attacked.wait_until_served(GATEWAY);
    for server in &attacked.servers {
        assert!(!server.runs.lock().unwrap().contains(&"late".to_owned()));
    }
}

#[test]
fn bodies_in_pieces_that_stop_short_of_their_end() {
    let attacked = Attacked::start();
    let size = 4 * MEBIBYTE;
    let stalled = Script::announced("POST", PATH, size, 1_000, size - SHORT_OF_END);

    let crowd = attacked.attack("pieces", 64, &stalled);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn many_small_bodies_that_stop_short_of_their_end() {
    let attacked = Attacked::start();
    let stalled = Script::announced("POST", PATH, 60_000, 1_000, 59_000);

    let crowds = (0..4).map(|i| attacked.attack(&format!("small-{i}"), 600, &stalled)).collect();

    attacked.check_and_leave(crowds);
}

#[test]
fn large_chunks_without_the_last_one() {
    let attacked = Attacked::start();
    let stalled = Script::chunked("POST", PATH, MEBIBYTE, MAX_BODY - MEBIBYTE);

    let crowd = attacked.attack("large-chunks", 6, &stalled);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn tiny_chunks_without_the_last_one() {
    let attacked = Attacked::start();
    let stalled = Script::chunked("POST", PATH, 1, MEBIBYTE);

    let crowd = attacked.attack("tiny-chunks", 16, &stalled);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn bodies_that_are_announced_as_too_large() {
    let attacked = Attacked::start();
    let script = Script::announced("POST", PATH, 16 * MAX_BODY, MEBIBYTE, 2 * MAX_BODY);

    let crowd = attacked.attack("announced", 6, &script);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn bodies_that_grow_too_large() {
    let attacked = Attacked::start();
    let script = Script::chunked("POST", PATH, MEBIBYTE, 2 * MAX_BODY);

    let crowd = attacked.attack("grown", 6, &script);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn heads_without_end() {
    let attacked = Attacked::start();
    let script = Script::endless_head("/look/head", 120 * 1024);

    let crowd = attacked.attack("heads", 1_500, &script);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn answers_that_are_not_read() {
    let attacked = Attacked::start();
    let script = Script::of_head("GET", "/look/{id}/size-15000000");

    let crowd = attacked.attack("not-read", 24, &script);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn small_answers_that_are_not_read() {
    let attacked = Attacked::start();
    let first = Script::of_head("GET", "/look/{id}/size-60000");
    // Many more requests follow on each connection.
    let piece = first.head.replace("{id}", "next").into_bytes();
    let script = Script { piece: piece.into(), pieces: 60, ..first };

    let crowd = attacked.attack("small-answers", 400, &script);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn bytes_that_follow_a_request_in_work() {
    let attacked = Attacked::start();
    let first = Script::of_head("GET", "/look/{id}/work-20000");
    let script = Script { piece: vec![b'a'; 64 * 1024].into(), pieces: 16, ..first };

    let crowd = attacked.attack("in-work", 500, &script);

    attacked.check_and_leave(vec![crowd]);
}

#[test]
fn requests_that_are_relayed() {
    let attacked = Attacked::start();
    for server in &attacked.servers {
        server.cuts.lock().unwrap().insert(attacked.fleet.ip(GATEWAY), Cut::Reset);
    }
    attacked.wait_until_served(GATEWAY);
    let size = 24 * MEBIBYTE;
    let whole = Script::announced("POST", PATH, size, SHORT_OF_END, size);
    let stalled = Script::announced("POST", PATH, size, SHORT_OF_END, size - SHORT_OF_END);

    let crowd = attacked.attack("relayed", 8, &whole);
    let others = attacked.attack("stalled", 8, &stalled);

    attacked.check_and_leave(vec![crowd, others]);
}

#[test]
fn connections_without_requests() {
    let attacked = Attacked::start_with(|it| it.descriptors = Some(FEW_DESCRIPTORS));
    let fleet = &attacked.fleet;
    let silent = Script { head: String::new(), ..Script::of_head("GET", "/") };
    let ports = [fleet.ports.callers, fleet.ports.readiness, fleet.ports.directory];

    let mut crowds: Vec<_> = ports
        .iter()
        .map(|it| Crowd::send("silent", fleet.address(GATEWAY, *it), 300, None, &silent))
        .collect();
    let requests = fleet.address(CONTROL, fleet.ports.requests);
    crowds.push(Crowd::send("silent", requests, 600, None, &silent));

    attacked.check(&mut crowds);
    wait_for("readiness", || fleet.is_ready(GATEWAY).then_some(()));
    wait_for("a directory", || (!fleet.directory(GATEWAY).is_empty()).then_some(()));
    for host in [CONTROL, GATEWAY] {
        let open = attacked.meter.most(fleet.ip(host)).descriptors;
        eprintln!("host {host} has had {open} open descriptors");
        assert!(open <= MAX_OPEN, "host {host} has had {open} open descriptors");
    }
}

#[test]
fn configurations_that_stop_short_of_their_end() {
    let attacked = Attacked::start();
    let requests = attacked.fleet.address(CONTROL, attacked.fleet.ports.requests);
    let stalled = MAX_CONFIG - SHORT_OF_END;
    let whole = Script::announced("POST", stand_in::PUT_CONFIG, MAX_CONFIG, SHORT_OF_END, stalled);
    let chunked = Script::chunked("POST", stand_in::PUT_CONFIG, 1, MEBIBYTE);

    let crowd = Crowd::send("whole", requests, 90, None, &whole);
    let others = Crowd::send("chunked", requests, 16, None, &chunked);

    attacked.fleet.put_config(2, "queue");
    attacked.check_and_leave(vec![crowd, others]);
}

#[test]
fn all_kinds_on_all_ports_on_reused_connections() {
    let attacked = Attacked::start();
    let (fleet, ports) = (&attacked.fleet, attacked.fleet.ports);
    let scripts = [
        Script::announced("POST", PATH, MAX_BODY, SHORT_OF_END, MAX_BODY - SHORT_OF_END),
        Script::announced("POST", PATH, 60_000, 1_000, 59_000),
        Script::chunked("POST", PATH, MEBIBYTE, MAX_BODY - MEBIBYTE),
        Script::chunked("POST", PATH, 1, MEBIBYTE / 4),
        Script::announced("POST", PATH, 16 * MAX_BODY, MEBIBYTE, 2 * MAX_BODY),
        Script::endless_head("/look/head", 120 * 1024),
        Script::of_head("GET", "/look/{id}/size-15000000"),
    ];
    let directory = stand_in::directory_path("north", "north-a");
    let targets = [
        (fleet.address(GATEWAY, ports.callers), "/look/first"),
        (fleet.address(GATEWAY, ports.readiness), stand_in::READINESS),
        (fleet.address(GATEWAY, ports.directory), &directory),
        (fleet.address(GATEWAY, ports.metrics), "/metrics"),
        (fleet.address(CONTROL, ports.requests), stand_in::READ_CONFIG),
        (fleet.address(CONTROL, ports.metrics), "/metrics"),
    ];

    let mut crowds = Vec::new();
    for (i, (address, ordinary)) in targets.into_iter().enumerate() {
        for (j, script) in scripts.iter().enumerate() {
            let name = format!("mixed-{i}-{j}");
            crowds.push(Crowd::send(&name, address, 6, Some(ordinary), script));
        }
    }

    wait_for("readiness", || fleet.is_ready(GATEWAY).then_some(()));
    attacked.check_and_leave(crowds);
}

#[test]
fn a_planned_stop_beside_stalled_clients() {
    let mut attacked = Attacked::start();
    let size = 8 * MEBIBYTE;
    let stalled = Script::announced("POST", PATH, size, SHORT_OF_END, size - SHORT_OF_END);
    let not_read = Script::of_head("GET", "/look/{id}/size-15000000");
    let requests = attacked.fleet.address(CONTROL, attacked.fleet.ports.requests);
    let config =
        Script::announced("POST", stand_in::PUT_CONFIG, MAX_CONFIG, SHORT_OF_END, MEBIBYTE);
    let _crowds = [
        attacked.attack("stalled", 16, &stalled),
        attacked.attack("not-read", 8, &not_read),
        attacked.attack("heads", 16, &Script::endless_head("/look/head", 60 * 1024)),
        Crowd::send("config", requests, 16, None, &config),
    ];

    for host in [GATEWAY, CONTROL] {
        attacked.fleet.signal(host, "-TERM");
        let status = wait_for("the end of a stop", || attacked.fleet.exit_status(host));
        assert!(status.success(), "host {host} ended with {status}");
    }
}
