//! Tests the choice of servers under each load pattern that the placement handles.

mod common;

use std::collections::BTreeMap;

use common::{Harness, at, entry_host, route, server, server_id};
use gateway_core::{AttemptEnd, AttemptStart, Idempotency, RefusalReason, Route, Step};
use ids::{HostId, Incarnation, Millis, RequestId, ServerId};
use schema::{
    announcement::ServerState,
    server_load::{Answered, LoadEvent, LoadReport, ReportScope},
    sync::EntryHostRecord,
};

fn idempotent_routes() -> Vec<gateway_core::Route> {
    vec![route("look", Idempotency::Idempotent)]
}

fn mixed_routes() -> Vec<gateway_core::Route> {
    vec![route("pay", Idempotency::NonIdempotent), route("look", Idempotency::Idempotent)]
}

fn report(number: u64, in_flight: u32, event: LoadEvent) -> LoadReport {
    let announcement = server(number, "north-a");
    LoadReport {
        address: announcement.address,
        incarnation: announcement.incarnation,
        scope: ReportScope::Near,
        in_flight,
        event,
    }
}

#[test]
fn calm_traffic_stays_in_the_data_centre() {
    let servers = vec![server(1, "north-a"), server(2, "north-a"), server(3, "north-b")];
    let mut harness = Harness::new(mixed_routes(), servers, vec![entry_host(1, "north-a")]);

    let mut used: BTreeMap<ServerId, u32> = BTreeMap::new();
    for i in 0..100 {
        let sent = at(i * 300);
        let path = if i % 2 == 0 { "/pay/1" } else { "/look/1" };
        *used
            .entry(harness.run(sent, at(i * 300 + 200), path, AttemptEnd::Answered))
            .or_default() += 1;
    }

    assert_eq!(used.get(&server_id(3)), None);
    assert!(used[&server_id(1)] > 20 && used[&server_id(2)] > 20, "{used:?}");
}

#[test]
fn a_request_that_must_not_repeat_leaves_a_server_at_its_first_broken_connection() {
    let servers = vec![server(1, "north-a"), server(2, "north-a"), server(3, "north-b")];
    let mut harness = Harness::new(mixed_routes(), servers, vec![entry_host(1, "north-a")]);
    for i in 0..10 {
        harness.run(at(i * 300), at(i * 300 + 200), "/pay/1", AttemptEnd::Answered);
    }

    let broken = harness.run(at(3_000), at(3_001), "/pay/2", AttemptEnd::Lost);

    for i in 0..12 {
        let now = at(3_010 + i * 200);
        let used = harness.run(now, now, &format!("/pay/{i}"), AttemptEnd::Answered);
        assert_ne!(used, broken, "after {} ms", 10 + i * 200);
    }
}

#[test]
fn a_broken_connection_seen_by_a_neighbour_is_enough() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(mixed_routes(), servers, hosts);
    let lost = LoadEvent::Lost(ids::Fingerprint::of(b"other"));

    harness.gateway.on_report(at(100), HostId(2), &report(1, 0, lost));

    for i in 0..10 {
        let now = at(110 + i * 150);
        let used = harness.run(now, now, "/pay/1", AttemptEnd::Answered);
        assert_eq!(used, server_id(2));
    }
}

#[test]
fn a_server_that_was_broken_comes_back_and_safe_requests_try_it_first() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let mut harness = Harness::new(mixed_routes(), servers, vec![entry_host(1, "north-a")]);
    let broken = harness.run(at(0), at(1), "/pay/1", AttemptEnd::Lost);

    let mut came_back = None;
    for i in 1..200 {
        let now = at(i * 100);
        let path = if i % 2 == 0 { "/pay/2" } else { "/look/2" };
        if harness.run(now, now, path, AttemptEnd::Answered) == broken {
            came_back = Some((i * 100, path));
            break;
        }
    }

    let (after, path) = came_back.expect("the server gets requests again");
    assert_eq!(path, "/look/2");
    assert!((500..2_000).contains(&after), "after {after} ms");
}

