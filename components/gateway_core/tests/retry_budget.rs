//! Tests that the gateways of a data centre keep to the retry budget that they share, whether or not
//! they hear each other.

mod common;

use std::ops::Range;

use common::{at, entry_host, gateway_at, head, route, server, settings, unchanged_update};
use gateway_core::{AttemptEnd, Gateway, Idempotency, Step};
use ids::{ByteSize, HostId, Incarnation, RequestId, Timestamp};
use registry::RetryChargeRecords;
use schema::{retry_budget::RetryBudgetMessage, server_load::LoadReport};

/// Number of gateways in the data centre, which is half of the fleet.
const GATEWAYS: u32 = 12;

/// Retries in a window that the budget of the fleet allows this data centre beyond a fifth of its
/// requests.
const SLACK: usize = 24;

/// Length of the window of the budget, in milliseconds.
const WINDOW: u64 = 10_000;

/// Milliseconds per simulation step; messages arrive in the next step.
const STEP: u64 = 5;

/// Ids of the control hosts.
const CONTROL_HOSTS: Range<u32> = 200..205;

/// Milliseconds between two updates that a gateway gets from a control host.
const UPDATE_INTERVAL: u64 = 500;

/// Gateways of one data centre.
struct DataCentre {
    gateways: Vec<Gateway>,
    /// Incarnation of each gateway's process.
    incarnations: Vec<u64>,
    /// What the control hosts know of the charges.
    records: Vec<RetryChargeRecords>,
    /// How attempts end.
    attempt_end: AttemptEnd,
    /// Milliseconds between two requests of a gateway.
    request_interval: u64,
    /// How long each gateway has been frozen, in milliseconds: its clock stops with it.
    frozen_for: Vec<u64>,
    /// When each gateway's process started, if it is not the first one; its clock starts at zero then.
    restarted_at: Vec<Option<u64>>,
    reports: Vec<(HostId, HostId, LoadReport)>,
    messages: Vec<(HostId, HostId, RetryBudgetMessage)>,
    waiting: Vec<(usize, RequestId, Timestamp)>,
    /// When callers sent requests, also to frozen gateways, and when retries were sent.
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl DataCentre {
    fn new(request_interval: u64) -> Self {
        let gateways = (1..=GATEWAYS).map(|it| start_gateway(at(0), HostId(it)));
        Self {
            gateways: gateways.collect(),
            incarnations: vec![1; GATEWAYS as usize],
            records: CONTROL_HOSTS.map(|_| RetryChargeRecords::new(at(0), false)).collect(),
            attempt_end: AttemptEnd::Lost,
            request_interval,
            frozen_for: vec![0; GATEWAYS as usize],
            restarted_at: vec![None; GATEWAYS as usize],
            reports: Vec::new(),
            messages: Vec::new(),
            waiting: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Runs for a time in which the gateways `is_frozen` are frozen and messages for which
    /// `is_lost` holds don't arrive.
    fn run(
        &mut self,
        time: Range<u64>,
        is_frozen: impl Fn(usize) -> bool,
        is_lost: impl Fn(HostId, HostId) -> bool,
    ) {
        for now in time.step_by(STEP as usize) {
            for i in (0..self.gateways.len()).filter(|it| is_frozen(*it)) {
                self.frozen_for[i] += STEP;
            }
            for (from, to, report) in std::mem::take(&mut self.reports) {
                let i = to.0 as usize - 1;
                if !is_frozen(i) && !is_lost(from, to) {
                    let clock = self.clock(i, now);
                    self.gateways[i].on_report(clock, from, &report);
                }
            }
            for (from, to, message) in std::mem::take(&mut self.messages) {
                if CONTROL_HOSTS.contains(&to.0) {
                    if !is_lost(from, to) {
                        self.call_control_host(now, from, to, &message);
                    }
                    continue;
                }
                let i = to.0 as usize - 1;
                if !is_frozen(i) && !is_lost(from, to) {
                    let clock = self.clock(i, now);
                    self.gateways[i].on_retry_budget_message(clock, from, &message);
                }
            }
            let wakeups: Vec<Vec<RequestId>> =
                self.gateways.iter_mut().map(Gateway::take_wakeups).collect();
            for (i, id, due) in std::mem::take(&mut self.waiting) {
                let is_woken = wakeups[i].contains(&id);
                match is_woken || (!is_frozen(i) && self.clock(i, now) >= due) {
                    true => self.step(i, id, now),
                    false => self.waiting.push((i, id, due)),
                }
            }
            for i in 0..self.gateways.len() {
                let offset = i as u64 * self.request_interval / u64::from(GATEWAYS) / STEP * STEP;
                if now % UPDATE_INTERVAL == 0 && !is_frozen(i) {
                    self.update(i, now);
                }
                if now % self.request_interval == offset {
                    self.requests.push(now);
                    if !is_frozen(i) {
                        self.request(i, now);
                    }
                }
                self.collect(i);
            }
        }
    }

    /// Returns the time that gateway `i` reads from its own clock.
    fn clock(&self, i: usize, now: u64) -> Timestamp {
        match self.restarted_at[i] {
            Some(restarted_at) => Timestamp::from_millis(now - restarted_at - self.frozen_for[i]),
            None => at(now - self.frozen_for[i]),
        }
    }

    fn request(&mut self, i: usize, now: u64) {
        let path = format!("/look/{i}-{now}");
        let clock = self.clock(i, now);
        let id = self.gateways[i].begin(clock, head(&path)).expect("the request is accepted");
        self.step(i, id, now);
    }

    /// Performs the steps of a request until it waits or ends.
    fn step(&mut self, i: usize, id: RequestId, now: u64) {
        let clock = self.clock(i, now);
        let gateway = &mut self.gateways[i];
        loop {
            match gateway.step(clock, id) {
                Step::Send(start) => {
                    if start.attempt.0 > 0 {
                        self.retries.push(now);
                    }
                    let end = self.attempt_end;
                    gateway.attempt_ended(clock, id, start.attempt, end, ByteSize(100));
                }
                Step::Wait(due) => return self.waiting.push((i, id, due)),
                Step::Relay(start) => panic!("passed on: {start:?}"),
                Step::Finish(_) => {
                    gateway.forget(clock, id);
                    return;
                }
            }
        }
    }

    /// Handles a message at a control host.
    fn call_control_host(
        &mut self,
        now: u64,
        from: HostId,
        to: HostId,
        message: &RetryBudgetMessage,
    ) {
        let records = &mut self.records[(to.0 - CONTROL_HOSTS.start) as usize];
        let process = (from, Incarnation(self.incarnations[from.0 as usize - 1]));
        match message {
            RetryBudgetMessage::Charges(charges) => records.record(at(now), process, charges),
            RetryBudgetMessage::EarlierChargesWanted => {
                let earlier = records.before(at(now), process);
                self.messages.push((to, from, RetryBudgetMessage::EarlierCharges(earlier)));
            }
            message => panic!("sent to a control host: {message:?}"),
        }
    }

    /// Passes an update without changes to a gateway.
    fn update(&mut self, i: usize, now: u64) {
        let clock = self.clock(i, now);
        if let Some(poll) = self.gateways[i].poll(clock) {
            let update = unchanged_update(poll.poll.sequence, CONTROL_HOSTS.map(HostId));
            self.gateways[i].on_update(clock, poll.to, update);
        }
    }

    /// Replaces all gateways by new processes.
    fn restart(&mut self, now: u64) {
        for i in 0..self.gateways.len() {
            self.frozen_for[i] = 0;
            self.incarnations[i] += 1;
            let host = HostId(i as u32 + 1);
            self.restarted_at[i] = Some(now);
            self.gateways[i] = start_gateway(Timestamp::default(), host);
        }
        self.messages.clear();
        self.waiting.clear();
    }

    /// Replaces the control hosts by new processes.
    fn restart_control_hosts(&mut self, now: u64) {
        self.records.iter_mut().for_each(|it| *it = RetryChargeRecords::new(at(now), false));
    }

    fn collect(&mut self, i: usize) {
        let from = HostId(i as u32 + 1);
        for outgoing in self.gateways[i].take_reports() {
            let to = outgoing.to.into_iter().filter(|it| it.0 <= GATEWAYS);
            self.reports.extend(to.map(|it| (from, it, outgoing.report.clone())));
        }
        let messages = self.gateways[i].take_retry_budget_messages().into_iter();
        self.messages.extend(messages.map(|(to, message)| (from, to, message)));
    }

    /// Asserts the budget for each window; its requests are those of that window, the one before it
    /// or the one half a window before it, whichever has most.
    fn assert_within_budget(&self) {
        for start in self.retries.iter().copied() {
            let offsets = [0, WINDOW / 2, WINDOW].into_iter();
            let windows = offsets.map(|it| start.saturating_sub(it));
            let requests = windows.map(|it| count_in_window(&self.requests, it)).max().unwrap();
            let retries = count_in_window(&self.retries, start);
            assert!(
                retries * 5 <= requests + SLACK * 5,
                "{retries} retries for {requests} requests from {start} ms"
            );
        }
    }
}

/// Starts a gateway whose clock shows this time; its process has started at zero.
fn start_gateway(now: Timestamp, host: HostId) -> Gateway {
    let servers = (1..=8).map(|it| server(it, "north-a")).collect();
    let here = (1..=GATEWAYS).map(|it| entry_host(it, "north-a"));
    let elsewhere = (1..=GATEWAYS).map(|it| entry_host(100 + it, "south-a"));
    let routes = vec![route("look", Idempotency::Idempotent)];
    let control_hosts = CONTROL_HOSTS.map(HostId).collect();
    let hosts = here.chain(elsewhere).collect();
    gateway_at(now, settings(host), routes, servers, hosts, control_hosts)
}

/// A data centre in which all servers begin to lose requests after a calm time.
fn outbreak_after(calm_millis: u64) -> DataCentre {
    let mut data_centre = DataCentre::new(100);
    data_centre.attempt_end = AttemptEnd::Answered;
    data_centre.run(0..calm_millis, |_| false, |_, _| false);
    data_centre.attempt_end = AttemptEnd::Lost;
    data_centre
}

fn count_in_window(times: &[u64], start: u64) -> usize {
    times.iter().filter(|it| (start..start + WINDOW).contains(it)).count()
}

#[test]
fn gateways_that_were_frozen_do_not_retry_what_others_have_spent() {
    let mut data_centre = DataCentre::new(50);
    data_centre.attempt_end = AttemptEnd::Answered;
    data_centre.run(0..5_000, |_| false, |_, _| false);
    data_centre.attempt_end = AttemptEnd::Lost;
    data_centre.run(5_000..6_000, |_| false, |_, _| false);
    data_centre.run(6_000..8_500, |it| it < 5, |_, _| false);
    data_centre.run(8_500..25_000, |_| false, |_, _| false);

    data_centre.assert_within_budget();
}

#[test]
fn gateways_that_hear_nobody_stay_within_the_retry_budget() {
    let mut data_centre = DataCentre::new(50);
    data_centre.run(0..25_000, |_| false, |_, _| true);

    data_centre.assert_within_budget();
}

#[test]
fn gateways_that_restart_do_not_spend_the_fixed_allowance_again() {
    let mut data_centre = DataCentre::new(2_000);
    data_centre.run(0..14_000, |_| false, |_, _| false);
    data_centre.restart(14_000);
    data_centre.run(14_000..17_000, |_| false, |_, _| false);
    data_centre.restart(17_000);
    data_centre.run(17_000..40_000, |_| false, |_, _| false);

    data_centre.assert_within_budget();
}

#[test]
fn gateways_that_restart_after_a_burst_of_retries_do_not_spend_the_retry_budget_again() {
    let mut data_centre = outbreak_after(12_000);
    data_centre.run(12_000..14_000, |_| false, |_, _| false);
    data_centre.restart(14_000);
    data_centre.run(14_000..40_000, |_| false, |_, _| false);

    data_centre.assert_within_budget();
}

#[test]
fn gateways_that_restart_at_any_time_of_a_burst_do_not_spend_the_retry_budget_again() {
    for restart_at in (12_100..17_000).step_by(300) {
        let mut data_centre = outbreak_after(12_000);
        data_centre.run(12_000..restart_at, |_| false, |_, _| false);
        data_centre.restart(restart_at);
        data_centre.run(restart_at..restart_at + 700, |_| false, |_, _| false);
        data_centre.restart(restart_at + 700);
        data_centre.run(restart_at + 700..35_000, |_| false, |_, _| false);

        data_centre.assert_within_budget();
    }
}

#[test]
fn requests_before_a_restart_do_not_count_for_longer_than_the_window() {
    let mut data_centre = outbreak_after(11_000);
    data_centre.run(11_000..11_100, |_| false, |_, _| false);
    data_centre.attempt_end = AttemptEnd::Answered;
    data_centre.restart(11_100);
    data_centre.run(11_100..15_000, |_| false, |_, _| false);
    data_centre.attempt_end = AttemptEnd::Lost;
    data_centre.run(15_000..35_000, |_| false, |_, _| false);

    data_centre.assert_within_budget();
}

#[test]
fn gateways_that_restart_together_with_the_control_hosts_keep_to_the_retry_budget() {
    for restart_at in (12_100..17_000).step_by(300) {
        let mut data_centre = outbreak_after(12_000);
        data_centre.run(12_000..restart_at, |_| false, |_, _| false);
        data_centre.restart_control_hosts(restart_at);
        data_centre.restart(restart_at);
        data_centre.run(restart_at..35_000, |_| false, |_, _| false);

        data_centre.assert_within_budget();
    }
}

#[test]
fn a_gateway_that_restarts_goes_on_with_the_retry_budget_of_its_earlier_process() {
    let mut data_centre = outbreak_after(12_000);
    data_centre.run(12_000..12_100, |_| false, |_, _| false);
    data_centre.restart(12_100);
    data_centre.attempt_end = AttemptEnd::Answered;
    data_centre.run(12_100..12_800, |_| false, |_, _| false);
    data_centre.attempt_end = AttemptEnd::Lost;
    data_centre.run(12_800..14_000, |_| false, |_, _| false);

    let retries = count_in_window(&data_centre.retries, 10_000);
    assert!(retries >= 130, "{retries} of the 264 retries that are allowed");
}

#[test]
fn gateways_that_hear_each_other_use_most_of_the_retry_budget() {
    let mut data_centre = DataCentre::new(50);
    data_centre.run(0..25_000, |_| false, |_, _| false);

    let requests = count_in_window(&data_centre.requests, 12_000);
    let retries = count_in_window(&data_centre.retries, 12_000);
    let allowed = requests / 5 + SLACK;
    assert!(retries * 3 >= allowed * 2, "{retries} retries for {requests} requests");
}

#[test]
fn the_retry_budget_holds_through_random_freezes_and_losses() {
    const CASES: u64 = 10;
    const ENTROPY_BYTES: u64 = 1_024;
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | ENTROPY_BYTES;
        arbtest::arbtest(|u| {
            let mut data_centre = DataCentre::new(100);
            for phase in 0..10 {
                let frozen: u16 = if u.ratio(1, 2)? { u.arbitrary()? } else { 0 };
                let deaf: u16 = if u.ratio(1, 2)? { u.arbitrary()? } else { 0 };
                let ends = [AttemptEnd::Answered, AttemptEnd::Lost, AttemptEnd::Lost];
                data_centre.attempt_end = *u.choose(&ends)?;
                data_centre.run(
                    phase * 2_500..(phase + 1) * 2_500,
                    |it| frozen >> it & 1 == 1,
                    |from, to| [from, to].into_iter().any(|it| it.0 < 16 && deaf >> it.0 & 1 == 1),
                );
            }
            data_centre.assert_within_budget();
            Ok(())
        })
        .seed(seed);
    }
}
