//! Tests that the gateways of a fleet together keep to the limits that backend servers name, whether
//! or not they hear each other.

mod common;

use std::{collections::BTreeMap, ops::Range};

use common::{
    Harness, at, data_centre, entry_host, gateway_of_fleet, head, region, route, server, server_id,
    settings,
};
use gateway_core::{
    AttemptEnd, AttemptStart, Finish, Gateway, GatewaySettings, Idempotency, LimitNotice,
    PathOutcome, RefusalReason, Route, ServerNotice, Step,
};
use ids::{ByteSize, HostId, Incarnation, LimitRate, Millis, PermitNumber, RequestId, Timestamp};
use quarantine::Recorder;
use registry::LimitLeases;
use schema::{
    announcement::{Announcement, ServerState},
    quarantine::QuarantineMessage,
    server_limit::{LimitLeaseAnswer, PermitAnswer, PermitAsk, PermitOutcome, ServerLimitMessage},
    server_load::{LimitNamed, LoadReport},
};

/// Number of gateways, half of them in each of two data centres.
const GATEWAYS: u32 = 12;

/// Ids of the control hosts.
const CONTROL_HOSTS: Range<u32> = 200..205;

/// Milliseconds per simulation step; messages arrive in the next step.
const STEP: u64 = 5;

/// Milliseconds that servers take to respond.
const SERVICE_TIME: u64 = 40;

/// Length of the windows in which a server counts requests, in milliseconds.
const WINDOW: u64 = 4_000;

/// Milliseconds after a limit was first named from which it has to hold.
const SETTLING_TIME: u64 = 2_500;

/// Milliseconds after a gateway first received a limit from which its requests count.
const TOLD_AFTER: u64 = 500;

/// Milliseconds after the start at which the control hosts grant leases.
const LEASES_FROM: u64 = 3_000;

/// A message on its way.
enum Message {
    Report(LoadReport),
    Limit(ServerLimitMessage),
    Quarantine(QuarantineMessage),
}

/// A response on its way to a gateway.
struct Response {
    due: u64,
    gateway: usize,
    incarnation: u64,
    request: RequestId,
    start: AttemptStart,
    sent_at: u64,
    limit: LimitNotice,
}

/// What disturbs the fleet for a time.
#[derive(Clone, Copy)]
struct Faults {
    /// Gateways that are frozen; what is sent to them arrives when they continue.
    frozen: u32,
    /// Gateways that exchange no messages with other gateways.
    deaf: u32,
    /// Gateways that exchange no messages with control hosts.
    cut_off: u32,
}

const NO_FAULTS: Faults = Faults { frozen: 0, deaf: 0, cut_off: 0 };

fn has(set: u32, i: usize) -> bool {
    set >> i & 1 == 1
}

/// How a request ended; times are in milliseconds.
struct Ended {
    sent: u64,
    took: u64,
    route: String,
    finish: Finish,
}

impl Ended {
    fn is_answered(&self) -> bool {
        matches!(self.finish, Finish::Answer(_))
    }
}

/// Gateways, control hosts and servers.
struct Fleet {
    gateways: Vec<Gateway>,
    incarnations: Vec<u64>,
    leases: Vec<LimitLeases>,
    recorders: Vec<Recorder>,
    routes: Vec<Route>,
    servers: u64,
    /// The hosts that each gateway knows.
    known_hosts: Vec<Vec<u32>>,
    /// Milliseconds between two requests of a gateway.
    request_interval: u64,
    /// Limits that servers name, by number.
    limits: BTreeMap<u64, LimitRate>,
    /// Milliseconds that messages take, beyond the next step.
    message_time: u64,
    /// Messages on their way, and when they are due.
    messages: Vec<(u64, HostId, HostId, Message)>,
    responses: Vec<Response>,
    waiting: Vec<(usize, u64, RequestId, Timestamp)>,
    /// When each gateway process first received the limit of a server.
    told_at: BTreeMap<(usize, u64, u64), u64>,
    /// Requests at each server: when, and whether the gateway had received its limit before.
    arrivals: BTreeMap<u64, Vec<(u64, bool)>>,
    ended: Vec<Ended>,
    begun: BTreeMap<(usize, u64, u64), (u64, String)>,
}

