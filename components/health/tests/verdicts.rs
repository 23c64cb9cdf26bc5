//! Faulty servers are ejected by pooled evidence and readmitted; other faults eject no server.

mod common;

use common::{DATA_CENTRES, Fleet, known_server, server_id, service};
use health::{KnownServer, OutcomeKind};
use ids::Millis;
use schema::config_text::Favour;

const HOSTS: u32 = 12;
const SERVERS: u32 = 12;
const SERVICE: &str = "queue";

fn fleet(favour: Favour) -> Fleet {
    let servers: Vec<KnownServer> = (0..SERVERS).map(|it| known_server(SERVICE, it)).collect();
    let mut fleet = Fleet::new(HOSTS, &[service(SERVICE, 4, favour)], &servers);
    fleet.advance_with_probes(Millis(12_000), |_, _| Some(OutcomeKind::Answered));
    fleet
}

#[test]
fn a_dead_server_is_ejected_everywhere_by_probes_alone() {
    for favour in [Favour::Speed, Favour::Certainty] {
        let mut fleet = fleet(favour);
        let faulty = server_id(SERVICE, 3);

        fleet.advance_with_probes(Millis(6_000), |_, server| {
            let kind = if *server == faulty { OutcomeKind::Failed } else { OutcomeKind::Answered };
            Some(kind)
        });

        assert_eq!(fleet.hosts_routing_to(SERVICE, &faulty), 0);
        assert_eq!(fleet.hosts_routing_to(SERVICE, &server_id(SERVICE, 4)), HOSTS as usize);
    }
}

#[test]
fn a_recovered_server_returns_to_full_weight() {
    let mut fleet = fleet(Favour::Speed);
    let faulty = server_id(SERVICE, 3);
    fleet.advance_with_probes(Millis(6_000), |_, server| {
        Some(if *server == faulty { OutcomeKind::Failed } else { OutcomeKind::Answered })
    });

    fleet.advance_with_probes(Millis(40_000), |_, _| Some(OutcomeKind::Answered));

    assert_eq!(fleet.hosts_routing_to(SERVICE, &faulty), HOSTS as usize);
    for health in fleet.hosts.values() {
        let rotation = health.rotation(&SERVICE.parse().unwrap());
        assert!(rotation.iter().all(|it| it.weight == 1000 && !it.last_resort));
    }
}

#[test]
fn a_service_wide_failure_ejects_no_server() {
    let mut fleet = fleet(Favour::Speed);

    fleet.advance_with_probes(Millis(30_000), |_, _| Some(OutcomeKind::Failed));

    for number in 0..SERVERS {
        assert_eq!(fleet.hosts_routing_to(SERVICE, &server_id(SERVICE, number)), HOSTS as usize);
    }
}

#[test]
fn an_observer_with_bad_links_ejects_no_server() {
    let mut fleet = fleet(Favour::Speed);

    for round in 0..200 {
        fleet.observe(0, &server_id(SERVICE, round % SERVERS), OutcomeKind::TimedOut);
        fleet.advance_with_probes(Millis(50), |host, _| {
            Some(if host.0 == 0 { OutcomeKind::TimedOut } else { OutcomeKind::Answered })
        });
    }

    for number in 0..SERVERS {
        assert!(fleet.hosts_routing_to(SERVICE, &server_id(SERVICE, number)) >= HOSTS as usize - 1);
    }
}

#[test]
fn a_server_unreachable_from_one_region_stays_in_rotation() {
    let mut fleet = fleet(Favour::Speed);
    let server = server_id(SERVICE, 3);
    let is_cut = |host: u32| host % DATA_CENTRES / 2 == 0;

    for round in 0..400 {
        let host = round % HOSTS;
        let kind = if is_cut(host) { OutcomeKind::TimedOut } else { OutcomeKind::Answered };
        fleet.observe(host, &server, kind);
        fleet.advance_with_probes(Millis(50), |host, probed| {
            let fails = is_cut(host.0) && *probed == server;
            Some(if fails { OutcomeKind::TimedOut } else { OutcomeKind::Answered })
        });
    }

    assert_eq!(fleet.hosts_routing_to(SERVICE, &server), HOSTS as usize);
}

#[test]
fn shed_and_crashing_requests_do_not_count_as_evidence() {
    let mut fleet = fleet(Favour::Speed);
    let server = server_id(SERVICE, 3);

    for round in 0..200 {
        let kind = [OutcomeKind::Shed, OutcomeKind::CrashedByRequest][round as usize % 2];
        fleet.observe(round % HOSTS, &server, kind);
        fleet.advance_with_probes(Millis(50), |_, _| Some(OutcomeKind::Answered));
    }

    let rotation = fleet.hosts[&ids::HostId(0)].rotation(&SERVICE.parse().unwrap());
    let entry = rotation.iter().find(|it| it.server == server).unwrap();
    assert!(!entry.last_resort && entry.weight == 1000);
}
