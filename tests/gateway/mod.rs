//! Test harness: a gateway fleet of real processes on loopback addresses.

#![allow(dead_code, unused_imports, clippy::print_stderr)]

pub mod callers;
pub mod crashing;
pub mod crowds;
mod http;
mod processes;
mod server;

use std::{
    collections::BTreeMap,
    env, fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use gateway_core::{
    ApiKey, CallerLimits, GatewayConfig, Idempotency, Organisation, Route, RouteTarget,
    ServicePolicy,
};
use ids::{ByteSize, ConfigVersion, Millis};
use platform::stand_in;
use schema::announcement::{Announcement, ServerState};
use tempfile::TempDir;

use self::processes::{Watch, check_processes};

pub use self::{
    http::{HttpResponse, call, receive, send},
    server::{Cut, KEY, LateCopy, Pour, SeenCaller, Server},
};

/// Longest wait for a condition; it only ends tests that hang, and no check depends on its length.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Highest number of a host.
const MAX_HOST: u8 = 253;

/// Port that a fleet listens on at the last address of its subnet.
const SUBNET_LOCK_PORT: u16 = 9_999;

/// Number of the next fleet of this process, from which its loopback addresses are derived.
static NEXT_FLEET: AtomicU64 = AtomicU64::new(0);

/// The ports of all hosts, each on its own address. The kernel gives outgoing connections higher
/// ones, and none is bound to try whether it is free: a process that is being started by another
/// thread holds copies of this process's sockets for a moment.
const PORTS: Ports = Ports {
    peer: 9_981,
    metrics: 9_982,
    requests: 9_983,
    callers: 9_984,
    readiness: 9_985,
    directory: 9_986,
};

/// The ports that all hosts of a fleet use, each host on its own address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub peer: u16,
    pub metrics: u16,
    /// Where control hosts accept requests of operators and backend servers.
    pub requests: u16,
    pub callers: u16,
    pub readiness: u16,
    pub directory: u16,
}

/// A running fleet, whose processes are killed when it is dropped.
pub struct Fleet {
    pub ports: Ports,
    pub folder: TempDir,
    /// Third byte of the addresses `127.77.SUBNET.HOST`.
    pub subnet: u8,
    pub processes: BTreeMap<Ipv4Addr, Child>,
    /// Binaries of the hosts that run another build than the one under test.
    pub other_builds: BTreeMap<u8, PathBuf>,
    /// Limit on the open descriptors of each process that is started.
    pub descriptors: Option<usize>,
    /// Lines that are added to the settings of each gateway.
    pub gateway_settings: String,
    watch: Watch,
    /// Keeps other test processes from using the subnet.
    _subnet_lock: TcpListener,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let ended = self.watch.find_ended();
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        if thread::panicking() {
            self.watch.print_logs();
        } else if let Some(message) = ended {
            panic!("{message}");
        }
    }
}

impl Fleet {
    /// Starts three control hosts and two gateways.
    pub fn start() -> Self {
        Self::start_with(2)
    }

    /// Starts the control hosts 1 to 3, and gateways from host 11 on.
    pub fn start_with(gateways: u8) -> Self {
        let mut fleet = Self::without_hosts();
        fleet.start_hosts(gateways);
        fleet
    }

    /// Starts the control hosts 1 to 3, and gateways from host 11 on.
    pub fn start_hosts(&mut self, gateways: u8) {
        for i in 1..=3 {
            self.start_control(i, true);
        }
        for i in 0..gateways {
            self.start_gateway(11 + i);
        }
    }