impl Fleet {
    fn new(servers: u64, request_interval: u64) -> Self {
        Self::with_routes(servers, request_interval, vec![route("look", Idempotency::Idempotent)])
    }

    fn with_routes(servers: u64, request_interval: u64, routes: Vec<Route>) -> Self {
        let mut fleet = Self {
            gateways: Vec::new(),
            incarnations: vec![1; GATEWAYS as usize],
            leases: CONTROL_HOSTS.map(|_| LimitLeases::new(at(0))).collect(),
            recorders: CONTROL_HOSTS.map(|_| Recorder::new(at(0), true)).collect(),
            routes,
            servers,
            known_hosts: vec![(1..=GATEWAYS).collect(); GATEWAYS as usize],
            request_interval,
            limits: BTreeMap::new(),
            message_time: 0,
            messages: Vec::new(),
            responses: Vec::new(),
            waiting: Vec::new(),
            told_at: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            ended: Vec::new(),
            begun: BTreeMap::new(),
        };
        fleet.gateways = (0..GATEWAYS as usize).map(|it| fleet.start_gateway(it, 0)).collect();
        fleet
    }

    fn start_gateway(&self, i: usize, now: u64) -> Gateway {
        let place = place_of(i as u32 + 1);
        let settings = GatewaySettings {
            started: at(now),
            region: region(place),
            data_centre: data_centre(place),
            incarnation: Incarnation(self.incarnations[i]),
            ..settings(HostId(i as u32 + 1))
        };
        let servers = (1..=self.servers).map(server_of).collect();
        let hosts = self.known_hosts[i].iter().map(|it| entry_host(*it, place_of(*it)));
        let control_hosts = CONTROL_HOSTS.map(HostId).collect();
        gateway_of_fleet(settings, self.routes.clone(), servers, hosts.collect(), control_hosts)
    }

    /// Replaces these gateways by new processes.
    fn restart(&mut self, now: u64, set: u32) {
        for i in (0..self.gateways.len()).filter(|it| has(set, *it)) {
            self.incarnations[i] += 1;
            self.gateways[i] = self.start_gateway(i, now);
            self.waiting.retain(|(gateway, ..)| *gateway != i);
        }
    }

    fn run(&mut self, time: Range<u64>, faults: Faults) {
        for now in time.step_by(STEP as usize) {
            self.deliver(now, faults);
            self.respond(now, faults);
            let wakeups: Vec<Vec<RequestId>> =
                self.gateways.iter_mut().map(Gateway::take_wakeups).collect();
            for (i, incarnation, id, due) in std::mem::take(&mut self.waiting) {
                let is_due = wakeups[i].contains(&id) || at(now) >= due;
                match is_due && !has(faults.frozen, i) {
                    true => self.step(i, id, now),
                    false => self.waiting.push((i, incarnation, id, due)),
                }
            }
            for i in 0..self.gateways.len() {
                let offset = i as u64 * self.request_interval / u64::from(GATEWAYS) / STEP * STEP;
                if now % self.request_interval == offset && !has(faults.frozen, i) {
                    self.request(i, now);
                }
                self.collect(i, now);
            }
        }
    }

