//! The budget of further attempts that the gateways of a data centre share.

mod common;

use common::{Bed, at, entry_host, route, server};
use gateway_core::{AttemptEnd, Idempotency, Step};
use ids::{HostId, Timestamp};
use schema::server_load::{LoadEvent, LoadReport, ReportScope};

/// Further attempts that the data centre may send without any first one: two of the 24 hosts that
/// are assumed share a slack of 48 for the fleet.
const SLACK: usize = 4;

fn bed() -> Bed {
    let servers = (1..=8).map(|i| server(i, "north-a")).collect();
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    Bed::new(vec![route("look", Idempotency::Idempotent)], servers, hosts)
}

/// Sends a request that each server loses; returns how many attempts it got.
fn lose(bed: &mut Bed, now: Timestamp, number: usize) -> usize {
    let id = bed.begin(now, &format!("/look/{number}"));
    let mut attempts = 0;
    while let Step::Send(start) = bed.gateway.step(now, id) {
        attempts += 1;
        bed.end(now, id, &start, AttemptEnd::Lost);
    }
    bed.gateway.forget(now, id);
    attempts
}

#[test]
fn several_further_attempts_at_once_are_within_it() {
    let mut bed = bed();

    let further: usize = (0..3).map(|i| lose(&mut bed, at(i), i as usize) - 1).sum();

    assert_eq!(further, 3);
}

#[test]
fn in_no_window_are_there_more_than_the_share_and_the_slack() {
    let mut bed = bed();
    let mut sent: Vec<(Timestamp, usize)> = Vec::new();
    for i in 0..600 {
        let now = at(i * 50);
        sent.push((now, lose(&mut bed, now, i as usize)));
    }

    for (start, _) in &sent {
        let end = *start + ids::Millis(10_000);
        let window = sent.iter().filter(|(it, _)| it >= start && *it < end);
        let first = window.clone().count();
        let further: usize = window.map(|(_, attempts)| attempts - 1).sum();
        assert!(further * 5 <= first + SLACK * 5, "{further} beside {first}");
    }
}

#[test]
fn what_a_neighbour_spends_is_gone() {
    let mut bed = bed();
    let announcement = server(1, "north-a");
    for i in 0..SLACK {
        let report = LoadReport {
            address: announcement.address,
            incarnation: announcement.incarnation,
            scope: ReportScope::Near,
            in_flight: 1,
            event: LoadEvent::Repeated,
        };
        bed.gateway.on_report(at(i as u64), HostId(2), &report);
    }

    assert_eq!(lose(&mut bed, at(100), 1), 1);
    assert_eq!(lose(&mut bed, at(12_000), 2), 2, "a window later there is room again");
}
