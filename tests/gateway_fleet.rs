//! A gateway fleet of real processes on loopback addresses, from its first start to planned stops.

#![allow(clippy::print_stderr)]

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use gateway_core::{CallerLimits, GatewayConfig, Repeats, Route, RouteTarget, ServicePolicy};
use hyper::HeaderMap;
use ids::{ByteSize, ConfigVersion, Incarnation, Millis};
use platform::stand_in;
use schema::announcement::{Announcement, ServerState};
use tempfile::TempDir;

/// Ends a wait that would never end; no test depends on its length.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// Numbers fleets, so that each has loopback addresses of its own.
static NEXT_FLEET: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Copy)]
struct Ports {
    peer: u16,
    metrics: u16,
    requests: u16,
    callers: u16,
    readiness: u16,
    directory: u16,
}

struct Fleet {
    ports: Ports,
    folder: TempDir,
    network: u8,
    processes: BTreeMap<Ipv4Addr, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Fleet {
    /// Three control hosts and two gateways.
    fn start() -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let network = 20 + u8::try_from(number).unwrap();
        let ports = free_ports(network);
        let mut fleet = Self {
            ports,
            folder: tempfile::tempdir().unwrap(),
            network,
            processes: BTreeMap::new(),
        };
        for i in 1..=3 {
            fleet.start_control(i, true);
        }
        for i in 11..=12 {
            fleet.start_gateway(i);
        }
        fleet
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.network, host)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }

    fn seeds(&self) -> String {
        let seeds = (1..=3).map(|it| format!("  - {}\n", self.address(it, self.ports.requests)));
        seeds.collect()
    }

    fn start_control(&mut self, host: u8, bootstrap: bool) {
        let settings = format!(
            "ip: {}\nregion: north\ndata_centre: north-a\n\
             data_centres: [{{ name: north-a, region: north }}]\nseeds:\n{}peer_port: {}\n\
             metrics_port: {}\nrequest_address: {}\ndata_folder: {}\nbootstrap: {bootstrap}\n\
             lost_disks: 1\nannouncement_lifetime_ms: 1500\n",
            self.ip(host),
            self.seeds(),
            self.ports.peer,
            self.ports.metrics,
            self.address(host, self.ports.requests),
            self.folder.path().join(format!("data-{host}")).display(),
        );
        self.spawn("control", host, &settings);
    }

    fn start_gateway(&mut self, host: u8) {
        let settings = format!(
            "ip: {}\nregion: north\ndata_centre: north-a\n\
             data_centres: [{{ name: north-a, region: north }}]\nseeds:\n{}peer_port: {}\n\
             metrics_port: {}\ncaller_address: {}\nreadiness_address: {}\n\
             directory_address: {}\nstop_within_s: 6\ndirectory_keep_s: 1\n\
             retry_budget: {{ share: 0.2, slack: 58, window_s: 10 }}\n",
            self.ip(host),
            self.seeds(),
            self.ports.peer,
            self.ports.metrics,
            self.address(host, self.ports.callers),
            self.address(host, self.ports.readiness),
            self.address(host, self.ports.directory),
        );
        self.spawn("entry", host, &settings);
    }

    fn log_file(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("{host}.log"))
    }

    fn spawn(&mut self, role: &str, host: u8, settings: &str) {
        let path = self.folder.path().join(format!("{host}.yaml"));
        fs::write(&path, settings).unwrap();
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_file(host));
        let process = Command::new(env!("CARGO_BIN_EXE_daisypaddle-gateway"))
            .args([role, "--settings"])
            .arg(&path)
            .stdout(Stdio::from(log.unwrap()))
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.processes.insert(self.ip(host), process);
    }

    fn signal(&self, host: u8, name: &str) {
        let id = self.processes[&self.ip(host)].id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    fn kill(&mut self, host: u8) {
        let process = self.processes.get_mut(&self.ip(host)).unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Asks the control hosts in turn, following redirects, until one answers with 200.
    fn ask(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        wait_for(path, || {
            (1..=3).find_map(|host| {
                let mut address = self.address(host, self.ports.requests);
                for _ in 0..3 {
                    let answer = call(address, method, path, &[], body)?;
                    match answer.status {
                        200 => return Some(answer.body),
                        307 => address = answer.redirect()?,
                        _ => return None,
                    }
                }
                None
            })
        })
    }

    fn put(&self, version: u64, service: &str) {
        self.ask("POST", stand_in::PUT_CONFIG, &stand_in::config_body(&config(version, service)));
    }

    fn announce(&self, server: &Server, sequence: u64, state: ServerState) {
        let announcement = Announcement { sequence, state, ..server.announcement.clone() };
        let path = stand_in::announce_path(&announcement.server);
        self.ask("POST", &path, &stand_in::announcement_body(&announcement));
    }

    fn is_ready(&self, host: u8) -> bool {
        let address = self.address(host, self.ports.readiness);
        call(address, "GET", stand_in::READINESS, &[], b"").is_some_and(|it| it.status == 200)
    }

    fn wait_ready(&self) {
        wait_for("ready gateways", || (11..=12).all(|it| self.is_ready(it)).then_some(()));
    }

    fn request(&self, gateway: u8, id: &str, path: &str) -> Option<HttpAnswer> {
        let headers = stand_in::caller_headers(id, Millis(4_000));
        call(self.address(gateway, self.ports.callers), "GET", path, &headers, b"")
    }

    /// Waits until a gateway serves a path.
    fn wait_served(&self, gateway: u8, path: &str) {
        wait_for(path, || {
            self.request(gateway, "wait", path).filter(|it| it.status == 200).map(drop)
        });
    }

    /// Waits until a gateway has sent requests to each of these servers.
    fn wait_used(&self, gateway: u8, servers: &[Server]) {
        let id = format!("used-{gateway}");
        wait_for("work at each server", || {
            self.request(gateway, &id, "/look/1");
            servers.iter().all(|it| it.ran().contains(&id)).then_some(())
        });
    }

    fn directory(&self, gateway: u8) -> Vec<String> {
        let address = self.address(gateway, self.ports.directory);
        let path = stand_in::directory_path("north", "north-a");
        let answer = call(address, "GET", &path, &[], b"");
        answer.map(|it| stand_in::read_addresses(&it.body)).unwrap_or_default()
    }
}

/// Ports that are free on the fleet's addresses for TCP and UDP.
fn free_ports(network: u8) -> Ports {
    let held: Vec<(TcpListener, UdpSocket)> = (0..6)
        .map(|_| {
            loop {
                let tcp = TcpListener::bind((Ipv4Addr::new(127, 77, network, 1), 0)).unwrap();
                if let Ok(udp) = UdpSocket::bind(tcp.local_addr().unwrap()) {
                    break (tcp, udp);
                }
            }
        })
        .collect();
    let port = |i: usize| held[i].0.local_addr().unwrap().port();
    Ports {
        peer: port(0),
        metrics: port(1),
        requests: port(2),
        callers: port(3),
        readiness: port(4),
        directory: port(5),
    }
}

fn config(version: u64, service: &str) -> GatewayConfig {
    let policy = |name: &str| ServicePolicy {
        name: name.parse().unwrap(),
        max_connections: 300,
        probe_path: "/health".to_owned(),
    };
    let route = |name: &str, repeats| Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: format!("/{name}/"),
        repeats,
        targets: vec![RouteTarget { service: service.parse().unwrap(), weight: 1 }],
        time_limit: Millis(3_000),
        latency_aim: Millis(1_000),
        priority: 1,
        max_attempts: 2,
    };
    GatewayConfig {
        version: ConfigVersion(version),
        services: vec![policy("queue"), policy("other")],
        routes: vec![route("look", Repeats::Allowed), route("pay", Repeats::Forbidden)],
        caller_limits: CallerLimits {
            max_head: ByteSize(16_384),
            max_body: ByteSize(1_000_000),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
    }
}

/// A backend server of the platform.
struct Server {
    announcement: Announcement,
    /// Attempt ids in the order in which they ran.
    ran: Arc<Mutex<Vec<String>>>,
    /// Whether connections are closed once a request has run.
    breaks: Arc<AtomicBool>,
    /// Whether the server names itself by another id.
    is_other: Arc<AtomicBool>,
}

impl Server {
    fn start(number: u64, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let announcement = Announcement {
            server: format!("i-{number}").parse().unwrap(),
            service: service.parse().unwrap(),
            data_centre: "north-a".parse().unwrap(),
            address,
            incarnation: Incarnation(1_000 + number),
            lifetime_ms: Millis(1_500),
            sequence: 1,
            slots: 3,
            state: ServerState::Serving,
        };
        let server = Self {
            announcement,
            ran: Arc::default(),
            breaks: Arc::default(),
            is_other: Arc::default(),
        };
        let (ran, breaks, is_other) =
            (server.ran.clone(), server.breaks.clone(), server.is_other.clone());
        let name = server.announcement.server.to_string();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ran, breaks, is_other) = (ran.clone(), breaks.clone(), is_other.clone());
                let name = name.clone();
                thread::spawn(move || serve(stream, &name, &ran, &breaks, &is_other));
            }
        });
        server
    }

    fn ran(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }
}

