//! An accepted configuration stays accepted while control hosts fail.

mod support;

use std::fs;

use daisypaddle::operator::{OperatorClient, OperatorError};
use fault_proxy::Fault;
use ids::{ConfigVersion, ContentDigest, HostId};
use schema::operator::{
    AuditOutcome, AuditRecord, Conflict, OperatorRequest, OperatorResponse, Submit,
};
use support::{Fleet, VersionWatch, accepted, audit_trail, submit_through, text, wait_for};
use tokio::sync::watch;

const CONTROL_HOSTS: usize = 3;

/// The text of a version; neighbouring versions differ in their floor too.
fn text_of(version: u64) -> String {
    text(version, 1 + (version % 3) as u32)
}

/// Fails unless the trail holds the acceptance of each version up to the newest, once.
fn assert_accepted_once(trail: &[AuditRecord], newest: u64) {
    let accepted = trail.iter().filter(|it| it.outcome == AuditOutcome::Accepted);
    let versions: Vec<_> = accepted.map(|it| it.version.0).collect();
    assert_eq!(versions, (1..=newest).collect::<Vec<_>>());
}

/// Fails unless the leader answers with the text as the current one.
async fn assert_current(client: &OperatorClient, text: &str) {
    let current = wait_for("the current text", async || {
        match client.request(&OperatorRequest::Current).await {
            Ok(OperatorResponse::Current(current)) => Some(current),
            _ => None,
        }
    })
    .await;
    assert_eq!(current.text, text);
}

