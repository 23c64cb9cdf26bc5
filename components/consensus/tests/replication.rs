//! Elections, replication and recovery, each with at most one kind of fault.

mod cluster;

use cluster::Cluster;
use ids::HostId;

fn any_follower(cluster: &Cluster) -> HostId {
    let leader = cluster.leader().unwrap();
    cluster.ids().into_iter().find(|it| *it != leader).unwrap()
}

#[test]
fn a_new_cluster_elects_a_leader_and_commits_commands() {
    for size in [1, 3, 5] {
        let mut cluster = Cluster::with_leader(size);
        let leader = cluster.leader().unwrap();

        assert!(cluster.propose(leader, 7));
        cluster.run_until(|it| it.ids().iter().all(|host| it.state(*host) == [7]));
    }
}

#[test]
fn committed_commands_survive_a_restart_of_all_hosts() {
    let mut cluster = Cluster::with_leader(3);
    for value in 0..300 {
        let leader = cluster.leader().unwrap();
        assert!(cluster.propose(leader, value));
        if value % 50 == 49 {
            cluster.step();
            cluster.compact(leader);
        }
    }
    cluster.run_until(|it| it.committed().len() == 300);

    for host in cluster.ids() {
        cluster.crash(host);
        cluster.start(host);
    }

    let expected: Vec<u64> = (0..300).collect();
    cluster.run_until(|it| it.ids().iter().all(|host| it.state(*host) == expected));
}

#[test]
fn an_isolated_leader_loses_its_lease() {
    let mut cluster = Cluster::with_leader(3);
    let isolated = cluster.leader().unwrap();
    for host in cluster.ids() {
        cluster.blocked_links.insert((host, isolated));
    }

    cluster.run_until(|it| it.leader().is_some_and(|leader| leader != isolated));

    assert!(!cluster.holds_lease(isolated));
    assert!(!cluster.propose(isolated, 1));
}

#[test]
fn repeated_disk_losses_lose_no_committed_command() {
    let mut cluster = Cluster::with_leader(3);
    let leader = cluster.leader().unwrap();
    assert!(cluster.propose(leader, 1));
    cluster.run_until(|it| it.committed() == [1]);

    for _ in 0..4 {
        let lost = any_follower(&cluster);
        cluster.lose_disk(lost, true);
        cluster.start(lost);
        cluster.run_until(|it| it.voters_on_known_disks() == Some(3));
        let lost = cluster.leader().unwrap();
        cluster.lose_disk(lost, true);
        cluster.start(lost);
        cluster.run_until(|it| it.voters_on_known_disks() == Some(3));
    }

    cluster.run_until(|it| it.ids().iter().all(|host| it.state(*host) == [1]));
}

#[test]
fn a_follower_is_current_only_with_all_commands_committed_before_a_restart() {
    let mut cluster = Cluster::with_leader(5);
    let leader = cluster.leader().unwrap();
    for value in 0..20 {
        assert!(cluster.propose(leader, value));
        cluster.step();
    }
    cluster.run_until(|it| it.committed().len() == 20);

    for host in cluster.ids() {
        cluster.crash(host);
        cluster.start(host);
    }

    cluster.run_until(|it| {
        let current = it.ids().into_iter().filter(|host| {
            let process = it.process(*host).unwrap();
            process.is_current(it.clock(*host))
        });
        let current: Vec<HostId> = current.collect();
        for host in &current {
            assert_eq!(it.state(*host).len(), 20, "host {host} is current and lags");
        }
        current.len() == 5
    });
}

/// Guards against followers that are current only with the next heartbeat of a new leader: all who ask
/// them are turned away until then.
#[test]
fn followers_are_current_as_soon_as_a_new_leader_has_committed() {
    let mut cluster = Cluster::with_leader(5);
    let lost = cluster.leader().unwrap();

    cluster.crash(lost);
    cluster.run_until(|it| it.leader().is_some());

    for host in cluster.ids().into_iter().filter(|it| *it != lost) {
        let process = cluster.process(host).unwrap();
        assert!(process.is_current(cluster.clock(host)), "{host} waits for a heartbeat");
    }
}