    /// Prepares a fleet whose hosts the test starts.
    pub fn without_hosts() -> Self {
        let (subnet, subnet_lock) = lock_subnet();
        Self {
            ports: PORTS,
            folder: tempfile::tempdir().unwrap(),
            subnet,
            processes: BTreeMap::new(),
            other_builds: BTreeMap::new(),
            descriptors: None,
            gateway_settings: String::new(),
            watch: Watch::start(),
            _subnet_lock: subnet_lock,
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.subnet, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }

    pub fn seeds(&self) -> String {
        let seeds = (1..=3).map(|it| format!("  - {}\n", self.address(it, self.ports.requests)));
        seeds.collect()
    }

    pub fn start_control(&mut self, host: u8, bootstrap: bool) {
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

    pub fn start_gateway(&mut self, host: u8) {
        let settings = format!(
            "ip: {}\nregion: north\ndata_centre: north-a\n\
             data_centres: [{{ name: north-a, region: north }}]\nseeds:\n{}peer_port: {}\n\
             metrics_port: {}\ncaller_address: {}\nreadiness_address: {}\n\
             directory_address: {}\nstop_within_s: 6\ndirectory_keep_s: 1\n\
             retry_budget: {{ share: 0.2, slack: 58, window_s: 10 }}\n{}",
            self.ip(host),
            self.seeds(),
            self.ports.peer,
            self.ports.metrics,
            self.address(host, self.ports.callers),
            self.address(host, self.ports.readiness),
            self.address(host, self.ports.directory),
            self.gateway_settings,
        );
        self.spawn("entry", host, &settings);
    }

    pub fn log_file(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("{host}.log"))
    }

    pub fn spawn(&mut self, role: &str, host: u8, settings: &str) {
        let path = self.folder.path().join(format!("{host}.yaml"));
        fs::write(&path, settings).unwrap();
        let log =
            fs::OpenOptions::new().create(true).append(true).open(self.log_file(host)).unwrap();
        let binary = self.other_builds.get(&host).cloned().unwrap_or_else(gateway_binary);
        let process = command_of(&binary, self.descriptors)
            .args([role, "--settings"])
            .arg(&path)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        self.watch.add(self.ip(host), process.id(), self.log_file(host));
        self.processes.insert(self.ip(host), process);
    }

    /// Returns the most memory that a process has used, in kilobytes.
    pub fn peak_memory(&self, host: u8) -> u64 {
        let id = self.processes[&self.ip(host)].id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    pub fn signal(&self, host: u8, name: &str) {
        let id = self.processes[&self.ip(host)].id().to_string();
        if !["-STOP", "-CONT", "-HUP"].contains(&name) {
            self.watch.expect_end(self.ip(host));
        }
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    pub fn kill(&mut self, host: u8) {
        self.watch.expect_end(self.ip(host));
        let process = self.processes.get_mut(&self.ip(host)).unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }

    pub fn is_running(&mut self, host: u8) -> bool {
        self.exit_status(host).is_none()
    }

    /// Calls the control hosts in turn, following redirects, until one responds with 200.
    pub fn call_control(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let hosts = self.control_addresses();
        wait_for(path, || call_any(&hosts, method, path, body))
    }

    pub fn control_addresses(&self) -> [SocketAddr; 3] {
        [1, 2, 3].map(|it| self.address(it, self.ports.requests))
    }

    /// Returns a message on a process that has ended on its own, once.
    pub fn take_ended(&self) -> Option<String> {
        self.watch.take_ended()
    }

    pub fn put_config(&self, version: u64, service: &str) {
        self.put(&config(version, service));
    }

    pub fn put(&self, config: &GatewayConfig) {
        self.call_control("POST", stand_in::PUT_CONFIG, &stand_in::config_body(config));
    }

    pub fn announce(&self, server: &Server, sequence: u64, state: ServerState) {
        let announcement = Announcement { sequence, state, ..server.announcement.clone() };
        let path = stand_in::announce_path(&announcement.server);
        self.call_control("POST", &path, &stand_in::announcement_body(&announcement));
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let address = self.address(host, self.ports.readiness);
        call(address, "GET", stand_in::READINESS, &[], b"").is_some_and(|it| it.status == 200)
    }

    pub fn wait_until_ready(&self) {
        wait_for("ready gateways", || (11..=12).all(|it| self.is_ready(it)).then_some(()));
    }

    pub fn request(&self, gateway: u8, id: &str, path: &str) -> Option<HttpResponse> {
        let headers = stand_in::caller_headers(id, Millis(4_000));
        call(self.address(gateway, self.ports.callers), "GET", path, &headers, b"")
    }

    /// Waits until a gateway responds with 200 to a path.
    pub fn wait_until_served(&self, gateway: u8, path: &str) {
        wait_for(path, || {
            self.request(gateway, "wait", path).filter(|it| it.status == 200).map(drop)
        });
    }

    /// Waits until a gateway has sent requests to each of these servers.
    pub fn wait_until_used(&self, gateway: u8, servers: &[Server]) {
        let id = format!("used-{gateway}");
        wait_for("a request at each server", || {
            self.request(gateway, &id, "/look/1");
            servers.iter().all(|it| it.attempt_ids().contains(&id)).then_some(())
        });
    }

    /// Returns the addresses that the directory of a gateway lists.
    pub fn directory(&self, gateway: u8) -> Vec<String> {
        let address = self.address(gateway, self.ports.directory);
        let path = stand_in::directory_path("north", "north-a");
        let response = call(address, "GET", &path, &[], b"");
        response.map(|it| stand_in::read_addresses(&it.body)).unwrap_or_default()
    }
}

/// Calls control hosts once in turn, following redirects; returns the body of the first 200.
pub fn call_any(hosts: &[SocketAddr], method: &str, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    hosts.iter().find_map(|host| {
        let mut address = *host;
        for _ in 0..3 {
            let response = call(address, method, path, &[], body)?;
            match response.status {
                200 => return Some(response.body),
                307 => address = response.redirect_address()?,
                _ => return None,
            }
        }
        None
    })
}

/// Returns the path of the gateway binary: examples, for which Cargo sets no variable, find it in
/// the parent of their own folder.
fn gateway_binary() -> PathBuf {
    if let Some(path) = option_env!("CARGO_BIN_EXE_daisypaddle-gateway") {
        return path.into();
    }
    let current_exe = env::current_exe().unwrap();
    current_exe.ancestors().nth(2).unwrap().join("daisypaddle-gateway")
}

/// Returns the command that starts a program, with a limit on its open descriptors.
fn command_of(binary: &Path, descriptors: Option<usize>) -> Command {
    let Some(descriptors) = descriptors else { return Command::new(binary) };
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"")]).arg(binary);
    command
}

