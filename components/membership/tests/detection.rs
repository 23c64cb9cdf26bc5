//! Killed and frozen hosts are noticed, healthy ones are kept.

mod fleet;

use ids::{HostId, Millis, Timestamp};

use crate::fleet::Fleet;

/// Directories must leave a dead host out within this time.
const DETECTION_LIMIT: Millis = Millis(3_000);

fn last_notice(fleet: &Fleet, lost: HostId) -> Timestamp {
    let notices = fleet.lost.iter().filter(|it| it.1 == lost);
    notices.map(|it| it.2).max().expect("somebody notices")
}

#[test]
fn all_hosts_join_through_the_seeds() {
    let fleet = Fleet::new(3, 8, 1);

    assert!(fleet.agrees());
    assert!(fleet.lost.is_empty());
    assert!(fleet.largest_message <= 1_200);
}

#[test]
fn a_killed_host_is_noticed_everywhere() {
    let mut fleet = Fleet::new(3, 8, 2);
    let killed_at = fleet.now;
    fleet.kill(HostId(10));

    fleet.run(Millis(4_000));

    assert!(fleet.agrees());
    assert!(last_notice(&fleet, HostId(10)).since(killed_at) <= DETECTION_LIMIT);
}

#[test]
fn a_frozen_host_is_noticed_and_comes_back() {
    let mut fleet = Fleet::new(2, 8, 3);
    fleet.frozen.insert(HostId(5));
    fleet.run(Millis(4_000));
    assert!(fleet.agrees());

    fleet.frozen.clear();
    fleet.run(Millis(4_000));

    assert!(fleet.agrees());
    assert!(fleet.lost.iter().all(|it| it.1 == HostId(5)));
}

#[test]
fn a_one_way_cut_is_seen_locally_only() {
    let mut fleet = Fleet::new(2, 8, 4);
    fleet.cut(HostId(2), HostId(4));

    fleet.run(Millis(20_000));

    assert!(fleet.agrees());
    assert!(fleet.lost.is_empty());
    assert!(!fleet.hosts[&HostId(4)].reachable(HostId(2)));
    assert!(!fleet.hosts[&HostId(2)].reachable(HostId(4)));
    assert!(fleet.hosts[&HostId(2)].reachable(HostId(6)));
}

#[test]
fn a_restarted_host_is_accepted_at_once() {
    let mut fleet = Fleet::new(2, 8, 5);
    fleet.kill(HostId(9));
    fleet.run(Millis(4_000));
    fleet.start(HostId(9));

    fleet.run(Millis(1_500));

    assert!(fleet.agrees());
}
