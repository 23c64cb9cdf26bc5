//! Replays the load on a gateway that stops: callers go on using its address until their directory
//! answers run out, and a few after that.

mod common;

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

use common::{Harness, at, entry_host, head, route, server};
use gateway_core::{
    AttemptEnd, AttemptStart, Finish, Idempotency, PathOutcome, Refusal, RefusalReason, RelayEnd,
    RelayedHead, RequestHead, Route, RunStatus, Step, StopSchedule,
};
use ids::{AttemptNumber, ByteSize, Incarnation, Millis, RequestId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Time of quiet load before the stop, in milliseconds.
const STOP_AT: u64 = 20_000;

const STOP_LIMIT: Millis = Millis(6_000);

/// Time after the signal until which a request that its server still works on at the end may be given
/// up, in milliseconds.
const EXCUSED_UNTIL: u64 = 3_000;

/// Requests per second of quiet load.
const RATE: f64 = 60.0;

/// Share of the callers that use the address in each second after the signal; the last one goes on.
const SHARES: [f64; 4] = [1.0, 0.65, 0.3, 0.05];

/// A route of the replay.
#[derive(Debug, Clone, Copy)]
struct RouteLoad {
    name: &'static str,
    idempotency: Idempotency,
    /// Mean latency of the backend servers, in milliseconds.
    mean_latency: f64,
    target_latency: Millis,
    /// Time that callers give a request.
    time_limit: Millis,
}

const ROUTES: [RouteLoad; 3] = [
    RouteLoad {
        name: "pay",
        idempotency: Idempotency::NonIdempotent,
        mean_latency: 230.0,
        target_latency: Millis(1_000),
        time_limit: Millis(4_000),
    },
    RouteLoad {
        name: "book",
        idempotency: Idempotency::NonIdempotent,
        mean_latency: 160.0,
        target_latency: Millis(600),
        time_limit: Millis(2_500),
    },
    RouteLoad {
        name: "parts",
        idempotency: Idempotency::Idempotent,
        mean_latency: 910.0,
        target_latency: Millis(3_000),
        time_limit: Millis(12_000),
    },
];

/// Standard deviation of the logarithm of the latency, and the share of slow responses with how many
/// times as long they take.
const LATENCY_DEVIATION: f64 = 0.3;
const SLOW_SHARE: f64 = 0.03;
const SLOW_FACTOR: f64 = 5.0;

/// What came of the requests that ended after the signal.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcomes {
    served: u32,
    /// Refused without having run.
    refused: u32,
    /// Given up while a server worked on them, which may be sent again.
    cut: u32,
    /// Given up while a server worked on them, and lost.
    lost: u32,
    /// Given up though they were sent late, or though there was time left.
    wrongly_cut: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Step(RequestId),
    Response(RequestId, AttemptNumber, (SocketAddr, Incarnation)),
    Stop,
}

/// A request that has no outcome yet.
#[derive(Debug, Clone, Copy)]
struct Arrived {
    id: RequestId,
    sent: Timestamp,
    load: RouteLoad,
}

struct Replay {
    harness: Harness,
    rng: Xoshiro256PlusPlus,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    arrived: Vec<Arrived>,
    outcomes: Outcomes,
}

impl Replay {
    fn new(seed: u64) -> Self {
        let routes = ROUTES.map(|it| Route {
            time_limit: it.time_limit,
            target_latency: it.target_latency,
            ..route(it.name, it.idempotency)
        });
        let servers = (1..=12).map(|it| server(it, "north-a")).collect();
        let hosts = (1..=6).map(|it| entry_host(it, "north-a")).collect();
        Self {
            harness: Harness::new(routes.to_vec(), servers, hosts),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            events: BinaryHeap::new(),
            arrived: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn run(mut self) -> Outcomes {
        self.events.push(Reverse((at(0), Event::Arrival)));
        self.events.push(Reverse((at(STOP_AT), Event::Stop)));
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Stop => {
                    let schedule = StopSchedule::new(now, STOP_LIMIT, Millis(1_000));
                    self.harness.gateway.drain(schedule);
                    for id in self.harness.gateway.take_wakeups() {
                        self.events.push(Reverse((now, Event::Step(id))));
                    }
                }
                Event::Arrival => self.arrive(now),
                Event::Step(id) => self.step(now, id),
                Event::Response(id, attempt, (address, incarnation)) => {
                    let (end, size) = (AttemptEnd::Answered, ByteSize(2_000));
                    let reached = PathOutcome::Reached;
                    self.harness.gateway.on_path_outcome(now, address, incarnation, reached);
                    self.harness.gateway.attempt_ended(now, id, attempt, end, size);
                    self.step(now, id);
                }
            }
            // The process takes nothing any more from here on.
            if now >= at(STOP_AT) + STOP_LIMIT {
                break;
            }
        }
        self.outcomes
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the latency of one response, in milliseconds.
    fn latency(&mut self, mean: f64) -> Millis {
        // A sum of uniform numbers is close to normal.
        let normal = (0..12).map(|_| self.unit()).sum::<f64>() - 6.0;
        let factor = if self.unit() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 };
        Millis((mean * factor * (normal * LATENCY_DEVIATION).exp()) as u64)
    }

