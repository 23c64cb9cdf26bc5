//! Tests when a response counts as overdue, for servers that hold requests without a response.

mod common;

use common::{Harness, at, entry_host, route, server};
use gateway_core::{AttemptEnd, Idempotency, Step};
use ids::HostId;
use schema::server_load::{LoadEvent, ReportScope};

/// A gateway that has a neighbour and has seen responses that take `latencies` in turn.
fn gateway_after(latencies: &[u64]) -> Harness {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let routes = vec![route("pay", Idempotency::NonIdempotent)];
    let mut harness = Harness::new(routes, servers, hosts);
    for i in 0..60 {
        let latency = latencies[i as usize % latencies.len()];
        harness.run(at(i * 500), at(i * 500 + latency), "/pay/1", AttemptEnd::Answered);
    }
    harness.gateway.take_reports();
    harness
}

/// Returns how long a request to a server that sends nothing takes until it is reported as overdue.
fn reported_overdue_after(harness: &mut Harness) -> u64 {
    let sent = 40_000;
    let (id, _) = harness.send(at(sent), "/pay/2");
    for age in (10..2_000).step_by(10) {
        assert!(matches!(harness.gateway.step(at(sent + age), id), Step::Wait(_)));
        let reports = harness.gateway.take_reports();
        let is_overdue = |event: &LoadEvent| !matches!(event, LoadEvent::Started);
        if reports
            .iter()
            .any(|it| it.report.scope == ReportScope::Near && is_overdue(&it.report.event))
        {
            assert!(reports.iter().any(|it| it.to.contains(&HostId(2))));
            return age;
        }
    }
    panic!("the request is not reported as overdue");
}

#[test]
fn a_response_is_overdue_soon_where_latencies_hardly_differ() {
    let mut harness = gateway_after(&[95, 100, 105]);

    let after = reported_overdue_after(&mut harness);

    assert!((190..=300).contains(&after), "after {after} ms");
}

#[test]
fn a_response_has_more_time_where_latencies_differ() {
    let mut harness = gateway_after(&[30, 60, 100, 180, 330]);

    let after = reported_overdue_after(&mut harness);

    assert!(after > 330, "after {after} ms");
}

#[test]
fn a_request_that_is_overdue_keeps_others_away_from_its_server() {
    let mut harness = gateway_after(&[95, 100, 105]);
    let (id, held) = harness.send(at(40_000), "/pay/2");
    harness.gateway.step(at(40_300), id);

    for i in 0..10 {
        let now = at(40_310 + i * 110);
        let used = harness.run(now, now + ids::Millis(100), "/pay/3", AttemptEnd::Answered);

        assert_ne!(used, held.server);
    }
}

#[test]
fn a_late_response_shows_that_the_server_was_only_slow() {
    let mut harness = gateway_after(&[95, 100, 105]);
    let (id, slow) = harness.send(at(40_000), "/pay/2");
    harness.gateway.step(at(40_300), id);
    harness.end(at(40_400), id, &slow, AttemptEnd::Answered);
    harness.gateway.step(at(40_400), id);
    harness.gateway.forget(at(40_400), id);

    let used: Vec<_> = (0..15)
        .map(|i| {
            let now = at(40_410 + i * 110);
            harness.run(now, now + ids::Millis(100), "/pay/3", AttemptEnd::Answered)
        })
        .collect();

    assert!(used.contains(&slow.server), "{used:?}");
}

#[test]
fn a_service_of_one_quick_server_is_not_refused_after_a_response_of_some_tens_of_milliseconds() {
    let routes =
        vec![route("look", Idempotency::Idempotent), route("pay", Idempotency::NonIdempotent)];
    let hosts = vec![entry_host(1, "north-a")];
    let mut harness = Harness::new(routes, vec![server(1, "north-a")], hosts);
    for i in 0..3 {
        harness.run(at(i * 100), at(i * 100 + 1), "/look/1", AttemptEnd::Answered);
    }

    let (id, start) = harness.send(at(500), "/look/1");
    for age in 1..37 {
        harness.gateway.step(at(500 + age), id);
    }
    harness.end(at(537), id, &start, AttemptEnd::Answered);
    harness.gateway.step(at(537), id);
    harness.gateway.forget(at(537), id);

    let other = harness.begin(at(540), "/pay/1");
    let step = harness.gateway.step(at(540), other);
    assert!(matches!(step, Step::Send(_)), "{step:?}");
}
