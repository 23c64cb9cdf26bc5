//! An operator sends configurations that are invalid.

mod harness;

use std::{thread, time::Duration};

use harness::*;

const SERVICES: [&str; 2] = ["queuesvc", "stocksvc"];

const ROUTE: Route<'_> = Route {
    host: "shop.example",
    prefix: "/queue/",
    kind: "safe",
    timeout_ms: 1_500,
    target_ms: 1_000,
    service: "queuesvc",
    max_attempts: 2,
};

/// Returns the entry of a host whose route has both a service and a split.
fn with_both(other: &str, weight: u32) -> String {
    let to =
        wire("to-both", &[("service", &ROUTE.service), ("other", &other), ("weight", &weight)]);
    host_entry("r-0", &ROUTE, &to)
}

fn main() {
    let record = Record::create();
    let fleet = Fleet::start(&record, 3, 1);
    let controls = fleet.control_addresses();
    if put_config(&record, &controls, &config(1, &SERVICES, &[ROUTE])) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    thread::sleep(Duration::from_secs(4));

    let to = wire("to-service", &[("service", &ROUTE.service)]);
    let valid = vec![host_entry("r-0", &ROUTE, &to)];
    let invalid = [
        ("a host is empty", vec![valid[0].clone(), wire("empty-host", &[])]),
        ("a route names an unknown service", vec![with_both("gone-svc", 1)]),
        ("the weights of a route add up to 0", vec![with_both("stocksvc", 0)]),
    ];
    let mut broken = Vec::new();
    for (i, (reason, hosts)) in invalid.iter().enumerate() {
        let version = 10 + i as u64;
        let sent = config_of(version, &SERVICES, if has_trouble() { hosts } else { &valid });
        let status = put_config(&record, &controls, &sent);
        let read =
            call_control(&controls, "GET", &wire("get-config", &[]), b"", Duration::from_secs(10));
        let held =
            read.map(|it| String::from_utf8_lossy(&it.body).into_owned()).unwrap_or_default();
        let is_held = held.contains(&format!("\"version\":{version},"));
        let what = if has_trouble() { *reason } else { "valid" };
        record.say(&format!("version {version}, {what}: answer {status}, read back: {is_held}"));
        if has_trouble() && status == 200 {
            broken.push(format!("version {version}, {reason}"));
        } else if !has_trouble() && status != 200 {
            cannot_run("a valid configuration was not accepted");
        }
    }
    let broken = (!broken.is_empty())
        .then(|| format!("CONFIG: invalid and acknowledged: {}", broken.join("; ")));
    finish(&record, fleet, broken)
}