    fn arrive(&mut self, now: Timestamp) {
        let after_stop = now.since(at(STOP_AT)).0 as usize / 1_000;
        let share = match now < at(STOP_AT) {
            true => 1.0,
            false => SHARES[after_stop.min(SHARES.len() - 1)],
        };
        let wait = -(1.0 - self.unit()).ln() / (RATE * share);
        let next = now + Millis((wait * 1e3) as u64 + 1);
        self.events.push(Reverse((next, Event::Arrival)));
        let load = ROUTES[self.rng.next_u64() as usize % ROUTES.len()];
        let head = RequestHead {
            caller_timeout: Some(load.time_limit),
            content: ids::Fingerprint::of(&now.0.to_be_bytes()),
            ..head(&format!("/{}/{}", load.name, now.0))
        };
        match self.harness.gateway.begin(now, head) {
            Ok(id) => {
                self.arrived.push(Arrived { id, sent: now, load });
                self.step(now, id);
            }
            Err(_) => self.outcomes.refused += 1,
        }
    }

    fn step(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.arrived.iter().find(|it| it.id == id).copied() else { return };
        match self.harness.gateway.step(now, id) {
            Step::Send(start) => {
                self.respond_later(now, request, &start);
                self.events.push(Reverse((now, Event::Step(id))));
            }
            Step::Wait(until) => {
                self.events.push(Reverse((until.max(now + Millis(1)), Event::Step(id))));
            }
            Step::Relay(start) => {
                self.harness.gateway.relay_ended(now, id, start.attempt, RelayEnd::Unable);
                self.events.push(Reverse((now, Event::Step(id))));
            }
            Step::Finish(finish) => {
                self.arrived.retain(|it| it.id != id);
                self.harness.gateway.forget(now, id);
                if now >= at(STOP_AT) {
                    self.count(now, request, finish);
                }
            }
        }
    }

    fn respond_later(&mut self, now: Timestamp, request: Arrived, start: &AttemptStart) {
        let latency = self.latency(request.load.mean_latency);
        let server = (start.address, start.incarnation);
        let event = Event::Response(request.id, start.attempt, server);
        self.events.push(Reverse((now + latency, event)));
    }

    fn count(&mut self, now: Timestamp, request: Arrived, finish: Finish) {
        match finish {
            Finish::Answer(_) => self.outcomes.served += 1,
            Finish::Refuse(Refusal { run: RunStatus::NotRun, .. }) => self.outcomes.refused += 1,
            Finish::Refuse(_) => {
                match request.load.idempotency {
                    Idempotency::Idempotent => self.outcomes.cut += 1,
                    Idempotency::NonIdempotent => self.outcomes.lost += 1,
                }
                let is_excused = request.sent <= at(STOP_AT + EXCUSED_UNTIL)
                    && now >= at(STOP_AT) + Millis(STOP_LIMIT.0 * 5 / 6);
                self.outcomes.wrongly_cut += u32::from(!is_excused);
            }
        }
    }
}

#[test]
fn a_stopping_gateway_gives_up_no_request_while_its_server_works() {
    let mut all = Outcomes::default();
    for seed in 1..=40 {
        let outcomes = Replay::new(seed).run();
        assert_eq!(outcomes.wrongly_cut, 0, "seed {seed}: {outcomes:?}");
        all.served += outcomes.served;
        all.refused += outcomes.refused;
        all.cut += outcomes.cut;
        all.lost += outcomes.lost;
    }

    assert_eq!(all.lost, 0, "{all:?}");
    // A refusal costs its caller an attempt.
    assert!(all.refused * 4 < all.served, "{all:?}");
}

