//! Tests the retry budget that the gateways of a data centre share.

mod common;

use common::{Harness, at, entry_host, route, server};
use gateway_core::{AttemptEnd, Idempotency, Step};
use ids::{HostId, Timestamp};
use schema::server_load::{LoadEvent, LoadReport, ReportScope};

/// Retries that the data centre may send without any first attempts: two of the 24 assumed hosts
/// share a fleet-wide slack of 48.
const SLACK: usize = 4;

fn harness() -> Harness {
    let servers = (1..=8).map(|i| server(i, "north-a")).collect();
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    Harness::new(vec![route("look", Idempotency::Idempotent)], servers, hosts)
}

/// Sends a request that every server loses; returns its number of attempts.
fn lose(harness: &mut Harness, now: Timestamp, number: usize) -> usize {
    let id = harness.begin(now, &format!("/look/{number}"));
    let mut attempts = 0;
    while let Step::Send(start) = harness.gateway.step(now, id) {
        attempts += 1;
        harness.end(now, id, &start, AttemptEnd::Lost);
    }
    harness.gateway.forget(now, id);
    attempts
}

#[test]
fn several_retries_at_once_are_within_the_budget() {
    let mut harness = harness();

    let retries: usize = (0..3).map(|i| lose(&mut harness, at(i), i as usize) - 1).sum();

    assert_eq!(retries, 3);
}

#[test]
fn no_window_exceeds_the_share_and_the_slack() {
    let mut harness = harness();
    let mut sent: Vec<(Timestamp, usize)> = Vec::new();
    for i in 0..600 {
        let now = at(i * 50);
        sent.push((now, lose(&mut harness, now, i as usize)));
    }

    for (start, _) in &sent {
        let end = *start + ids::Millis(10_000);
        let window = sent.iter().filter(|(it, _)| it >= start && *it < end);
        let first = window.clone().count();
        let retries: usize = window.map(|(_, attempts)| attempts - 1).sum();
        assert!(retries * 5 <= first + SLACK * 5, "{retries} retries for {first} first attempts");
    }
}

#[test]
fn retries_of_another_gateway_use_up_the_budget() {
    let mut harness = harness();
    let announcement = server(1, "north-a");
    for i in 0..SLACK {
        let report = LoadReport {
            address: announcement.address,
            incarnation: announcement.incarnation,
            scope: ReportScope::Near,
            in_flight: 1,
            event: LoadEvent::Repeated,
        };
        harness.gateway.on_report(at(i as u64), HostId(2), &report);
    }

    assert_eq!(lose(&mut harness, at(100), 1), 1);
    assert_eq!(lose(&mut harness, at(12_000), 2), 2, "the budget recovers after one window");
}
