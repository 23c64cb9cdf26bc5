//! The time of day of an upstream's machine goes back while the upstream starts again; much later the
//! upstream drains.

mod harness;

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use harness::*;

const GATEWAYS: u8 = 6;
const HOST: &str = "shop.example";
const SERVICE: &str = "depositsvc";

/// `drainMs` of the deployment, in seconds.
const DRAIN_S: f64 = 2.5;

/// How far the time of day goes back.
const STEP_MS: i64 = -2_000;

fn main() {
    let record = Record::create();
    let fleet = Fleet::start(&record, 3, GATEWAYS);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let answer = |_: &Message, _: &str| Action::Answer(Duration::from_millis(230), b"ok".to_vec());
    let _others: Vec<_> =
        (1..=6).map(|i| Upstream::start(&fleet, i, SERVICE, &runs, answer)).collect();
    let route = Route {
        host: HOST,
        prefix: "/deposits/",
        kind: "unsafe",
        timeout_ms: 2_000,
        target_ms: 1_000,
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

    let upstream = Upstream::start_as(&fleet, 7, SERVICE, &runs, true, answer);
    thread::sleep(Duration::from_millis(700));
    if has_trouble() {
        upstream.step_clock(STEP_MS);
    }
    upstream.crash_now(Duration::from_millis(500));
    thread::sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..GATEWAYS)
        .map(|i| {
            let front = fleet.front(FIRST_GATEWAY + i);
            let (record, is_over) = (record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = attempt_id();
                    let headers = client_headers(HOST, &attempt, 4_000);
                    let target = format!("/deposits/order-{i}-{number}");
                    let sent =
                        call(front, "POST", &target, &headers, b"{}", Duration::from_secs(4));
                    let status = sent.map_or(0, |it| it.status());
                    record.line(&format!("client: {attempt} {target} at {front}, answer {status}"));
                }
            })
        })
        .collect();
    // Long after the start, the upstream leaves as planned.
    thread::sleep(Duration::from_secs(15));
    let Some(acknowledged) = upstream.drain() else {
        cannot_run("the upstream's report was not acknowledged")
    };
    record.say(&format!("draining is acknowledged at {acknowledged:.3} s"));
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }

    let of_upstream: Vec<f64> =
        lock(&runs).iter().filter(|it| it.upstream == "i-7").map(|it| it.at).collect();
    let before = of_upstream.iter().filter(|at| **at < acknowledged).count();
    let late = of_upstream.iter().filter(|at| **at > acknowledged + DRAIN_S).count();
    record.say(&format!(
        "the upstream got {before} requests before the acknowledgement, {late} later than {DRAIN_S} s \
         after it"
    ));
    let broken = (late > 0)
        .then(|| format!("DRAIN: {late} requests reach an upstream that has reported draining"));
    finish(&record, fleet, broken)
}
