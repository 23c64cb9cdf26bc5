//! Texts are accepted once, races have one winner, and the newest text outlives restarts.

mod fleet;

use fleet::{Fleet, submit, text};
use ids::{ConfigVersion, LogIndex};
use schema::operator::{
    Accepted, AuditOutcome, AuditQuery, LeaderHint, OperatorRequest, OperatorResponse,
};

fn accepted(response: OperatorResponse) -> Accepted {
    match response {
        OperatorResponse::Accepted(accepted) => accepted,
        other => panic!("{other:?}"),
    }
}

fn audit_outcomes(fleet: &mut Fleet) -> Vec<AuditOutcome> {
    let query = AuditQuery { first: 1, limit: 100 };
    match fleet.ask_leader("anna", OperatorRequest::Audit(query)) {
        OperatorResponse::Audit(page) => {
            control_core::verify_page(&page).unwrap();
            page.entries.into_iter().map(|it| it.record.outcome).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_resent_text_gets_the_first_outcome() {
    let mut fleet = Fleet::with_leader(3);

    let first = accepted(fleet.ask_leader("anna", submit(&text(1, 0))));
    let second = accepted(fleet.ask_leader("anna", submit(&text(1, 0))));

    assert!(!first.resent);
    assert!(second.resent);
    assert_eq!(first.acceptance, second.acceptance);
    assert_eq!(audit_outcomes(&mut fleet), [AuditOutcome::Accepted, AuditOutcome::Resent]);
}

#[test]
fn a_race_has_one_winner_that_the_loser_learns() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();

    let first = fleet.ask(leader, "anna", submit(&text(1, 0)));
    let second = fleet.ask(leader, "bjarni", submit(&text(1, 1)));
    fleet.run_until(|it| it.answers.len() == 2);

    let won = accepted(fleet.answers[&first].clone());
    let OperatorResponse::Conflict(lost) = &fleet.answers[&second] else { panic!() };
    assert_eq!(lost.winner, won.acceptance);
    assert_eq!(lost.winner.origin.operator, "anna");
    assert_eq!(audit_outcomes(&mut fleet), [AuditOutcome::Accepted, AuditOutcome::Conflict]);
}

#[test]
fn a_version_must_follow_the_current_one() {
    let mut fleet = Fleet::with_leader(3);
    accepted(fleet.ask_leader("anna", submit(&text(37, 0))));

    let skipping = fleet.ask_leader("anna", submit(&text(39, 0)));
    let older = fleet.ask_leader("anna", submit(&text(36, 0)));
    let next = fleet.ask_leader("anna", submit(&text(38, 1)));

    assert!(matches!(skipping, OperatorResponse::OutOfOrder(_)), "{skipping:?}");
    assert!(matches!(older, OperatorResponse::Superseded(_)), "{older:?}");
    assert_eq!(accepted(next).summary, "services ~queue");
}

#[test]
fn a_faulty_text_is_refused_whole_and_audited() {
    let mut fleet = Fleet::with_leader(3);

    let response = fleet.ask_leader("anna", submit(&text(1, 0).replace("floor", "flor")));

    let OperatorResponse::Invalid(errors) = response else { panic!("{response:?}") };
    assert!(errors[0].line > 1, "{errors:?}");
    fleet.step();
    assert_eq!(audit_outcomes(&mut fleet), [AuditOutcome::Invalid]);
    let current = fleet.ask_leader("anna", OperatorRequest::Current);
    assert_eq!(current, OperatorResponse::NoConfiguration);
}

#[test]
fn a_follower_names_the_leader() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();
    let follower = fleet.ids().into_iter().find(|it| *it != leader).unwrap();

    let request = fleet.ask(follower, "anna", submit(&text(1, 0)));

    let expected = OperatorResponse::NotLeader(LeaderHint::Host(leader));
    assert_eq!(fleet.answers[&request], expected);
}

#[test]
fn an_isolated_leader_refuses_and_an_unknown_outcome_is_resolved_by_resending() {
    let mut fleet = Fleet::with_leader(3);
    let isolated = fleet.leader().unwrap();
    for host in fleet.ids() {
        fleet.cuts.insert((host, isolated));
    }
    let early = fleet.ask(isolated, "anna", submit(&text(1, 0)));
    fleet.run_until(|it| it.leader().is_some_and(|leader| leader != isolated));

    let late = fleet.ask(isolated, "anna", OperatorRequest::Current);

    assert_eq!(fleet.answers[&early], OperatorResponse::OutcomeUnknown);
    assert!(matches!(fleet.answers[&late], OperatorResponse::NotLeader(_)));
    fleet.cuts.clear();
    accepted(fleet.ask_leader("anna", submit(&text(1, 0))));
    let versions = |it: &Fleet| it.ids().iter().all(|host| it.in_force(*host) == ConfigVersion(1));
    fleet.run_until(versions);
}

#[test]
fn hundreds_of_changes_outlive_a_restart_of_all_hosts() {
    let mut fleet = Fleet::with_leader(3);
    for version in 1..=300 {
        accepted(fleet.ask_leader("anna", submit(&text(version, version as u32 % 5))));
    }

    for host in fleet.ids() {
        fleet.stop(host);
        fleet.start(host, false);
    }

    fleet.run_until(|it| it.ids().iter().all(|host| it.in_force(*host) == ConfigVersion(300)));
    let current = fleet.ask_leader("anna", OperatorRequest::Current);
    let OperatorResponse::Current(current) = current else { panic!("{current:?}") };
    assert_eq!(current.text, text(300, 0));
}

#[test]
fn lost_disks_one_after_the_other_lose_no_version() {
    let mut fleet = Fleet::with_leader(3);
    for version in 1..=3 {
        accepted(fleet.ask_leader("anna", submit(&text(version, 0))));
        for host in fleet.ids() {
            fleet.lose_disk(host);
            fleet.start(host, true);
            fleet.run_until(|it| {
                let voters = |leader| it.core(leader).consensus().members().voters.len();
                it.leader().is_some_and(|leader| voters(leader) == 3)
                    && it.core(host).consensus().is_voter()
                    && it.in_force(host) == ConfigVersion(version)
            });
        }
    }
}

#[test]
fn a_removed_voter_is_audited_and_the_rest_go_on() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();
    let removed = fleet.ids().into_iter().find(|it| *it != leader).unwrap();
    fleet.stop(removed);

    let response = fleet.ask_leader("anna", OperatorRequest::RemoveVoter(removed));

    assert_eq!(response, OperatorResponse::MembershipChangeStarted);
    accepted(fleet.ask_leader("anna", submit(&text(1, 0))));
    let outcomes = audit_outcomes(&mut fleet);
    assert_eq!(outcomes, [AuditOutcome::MembershipChanged, AuditOutcome::Accepted]);
    assert_eq!(fleet.core(leader).consensus().members().voters.len(), 2);
}

#[test]
fn a_host_that_missed_the_log_gets_the_text_by_a_snapshot() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();
    let late = fleet.ids().into_iter().find(|it| *it != leader).unwrap();
    fleet.stop(late);
    accepted(fleet.ask_leader("anna", submit(&text(1, 0))));
    while fleet.core(leader).consensus().snapshot_index() == LogIndex(0) {
        fleet.ask(leader, "anna", submit("no text"));
        fleet.step();
    }

    fleet.start(late, false);

    fleet.run_until(|it| it.in_force(late) == ConfigVersion(1));
    assert!(fleet.core(late).consensus().snapshot_index() > LogIndex(0));
}