/// Serves requests on one connection; paths that end with `slow` take two seconds.
fn serve(
    mut stream: TcpStream,
    name: &str,
    ran: &Mutex<Vec<String>>,
    breaks: &AtomicBool,
    is_other: &AtomicBool,
) {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf) {
        let attempt = stand_in::read_attempt(&header_map(&head));
        if is_other.load(Ordering::Relaxed) || attempt.target.as_deref() != Some(name) {
            let _ = stream.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        ran.lock().unwrap().push(attempt.attempt_id.clone());
        if breaks.load(Ordering::Relaxed) {
            return;
        }
        let target = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
        if target.ends_with("slow") {
            thread::sleep(Duration::from_secs(2));
        }
        let mut headers = HeaderMap::new();
        stand_in::sign_answer(&mut headers, &attempt.attempt_id);
        let body = format!("{name} {target}");
        let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in &headers {
            answer += &format!("{name}: {}\r\n", value.to_str().unwrap());
        }
        if stream.write_all(format!("{answer}\r\n{body}").as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a request or answer up to its body; `None` at the end of the connection.
fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = buf.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut chunk = [0; 4_096];
        let read = stream.read(&mut chunk).ok().filter(|it| *it > 0)?;
        buf.extend_from_slice(&chunk[..read]);
    }
}

fn header_map(head: &str) -> HeaderMap {
    let lines = head.lines().skip(1).filter_map(|it| it.split_once(':'));
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = hyper::header::HeaderName::from_bytes(name.trim().as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.trim().parse()) {
            headers.insert(name, value);
        }
    }
    headers
}

