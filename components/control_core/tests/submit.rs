//! Tests that each configuration is accepted once, that one of two concurrent submissions wins, and
//! that the newest configuration survives restarts and lost disks.

mod fleet;

use fleet::{Fleet, config_text, submit};
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
fn a_resubmitted_configuration_gets_its_first_outcome() {
    let mut fleet = Fleet::with_leader(3);

    let first = accepted(fleet.ask_leader("anna", submit(&config_text(1, 0))));
    let second = accepted(fleet.ask_leader("anna", submit(&config_text(1, 0))));

    assert!(!first.resent);
    assert!(second.resent);
    assert_eq!(first.acceptance, second.acceptance);
    assert_eq!(audit_outcomes(&mut fleet), [AuditOutcome::Accepted, AuditOutcome::Resent]);
}

#[test]
fn one_of_two_concurrent_submissions_wins_and_the_other_is_told() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();

    let first = fleet.ask(leader, "anna", submit(&config_text(1, 0)));
    let second = fleet.ask(leader, "bjarni", submit(&config_text(1, 1)));
    fleet.run_until(|it| it.answers.len() == 2);

    let winner = accepted(fleet.answers[&first].clone());
    let OperatorResponse::Conflict(conflict) = &fleet.answers[&second] else { panic!() };
    assert_eq!(conflict.winner, winner.acceptance);
    assert_eq!(conflict.winner.origin.operator, "anna");
    assert_eq!(audit_outcomes(&mut fleet), [AuditOutcome::Accepted, AuditOutcome::Conflict]);
}

#[test]
fn a_configuration_must_have_the_next_version() {
    let mut fleet = Fleet::with_leader(3);
    accepted(fleet.ask_leader("anna", submit(&config_text(37, 0))));

    let skipped = fleet.ask_leader("anna", submit(&config_text(39, 0)));
    let old = fleet.ask_leader("anna", submit(&config_text(36, 0)));
    let next = fleet.ask_leader("anna", submit(&config_text(38, 1)));

    assert!(matches!(skipped, OperatorResponse::OutOfOrder(_)), "{skipped:?}");
    assert!(matches!(old, OperatorResponse::Superseded(_)), "{old:?}");
    assert_eq!(accepted(next).summary, "services ~queue");
}

#[test]
fn an_invalid_configuration_is_rejected_and_audited() {
    let mut fleet = Fleet::with_leader(3);

    let response = fleet.ask_leader("anna", submit(&config_text(1, 0).replace("floor", "flor")));

    let OperatorResponse::Invalid(errors) = response else { panic!("{response:?}") };
    assert!(errors[0].line > 1, "{errors:?}");
    fleet.step();
    assert_eq!(audit_outcomes(&mut fleet), [AuditOutcome::Invalid]);
    let current = fleet.ask_leader("anna", OperatorRequest::Current);
    assert_eq!(current, OperatorResponse::NoConfiguration);
}

#[test]
fn a_follower_redirects_to_the_leader() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();
    let follower = fleet.ids().into_iter().find(|it| *it != leader).unwrap();

    let request = fleet.ask(follower, "anna", submit(&config_text(1, 0)));

    let expected = OperatorResponse::NotLeader(LeaderHint::Host(leader));
    assert_eq!(fleet.answers[&request], expected);
}

#[test]
fn an_isolated_leader_rejects_requests_and_resubmitting_resolves_an_unknown_outcome() {
    let mut fleet = Fleet::with_leader(3);
    let isolated = fleet.leader().unwrap();
    for host in fleet.ids() {
        fleet.blocked_links.insert((host, isolated));
    }
    let pending = fleet.ask(isolated, "anna", submit(&config_text(1, 0)));
    fleet.run_until(|it| it.leader().is_some_and(|leader| leader != isolated));

    let later = fleet.ask(isolated, "anna", OperatorRequest::Current);

    assert_eq!(fleet.answers[&pending], OperatorResponse::OutcomeUnknown);
    assert!(matches!(fleet.answers[&later], OperatorResponse::NotLeader(_)));
    fleet.blocked_links.clear();
    accepted(fleet.ask_leader("anna", submit(&config_text(1, 0))));
    let is_in_force =
        |it: &Fleet| it.ids().iter().all(|host| it.in_force(*host) == ConfigVersion(1));
    fleet.run_until(is_in_force);
}

#[test]
fn hundreds_of_versions_survive_a_restart_of_all_hosts() {
    let mut fleet = Fleet::with_leader(3);
    for version in 1..=300 {
        accepted(fleet.ask_leader("anna", submit(&config_text(version, version as u32 % 5))));
    }

    for host in fleet.ids() {
        fleet.stop(host);
        fleet.start(host, false);
    }

    fleet.run_until(|it| it.ids().iter().all(|host| it.in_force(*host) == ConfigVersion(300)));
    let current = fleet.ask_leader("anna", OperatorRequest::Current);
    let OperatorResponse::Current(current) = current else { panic!("{current:?}") };
    assert_eq!(current.text, config_text(300, 0));
}

#[test]
fn disks_lost_one_after_the_other_lose_no_version() {
    let mut fleet = Fleet::with_leader(3);
    for version in 1..=3 {
        accepted(fleet.ask_leader("anna", submit(&config_text(version, 0))));
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
fn removing_a_voter_is_audited_and_the_others_continue() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();
    let removed = fleet.ids().into_iter().find(|it| *it != leader).unwrap();
    fleet.stop(removed);

    let response = fleet.ask_leader("anna", OperatorRequest::RemoveVoter(removed));

    assert_eq!(response, OperatorResponse::MembershipChangeStarted);
    accepted(fleet.ask_leader("anna", submit(&config_text(1, 0))));
    let outcomes = audit_outcomes(&mut fleet);
    assert_eq!(outcomes, [AuditOutcome::MembershipChanged, AuditOutcome::Accepted]);
    assert_eq!(fleet.core(leader).consensus().members().voters.len(), 2);
}

#[test]
fn a_host_behind_the_compacted_log_is_sent_a_snapshot() {
    let mut fleet = Fleet::with_leader(3);
    let leader = fleet.leader().unwrap();
    let stopped = fleet.ids().into_iter().find(|it| *it != leader).unwrap();
    fleet.stop(stopped);
    accepted(fleet.ask_leader("anna", submit(&config_text(1, 0))));
    while fleet.core(leader).consensus().snapshot_index() == LogIndex(0) {
        fleet.ask(leader, "anna", submit("no text"));
        fleet.step();
    }

    fleet.start(stopped, false);

    fleet.run_until(|it| it.in_force(stopped) == ConfigVersion(1));
    assert!(fleet.core(stopped).consensus().snapshot_index() > LogIndex(0));
}
