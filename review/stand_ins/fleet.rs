//! The processes of a small deployment, each on a loopback address of its own.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Response},
    wire,
};

pub const CONTROL_PORT: u16 = 9_983;
pub const CALLER_PORT: u16 = 9_984;
const PEER_PORT: u16 = 9_981;
const METRICS_PORT: u16 = 9_982;
const READINESS_PORT: u16 = 9_985;
const DIRECTORY_PORT: u16 = 9_986;

const PROGRAM: &str = "target/release/daisypaddle-gateway";

/// Writes what happens to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A zone of the deployment and its region.
pub type Zone = (&'static str, &'static str);

pub struct Fleet {
    pub folder: PathBuf,
    subnet: u8,
    zones: Vec<Zone>,
    controls: Vec<u8>,
    processes: BTreeMap<u8, Child>,
    record: Record,
    /// Further lines of the settings of gateways.
    pub entry_settings: String,
}

impl Fleet {
    pub fn new(record: &Record, zones: &[Zone]) -> Self {
        let folder = match std::env::var_os("CASE_FOLDER") {
            Some(folder) => PathBuf::from(folder),
            None => std::env::temp_dir().join(format!("daisypaddle-case-{}", process::id())),
        };
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let first = process::id() % 200;
        let subnet = (0..200)
            .map(|it| u8::try_from(20 + (first + it) % 200).unwrap())
            .find(|it| is_free(*it))
            .expect("a free loopback subnet");
        Self {
            folder,
            subnet,
            zones: zones.to_vec(),
            controls: Vec::new(),
            processes: BTreeMap::new(),
            record: record.clone(),
            entry_settings: String::new(),
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 99, self.subnet, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|it| self.address(*it, CONTROL_PORT)).collect()
    }

    fn common_settings(&self, host: u8, zone: usize) -> String {
        let (zone, region) = self.zones[zone % self.zones.len()];
        let zones: String = self
            .zones
            .iter()
            .map(|(name, region)| format!("  - {{ name: \"{name}\", region: \"{region}\" }}\n"))
            .collect();
        let seeds: Vec<String> =
            (1..=3).map(|it| format!("\"{}\"", self.address(it, CONTROL_PORT))).collect();
        format!(
            "ip: {}\nregion: {region}\ndata_centre: {zone}\ndata_centres:\n{zones}\
             seeds: [{}]\npeer_port: {PEER_PORT}\nmetrics_port: {METRICS_PORT}\n",
            self.ip(host),
            seeds.join(","),
        )
    }

    /// Starts a control host with the settings of `deploy/control.yaml`.
    pub fn start_control(&mut self, host: u8, zone: usize, bootstrap: bool) {
        let settings = format!(
            "{}request_address: {}\ndata_folder: {}\nbootstrap: {bootstrap}\nlost_disks: 1\n\
             announcement_lifetime_ms: 1500\n",
            self.common_settings(host, zone),
            self.address(host, CONTROL_PORT),
            self.folder.join(format!("data-{host}")).display(),
        );
        if !self.controls.contains(&host) {
            self.controls.push(host);
        }
        self.spawn("control", host, &settings);
    }

    /// Starts a gateway with the settings of `deploy/entry.yaml`.
    pub fn start_gateway(&mut self, host: u8, zone: usize) {
        let settings = format!(
            "{}caller_address: {}\nreadiness_address: {}\ndirectory_address: {}\n\
             stop_within_s: 6\ndirectory_keep_s: 1\n\
             retry_budget:\n  share: 0.2\n  slack: 58\n  window_s: 10\n{}",
            self.common_settings(host, zone),
            self.address(host, CALLER_PORT),
            self.address(host, READINESS_PORT),
            self.address(host, DIRECTORY_PORT),
            self.entry_settings,
        );
        self.spawn("entry", host, &settings);
    }

    fn spawn(&mut self, role: &str, host: u8, settings: &str) {
        let path = self.folder.join(format!("{host}.yaml"));
        fs::write(&path, settings).expect("settings can be written");
        let log = self.folder.join(format!("{host}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(PROGRAM)
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        let Ok(child) = child else { could_not_run("the program can't be started") };
        self.record.line(&format!("start {role} {} pid {}", self.ip(host), child.id()));
        let pids = self.folder.join("pids");
        if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(pids) {
            let _ = writeln!(file, "{}", child.id());
        }
        self.processes.insert(host, child);
    }

    /// Kills processes at the same moment, as SIGKILL does.
    pub fn kill(&mut self, hosts: &[u8]) {
        for host in hosts {
            if let Some(child) = self.processes.get_mut(host) {
                let _ = child.kill();
            }
        }
        for host in hosts {
            if let Some(mut child) = self.processes.remove(host) {
                let _ = child.wait();
                self.record.line(&format!("killed {}", self.ip(*host)));
            }
        }
    }

    pub fn pid(&self, host: u8) -> u32 {
        self.processes[&host].id()
    }

    /// Returns whether a process has ended by itself, with its exit status.
    pub fn ended(&mut self, host: u8) -> Option<String> {
        let child = self.processes.get_mut(&host)?;
        child.try_wait().ok().flatten().map(|it| it.to_string())
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let limit = Duration::from_secs(1);
        let address = self.address(host, READINESS_PORT);
        http::call(address, "GET", wire::text("ready"), &[("Host", "ready")], b"", limit)
            .is_ok_and(|it| it.status == 200)
    }

    pub fn wait_until_ready(&self, hosts: &[u8], within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if hosts.iter().all(|it| self.is_ready(*it)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Submits a configuration until it is acknowledged.
    pub fn put_config(&self, text: &str) {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            let path = wire::text("put-config");
            if let Some(it) = call_control(&self.control_addresses(), "POST", path, text.as_bytes())
                && it.status == 200
            {
                self.record.line("configuration acknowledged");
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        could_not_run("no configuration was acknowledged");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn is_free(subnet: u8) -> bool {
    [1, 2, 11, 12].iter().all(|host| {
        TcpListener::bind((Ipv4Addr::new(127, 99, subnet, *host), CONTROL_PORT)).is_ok()
    })
}

/// Calls control hosts in turn as operators and upstreams do: a second each, two redirects.
pub fn call_control(
    hosts: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Response> {
    hosts.iter().find_map(|it| call_one(*it, method, path, body))
}

/// Calls one control host; returns `None` unless it answers with 2xx or a final 4xx.
pub fn call_one(host: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Response> {
    let (mut address, mut path) = (host, path.to_owned());
    for _ in 0..3 {
        let host = address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let response = http::call(address, method, &path, &headers, body, limit).ok()?;
        match response.status {
            307 => {
                let location = response.head.header("location")?.strip_prefix("http://")?;
                let slash = location.find('/')?;
                address = location[..slash].parse().ok()?;
                path = location[slash..].to_owned();
            }
            200..=299 | 400 | 409 | 412 | 413 | 422 => return Some(response),
            _ => return None,
        }
    }
    None
}

/// Ends the script because the case couldn't run.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}