    fn deliver(&mut self, now: u64, faults: Faults) {
        for (due, from, to, message) in std::mem::take(&mut self.messages) {
            let gateway = |it: HostId| it.0 <= GATEWAYS;
            let i = to.0 as usize - 1;
            if due > now || gateway(to) && has(faults.frozen, i) {
                self.messages.push((due, from, to, message));
                continue;
            }
            let between_gateways = gateway(from) && gateway(to);
            let ends = [from, to].into_iter().filter(|it| gateway(*it));
            let cuts = if between_gateways { faults.deaf } else { faults.cut_off };
            if ends.into_iter().any(|it| has(cuts, it.0 as usize - 1)) {
                continue;
            }
            match message {
                Message::Report(report) => self.gateways[i].on_report(at(now), from, &report),
                Message::Limit(message) if gateway(to) => {
                    self.gateways[i].on_server_limit(at(now), from, &message);
                }
                Message::Limit(message) => self.on_control_message(now, from, to, &message),
                Message::Quarantine(message) if gateway(to) => {
                    self.gateways[i].on_quarantine_message(at(now), from, &message);
                }
                Message::Quarantine(message) => {
                    let recorder = &mut self.recorders[(to.0 - CONTROL_HOSTS.start) as usize];
                    let sender = (from, Incarnation(self.incarnations[from.0 as usize - 1]));
                    let answers = recorder.on_message(at(now), sender, 0, &message).into_iter();
                    let due = now + self.message_time;
                    let answers = answers.map(|it| (due, to, from, Message::Quarantine(it)));
                    self.messages.extend(answers);
                }
            }
        }
    }

    fn on_control_message(
        &mut self,
        now: u64,
        from: HostId,
        to: HostId,
        message: &ServerLimitMessage,
    ) {
        let holder = (from, Incarnation(self.incarnations[from.0 as usize - 1]));
        let leases = &mut self.leases[(to.0 - CONTROL_HOSTS.start) as usize];
        match message {
            ServerLimitMessage::LeaseAsk(ask) => {
                let is_granted = leases.grant(at(now), holder, ask);
                let answer = LimitLeaseAnswer { number: ask.number, is_granted };
                let answer = Message::Limit(ServerLimitMessage::LeaseAnswer(answer));
                self.messages.push((now + self.message_time, to, from, answer));
            }
            ServerLimitMessage::LeaseRelease(release) => leases.release(holder, release),
            _ => panic!("a message that is not for control hosts"),
        }
    }

