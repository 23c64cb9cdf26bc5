//! Tests that no accepted configuration is lost or replaced while control hosts fail.

mod support;

use std::fs;

use daisypaddle::operator::{OperatorClient, OperatorError};
use fault_proxy::Fault;
use ids::{ConfigVersion, ContentDigest, HostId};
use schema::operator::{
    AuditOutcome, AuditRecord, Conflict, OperatorRequest, OperatorResponse, Submit,
};
use support::{
    Fleet, VersionMonitor, accepted, audit_trail, config_text, submit_through, wait_for,
};
use tokio::sync::watch;

const CONTROL_HOSTS: usize = 3;

/// Returns the configuration of a version; consecutive versions also differ in the floor.
fn text_for(version: u64) -> String {
    config_text(version, 1 + (version % 3) as u32)
}

/// Checks that the audit trail holds one acceptance of each version up to `newest`, in order.
fn assert_accepted_once(trail: &[AuditRecord], newest: u64) {
    let acceptances = trail.iter().filter(|it| it.outcome == AuditOutcome::Accepted);
    let versions: Vec<_> = acceptances.map(|it| it.version.0).collect();
    assert_eq!(versions, (1..=newest).collect::<Vec<_>>());
}

/// Checks that the leader returns `text` as the current configuration.
async fn assert_current(client: &OperatorClient, text: &str) {
    let current = wait_for("the current configuration", async || {
        match client.request(&OperatorRequest::Current).await {
            Ok(OperatorResponse::Current(current)) => Some(current),
            _ => None,
        }
    })
    .await;
    assert_eq!(current.text, text);
}

