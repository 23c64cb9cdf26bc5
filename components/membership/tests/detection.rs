//! Tests that failed hosts are declared lost in time, and healthy ones are not.

mod fleet;

use ids::{HostId, Millis, Timestamp};

use crate::fleet::Fleet;

/// Time within which directories must omit a dead host.
const DETECTION_LIMIT: Millis = Millis(3_000);

/// Returns when the last host declared `lost` to be lost.
fn last_detection(fleet: &Fleet, lost: HostId) -> Timestamp {
    let detections = fleet.lost.iter().filter(|it| it.1 == lost);
    detections.map(|it| it.2).max().expect("at least one host detects the failure")
}

#[test]
fn all_hosts_join_through_the_seeds() {
    let fleet = Fleet::new(3, 8, 1);

    assert!(fleet.has_converged());
    assert!(fleet.lost.is_empty());
    assert!(fleet.largest_message <= 1_200);
}

#[test]
fn all_hosts_detect_a_killed_host() {
    let mut fleet = Fleet::new(3, 8, 2);
    let killed_at = fleet.now;
    fleet.kill(HostId(10));

    fleet.run(Millis(4_000));

    assert!(fleet.has_converged());
    assert!(last_detection(&fleet, HostId(10)).since(killed_at) <= DETECTION_LIMIT);
}

#[test]
fn a_frozen_host_is_declared_lost_and_rejoins() {
    let mut fleet = Fleet::new(2, 8, 3);
    fleet.frozen.insert(HostId(5));
    fleet.run(Millis(4_000));
    assert!(fleet.has_converged());

    fleet.frozen.clear();
    fleet.run(Millis(4_000));

    assert!(fleet.has_converged());
    assert!(fleet.lost.iter().all(|it| it.1 == HostId(5)));
}

#[test]
fn a_one_way_link_failure_affects_only_its_two_ends() {
    let mut fleet = Fleet::new(2, 8, 4);
    fleet.block_link(HostId(2), HostId(4));

    fleet.run(Millis(20_000));

    assert!(fleet.has_converged());
    assert!(fleet.lost.is_empty());
    assert!(!fleet.hosts[&HostId(4)].reachable(HostId(2)));
    assert!(!fleet.hosts[&HostId(2)].reachable(HostId(4)));
    assert!(fleet.hosts[&HostId(2)].reachable(HostId(6)));
}

#[test]
fn a_restarted_host_rejoins_promptly() {
    let mut fleet = Fleet::new(2, 8, 5);
    fleet.kill(HostId(9));
    fleet.run(Millis(4_000));
    fleet.start(HostId(9));

    fleet.run(Millis(1_500));

    assert!(fleet.has_converged());
}
