//! Tests that a gateway that can't reach the backend servers passes requests on, and that a gateway
//! that gets them keeps all limits.

mod common;

use std::net::SocketAddr;

use common::{
    Harness, OWN_HOST, at, config, data_centre, entry_host, head, region, route, server, service,
};
use gateway_core::{
    ApiKey, AttemptEnd, CallerNote, Credentials, Event, Finish, GatewayConfig, Idempotency,
    Organisation, PathOutcome, Refusal, RefusalReason, RelayEnd, RelayStart, RelayedHead,
    RequestHead, RunStatus, Step,
};
use ids::{HostId, Millis, RequestId, Timestamp};
use schema::{
    announcement::Announcement,
    server_load::LoadEvent,
    sync::{EntryHostRecord, EntryHostState, Presence},
};

const NEAR: HostId = HostId(2);
const FAR: HostId = HostId(3);

fn harness() -> Harness {
    let routes =
        vec![route("look", Idempotency::Idempotent), route("pay", Idempotency::NonIdempotent)];
    let servers = (1..=6).map(|it| server(it, "north-a")).collect();
    let hosts = vec![
        entry_host(OWN_HOST.0, "north-a"),
        entry_host(NEAR.0, "north-a"),
        entry_host(FAR.0, "south-a"),
    ];
    Harness::new(routes, servers, hosts)
}

fn record_path(harness: &mut Harness, now: Timestamp, number: u64, outcome: PathOutcome) {
    let Announcement { address, incarnation, .. } = server(number, "north-a");
    harness.gateway.on_path_outcome(now, address, incarnation, outcome);
}

/// A gateway whose paths are down since 0 ms.
fn cut_off() -> Harness {
    let mut harness = harness();
    (1..=3).for_each(|it| record_path(&mut harness, at(0), it, PathOutcome::Unreachable));
    assert!(harness.gateway.are_paths_down());
    harness
}

/// Begins a request and expects it to be passed on.
fn relay(harness: &mut Harness, now: Timestamp, path: &str) -> (RequestId, RelayStart) {
    let id = harness.begin(now, path);
    let start = next_relay(harness, now, id);
    (id, start)
}

fn next_relay(harness: &mut Harness, now: Timestamp, id: RequestId) -> RelayStart {
    match harness.gateway.step(now, id) {
        Step::Relay(start) => start,
        step => panic!("the request is not passed on: {step:?}"),
    }
}

fn refusal(harness: &mut Harness, now: Timestamp, id: RequestId) -> Refusal {
    match harness.gateway.step(now, id) {
        Step::Finish(Finish::Refuse(refusal)) => refusal,
        step => panic!("the request is not refused: {step:?}"),
    }
}

fn relayed_head(path: &str, max_attempts: u32) -> RequestHead {
    let relayed = Some(RelayedHead { service: service(), max_attempts, needs_key_check: false });
    RequestHead { relayed, ..head(path) }
}

#[test]
fn a_gateway_that_reaches_no_server_passes_requests_on_to_a_near_gateway() {
    let mut harness = cut_off();

    let (id, start) = relay(&mut harness, at(100), "/pay/1");

    assert_eq!(start.host, NEAR);
    assert_eq!((start.head.service, start.head.max_attempts), (service(), 2));
    assert!(!start.head.needs_key_check);
    assert!(start.time_left < Millis(2_000));
    harness.gateway.relay_ended(at(200), id, start.attempt, RelayEnd::Answered);
    let step = harness.gateway.step(at(200), id);
    assert_eq!(step, Step::Finish(Finish::Answer(start.attempt)));
}

/// A configuration version 2 in which only the organisation `acme` with the key `k1` may call.
fn require_keys(harness: &mut Harness) {
    let acme = Organisation {
        name: "acme".parse().unwrap(),
        keys: vec![ApiKey::new(b"k1")],
        priority: None,
        limit: None,
    };
    let routes = vec![route("pay", Idempotency::NonIdempotent)];
    let config = GatewayConfig { organisations: Some(vec![acme]), ..config(2, routes) };
    harness.gateway.set_config(config);
}

fn with_key(head: RequestHead) -> RequestHead {
    RequestHead { credentials: Credentials::Key(ApiKey::new(b"k1")), ..head }
}

#[test]
fn a_request_with_a_key_is_passed_on_only_to_gateways_that_check_keys() {
    let mut harness = cut_off();
    require_keys(&mut harness);

    let id = harness.gateway.begin(at(100), with_key(head("/pay/1"))).unwrap();

    let start = next_relay(&mut harness, at(100), id);
    assert!(start.head.needs_key_check);
    assert_eq!(start.caller, CallerNote::Organisation("acme".parse().unwrap()));
}

