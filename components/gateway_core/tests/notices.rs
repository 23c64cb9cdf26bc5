//! Tests that backend servers that say that they leave, or that ask for a pause, get no requests.

mod common;

use common::{
    Harness, OWN_HOST, at, entry_host, gateway, head, route, server, server_id, settings,
};
use gateway_core::{
    AttemptEnd, AttemptStart, Gateway, GatewaySettings, Idempotency, LimitNotice, RefusalReason,
    ServerNotice, Step,
};
use ids::{ByteSize, HostId, Incarnation, Millis, RequestId, ServerId, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    server_load::{LoadEvent, LoadReport, ReportScope},
};

const LEAVING: ServerNotice =
    ServerNotice { is_leaving: true, pause: None, limit: LimitNotice::Unknown };

fn pause(millis: u64) -> ServerNotice {
    ServerNotice { pause: Some(Millis(millis)), ..ServerNotice::default() }
}

fn harness(servers: u64) -> Harness {
    let routes = vec![route("look", Idempotency::Idempotent)];
    let servers = (1..=servers).map(|it| server(it, "north-a")).collect();
    Harness::new(routes, servers, vec![entry_host(1, "north-a"), entry_host(2, "north-a")])
}

fn notify(harness: &mut Harness, now: Timestamp, number: u64, notice: ServerNotice) {
    let Announcement { address, incarnation, .. } = server(number, "north-a");
    harness.gateway.on_server_notice(now, address, incarnation, now, notice);
}

/// Sends answered requests for two seconds, in which each available server is tried; returns the
/// servers that got some.
fn used_servers(harness: &mut Harness, from: u64) -> Vec<ServerId> {
    let mut used = Vec::new();
    for i in 0..40 {
        let (sent, ended) = (at(from + i * 50), at(from + i * 50 + 10));
        let path = format!("/look/{from}-{i}");
        let server = harness.run(sent, ended, &path, AttemptEnd::Answered);
        if !used.contains(&server) {
            used.push(server);
        }
    }
    used.sort();
    used
}

/// Begins a request and returns its refusal.
fn refusal(harness: &mut Harness, now: Timestamp, path: &str) -> gateway_core::Refusal {
    let id = harness.begin(now, path);
    match harness.gateway.step(now, id) {
        Step::Finish(gateway_core::Finish::Refuse(refusal)) => refusal,
        step => panic!("the request is not refused: {step:?}"),
    }
}

#[test]
fn a_server_that_says_that_it_leaves_gets_nothing_though_it_is_announced_as_serving() {
    let mut harness = harness(2);
    assert_eq!(used_servers(&mut harness, 0), [server_id(1), server_id(2)]);

    notify(&mut harness, at(3_000), 1, LEAVING);
    assert_eq!(used_servers(&mut harness, 3_000), [server_id(2)]);

    let announcement = Announcement { sequence: 2, ..server(1, "north-a") };
    harness.update(at(6_000), vec![announcement], Vec::new());
    assert_eq!(used_servers(&mut harness, 6_000), [server_id(2)]);
}

#[test]
fn a_server_that_leaves_stays_closed_after_it_was_missing_from_the_registry() {
    let mut harness = harness(2);
    notify(&mut harness, at(0), 1, LEAVING);
    let stopped = Announcement { state: ServerState::Stopped, ..server(1, "north-a") };

    harness.update(at(100), vec![stopped], Vec::new());
    harness.update(at(200), vec![server(1, "north-a")], Vec::new());

    assert_eq!(used_servers(&mut harness, 300), [server_id(2)]);
}

#[test]
fn a_new_incarnation_at_the_address_of_a_server_that_left_gets_requests() {
    let mut harness = harness(2);
    notify(&mut harness, at(0), 1, LEAVING);
    let restarted = Announcement { incarnation: Incarnation(50), ..server(1, "north-a") };

    harness.update(at(100), vec![restarted], Vec::new());

    assert_eq!(used_servers(&mut harness, 200), [server_id(1), server_id(2)]);
}

