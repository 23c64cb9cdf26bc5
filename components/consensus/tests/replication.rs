//! Elections, replication and repair on a network that works, or fails in one way.

mod cluster;

use cluster::Cluster;
use ids::HostId;

fn follower(cluster: &Cluster) -> HostId {
    let leader = cluster.leader().unwrap();
    cluster.ids().into_iter().find(|it| *it != leader).unwrap()
}

#[test]
fn a_new_cluster_elects_a_leader_and_accepts_commands() {
    for size in [1, 3, 5] {
        let mut cluster = Cluster::with_leader(size);
        let leader = cluster.leader().unwrap();

        assert!(cluster.propose(leader, 7));
        cluster.run_until(|it| it.ids().iter().all(|host| it.state(*host) == [7]));
    }
}

#[test]
fn accepted_commands_survive_a_restart_of_all_hosts() {
    let mut cluster = Cluster::with_leader(3);
    for value in 0..300 {
        let leader = cluster.leader().unwrap();
        assert!(cluster.propose(leader, value));
        if value % 50 == 49 {
            cluster.step();
            cluster.compact(leader);
        }
    }
    cluster.run_until(|it| it.accepted().len() == 300);

    for host in cluster.ids() {
        cluster.crash(host);
        cluster.start(host);
    }

    let expected: Vec<u64> = (0..300).collect();
    cluster.run_until(|it| it.ids().iter().all(|host| it.state(*host) == expected));
}

#[test]
fn an_isolated_leader_stops_answering() {
    let mut cluster = Cluster::with_leader(3);
    let isolated = cluster.leader().unwrap();
    for host in cluster.ids() {
        cluster.cuts.insert((host, isolated));
    }

    cluster.run_until(|it| it.leader().is_some_and(|leader| leader != isolated));

    assert!(!cluster.answers_as_current(isolated));
    assert!(!cluster.propose(isolated, 1));
}

#[test]
fn a_lost_disk_is_repaired_and_a_second_loss_loses_nothing() {
    let mut cluster = Cluster::with_leader(3);
    let leader = cluster.leader().unwrap();
    assert!(cluster.propose(leader, 1));
    cluster.run_until(|it| it.accepted() == [1]);

    for _ in 0..4 {
        let lost = follower(&cluster);
        cluster.lose_disk(lost, true);
        cluster.start(lost);
        cluster.run_until(|it| it.whole_voters() == Some(3));
        let lost = cluster.leader().unwrap();
        cluster.lose_disk(lost, true);
        cluster.start(lost);
        cluster.run_until(|it| it.whole_voters() == Some(3));
    }

    cluster.run_until(|it| it.ids().iter().all(|host| it.state(*host) == [1]));
}

#[test]
fn a_follower_is_current_only_with_all_that_was_accepted_before_a_restart() {
    let mut cluster = Cluster::with_leader(5);
    let leader = cluster.leader().unwrap();
    for value in 0..20 {
        assert!(cluster.propose(leader, value));
        cluster.step();
    }
    cluster.run_until(|it| it.accepted().len() == 20);

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