    fn respond(&mut self, now: u64, faults: Faults) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.responses)
            .into_iter()
            .partition(|it| it.due <= now && !has(faults.frozen, it.gateway));
        self.responses = later;
        for response in due {
            let i = response.gateway;
            if self.incarnations[i] != response.incarnation {
                continue;
            }
            let AttemptStart { attempt, address, incarnation, .. } = response.start;
            let number = incarnation.0;
            if matches!(response.limit, LimitNotice::Limited(_)) {
                self.told_at.entry((i, response.incarnation, number)).or_insert(now);
            }
            let notice = ServerNotice { limit: response.limit, ..ServerNotice::default() };
            let gateway = &mut self.gateways[i];
            gateway.on_server_notice(at(now), address, incarnation, at(response.sent_at), notice);
            gateway.on_path_outcome(at(now), address, incarnation, PathOutcome::Reached);
            let end = AttemptEnd::Answered;
            gateway.attempt_ended(at(now), response.request, attempt, end, ByteSize(100));
            self.waiting.retain(|(gateway, _, id, _)| (*gateway, *id) != (i, response.request));
            self.step(i, response.request, now);
        }
    }

    fn request(&mut self, i: usize, now: u64) {
        for n in 0..self.routes.len() {
            let name = self.routes[n].name.clone();
            let path = format!("/{name}/{i}-{now}");
            let id = self.gateways[i].begin(at(now), head(&path)).expect("a request is accepted");
            self.begun.insert((i, self.incarnations[i], id.0), (now, name));
            self.step(i, id, now);
        }
    }

    /// Performs the steps of a request until it waits or ends.
    fn step(&mut self, i: usize, id: RequestId, now: u64) {
        let incarnation = self.incarnations[i];
        loop {
            match self.gateways[i].step(at(now), id) {
                Step::Send(start) => self.arrive(i, id, start, now),
                Step::Wait(due) => return self.waiting.push((i, incarnation, id, due)),
                Step::Relay(start) => panic!("passed on: {start:?}"),
                Step::Finish(finish) => {
                    self.gateways[i].forget(at(now), id);
                    if let Some((sent, route)) = self.begun.remove(&(i, incarnation, id.0)) {
                        self.ended.push(Ended { sent, took: now - sent, route, finish });
                    }
                    return;
                }
            }
        }
    }

    fn arrive(&mut self, i: usize, request: RequestId, start: AttemptStart, now: u64) {
        let number = start.incarnation.0;
        let incarnation = self.incarnations[i];
        let told_at = self.told_at.get(&(i, incarnation, number));
        let is_told = told_at.is_some_and(|it| now >= it + TOLD_AFTER);
        self.arrivals.entry(number).or_default().push((now, is_told));
        let limit = self.limits.get(&number).copied();
        let limit = limit.map_or(LimitNotice::Unlimited, LimitNotice::Limited);
        let due = now + SERVICE_TIME;
        let sent_at = now;
        let gateway = i;
        self.responses.push(Response { due, gateway, incarnation, request, start, sent_at, limit });
    }

    fn collect(&mut self, i: usize, now: u64) {
        let from = HostId(i as u32 + 1);
        let due = now + self.message_time;
        for outgoing in self.gateways[i].take_reports() {
            let reports = outgoing.to.iter().map(|it| (*it, outgoing.report.clone()));
            self.messages.extend(reports.map(|(to, it)| (due, from, to, Message::Report(it))));
        }
        let messages = self.gateways[i].take_limit_messages().into_iter();
        self.messages.extend(messages.map(|(to, it)| (due, from, to, Message::Limit(it))));
        let messages = self.gateways[i].take_quarantine_messages().into_iter();
        self.messages.extend(messages.map(|(to, it)| (due, from, to, Message::Quarantine(it))));
    }

    /// Returns the most requests at a server in a window from `from` on, of gateways that had
    /// received its limit.
    fn most_in_window(&self, number: u64, from: u64) -> usize {
        let counted: Vec<u64> = self.arrivals[&number]
            .iter()
            .filter(|(at, is_told)| *at >= from && *is_told)
            .map(|(at, _)| *at)
            .collect();
        let in_window =
            |start: &u64| counted.iter().filter(|it| (*start..start + WINDOW).contains(it)).count();
        counted.iter().map(in_window).max().unwrap_or(0)
    }

    fn assert_within_limit(&self, number: u64, from: u64) {
        let allowed = allowed(self.limits[&number]);
        let most = self.most_in_window(number, from);
        assert!(
            most <= allowed,
            "{most} requests in a window at server {number}, {allowed} allowed"
        );
    }

    /// Returns the number of requests at a server in a time.
    fn arrived(&self, number: u64, time: Range<u64>) -> usize {
        self.arrivals[&number].iter().filter(|(at, _)| time.contains(at)).count()
    }
}

/// Returns the number of requests that a server accepts in a window.
fn allowed(limit: LimitRate) -> usize {
    (limit.0 * WINDOW * 3 / 2 / 1_000_000) as usize + 5
}

fn place_of(host: u32) -> &'static str {
    if host.is_multiple_of(2) { "north-a" } else { "south-a" }
}

fn server_of(number: u64) -> Announcement {
    server(number, if number.is_multiple_of(2) { "north-a" } else { "south-a" })
}

fn limited(servers: u64, request_interval: u64, limits: &[(u64, u64)]) -> Fleet {
    let mut fleet = Fleet::new(servers, request_interval);
    fleet.run(0..LEASES_FROM, NO_FAULTS);
    fleet.limits = limits.iter().map(|(number, rate)| (*number, LimitRate(*rate))).collect();
    fleet
}

#[test]
fn gateways_that_hear_each_other_keep_to_a_limit_and_use_it() {
    let mut fleet = limited(4, 50, &[(1, 1_000), (2, 1_800)]);
    fleet.run(3_000..23_000, NO_FAULTS);

    for (number, limit) in [(1, 1), (2, 2)] {
        fleet.assert_within_limit(number, 3_000 + SETTLING_TIME);
        let arrived = fleet.arrived(number, 8_000..23_000);
        assert!(arrived >= 15 * limit / 2, "{arrived} requests in 15 s at server {number}");
    }
    assert_eq!(fleet.ended.iter().filter(|it| it.is_answered()).count(), fleet.ended.len());
}

