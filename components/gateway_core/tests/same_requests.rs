//! Tests which requests count as the same one when they crash servers or are answered.

mod common;

use common::{Harness, at, config, entry_host, head, organisation, route, server};
use gateway_core::{
    ApiKey, AttemptEnd, AttemptStart, Credentials, GatewayConfig, Idempotency, Organisation,
    ProbeOutcome, RefusalReason, RelayedHead, RequestHead, Route, RouteTarget, ServicePolicy, Step,
};
use ids::{Fingerprint, HostId, Incarnation, Millis, ServerKey, ServiceName, Timestamp};
use schema::{
    announcement::Announcement,
    quarantine::{Crash, QuarantineMessage, RequestRecord, ToldRecords},
    server_load::ReportScope,
};

const PATH: &str = "/look/list";

fn ledger() -> ServiceName {
    "ledger".parse().unwrap()
}

fn organisations() -> Vec<Organisation> {
    vec![organisation("acme", &["acme-1", "acme-2"]), organisation("other", &["other-1"])]
}

fn look() -> Route {
    route("look", Idempotency::Idempotent)
}

/// The same path at another host name.
fn look_elsewhere() -> Route {
    Route { name: "elsewhere".to_owned(), host: "shop.example".to_owned(), ..look() }
}

fn config_of(version: u64, routes: Vec<Route>, organisations: Vec<Organisation>) -> GatewayConfig {
    let mut config = config(version, routes);
    let ledger = ServicePolicy { name: ledger(), ..config.services[0].clone() };
    config.services.push(ledger);
    GatewayConfig { organisations: Some(organisations), ..config }
}

fn harness_with(config: GatewayConfig) -> Harness {
    let servers = (1..=6).map(|it| server(it, "north-a"));
    let of_ledger = |it| Announcement { service: ledger(), ..server(it, "north-a") };
    let servers = servers.chain((7..=12).map(of_ledger)).collect();
    let hosts = (1..=2).map(|it| entry_host(it, "north-a")).collect();
    let mut harness = Harness::new(Vec::new(), servers, hosts);
    harness.gateway.set_config(config);
    harness
}

fn harness() -> Harness {
    harness_with(config_of(2, vec![look(), look_elsewhere()], organisations()))
}

fn lookup(key: &str) -> RequestHead {
    RequestHead { credentials: Credentials::Key(ApiKey::new(key.as_bytes())), ..head(PATH) }
}

/// Sends a request to servers until it ends; returns where it was sent.
fn run(
    harness: &mut Harness,
    now: Timestamp,
    head: &RequestHead,
    end: AttemptEnd,
) -> Vec<AttemptStart> {
    let id = harness.gateway.begin(now, head.clone()).expect("it is accepted");
    let mut starts = Vec::new();
    while let Step::Send(start) = harness.gateway.step(now, id) {
        harness.end(now, id, &start, end);
        starts.push(start);
    }
    harness.gateway.forget(now, id);
    starts
}

/// Lets a request crash the servers that run it.
fn crash(harness: &mut Harness, now: Timestamp, head: &RequestHead) {
    for AttemptStart { address, incarnation, .. } in run(harness, now, head, AttemptEnd::Lost) {
        let server = ServerKey { address, incarnation };
        harness.gateway.on_server_probe(now, server, ProbeOutcome::Refused);
    }
}

fn is_refused(harness: &mut Harness, now: Timestamp, head: RequestHead) -> bool {
    match harness.gateway.begin(now, head) {
        Ok(id) => {
            harness.gateway.forget(now, id);
            false
        }
        Err(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Quarantined);
            true
        }
    }
}

/// Passes on what one gateway tells the fleet of requests that crash servers.
fn tell(now: Timestamp, from: &mut Harness, to: &mut Harness) {
    for (_, message) in from.gateway.take_quarantine_messages() {
        to.gateway.on_quarantine_message(now, HostId(1), &message);
    }
}

/// Guards against a request that crashes servers for good while others' requests for its path are
/// answered.
#[test]
fn answers_to_other_organisations_clear_no_crashes() {
    let mut harness = harness();

    for i in 0..3 {
        run(&mut harness, at(i * 1_000), &lookup("other-1"), AttemptEnd::Answered);
        crash(&mut harness, at(i * 1_000 + 500), &lookup("acme-1"));
        run(&mut harness, at(i * 1_000 + 600), &lookup("other-1"), AttemptEnd::Answered);
        if is_refused(&mut harness, at(i * 1_000 + 700), lookup("acme-1")) {
            break;
        }
    }

    assert!(is_refused(&mut harness, at(3_000), lookup("acme-1")));
    assert!(!is_refused(&mut harness, at(3_000), lookup("other-1")));
}

#[test]
fn an_answer_to_the_organisation_by_another_key_clears_its_crashes() {
    let mut harness = harness();
    crash(&mut harness, at(0), &lookup("acme-1"));

    run(&mut harness, at(100), &lookup("acme-2"), AttemptEnd::Answered);
    crash(&mut harness, at(11_000), &lookup("acme-1"));

    assert!(!is_refused(&mut harness, at(11_500), lookup("acme-1")));
}

