//! Tests who gets the tries of a service that sheds more than half of what its servers get, whatever
//! their load.

mod common;

use std::ops::Range;

use common::{at, entry_host, gateway, head, route, server};
use gateway_core::{AttemptEnd, AttemptStart, Finish, Gateway, Idempotency, Step};
use ids::{ByteSize, Fingerprint, HostId, Millis, RequestId};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::{retry_budget::RetryBudgetMessage, server_load::LoadReport};

const GATEWAYS: u32 = 24;
/// Milliseconds per simulation step; messages arrive in the next step.
const STEP: u64 = 5;
/// Milliseconds between two new callers: a quarter of 471 a second.
const CALLER_INTERVAL: u64 = 8;
const LATENCY: u64 = 140;
const TARGET_LATENCY: u64 = 800;
const CALLER_TIMEOUT: u64 = 2_000;
/// When servers shed, in milliseconds.
const SHEDDING: Range<u64> = 8_000..16_000;
const SHED_PERCENT: u64 = 55;
/// What the retry budget allows in ten seconds beyond a fifth of the requests.
const SLACK: usize = 48;

#[derive(Debug, Clone, Copy)]
struct Caller {
    number: u64,
    first_asked: u64,
    returns_left: u32,
}

struct Running {
    gateway: usize,
    id: RequestId,
    caller: Caller,
    /// The attempt in flight and when it ends, or when to step again.
    attempt: Option<(AttemptStart, AttemptEnd)>,
    due: u64,
}

struct Replay {
    gateways: Vec<Gateway>,
    rng: Xoshiro256PlusPlus,
    returns: u32,
    running: Vec<Running>,
    returning: Vec<(u64, Caller)>,
    reports: Vec<(HostId, Vec<HostId>, LoadReport)>,
    messages: Vec<(HostId, HostId, RetryBudgetMessage)>,
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// When callers have first asked who had their answer in time.
    in_time: Vec<u64>,
}

impl Replay {
    /// Callers return up to `returns` times.
    fn new(returns: u32) -> Self {
        let servers: Vec<_> = (1..=36).map(|i| slots(server(i, "north-a"))).collect();
        let hosts: Vec<_> = (1..=GATEWAYS).map(|it| entry_host(it, "north-a")).collect();
        let mut pay = route("pay", Idempotency::NonIdempotent);
        pay.target_latency = Millis(TARGET_LATENCY);
        pay.time_limit = Millis(1_200);
        let gateways = (1..=GATEWAYS)
            .map(|it| gateway(HostId(it), vec![pay.clone()], servers.clone(), hosts.clone()));
        Self {
            gateways: gateways.collect(),
            rng: Xoshiro256PlusPlus::seed_from_u64(3),
            returns,
            running: Vec::new(),
            returning: Vec::new(),
            reports: Vec::new(),
            messages: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            in_time: Vec::new(),
        }
    }

    fn run(&mut self, until: u64) {
        let mut next_caller = 0;
        for now in (0..until).step_by(STEP as usize) {
            for (from, to, report) in std::mem::take(&mut self.reports) {
                for host in to {
                    self.gateways[host.0 as usize - 1].on_report(at(now), from, &report);
                }
            }
            for (from, to, message) in std::mem::take(&mut self.messages) {
                if to.0 <= GATEWAYS {
                    let gateway = &mut self.gateways[to.0 as usize - 1];
                    gateway.on_retry_budget_message(at(now), from, &message);
                }
            }
            let wakeups: Vec<_> = self.gateways.iter_mut().map(Gateway::take_wakeups).collect();
            for request in std::mem::take(&mut self.running) {
                let is_woken = wakeups[request.gateway].contains(&request.id);
                let is_due = request.due <= now || (request.attempt.is_none() && is_woken);
                match is_due {
                    true => self.go_on(now, request),
                    false => self.running.push(request),
                }
            }
            for (due, caller) in std::mem::take(&mut self.returning) {
                match due <= now {
                    true => self.ask(now, caller),
                    false => self.returning.push((due, caller)),
                }
            }
            while next_caller * CALLER_INTERVAL <= now {
                let returns_left = self.returns;
                self.ask(now, Caller { number: next_caller, first_asked: now, returns_left });
                next_caller += 1;
            }
            self.collect();
        }
    }