#[test]
fn a_gateway_that_has_no_keys_yet_refuses_a_request_whose_key_must_be_checked() {
    let mut harness = harness();
    let mut request = relayed_head("/pay/1", 2);
    request.relayed.as_mut().unwrap().needs_key_check = true;

    let refusal = harness.gateway.begin(at(0), with_key(request.clone())).unwrap_err();

    assert_eq!(refusal.run, RunStatus::NotRun);
    assert_eq!(harness.gateway.relay_end_of(&refusal), RelayEnd::Unable);
    require_keys(&mut harness);
    assert!(harness.gateway.begin(at(1), with_key(request)).is_ok());
}

#[test]
fn servers_that_are_down_while_others_respond_do_not_take_the_paths_down() {
    let mut harness = harness();
    for i in 0..50 {
        let now = at(i * 100);
        record_path(&mut harness, now, 1 + i % 3, PathOutcome::Unreachable);
        record_path(&mut harness, now, 1 + (i + 1) % 3, PathOutcome::Unreachable);
        record_path(&mut harness, now, 4, PathOutcome::Reached);
    }
    assert!(!harness.gateway.are_paths_down());
}

#[test]
fn one_server_that_fails_again_and_again_does_not_take_the_paths_down() {
    let mut harness = harness();
    for i in 0..50 {
        record_path(&mut harness, at(i * 100), 1, PathOutcome::Unreachable);
    }
    assert!(!harness.gateway.are_paths_down());
}

#[test]
fn a_request_that_reaches_no_server_is_passed_on_before_the_paths_are_down() {
    let mut harness = harness();
    let (id, first) = harness.send(at(0), "/pay/1");
    harness.end(at(350), id, &first, AttemptEnd::Unreachable);
    let Step::Send(second) = harness.gateway.step(at(350), id) else { panic!("a second server") };
    harness.end(at(700), id, &second, AttemptEnd::Unreachable);

    assert_eq!(next_relay(&mut harness, at(700), id).host, NEAR);
}

#[test]
fn a_request_takes_one_hop() {
    let mut harness = harness();
    let id = harness.gateway.begin(at(0), relayed_head("/pay/1", 2)).unwrap();
    for i in 0..2 {
        let now = at(i * 350);
        let Step::Send(start) = harness.gateway.step(now, id) else { panic!("not sent") };
        harness.end(now + Millis(350), id, &start, AttemptEnd::Unreachable);
    }

    let refusal = refusal(&mut harness, at(700), id);

    assert_eq!(refusal.run, RunStatus::NotRun);
    assert!(matches!(harness.gateway.relay_end_of(&refusal), RelayEnd::Refused(_)));
}

#[test]
fn a_gateway_whose_paths_are_down_refuses_the_requests_of_others() {
    let mut harness = cut_off();

    let refusal = harness.gateway.begin(at(100), relayed_head("/pay/1", 2)).unwrap_err();

    assert_eq!((refusal.reason, refusal.run), (RefusalReason::PathsDown, RunStatus::NotRun));
    assert_eq!(harness.gateway.relay_end_of(&refusal), RelayEnd::Unable);
}

#[test]
fn a_gateway_works_on_a_limited_number_of_requests_of_others() {
    let mut harness = harness();
    let begin = |harness: &mut Harness, i: u32| {
        harness.gateway.begin(at(0), relayed_head(&format!("/look/{i}"), 2))
    };
    let accepted: Vec<RequestId> = (0..100).map_while(|it| begin(&mut harness, it).ok()).collect();
    assert!((8..=64).contains(&accepted.len()), "{} accepted", accepted.len());
    let refusal = begin(&mut harness, 100).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooManyRelayed);

    harness.gateway.forget(at(10), accepted[0]);

    assert!(begin(&mut harness, 101).is_ok());
}

#[test]
fn another_gateway_is_asked_when_one_cannot_help_and_it_is_left_alone_for_a_while() {
    let mut harness = cut_off();
    let (id, start) = relay(&mut harness, at(100), "/pay/1");
    harness.gateway.relay_ended(at(110), id, start.attempt, RelayEnd::Unable);

    assert_eq!(next_relay(&mut harness, at(110), id).host, FAR);
    assert_eq!(relay(&mut harness, at(120), "/pay/2").1.host, FAR);
    assert_eq!(relay(&mut harness, at(2_000), "/pay/3").1.host, NEAR);
}

