//! Starts the project's programs on loopback addresses, with settings like those of a small
//! deployment, and speaks to them as operators, backend servers and callers do.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use gateway_core::{
    CallerLimits, GatewayConfig, Idempotency, Organisation, Route, RouteTarget, ServicePolicy,
};
use ids::{ByteSize, ConfigVersion, Millis, ServiceName};
use platform::stand_in;

pub const PEER_PORT: u16 = 9_971;
pub const METRICS_PORT: u16 = 9_972;
pub const CONTROL_PORT: u16 = 9_973;
pub const FRONT_PORT: u16 = 9_974;
pub const READINESS_PORT: u16 = 9_975;
pub const DIRECTORY_PORT: u16 = 9_976;
pub const SERVER_PORT: u16 = 9_977;

/// Data centres and their regions.
pub const ZONES: [(&str, &str); 6] = [
    ("rvk-a", "reykjavik"),
    ("rvk-b", "reykjavik"),
    ("aku-a", "akureyri"),
    ("aku-b", "akureyri"),
    ("egs-a", "egilsstadir"),
    ("egs-b", "egilsstadir"),
];

/// What happened, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    /// Opens `record.txt` in the folder of the case.
    pub fn open() -> Self {
        let folder = env::var("CASE_FOLDER").unwrap_or_else(|_| ".".to_owned());
        let file = fs::File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|e| cannot_run(&format!("no record: {e}")));
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Ends a case that can't run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    std::process::exit(2);
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// A fleet, whose processes are killed when it is dropped.
pub struct Fleet {
    pub subnet: u8,
    pub folder: PathBuf,
    pub controls: u8,
    pub lost_disks: u8,
    /// The control hosts that settings name from now on.
    pub seeds: [u8; 3],
    pub processes: BTreeMap<u8, Child>,
    /// Number of the data folder of each control host.
    disks: BTreeMap<u8, u32>,
    _lock: TcpListener,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Prepares a fleet with control hosts from host 1 on.
    pub fn new(controls: u8, lost_disks: u8) -> Self {
        let first = (std::process::id() % 200) as u8 + 20;
        let free = (0..200u8).find_map(|i| {
            let subnet = first.wrapping_add(i).max(20);
            let lock = TcpListener::bind((Ipv4Addr::new(127, 88, subnet, 254), 9_970)).ok()?;
            Some((subnet, lock))
        });
        let Some((subnet, lock)) = free else { cannot_run("no free addresses") };
        let name = format!("daisypaddle-review-{}", std::process::id());
        let folder = env::temp_dir().join(name);
        if let Err(e) = fs::create_dir_all(&folder) {
            cannot_run(&format!("no folder: {e}"));
        }
        let (processes, disks) = (BTreeMap::new(), BTreeMap::new());
        let seeds = [1, 2, 3];
        Self { subnet, folder, controls, lost_disks, seeds, processes, disks, _lock: lock }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 88, self.subnet, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.controls).map(|it| self.address(it, CONTROL_PORT)).collect()
    }

    fn common_settings(&self, host: u8, zone: usize) -> String {
        let (zone, region) = ZONES[zone % ZONES.len()];
        let zones: String = ZONES
            .iter()
            .map(|(name, region)| format!("  - {{ name: \"{name}\", region: \"{region}\" }}\n"))
            .collect();
        let seeds: Vec<String> =
            self.seeds.map(|it| format!("\"{}\"", self.address(it, CONTROL_PORT))).into();
        format!(
            "ip: {}\nregion: {region}\ndata_centre: {zone}\ndata_centres:\n{zones}seeds: [{}]\n\
             peer_port: {PEER_PORT}\nmetrics_port: {METRICS_PORT}\n",
            self.ip(host),
            seeds.join(",")
        )
    }

    /// Starts a control host on its present disk.
    pub fn start_control(&mut self, host: u8, bootstrap: bool) {
        let disk = *self.disks.entry(host).or_insert(1);
        let settings = format!(
            "{}request_address: {}\ndata_folder: {}\nbootstrap: {bootstrap}\nlost_disks: {}\n\
             announcement_lifetime_ms: 1500\nmemory_mb: 256\nmax_descriptors: 4096\n",
            self.common_settings(host, usize::from(host) - 1),
            self.address(host, CONTROL_PORT),
            self.folder.join(format!("disk-{host}-{disk}")).display(),
            self.lost_disks,
        );
        self.spawn("control", host, &settings);
    }

    /// Gives a control host an empty disk for its next start.
    pub fn replace_disk(&mut self, host: u8) {
        *self.disks.entry(host).or_insert(1) += 1;
    }

    /// Starts a gateway.
    pub fn start_gateway(&mut self, host: u8) {
        let settings = format!(
            "{}caller_address: {}\nreadiness_address: {}\ndirectory_address: {}\n\
             stop_within_s: 6\ndirectory_keep_s: 1\nmemory_mb: 260\nmax_descriptors: 4100\n\
             retry_budget:\n  share: 0.2\n  slack: 58\n  window_s: 10\n",
            self.common_settings(host, usize::from(host)),
            self.address(host, FRONT_PORT),
            self.address(host, READINESS_PORT),
            self.address(host, DIRECTORY_PORT),
        );
        self.spawn("entry", host, &settings);
    }

    fn spawn(&mut self, role: &str, host: u8, settings: &str) {
        let path = self.folder.join(format!("{host}.yaml"));
        let log = self.folder.join(format!("{host}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|e| cannot_run(&format!("no log: {e}")));
        if let Err(e) = fs::write(&path, settings) {
            cannot_run(&format!("no settings: {e}"));
        }
        let process = Command::new("target/release/daisypaddle-gateway")
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let process = process.unwrap_or_else(|e| cannot_run(&format!("no process: {e}")));
        self.processes.insert(host, process);
    }

    /// Sends SIGKILL to a process and waits for its end.
    pub fn kill(&mut self, host: u8) {
        if let Some(process) = self.processes.get_mut(&host) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal, such as `-STOP`, to a process of this fleet.
    pub fn signal(&self, host: u8, name: &str) {
        if let Some(process) = self.processes.get(&host) {
            let _ = Command::new("kill").args([name, &process.id().to_string()]).status();
        }
    }

    /// Returns the hosts whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<u8> {
        let ended = self
            .processes
            .iter_mut()
            .filter_map(|(host, process)| process.try_wait().ok().flatten().map(|_| *host));
        ended.collect()
    }

    /// Waits for a control host of this list that leads.
    pub fn wait_for_leader(&self, hosts: &[u8], limit: Duration) -> Option<u8> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let leads = |it: &&u8| self.metric(**it, "daisypaddle_control_leads") == Some(1.0);
            if let Some(leader) = hosts.iter().find(leads) {
                return Some(*leader);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns a gauge of a control host.
    pub fn metric(&self, host: u8, name: &str) -> Option<f64> {
        let address = self.address(host, METRICS_PORT);
        let answer = call(address, "GET", "/metrics", &[], b"", Duration::from_millis(500)).ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = text.lines().find(|it| it.starts_with(&format!("{name} ")))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().skip(1).filter_map(|it| it.split_once(':'));
    let mut found = lines.filter(|(it, _)| it.trim().eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let connect_limit = limit.min(Duration::from_secs(1));
    let stream = TcpStream::connect_timeout(&address, connect_limit);
    let mut stream = stream.map_err(|e| format!("connect: {e}"))?;
    let _ = stream.set_nodelay(true);
    send(&mut stream, method, path, headers, body).map_err(|e| format!("send: {e}"))?;
    receive(&mut stream, Instant::now() + limit)
}

pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += "Host: shop.example\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads a response with a length.
pub fn receive(stream: &mut TcpStream, until: Instant) -> Result<Answer, String> {
    let mut buf = Vec::new();
    loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let status = head.split_whitespace().nth(1).and_then(|it| it.parse().ok());
            let status: u16 = status.ok_or("no status")?;
            let length = header(&head, "content-length").and_then(|it| it.parse().ok());
            let length: usize = length.unwrap_or(0);
            let mut body = buf[end + 4..].to_vec();
            while body.len() < length {
                read_some(stream, &mut body, until)?;
            }
            return Ok(Answer { status, head, body });
        }
        read_some(stream, &mut buf, until)?;
    }
}

fn read_some(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Result<(), String> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err("no response in time".to_owned());
    }
    stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
    let mut chunk = [0; 16_384];
    match stream.read(&mut chunk) {
        Ok(0) => Err("connection closed".to_owned()),
        Ok(n) => {
            buf.extend_from_slice(&chunk[..n]);
            Ok(())
        }
        Err(e) => Err(format!("read: {e}")),
    }
}

/// Calls a control host as the platform does: follows a 307 twice.
pub fn call_control(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Answer, String> {
    let mut address = address;
    let mut redirects = 0;
    loop {
        let answer = call(address, method, path, &[], body, Duration::from_secs(1))?;
        let location = answer.header("location").filter(|_| answer.status == 307);
        let next = location.and_then(|it| {
            it.strip_prefix("http://")?.split('/').next()?.parse::<SocketAddr>().ok()
        });
        match next {
            Some(next) if redirects < 2 => {
                redirects += 1;
                address = next;
            }
            _ => return Ok(answer),
        }
    }
}

/// Returns a configuration with one route to one service.
pub fn config(version: u64) -> Vec<u8> {
    config_with(version, Idempotency::NonIdempotent, None)
}

/// Returns a configuration with one route of this kind, and with these organisations.
pub fn config_with(
    version: u64,
    idempotency: Idempotency,
    organisations: Option<Vec<Organisation>>,
) -> Vec<u8> {
    let service: ServiceName = "depositsvc".parse().expect("a valid name");
    let route = Route {
        name: "r-pay".to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/pay/".to_owned(),
        idempotency,
        targets: vec![RouteTarget { service: service.clone(), weight: 1 }],
        time_limit: Millis(4_000),
        target_latency: Millis(1_000),
        priority: 1,
        max_attempts: 2,
        is_public: false,
    };
    stand_in::config_body(&GatewayConfig {
        version: ConfigVersion(version),
        services: vec![ServicePolicy {
            name: service,
            max_connections: 330,
            probe_path: "/healthz".to_owned(),
        }],
        routes: vec![route],
        caller_limits: CallerLimits {
            max_head: ByteSize(16_384),
            max_body: ByteSize(67_108_864),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
        organisations,
    })
}

/// Returns the version in a configuration that was read back.
pub fn version_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let rest = text.split("\"version\":").nth(1)?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Sends a configuration as the operator does, to one control host after the other with growing
/// pauses, until it is acknowledged; returns the host that was asked, or `None` after `limit`.
pub fn put(
    record: &Record,
    fleet: &Fleet,
    hosts: &[u8],
    version: u64,
    limit: Duration,
) -> Option<u8> {
    put_text(record, fleet, hosts, &config(version), limit)
}

/// Sends this text of a configuration as [`put`] does.
pub fn put_text(
    record: &Record,
    fleet: &Fleet,
    hosts: &[u8],
    text: &[u8],
    limit: Duration,
) -> Option<u8> {
    let version = version_of(text).unwrap_or_default();
    let until = Instant::now() + limit;
    let mut pause = Duration::from_millis(50);
    for host in hosts.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let address = fleet.address(*host, CONTROL_PORT);
        let answer = call_control(address, "POST", stand_in::PUT_CONFIG, text);
        let status = answer.as_ref().map(|it| it.status);
        record.line(format!("version {version} sent to {host}: {status:?}"));
        if status == Ok(200) {
            return Some(*host);
        }
        std::thread::sleep(pause);
        pause = pause.mul_f64(1.1).min(Duration::from_millis(500));
    }
    None
}

/// Reads the configuration back from all control hosts in turn; returns its version.
pub fn read_back(record: &Record, fleet: &Fleet, hosts: &[u8], limit: Duration) -> Option<u64> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        for host in hosts {
            let address = fleet.address(*host, CONTROL_PORT);
            let answer = call_control(address, "GET", stand_in::READ_CONFIG, b"");
            let status = answer.as_ref().map(|it| it.status);
            record.line(format!("read from {host}: {status:?}"));
            if let Some(answer) = answer.ok().filter(|it| it.status == 200) {
                return version_of(&answer.body);
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    None
}

/// Records what the control hosts say of the replicated log.
pub fn record_members(record: &Record, fleet: &Fleet, hosts: &[u8]) {
    for host in hosts {
        let gauge = |name: &str| fleet.metric(*host, name).unwrap_or(-1.0);
        record.line(format!(
            "{host}: leads {}, current {}, term {}, voters {}, learners {}",
            gauge("daisypaddle_control_leads"),
            gauge("daisypaddle_control_current"),
            gauge("daisypaddle_control_term"),
            gauge("daisypaddle_control_voters"),
            gauge("daisypaddle_control_learners"),
        ));
    }
}

/// Ends a case: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &Record, fleet: Fleet, broken: Option<&str>) -> ! {
    drop(fleet);
    match broken {
        Some(what) => record.line(format!("BROKEN: {what}")),
        None => record.line("HELD"),
    }
    std::process::exit(i32::from(broken.is_some()))
}
