//! Tests what the quarantine means for attempts: hedges, retries, trials and refusals.

mod common;

use common::{CONTROL_HOST, Harness, at, entry_host, head, route, server};
use gateway_core::{
    AttemptEnd, AttemptStart, Finish, Idempotency, ProbeOutcome, RefusalReason, RunStatus, Step,
};
use ids::{Fingerprint, HostId, Incarnation, Millis, RequestId, ServerKey, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    quarantine::{QuarantineMessage, TrialAnswer, TrialAsk, TrialOutcome},
    server_load::{LoadEvent, LoadReport, ReportScope},
};

const POISON: &str = "/look/poison";

fn harness() -> Harness {
    let routes =
        vec![route("pay", Idempotency::NonIdempotent), route("look", Idempotency::Idempotent)];
    let servers = (1..=6).map(|it| server(it, "north-a"));
    Harness::new(routes, servers.collect(), (1..=2).map(|it| entry_host(it, "north-a")).collect())
}

fn key_of(start: &AttemptStart) -> ServerKey {
    ServerKey { address: start.address, incarnation: start.incarnation }
}

/// Sends a request to servers that lose it until it is given up; returns where it was sent.
fn lose(harness: &mut Harness, now: Timestamp, path: &str) -> Vec<AttemptStart> {
    let id = harness.begin(now, path);
    let mut starts = Vec::new();
    while let Step::Send(start) = harness.gateway.step(now, id) {
        harness.end(now, id, &start, AttemptEnd::Lost);
        starts.push(start);
    }
    harness.gateway.forget(now, id);
    starts
}

/// Crashes four servers by a request.
fn crash_servers(harness: &mut Harness, now: Timestamp) {
    for start in [lose(harness, now, POISON), lose(harness, now, POISON)].concat() {
        harness.gateway.on_server_probe(now, key_of(&start), ProbeOutcome::Refused);
    }
}

/// Returns what the server of an attempt announces once it has started again.
fn started_again(start: &AttemptStart) -> Announcement {
    Announcement {
        server: format!("again-{}", start.incarnation).parse().unwrap(),
        incarnation: Incarnation(start.incarnation.0 + 100),
        address: start.address,
        ..server(1, "north-a")
    }
}

fn trial_asks(harness: &mut Harness) -> Vec<TrialAsk> {
    let messages = harness.gateway.take_quarantine_messages().into_iter();
    let asks = messages.filter_map(|(_, message)| match message {
        QuarantineMessage::TrialAsk(ask) => Some(ask),
        _ => None,
    });
    asks.collect()
}

/// Begins a request in quarantine when a trial is due, and answers its ask.
fn ask_for_trial(harness: &mut Harness, now: Timestamp, outcome: TrialOutcome) -> RequestId {
    let id = harness.begin(now, POISON);
    assert!(matches!(harness.gateway.step(now, id), Step::Wait(_)));
    let asks = trial_asks(harness);
    let [ask] = &asks[..] else { panic!("one control host is asked: {asks:?}") };
    let answer = TrialAnswer { number: ask.number, fingerprint: ask.fingerprint, outcome };
    let message = QuarantineMessage::TrialAnswer(answer);
    harness.gateway.on_quarantine_message(now, CONTROL_HOST, &message);
    assert_eq!(harness.gateway.take_wakeups(), [id]);
    id
}

#[test]
fn only_requests_that_were_lost_twice_cost_connections() {
    let mut harness = harness();
    let (id, start) = harness.send(at(0), "/pay/1");
    harness.end(at(5), id, &start, AttemptEnd::Lost);
    assert!(harness.gateway.take_server_probes().is_empty());

    let (id, start) = harness.send(at(10), "/pay/1");
    harness.end(at(15), id, &start, AttemptEnd::Lost);
    let probes = harness.gateway.take_server_probes();

    assert_eq!(probes.len(), 2);
    assert!(probes.iter().all(|it| it.delay > Millis(0)));
}

#[test]
fn later_starts_of_servers_show_that_they_have_crashed() {
    let mut harness = harness();
    let lost = [lose(&mut harness, at(0), POISON), lose(&mut harness, at(0), POISON)].concat();
    assert!(harness.gateway.begin(at(10), head(POISON)).is_ok());

    harness.update(at(3_000), lost.iter().map(started_again).collect(), Vec::new());

    let refused = harness.gateway.begin(at(3_010), head(POISON)).unwrap_err();
    assert_eq!((refused.reason, refused.run), (RefusalReason::Quarantined, RunStatus::NotRun));
}