#[test]
fn a_refusal_by_a_gateway_that_reaches_the_servers_is_final() {
    let mut harness = cut_off();
    let (id, start) = relay(&mut harness, at(100), "/pay/1");
    let end = RelayEnd::Refused(Some(Millis(700)));
    harness.gateway.relay_ended(at(110), id, start.attempt, end);

    let refusal = refusal(&mut harness, at(110), id);

    assert_eq!((refusal.reason, refusal.run), (RefusalReason::RelayRefused, RunStatus::NotRun));
    assert_eq!(refusal.retry_after, Some(Millis(700)));
}

#[test]
fn a_request_that_may_have_run_elsewhere_is_not_sent_again() {
    for path in ["/pay/1", "/look/1"] {
        let mut harness = cut_off();
        let (id, start) = relay(&mut harness, at(100), path);
        harness.gateway.relay_ended(at(200), id, start.attempt, RelayEnd::Lost);

        let refusal = refusal(&mut harness, at(200), id);

        assert_eq!((refusal.run, refusal.retry_after), (RunStatus::MayHaveRun, None));
    }
}

#[test]
fn both_gateways_together_reach_no_more_servers_than_the_route_allows() {
    let mut harness = harness();
    let (id, start) = harness.send(at(0), "/look/1");
    (1..=3).for_each(|it| record_path(&mut harness, at(10), it, PathOutcome::Unreachable));
    harness.end(at(20), id, &start, AttemptEnd::Lost);
    assert_eq!(next_relay(&mut harness, at(20), id).head.max_attempts, 1);

    let mut helper = self::harness();
    let id = helper.gateway.begin(at(20), relayed_head("/look/1", 1)).unwrap();
    let Step::Send(start) = helper.gateway.step(at(20), id) else { panic!("not sent") };
    helper.end(at(30), id, &start, AttemptEnd::Lost);
    let step = helper.gateway.step(at(30), id);
    assert!(matches!(step, Step::Finish(Finish::Refuse(it)) if it.run == RunStatus::MayHaveRun));
}

#[test]
fn an_idempotent_request_in_flight_is_passed_on_when_the_paths_go_down() {
    let mut harness = harness();
    let (id, start) = harness.send(at(0), "/look/1");
    (1..=3).for_each(|it| record_path(&mut harness, at(400), it, PathOutcome::Unreachable));
    assert!(harness.gateway.take_wakeups().contains(&id));

    let second = next_relay(&mut harness, at(400), id);

    assert_eq!((second.head.max_attempts, second.host), (1, NEAR));
    harness.end(at(410), id, &start, AttemptEnd::Lost);
    harness.gateway.relay_ended(at(500), id, second.attempt, RelayEnd::Answered);
    let step = harness.gateway.step(at(500), id);
    assert_eq!(step, Step::Finish(Finish::Answer(second.attempt)));
}

#[test]
fn the_paths_are_up_again_once_two_servers_have_responded_to_tests() {
    let mut harness = cut_off();
    let (address, incarnation) = harness.gateway.take_path_probe(at(1_000)).expect("a probe");
    assert_eq!(harness.gateway.take_path_probe(at(1_010)), None);
    let connected = PathOutcome::Connected;
    harness.gateway.on_path_outcome(at(1_020), address, incarnation, connected);

    // Requests that must not run twice don't test paths that have just come back.
    relay(&mut harness, at(1_030), "/pay/1");
    harness.send(at(1_040), "/look/1");
    relay(&mut harness, at(1_050), "/look/2");
    record_path(&mut harness, at(1_060), 1, PathOutcome::Reached);
    assert!(harness.gateway.are_paths_down());
    harness.send(at(1_300), "/look/3");
    record_path(&mut harness, at(1_310), 2, PathOutcome::Reached);

    assert!(!harness.gateway.are_paths_down());
    let is_up = |it: &Event| matches!(it, Event::PathsUp { after: Millis(1_310) });
    assert!(harness.gateway.take_events().iter().any(is_up));
    harness.send(at(1_320), "/pay/2");
}

#[test]
fn a_test_that_fails_starts_the_way_back_anew() {
    let mut harness = cut_off();
    record_path(&mut harness, at(1_000), 1, PathOutcome::Connected);
    record_path(&mut harness, at(1_010), 1, PathOutcome::Reached);
    record_path(&mut harness, at(1_020), 2, PathOutcome::Broken);
    record_path(&mut harness, at(1_030), 3, PathOutcome::Reached);

    assert!(harness.gateway.are_paths_down());
}

#[test]
fn requests_are_sent_as_usual_when_no_gateway_can_help() {
    let mut harness = cut_off();
    let id = harness.begin(at(100), "/pay/1");
    for _ in 0..2 {
        let start = next_relay(&mut harness, at(100), id);
        harness.gateway.relay_ended(at(110), id, start.attempt, RelayEnd::Unable);
    }

    assert!(matches!(harness.gateway.step(at(110), id), Step::Send(_)));
}

