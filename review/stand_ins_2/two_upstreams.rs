//! A request that crashes the upstreams that run it, at a service with two upstreams.

mod harness;

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use harness::*;

const GATEWAYS: u8 = 4;
const CRASH_PATH: &str = "/bookings/book-4711";
const HOST: &str = "shop.example";
const SERVICE: &str = "benchsvc";

/// `stableWindowMs` of the deployment, in seconds.
const STABLE_S: f64 = 3.0;

/// Maximum number of further client attempts that may reach upstreams.
const MAX_RETRIES: usize = 3;

fn main() {
    let record = Record::create();
    let fleet = Fleet::start(&record, 3, GATEWAYS);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let upstreams: Vec<_> = (1..=2)
        .map(|i| {
            Upstream::start(&fleet, i, SERVICE, &runs, |req, _| match req.target() {
                CRASH_PATH if has_trouble() => Action::Crash(Duration::from_secs(2)),
                _ => Action::Answer(Duration::from_millis(160), b"ok".to_vec()),
            })
        })
        .collect();
    let route = Route {
        host: HOST,
        prefix: "/bookings/",
        kind: "unsafe",
        timeout_ms: 2_500,
        target_ms: 600,
        service: SERVICE,
        max_attempts: 2,
    };
    let text = config(1, &[SERVICE], &[route]);
    if put_config(&record, &fleet.control_addresses(), &text) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    for i in 0..GATEWAYS {
        fleet.wait_ready(FIRST_GATEWAY + i, Duration::from_secs(20));
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = (0..GATEWAYS).map(|i| fleet.front(FIRST_GATEWAY + i)).collect();
    let until = record.now() + 40.0;
    let ordinary: Vec<_> = fronts
        .iter()
        .copied()
        .enumerate()
        .map(|(i, front)| {
            let record = record.clone();
            thread::spawn(move || {
                let (mut number, mut served) = (0, 0);
                while record.now() < until {
                    number += 1;
                    let attempt = attempt_id();
                    let headers = client_headers(HOST, &attempt, 2_500);
                    let target = format!("/bookings/order-{i}-{number}");
                    let sent = call(front, "PUT", &target, &headers, b"{}", Duration::from_secs(3));
                    let status = sent.map_or(0, |it| it.status());
                    record.line(&format!("client: {attempt} {target} at {front}, answer {status}"));
                    served += usize::from(status == 200);
                    thread::sleep(Duration::from_millis(500));
                }
                (served, number)
            })
        })
        .collect();
    let mut random = Random::new();
    while record.now() < until {
        let front = fronts[random.below(fronts.len() as u64) as usize];
        let attempt = attempt_id();
        let headers = client_headers(HOST, &attempt, 2_500);
        let sent = call(front, "PUT", CRASH_PATH, &headers, b"{}", Duration::from_secs(3));
        let status = sent.map_or(0, |it| it.status());
        record.line(&format!("client: {attempt} {CRASH_PATH} at {front}, answer {status}"));
        thread::sleep(Duration::from_secs(1));
    }
    let (mut served, mut sent) = (0, 0);
    for it in ordinary {
        let (ok, all) = it.join().unwrap_or_default();
        served += ok;
        sent += all;
    }
    let mut crashes: Vec<(f64, u32)> =
        upstreams.iter().flat_map(|it| lock(&it.crashes).clone()).collect();
    crashes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let third = crashes.get(2).map(|it| it.0).unwrap_or(f64::INFINITY);
    let late =
        lock(&runs).iter().filter(|it| it.target == CRASH_PATH && it.at > third + STABLE_S).count();
    let others: u32 = crashes.iter().filter(|it| it.0 > third + STABLE_S).map(|it| it.1).sum();
    record.say(&format!(
        "{} crashes, the third at {third:.1} s; {late} client attempts reached upstreams more than \
         {STABLE_S} s later; {served} of {sent} other requests served, {others} lost at work in these \
         crashes",
        crashes.len()
    ));
    let broken = (late > MAX_RETRIES).then(|| {
        format!("BUDGET: {late} retries of a request that crashes upstreams reached them")
    });
    finish(&record, fleet, broken)
}
