//! Texts are accepted once, races have one winner, and the newest text outlives restarts.

mod fleet;

use fleet::{Fleet, submit, text};
use ids::ConfigVersion;
use schema::operator::OperatorResponse;

#[test]
fn a_resent_text_gets_the_first_outcome() {
    let mut fleet = Fleet::with_leader(3);

    let first = fleet.ask_leader("anna", submit(&text(1, 0)));
    let second = fleet.ask_leader("anna", submit(&text(1, 0)));

    let OperatorResponse::Accepted(first) = first else { panic!("{first:?}") };
    let OperatorResponse::Accepted(second) = second else { panic!("{second:?}") };
    assert!(!first.resent);
    assert!(second.resent);
    assert_eq!(first.acceptance, second.acceptance);
}

#[test]
fn a_race_has_one_winner_that_the_loser_learns() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();

    let first = fleet.ask(leader, "anna", submit(&text(1, 0)));
    let second = fleet.ask(leader, "bjarni", submit(&text(1, 1)));
    fleet.run_until(|it| it.answers.len() == 2);

    let OperatorResponse::Accepted(won) = &fleet.answers[&first] else { panic!() };
    let OperatorResponse::Conflict(lost) = &fleet.answers[&second] else { panic!() };
    assert_eq!(lost.winner, won.acceptance);
    assert_eq!(lost.winner.origin.operator, "anna");
}

#[test]
fn hundreds_of_changes_outlive_a_restart_of_all_hosts() {
    let mut fleet = Fleet::with_leader(3);
    for version in 1..=300 {
        let answer = fleet.ask_leader("anna", submit(&text(version, version as u32 % 5)));
        assert!(matches!(answer, OperatorResponse::Accepted(_)), "{answer:?}");
    }

    for host in fleet.ids() {
        fleet.stop(host);
        fleet.start(host, false);
    }
    fleet.run_until(|it| it.ids().iter().all(|host| it.in_force(*host) == ConfigVersion(300)));
}
