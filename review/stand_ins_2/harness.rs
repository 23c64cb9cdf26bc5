//! Stand-ins for the platform, callers, operators and backend servers, for the scripts of this
//! review. They use the standard library only.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    env,
    fmt::{Display, Write as _},
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const REGION: &str = "north";
pub const ZONE: &str = "north-a";

/// Interval at which upstreams announce themselves.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Ports of all hosts, each on its own address, below the range of outgoing connections.
const PEER_PORT: u16 = 21_701;
const METRICS_PORT: u16 = 21_702;
const CONTROL_PORT: u16 = 21_703;
const CALLER_PORT: u16 = 21_704;
const READINESS_PORT: u16 = 21_705;
const DIRECTORY_PORT: u16 = 21_706;
const LOCK_PORT: u16 = 21_709;

/// Number of the first gateway; control hosts are numbered from 1.
pub const FIRST_GATEWAY: u8 = 11;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Processes that this script has started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script because the case could not run.
pub fn cannot_run(message: &str) -> ! {
    eprintln!("cannot run: {message}");
    for id in lock(&STARTED).iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    process::exit(2)
}

/// Writes the ids of the running processes to the file that the script names, which ends them if this
/// program is interrupted.
fn list_started() {
    if let Some(path) = env::args().nth(2) {
        let ids: Vec<_> = lock(&STARTED).iter().map(u32::to_string).collect();
        let _ = fs::write(path, ids.join("\n") + "\n");
    }
}

/// Whether the script plays the disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = env::args().nth(1).unwrap_or_else(|| cannot_run("the record's path is missing"));
        let file = fs::File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self { started: Instant::now(), lines: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the script.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = lock(&self.lines).write_all(line.as_bytes());
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }
}

/// The platform's names and messages.
const WIRE: &str = include_str!("wire.txt");

/// Returns a text of the platform with its placeholders replaced.
pub fn wire(name: &str, values: &[(&str, &dyn Display)]) -> String {
    let found = WIRE.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "));
    let mut text = found.unwrap_or_else(|| panic!("{name} is not in wire.txt")).to_owned();
    for (key, value) in values {
        text = text.replace(&format!("<{key}>"), &value.to_string());
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split_whitespace().next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split_whitespace().nth(1).unwrap_or("")
    }
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

/// A connection whose received bytes are buffered.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Message { first, headers: headers.collect(), body: Vec::new() }))
    }

    fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..size).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that the head announces; a response without a length ends with its connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        if is_chunked {
            loop {
                let line = self.take_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| invalid("bad chunk"))?;
                let data = self.take(size)?;
                message.body.extend_from_slice(&data);
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(());
                }
                self.take(2)?;
            }
        }
        if let Some(size) = message.header("content-length") {
            let size = size.parse().map_err(|_| invalid("bad length"))?;
            message.body = self.take(size)?;
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buf);
        }
        Ok(())
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(String, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if !body.is_empty() || method != "GET" {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        head.push_str("\r\n");
        let mut data = head.into_bytes();
        data.extend_from_slice(body);
        self.stream.write_all(&data)
    }

    pub fn receive(&mut self, timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        let head = self.read_head()?;
        let mut message = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        self.read_body(&mut message, true)?;
        Ok(message)
    }
}

/// Sends a request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut conn = Conn::open(address, Duration::from_secs(1))?;
    let mut headers = headers.to_vec();
    headers.push(("Connection".into(), "close".into()));
    conn.stream.set_write_timeout(Some(timeout))?;
    conn.send(method, target, &headers, body)?;
    conn.receive(timeout)
}

// ---------------------------------------------------------------- fleet

struct Process {
    child: Child,
}

