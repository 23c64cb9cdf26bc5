//! Tests that requests run at most once where required, that refusals report the run status
//! correctly, and that attempts are limited.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use common::{Harness, OWN_HOST, at, config, entry_host, head, route, server, service, settings};
use gateway_core::{
    AttemptEnd, Finish, Gateway, Idempotency, PathOutcome, Refusal, RefusalReason, RelayEnd,
    RelayedHead, RequestHead, RunStatus, Step, StopSchedule,
};
use ids::{AttemptNumber, ByteSize, Millis, RequestId, Timestamp};
use schema::announcement::Announcement;

const ENDS: [AttemptEnd; 8] = [
    AttemptEnd::Answered,
    AttemptEnd::ServerError,
    AttemptEnd::Shed,
    AttemptEnd::Misplaced,
    AttemptEnd::Unreachable,
    AttemptEnd::NotSent,
    AttemptEnd::Withheld,
    AttemptEnd::Lost,
];

const RELAY_ENDS: [RelayEnd; 6] = [
    RelayEnd::Answered,
    RelayEnd::ServerError,
    RelayEnd::Refused(None),
    RelayEnd::Unable,
    RelayEnd::Unreachable,
    RelayEnd::Lost,
];

fn harness() -> Harness {
    let routes =
        vec![route("pay", Idempotency::NonIdempotent), route("look", Idempotency::Idempotent)];
    let servers = (1..=6).map(|i| server(i, if i < 4 { "north-a" } else { "south-a" }));
    Harness::new(routes, servers.collect(), (1..=4).map(|it| entry_host(it, "north-a")).collect())
}

fn refusal(step: Step) -> Refusal {
    match step {
        Step::Finish(Finish::Refuse(refusal)) => refusal,
        step => panic!("the request is not refused: {step:?}"),
    }
}

