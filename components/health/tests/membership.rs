//! Watchers follow the live hosts, and verdicts end with watchers and incarnations.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, host_health, known, live_host, server_id, service};
use health::{KnownServer, OutcomeKind, ServerStatus, WATCHERS};
use ids::{HostId, Incarnation, Millis, Timestamp};
use schema::config_text::Favour;

const CASES: u64 = 40;
const CASE_BYTES: u64 = 256;
const HOSTS: u32 = 12;
const SERVERS: u32 = 12;
const QUEUE: &str = "queue";

fn servers() -> Vec<KnownServer> {
    (0..SERVERS).map(|it| known(QUEUE, it)).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(HOSTS, &[service(QUEUE, 4, Favour::Speed)], &servers());
    fleet.pass_with(Millis(12_000), |_, _| Some(OutcomeKind::Answered));
    fleet
}

fn fleet_with_dead_server() -> Fleet {
    let sick = server_id(QUEUE, 3);
    let mut fleet = fleet();
    fleet.pass_with(Millis(6_000), |_, server| {
        Some(if *server == sick { OutcomeKind::Failed } else { OutcomeKind::Answered })
    });
    assert_eq!(fleet.hosts_with(QUEUE, &sick), 0);
    fleet
}

#[test]
fn watchers_are_the_same_whatever_the_order_of_changes() {
    let now = Timestamp::from_millis(1);
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut health = host_health(0);
            health.set_servers(now, &servers());
            let mut live = BTreeSet::from([0]);
            while !u.is_empty() {
                let number = u.int_in_range(1..=30)?;
                if !live.remove(&number) {
                    live.insert(number);
                }
                let hosts: Vec<_> = live.iter().map(|it| live_host(*it)).collect();
                health.set_hosts(now, &hosts);
                let mut fresh = host_health(0);
                fresh.set_hosts(now, &hosts);
                fresh.set_servers(now, &servers());
                for server in servers() {
                    let watchers = health.explain(now, &server.server).unwrap().watchers;
                    let expected = fresh.explain(now, &server.server).unwrap().watchers;
                    assert_eq!(watchers, expected);
                    assert_eq!(watchers.len(), WATCHERS.min(hosts.len()));
                }
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn watchers_are_in_different_regions() {
    let fleet = fleet();

    for number in 0..SERVERS {
        let report = fleet.hosts[&HostId(0)].explain(fleet.now, &server_id(QUEUE, number)).unwrap();
        let regions: BTreeSet<_> =
            report.watchers.iter().map(|it| live_host(it.0).region).collect();
        assert_eq!(regions.len(), WATCHERS);
    }
}

#[test]
fn lost_watchers_hold_no_server_out_for_ever() {
    let mut fleet = fleet_with_dead_server();
    let sick = server_id(QUEUE, 3);
    let watchers = fleet.hosts[&HostId(0)].explain(fleet.now, &sick).unwrap().watchers;

    for watcher in &watchers {
        fleet.hosts.remove(watcher);
    }
    fleet.pass_with(Millis(20_000), |_, _| Some(OutcomeKind::Answered));

    assert_eq!(fleet.hosts_with(QUEUE, &sick), fleet.hosts.len());
}

#[test]
fn a_new_incarnation_is_back_in_rotation_at_once() {
    let mut fleet = fleet_with_dead_server();
    let mut restarted = servers();
    restarted[3].incarnation = Incarnation(2);

    let now = fleet.now;
    fleet.hosts.values_mut().for_each(|it| it.set_servers(now, &restarted));
    fleet.pass_with(Millis(10_000), |_, _| Some(OutcomeKind::Answered));

    for health in fleet.hosts.values() {
        let report = health.explain(fleet.now, &server_id(QUEUE, 3)).unwrap();
        assert_eq!(report.status, ServerStatus::InRotation);
    }
}

#[test]
fn repeated_sickness_keeps_a_server_out_longer() {
    let sick = server_id(QUEUE, 3);
    let mut fleet = fleet_with_dead_server();
    let mut times_out = Vec::new();

    for _ in 0..4 {
        let mut out = 0;
        while fleet.hosts_with(QUEUE, &sick) == 0 {
            fleet.pass_with(Millis(500), |_, _| Some(OutcomeKind::Answered));
            out += 500;
        }
        times_out.push(out);
        while fleet.hosts_with(QUEUE, &sick) > 0 {
            fleet.pass_with(Millis(500), |_, server| {
                Some(if *server == sick { OutcomeKind::Failed } else { OutcomeKind::Answered })
            });
        }
    }

    assert!(times_out[3] >= 2 * times_out[1], "{times_out:?}");
}

#[test]
fn a_removed_server_leaves_the_rotation() {
    let mut fleet = fleet();
    let server = server_id(QUEUE, 3);

    let now = fleet.now;
    fleet.hosts.values_mut().for_each(|it| it.remove_server(now, &server));
    fleet.pass_with(Millis(2_000), |_, _| Some(OutcomeKind::Answered));

    assert_eq!(fleet.hosts_with(QUEUE, &server), 0);
    assert_eq!(fleet.hosts_with(QUEUE, &server_id(QUEUE, 4)), HOSTS as usize);
}