/// Guards against lost answers that count as crashes of servers which work on and end later: requests of
/// organisations with few answers were refused.
#[test]
fn a_server_that_loses_another_request_later_has_not_ended_at_the_first() {
    let mut harness = harness();
    let lost = [lose(&mut harness, at(0), POISON), lose(&mut harness, at(0), POISON)].concat();

    for start in &lost {
        let other = Fingerprint::of(&start.incarnation.0.to_be_bytes());
        let report = LoadReport {
            address: start.address,
            incarnation: start.incarnation,
            scope: ReportScope::Near,
            in_flight: 0,
            event: LoadEvent::Lost(other),
        };
        harness.gateway.on_report(at(2_000), HostId(1), &report);
    }
    harness.update(at(3_000), lost.iter().map(started_again).collect(), Vec::new());

    assert!(harness.gateway.begin(at(3_010), head(POISON)).is_ok());
}

#[test]
fn planned_ends_of_servers_are_no_crashes() {
    let mut harness = harness();
    let lost = [lose(&mut harness, at(0), POISON), lose(&mut harness, at(0), POISON)].concat();

    let leaving = |start: &AttemptStart| Announcement {
        state: ServerState::Draining,
        sequence: 2,
        ..server(start.incarnation.0, "north-a")
    };
    harness.update(at(1_000), lost.iter().map(leaving).collect(), Vec::new());
    for start in &lost {
        harness.gateway.on_server_probe(at(2_000), key_of(start), ProbeOutcome::Refused);
    }

    assert!(harness.gateway.begin(at(2_010), head(POISON)).is_ok());
}

#[test]
fn a_request_in_quarantine_is_neither_hedged_nor_sent_again() {
    let mut harness = harness();
    for i in 0..20 {
        harness.run(at(i * 100), at(i * 100 + 50), "/look/1", AttemptEnd::Answered);
    }
    let (id, _) = harness.send(at(3_000), POISON);
    crash_servers(&mut harness, at(3_100));

    let step = harness.gateway.step(at(3_700), id);

    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[test]
fn a_trial_reaches_one_server_once_and_an_answer_clears_the_request() {
    let mut harness = harness();
    crash_servers(&mut harness, at(0));
    let refused = harness.gateway.begin(at(1_000), head(POISON)).unwrap_err();
    assert_eq!(refused.retry_after, Some(Millis(4_000)));

    let id = ask_for_trial(&mut harness, at(5_000), TrialOutcome::Granted);
    let Step::Send(start) = harness.gateway.step(at(5_010), id) else { panic!("not sent") };
    let other = harness.gateway.begin(at(5_020), head(POISON)).unwrap_err();
    assert_eq!(other.reason, RefusalReason::Quarantined);
    // Nothing else is sent, however long it takes.
    assert!(matches!(harness.gateway.step(at(6_500), id), Step::Wait(_)));
    harness.end(at(6_510), id, &start, AttemptEnd::Answered);

    assert!(matches!(harness.gateway.step(at(6_510), id), Step::Finish(Finish::Answer(_))));
    assert!(harness.gateway.begin(at(6_520), head(POISON)).is_ok());
}

#[test]
fn a_trial_that_is_lost_is_not_sent_again() {
    let mut harness = harness();
    crash_servers(&mut harness, at(0));
    let id = ask_for_trial(&mut harness, at(5_000), TrialOutcome::Granted);
    let Step::Send(start) = harness.gateway.step(at(5_010), id) else { panic!("not sent") };

    harness.end(at(5_020), id, &start, AttemptEnd::Lost);

    let Step::Finish(Finish::Refuse(refusal)) = harness.gateway.step(at(5_020), id) else {
        panic!("not given up")
    };
    assert_eq!(refusal.run, RunStatus::MayHaveRun);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn without_a_majority_of_the_control_hosts_there_is_no_trial() {
    let mut harness = harness();
    crash_servers(&mut harness, at(0));

    let id = ask_for_trial(&mut harness, at(5_000), TrialOutcome::Later(Millis(9_000)));

    let Step::Finish(Finish::Refuse(refusal)) = harness.gateway.step(at(5_010), id) else {
        panic!("not refused")
    };
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::Quarantined, RunStatus::NotRun));
    harness.gateway.forget(at(5_010), id);
    // Others are refused at once for as long as the control host has said.
    let refused = harness.gateway.begin(at(6_000), head(POISON)).unwrap_err();
    assert_eq!(refused.retry_after, Some(Millis(8_000)));
}

#[test]
fn an_answer_that_nobody_has_asked_for_permits_nothing() {
    let mut harness = harness();
    crash_servers(&mut harness, at(0));
    let id = harness.begin(at(5_000), POISON);
    harness.gateway.step(at(5_000), id);
    let ask = trial_asks(&mut harness).remove(0);
    let outcome = TrialOutcome::Granted;
    let answer = TrialAnswer { number: ask.number, fingerprint: ask.fingerprint, outcome };

    let message = QuarantineMessage::TrialAnswer(answer);
    harness.gateway.on_quarantine_message(at(5_010), HostId(2), &message);

    assert!(!matches!(harness.gateway.step(at(5_020), id), Step::Send(_)));
}