/// Chooses a subnet that no other fleet uses.
fn lock_subnet() -> (u8, TcpListener) {
    loop {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let subnet = 20 + u8::try_from((u64::from(process::id()) + number) % 200).unwrap();
        let address = (Ipv4Addr::new(127, 77, subnet, 254), SUBNET_LOCK_PORT);
        if let Ok(listener) = TcpListener::bind(address)
            && !has_running_hosts(subnet)
        {
            return (subnet, listener);
        }
    }
}

/// Returns whether hosts of a test process that was killed still run.
fn has_running_hosts(subnet: u8) -> bool {
    let is_running = |host: u8| {
        let address = (Ipv4Addr::new(127, 77, subnet, host), PORTS.metrics);
        TcpStream::connect(address).is_ok()
    };
    (1..=MAX_HOST).any(is_running)
}

/// Returns a configuration in which `service` serves the routes `look` (idempotent) and `pay`
/// (non-idempotent).
pub fn config(version: u64, service: &str) -> GatewayConfig {
    let policy = |name: &str| ServicePolicy {
        name: name.parse().unwrap(),
        max_connections: 300,
        probe_path: "/health".to_owned(),
    };
    let route = |name: &str, idempotency| Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: format!("/{name}/"),
        idempotency,
        targets: vec![RouteTarget { service: service.parse().unwrap(), weight: 1 }],
        time_limit: Millis(3_000),
        target_latency: Millis(1_000),
        priority: 1,
        max_attempts: 2,
        is_public: false,
    };
    GatewayConfig {
        version: ConfigVersion(version),
        services: vec![policy("queue"), policy("other")],
        routes: vec![
            route("look", Idempotency::Idempotent),
            route("pay", Idempotency::NonIdempotent),
        ],
        caller_limits: CallerLimits {
            max_head: ByteSize(16_384),
            max_body: ByteSize(1_000_000),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
        organisations: None,
    }
}

/// Adds an organisation with keys, and the public route `info`, to a configuration.
pub fn with_keys(mut config: GatewayConfig, name: &str, keys: &[String]) -> GatewayConfig {
    let keys = keys.iter().map(|it| ApiKey::new(it.as_bytes())).collect();
    let organisation =
        Organisation { name: name.parse().unwrap(), keys, priority: None, limit: None };
    if config.organisations.is_none() {
        let [name, path_prefix] = ["info".to_owned(), "/info/".to_owned()];
        config.routes.push(Route {
            name,
            path_prefix,
            is_public: true,
            ..config.routes[0].clone()
        });
    }
    config.organisations.get_or_insert_default().push(organisation);
    config
}

/// Polls `check` until it returns a value; panics after [`WAIT_TIMEOUT`], and when a process of a
/// fleet of this thread has ended on its own.
pub fn wait_for<T>(expected: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        check_processes();
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {expected}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a fleet with one backend server and waits until it serves.
pub fn serving_fleet() -> (Fleet, Server) {
    let fleet = Fleet::start();
    let server = Server::start(1, "queue");
    fleet.put_config(1, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_until_ready();
    fleet.wait_until_served(11, "/look/first");
    (fleet, server)
}