#[test]
fn gateways_that_do_not_hear_each_other_keep_to_a_limit() {
    let mut fleet = limited(3, 50, &[(1, 1_000), (2, 1_800), (3, 5_000)]);
    fleet.run(3_000..20_000, Faults { deaf: u32::MAX, ..NO_FAULTS });

    (1..=3).for_each(|it| fleet.assert_within_limit(it, 3_000 + SETTLING_TIME));
}

#[test]
fn gateways_that_know_different_hosts_keep_to_a_limit() {
    let mut fleet = limited(2, 50, &[(1, 1_000), (2, 3_000)]);
    for i in 0..GATEWAYS as usize {
        fleet.known_hosts[i] = (1..=GATEWAYS).filter(|it| it % 4 == (i as u32 + 1) % 4).collect();
    }
    fleet.restart(3_000, u32::MAX);
    fleet.run(3_000..25_000, NO_FAULTS);

    (1..=2).for_each(|it| fleet.assert_within_limit(it, 3_000 + SETTLING_TIME));
    assert!(fleet.arrived(2, 10_000..25_000) >= 15, "the server is used");
}

#[test]
fn gateways_without_control_hosts_keep_to_a_limit() {
    let mut fleet = limited(2, 50, &[(1, 1_000), (2, 3_000)]);
    fleet.run(3_000..10_000, NO_FAULTS);
    fleet.run(10_000..20_000, Faults { cut_off: u32::MAX, ..NO_FAULTS });
    fleet.run(20_000..30_000, NO_FAULTS);

    (1..=2).for_each(|it| fleet.assert_within_limit(it, 3_000 + SETTLING_TIME));
    assert!(fleet.arrived(2, 24_000..30_000) >= 9, "the server is used again");
}

#[test]
fn gateways_that_restart_one_after_the_other_keep_to_a_limit() {
    let mut fleet = limited(2, 50, &[(1, 1_000), (2, 3_000)]);
    fleet.run(3_000..8_000, NO_FAULTS);
    for i in 0..u64::from(GATEWAYS) {
        fleet.restart(8_000 + i * 500, 1 << i);
        fleet.run(8_000 + i * 500..8_500 + i * 500, NO_FAULTS);
    }
    fleet.run(14_000..20_000, NO_FAULTS);

    (1..=2).for_each(|it| fleet.assert_within_limit(it, 3_000 + SETTLING_TIME));
}

