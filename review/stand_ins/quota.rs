//! A tenant asks for more than its limit while all processes are killed and start again.

use std::{
    net::SocketAddr,
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

/// Limit of the tenant.
const RATE_PER_S: f64 = 5.0;
const BURST: f64 = 5.0;

/// Bounds of the deployment.
const QUOTA_WINDOW_S: f64 = 5.0;
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// Time for which all processes are down, and by which the gateways are back later than the control
/// hosts.
const BACK_AFTER: Duration = Duration::from_millis(300);
const GATEWAYS_LATER: Duration = Duration::from_millis(1_500);

const CLIENTS: u64 = 200;
const DEADLINE: Duration = Duration::from_millis(3_000);

fn config() -> String {
    let (rate, burst) = (RATE_PER_S.to_string(), BURST.to_string());
    wire::fill("config-tenant", &[("rate", &rate), ("burst", &burst)])
}

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let gateways_count: u8 =
        std::env::var("GATEWAYS").ok().and_then(|it| it.parse().ok()).unwrap_or(36);
    let mut fleet = Fleet::new(record, &ZONES);
    fleet.entry_settings = "key_withdrawal: { within_ms: 5000, strict: false }\n".to_owned();
    let gateways: Vec<u8> = (FIRST_GATEWAY..FIRST_GATEWAY + gateways_count).collect();
    let start_controls = |fleet: &mut Fleet, bootstrap: bool| {
        for (zone, host) in CONTROLS.iter().enumerate() {
            fleet.start_control(*host, zone, bootstrap);
        }
    };
    let start_gateways = |fleet: &mut Fleet| {
        for (zone, host) in gateways.iter().enumerate() {
            fleet.start_gateway(*host, zone);
        }
    };
    start_controls(&mut fleet, true);
    start_gateways(&mut fleet);
    fleet.put_config(&config());
    let runs = Runs::default();
    let upstreams: Vec<Upstream> = (0..12)
        .map(|it| {
            let spec = Spec {
                id: format!("i-{it:04x}"),
                service: "queuesvc".to_owned(),
                zone: ZONES[it % ZONES.len()].0.to_owned(),
                address: fleet.address(100 + u8::try_from(it).unwrap(), 8_080),
                slots: 3,
                work: Duration::from_millis(20),
            };
            let upstream = Upstream::start(spec, &runs, record);
            upstream.keep_announcing(fleet.control_addresses());
            upstream
        })
        .collect();
    if !fleet.wait_until_ready(&gateways, Duration::from_secs(30)) {
        could_not_run("the gateways don't get ready");
    }
    thread::sleep(Duration::from_secs(8));
    let addresses: Arc<Vec<SocketAddr>> =
        Arc::new(gateways.iter().map(|it| fleet.address(*it, CALLER_PORT)).collect());
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (addresses, is_over, counts) = (addresses.clone(), is_over.clone(), counts.clone());
            let (record, next_id) = (record.clone(), next_id.clone());
            thread::spawn(move || {
                ask_often(client, &addresses, &is_over, &counts, &record, &next_id);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        record.line("all processes are killed");
        let all: Vec<u8> = CONTROLS.iter().chain(&gateways).copied().collect();
        fleet.kill(&all);
        thread::sleep(BACK_AFTER);
        start_controls(&mut fleet, false);
        thread::sleep(GATEWAYS_LATER);
        start_gateways(&mut fleet);
    }
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| it.join().unwrap());
    upstreams.iter().for_each(Upstream::end);
    for (status, count) in counts.lock().unwrap().iter() {
        record.line(&format!("answers with status {status}: {count}"));
    }
    check(record, &runs)
}

/// Compares the runs of each window with the limit.
fn check(record: &Record, runs: &Runs) -> bool {
    let mut at: Vec<f64> =
        runs.all().iter().filter(|it| it.tenant == "acme").map(|it| it.at).collect();
    at.sort_by(f64::total_cmp);
    let bound = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
    let in_window =
        |from: f64| at.iter().filter(move |it| **it >= from && **it < from + QUOTA_WINDOW_S);
    let most = at.iter().map(|it| (in_window(*it).count(), *it)).max_by_key(|it| it.0);
    let Some((most, from)) = most else { could_not_run("no request of the tenant has run") };
    let line = format!(
        "the most requests of the tenant that ran in {QUOTA_WINDOW_S} s: {most}, from {from:.3} on; \
         the rule allows {bound}"
    );
    record.line(&line);
    println!("{line}");
    most as f64 <= bound
}

/// Sends one request after the other with the tenant's key, each to any gateway.
fn ask_often(
    client: u64,
    addresses: &[SocketAddr],
    is_over: &AtomicBool,
    counts: &Mutex<std::collections::BTreeMap<u16, u64>>,
    record: &Record,
    next_id: &AtomicU64,
) {
    let mut turn = client as usize * 7;
    while !is_over.load(Ordering::SeqCst) {
        let number = next_id.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("a{number:015x}");
        turn += 5;
        let address = addresses[turn % addresses.len()];
        let path = format!("/queue/{number:x}");
        let headers = [
            ("Host", "hulo84.example"),
            (wire::text("attempt-id"), attempt.as_str()),
            (wire::text("deadline"), "3000"),
            ("Authorization", "Bearer key-of-acme"),
        ];
        let sent = Instant::now();
        let result = http::call(address, "GET", &path, &headers, b"", DEADLINE);
        let status = result.as_ref().map_or(0, |it| it.status);
        record.line(&format!(
            "client {client} attempt {attempt} to {address}: {} after {} ms",
            result.as_ref().map_or_else(|it| it.to_string(), |it| it.status.to_string()),
            sent.elapsed().as_millis()
        ));
        *counts.lock().unwrap().entry(status).or_default() += 1;
        // Some clients don't wait as they are told.
        thread::sleep(Duration::from_millis(100));
    }
}