#[test]
fn a_request_that_must_not_repeat_is_not_sent_again_after_it_may_have_run() {
    let mut harness = harness();
    let (id, start) = harness.send(at(0), "/pay/1");

    harness.end(at(5), id, &start, AttemptEnd::Lost);

    let refusal = refusal(harness.gateway.step(at(5), id));
    assert_eq!(refusal.run, RunStatus::MayHaveRun);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_request_that_did_not_run_is_retried_on_another_server() {
    for end in [AttemptEnd::Shed, AttemptEnd::Misplaced, AttemptEnd::Unreachable] {
        let mut harness = harness();
        let (id, first) = harness.send(at(0), "/pay/1");

        harness.end(at(5), id, &first, end);

        match harness.gateway.step(at(5), id) {
            Step::Send(second) => assert_ne!(second.server, first.server),
            step => panic!("after {end}: {step:?}"),
        }
    }
}

#[test]
fn a_server_error_is_returned_when_the_request_must_not_be_retried() {
    let mut harness = harness();
    let (id, start) = harness.send(at(0), "/pay/1");

    harness.end(at(200), id, &start, AttemptEnd::ServerError);

    assert_eq!(harness.gateway.step(at(200), id), Step::Finish(Finish::Answer(start.attempt)));
}

#[test]
fn the_time_limit_ends_a_request_and_says_that_it_may_have_run() {
    let mut harness = harness();
    let (id, _) = harness.send(at(0), "/pay/1");

    assert!(matches!(harness.gateway.step(at(1_999), id), Step::Wait(until) if until <= at(2_000)));
    let refusal = refusal(harness.gateway.step(at(2_000), id));

    assert_eq!((refusal.reason, refusal.run), (RefusalReason::TimeLimit, RunStatus::MayHaveRun));
}

#[test]
fn a_late_idempotent_request_is_hedged() {
    let mut harness = harness();
    for i in 0..20 {
        harness.run(at(i * 100), at(i * 100 + 50), "/look/1", AttemptEnd::Answered);
    }
    let (id, first) = harness.send(at(3_000), "/look/2");
    let (payment, _) = harness.send(at(3_000), "/pay/2");

    assert!(matches!(harness.gateway.step(at(3_400), id), Step::Wait(_)));
    let Step::Send(second) = harness.gateway.step(at(3_700), id) else {
        panic!("no second attempt");
    };
    assert_ne!(second.server, first.server);
    assert!(matches!(harness.gateway.step(at(3_700), payment), Step::Wait(_)));
}

/// Sends an idempotent request to servers that lose it; `is_refused` is whether they then refuse connections.
fn lose(harness: &mut Harness, now: Timestamp, path: &str, is_refused: bool) {
    let id = harness.begin(now, path);
    while let Step::Send(start) = harness.gateway.step(now, id) {
        harness.end(now, id, &start, AttemptEnd::Lost);
        if is_refused {
            harness.gateway.on_connection_refused(now, start.address, start.incarnation);
        }
    }
    harness.gateway.forget(now, id);
}

#[test]
fn a_request_that_crashes_servers_is_refused_after_three_of_them() {
    let mut harness = harness();
    for _ in 0..2 {
        lose(&mut harness, at(0), "/look/poison", true);
    }

    let refused = harness.gateway.begin(at(10), head("/look/poison")).unwrap_err();

    assert_eq!((refused.reason, refused.run), (RefusalReason::Quarantined, RunStatus::NotRun));
    assert!(harness.gateway.begin(at(10), head("/look/other")).is_ok());
}

/// Guards against requests that are refused although the servers only lost answers to them.
#[test]
fn a_request_whose_answers_are_lost_is_not_refused() {
    let mut harness = harness();
    for i in 0..10 {
        lose(&mut harness, at(i * 100), "/look/1", false);
    }

    assert!(harness.gateway.begin(at(2_000), head("/look/1")).is_ok());
}

/// Guards against requests that are refused although servers that crashed by themselves ran them.
#[test]
fn a_request_that_is_answered_between_crashes_is_not_refused() {
    let mut harness = harness();
    for i in 0..5 {
        lose(&mut harness, at(i * 20_000), "/look/1", true);
        harness.run(
            at(i * 20_000 + 5_000),
            at(i * 20_000 + 5_050),
            "/look/1",
            AttemptEnd::Answered,
        );
    }

    assert!(harness.gateway.begin(at(100_000), head("/look/1")).is_ok());
}

#[test]
fn routes_are_chosen_by_the_longest_prefix_that_ends_with_a_slash() {
    let mut short = route("short", Idempotency::Idempotent);
    short.path_prefix = "/a/".to_owned();
    let mut long = route("long", Idempotency::Idempotent);
    long.path_prefix = "/a/b/".to_owned();
    let mut harness = Harness::new(vec![short, long], vec![server(1, "north-a")], Vec::new());

    for (path, route) in [("/a/b/c", "long"), ("/a/b", "short"), ("/a/bb/c", "short")] {
        let id = harness.begin(at(0), path);
        assert_eq!(harness.gateway.forget(at(0), id).unwrap().route, route, "{path}");
    }
    for path in ["/a", "/b/", "/"] {
        let refused = harness.gateway.begin(at(0), head(path)).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::UnknownRoute, "{path}");
    }
}

#[test]
fn a_configuration_that_is_not_newer_is_ignored() {
    let mut harness = harness();
    harness.gateway.set_config(config(5, vec![route("new", Idempotency::Idempotent)]));

    harness.gateway.set_config(config(5, vec![route("other", Idempotency::Idempotent)]));
    harness.gateway.set_config(config(4, vec![route("old", Idempotency::Idempotent)]));

    assert!(harness.gateway.begin(at(0), head("/new/1")).is_ok());
    assert!(harness.gateway.begin(at(0), head("/other/1")).is_err());
    assert!(harness.gateway.begin(at(0), head("/old/1")).is_err());
}