#[test]
fn what_neighbours_have_in_flight_sends_work_elsewhere() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(idempotent_routes(), servers, hosts);

    for in_flight in 1..=5 {
        harness.gateway.on_report(at(10), HostId(2), &report(1, in_flight, LoadEvent::Started));
    }

    for i in 0..3 {
        let (_, start) = harness.send(at(20 + i), "/look/1");
        assert_eq!(start.server, server_id(2));
    }
}

#[test]
fn requests_of_a_gateway_that_has_restarted_take_no_slots() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(idempotent_routes(), servers, hosts);
    for number in 1..=2 {
        harness.gateway.on_report(at(10), HostId(2), &report(number, 5, LoadEvent::Started));
    }
    let id = harness.begin(at(20), "/look/1");
    assert!(matches!(harness.gateway.step(at(20), id), Step::Wait(_)), "the servers are full");

    let restarted = EntryHostRecord { incarnation: Incarnation(2), ..entry_host(2, "north-a") };
    harness.update(at(700), Vec::new(), vec![restarted]);

    assert!(matches!(harness.gateway.step(at(700), id), Step::Send(_)));
}

#[test]
fn a_burst_goes_to_the_next_data_centre_and_then_waits() {
    let servers = vec![server(1, "north-a"), server(2, "north-b")];
    let mut harness = Harness::new(idempotent_routes(), servers, vec![entry_host(1, "north-a")]);

    let mut used: BTreeMap<ServerId, u32> = BTreeMap::new();
    let mut waits = 0;
    for i in 0..12 {
        let id = harness.begin(at(i), &format!("/look/{i}"));
        match harness.gateway.step(at(i), id) {
            Step::Send(start) => *used.entry(start.server).or_default() += 1,
            Step::Wait(_) => waits += 1,
            step => panic!("{step:?}"),
        }
    }

    assert_eq!(used[&server_id(1)], 5, "three slots and two in the server's queue");
    assert_eq!(used[&server_id(2)], 5);
    assert_eq!(waits, 2);
}

#[test]
fn a_waiting_request_is_woken_when_a_server_has_room_the_urgent_one_first() {
    let mut urgent = route("urgent", Idempotency::Idempotent);
    urgent.priority = 0;
    let routes = vec![route("look", Idempotency::Idempotent), urgent];
    let mut harness =
        Harness::new(routes, vec![server(1, "north-a")], vec![entry_host(1, "north-a")]);
    let running: Vec<_> = (0..5).map(|i| harness.send(at(i), &format!("/look/{i}"))).collect();
    let waiting = harness.begin(at(10), "/look/9");
    let urgent = harness.begin(at(11), "/urgent/1");
    assert!(matches!(harness.gateway.step(at(10), waiting), Step::Wait(_)));
    assert!(matches!(harness.gateway.step(at(11), urgent), Step::Wait(_)));

    harness.end(at(200), running[0].0, &running[0].1, AttemptEnd::Answered);

    assert_eq!(harness.gateway.take_wakeups(), vec![urgent]);
    assert!(matches!(harness.gateway.step(at(200), urgent), Step::Send(_)));
    assert!(matches!(harness.gateway.step(at(200), waiting), Step::Wait(_)));
}

