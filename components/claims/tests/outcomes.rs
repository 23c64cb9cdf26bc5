//! The decisions on claims, without message faults.

mod fleet;

use claims::{ClaimKey, Decision, NotGranted};
use fleet::{Fleet, answer, payload, settings};
use ids::{HostId, KeyDigest, Millis};
use schema::claims::StoredAnswer;

#[test]
fn the_first_claim_is_granted_and_a_resend_elsewhere_gets_the_answer() {
    let mut fleet = Fleet::new(5);
    let key = fleet.key(1);
    let first = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();
    fleet.finish(HostId(1), first, answer("booked"));
    fleet.deliver_all();

    let resend = fleet.begin(HostId(5), &key, payload(1));
    fleet.deliver_all();

    assert_eq!(fleet.decision(first), Some(&Decision::Granted));
    assert_eq!(fleet.decision(resend), Some(&Decision::Finished(answer("booked"))));
    assert!(fleet.nodes.values().all(|it| it.status().open == 0));
}

#[test]
fn a_claim_takes_one_round_trip_to_the_replicas() {
    let mut fleet = Fleet::new(5);
    let key = fleet.key(1);
    let (replicas, other) = fleet.replicas_and_other_host(&key);

    let request = fleet.begin(other, &key, payload(1));
    let asked: Vec<_> = fleet.in_flight.iter().map(|it| it.to).collect();
    (0..3).for_each(|_| fleet.deliver(0));
    (0..2).for_each(|_| fleet.deliver(0));

    assert_eq!(asked, replicas);
    assert_eq!(fleet.decision(request), Some(&Decision::Granted));
}

#[test]
fn claims_work_with_one_or_two_hosts() {
    for hosts in [1, 2] {
        let mut fleet = Fleet::new(hosts);
        let key = fleet.key(1);
        let first = fleet.begin(HostId(1), &key, payload(1));
        fleet.deliver_all();
        fleet.finish(HostId(1), first, answer("booked"));
        fleet.deliver_all();

        let resend = fleet.begin(HostId(hosts), &key, payload(1));
        fleet.deliver_all();

        assert_eq!(fleet.decision(first), Some(&Decision::Granted));
        assert_eq!(fleet.decision(resend), Some(&Decision::Finished(answer("booked"))));
    }
}

#[test]
fn a_key_in_progress_is_distinguished_from_another_payload() {
    let mut fleet = Fleet::new(5);
    let key = fleet.key(1);
    fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();

    let same = fleet.begin(HostId(2), &key, payload(1));
    let other = fleet.begin(HostId(3), &key, payload(2));
    fleet.deliver_all();

    assert_eq!(fleet.decision(same), Some(&Decision::InProgress));
    assert_eq!(fleet.decision(other), Some(&Decision::PayloadMismatch));
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut fleet = Fleet::new(5);
    let key = fleet.key(1);
    let first = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();
    fleet.release(HostId(1), first);
    fleet.deliver_all();

    let second = fleet.begin(HostId(2), &key, payload(1));
    fleet.deliver_all();

    assert_eq!(fleet.decision(second), Some(&Decision::Granted));
}

#[test]
fn a_resend_is_told_that_a_too_large_answer_is_not_kept() {
    let mut fleet = Fleet::new(3);
    let key = fleet.key(1);
    let first = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();
    let large = StoredAnswer::Kept(vec![0; 1025].into());
    fleet.finish(HostId(1), first, large);
    fleet.deliver_all();

    let resend = fleet.begin(HostId(2), &key, payload(1));
    fleet.deliver_all();

    let expected = Decision::Finished(StoredAnswer::NotKept);
    assert_eq!(fleet.decision(resend), Some(&expected));
}

