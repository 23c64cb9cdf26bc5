//! What becomes of requests: at most once, true refusals, bounded attempts.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use common::{Bed, at, config, entry_host, head, route, server};
use gateway_core::{AttemptEnd, Finish, Idempotency, Refusal, RefusalReason, RunStatus, Step};
use ids::{ByteSize, Millis, RequestId, Timestamp};

const ENDS: [AttemptEnd; 7] = [
    AttemptEnd::Answered,
    AttemptEnd::ServerError,
    AttemptEnd::Shed,
    AttemptEnd::Misplaced,
    AttemptEnd::Unreachable,
    AttemptEnd::NotSent,
    AttemptEnd::Lost,
];

fn bed() -> Bed {
    let routes =
        vec![route("pay", Idempotency::NonIdempotent), route("look", Idempotency::Idempotent)];
    let servers = (1..=6).map(|i| server(i, if i < 4 { "north-a" } else { "south-a" }));
    Bed::new(routes, servers.collect(), vec![entry_host(1, "north-a"), entry_host(2, "north-a")])
}

fn refusal(step: Step) -> Refusal {
    match step {
        Step::Finish(Finish::Refuse(refusal)) => refusal,
        step => panic!("the request is not refused: {step:?}"),
    }
}

#[test]
fn a_request_that_must_not_repeat_is_not_sent_again_after_it_may_have_run() {
    let mut bed = bed();
    let (id, start) = bed.send(at(0), "/pay/1");

    bed.end(at(5), id, &start, AttemptEnd::Lost);

    let refusal = refusal(bed.gateway.step(at(5), id));
    assert_eq!(refusal.run, RunStatus::MayHaveRun);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_request_that_did_not_run_goes_to_a_second_server() {
    for end in [AttemptEnd::Shed, AttemptEnd::Misplaced, AttemptEnd::Unreachable] {
        let mut bed = bed();
        let (id, first) = bed.send(at(0), "/pay/1");

        bed.end(at(5), id, &first, end);

        match bed.gateway.step(at(5), id) {
            Step::Send(second) => assert_ne!(second.server, first.server),
            step => panic!("after {end}: {step:?}"),
        }
    }
}

#[test]
fn a_server_s_own_failure_is_the_answer_when_it_must_not_be_asked_again() {
    let mut bed = bed();
    let (id, start) = bed.send(at(0), "/pay/1");

    bed.end(at(200), id, &start, AttemptEnd::ServerError);

    assert_eq!(bed.gateway.step(at(200), id), Step::Finish(Finish::Answer(start.attempt)));
}

#[test]
fn the_time_limit_ends_a_request_and_says_that_it_may_have_run() {
    let mut bed = bed();
    let (id, _) = bed.send(at(0), "/pay/1");

    assert!(matches!(bed.gateway.step(at(1_999), id), Step::Wait(until) if until <= at(2_000)));
    let refusal = refusal(bed.gateway.step(at(2_000), id));

    assert_eq!((refusal.reason, refusal.run), (RefusalReason::TimeLimit, RunStatus::MayHaveRun));
}

#[test]
fn a_late_answer_gets_a_second_attempt_beside_it_if_it_may_repeat() {
    let mut bed = bed();
    for i in 0..20 {
        bed.run(at(i * 100), at(i * 100 + 50), "/look/1", AttemptEnd::Answered);
    }
    let (id, first) = bed.send(at(3_000), "/look/2");
    let (payment, _) = bed.send(at(3_000), "/pay/2");

    assert!(matches!(bed.gateway.step(at(3_400), id), Step::Wait(_)));
    let Step::Send(second) = bed.gateway.step(at(3_700), id) else {
        panic!("no second attempt");
    };
    assert_ne!(second.server, first.server);
    assert!(matches!(bed.gateway.step(at(3_700), payment), Step::Wait(_)));
}

#[test]
fn a_request_that_crashes_servers_is_refused_after_three_of_them() {
    let mut bed = bed();
    for _ in 0..2 {
        let id = bed.begin(at(0), "/look/poison");
        while let Step::Send(start) = bed.gateway.step(at(0), id) {
            bed.end(at(0), id, &start, AttemptEnd::Lost);
        }
        bed.gateway.forget(at(0), id);
    }

    let refused = bed.gateway.begin(at(10), head("/look/poison")).unwrap_err();

    assert_eq!((refused.reason, refused.run), (RefusalReason::Quarantined, RunStatus::NotRun));
    assert!(bed.gateway.begin(at(10), head("/look/other")).is_ok());
}

#[test]
fn routes_are_chosen_by_the_longest_prefix_that_ends_with_a_slash() {
    let mut short = route("short", Idempotency::Idempotent);
    short.path_prefix = "/a/".to_owned();
    let mut long = route("long", Idempotency::Idempotent);
    long.path_prefix = "/a/b/".to_owned();
    let mut bed = Bed::new(vec![short, long], vec![server(1, "north-a")], Vec::new());

    for (path, route) in [("/a/b/c", "long"), ("/a/b", "short"), ("/a/bb/c", "short")] {
        let id = bed.begin(at(0), path);
        assert_eq!(bed.gateway.forget(at(0), id).unwrap().route, route, "{path}");
    }
    for path in ["/a", "/b/", "/"] {
        let refused = bed.gateway.begin(at(0), head(path)).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::UnknownRoute, "{path}");
    }
}