struct HttpAnswer {
    status: u16,
    head: String,
    body: Vec<u8>,
}

impl HttpAnswer {
    fn redirect(&self) -> Option<SocketAddr> {
        let headers = header_map(&self.head);
        let location = headers.get("location")?.to_str().ok()?;
        location.strip_prefix("http://")?.split('/').next()?.parse().ok()
    }
}

/// One call over a new connection; `None` when there is no whole answer.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Option<HttpAnswer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    send(&mut stream, method, path, headers, body)?;
    receive(&mut stream)
}

fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Option<()> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n").as_bytes()).ok()?;
    stream.write_all(body).ok()
}

fn receive(stream: &mut TcpStream) -> Option<HttpAnswer> {
    let mut buf = Vec::new();
    let head = read_head(stream, &mut buf)?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length =
        header_map(&head).get("content-length").and_then(|it| it.to_str().ok()?.parse().ok());
    let length: usize = length.unwrap_or(0);
    let mut body = buf;
    let missing = length.checked_sub(body.len())?;
    let mut rest = vec![0; missing];
    stream.read_exact(&mut rest).ok()?;
    body.extend(rest);
    Some(HttpAnswer { status, head, body })
}

fn wait_for<T>(what: &str, check: impl Fn() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(start.elapsed() < HANG_LIMIT, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A fleet that serves with one backend server.
fn serving_fleet() -> (Fleet, Server) {
    let fleet = Fleet::start();
    let server = Server::start(1, "queue");
    fleet.put(1, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_ready();
    fleet.wait_served(11, "/look/first");
    (fleet, server)
}

#[test]
fn a_fleet_serves_from_its_first_start_and_after_the_loss_of_its_leader() {
    let mut fleet = Fleet::start();
    let server = Server::start(1, "queue");
    fleet.put(3, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_ready();
    fleet.wait_served(11, "/look/first");
    fleet.wait_served(12, "/look/first");

    let answer = fleet.request(12, "a1", "/pay/1").unwrap();
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"i-1 /pay/1".as_slice()));
    assert!(stand_in::is_signed(&answer.head));
    assert_eq!(fleet.request(11, "a2", "/none/1").unwrap().status, 404);

    fleet.kill(1);
    fleet.put(9, "other");
    let read = fleet.ask("GET", stand_in::READ_CONFIG, b"");
    assert_eq!(read, stand_in::config_body(&config(9, "other")));
    wait_for("the new configuration", || {
        let statuses = [11, 12].map(|it| fleet.request(it, "a3", "/look/1").map(|it| it.status));
        (statuses == [Some(503), Some(503)]).then_some(())
    });
    fleet.start_control(1, false);
    fleet.put(10, "queue");
    fleet.wait_served(11, "/look/again");
}

#[test]
fn a_request_that_must_not_repeat_runs_once_and_is_not_called_not_run() {
    let fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_ready();
    fleet.wait_used(11, &servers);
    servers.iter().for_each(|it| it.breaks.store(true, Ordering::Relaxed));

    let payment = fleet.request(11, "payment", "/pay/1").unwrap();
    let look = fleet.request(11, "look", "/look/1").unwrap();

    let runs = |id: &str| servers.iter().flat_map(Server::ran).filter(|it| it == id).count();
    assert_eq!((payment.status, runs("payment")), (502, 1));
    assert_eq!((look.status, runs("look")), (502, 2));
}

#[test]
fn an_acknowledged_drain_and_a_reused_address_end_new_work() {
    let fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_ready();
    fleet.wait_used(11, &servers);
    fleet.wait_used(12, &servers);

    fleet.announce(&servers[0], 2, ServerState::Draining);
    // The bound on the spread of a drain is 2.5 s.
    thread::sleep(Duration::from_millis(2_500));
    let before = servers[0].ran().len();
    for i in 0..20 {
        let answer = fleet.request(11 + i % 2, &format!("d{i}"), "/look/1").unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(servers[0].ran().len(), before);

    servers[1].is_other.store(true, Ordering::Relaxed);
    let refused = fleet.request(11, "moved", "/pay/1").unwrap();
    assert_eq!(refused.status, 503);
    assert!(!servers.iter().flat_map(Server::ran).any(|it| it == "moved"));
}

#[test]
fn a_planned_stop_cuts_off_nothing() {
    let (mut fleet, _server) = serving_fleet();
    let listed = fleet.address(11, fleet.ports.callers).to_string();
    wait_for("both addresses", || {
        let all = [11, 12].map(|it| fleet.directory(it).contains(&listed));
        (all == [true, true]).then_some(())
    });
    let address = fleet.address(11, fleet.ports.callers);
    let headers = stand_in::caller_headers("kept", Millis(4_000));
    let mut kept = TcpStream::connect(address).unwrap();
    let mut slow = TcpStream::connect(address).unwrap();
    send(&mut kept, "GET", "/look/1", &headers, b"").unwrap();
    assert_eq!(receive(&mut kept).unwrap().status, 200);

    send(&mut slow, "GET", "/look/slow", &headers, b"").unwrap();
    fleet.signal(11, "-TERM");
    wait_for("a gateway that is not ready", || (!fleet.is_ready(11)).then_some(()));

    send(&mut kept, "GET", "/look/2", &headers, b"").unwrap();
    let answer = receive(&mut kept).expect("the open connection still serves");
    assert_eq!(answer.status, 200);
    assert!(answer.head.to_ascii_lowercase().contains("connection: close"));
    assert_eq!(receive(&mut slow).expect("the request in flight ends").status, 200);
    wait_for("the other directory", || (!fleet.directory(12).contains(&listed)).then_some(()));
    let process = fleet.processes.get_mut(&Ipv4Addr::new(127, 77, fleet.network, 11)).unwrap();
    let start = Instant::now();
    let status = loop {
        if let Some(status) = process.try_wait().unwrap() {
            break status;
        }
        assert!(start.elapsed() < HANG_LIMIT, "the process does not end");
        thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success());
}

#[test]
fn a_settings_change_cuts_off_nothing_and_is_logged() {
    let (fleet, _server) = serving_fleet();
    let headers = stand_in::caller_headers("hup", Millis(4_000));
    let mut slow = TcpStream::connect(fleet.address(11, fleet.ports.callers)).unwrap();
    send(&mut slow, "GET", "/look/slow", &headers, b"").unwrap();

    fleet.signal(11, "-HUP");
    fleet.signal(1, "-HUP");

    assert_eq!(receive(&mut slow).unwrap().status, 200);
    for host in [11, 1] {
        wait_for("the log line", || {
            let log = fs::read_to_string(fleet.log_file(host)).unwrap();
            log.contains("settings reloaded").then_some(())
        });
    }
}

#[test]
fn a_failed_request_is_found_in_the_log_by_its_id() {
    let (fleet, server) = serving_fleet();
    server.breaks.store(true, Ordering::Relaxed);

    fleet.request(11, "lost-payment", "/pay/1").unwrap();
    fleet.request(11, "no-route", "/none/1").unwrap();
    server.is_other.store(true, Ordering::Relaxed);
    fleet.request(11, "moved-payment", "/pay/2").unwrap();

    let line = |id: &str| {
        wait_for(id, || {
            let log = fs::read_to_string(fleet.log_file(11)).unwrap();
            log.lines().find(|it| it.contains(&format!("\"{id}\""))).map(str::to_owned)
        })
    };
    let lost: serde_json::Value = serde_json::from_str(&line("lost-payment")).unwrap();
    assert_eq!(lost["outcome"], "no-answer");
    assert_eq!(lost["run"], "may-have-run");
    assert_eq!(lost["attempts"], "i-1:lost");
    assert_eq!(lost["version"], 1);
    let unknown: serde_json::Value = serde_json::from_str(&line("no-route")).unwrap();
    assert_eq!(unknown["reason"], "unknown-route");
    let not_run: serde_json::Value = serde_json::from_str(&line("moved-payment")).unwrap();
    assert_eq!(not_run["run"], "not-run");
    assert_eq!(not_run["attempts"], "i-1:misplaced");
    let metrics = call(fleet.address(11, fleet.ports.metrics), "GET", "/metrics", &[], b"");
    let metrics = String::from_utf8(metrics.unwrap().body).unwrap();
    assert!(metrics.contains(r#"daisypaddle_attempts_total{end="lost"} 1"#), "{metrics}");
}