#[test]
fn limits_hold_through_random_freezes_cuts_and_restarts() {
    const CASES: u64 = 10;
    const ENTROPY_BYTES: u64 = 1_024;
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | ENTROPY_BYTES;
        arbtest::arbtest(|u| {
            let mut fleet = limited(3, 60, &[(1, 1_000), (2, 1_800), (3, 4_000)]);
            for phase in 0..8 {
                let from = 3_000 + phase * 2_000;
                let mut some = || if u.ratio(1, 2)? { u.arbitrary() } else { Ok(0) };
                let faults = Faults { frozen: some()?, deaf: some()?, cut_off: some()? };
                fleet.restart(from, some()? & some()?);
                fleet.run(from..from + 2_000, faults);
            }
            (1..=3).for_each(|it| fleet.assert_within_limit(it, 3_000 + SETTLING_TIME));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn requests_above_the_limits_of_all_servers_are_refused_at_once_and_urgent_ones_go_first() {
    let urgent = Route { priority: 0, ..route("pay", Idempotency::Idempotent) };
    let usual = Route { priority: 2, ..route("look", Idempotency::Idempotent) };
    let mut fleet = Fleet::with_routes(4, 600, vec![usual, urgent]);
    fleet.run(0..LEASES_FROM, NO_FAULTS);
    fleet.limits = (1..=4).map(|it| (it, LimitRate(4_000))).collect();
    fleet.run(3_000..30_000, NO_FAULTS);

    (1..=4).for_each(|it| fleet.assert_within_limit(it, 3_000 + SETTLING_TIME));
    let settled = fleet.ended.iter().filter(|it| (8_000..28_000).contains(&it.sent));
    let served = |route: &str| {
        let of_route: Vec<_> = settled.clone().filter(|it| it.route == route).collect();
        let answered = of_route.iter().filter(|it| it.is_answered()).count();
        answered as f64 / of_route.len() as f64
    };
    let (urgent, usual) = (served("pay"), served("look"));
    assert!(urgent >= usual, "{urgent} of the urgent requests are served, {usual} of the others");
    let capacity: usize = (1..=4).map(|it| fleet.arrived(it, 8_000..28_000)).sum();
    assert!(capacity >= 200, "{capacity} of the 320 requests that the limits allow");
    for ended in settled {
        if let Finish::Refuse(refusal) = ended.finish {
            assert_eq!(refusal.reason, RefusalReason::ServersAtLimit);
            assert!(refusal.retry_after.is_some());
        }
    }
}

/// Two servers that take 4 requests a second each, and gateways that hear each other after 50 ms.
fn slow_fleet_with_two_servers(request_interval: u64) -> Fleet {
    let mut fleet = limited(2, request_interval, &[(1, 4_000), (2, 4_000)]);
    fleet.message_time = 50;
    fleet.run(3_000..33_000, NO_FAULTS);
    fleet.ended.retain(|it| (8_000..30_000).contains(&it.sent));
    fleet
}

#[test]
fn a_request_that_is_denied_one_permit_after_the_other_is_refused_within_its_target_latency() {
    let fleet = slow_fleet_with_two_servers(120);

    let (answered, refused): (Vec<_>, Vec<_>) = fleet.ended.iter().partition(|it| it.is_answered());
    let longest = refused.iter().map(|it| it.took).max();
    assert!(longest < Some(900), "refused after {longest:?} ms");
    let in_time = answered.iter().filter(|it| it.took <= 900).count();
    assert!(in_time >= 160, "{in_time} of the 176 requests that the limits allow have a response");
}

#[test]
fn requests_below_the_limits_of_all_servers_are_served_though_gateways_hear_each_other_late() {
    let fleet = slow_fleet_with_two_servers(1_700);

    let refused = fleet.ended.iter().filter(|it| !it.is_answered()).count();
    assert_eq!(refused, 0, "of {} requests", fleet.ended.len());
}

#[test]
fn a_server_that_names_a_limit_of_zero_still_gets_some_requests() {
    let mut fleet = limited(2, 50, &[(1, 0)]);
    fleet.run(3_000..40_000, NO_FAULTS);

    fleet.assert_within_limit(1, 3_000 + SETTLING_TIME);
    assert!(fleet.arrived(1, 15_000..40_000) >= 1);
}

#[test]
fn a_server_gets_its_share_again_once_it_names_no_limit() {
    let mut fleet = limited(2, 50, &[(1, 1_000)]);
    fleet.run(3_000..10_000, NO_FAULTS);
    fleet.limits.clear();
    fleet.run(10_000..20_000, NO_FAULTS);

    let arrived = fleet.arrived(1, 15_000..20_000);
    assert!(arrived >= 200, "{arrived} of 1,200 requests in 5 s");
}

/// A gateway with one server, which has named a limit at 1,000 ms.
fn limited_gateway() -> Harness {
    let routes = vec![route("look", Idempotency::Idempotent)];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(routes, vec![server(1, "north-a")], hosts);
    notify(&mut harness, (1_000, 900), LimitNotice::Limited(LimitRate(2_000)));
    harness
}

/// Receives a notice at the first time, in the response to a request sent at the second one.
fn notify(harness: &mut Harness, (now, sent_at): (u64, u64), limit: LimitNotice) {
    let Announcement { address, incarnation, .. } = server(1, "north-a");
    let notice = ServerNotice { limit, ..ServerNotice::default() };
    harness.gateway.on_server_notice(at(now), address, incarnation, at(sent_at), notice);
}

fn limit(harness: &Harness) -> Option<LimitRate> {
    harness.gateway.server_limit(&server_id(1))
}

#[test]
fn a_response_without_a_limit_to_an_older_request_does_not_end_the_limit() {
    let mut harness = limited_gateway();
    notify(&mut harness, (1_200, 950), LimitNotice::Unlimited);
    assert_eq!(limit(&harness), Some(LimitRate(2_000)));

    notify(&mut harness, (1_300, 1_100), LimitNotice::Unlimited);
    assert_eq!(limit(&harness), None);
}

#[test]
fn a_limit_ends_though_other_gateways_that_know_it_keep_asking_for_permits() {
    let mut harness = limited_gateway();
    let Announcement { address, incarnation, .. } = server(1, "north-a");
    for now in (1_100..3_000).step_by(100) {
        let limit = LimitNamed {
            rate: LimitRate(2_000),
            age_ms: Millis(now - 900),
            named_age_ms: Millis(now - 1_000),
        };
        let number = PermitNumber(now);
        let ask = PermitAsk { number, address, incarnation, limit, max_wait_ms: Millis(0) };
        harness.gateway.on_server_limit(at(now), HostId(2), &ServerLimitMessage::PermitAsk(ask));
    }

    notify(&mut harness, (2_910, 2_890), LimitNotice::Unlimited);

    assert_eq!(limit(&harness), None);
}

#[test]
fn a_late_response_does_not_bring_an_old_limit_back() {
    let mut harness = limited_gateway();
    notify(&mut harness, (1_300, 1_100), LimitNotice::Unlimited);
    notify(&mut harness, (1_400, 800), LimitNotice::Limited(LimitRate(2_000)));
    assert_eq!(limit(&harness), None);

    notify(&mut harness, (1_500, 1_350), LimitNotice::Limited(LimitRate(3_000)));
    notify(&mut harness, (1_600, 1_340), LimitNotice::Limited(LimitRate(2_000)));
    assert_eq!(limit(&harness), Some(LimitRate(3_000)));
}

#[test]
fn a_value_that_cannot_be_read_changes_nothing() {
    let mut harness = limited_gateway();
    notify(&mut harness, (1_500, 1_400), LimitNotice::Unknown);
    assert_eq!(limit(&harness), Some(LimitRate(2_000)));
}

#[test]
fn a_new_incarnation_of_a_server_has_no_limit() {
    let mut harness = limited_gateway();
    let restarted = Announcement { incarnation: Incarnation(50), ..server(1, "north-a") };
    harness.update(at(2_000), vec![restarted], Vec::new());
    assert_eq!(limit(&harness), None);
}

#[test]
fn a_server_that_leaves_gets_nothing_though_a_permit_is_at_hand() {
    let mut harness = limited_gateway();
    let stopped = Announcement { state: ServerState::Draining, ..server(1, "north-a") };
    harness.update(at(2_000), vec![stopped], Vec::new());

    let id = harness.begin(at(2_100), "/look/1");
    let step = harness.gateway.step(at(2_100), id);
    assert!(
        matches!(step, Step::Finish(Finish::Refuse(it)) if it.reason == RefusalReason::NoServer)
    );
}

#[test]
fn a_limited_server_gets_nothing_without_a_permit() {
    let mut harness = limited_gateway();
    let id = harness.begin(at(1_100), "/look/1");
    let mut now = at(1_100);
    let finish = loop {
        match harness.gateway.step(now, id) {
            Step::Wait(until) => now = until.max(now + Millis(1)),
            Step::Finish(Finish::Refuse(refusal)) => break refusal,
            step => panic!("the request is sent: {step:?}"),
        }
    };
    assert_eq!(finish.reason, RefusalReason::ServersAtLimit);
    assert!(finish.retry_after.is_some());
}

/// Asks for permits, each of which is denied with `free_in` after 140 ms, until the request is
/// refused; returns when, and what the gateway did.
fn refused_after_denials(priority: u32, free_in: Millis) -> (u64, Vec<String>) {
    let look = Route { priority, ..route("look", Idempotency::Idempotent) };
    let servers = [1, 2].map(|it| server(it, "south-a"));
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "south-a")];
    let mut harness = Harness::new(vec![look], servers.to_vec(), hosts);
    let notice =
        ServerNotice { limit: LimitNotice::Limited(LimitRate(4_000)), ..ServerNotice::default() };
    for Announcement { address, incarnation, .. } in servers {
        harness.gateway.on_server_notice(at(1_000), address, incarnation, at(900), notice);
    }
    let id = harness.begin(at(2_000), "/look/1");
    let mut answers = Vec::new();
    let mut log = Vec::new();
    for now in 0.. {
        for (_, answer) in answers.extract_if(.., |(due, _)| *due == now) {
            harness.gateway.on_server_limit(at(2_000 + now), HostId(2), &answer);
        }
        let step = harness.gateway.step(at(2_000 + now), id);
        for (_, message) in harness.gateway.take_limit_messages() {
            let ServerLimitMessage::PermitAsk(ask) = message else { continue };
            log.push(format!("{now} asks for a permit of server {}", ask.incarnation.0));
            let outcome = PermitOutcome::Denied(free_in);
            let answer = PermitAnswer { number: ask.number, outcome };
            answers.push((now + 140, ServerLimitMessage::PermitAnswer(answer)));
        }
        match step {
            Step::Wait(until) if answers.is_empty() => {
                let line = format!("waits for a server until {}", until.since(at(2_000)).0);
                if !log.last().is_some_and(|it| it.ends_with(&line)) {
                    log.push(format!("{now} {line}"));
                }
            }
            Step::Wait(_) => {}
            Step::Finish(Finish::Refuse(refusal)) => {
                assert_eq!(refusal.reason, RefusalReason::ServersAtLimit);
                assert!(refusal.retry_after.is_some());
                return (now, log);
            }
            step => panic!("the request is sent: {step:?}"),
        }
    }
    unreachable!("each request ends")
}

#[test]
fn a_request_does_not_wait_for_permits_one_after_the_other_beyond_its_target_latency() {
    for (priority, free_in) in [(1, 350), (0, 650), (1, 150), (0, 150)] {
        let (refused_after, log) = refused_after_denials(priority, Millis(free_in));

        assert!(refused_after < 900, "refused after {refused_after} ms: {log:#?}");
    }
}

#[test]
fn a_request_that_was_withheld_from_a_server_waits_for_its_permit() {
    let routes = vec![route("look", Idempotency::NonIdempotent)];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    let mut harness = Harness::new(routes, vec![server(1, "north-a")], hosts);
    let (id, start) = harness.send(at(950), "/look/1");
    notify(&mut harness, (1_000, 900), LimitNotice::Limited(LimitRate(2_000)));
    assert!(!harness.gateway.may_send(at(1_001), start.address, start.incarnation, false));

    harness.end(at(1_001), id, &start, AttemptEnd::Withheld);

    assert!(matches!(harness.gateway.step(at(1_001), id), Step::Wait(_)));
}

#[test]
fn a_gateway_whose_grantor_knows_that_the_limit_has_ended_sends_without_a_permit() {
    let routes = vec![route("look", Idempotency::Idempotent)];
    let hosts = vec![entry_host(1, "north-a"), entry_host(2, "north-a")];
    for number in 1..=6 {
        let Announcement { address, incarnation, .. } = server(number, "north-a");
        let mut harness =
            Harness::new(routes.clone(), vec![server(number, "north-a")], hosts.clone());
        let notice = |limit| ServerNotice { limit, ..ServerNotice::default() };
        let limited = LimitNotice::Limited(LimitRate(2_000));
        // The response that named the limit is late.
        harness.gateway.on_server_notice(at(1_500), address, incarnation, at(900), notice(limited));
        let id = harness.begin(at(1_600), "/look/1");
        harness.gateway.step(at(1_600), id);
        let messages = harness.gateway.take_limit_messages();
        let [(HostId(2), ServerLimitMessage::PermitAsk(ask))] = &messages[..] else { continue };
        let outcome = PermitOutcome::Unlimited(Millis(400));
        let answer = PermitAnswer { number: ask.number, outcome };

        let answer = ServerLimitMessage::PermitAnswer(answer);
        harness.gateway.on_server_limit(at(1_610), HostId(2), &answer);

        assert!(matches!(harness.gateway.step(at(1_610), id), Step::Send(_)));
        return;
    }
    panic!("host 2 grants permits of no server");
}
