//! The server chooser prefers fast, idle and near servers.

use ids::{Millis, ServerId, Timestamp};
use routing::{Attempt, AttemptEnd, Candidate, Distance, ServerChooser};

const ROUNDS: u32 = 1_000;

fn server(number: u32) -> ServerId {
    format!("server-{number}").parse().unwrap()
}

fn candidate(number: u32, distance: Distance) -> Candidate {
    Candidate {
        server: server(number),
        distance,
        weight_milli: 1_000,
        last_resort: false,
        slots: 3,
    }
}

fn near_servers(count: u32) -> Vec<Candidate> {
    (0..count).map(|number| candidate(number, Distance::SameDataCentre)).collect()
}

/// Records one attempt on server `number`, which ends after `latency`.
fn attempt(chooser: &mut ServerChooser, number: u32, latency: Millis, end: AttemptEnd) {
    let started = Timestamp::from_millis(1_000);
    chooser.started(started, &server(number));
    let report = Attempt { started, reported_load: None, end };
    chooser.finished(started + latency, &server(number), report);
}

fn times_chosen(chooser: &mut ServerChooser, candidates: &[Candidate], number: u32) -> u32 {
    let now = Timestamp::from_millis(2_000);
    let chosen = (0..ROUNDS)
        .filter(|_| chooser.choose(now, candidates, &[]) == Some(server(number)))
        .count();
    chosen as u32
}

#[test]
fn tried_and_weightless_servers_are_never_chosen() {
    let mut chooser = ServerChooser::new(1);
    let mut candidates = near_servers(3);
    candidates[1].weight_milli = 0;

    for _ in 0..ROUNDS {
        let chosen = chooser.choose(Timestamp(0), &candidates, &[server(0)]);
        assert_eq!(chosen, Some(server(2)));
    }
    assert_eq!(chooser.choose(Timestamp(0), &candidates, &[server(0), server(2)]), None);
}

#[test]
fn last_resorts_are_only_used_when_no_other_is_left() {
    let mut chooser = ServerChooser::new(1);
    let mut candidates = near_servers(2);
    candidates[0].last_resort = true;

    assert_eq!(times_chosen(&mut chooser, &candidates, 0), 0);
    assert_eq!(chooser.choose(Timestamp(0), &candidates, &[server(1)]), Some(server(0)));
}

#[test]
fn slow_failing_and_shedding_servers_are_passed_over() {
    for (latency, end) in [
        (Millis(400), AttemptEnd::Answered),
        (Millis(1), AttemptEnd::Failed),
        (Millis(1), AttemptEnd::Shed),
    ] {
        let mut chooser = ServerChooser::new(1);
        for number in 0..4 {
            attempt(&mut chooser, number, Millis(100), AttemptEnd::Answered);
        }
        attempt(&mut chooser, 0, latency, end);

        let chosen = times_chosen(&mut chooser, &near_servers(4), 0);

        assert_eq!(chosen, 0, "{end:?}");
    }
}

#[test]
fn a_server_that_failed_long_ago_is_tried_again() {
    let mut chooser = ServerChooser::new(1);
    attempt(&mut chooser, 0, Millis(100), AttemptEnd::Failed);
    let later = Timestamp::from_millis(120_000);
    for number in 1..4 {
        chooser.started(later, &server(number));
        let report = Attempt { started: later, reported_load: None, end: AttemptEnd::Answered };
        chooser.finished(later + Millis(100), &server(number), report);
    }

    let chosen = chooser.choose(later + Millis(200), &near_servers(4), &[]);

    assert_eq!(chosen, Some(server(0)));
}

#[test]
fn a_failed_server_does_not_keep_unknown_ones_from_being_tried() {
    let mut chooser = ServerChooser::new(1);
    attempt(&mut chooser, 0, Millis(1), AttemptEnd::Failed);
    attempt(&mut chooser, 1, Millis(1), AttemptEnd::Answered);

    let chosen = times_chosen(&mut chooser, &near_servers(4), 2);

    assert!(chosen > ROUNDS / 10, "{chosen}");
}

#[test]
fn a_server_without_answers_is_retried_every_few_seconds_among_fast_ones() {
    for end in [AttemptEnd::Failed, AttemptEnd::Cancelled] {
        let tried = seconds_tried(end);

        assert!((2..=4).contains(&tried.len()), "{end:?}: {tried:?}");
    }
}

/// Returns the seconds in which server 0, whose attempts end with `end` after 200 ms, is chosen if
/// there is one attempt per second among four servers.
fn seconds_tried(end: AttemptEnd) -> Vec<u64> {
    let mut chooser = ServerChooser::new(1);
    attempt(&mut chooser, 0, Millis(200), end);
    let mut tried = Vec::new();

    for second in 2..30 {
        let now = Timestamp::from_millis(second * 1_000);
        let chosen = chooser.choose(now, &near_servers(4), &[]).unwrap();
        chooser.started(now, &chosen);
        let (end, latency) = match chosen == server(0) {
            true => (end, Millis(200)),
            false => (AttemptEnd::Answered, Millis(1)),
        };
        let report = Attempt { started: now, reported_load: None, end };
        chooser.finished(now + latency, &chosen, report);
        if chosen == server(0) {
            tried.push(second);
        }
    }
    tried
}

#[test]
fn farther_servers_are_used_when_the_near_ones_are_much_busier() {
    let mut chooser = ServerChooser::new(1);
    let candidates = [
        candidate(0, Distance::SameDataCentre),
        candidate(1, Distance::SameRegion),
        candidate(2, Distance::OtherRegion),
    ];
    for number in 0..3 {
        attempt(&mut chooser, number, Millis(100), AttemptEnd::Answered);
    }
    let now = Timestamp::from_millis(2_000);
    let mut chosen = Vec::new();

    for _ in 0..8 {
        let server = chooser.choose(now, &candidates, &[]).unwrap();
        chooser.started(now, &server);
        chosen.push(server);
    }

    let near = chosen.iter().filter(|chosen| **chosen == server(0)).count();
    let far = chosen.iter().filter(|chosen| **chosen == server(2)).count();
    assert_eq!(chosen[0], server(0));
    assert_eq!(chosen[1], server(1));
    assert!(far <= 1 && near >= 3, "{chosen:?}");
}

#[test]
fn the_same_seed_chooses_the_same_servers() {
    let choose = || {
        let mut chooser = ServerChooser::new(7);
        let candidates = near_servers(12);
        (0..50)
            .map(|_| {
                let server = chooser.choose(Timestamp(0), &candidates, &[]).unwrap();
                chooser.started(Timestamp(0), &server);
                server
            })
            .collect::<Vec<_>>()
    };

    assert_eq!(choose(), choose());
}