#[test]
fn an_older_configuration_or_other_content_of_the_same_version_changes_nothing() {
    let mut bed = bed();
    bed.gateway.set_config(config(5, vec![route("new", Idempotency::Idempotent)]));

    bed.gateway.set_config(config(5, vec![route("other", Idempotency::Idempotent)]));
    bed.gateway.set_config(config(4, vec![route("old", Idempotency::Idempotent)]));

    assert!(bed.gateway.begin(at(0), head("/new/1")).is_ok());
    assert!(bed.gateway.begin(at(0), head("/other/1")).is_err());
    assert!(bed.gateway.begin(at(0), head("/old/1")).is_err());
}

#[test]
fn a_stopping_gateway_refuses_what_it_cannot_finish() {
    let mut bed = bed();
    bed.gateway.drain(at(5_000));

    assert!(bed.gateway.begin(at(0), head("/look/1")).is_ok());
    let refused = bed.gateway.begin(at(4_500), head("/look/1")).unwrap_err();

    assert_eq!((refused.reason, refused.run), (RefusalReason::Stopping, RunStatus::NotRun));
}

/// What a schedule has seen of a request.
struct Seen {
    id: RequestId,
    idempotency: Idempotency,
    may_have_run: bool,
    arrivals: u32,
    live: Vec<ids::AttemptNumber>,
}

#[test]
fn no_schedule_runs_a_request_twice_or_calls_a_run_not_run() {
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
    let mut bed = bed();
    let mut requests: Vec<Seen> = Vec::new();
    let mut now = at(0);
    for _ in 0..200 {
        now = now + Millis(u.int_in_range(0..=300)?);
        if requests.len() < 8 && u.ratio(1, 3)? {
            let idempotency =
                if u.ratio(1, 2)? { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
            let name = if idempotency == Idempotency::Idempotent { "look" } else { "pay" };
            let path = format!("/{name}/{}", u.int_in_range(0..=1_000)?);
            if let Ok(id) = bed.gateway.begin(now, head(&path)) {
                requests.push(Seen {
                    id,
                    idempotency,
                    may_have_run: false,
                    arrivals: 0,
                    live: Vec::new(),
                });
            }
        }
        if requests.is_empty() {
            continue;
        }
        let index = u.choose_index(requests.len())?;
        if !requests[index].live.is_empty() && u.ratio(1, 2)? {
            end_attempt(u, &mut bed, now, &mut requests[index])?;
        }
        if step(&mut bed, now, &mut requests[index]) {
            let seen = requests.remove(index);
            bed.gateway.forget(now, seen.id);
        }
    }
    Ok(())
}

fn end_attempt(
    u: &mut Unstructured<'_>,
    bed: &mut Bed,
    now: Timestamp,
    seen: &mut Seen,
) -> arbitrary::Result<()> {
    let attempt = seen.live.remove(u.choose_index(seen.live.len())?);
    let end = *u.choose(&ENDS)?;
    seen.may_have_run |= end.run_status() == RunStatus::MayHaveRun;
    seen.arrivals += u32::from(!matches!(end, AttemptEnd::Unreachable | AttemptEnd::NotSent));
    bed.gateway.attempt_ended(now, seen.id, attempt, end, ByteSize(100));
    Ok(())
}

/// Takes one step; returns whether the request has ended.
fn step(bed: &mut Bed, now: Timestamp, seen: &mut Seen) -> bool {
    match bed.gateway.step(now, seen.id) {
        Step::Send(start) => {
            if seen.idempotency == Idempotency::NonIdempotent {
                assert!(!seen.may_have_run, "sent again after it may have run");
                assert!(seen.live.is_empty(), "sent while another attempt is in flight");
            }
            seen.live.push(start.attempt);
            let sent = seen.arrivals as usize + seen.live.len();
            assert!(sent <= 2, "sent to more servers than the route allows");
            false
        }
        Step::Wait(until) => {
            assert!(until > now, "a wait that has ended");
            false
        }
        Step::Finish(Finish::Refuse(refusal)) => {
            let may_have_run = seen.may_have_run || !seen.live.is_empty();
            assert_eq!(refusal.run == RunStatus::MayHaveRun, may_have_run, "{refusal:?}");
            true
        }
        Step::Finish(Finish::Answer(_)) => {
            assert!(seen.may_have_run);
            true
        }
    }
}