#[test]
fn requests_are_not_lost_on_paths_that_accept_connections_and_stay_silent() {
    const INTERVAL: u64 = 400;
    let mut harness = cut_off();
    let (mut waiting, mut answered, mut sent) = (Vec::new(), 0, 0);
    for now in (0..20_000).step_by(20) {
        if let Some((address, incarnation)) = harness.gateway.take_path_probe(at(now)) {
            let connected = PathOutcome::Connected;
            harness.gateway.on_path_outcome(at(now + 5), address, incarnation, connected);
        }
        if now % INTERVAL == 0 {
            let name = if now % (INTERVAL * 3) == 0 { "look" } else { "pay" };
            waiting.push((harness.begin(at(now), &format!("/{name}/{now}")), name));
            sent += 1;
        }
        waiting.retain(|(id, name)| {
            match harness.gateway.step(at(now), *id) {
                // The server never responds.
                Step::Send(_) => assert_eq!(*name, "look", "sent on a path that is down"),
                Step::Relay(start) => {
                    harness.gateway.relay_ended(at(now), *id, start.attempt, RelayEnd::Answered);
                }
                Step::Wait(_) => {}
                Step::Finish(finish) => {
                    answered += u32::from(matches!(finish, Finish::Answer(_)));
                    harness.gateway.forget(at(now), *id);
                    return false;
                }
            }
            true
        });
    }
    assert!(answered * 10 >= sent * 9, "{answered} of {sent} requests are answered");
}

/// Sends requests to one server after the other that get no response; returns how many of them other
/// gateways are told to be overdue there, each by two reports.
fn overdue_told(harness: &mut Harness, count: u64) -> usize {
    let requests: Vec<_> =
        (0..count).map(|it| harness.send(at(it * 10), &format!("/pay/{it}"))).collect();
    for (id, _) in requests {
        harness.gateway.step(at(1_900), id);
    }
    let reports = harness.gateway.take_reports();
    reports.iter().filter(|it| it.report.event == LoadEvent::Overdue).count()
}

#[test]
fn a_gateway_with_overdue_requests_at_one_server_after_the_other_does_not_blame_the_servers() {
    assert_eq!(overdue_told(&mut harness(), 1), 2);
    // The first one is told to the near gateway and to one in the other data centre.
    assert_eq!(overdue_told(&mut harness(), 4), 2);
}

#[test]
fn a_gateway_whose_paths_are_down_does_not_blame_servers() {
    let mut harness = harness();
    let (id, _) = harness.send(at(0), "/pay/1");
    (1..=3).for_each(|it| record_path(&mut harness, at(10), it, PathOutcome::Unreachable));
    harness.gateway.step(at(1_900), id);

    let reports = harness.gateway.take_reports();
    assert!(reports.iter().all(|it| it.report.event != LoadEvent::Overdue));
}

fn detoured(host: HostId, data_centre: &str) -> EntryHostRecord {
    EntryHostRecord { state: EntryHostState::Detoured, ..entry_host(host.0, data_centre) }
}

fn directory(harness: &Harness) -> Vec<SocketAddr> {
    let (region, data_centre) = (region("north-a"), data_centre("north-a"));
    harness.gateway.directory(Some(&region), Some(&data_centre)).addresses
}

#[test]
fn callers_are_told_to_use_gateways_that_reach_the_servers_first() {
    let mut harness = harness();
    let near: Vec<_> = (4..=6).map(|it| entry_host(it, "north-a")).collect();
    let addresses: Vec<_> = near.iter().map(|it| it.caller_address).collect();
    harness.update(at(2_000), Vec::new(), [vec![detoured(NEAR, "north-a")], near].concat());

    assert_eq!(
        directory(&harness),
        [vec![entry_host(1, "north-a").caller_address], addresses].concat()
    );
}

#[test]
fn callers_are_told_to_use_some_gateway_when_none_reaches_the_servers() {
    let mut harness = harness();
    let hosts =
        vec![detoured(OWN_HOST, "north-a"), detoured(NEAR, "north-a"), detoured(FAR, "south-a")];
    harness.update(at(2_000), Vec::new(), hosts);

    assert_eq!(directory(&harness).len(), 3);
}

#[test]
fn a_gateway_that_reaches_no_server_announces_that_at_once() {
    let mut harness = cut_off();
    let poll = harness.gateway.poll(at(10)).expect("a poll is due");
    let Presence::Entry(record) = poll.poll.presence else { panic!("not an entry host") };
    assert_eq!(record.state, EntryHostState::Detoured);
}