#[test]
fn a_request_in_flight_at_the_signal_ends_with_the_stop_and_is_not_taken_for_a_late_one() {
    let mut harness = Replay::new(1).harness;
    let request = RequestHead { caller_timeout: Some(Millis(12_000)), ..head("/parts/1") };
    let id = harness.gateway.begin(at(0), request).unwrap();
    assert!(matches!(harness.gateway.step(at(0), id), Step::Send(_)));
    let schedule = StopSchedule::new(at(100), STOP_LIMIT, Millis(1_000));

    harness.gateway.drain(schedule);

    assert_eq!(harness.gateway.take_wakeups(), [id]);
    let Step::Wait(_) = harness.gateway.step(at(100), id) else { panic!("it is in flight") };
    let Step::Finish(Finish::Refuse(refusal)) = harness.gateway.step(schedule.cut_at, id) else {
        panic!("it outlasts the stop");
    };
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::StopReached, RunStatus::MayHaveRun));
}

#[test]
fn a_stopping_gateway_takes_from_others_only_what_surely_ends_in_time() {
    let mut harness = Replay::new(1).harness;
    harness.gateway.drain(StopSchedule::new(at(0), STOP_LIMIT, Millis(1_000)));
    let relayed = |path: &str, timeout| RequestHead {
        caller_timeout: Some(Millis(timeout)),
        relayed: Some(RelayedHead {
            service: common::service(),
            max_attempts: 1,
            needs_key_check: false,
        }),
        ..head(path)
    };

    let short = harness.gateway.begin(at(1_000), relayed("/pay/1", 2_000));
    let long = harness.gateway.begin(at(1_000), relayed("/parts/1", 12_000));

    assert!(short.is_ok());
    let refusal = long.unwrap_err();
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::Stopping, RunStatus::NotRun));
    assert_eq!(harness.gateway.relay_end_of(&refusal), RelayEnd::Unable);
}

#[test]
fn the_times_of_a_planned_stop_are_in_order_for_all_limits() {
    for time_limit in (1..=30).map(|it| Millis(it * 1_000)) {
        for directory_ttl in (0..=10).map(|it| Millis(it * 1_000)) {
            let it = StopSchedule::new(at(0), time_limit, directory_ttl);

            let order = [it.likely_until, it.close_at, it.cut_at, it.leave_at];

            assert!(order.is_sorted(), "{it:?}");
            // A process may be late by a few tenths of a second, as far as the limit allows.
            let reserve = Millis(400).min(Millis(time_limit.0 / 8));
            assert!(it.leave_at + reserve <= at(0) + time_limit, "{it:?}");
            // Servers may still be at work only in the last sixth, on early requests.
            assert!(it.cut_at >= at(0) + Millis(time_limit.0 * 5 / 6), "{it:?}");
            assert!(it.likely_until < at(EXCUSED_UNTIL), "{it:?}");
        }
    }
}

#[test]
fn a_request_sent_late_in_a_long_stop_is_not_given_up_while_its_server_works() {
    let mut harness = Replay::new(1).harness;
    harness.gateway.drain(StopSchedule::new(at(0), Millis(10_000), Millis(5_000)));
    let request = RequestHead { caller_timeout: Some(Millis(12_000)), ..head("/parts/1") };

    let refusal = harness.gateway.begin(at(EXCUSED_UNTIL + 600), request).unwrap_err();

    assert_eq!((refusal.reason, refusal.run), (RefusalReason::Stopping, RunStatus::NotRun));
}

#[test]
fn a_stopping_gateway_that_hears_no_control_host_sends_no_callers_to_itself() {
    let mut harness = Replay::new(1).harness;
    let (region, data_centre) = (common::region("north-a"), common::data_centre("north-a"));
    let listed =
        |harness: &Harness| harness.gateway.directory(Some(&region), Some(&data_centre)).addresses;
    let own = entry_host(1, "north-a").caller_address;
    assert!(listed(&harness).contains(&own));

    harness.gateway.drain(StopSchedule::new(at(0), STOP_LIMIT, Millis(1_000)));

    assert!(!listed(&harness).contains(&own));
}

#[test]
fn no_server_gets_a_hedge_right_before_a_stop_gives_its_request_up() {
    let mut harness = Replay::new(1).harness;
    for i in 0..200 {
        harness.run(at(i * 10), at(i * 10 + 9), "/parts/1", AttemptEnd::Answered);
    }
    let request = RequestHead { caller_timeout: Some(Millis(12_000)), ..head("/parts/1") };
    let id = harness.gateway.begin(at(3_000), request).unwrap();
    assert!(matches!(harness.gateway.step(at(3_000), id), Step::Send(_)));
    let schedule = StopSchedule::new(at(3_100), STOP_LIMIT, Millis(1_000));
    harness.gateway.drain(schedule);

    let step = harness.gateway.step(schedule.cut_at - Millis(15), id);

    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}
