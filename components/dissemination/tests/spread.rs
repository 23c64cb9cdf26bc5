//! Tests that configurations, announcements and claim maps reach every host.

mod fleet;

use dissemination::DisseminationAction;
use ids::{Blob, ConfigVersion, Epoch, HostId, Millis};
use schema::{announcement::ServerState, config_text::ConfigText};

use crate::fleet::{Fleet, announcement, config_text};

/// Returns `text` with its services and organisations sorted by name.
fn sorted(text: &ConfigText) -> ConfigText {
    let mut text = text.clone();
    text.services.sort_by(|a, b| a.name.cmp(&b.name));
    text.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    text
}

#[test]
fn a_published_configuration_reaches_every_host() {
    let mut fleet = Fleet::new(3, 6, 3, 1);
    fleet.publish(HostId(17), &config_text(1, 100, 5));
    fleet.run(Millis(1_000));
    assert!(fleet.all_have_version(1));

    fleet.publish(HostId(17), &config_text(2, 100, 6));
    fleet.run(Millis(1_000));

    assert!(fleet.all_have_version(2));
    let config = fleet.hosts[&HostId(4)].config().unwrap();
    assert_eq!(sorted(config), config_text(2, 100, 6));
}

#[test]
fn control_hosts_learn_the_version_in_force_on_every_host() {
    let mut fleet = Fleet::new(3, 6, 3, 2);
    fleet.publish(HostId(17), &config_text(1, 10, 5));

    fleet.run(Millis(2_000));

    for control in [15, 16, 17] {
        let reports = fleet.hosts[&HostId(control)].reported_versions();
        assert_eq!(reports.filter(|it| it.1 == ConfigVersion(1)).count(), 18);
    }
}

#[test]
fn a_restarted_host_recovers_without_control_hosts() {
    let mut fleet = Fleet::new(3, 6, 3, 3);
    fleet.publish(HostId(17), &config_text(7, 10, 5));
    fleet.run(Millis(1_000));
    for control in [15, 16, 17] {
        fleet.stop(HostId(control));
    }
    fleet.start(HostId(4));
    assert!(!fleet.hosts[&HostId(4)].is_ready());

    fleet.run(Millis(4_000));

    assert!(fleet.hosts[&HostId(4)].is_ready());
    assert_eq!(fleet.hosts[&HostId(4)].version(), ConfigVersion(7));
}

#[test]
fn an_older_or_conflicting_configuration_is_rejected() {
    let mut fleet = Fleet::new(2, 4, 2, 4);
    fleet.publish(HostId(7), &config_text(5, 10, 5));
    fleet.run(Millis(1_000));

    fleet.publish(HostId(6), &config_text(4, 10, 1));
    fleet.publish(HostId(6), &config_text(5, 10, 2));
    fleet.run(Millis(3_000));

    let expected = config_text(5, 10, 5);
    assert!(fleet.hosts.values().all(|it| sorted(it.config().unwrap()) == expected));
    assert!(fleet.hosts[&HostId(6)].conflicts() > 0);
}

#[test]
fn a_draining_state_reaches_every_host_and_is_not_reverted() {
    let mut fleet = Fleet::new(3, 6, 3, 5);
    let server = "server-1".parse().unwrap();
    fleet.announce(HostId(0), announcement("server-1", 1, ServerState::Serving));
    fleet.run(Millis(500));
    fleet.announce(HostId(4), announcement("server-1", 3, ServerState::Draining));
    fleet.run(Millis(500));
    assert!(fleet.server_states(&server).iter().all(|it| *it == Some(ServerState::Draining)));

    fleet.announce(HostId(8), announcement("server-1", 2, ServerState::Serving));
    fleet.run(Millis(3_000));

    assert!(fleet.server_states(&server).iter().all(|it| *it == Some(ServerState::Draining)));
}

#[test]
fn a_renewal_newer_than_an_unseen_change_wins() {
    let mut fleet = Fleet::new(2, 6, 2, 9);
    let server = "server-1".parse().unwrap();
    fleet.announce(HostId(0), announcement("server-1", 3, ServerState::Serving));
    fleet.run(Millis(500));
    for other in (0..12).map(HostId) {
        fleet.blocked_links.insert((other, HostId(4)));
    }
    fleet.announce(HostId(0), announcement("server-1", 5, ServerState::Draining));
    fleet.announce(HostId(4), announcement("server-1", 7, ServerState::Serving));
    fleet.run(Millis(500));

    fleet.blocked_links.clear();
    fleet.run(Millis(5_000));

    assert!(fleet.server_states(&server).iter().all(|it| *it == Some(ServerState::Serving)));
}

#[test]
fn an_overdue_server_is_stale_until_it_announces_itself_again() {
    let mut fleet = Fleet::new(2, 6, 2, 6);
    let server = "server-1".parse().unwrap();
    fleet.announce(HostId(0), announcement("server-1", 1, ServerState::Serving));
    fleet.run(Millis(8_000));
    let is_stale = |it: &&(HostId, DisseminationAction)| {
        matches!(it.1, DisseminationAction::ServerStale { .. })
    };
    assert_eq!(fleet.events.iter().filter(is_stale).count(), 12);
    assert!(fleet.server_states(&server).iter().all(|it| *it == Some(ServerState::Serving)));

    fleet.events.clear();
    fleet.announce(HostId(5), announcement("server-1", 2, ServerState::Serving));
    fleet.run(Millis(500));

    let is_fresh = |it: &&(HostId, DisseminationAction)| {
        matches!(it.1, DisseminationAction::ServerFresh { .. })
    };
    assert_eq!(fleet.events.iter().filter(is_fresh).count(), 12);
}

#[test]
fn renewals_through_any_host_keep_a_server_fresh() {
    let mut fleet = Fleet::new(2, 6, 2, 7);
    for sequence in 1..20 {
        let host = HostId(sequence as u32 % 10);
        fleet.announce(host, announcement("server-1", sequence, ServerState::Serving));
        fleet.run(Millis(1_000));
    }

    let stale = |it: &(HostId, DisseminationAction)| {
        matches!(it.1, DisseminationAction::ServerStale { .. })
    };
    assert!(!fleet.events.iter().any(stale));
}

#[test]
fn the_claim_map_with_the_highest_epoch_wins() {
    let mut fleet = Fleet::new(2, 6, 2, 8);
    for (host, epoch) in [(10, 2), (11, 1)] {
        let content = Blob::from(vec![epoch as u8; 100]);
        let dissemination = fleet.hosts.get_mut(&HostId(host)).unwrap();
        let actions = dissemination.publish_claim_map(Epoch(epoch), content);
        fleet.apply_actions(HostId(host), actions);
    }

    fleet.run(Millis(3_000));

    let newest = fleet
        .events
        .iter()
        .filter(|it| matches!(it.1, DisseminationAction::ClaimMapChanged { epoch: Epoch(2), .. }));
    assert_eq!(newest.count(), 12);
}