#[test]
fn all_keys_of_an_organisation_send_the_same_request() {
    let mut harness = harness();

    crash(&mut harness, at(0), &lookup("acme-1"));
    crash(&mut harness, at(0), &lookup("acme-2"));

    assert!(is_refused(&mut harness, at(500), lookup("acme-1")));
    assert!(is_refused(&mut harness, at(500), lookup("acme-2")));
    let by_port = RequestHead { host: "Bank.example:8080".to_owned(), ..lookup("acme-1") };
    assert!(is_refused(&mut harness, at(500), by_port));
}

#[test]
fn another_host_service_or_content_makes_another_request() {
    let mut harness = harness();
    crash(&mut harness, at(0), &lookup("acme-1"));
    crash(&mut harness, at(0), &lookup("acme-1"));
    assert!(is_refused(&mut harness, at(500), lookup("acme-1")));

    let elsewhere = RequestHead { host: "shop.example".to_owned(), ..lookup("acme-1") };
    assert!(!is_refused(&mut harness, at(500), elsewhere));
    let content = Fingerprint::of(b"another body");
    assert!(!is_refused(&mut harness, at(500), RequestHead { content, ..lookup("acme-1") }));

    let targets = vec![RouteTarget { service: ledger(), weight: 1 }];
    let moved = config_of(3, vec![Route { targets, ..look() }], organisations());
    harness.gateway.set_config(moved);
    assert!(!is_refused(&mut harness, at(500), lookup("acme-1")));
}

/// Guards against a request that crashes three servers of each part of a split route.
#[test]
fn a_request_is_the_same_whichever_part_of_a_split_route_runs_it() {
    let split = |version, weights: [u32; 2]| {
        let services = [ledger(), common::service()].into_iter().zip(weights);
        let targets = services.map(|(service, weight)| RouteTarget { service, weight }).collect();
        config_of(version, vec![Route { targets, ..look() }], organisations())
    };
    let mut harness = harness_with(split(2, [1, 0]));

    crash(&mut harness, at(0), &lookup("acme-1"));
    harness.gateway.set_config(split(3, [0, 1]));
    crash(&mut harness, at(100), &lookup("acme-1"));

    assert!(is_refused(&mut harness, at(500), lookup("acme-1")));
}

/// The gateways know the organisation by other keys, and it counts as the same caller.
#[test]
fn gateways_with_older_configurations_tell_of_the_same_requests() {
    let old = vec![organisation("acme", &["acme-1"])];
    let mut older = harness_with(config_of(2, vec![look()], old));
    let new = vec![organisation("other", &["other-1"]), organisation("acme", &["acme-2"])];
    let mut newer = harness_with(config_of(3, vec![look(), look_elsewhere()], new));

    crash(&mut older, at(0), &lookup("acme-1"));
    crash(&mut older, at(0), &lookup("acme-1"));
    tell(at(500), &mut older, &mut newer);

    assert!(is_refused(&mut newer, at(500), lookup("acme-2")));
    assert!(!is_refused(&mut newer, at(500), lookup("other-1")));
}

#[test]
fn a_request_that_another_gateway_has_passed_on_is_the_same() {
    let mut harness = harness();
    crash(&mut harness, at(0), &lookup("acme-1"));
    crash(&mut harness, at(0), &lookup("acme-1"));

    let relayed = |key: &str| {
        let service = common::service();
        let head = RelayedHead { service, max_attempts: 2, needs_key_check: true };
        RequestHead { relayed: Some(head), ..lookup(key) }
    };

    assert!(is_refused(&mut harness, at(500), relayed("acme-2")));
    assert!(!is_refused(&mut harness, at(500), relayed("other-1")));
}

/// Older builds tell of requests by their content alone, whoever sends them.
#[test]
fn what_older_builds_tell_neither_refuses_nor_clears_a_request() {
    let mut harness = harness();
    let tell_of = |harness: &mut Harness, clears: u32, crashes: u64| {
        let crash = |number: u64| Crash {
            address: server(number, "north-a").address,
            incarnation: Incarnation(number),
            age_ms: Millis(0),
        };
        let record = RequestRecord {
            fingerprint: lookup("acme-1").content,
            clears,
            cleared_age_ms: Millis(0),
            crashes: (1..=crashes).map(crash).collect(),
        };
        let told = ToldRecords { scope: ReportScope::PassedOn, records: vec![record] };
        let message = QuarantineMessage::Told(told);
        harness.gateway.on_quarantine_message(at(400), HostId(1), &message);
    };

    tell_of(&mut harness, 0, 3);
    assert!(!is_refused(&mut harness, at(500), lookup("acme-1")));
    assert!(!is_refused(&mut harness, at(500), lookup("other-1")));

    crash(&mut harness, at(600), &lookup("acme-1"));
    crash(&mut harness, at(600), &lookup("acme-1"));
    tell_of(&mut harness, 2, 0);
    assert!(is_refused(&mut harness, at(700), lookup("acme-1")));
}
