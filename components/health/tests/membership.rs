//! Watchers depend only on the live hosts, and verdicts end with their watchers and with the
//! incarnation of the server.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, host_health, known_server, live_host, server_id, service};
use health::{KnownServer, OutcomeKind, ServerStatus, WATCHERS_PER_SERVER};
use ids::{HostId, Incarnation, Millis, Timestamp};
use schema::config_text::Favour;

/// Number of random cases.
const CASES: u64 = 40;

/// Size of the random input of a case, in bytes: the low 32 bits of its arbtest seed.
const CASE_BYTES: u64 = 256;

const HOSTS: u32 = 12;
const SERVERS: u32 = 12;
const SERVICE: &str = "queue";

fn servers() -> Vec<KnownServer> {
    (0..SERVERS).map(|it| known_server(SERVICE, it)).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(HOSTS, &[service(SERVICE, 4, Favour::Speed)], &servers());
    fleet.advance_with_probes(Millis(12_000), |_, _| Some(OutcomeKind::Answered));
    fleet
}

fn fleet_with_ejected_server() -> Fleet {
    let faulty = server_id(SERVICE, 3);
    let mut fleet = fleet();
    fleet.advance_with_probes(Millis(6_000), |_, server| {
        Some(if *server == faulty { OutcomeKind::Failed } else { OutcomeKind::Answered })
    });
    assert_eq!(fleet.hosts_routing_to(SERVICE, &faulty), 0);
    fleet
}

#[test]
fn watchers_do_not_depend_on_the_order_of_changes() {
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
                    assert_eq!(watchers.len(), WATCHERS_PER_SERVER.min(hosts.len()));
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
        let report =
            fleet.hosts[&HostId(0)].explain(fleet.now, &server_id(SERVICE, number)).unwrap();
        let regions: BTreeSet<_> =
            report.watchers.iter().map(|it| live_host(it.0).region).collect();
        assert_eq!(regions.len(), WATCHERS_PER_SERVER);
    }
}

#[test]
fn verdicts_of_lost_watchers_expire() {
    let mut fleet = fleet_with_ejected_server();
    let faulty = server_id(SERVICE, 3);
    let watchers = fleet.hosts[&HostId(0)].explain(fleet.now, &faulty).unwrap().watchers;

    for watcher in &watchers {
        fleet.hosts.remove(watcher);
    }
    fleet.advance_with_probes(Millis(20_000), |_, _| Some(OutcomeKind::Answered));

    assert_eq!(fleet.hosts_routing_to(SERVICE, &faulty), fleet.hosts.len());
}

#[test]
fn a_new_incarnation_returns_to_rotation() {
    let mut fleet = fleet_with_ejected_server();
    let mut restarted = servers();
    restarted[3].incarnation = Incarnation(2);

    let now = fleet.now;
    fleet.hosts.values_mut().for_each(|it| it.set_servers(now, &restarted));
    fleet.advance_with_probes(Millis(10_000), |_, _| Some(OutcomeKind::Answered));

    for health in fleet.hosts.values() {
        let report = health.explain(fleet.now, &server_id(SERVICE, 3)).unwrap();
        assert_eq!(report.status, ServerStatus::InRotation);
    }
}

#[test]
fn repeated_failures_lengthen_the_ejection() {
    let faulty = server_id(SERVICE, 3);
    let mut fleet = fleet_with_ejected_server();
    let mut ejection_times = Vec::new();

    for _ in 0..4 {
        let mut ejected_ms = 0;
        while fleet.hosts_routing_to(SERVICE, &faulty) == 0 {
            fleet.advance_with_probes(Millis(500), |_, _| Some(OutcomeKind::Answered));
            ejected_ms += 500;
        }
        ejection_times.push(ejected_ms);
        while fleet.hosts_routing_to(SERVICE, &faulty) > 0 {
            fleet.advance_with_probes(Millis(500), |_, server| {
                Some(if *server == faulty { OutcomeKind::Failed } else { OutcomeKind::Answered })
            });
        }
    }

    assert!(ejection_times[3] >= 2 * ejection_times[1], "{ejection_times:?}");
}

#[test]
fn a_removed_server_leaves_the_rotation() {
    let mut fleet = fleet();
    let server = server_id(SERVICE, 3);

    let now = fleet.now;
    fleet.hosts.values_mut().for_each(|it| it.remove_server(now, &server));
    fleet.advance_with_probes(Millis(2_000), |_, _| Some(OutcomeKind::Answered));

    assert_eq!(fleet.hosts_routing_to(SERVICE, &server), 0);
    assert_eq!(fleet.hosts_routing_to(SERVICE, &server_id(SERVICE, 4)), HOSTS as usize);
}