/// The processes of a deployment.
pub struct Fleet {
    pub record: Record,
    net: (u8, u8),
    pub controls: u8,
    pub folder: PathBuf,
    processes: BTreeMap<u8, Process>,
    _lock: TcpListener,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for it in self.processes.values_mut() {
            let _ = it.child.kill();
            let _ = it.child.wait();
            forget(it.child.id());
        }
        if env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Records that a process has been waited for.
fn forget(id: u32) {
    lock(&STARTED).retain(|it| *it != id);
    list_started();
}

pub fn binary() -> PathBuf {
    let path = env::current_dir().unwrap_or_default().join("target/release/daisypaddle-gateway");
    if !path.exists() {
        cannot_run("target/release/daisypaddle-gateway is not built");
    }
    path
}

impl Fleet {
    /// Starts control hosts and gateways, all with empty disks.
    pub fn start(record: &Record, controls: u8, gateways: u8) -> Self {
        let pid = process::id();
        let found = (0..200_u32).find_map(|i| {
            let number = pid.wrapping_add(i * 7);
            let net = (100 + (number / 200 % 100) as u8, 1 + (number % 200) as u8);
            let at = |host, port| SocketAddr::from(([127, net.0, net.1, host], port));
            let lock = TcpListener::bind(at(254, LOCK_PORT)).ok()?;
            let is_free = |port| TcpListener::bind(at(1, port)).is_ok();
            (PEER_PORT..=DIRECTORY_PORT).all(is_free).then_some((net, lock))
        });
        let Some((net, lock)) = found else { cannot_run("no free loopback addresses") };
        let folder = env::temp_dir().join(format!("daisypaddle-case-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let record = record.clone();
        let mut fleet =
            Self { record, net, controls, folder, processes: BTreeMap::new(), _lock: lock };
        for host in 1..=controls {
            fleet.start_control(host, true);
        }
        for i in 0..gateways {
            fleet.start_gateway(FIRST_GATEWAY + i);
        }
        fleet
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        (self.ip(host), CALLER_PORT).into()
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        (self.ip(host), CONTROL_PORT).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.controls).map(|it| self.control(it)).collect()
    }

    fn common(&self, host: u8) -> String {
        let seeds: Vec<_> = (1..=3).map(|it| format!("\"{}\"", self.control(it))).collect();
        format!(
            "ip: {}\nregion: {REGION}\ndata_centre: {ZONE}\ndata_centres:\n  - {{ name: \"{ZONE}\", \
             region: \"{REGION}\" }}\nseeds: [{}]\npeer_port: {PEER_PORT}\nmetrics_port: \
             {METRICS_PORT}\n",
            self.ip(host),
            seeds.join(", ")
        )
    }

    pub fn start_control(&mut self, host: u8, bootstrap: bool) {
        let settings = format!(
            "{}request_address: {}\ndata_folder: {}\nbootstrap: {bootstrap}\nlost_disks: 1\n\
             announcement_lifetime_ms: 1500\n",
            self.common(host),
            self.control(host),
            self.folder.join(format!("data-{host}")).display()
        );
        self.spawn("control", host, &settings);
    }

    pub fn start_gateway(&mut self, host: u8) {
        let at = |port| SocketAddr::from((self.ip(host), port));
        let settings = format!(
            "{}caller_address: {}\nreadiness_address: {}\ndirectory_address: {}\nstop_within_s: 6\n\
             directory_keep_s: 1\nretry_budget:\n  share: 0.2\n  slack: 58\n  window_s: 10\n",
            self.common(host),
            at(CALLER_PORT),
            at(READINESS_PORT),
            at(DIRECTORY_PORT)
        );
        self.spawn("entry", host, &settings);
    }

    fn spawn(&mut self, role: &'static str, host: u8, settings: &str) {
        let path = self.folder.join(format!("{host}.yaml"));
        fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = self.folder.join(format!("{host}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let errors = log.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new(binary())
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        self.record.line(&format!("platform: started {role} {host}, process {}", child.id()));
        lock(&STARTED).push(child.id());
        list_started();
        self.processes.insert(host, Process { child });
    }

    pub fn process_id(&self, host: u8) -> u32 {
        self.processes[&host].child.id()
    }

    /// Sends a signal to a process that this fleet has started.
    pub fn signal(&self, host: u8, signal: &str) {
        self.record.line(&format!("platform: {signal} to host {host}"));
        let id = self.process_id(host).to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
    }

    /// Waits until a process has ended; kills it after `grace`.
    pub fn wait_end(&mut self, host: u8, grace: Duration) {
        let started = Instant::now();
        let record = self.record.clone();
        let it = self.processes.get_mut(&host).expect("the process was started");
        loop {
            if let Ok(Some(status)) = it.child.try_wait() {
                forget(it.child.id());
                record.line(&format!("platform: host {host} has ended, {status}"));
                return;
            }
            if started.elapsed() >= grace {
                record.line(&format!("platform: host {host} is killed after its grace time"));
                let _ = it.child.kill();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn kill(&mut self, host: u8) {
        self.record.line(&format!("platform: SIGKILL to host {host}"));
        let it = self.processes.get_mut(&host).expect("the process was started");
        let _ = it.child.kill();
        let _ = it.child.wait();
        forget(it.child.id());
    }

    /// Removes the data folder of a control host that doesn't run, as if its disk was lost.
    pub fn lose_disk(&self, host: u8) {
        self.record.line(&format!("platform: host {host} loses its disk"));
        let _ = fs::remove_dir_all(self.folder.join(format!("data-{host}")));
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let address = (self.ip(host), READINESS_PORT).into();
        let found = call(address, "GET", &wire("ready", &[]), &[], b"", Duration::from_secs(1));
        found.is_ok_and(|it| it.status() == 200)
    }

    pub fn wait_ready(&self, host: u8, limit: Duration) {
        let started = Instant::now();
        while !self.is_ready(host) {
            if started.elapsed() > limit {
                cannot_run(&format!("gateway {host} is not ready in time"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("platform: gateway {host} is ready"));
    }
}

// ---------------------------------------------------------------- operator

/// Sends a call to control hosts as an operator or an upstream does: follows two redirects, then
/// moves on. Returns the first answer below 500 that is no 408 or 429.
pub fn call_control(
    controls: &[SocketAddr],
    method: &str,
    target: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let started = Instant::now();
    let json = [("Content-Type".to_owned(), "application/json".to_owned())];
    let mut i = 0;
    while started.elapsed() < limit {
        let mut address = controls[i % controls.len()];
        for _ in 0..3 {
            let mut headers = json.to_vec();
            headers.push(("Host".into(), address.to_string()));
            match call(address, method, target, &headers, body, Duration::from_secs(1)) {
                Ok(it) if it.status() == 307 => {
                    let location = it.header("location").unwrap_or("");
                    let rest = location.strip_prefix("http://").unwrap_or("");
                    match rest.split('/').next().and_then(|it| it.parse().ok()) {
                        Some(found) => address = found,
                        None => break,
                    }
                }
                Ok(it) if it.status() < 500 && ![408, 429].contains(&it.status()) => {
                    return Some(it)
                }
                _ => break,
            }
        }
        i += 1;
        thread::sleep(Duration::from_millis(100 + 50 * i as u64));
    }
    None
}

/// A route of a configuration.
pub struct Route<'a> {
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub service: &'a str,
    pub max_attempts: u32,
}

/// Returns the entry of a route's host.
pub fn host_entry(name: &str, route: &Route<'_>, to: &str) -> String {
    wire(
        "host",
        &[
            ("host", &route.host),
            ("name", &name),
            ("prefix", &route.prefix),
            ("kind", &route.kind),
            ("timeout", &route.timeout_ms),
            ("target", &route.target_ms),
            ("to", &to),
            ("attempts", &route.max_attempts),
        ],
    )
}

/// Returns a configuration with these entries of hosts.
pub fn config_of(version: u64, services: &[&str], hosts: &[String]) -> String {
    let services: Vec<_> = services.iter().map(|it| wire("service", &[("name", it)])).collect();
    let (services, hosts) = (services.join(","), hosts.join(","));
    wire("config", &[("version", &version), ("services", &services), ("hosts", &hosts)])
}

pub fn config(version: u64, services: &[&str], routes: &[Route<'_>]) -> String {
    let hosts: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(i, it)| {
            let to = wire("to-service", &[("service", &it.service)]);
            host_entry(&format!("r-{i}"), it, &to)
        })
        .collect();
    config_of(version, services, &hosts)
}

pub fn put_config(record: &Record, controls: &[SocketAddr], text: &str) -> u16 {
    let sent = call_control(
        controls,
        "POST",
        &wire("put-config", &[]),
        text.as_bytes(),
        Duration::from_secs(20),
    );
    let status = sent.map_or(0, |it| it.status());
    record.line(&format!("operator: put configuration, answer {status}"));
    status
}

// ---------------------------------------------------------------- upstreams

/// What an upstream does with a request.
pub enum Action {
    /// Works for a time and answers 200 with a body.
    Answer(Duration, Vec<u8>),
    /// Works for a time and resets the connection.
    Reset(Duration),
    /// The process crashes and is back after a time.
    Crash(Duration),
}

/// A request as an upstream received it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: f64,
    pub upstream: String,
    pub attempt: String,
    pub target: String,
    pub gateway: Ipv4Addr,
}

type Decide = dyn Fn(&Message, &str) -> Action + Send + Sync;

/// An upstream; its address stays.
pub struct Upstream {
    number: u32,
    /// Whether each start has the same id.
    keeps_id: bool,
    service: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    record: Record,
    starts: AtomicU64,
    is_up: AtomicBool,
    /// The connections of this start.
    streams: Mutex<HashMap<u64, TcpStream>>,
    next_stream: AtomicU64,
    /// Requests that wait for a slot or are at work.
    busy: Mutex<u32>,
    /// Requests at work.
    working: Mutex<u32>,
    born: AtomicU64,
    seq: AtomicU64,
    is_draining: AtomicBool,
    /// Difference of this machine's time of day from the true one, in milliseconds.
    clock_offset_ms: AtomicI64,
    decide: Box<Decide>,
    pub runs: Arc<Mutex<Vec<Arrival>>>,
    /// When a start crashed, and how many other requests it was at work on.
    pub crashes: Arc<Mutex<Vec<(f64, u32)>>>,
}

const SLOTS: u32 = 3;
const QUEUE: u32 = 12;

impl Upstream {
    pub fn start(
        fleet: &Fleet,
        number: u32,
        service: &str,
        runs: &Arc<Mutex<Vec<Arrival>>>,
        decide: impl Fn(&Message, &str) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        Self::start_as(fleet, number, service, runs, false, decide)
    }

    pub fn start_as(
        fleet: &Fleet,
        number: u32,
        service: &str,
        runs: &Arc<Mutex<Vec<Arrival>>>,
        keeps_id: bool,
        decide: impl Fn(&Message, &str) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        let ip = Ipv4Addr::new(127, fleet.net.0, fleet.net.1, 100 + number as u8);
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let upstream = Arc::new(Self {
            number,
            keeps_id,
            service: service.to_owned(),
            address,
            controls: fleet.control_addresses(),
            record: fleet.record.clone(),
            starts: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(0),
            busy: Mutex::new(0),
            working: Mutex::new(0),
            born: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            clock_offset_ms: AtomicI64::new(0),
            decide: Box::new(decide),
            runs: runs.clone(),
            crashes: Arc::default(),
        });
        upstream.clone().run_start(listener);
        upstream
    }

    fn id(&self, start: u64) -> String {
        match self.keeps_id {
            true => format!("i-{}", self.number),
            false => format!("i-{}-{start}", self.number),
        }
    }

    fn run_start(self: Arc<Self>, listener: TcpListener) {
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_up.store(true, Ordering::SeqCst);
        *lock(&self.busy) = 0;
        *lock(&self.working) = 0;
        let offset = self.clock_offset_ms.load(Ordering::SeqCst);
        self.born.store(unix_millis().saturating_add_signed(offset), Ordering::SeqCst);
        self.seq.store(0, Ordering::SeqCst);
        self.record.line(&format!(
            "upstream: {} of {} starts at {}",
            self.id(start),
            self.service,
            self.address
        ));
        let beats = self.clone();
        thread::spawn(move || beats.announce(start));
        thread::spawn(move || self.accept(&listener, start));
    }

    fn is_current(&self, start: u64) -> bool {
        self.is_up.load(Ordering::SeqCst) && self.starts.load(Ordering::SeqCst) == start
    }

    fn announce(&self, start: u64) {
        let mut failed = 0;
        let mut preferred: Option<SocketAddr> = None;
        while self.is_current(start) {
            let mut controls = self.controls.clone();
            controls.rotate_left((self.number as usize + failed) % self.controls.len());
            if let Some(it) = preferred.take() {
                controls.insert(0, it);
            }
            match self.beat(start, &controls) {
                Some(it) if it.status() == 200 => {
                    let text = String::from_utf8_lossy(&it.body).into_owned();
                    let named = text.split(&wire("next-address", &[])).nth(1);
                    preferred =
                        named.and_then(|it| it.split('"').next()).and_then(|it| it.parse().ok());
                }
                _ => failed += 1,
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Sends a heartbeat of the present state.
    fn beat(&self, start: u64, controls: &[SocketAddr]) -> Option<Message> {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let born = self.born.load(Ordering::SeqCst);
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = wire(
            "heartbeat",
            &[
                ("service", &self.service),
                ("address", &self.address),
                ("zone", &ZONE),
                ("slots", &SLOTS),
                ("state", &state),
                ("seq", &seq),
                ("born", &born),
            ],
        );
        let target = wire("heartbeat-path", &[("id", &self.id(start))]);
        call_control(controls, "POST", &target, body.as_bytes(), Duration::from_secs(5))
    }

    /// Reports that this upstream drains; returns when that was acknowledged.
    pub fn drain(&self) -> Option<f64> {
        self.is_draining.store(true, Ordering::SeqCst);
        let start = self.starts.load(Ordering::SeqCst);
        let answer = self.beat(start, &self.controls)?;
        let born = self.born.load(Ordering::SeqCst);
        self.record.line(&format!(
            "upstream: {} with born {born} reports draining, answer {}",
            self.id(start),
            answer.status()
        ));
        (answer.status() == 200).then(|| self.record.now())
    }

    /// Crashes; the upstream is back after a time.
    pub fn crash_now(self: &Arc<Self>, down: Duration) {
        self.crash(self.starts.load(Ordering::SeqCst), down, 0);
    }

    /// Sets the time of day of this upstream's machine.
    pub fn step_clock(&self, offset_ms: i64) {
        self.record.line(&format!(
            "upstream: time of day of machine {} steps by {offset_ms} ms",
            self.number
        ));
        self.clock_offset_ms.store(offset_ms, Ordering::SeqCst);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, start: u64) {
        let _ = listener.set_nonblocking(true);
        while self.is_current(start) {
            match listener.accept() {
                Ok((stream, peer)) => {
                    let _ = stream.set_nonblocking(false);
                    let number = self.next_stream.fetch_add(1, Ordering::SeqCst);
                    if let Ok(copy) = stream.try_clone() {
                        lock(&self.streams).insert(number, copy);
                    }
                    let it = self.clone();
                    thread::spawn(move || {
                        let _ = it.serve(Conn::new(stream), peer, start);
                        lock(&it.streams).remove(&number);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(self: &Arc<Self>, mut conn: Conn, peer: SocketAddr, start: u64) -> io::Result<()> {
        conn.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        while let Some(mut req) = conn.read_head()? {
            conn.read_body(&mut req, false)?;
            if !self.is_current(start) {
                return Ok(());
            }
            let attempt =
                req.header(&wire("attempt-id", &[]).to_ascii_lowercase()).unwrap_or("").to_owned();
            let is_other = req
                .header(&wire("target", &[]).to_ascii_lowercase())
                .is_some_and(|it| it != self.id(start));
            if attempt.is_empty() || is_other {
                let status = if is_other { "421 Misdirected Request" } else { "400 Bad Request" };
                write_response(&mut conn, status, &attempt, true, false, b"")?;
                continue;
            }
            let waiting = {
                let mut busy = lock(&self.busy);
                *busy += 1;
                *busy
            };
            if waiting > SLOTS + QUEUE {
                *lock(&self.busy) -= 1;
                write_response(&mut conn, "503 Service Unavailable", &attempt, true, false, b"")?;
                continue;
            }
            if !self.take_slot(start) {
                return Ok(());
            }
            let gateway = match peer.ip() {
                std::net::IpAddr::V4(it) => it,
                std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
            };
            let arrival = Arrival {
                at: self.record.now(),
                upstream: self.id(start),
                attempt: attempt.clone(),
                target: req.target().to_owned(),
                gateway,
            };
            self.record.line(&format!(
                "upstream: {} runs {} of {} from gateway {}",
                arrival.upstream,
                arrival.attempt,
                shortened(&arrival.target),
                arrival.gateway
            ));
            lock(&self.runs).push(arrival);
            let action = (self.decide)(&req, &self.id(start));
            match action {
                Action::Answer(work, body) => {
                    thread::sleep(work);
                    if !self.is_current(start) {
                        return Ok(());
                    }
                    self.free_slot();
                    let closes = self.is_draining.load(Ordering::SeqCst);
                    write_response(&mut conn, "200 OK", &attempt, false, closes, &body)?;
                    if closes {
                        return conn.stream.shutdown(Shutdown::Write);
                    }
                }
                Action::Reset(work) => {
                    thread::sleep(work);
                    if self.is_current(start) {
                        self.free_slot();
                    }
                    return conn.stream.shutdown(Shutdown::Both);
                }
                Action::Crash(down) => {
                    self.crash(start, down, 1);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Waits for a slot; returns false if this start has ended meanwhile.
    fn take_slot(&self, start: u64) -> bool {
        while self.is_current(start) {
            let mut working = lock(&self.working);
            if *working < SLOTS {
                *working += 1;
                return true;
            }
            drop(working);
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    fn free_slot(&self) {
        let mut working = lock(&self.working);
        *working = working.saturating_sub(1);
        let mut busy = lock(&self.busy);
        *busy = busy.saturating_sub(1);
    }

    /// Crashes; `causes` is the number of requests at work that caused it.
    fn crash(self: &Arc<Self>, start: u64, down: Duration, causes: u32) {
        if !self.is_current(start) {
            return;
        }
        self.is_up.store(false, Ordering::SeqCst);
        let others = lock(&self.working).saturating_sub(causes);
        self.record
            .line(&format!("upstream: {} crashes at work on {others} others", self.id(start)));
        lock(&self.crashes).push((self.record.now(), others));
        for (_, stream) in lock(&self.streams).drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let it = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            for _ in 0..200 {
                match TcpListener::bind(it.address) {
                    Ok(listener) => return it.run_start(listener),
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            }
        });
    }
}

fn write_response(
    conn: &mut Conn,
    status: &str,
    attempt: &str,
    is_not_run: bool,
    closes: bool,
    body: &[u8],
) -> io::Result<()> {
    let connection = if closes { "Connection: close" } else { "Keep-Alive: timeout=10" };
    let mark = match is_not_run {
        true => format!("{}: 1\r\n", wire("not-run", &[])),
        false => String::new(),
    };
    let (id, signature) = (wire("attempt-id", &[]), wire("signature", &[]));
    let head = format!(
        "HTTP/1.1 {status}\r\n{id}: {attempt}\r\n{signature}: stand-in\r\n{mark}{connection}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut data = head.into_bytes();
    data.extend_from_slice(body);
    conn.stream.write_all(&data)
}

pub fn shortened(text: &str) -> String {
    text.chars().take(60).collect()
}

// ---------------------------------------------------------------- clients

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn attempt_id() -> String {
    format!("{:08x}{:08x}", process::id(), NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst))
}

pub fn client_headers(host: &str, attempt: &str, deadline_ms: u64) -> Vec<(String, String)> {
    vec![
        ("Host".into(), host.into()),
        (wire("attempt-id", &[]), attempt.into()),
        (wire("deadline", &[]), deadline_ms.to_string()),
    ]
}

/// Numbers that differ from run to run.
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        Self(unix_millis() ^ (u64::from(process::id()) << 32) | 1)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }

    pub fn unit(&mut self) -> f64 {
        self.below(1 << 40) as f64 / (1_u64 << 40) as f64
    }
}

/// Reports the result and ends with the exit code of the script.
pub fn finish(record: &Record, fleet: Fleet, broken: Option<String>) -> ! {
    let code = match &broken {
        Some(message) => {
            record.say(&format!("BROKEN: {message}"));
            1
        }
        None => {
            record.say("HELD");
            0
        }
    };
    drop(fleet);
    process::exit(code)
}
