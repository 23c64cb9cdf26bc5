//! A request that crashes the upstreams that run it, while the gateways are restarted in turn.

mod harness;

use std::{
    net::Ipv4Addr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use harness::*;

const GATEWAYS: u8 = 6;
const UPSTREAMS: u32 = 12;
const CRASH_PATH: &str = "/deposits/pay-4711";
const HOST: &str = "shop.example";

/// `stableWindowMs` of the deployment, in seconds.
const STABLE_S: f64 = 3.0;

/// Maximum number of further client attempts that may reach upstreams.
const MAX_RETRIES: usize = 3;

fn main() {
    let record = Record::create();
    let mut fleet = Fleet::start(&record, 3, GATEWAYS);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let upstreams: Vec<_> = (1..=UPSTREAMS)
        .map(|i| {
            Upstream::start(&fleet, i, "depositsvc", &runs, |req, _| match req.target() {
                CRASH_PATH => Action::Crash(Duration::from_secs(2)),
                _ => Action::Answer(Duration::from_millis(230), b"ok".to_vec()),
            })
        })
        .collect();
    let route = Route {
        host: HOST,
        prefix: "/deposits/",
        kind: "unsafe",
        timeout_ms: 2_000,
        target_ms: 1_000,
        service: "depositsvc",
        max_attempts: 2,
    };
    let text = config(1, &["depositsvc"], &[route]);
    if put_config(&record, &fleet.control_addresses(), &text) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    for i in 0..GATEWAYS {
        fleet.wait_ready(FIRST_GATEWAY + i, Duration::from_secs(20));
    }
    thread::sleep(Duration::from_secs(4));

    // Ordinary requests at all gateways.
    let fronts: Vec<_> = (0..GATEWAYS).map(|i| fleet.front(FIRST_GATEWAY + i)).collect();
    let is_over = Arc::new(Mutex::new(false));
    for (i, front) in fronts.iter().copied().enumerate() {
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !*lock(&is_over) {
                number += 1;
                let attempt = attempt_id();
                let headers = client_headers(HOST, &attempt, 4_000);
                let target = format!("/deposits/order-{i}-{number}");
                let sent = call(front, "POST", &target, &headers, b"{}", Duration::from_secs(4));
                let is_served = sent.as_ref().is_ok_and(|it| it.status() == 200);
                let answer =
                    sent.map_or_else(|e| e.kind().to_string(), |it| it.status().to_string());
                record.line(&format!("client: {attempt} {target} at {front}, answer {answer}"));
                if !is_served {
                    thread::sleep(Duration::from_millis(250));
                }
            }
        });
    }
    thread::sleep(Duration::from_secs(2));

    // The caller of the request sends it again after each failure, at any machine.
    let sender = {
        let (record, is_over, fronts) = (record.clone(), is_over.clone(), fronts.clone());
        thread::spawn(move || {
            let mut random = Random::new();
            while !*lock(&is_over) {
                let front = fronts[random.below(fronts.len() as u64) as usize];
                let attempt = attempt_id();
                let headers = client_headers(HOST, &attempt, 4_000);
                let sent = call(front, "POST", CRASH_PATH, &headers, b"{}", Duration::from_secs(4));
                let answer =
                    sent.map_or_else(|e| e.kind().to_string(), |it| it.status().to_string());
                record.line(&format!("client: {attempt} {CRASH_PATH} at {front}, answer {answer}"));
                thread::sleep(Duration::from_millis(400));
            }
        })
    };
    thread::sleep(Duration::from_secs(12));

    // Planned restarts, one gateway at a time.
    let mut stops: Vec<(Ipv4Addr, f64, f64)> = Vec::new();
    for i in 0..GATEWAYS {
        let host = FIRST_GATEWAY + i;
        if has_trouble() {
            let from = record.now();
            fleet.signal(host, "-TERM");
            fleet.wait_end(host, Duration::from_secs(6));
            fleet.start_gateway(host);
            fleet.wait_ready(host, Duration::from_secs(20));
            stops.push((fleet.ip(host), from, record.now() + STABLE_S));
        }
        thread::sleep(Duration::from_secs(6));
    }
    thread::sleep(Duration::from_secs(4));
    *lock(&is_over) = true;
    let _ = sender.join();

    let mut crashes: Vec<(f64, u32)> =
        upstreams.iter().flat_map(|it| lock(&it.crashes).clone()).collect();
    crashes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let Some(third) = crashes.get(2).map(|it| it.0) else {
        record.say(&format!("{} crashes only", crashes.len()));
        finish(&record, fleet, None)
    };
    let is_out_of_touch = |gateway: Ipv4Addr, at: f64| {
        stops.iter().any(|(ip, from, to)| *ip == gateway && (*from..*to).contains(&at))
    };
    let mut late: Vec<_> = lock(&runs)
        .iter()
        .filter(|it| it.target == CRASH_PATH && it.at > third + STABLE_S)
        .filter(|it| !is_out_of_touch(it.gateway, it.at))
        .cloned()
        .collect();
    late.dedup_by(|a, b| a.attempt == b.attempt);
    let others: u32 = crashes.iter().filter(|it| it.0 > third + STABLE_S).map(|it| it.1).sum();
    record.say(&format!(
        "third crash at {third:.1} s, {} crashes in all, {} client attempts reached upstreams more \
         than {STABLE_S} s later from machines in touch; {others} other requests were lost in the \
         upstreams that crashed then",
        crashes.len(),
        late.len()
    ));
    let broken = (late.len() > MAX_RETRIES).then(|| {
        format!("BUDGET: {} retries of a request that crashes upstreams reached them", late.len())
    });
    finish(&record, fleet, broken)
}