#[test]
fn a_server_that_says_to_another_gateway_that_it_leaves_gets_nothing() {
    let mut harness = harness(2);
    let Announcement { address, incarnation, .. } = server(1, "north-a");
    let scope = ReportScope::PassedOn;
    let event = LoadEvent::Leaving;
    let report = LoadReport { address, incarnation, scope, in_flight: 0, event };

    harness.gateway.on_report(at(0), HostId(2), &report);

    assert_eq!(used_servers(&mut harness, 0), [server_id(2)]);
}

#[test]
fn a_notice_in_a_late_response_closes_the_server_and_is_told_to_other_gateways() {
    let mut harness = harness(2);
    let (id, start) = harness.send(at(0), "/look/1");
    harness.gateway.forget(at(3_000), id);
    harness.gateway.take_reports();

    harness.gateway.on_server_notice(at(4_000), start.address, start.incarnation, at(0), LEAVING);

    let reports = harness.gateway.take_reports();
    assert!(reports.iter().any(|it| it.report.event == LoadEvent::Leaving), "{reports:?}");
    assert!(!used_servers(&mut harness, 4_000).contains(&start.server));
}

#[test]
fn an_attempt_that_still_connects_is_not_sent_to_a_server_that_closes() {
    let mut harness = harness(2);
    let (_, start) = harness.send(at(0), "/look/1");
    assert!(harness.gateway.may_send(at(1), start.address, start.incarnation, false));

    harness.gateway.on_server_notice(at(2), start.address, start.incarnation, at(0), pause(1_000));

    assert!(!harness.gateway.may_send(at(3), start.address, start.incarnation, false));
    assert!(harness.gateway.may_send(at(1_300), start.address, start.incarnation, false));
}

#[test]
fn a_paused_server_gets_requests_again_after_the_pause() {
    let mut harness = harness(2);
    notify(&mut harness, at(0), 1, pause(2_500));

    assert_eq!(used_servers(&mut harness, 0), [server_id(2)]);
    assert_eq!(used_servers(&mut harness, 3_200), [server_id(1), server_id(2)]);
}

#[test]
fn an_absurd_pause_does_not_block_a_server_for_ever() {
    let mut harness = harness(2);
    notify(&mut harness, at(0), 1, pause(u64::MAX));

    assert_eq!(used_servers(&mut harness, 600_000), [server_id(2)]);
    assert_eq!(used_servers(&mut harness, 3_610_000), [server_id(1), server_id(2)]);
}

#[test]
fn a_service_whose_servers_are_all_paused_refuses_at_once_until_the_first_pause_ends() {
    let mut harness = harness(2);
    notify(&mut harness, at(0), 1, pause(1_000));
    notify(&mut harness, at(0), 2, pause(3_000));

    let first = refusal(&mut harness, at(200), "/look/1");
    let others: Vec<_> =
        (0..20).map(|i| refusal(&mut harness, at(200), &format!("/look/b{i}"))).collect();

    assert_eq!(first.reason, RefusalReason::ServersPaused);
    assert_eq!(first.run, gateway_core::RunStatus::NotRun);
    let waits: Vec<_> = others.iter().map(|it| it.retry_after.unwrap()).collect();
    assert!(waits.iter().all(|it| *it >= Millis(800) && *it <= Millis(1_600)), "{waits:?}");
    let spread = waits.iter().max().unwrap().0 - waits.iter().min().unwrap().0;
    assert!(spread >= 50, "callers return at the same moment: {waits:?}");
    let (_, start) = harness.send(at(1_300), "/look/2");
    assert_eq!(start.server, server_id(1), "the announced time holds");
}