#[test]
fn a_stopping_gateway_refuses_what_it_cannot_finish() {
    let mut harness = harness();
    harness.gateway.drain(StopSchedule::new(at(0), Millis(6_000), Millis(1_000)));

    assert!(harness.gateway.begin(at(0), head("/look/1")).is_ok());
    let refused = harness.gateway.begin(at(4_500), head("/look/1")).unwrap_err();

    assert_eq!((refused.reason, refused.run), (RefusalReason::Stopping, RunStatus::NotRun));
}

/// What the test has observed of a request.
struct TrackedRequest {
    id: RequestId,
    idempotency: Idempotency,
    may_have_run: bool,
    is_relayed: bool,
    /// Number of servers that it may reach.
    max_attempts: u32,
    arrived_attempts: u32,
    in_flight: Vec<InFlight>,
}

/// An attempt in flight, and the number of servers that it may reach.
struct InFlight {
    attempt: AttemptNumber,
    servers: u32,
    is_relay: bool,
}

impl TrackedRequest {
    fn assert_may_be_sent(&self) {
        if self.idempotency == Idempotency::NonIdempotent {
            assert!(!self.may_have_run, "sent again after it may have run");
            assert!(self.in_flight.is_empty(), "sent while another attempt is in flight");
        }
    }

    fn assert_within_attempts(&self) {
        let in_flight: u32 = self.in_flight.iter().map(|it| it.servers).sum();
        let sent = self.arrived_attempts + in_flight;
        assert!(sent <= self.max_attempts, "sent to more servers than the route allows");
    }
}

#[test]
fn no_schedule_runs_a_request_twice_or_reports_a_run_as_not_run() {
    for case in 0..400u64 {
        let seed = ((case + 1) << 32) | 4_096;
        arbtest::arbtest(schedule).seed(seed).run();
    }
}

fn schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let result = run_schedule(u);
    match result {
        Err(arbitrary::Error::NotEnoughData) => Ok(()),
        other => other,
    }
}

fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut harness = harness();
    let mut requests: Vec<TrackedRequest> = Vec::new();
    let mut now = at(0);
    for _ in 0..200 {
        now = now + Millis(u.int_in_range(0..=300)?);
        if requests.len() < 8 && u.ratio(1, 3)? {
            let idempotency =
                if u.ratio(1, 2)? { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
            let name = if idempotency == Idempotency::Idempotent { "look" } else { "pay" };
            let path = format!("/{name}/{}", u.int_in_range(0..=1_000)?);
            let relayed = match u.ratio(1, 4)? {
                true => Some(RelayedHead {
                    service: service(),
                    max_attempts: u.int_in_range(1..=2)?,
                    needs_key_check: false,
                }),
                false => None,
            };
            let is_relayed = relayed.is_some();
            let max_attempts = relayed.as_ref().map_or(2, |it| it.max_attempts);
            if let Ok(id) = harness.gateway.begin(now, RequestHead { relayed, ..head(&path) }) {
                requests.push(TrackedRequest {
                    id,
                    is_relayed,
                    max_attempts,
                    idempotency,
                    may_have_run: false,
                    arrived_attempts: 0,
                    in_flight: Vec::new(),
                });
            }
        }
        if u.ratio(1, 6)? {
            let outcomes = [PathOutcome::Reached, PathOutcome::Unreachable, PathOutcome::Connected];
            let Announcement { address, incarnation, .. } =
                server(u.int_in_range(1..=6)?, "north-a");
            harness.gateway.on_path_outcome(now, address, incarnation, *u.choose(&outcomes)?);
        }
        if requests.is_empty() {
            continue;
        }
        let index = u.choose_index(requests.len())?;
        if !requests[index].in_flight.is_empty() && u.ratio(1, 2)? {
            end_attempt(u, &mut harness, now, &mut requests[index])?;
        }
        if step(&mut harness, now, &mut requests[index]) {
            let tracked = requests.remove(index);
            harness.gateway.forget(now, tracked.id);
        }
    }
    Ok(())
}

