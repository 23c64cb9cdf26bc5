//! Sick servers are ejected by pooled evidence and come back; other troubles eject nobody.

mod common;

use common::{DATA_CENTRES, Fleet, known, server_id, service};
use health::{KnownServer, OutcomeKind};
use ids::Millis;
use schema::config_text::Favour;

const HOSTS: u32 = 12;
const SERVERS: u32 = 12;
const QUEUE: &str = "queue";

fn fleet(favour: Favour) -> Fleet {
    let servers: Vec<KnownServer> = (0..SERVERS).map(|it| known(QUEUE, it)).collect();
    let mut fleet = Fleet::new(HOSTS, &[service(QUEUE, 4, favour)], &servers);
    fleet.pass_with(Millis(12_000), |_, _| Some(OutcomeKind::Answered));
    fleet
}

#[test]
fn a_dead_server_is_ejected_everywhere_by_probes_alone() {
    for favour in [Favour::Speed, Favour::Certainty] {
        let mut fleet = fleet(favour);
        let sick = server_id(QUEUE, 3);

        fleet.pass_with(Millis(6_000), |_, server| {
            let kind = if *server == sick { OutcomeKind::Failed } else { OutcomeKind::Answered };
            Some(kind)
        });

        assert_eq!(fleet.hosts_with(QUEUE, &sick), 0);
        assert_eq!(fleet.hosts_with(QUEUE, &server_id(QUEUE, 4)), HOSTS as usize);
    }
}

#[test]
fn a_server_that_recovers_comes_back() {
    let mut fleet = fleet(Favour::Speed);
    let sick = server_id(QUEUE, 3);
    fleet.pass_with(Millis(6_000), |_, server| {
        Some(if *server == sick { OutcomeKind::Failed } else { OutcomeKind::Answered })
    });

    fleet.pass_with(Millis(40_000), |_, _| Some(OutcomeKind::Answered));

    assert_eq!(fleet.hosts_with(QUEUE, &sick), HOSTS as usize);
    for health in fleet.hosts.values() {
        let rotation = health.rotation(&QUEUE.parse().unwrap());
        assert!(rotation.iter().all(|it| it.weight == 1000 && !it.last_resort));
    }
}

#[test]
fn a_service_that_fails_as_a_whole_ejects_nobody() {
    let mut fleet = fleet(Favour::Speed);

    fleet.pass_with(Millis(30_000), |_, _| Some(OutcomeKind::Failed));

    for number in 0..SERVERS {
        assert_eq!(fleet.hosts_with(QUEUE, &server_id(QUEUE, number)), HOSTS as usize);
    }
}

#[test]
fn an_observer_with_bad_links_ejects_nobody() {
    let mut fleet = fleet(Favour::Speed);

    for round in 0..200 {
        fleet.observe(0, &server_id(QUEUE, round % SERVERS), OutcomeKind::TimedOut);
        fleet.pass_with(Millis(50), |host, _| {
            Some(if host.0 == 0 { OutcomeKind::TimedOut } else { OutcomeKind::Answered })
        });
    }

    for number in 0..SERVERS {
        assert!(fleet.hosts_with(QUEUE, &server_id(QUEUE, number)) >= HOSTS as usize - 1);
    }
}

#[test]
fn a_server_that_one_region_cannot_reach_stays_for_the_others() {
    let mut fleet = fleet(Favour::Speed);
    let server = server_id(QUEUE, 3);
    let is_cut = |host: u32| host % DATA_CENTRES / 2 == 0;

    for round in 0..400 {
        let host = round % HOSTS;
        let kind = if is_cut(host) { OutcomeKind::TimedOut } else { OutcomeKind::Answered };
        fleet.observe(host, &server, kind);
        fleet.pass_with(Millis(50), |host, probed| {
            let bad = is_cut(host.0) && *probed == server;
            Some(if bad { OutcomeKind::TimedOut } else { OutcomeKind::Answered })
        });
    }

    assert_eq!(fleet.hosts_with(QUEUE, &server), HOSTS as usize);
}

#[test]
fn shed_answers_and_crashing_requests_are_no_evidence() {
    let mut fleet = fleet(Favour::Speed);
    let server = server_id(QUEUE, 3);

    for round in 0..200 {
        let kind = [OutcomeKind::Shed, OutcomeKind::CrashedByRequest][round as usize % 2];
        fleet.observe(round % HOSTS, &server, kind);
        fleet.pass_with(Millis(50), |_, _| Some(OutcomeKind::Answered));
    }

    let rotation = fleet.hosts[&ids::HostId(0)].rotation(&QUEUE.parse().unwrap());
    let entry = rotation.iter().find(|it| it.server == server).unwrap();
    assert!(!entry.last_resort && entry.weight == 1000);
}