#[test]
fn a_request_that_every_server_turned_away_is_not_told_to_come_back_during_the_pauses() {
    let mut harness = harness(1);
    let (id, start) = harness.send(at(0), "/look/1");
    harness.gateway.on_server_notice(at(5), start.address, start.incarnation, at(0), pause(2_000));
    harness.end(at(5), id, &start, AttemptEnd::Shed);

    let step = harness.gateway.step(at(5), id);

    let Step::Finish(gateway_core::Finish::Refuse(refusal)) = step else { panic!("{step:?}") };
    assert!(refusal.retry_after >= Some(Millis(2_000)), "{refusal:?}");
}

#[test]
fn requests_that_wait_are_refused_as_soon_as_no_server_takes_any() {
    let mut harness = harness(1);
    let sent: Vec<_> = (0..5).map(|i| harness.send(at(0), &format!("/look/{i}"))).collect();
    let waiting: Vec<RequestId> =
        (0..3).map(|i| harness.begin(at(1), &format!("/look/w{i}"))).collect();
    for id in &waiting {
        assert!(matches!(harness.gateway.step(at(1), *id), Step::Wait(_)));
    }
    harness.gateway.take_wakeups();

    let start = &sent[0].1;
    harness.gateway.on_server_notice(
        at(50),
        start.address,
        start.incarnation,
        at(0),
        pause(10_000),
    );

    let woken = harness.gateway.take_wakeups();
    for id in waiting {
        assert!(woken.contains(&id));
        assert!(matches!(harness.gateway.step(at(50), id), Step::Finish(_)));
    }
}

#[test]
fn a_paused_server_gets_no_retry_and_no_hedged_attempt() {
    let mut harness = harness(2);
    used_servers(&mut harness, 0);
    let (id, start) = harness.send(at(3_000), "/look/slow");
    let other = if start.server == server_id(1) { 2 } else { 1 };
    notify(&mut harness, at(3_000), other, pause(5_000));

    for now in (3_000..4_900).step_by(50) {
        assert!(matches!(harness.gateway.step(at(now), id), Step::Wait(_)), "hedged at {now}");
    }
    harness.end(at(4_900), id, &start, AttemptEnd::Lost);

    assert!(!matches!(harness.gateway.step(at(4_900), id), Step::Send(_)));
}

/// Gateways under more load than their servers take, one of which asks for pauses.
struct Overload {
    gateways: Vec<Gateway>,
    reports: Vec<(HostId, HostId, LoadReport)>,
    in_flight: Vec<(usize, RequestId, AttemptStart, u64)>,
    waiting: Vec<(usize, RequestId, Timestamp)>,
    /// Arrivals at the first server, by gateway, and when it asked each gateway for a pause.
    arrivals: Vec<(usize, u64)>,
    pauses: Vec<(usize, u64)>,
}

const GATEWAYS: u32 = 12;
const STEP: u64 = 5;
const PAUSE: u64 = 3_000;

impl Overload {
    fn new() -> Self {
        let servers: Vec<_> = (1..=4).map(|it| server(it, "north-a")).collect();
        let hosts: Vec<_> = (1..=GATEWAYS).map(|it| entry_host(it, "north-a")).collect();
        let routes =
            vec![route("look", Idempotency::Idempotent), route("pay", Idempotency::NonIdempotent)];
        let gateways = (1..=GATEWAYS)
            .map(|it| gateway(HostId(it), routes.clone(), servers.clone(), hosts.clone()));
        Self {
            gateways: gateways.collect(),
            reports: Vec::new(),
            in_flight: Vec::new(),
            waiting: Vec::new(),
            arrivals: Vec::new(),
            pauses: Vec::new(),
        }
    }