#[test]
fn a_key_older_than_the_retention_is_refused_and_its_record_removed() {
    let mut fleet = Fleet::new(3);
    let key = fleet.key(1);
    let first = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();
    fleet.finish(HostId(1), first, answer("booked"));
    fleet.deliver_all();
    fleet.advance(settings().retention.0 + 1);

    let resend = fleet.begin(HostId(2), &key, payload(1));
    fleet.deliver_all();

    assert_eq!(fleet.decision(resend), Some(&Decision::Expired));
    assert!(fleet.nodes.values().all(|it| it.status().held == 0));
}

#[test]
fn a_key_without_a_ticket_can_be_claimed() {
    let mut fleet = Fleet::new(5);
    let key = ClaimKey { digest: KeyDigest::of(b"free"), ticket: None };
    let first = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();

    let second = fleet.begin(HostId(4), &key, payload(1));
    fleet.deliver_all();

    assert_eq!(fleet.decision(first), Some(&Decision::Granted));
    assert_eq!(fleet.decision(second), Some(&Decision::InProgress));
}

#[test]
fn claims_of_an_ended_process_become_unknown() {
    let mut fleet = Fleet::new(5);
    let key = fleet.key(1);
    let (replicas, other) = fleet.replicas_and_other_host(&key);
    fleet.begin(other, &key, payload(1));
    fleet.deliver_all();
    fleet.restart(other);
    let before = fleet.begin(replicas[0], &key, payload(1));
    fleet.deliver_all();

    let after = fleet.begin(replicas[0], &key, payload(1));
    fleet.deliver_all();

    assert_eq!(fleet.decision(before), Some(&Decision::InProgress));
    assert_eq!(fleet.decision(after), Some(&Decision::Unknown));
}

#[test]
fn a_claim_held_past_its_timeout_is_unknown_until_its_outcome_is_stored() {
    let mut fleet = Fleet::new(5);
    let key = fleet.key(1);
    let first = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();
    fleet.advance(settings().replica.hold_timeout.0 + 1);

    let before = fleet.begin(HostId(2), &key, payload(1));
    fleet.deliver_all();
    fleet.finish(HostId(1), first, answer("booked"));
    fleet.deliver_all();
    let after = fleet.begin(HostId(2), &key, payload(1));
    fleet.deliver_all();

    assert_eq!(fleet.decision(before), Some(&Decision::Unknown));
    assert_eq!(fleet.decision(after), Some(&Decision::Finished(answer("booked"))));
}

#[test]
fn full_replicas_prove_that_the_request_has_not_run() {
    let mut settings = settings();
    settings.replica.max_claims = 1;
    let mut fleet = Fleet::with_settings(3, settings);
    let first = fleet.key(1);
    fleet.begin(HostId(1), &first, payload(1));
    fleet.deliver_all();

    let second = fleet.key(2);
    let request = fleet.begin(HostId(1), &second, payload(1));
    fleet.deliver_all();

    let expected = Decision::Unavailable(NotGranted::NotRun);
    assert_eq!(fleet.decision(request), Some(&expected));
}

#[test]
fn a_process_that_froze_does_not_use_its_grants() {
    let mut fleet = Fleet::new(5);
    let key = ClaimKey { digest: KeyDigest::of(b"free"), ticket: None };
    let (_, other) = fleet.replicas_and_other_host(&key);
    let frozen = fleet.begin(other, &key, payload(1));
    (0..3).for_each(|_| fleet.deliver(0));

    fleet.now = fleet.now + settings().claimant.claim_timeout + Millis(1);
    fleet.deliver_all();
    let second = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();

    let expected = Decision::Unavailable(NotGranted::Unknown);
    assert_eq!(fleet.decision(frozen), Some(&expected));
    assert_eq!(fleet.decision(second), Some(&Decision::Granted));
}

#[test]
fn too_few_replicas_prove_nothing() {
    let mut fleet = Fleet::new(3);
    let key = fleet.key(1);
    fleet.stop(HostId(2));
    fleet.stop(HostId(3));

    let request = fleet.begin(HostId(1), &key, payload(1));
    fleet.run(Millis(1_000).0);

    let expected = Decision::Unavailable(NotGranted::Unknown);
    assert_eq!(fleet.decision(request), Some(&expected));
}