/// Kills a control host, deletes its disk, starts it and waits until it is a voter again.
async fn lose_disk(fleet: &mut Fleet, index: usize) {
    let host = fleet.control[index].id;
    let lost = fleet.control_status(index).await.unwrap().members;
    let lost = lost.voters.into_iter().find(|it| it.host == host).unwrap();
    fleet.control[index].process.kill();
    fs::remove_dir_all(fleet.data_folder(index)).unwrap();
    fleet.start_control(index, false);
    fleet
        .wait_for_control(index, |it| {
            let is_new = it.members.voters.iter().any(|it| it.host == host && it.disk > lost.disk);
            is_new && it.members.voters.len() == CONTROL_HOSTS
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn submits_survive_kills_of_the_leader() {
    const NEWEST: u64 = 40;
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    let client = fleet.operator();
    let (progress_tx, mut progress) = watch::channel(1);
    let submits = async move {
        for version in 2..=NEWEST {
            let text = text_of(version);
            accepted(submit_through(&client, &text).await, &text);
            progress_tx.send_replace(version);
        }
    };
    let kills = async {
        for kill_at in [10, 20, 30] {
            progress.wait_for(|it| *it >= kill_at).await.unwrap();
            let leader = fleet.leader().await;
            fleet.control[leader].process.kill();
            progress.wait_for(|it| *it >= kill_at + 2).await.unwrap();
            fleet.start_control(leader, false);
        }
    };

    tokio::join!(submits, kills);

    fleet.wait_in_force(ConfigVersion(NEWEST)).await;
    versions.finish().await;
    assert_current(&fleet.operator(), &text_of(NEWEST)).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, NEWEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_newest_of_many_versions_is_in_force_after_a_restart_of_all_processes() {
    const NEWEST: u64 = 301;
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let client = fleet.operator();
    let versions = VersionWatch::start(&fleet);
    for version in 2..=NEWEST {
        let text = text_of(version);
        accepted(submit_through(&client, &text).await, &text);
    }
    fleet.wait_in_force(ConfigVersion(NEWEST)).await;

    fleet.control.iter_mut().for_each(|it| it.process.kill());
    fleet.entries.iter_mut().for_each(|it| it.process.kill());
    (0..CONTROL_HOSTS).for_each(|it| fleet.start_control(it, false));
    (0..4).for_each(|it| fleet.start_entry(it));

    fleet.wait_in_force(ConfigVersion(NEWEST)).await;
    versions.finish().await;
    assert_current(&client, &text_of(NEWEST)).await;
    assert_accepted_once(&audit_trail(&client).await, NEWEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn disks_lost_one_after_the_other_lose_nothing() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);

    for index in 0..CONTROL_HOSTS {
        lose_disk(&mut fleet, index).await;
        let text = text_of(index as u64 + 2);
        accepted(fleet.submit(&text).await, &text);
    }

    fleet.wait_in_force(ConfigVersion(4)).await;
    versions.finish().await;
    assert_current(&fleet.operator(), &text_of(4)).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_loss_right_after_a_repair_loses_nothing() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    lose_disk(&mut fleet, 0).await;

    fleet.control[1].process.kill();
    fs::remove_dir_all(fleet.data_folder(1)).unwrap();
    let text = text_of(2);
    accepted(submit_through(&fleet.operator(), &text).await, &text);

    fleet.wait_in_force(ConfigVersion(2)).await;
    versions.finish().await;
    assert_current(&fleet.operator(), &text).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 2);
    fleet.start_control(1, false);
    fleet
        .wait_for_control(1, |it| {
            it.version == ConfigVersion(2) && it.members.voters.len() == CONTROL_HOSTS
        })
        .await;
}

/// Cuts the leader off in some way; it must stop answering as current, and follow when healed.
async fn cut_leader_off(cut: impl Fn(&Fleet, HostId)) {
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    let leader = fleet.leader().await;
    let texts = [text(2, 8), text(2, 9)];
    let submit = OperatorRequest::Submit(Submit { text: texts[1].clone() });

    cut(&fleet, fleet.control[leader].id);
    let early_write = fleet.ask(leader, &submit).await;
    fleet.wait_for_control(leader, |it| !it.holds_lease).await;
    let late_write = fleet.ask(leader, &submit).await;
    let read = fleet.ask(leader, &OperatorRequest::Current).await;
    let others = submit_through(&fleet.operator_without(leader), &texts[0]).await;
    let late_read = fleet.ask(leader, &OperatorRequest::Current).await;
    fleet.links.set_all(Fault::None);

    assert!(!matches!(early_write, Some(OperatorResponse::Accepted(_))), "{early_write:?}");
    for refused in [late_write, read, late_read] {
        let is_refused = matches!(
            refused,
            Some(OperatorResponse::NotLeader(_) | OperatorResponse::LeaseExpired(_))
        );
        assert!(is_refused, "{refused:?}");
    }
    // The others may hold the early text from a leader that hears nobody; it may win then.
    let winner = usize::from(matches!(others, OperatorResponse::Conflict(_)));
    let won = accepted(fleet.submit(&texts[winner]).await, &texts[winner]);
    assert!(won.resent);
    let lost = fleet.submit(&texts[1 - winner]).await;
    assert!(matches!(lost, OperatorResponse::Conflict(_)), "{lost:?}");
    fleet.wait_for_control(leader, |it| it.version == ConfigVersion(2)).await;
    fleet.wait_in_force(ConfigVersion(2)).await;
    versions.finish().await;
    assert_current(&fleet.operator(), &texts[winner]).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_cut_off_stops_answering_as_current() {
    cut_leader_off(|fleet, host| fleet.isolate(host, Fault::Blackhole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_nobody_hears_stops_answering_as_current() {
    cut_leader_off(|fleet, host| fleet.links.set_sent(host, Fault::Blackhole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_hears_nobody_stops_answering_as_current() {
    cut_leader_off(|fleet, host| fleet.links.set_received(host, Fault::Blackhole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_does_not_answer_as_current_when_it_wakes() {
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    let leader = fleet.leader().await;

    fleet.control[leader].process.signal("STOP");
    let winner = text_of(2);
    accepted(submit_through(&fleet.operator_without(leader), &winner).await, &winner);
    let ask = async || fleet.ask(leader, &OperatorRequest::Current).await;
    let wake = async {
        // Lets the question arrive first; the test holds in any order.
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        fleet.control[leader].process.signal("CONT");
    };
    let (answer, ()) = tokio::join!(ask(), wake);

    assert!(!matches!(answer, Some(OperatorResponse::Current(_))), "{answer:?}");
    fleet.wait_for_control(leader, |it| it.version == ConfigVersion(2)).await;
    fleet.wait_in_force(ConfigVersion(2)).await;
    versions.finish().await;
    assert_current(&fleet.operator(), &winner).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_have_one_winner() {
    const NEWEST: u64 = 11;
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    let (first, second) = (fleet.operator(), fleet.operator());

    for version in 2..=NEWEST {
        let texts = [text(version, 1), text(version, 2)];
        let answers: [_; 2] =
            tokio::join!(submit_through(&first, &texts[0]), submit_through(&second, &texts[1]))
                .into();
        let is_accepted = |it: &OperatorResponse| matches!(it, OperatorResponse::Accepted(_));
        let winner = answers.iter().position(is_accepted).unwrap();
        let won = accepted(answers[winner].clone(), &texts[winner]);
        let resent = accepted(submit_through(&second, &texts[winner]).await, &texts[winner]);

        let OperatorResponse::Conflict(Conflict { winner: named, .. }) = &answers[1 - winner]
        else {
            panic!("two winners or none: {answers:?}");
        };
        assert_eq!(*named, won.acceptance);
        assert_eq!(resent.acceptance, won.acceptance);
        assert!(resent.resent);
    }

    fleet.wait_in_force(ConfigVersion(NEWEST)).await;
    versions.finish().await;
    let trail = audit_trail(&first).await;
    assert_accepted_once(&trail, NEWEST);
    let conflicts = trail.iter().filter(|it| it.outcome == AuditOutcome::Conflict).count();
    assert_eq!(conflicts as u64, NEWEST - 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_lost_answer_gives_the_first_outcome() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let leader = fleet.leader().await;
    let text = text_of(2);
    accepted(fleet.submit(&text).await, &text);
    let first = audit_trail(&fleet.operator()).await;
    let first = first.iter().find(|it| it.version == ConfigVersion(2)).unwrap();

    // The answer counts as lost; the host that gave it is gone too.
    fleet.control[leader].process.kill();
    let resent = accepted(fleet.submit(&text).await, &text);

    assert!(resent.resent);
    assert_eq!(resent.acceptance.at, first.at);
    assert_eq!(resent.acceptance.origin, first.origin);
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_submits_are_refused_whole_and_recorded() {
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    let client = fleet.operator();
    let malformed = text(2, 3).replace("priority: 5", "priority: high");
    let contradictory = text(2, 3).replace("path: /queue, service: queue", "path: /q, service: q");
    let stranger = OperatorClient::new(
        fleet.control.iter().map(|it| it.admin_address).collect(),
        "not-a-token".to_owned(),
    );

    let answers = [
        submit_through(&client, &malformed).await,
        submit_through(&client, &contradictory).await,
        submit_through(&client, &text(3, 3)).await,
        submit_through(&client, &text(1, 3)).await,
    ];
    let submit = OperatorRequest::Submit(Submit { text: text(2, 3) });
    let without_token = stranger.request(&submit).await;

    assert!(matches!(answers[0], OperatorResponse::Invalid(_)), "{answers:?}");
    assert!(matches!(answers[1], OperatorResponse::Invalid(_)), "{answers:?}");
    assert!(matches!(answers[2], OperatorResponse::OutOfOrder(_)), "{answers:?}");
    assert!(matches!(answers[3], OperatorResponse::Conflict(_)), "{answers:?}");
    assert_eq!(without_token.unwrap_err(), OperatorError::BadToken);
    assert_current(&client, &text(1, 1)).await;
    let trail = audit_trail(&client).await;
    let refused: Vec<_> = trail
        .iter()
        .filter(|it| it.outcome != AuditOutcome::Accepted)
        .map(|it| (it.outcome, it.digest))
        .collect();
    let digest = |it: &str| ContentDigest::of(it.as_bytes());
    assert_eq!(
        refused,
        [
            (AuditOutcome::Invalid, digest(&malformed)),
            (AuditOutcome::Invalid, digest(&contradictory)),
            (AuditOutcome::OutOfOrder, digest(&text(3, 3))),
            (AuditOutcome::Conflict, digest(&text(1, 3))),
        ]
    );
    fleet.wait_in_force(ConfigVersion(1)).await;
    versions.finish().await;
}