/// Kills a control host, deletes its data, restarts it and waits until it is a voter again.
async fn restart_with_empty_disk(fleet: &mut Fleet, index: usize) {
    let host = fleet.control[index].id;
    let members = fleet.control_status(index).await.unwrap().members;
    let old = members.voters.into_iter().find(|it| it.host == host).unwrap();
    fleet.control[index].process.kill();
    fs::remove_dir_all(fleet.data_folder(index)).unwrap();
    fleet.start_control(index, false);
    fleet
        .wait_for_control(index, |it| {
            let is_new = it.members.voters.iter().any(|it| it.host == host && it.disk > old.disk);
            is_new && it.members.voters.len() == CONTROL_HOSTS
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_survive_kills_of_the_leader() {
    const NEWEST: u64 = 40;
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    let client = fleet.operator();
    let (progress_tx, mut progress_rx) = watch::channel(1);
    let submissions = async move {
        for version in 2..=NEWEST {
            let text = text_for(version);
            accepted(submit_through(&client, &text).await, &text);
            progress_tx.send_replace(version);
        }
    };
    let kills = async {
        for kill_at in [10, 20, 30] {
            progress_rx.wait_for(|it| *it >= kill_at).await.unwrap();
            let leader = fleet.leader().await;
            fleet.control[leader].process.kill();
            progress_rx.wait_for(|it| *it >= kill_at + 2).await.unwrap();
            fleet.start_control(leader, false);
        }
    };

    tokio::join!(submissions, kills);

    fleet.wait_for_version(ConfigVersion(NEWEST)).await;
    monitor.finish().await;
    assert_current(&fleet.operator(), &text_for(NEWEST)).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, NEWEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_newest_of_many_versions_survives_a_restart_of_all_processes() {
    const NEWEST: u64 = 301;
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let client = fleet.operator();
    let monitor = VersionMonitor::start(&fleet);
    for version in 2..=NEWEST {
        let text = text_for(version);
        accepted(submit_through(&client, &text).await, &text);
    }
    fleet.wait_for_version(ConfigVersion(NEWEST)).await;

    fleet.control.iter_mut().for_each(|it| it.process.kill());
    fleet.entries.iter_mut().for_each(|it| it.process.kill());
    (0..CONTROL_HOSTS).for_each(|it| fleet.start_control(it, false));
    (0..4).for_each(|it| fleet.start_entry(it));

    fleet.wait_for_version(ConfigVersion(NEWEST)).await;
    monitor.finish().await;
    assert_current(&client, &text_for(NEWEST)).await;
    assert_accepted_once(&audit_trail(&client).await, NEWEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn disks_lost_one_after_the_other_lose_no_version() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);

    for index in 0..CONTROL_HOSTS {
        restart_with_empty_disk(&mut fleet, index).await;
        let text = text_for(index as u64 + 2);
        accepted(fleet.submit(&text).await, &text);
    }

    fleet.wait_for_version(ConfigVersion(4)).await;
    monitor.finish().await;
    assert_current(&fleet.operator(), &text_for(4)).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_lost_right_after_another_was_replaced_loses_no_version() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    restart_with_empty_disk(&mut fleet, 0).await;

    fleet.control[1].process.kill();
    fs::remove_dir_all(fleet.data_folder(1)).unwrap();
    let text = text_for(2);
    accepted(submit_through(&fleet.operator(), &text).await, &text);

    fleet.wait_for_version(ConfigVersion(2)).await;
    monitor.finish().await;
    assert_current(&fleet.operator(), &text).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 2);
    fleet.start_control(1, false);
    fleet
        .wait_for_control(1, |it| {
            it.version == ConfigVersion(2) && it.members.voters.len() == CONTROL_HOSTS
        })
        .await;
}

/// Applies `partition` to the leader and checks that it stops responding as leader once its lease
/// has expired, and that it follows the new leader after the partition has healed.
async fn check_partitioned_leader(partition: impl Fn(&Fleet, HostId)) {
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    let leader = fleet.leader().await;
    let texts = [config_text(2, 8), config_text(2, 9)];
    let submit = OperatorRequest::Submit(Submit { text: texts[1].clone() });

    partition(&fleet, fleet.control[leader].id);
    let write_under_lease = fleet.request_at(leader, &submit).await;
    fleet.wait_for_control(leader, |it| !it.holds_lease).await;
    let write_after_lease = fleet.request_at(leader, &submit).await;
    let read_after_lease = fleet.request_at(leader, &OperatorRequest::Current).await;
    let others_response = submit_through(&fleet.operator_without(leader), &texts[0]).await;
    let read_after_new_leader = fleet.request_at(leader, &OperatorRequest::Current).await;
    fleet.links.set_all(Fault::None);

    assert!(
        !matches!(write_under_lease, Some(OperatorResponse::Accepted(_))),
        "{write_under_lease:?}"
    );
    for rejected in [write_after_lease, read_after_lease, read_after_new_leader] {
        let is_rejected = matches!(
            rejected,
            Some(OperatorResponse::NotLeader(_) | OperatorResponse::LeaseExpired(_))
        );
        assert!(is_rejected, "{rejected:?}");
    }
    // A leader that receives nothing still replicates its first write, which may then win.
    let winner = usize::from(matches!(others_response, OperatorResponse::Conflict(_)));
    let won = accepted(fleet.submit(&texts[winner]).await, &texts[winner]);
    assert!(won.resent);
    let lost = fleet.submit(&texts[1 - winner]).await;
    assert!(matches!(lost, OperatorResponse::Conflict(_)), "{lost:?}");
    fleet.wait_for_control(leader, |it| it.version == ConfigVersion(2)).await;
    fleet.wait_for_version(ConfigVersion(2)).await;
    monitor.finish().await;
    assert_current(&fleet.operator(), &texts[winner]).await;
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_stops_responding_as_leader() {
    check_partitioned_leader(|fleet, host| fleet.isolate(host, Fault::Blackhole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_messages_are_lost_stops_responding_as_leader() {
    check_partitioned_leader(|fleet, host| fleet.links.set_outgoing(host, Fault::Blackhole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_receives_nothing_stops_responding_as_leader() {
    check_partitioned_leader(|fleet, host| fleet.links.set_incoming(host, Fault::Blackhole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_leader_does_not_respond_as_leader_when_resumed() {
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    let leader = fleet.leader().await;

    fleet.control[leader].process.signal("STOP");
    let winner = text_for(2);
    accepted(submit_through(&fleet.operator_without(leader), &winner).await, &winner);
    let request = async || fleet.request_at(leader, &OperatorRequest::Current).await;
    let resume = async {
        // Lets the request arrive before the leader resumes; the checks hold in either order.
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        fleet.control[leader].process.signal("CONT");
    };
    let (response, ()) = tokio::join!(request(), resume);

    assert!(!matches!(response, Some(OperatorResponse::Current(_))), "{response:?}");
    fleet.wait_for_control(leader, |it| it.version == ConfigVersion(2)).await;
    fleet.wait_for_version(ConfigVersion(2)).await;
    monitor.finish().await;
    assert_current(&fleet.operator(), &winner).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_submissions_wins() {
    const NEWEST: u64 = 11;
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    let (first, second) = (fleet.operator(), fleet.operator());

    for version in 2..=NEWEST {
        let texts = [config_text(version, 1), config_text(version, 2)];
        let responses: [_; 2] =
            tokio::join!(submit_through(&first, &texts[0]), submit_through(&second, &texts[1]))
                .into();
        let is_accepted = |it: &OperatorResponse| matches!(it, OperatorResponse::Accepted(_));
        let winner = responses.iter().position(is_accepted).unwrap();
        let won = accepted(responses[winner].clone(), &texts[winner]);
        let resent = accepted(submit_through(&second, &texts[winner]).await, &texts[winner]);

        let OperatorResponse::Conflict(Conflict { winner: reported, .. }) = &responses[1 - winner]
        else {
            panic!("expected one conflict: {responses:?}");
        };
        assert_eq!(*reported, won.acceptance);
        assert_eq!(resent.acceptance, won.acceptance);
        assert!(resent.resent);
    }

    fleet.wait_for_version(ConfigVersion(NEWEST)).await;
    monitor.finish().await;
    let trail = audit_trail(&first).await;
    assert_accepted_once(&trail, NEWEST);
    let conflicts = trail.iter().filter(|it| it.outcome == AuditOutcome::Conflict).count();
    assert_eq!(conflicts as u64, NEWEST - 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resubmission_after_a_lost_response_gets_the_first_outcome() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let leader = fleet.leader().await;
    let text = text_for(2);
    accepted(fleet.submit(&text).await, &text);
    let trail = audit_trail(&fleet.operator()).await;
    let first = trail.iter().find(|it| it.version == ConfigVersion(2)).unwrap();

    // The first response is treated as lost, and its sender is killed.
    fleet.control[leader].process.kill();
    let resent = accepted(fleet.submit(&text).await, &text);

    assert!(resent.resent);
    assert_eq!(resent.acceptance.at, first.at);
    assert_eq!(resent.acceptance.origin, first.origin);
    assert_accepted_once(&audit_trail(&fleet.operator()).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_submissions_are_rejected_and_audited() {
    let fleet = Fleet::start(CONTROL_HOSTS, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    let client = fleet.operator();
    let malformed = config_text(2, 3).replace("priority: 5", "priority: high");
    let contradictory =
        config_text(2, 3).replace("path: /queue, service: queue", "path: /q, service: q");
    let unknown_operator = OperatorClient::new(
        fleet.control.iter().map(|it| it.admin_address).collect(),
        "not-a-token".to_owned(),
    );

    let responses = [
        submit_through(&client, &malformed).await,
        submit_through(&client, &contradictory).await,
        submit_through(&client, &config_text(3, 3)).await,
        submit_through(&client, &config_text(1, 3)).await,
    ];
    let submit = OperatorRequest::Submit(Submit { text: config_text(2, 3) });
    let without_token = unknown_operator.request(&submit).await;

    assert!(matches!(responses[0], OperatorResponse::Invalid(_)), "{responses:?}");
    assert!(matches!(responses[1], OperatorResponse::Invalid(_)), "{responses:?}");
    assert!(matches!(responses[2], OperatorResponse::OutOfOrder(_)), "{responses:?}");
    assert!(matches!(responses[3], OperatorResponse::Conflict(_)), "{responses:?}");
    assert_eq!(without_token.unwrap_err(), OperatorError::BadToken);
    assert_current(&client, &config_text(1, 1)).await;
    let trail = audit_trail(&client).await;
    let digest = |it: &str| ContentDigest::of(it.as_bytes());
    // The fleet's first text is sent again if a change of leader delays the response.
    let first_text_again = (AuditOutcome::Resent, digest(&config_text(1, 1)));
    let rejected: Vec<_> = trail
        .iter()
        .map(|it| (it.outcome, it.digest))
        .filter(|it| it.0 != AuditOutcome::Accepted && *it != first_text_again)
        .collect();
    assert_eq!(
        rejected,
        [
            (AuditOutcome::Invalid, digest(&malformed)),
            (AuditOutcome::Invalid, digest(&contradictory)),
            (AuditOutcome::OutOfOrder, digest(&config_text(3, 3))),
            (AuditOutcome::Conflict, digest(&config_text(1, 3))),
        ]
    );
    fleet.wait_for_version(ConfigVersion(1)).await;
    monitor.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn control_hosts_that_wait_for_the_bootstrap_log_which_one_is_missing() {
    let mut fleet = Fleet::prepare(CONTROL_HOSTS, 0).await;
    let missing = fleet.control[2].id;
    let line = format!("waiting for control hosts to bootstrap the log missing={missing}");

    (0..2).for_each(|it| fleet.start_control(it, true));
    for index in 0..2 {
        wait_for("the log line", async || {
            fleet.control[index].process.log().contains(&line).then_some(())
        })
        .await;
    }
    fleet.start_control(2, true);

    accepted(fleet.submit(&text_for(1)).await, &text_for(1));
}