#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut slow = route("look", Idempotency::Idempotent);
    slow.target_latency = ids::Millis(9_000);
    slow.time_limit = ids::Millis(1_000);
    let mut harness =
        Harness::new(vec![slow], vec![server(1, "north-a")], vec![entry_host(1, "north-a")]);

    let id = harness.begin(at(0), "/look/1");

    let Step::Finish(gateway_core::Finish::Refuse(refusal)) = harness.gateway.step(at(0), id)
    else {
        panic!("the request is not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Busy);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_server_with_work_and_no_answers_is_left_before_its_first_late_answer() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let mut harness = Harness::new(idempotent_routes(), servers, vec![entry_host(1, "north-a")]);
    for i in 0..20 {
        harness.run(at(i * 100), at(i * 100 + 90), "/look/1", AttemptEnd::Answered);
    }
    let (_, stuck) = harness.send(at(3_000), "/look/stuck");

    for i in 0..10 {
        let sent = at(3_900 + i * 20);
        let used = harness.run(sent, sent + ids::Millis(15), "/look/2", AttemptEnd::Answered);
        assert_ne!(used, stuck.server);
    }
}

#[test]
fn a_new_server_gets_work_within_two_seconds() {
    let hosts = vec![entry_host(1, "north-a")];
    let mut harness = Harness::new(mixed_routes(), vec![server(1, "north-a")], hosts);
    for i in 0..20 {
        harness.run(at(i * 200), at(i * 200 + 100), "/pay/1", AttemptEnd::Answered);
    }
    let mut new = server(2, "north-a");
    new.state = ServerState::Starting;
    harness.update(at(5_000), vec![new], Vec::new());

    let used: Vec<_> = (0..10)
        .map(|i| {
            harness.run(at(5_010 + i * 200), at(5_100 + i * 200), "/pay/1", AttemptEnd::Answered)
        })
        .collect();

    assert!(used.contains(&server_id(2)));
}

/// Sends requests for 3 s to two servers, of which the second works on an old request, while a
/// neighbour reports on it now and then; returns how many the second gets.
fn requests_at_busy_server(reported: Option<LoadEvent>) -> usize {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(idempotent_routes(), servers, hosts);
    harness.gateway.on_report(at(900), HostId(2), &report(2, 1, LoadEvent::Started));
    let sent = (1_000..4_000).step_by(20).map(|now| {
        if let Some(event) = reported.as_ref().filter(|_| now % 300 == 0) {
            harness.gateway.on_report(at(now), HostId(2), &report(2, 1, event.clone()));
        }
        harness.run(at(now), at(now + 10), &format!("/look/{now}"), AttemptEnd::Answered)
    });
    sent.filter(|it| *it == server_id(2)).count()
}

#[test]
fn a_server_that_works_on_an_old_request_still_gets_new_ones() {
    assert!(requests_at_busy_server(None) >= 1);
}

#[test]
fn reports_on_old_requests_do_not_count_as_new_ones() {
    assert!(requests_at_busy_server(Some(LoadEvent::Cancelled)) >= 1);
}

#[test]
fn a_server_is_used_again_though_the_report_that_its_late_request_has_ended_was_lost() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let look = Route { time_limit: Millis(1_500), ..route("look", Idempotency::Idempotent) };
    let mut harness = Harness::new(vec![look], servers, hosts);
    harness.gateway.on_report(at(500), HostId(2), &report(2, 1, LoadEvent::Started));
    harness.gateway.on_report(at(1_000), HostId(2), &report(2, 1, LoadEvent::Overdue));

    let used_again = (1_000..20_000).step_by(20).find(|now| {
        let path = format!("/look/{now}");
        harness.run(at(*now), at(now + 10), &path, AttemptEnd::Answered) == server_id(2)
    });

    // Two seconds after the failure it counts as healthy, and then has two seconds as well.
    assert!(used_again.is_some_and(|it| it <= 5_000), "at {used_again:?} ms");
}

#[test]
fn each_sound_server_keeps_part_in_the_work_of_requests_that_must_not_repeat() {
    let servers: Vec<_> = (1..=8).map(|it| server(it, "north-a")).collect();
    let mut harness = Harness::new(mixed_routes(), servers, vec![entry_host(1, "north-a")]);
    let mut last_used_at = [0; 9];
    let mut longest_pause = 0;
    let mut in_flight: Vec<(u64, RequestId, AttemptStart)> = Vec::new();

    // Twenty requests a second; each server is slower than the previous one.
    for sent in (0..15_000).step_by(50) {
        for (ended, id, start) in in_flight.extract_if(.., |it| it.0 <= sent) {
            harness.end(at(ended), id, &start, AttemptEnd::Answered);
            harness.gateway.step(at(ended), id);
            harness.gateway.forget(at(ended), id);
        }
        let (id, start) = harness.send(at(sent), "/pay/1");
        let number = (1..=8).find(|it| server_id(*it) == start.server).unwrap();
        in_flight.push((sent + 60 * number, id, start));
        if sent > 3_000 {
            longest_pause = longest_pause.max(sent - last_used_at[number as usize]);
        }
        last_used_at[number as usize] = sent;
    }

    let last_pause = last_used_at[1..].iter().map(|it| 15_000 - it).max().unwrap();
    assert!(longest_pause.max(last_pause) <= 750, "{longest_pause} {last_pause}");
}

/// Longest times without a request at one server, in milliseconds.
#[derive(Debug, Default)]
struct Pauses {
    after_answer: u64,
    after_loss: u64,
}

