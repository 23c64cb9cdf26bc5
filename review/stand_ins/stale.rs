//! The control host that has acknowledged a configuration freezes at once.

use std::{
    net::SocketAddr,
    process::Command,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{CALLER_PORT, Fleet, Record, Zone, could_not_run},
    http,
    upstream::{Runs, Spec, Upstream},
    wire,
};

const ZONES: [Zone; 6] = [
    ("rvk-a", "reykjavik"),
    ("aku-a", "akureyri"),
    ("egs-a", "egilsstadir"),
    ("rvk-b", "reykjavik"),
    ("aku-b", "akureyri"),
    ("egs-b", "egilsstadir"),
];

const CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];
const FIRST_GATEWAY: u8 = 11;
const GATEWAYS: u8 = 36;

/// Bounds of the deployment: a configuration is in force after the first, and machines are in touch
/// again after the second, counted from the freeze.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

const FREEZE: Duration = Duration::from_millis(4_200);
const RECOVERY: Duration = Duration::from_millis(3_600);
const ROUNDS: u64 = 12;

const PROBE_INTERVAL: Duration = Duration::from_millis(100);

fn config(version: u64) -> String {
    // Each version moves the route to the other service.
    let target = SERVICES[(version % 2) as usize];
    wire::fill("config-moving", &[("version", &version.to_string()), ("service", target)])
}

const SERVICES: [&str; 2] = ["queuesvc", "benchsvc"];

/// A request that a gateway has answered.
struct Probe {
    gateway: u8,
    sent: Instant,
    service: String,
}

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut fleet = Fleet::new(record, &ZONES);
    let gateways: Vec<u8> = (FIRST_GATEWAY..FIRST_GATEWAY + GATEWAYS).collect();
    for (zone, host) in CONTROLS.iter().enumerate() {
        fleet.start_control(*host, zone, true);
    }
    for (zone, host) in gateways.iter().enumerate() {
        fleet.start_gateway(*host, zone);
    }
    fleet.put_config(&config(1));
    if !fleet.wait_until_ready(&gateways, Duration::from_secs(30)) {
        could_not_run("the gateways don't get ready");
    }
    let runs = Runs::default();
    let upstreams: Vec<Upstream> = (0..24_u8)
        .map(|number| {
            let service = SERVICES[usize::from(number % 2)];
            let spec = Spec {
                id: format!("i-{service}-{number:02x}"),
                service: service.to_owned(),
                zone: ZONES[usize::from(number / 2) % ZONES.len()].0.to_owned(),
                address: fleet.address(100 + number, 8_080),
                slots: 3,
                work: Duration::from_millis(5),
            };
            let upstream = Upstream::start(spec, &runs, record);
            upstream.keep_announcing(fleet.control_addresses());
            upstream
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let probes: Arc<Mutex<Vec<Probe>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let probers: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let (gateway, address) = (*gateway, fleet.address(*gateway, CALLER_PORT));
            let (probes, is_over, next_id) = (probes.clone(), is_over.clone(), next_id.clone());
            let record = record.clone();
            thread::spawn(move || {
                probe_often(gateway, address, &probes, &is_over, &next_id, &record);
            })
        })
        .collect();
    let mut stale = 0;
    for round in 0..ROUNDS {
        let version = 2 + round;
        let (host, acknowledged) = put(&fleet, version, record);
        if has_trouble {
            signal(&fleet, host, "-STOP", record);
        }
        let frozen = Instant::now();
        thread::sleep(FREEZE);
        let end = Instant::now();
        if has_trouble {
            signal(&fleet, host, "-CONT", record);
        }
        thread::sleep(RECOVERY);
        let from = (acknowledged + CONFIG_APPLY).max(frozen + STABLE_WINDOW);
        let expected = SERVICES[(version % 2) as usize];
        for it in probes.lock().unwrap().drain(..) {
            if it.sent > from && it.sent < end && it.service != expected {
                stale += 1;
                let after = it.sent.duration_since(acknowledged).as_millis();
                record.line(&format!(
                    "a request sent to {} {after} ms after the acknowledgement of version {version} \
                     was run by {}",
                    fleet.ip(it.gateway),
                    it.service
                ));
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    probers.into_iter().for_each(|it| it.join().unwrap());
    upstreams.iter().for_each(Upstream::end);
    let line = format!("requests that were handled as only an older version allows: {stale}");
    record.line(&line);
    println!("{line}");
    stale == 0
}

/// Submits a version; returns the control host that acknowledged it, and when.
fn put(fleet: &Fleet, version: u64, record: &Record) -> (u8, Instant) {
    let text = config(version);
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        for host in CONTROLS {
            let mut host = host;
            for _ in 0..3 {
                let address = fleet.address(host, crate::fleet::CONTROL_PORT);
                let name = address.to_string();
                let headers = [("Host", name.as_str()), ("Content-Type", "application/json")];
                let limit = Duration::from_secs(1);
                let path = wire::text("put-config");
                let answer = http::call(address, "POST", path, &headers, text.as_bytes(), limit);
                let Ok(answer) = answer else { break };
                if answer.status == 200 {
                    let at = Instant::now();
                    record.line(&format!("version {version} acknowledged by {}", fleet.ip(host)));
                    return (host, at);
                }
                let Some(location) = answer.head.header("location") else { break };
                let ip = location.trim_start_matches("http://").split(':').next().unwrap_or("");
                let Some(last) = ip.rsplit('.').next().and_then(|it| it.parse().ok()) else {
                    break;
                };
                host = last;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    could_not_run("a version was not acknowledged")
}

fn signal(fleet: &Fleet, host: u8, name: &str, record: &Record) {
    let _ = Command::new("kill").args([name, &fleet.pid(host).to_string()]).status();
    record.line(&format!("signal {name} to {}", fleet.ip(host)));
}

/// Sends one request after the other to a gateway.
fn probe_often(
    gateway: u8,
    address: SocketAddr,
    probes: &Mutex<Vec<Probe>>,
    is_over: &AtomicBool,
    next_id: &AtomicU64,
    record: &Record,
) {
    while !is_over.load(Ordering::SeqCst) {
        let number = next_id.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("d{number:015x}");
        let path = format!("/queue/{number:x}");
        let headers = [
            ("Host", "hulo84.example"),
            (wire::text("attempt-id"), attempt.as_str()),
            (wire::text("deadline"), "3000"),
        ];
        let sent = Instant::now();
        let result = http::call(address, "GET", &path, &headers, b"", Duration::from_secs(3));
        let seen = result
            .as_ref()
            .map_or_else(|it| it.to_string(), |it| format!("{} {}", it.status, it.text()));
        record.line(&format!("attempt {attempt} to {address}: {}", seen.trim_end()));
        if let Ok(answer) = result
            && answer.status == 200
        {
            let service = answer.text().split('-').nth(1).unwrap_or("").to_owned();
            probes.lock().unwrap().push(Probe { gateway, sent, service });
        }
        thread::sleep(PROBE_INTERVAL);
    }
}