fn end_attempt(
    u: &mut Unstructured<'_>,
    harness: &mut Harness,
    now: Timestamp,
    tracked: &mut TrackedRequest,
) -> arbitrary::Result<()> {
    let InFlight { attempt, servers, is_relay } =
        tracked.in_flight.remove(u.choose_index(tracked.in_flight.len())?);
    if is_relay {
        let end = *u.choose(&RELAY_ENDS)?;
        let may_have_run =
            matches!(end, RelayEnd::Answered | RelayEnd::ServerError | RelayEnd::Lost);
        tracked.may_have_run |= may_have_run;
        tracked.arrived_attempts += if may_have_run { servers } else { 0 };
        harness.gateway.relay_ended(now, tracked.id, attempt, end);
        return Ok(());
    }
    let end = *u.choose(&ENDS)?;
    tracked.may_have_run |= end.run_status() == RunStatus::MayHaveRun;
    let is_sent =
        !matches!(end, AttemptEnd::Unreachable | AttemptEnd::NotSent | AttemptEnd::Withheld);
    tracked.arrived_attempts += u32::from(is_sent);
    harness.gateway.attempt_ended(now, tracked.id, attempt, end, ByteSize(100));
    Ok(())
}

/// Steps a request once; returns whether it has finished.
fn step(harness: &mut Harness, now: Timestamp, tracked: &mut TrackedRequest) -> bool {
    match harness.gateway.step(now, tracked.id) {
        Step::Send(start) => {
            tracked.assert_may_be_sent();
            let in_flight = InFlight { attempt: start.attempt, servers: 1, is_relay: false };
            tracked.in_flight.push(in_flight);
            tracked.assert_within_attempts();
            false
        }
        Step::Relay(start) => {
            assert!(!tracked.is_relayed, "passed on a second time");
            tracked.assert_may_be_sent();
            let servers = start.head.max_attempts;
            let in_flight = InFlight { attempt: start.attempt, servers, is_relay: true };
            tracked.in_flight.push(in_flight);
            tracked.assert_within_attempts();
            false
        }
        Step::Wait(until) => {
            assert!(until > now, "the wait must end in the future");
            false
        }
        Step::Finish(Finish::Refuse(refusal)) => {
            let may_have_run = tracked.may_have_run || !tracked.in_flight.is_empty();
            assert_eq!(refusal.run == RunStatus::MayHaveRun, may_have_run, "{refusal:?}");
            true
        }
        Step::Finish(Finish::Answer(_)) => {
            assert!(tracked.may_have_run);
            true
        }
    }
}

#[test]
fn a_refusal_for_full_servers_names_a_time_that_holds() {
    let routes = vec![route("look", Idempotency::Idempotent)];
    let hosts = vec![entry_host(1, "north-a")];
    let mut harness = Harness::new(routes, vec![server(1, "north-a")], hosts);
    for i in 0..20 {
        harness.run(at(i * 50), at(i * 50 + 8), "/look/quick", AttemptEnd::Answered);
    }
    // Three slots and two places in the queue are taken by requests that take seconds.
    for _ in 0..5 {
        harness.send(at(2_000), "/look/slow");
    }

    let head = RequestHead { caller_timeout: Some(Millis(300)), ..head("/look/1") };
    let id = harness.gateway.begin(at(2_020), head).unwrap();
    let refused =
        (2_020..2_320).step_by(10).find_map(|now| match harness.gateway.step(at(now), id) {
            Step::Finish(Finish::Refuse(refusal)) => Some((now, refusal)),
            _ => None,
        });

    let (now, refusal) = refused.expect("the request is refused");
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::Busy, RunStatus::NotRun));
    let stalled = Millis(now - 2_000);
    assert!(refusal.retry_after >= Some(stalled), "{refusal:?} after {stalled} ms");
}

/// Guards against a first configuration that is stored and never in force.
#[test]
fn a_first_configuration_with_version_0_takes_effect() {
    let mut gateway = Gateway::new(settings(OWN_HOST));

    gateway.set_config(config(0, vec![route("look", Idempotency::Idempotent)]));

    assert!(gateway.begin(at(0), head("/look/1")).is_ok());
}