    /// Runs with a request a gateway every 50 ms; servers take 200 ms, and the first one turns
    /// requests away from `overloaded_from` on.
    fn run(&mut self, until: u64, overloaded_from: u64) {
        for now in (0..until).step_by(STEP as usize) {
            for (from, to, report) in std::mem::take(&mut self.reports) {
                self.gateways[to.0 as usize - 1].on_report(at(now), from, &report);
            }
            for (i, id, start, sent) in std::mem::take(&mut self.in_flight) {
                let is_turned_away = start.server == server_id(1) && sent >= overloaded_from;
                let latency = if is_turned_away { 5 } else { 200 };
                if now < sent + latency {
                    self.in_flight.push((i, id, start, sent));
                    continue;
                }
                let gateway = &mut self.gateways[i];
                let end = match is_turned_away {
                    true => {
                        let (address, incarnation) = (start.address, start.incarnation);
                        gateway.on_server_notice(
                            at(now),
                            address,
                            incarnation,
                            at(now),
                            pause(PAUSE),
                        );
                        self.pauses.push((i, now));
                        AttemptEnd::Shed
                    }
                    false => AttemptEnd::Answered,
                };
                gateway.attempt_ended(at(now), id, start.attempt, end, ByteSize(1_000));
                self.step(i, id, now);
            }
            for (i, id, due) in std::mem::take(&mut self.waiting) {
                match at(now) >= due {
                    true => self.step(i, id, now),
                    false => self.waiting.push((i, id, due)),
                }
            }
            for i in 0..self.gateways.len() {
                if now % 50 == i as u64 * 4 / STEP * STEP {
                    let path = format!("/{}/{i}-{now}", if i % 2 == 0 { "look" } else { "pay" });
                    if let Ok(id) = self.gateways[i].begin(at(now), head(&path)) {
                        self.step(i, id, now);
                    }
                }
                let from = HostId(i as u32 + 1);
                for outgoing in self.gateways[i].take_reports() {
                    let to = outgoing.to.into_iter();
                    self.reports.extend(to.map(|it| (from, it, outgoing.report.clone())));
                }
            }
        }
    }

    fn step(&mut self, i: usize, id: RequestId, now: u64) {
        loop {
            match self.gateways[i].step(at(now), id) {
                Step::Send(start) => {
                    if start.server == server_id(1) {
                        self.arrivals.push((i, now));
                    }
                    self.in_flight.push((i, id, start, now));
                }
                Step::Wait(due) => return self.waiting.push((i, id, due)),
                Step::Relay(start) => panic!("passed on: {start:?}"),
                Step::Finish(_) => {
                    self.gateways[i].forget(at(now), id);
                    return;
                }
            }
        }
    }
}

#[test]
fn an_overloaded_server_gets_nothing_from_a_gateway_that_it_asked_for_a_pause() {
    let mut overload = Overload::new();

    overload.run(20_000, 4_000);

    assert!(overload.pauses.len() >= GATEWAYS as usize, "all gateways were asked for a pause");
    for (gateway, asked) in &overload.pauses {
        let paused = asked + 10..asked + PAUSE;
        let arrivals =
            overload.arrivals.iter().filter(|(i, at)| i == gateway && paused.contains(at));
        assert_eq!(arrivals.count(), 0, "gateway {gateway} was asked at {asked}");
    }
}

#[test]
fn gateways_do_not_return_to_a_paused_server_at_the_same_moment() {
    let address = server(1, "north-a").address;
    let returns: Vec<u64> = (1..=GATEWAYS)
        .map(|host| {
            let settings = GatewaySettings { seed: u64::from(host), ..settings(OWN_HOST) };
            let mut gateway = Gateway::new(settings);
            gateway.on_server_notice(at(0), address, Incarnation(1), at(0), pause(2_000));
            (0..5_000).find(|it| gateway.may_send(at(*it), address, Incarnation(1), false)).unwrap()
        })
        .collect();

    let (first, last) = (returns.iter().min().unwrap(), returns.iter().max().unwrap());
    assert!(*first >= 2_000 && *last - *first >= 200, "{returns:?}");
    let mut distinct = returns.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > returns.len() / 2, "{returns:?}");
}