/// Returns the longest times from 3 s to 13 s in which one of eight servers receives no request, at
/// twenty non-idempotent requests a second of which one in `loss_interval` is lost.
fn longest_pauses(loss_interval: u64) -> Pauses {
    let servers: Vec<_> = (1..=8).map(|it| server(it, "north-a")).collect();
    let mut harness = Harness::new(mixed_routes(), servers, vec![entry_host(1, "north-a")]);
    let mut last_used = BTreeMap::new();
    let mut longest = Pauses::default();
    for i in 0..260 {
        let sent = i * 50;
        let is_lost = i % loss_interval == 0;
        let end = if is_lost { AttemptEnd::Lost } else { AttemptEnd::Answered };
        let used = harness.run(at(sent), at(sent + 40), "/pay/1", end);
        let Some((before, was_lost)) = last_used.insert(used, (sent, is_lost)) else { continue };
        if sent > 3_000 {
            let pause = if was_lost { &mut longest.after_loss } else { &mut longest.after_answer };
            *pause = sent.saturating_sub(before).max(*pause);
        }
    }
    longest
}

#[test]
fn servers_get_requests_in_time_while_many_are_lost() {
    let pauses = longest_pauses(5);

    assert!(pauses.after_answer <= 2_000, "{pauses:?}");
    // A server counts as healthy two seconds after a loss, and then has two seconds as well.
    assert!(pauses.after_loss <= 4_000, "{pauses:?}");
}

#[test]
fn servers_that_have_just_lost_a_request_are_left_alone_also_while_many_are_lost() {
    assert!(longest_pauses(5).after_loss > 2_500, "{:?}", longest_pauses(5));
}

#[test]
fn servers_that_broke_are_left_alone_for_longer_in_calm_times() {
    assert!(longest_pauses(50).after_loss > 2_500, "{:?}", longest_pauses(50));
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let mut harness = Harness::new(idempotent_routes(), servers, vec![entry_host(1, "north-a")]);
    let mut leaving = server(1, "north-a");
    leaving.state = ServerState::Draining;
    leaving.sequence = 2;

    harness.update(at(100), vec![leaving], Vec::new());

    for i in 0..20 {
        let sent = at(110 + i * 50);
        assert_eq!(harness.run(sent, sent, "/look/1", AttemptEnd::Answered), server_id(2));
    }
}

#[test]
fn a_server_whose_address_was_taken_over_gets_no_new_requests() {
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let mut harness = Harness::new(mixed_routes(), servers, vec![entry_host(1, "north-a")]);

    let (id, first) = harness.send(at(0), "/pay/1");
    harness.end(at(1), id, &first, AttemptEnd::Misplaced);
    let Step::Send(second) = harness.gateway.step(at(1), id) else {
        panic!("the request did not run and must be retried");
    };

    assert_ne!(second.server, first.server);
    for i in 0..10 {
        let sent = at(10 + i * 100);
        assert_eq!(harness.run(sent, sent, "/pay/2", AttemptEnd::Answered), second.server);
    }
}

#[test]
fn losses_at_servers_that_are_known_to_be_broken_send_no_work_to_others_that_broke() {
    let servers: Vec<_> = (1..=5).map(|it| server(it, "north-a")).collect();
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(mixed_routes(), servers, hosts);
    let lost = |number| report(number, 0, LoadEvent::Lost(ids::Fingerprint::of(&[number as u8])));
    let answered = |number| {
        let answered = Answered { latency_ms: 40, route: 0 };
        report(number, 0, LoadEvent::Answered(answered))
    };
    harness.gateway.on_report(at(0), HostId(2), &lost(1));

    // A neighbour tries server 2 again and again, and gets answers from the others.
    let mut used = Vec::new();
    for now in (50..3_000).step_by(50) {
        harness.gateway.on_report(at(now), HostId(2), &lost(2));
        for number in 3..=5 {
            harness.gateway.on_report(at(now), HostId(2), &answered(number));
        }
        used.push(harness.run(at(now + 1), at(now + 40), "/pay/1", AttemptEnd::Answered));
    }

    assert!(!used.contains(&server_id(1)) && !used.contains(&server_id(2)), "{used:?}");
}
