//! Tests what a short failure of one server costs a data centre with non-idempotent requests.

mod common;

use common::{at, entry_host, gateway, head, route, server, server_id};
use gateway_core::{AttemptEnd, AttemptStart, Gateway, Idempotency, Step};
use ids::{ByteSize, HostId, RequestId};
use schema::server_load::LoadReport;

/// Number of gateways in the data centre.
const GATEWAYS: u32 = 6;

/// Milliseconds per simulation step; reports arrive in the next step.
const STEP: u64 = 5;

/// Milliseconds between two requests of one gateway.
const REQUEST_INTERVAL: u64 = 100;

/// Milliseconds that a healthy server takes to respond.
const LATENCY: u64 = 200;

/// Milliseconds after which a broken server resets a connection.
const RESET_AFTER: u64 = 30;

/// An attempt in flight.
struct Attempt {
    gateway: usize,
    id: RequestId,
    start: AttemptStart,
    sent: u64,
}

/// Gateways that exchange load reports.
struct DataCentre {
    gateways: Vec<Gateway>,
    reports: Vec<(HostId, Vec<HostId>, LoadReport)>,
    attempts: Vec<Attempt>,
    /// Send time and server of each lost request.
    lost: Vec<(u64, ids::ServerId)>,
}

impl DataCentre {
    fn new() -> Self {
        let servers: Vec<_> = (1..=4).map(|it| server(it, "north-a")).collect();
        let hosts: Vec<_> = (1..=GATEWAYS).map(|it| entry_host(it, "north-a")).collect();
        let routes = vec![route("pay", Idempotency::NonIdempotent)];
        let gateways = (1..=GATEWAYS)
            .map(|it| gateway(HostId(it), routes.clone(), servers.clone(), hosts.clone()));
        Self {
            gateways: gateways.collect(),
            reports: Vec::new(),
            attempts: Vec::new(),
            lost: Vec::new(),
        }
    }

    /// Runs until `until`; the first server breaks connections during `failure`.
    fn run(&mut self, until: u64, failure: std::ops::Range<u64>) {
        for now in (0..until).step_by(STEP as usize) {
            self.deliver(now);
            self.end_attempts(now, failure.contains(&now));
            self.send_requests(now);
            self.collect_reports();
        }
    }

    fn deliver(&mut self, now: u64) {
        for (from, to, report) in std::mem::take(&mut self.reports) {
            for host in to {
                self.gateways[host.0 as usize - 1].on_report(at(now), from, &report);
            }
        }
    }

    fn end_attempts(&mut self, now: u64, is_failing: bool) {
        let attempts = std::mem::take(&mut self.attempts);
        for attempt in attempts {
            let age = now - attempt.sent;
            let is_broken = is_failing && attempt.start.server == server_id(1);
            let end = match is_broken {
                true if age >= RESET_AFTER => AttemptEnd::Lost,
                false if age >= LATENCY => AttemptEnd::Answered,
                true | false => {
                    self.attempts.push(attempt);
                    continue;
                }
            };
            if end == AttemptEnd::Lost {
                self.lost.push((attempt.sent, attempt.start.server.clone()));
            }
            let gateway = &mut self.gateways[attempt.gateway];
            let (id, number) = (attempt.id, attempt.start.attempt);
            gateway.attempt_ended(at(now), id, number, end, ByteSize(2_000));
            gateway.step(at(now), id);
            gateway.forget(at(now), id);
        }
    }

    fn send_requests(&mut self, now: u64) {
        for (i, gateway) in self.gateways.iter_mut().enumerate() {
            // Spread the gateways' requests evenly over the interval.
            let offset = i as u64 * REQUEST_INTERVAL / u64::from(GATEWAYS) / STEP * STEP;
            if now % REQUEST_INTERVAL != offset {
                continue;
            }
            let id = gateway.begin(at(now), head("/pay/1")).expect("the request is accepted");
            let Step::Send(start) = gateway.step(at(now), id) else {
                panic!("the request is not sent");
            };
            self.attempts.push(Attempt { gateway: i, id, start, sent: now });
        }
    }

    fn collect_reports(&mut self) {
        for (i, gateway) in self.gateways.iter_mut().enumerate() {
            let from = HostId(i as u32 + 1);
            let reports = gateway.take_reports().into_iter();
            self.reports.extend(reports.map(|it| (from, it.to, it.report)));
        }
    }
}

#[test]
fn an_outbreak_of_three_seconds_costs_what_was_in_flight_and_one_try() {
    let mut data_centre = DataCentre::new();

    data_centre.run(10_000, 5_000..8_000);

    let lost = &data_centre.lost;
    assert!(!lost.is_empty(), "the broken server had requests in flight");
    // Losses up to this time were in flight when the server broke, or sent before the first reset
    // was reported.
    let first_reset_known_at = 5_000 + RESET_AFTER + 2 * STEP;
    let later = lost.iter().filter(|(sent, _)| *sent > first_reset_known_at).count();
    // The server has three slots and queues two requests.
    assert!(lost.len() - later <= 5, "{lost:?}");
    assert!(later <= 1, "{lost:?}");
}

#[test]
fn a_recovered_server_gets_requests_again() {
    let mut data_centre = DataCentre::new();
    data_centre.run(20_000, 5_000..8_000);

    let in_flight =
        data_centre.attempts.iter().filter(|it| it.start.server == server_id(1)).count();

    assert!(in_flight > 0, "the recovered server has requests in flight at the end");
}