    fn ask(&mut self, now: u64, caller: Caller) {
        self.requests.push(now);
        let gateway = (self.rng.next_u64() % u64::from(GATEWAYS)) as usize;
        let mut head = head("/pay/1");
        head.content = Fingerprint::of(&caller.number.to_be_bytes());
        head.caller_timeout = Some(Millis(CALLER_TIMEOUT - (now - caller.first_asked)));
        let id = self.gateways[gateway].begin(at(now), head).expect("the request is accepted");
        self.step(now, Running { gateway, id, caller, attempt: None, due: now });
    }

    fn go_on(&mut self, now: u64, mut request: Running) {
        if let Some((start, end)) = request.attempt.take() {
            let gateway = &mut self.gateways[request.gateway];
            gateway.attempt_ended(at(now), request.id, start.attempt, end, ByteSize(5_500));
        }
        self.step(now, request);
    }

    fn step(&mut self, now: u64, request: Running) {
        let gateway = &mut self.gateways[request.gateway];
        match gateway.step(at(now), request.id) {
            Step::Send(start) => {
                if start.attempt.0 > 0 {
                    self.retries.push(now);
                }
                let is_shed = SHEDDING.contains(&now) && self.rng.next_u64() % 100 < SHED_PERCENT;
                let (end, took) = match is_shed {
                    true => (AttemptEnd::Shed, STEP),
                    false => (AttemptEnd::Answered, LATENCY),
                };
                let attempt = Some((start, end));
                self.running.push(Running { attempt, due: now + took, ..request });
            }
            Step::Wait(until) => {
                let due = now + until.since(at(now)).0.max(STEP);
                self.running.push(Running { due, ..request });
            }
            Step::Relay(start) => panic!("passed on: {start:?}"),
            Step::Finish(finish) => {
                gateway.forget(at(now), request.id);
                self.finish(now, request.caller, finish);
            }
        }
    }

    fn finish(&mut self, now: u64, mut caller: Caller, finish: Finish) {
        match finish {
            Finish::Answer(_) if now - caller.first_asked <= TARGET_LATENCY => {
                self.in_time.push(caller.first_asked);
            }
            Finish::Answer(_) => {}
            Finish::Refuse(refusal) => {
                let Some(retry_after) = refusal.retry_after else { return };
                if caller.returns_left > 0 {
                    caller.returns_left -= 1;
                    let time_left = CALLER_TIMEOUT - (now - caller.first_asked);
                    self.returning.push((now + retry_after.0.min(time_left / 3), caller));
                }
            }
        }
    }

    fn collect(&mut self) {
        for (i, gateway) in self.gateways.iter_mut().enumerate() {
            let from = HostId(i as u32 + 1);
            let reports = gateway.take_reports().into_iter();
            self.reports.extend(reports.map(|it| (from, it.to, it.report)));
            let messages = gateway.take_retry_budget_messages().into_iter();
            self.messages.extend(messages.map(|(to, it)| (from, to, it)));
        }
    }

    /// Returns the share of the callers who asked while servers shed that had their answer in time.
    fn share_in_time(&self) -> f64 {
        let in_time = self.in_time.iter().filter(|it| SHEDDING.contains(it)).count();
        let callers = (SHEDDING.end - SHEDDING.start) / CALLER_INTERVAL;
        in_time as f64 / callers as f64
    }

    fn assert_within_budget(&self) {
        for start in &self.retries {
            let in_window = |it: &&u64| (*start..start + 10_000).contains(it);
            let retries = self.retries.iter().filter(in_window).count();
            let requests = self.requests.iter().filter(in_window).count();
            assert!(retries * 5 <= requests + SLACK * 5, "{retries} retries, {requests} requests");
        }
    }
}

fn slots(
    mut announcement: schema::announcement::Announcement,
) -> schema::announcement::Announcement {
    announcement.slots = 2;
    announcement
}

#[test]
fn callers_who_return_have_their_answers_in_time_though_their_service_sheds() {
    let mut replay = Replay::new(3);

    replay.run(18_000);

    replay.assert_within_budget();
    let share = replay.share_in_time();
    assert!(share >= 0.9, "{share} had their answer in time");
}

#[test]
fn callers_who_do_not_return_have_all_tries_of_the_retry_budget() {
    let mut replay = Replay::new(0);

    replay.run(18_000);

    replay.assert_within_budget();
    let share = replay.share_in_time();
    assert!(share >= 0.54, "{share} had their answer in time");
}
