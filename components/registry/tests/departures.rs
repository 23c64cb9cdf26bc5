//! Departures of backend servers: what was accepted is kept, also of servers that are not registered,
//! and holds for the incarnation that left only.

mod fleet;

use std::collections::BTreeMap;

use arbtest::arbitrary::{self, Unstructured};
use fleet::{Fleet, config};
use ids::{Blob, HostId, Incarnation, LogIndex, ServerId};
use registry::{Answer, Departure, Registry, Request, departed};
use schema::{
    announcement::{Announcement, ServerState},
    registry::{Leave, RegistryCommand},
};

fn server(number: u64) -> ServerId {
    format!("s{number}").parse().unwrap()
}

fn announcement(number: u64, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        server: server(number),
        service: "deposits".parse().unwrap(),
        data_centre: "north-a".parse().unwrap(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250 + 1).parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence,
        state: ServerState::Serving,
        slots: 3,
        lifetime_ms: ids::Millis(1_500),
    }
}

fn leave(number: u64, incarnation: u64) -> Request {
    Request::Leave { server: server(number), incarnation: Some(Incarnation(incarnation)) }
}

fn announce(number: u64, incarnation: u64, sequence: u64) -> Request {
    Request::Announce(announcement(number, incarnation, sequence))
}

/// Returns the incarnations that a control host lists, by server.
fn listed(fleet: &Fleet, host: HostId) -> BTreeMap<ServerId, Incarnation> {
    let Some(process) = fleet.process(host) else { return BTreeMap::new() };
    process.registry().servers().map(|it| (it.server.clone(), it.incarnation)).collect()
}

/// Asserts that no control host lists a server, now and after a restart of all of them.
fn assert_gone(fleet: &mut Fleet, number: u64) {
    for is_restarted in [false, true] {
        if is_restarted {
            for host in fleet.ids() {
                fleet.stop(host);
                fleet.start(host);
            }
            fleet.run_until("a leader", |it| it.leader().is_some());
        }
        fleet.run_for(1_000);
        for host in fleet.ids() {
            assert_eq!(listed(fleet, host).get(&server(number)), None, "at {host}");
        }
    }
}

/// Guards against a server that stays listed as it was before a restart after which it left.
#[test]
fn a_server_that_restarts_and_leaves_before_it_announces_itself_is_gone() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&announce(1, 7, 1));

    assert_eq!(fleet.execute(&leave(1, 8)), Answer::Accepted);

    assert_gone(&mut fleet, 1);
}

/// Guards against a server that is listed for good by an announcement that arrives after it left.
#[test]
fn an_announcement_that_arrives_after_the_departure_is_ignored() {
    let mut fleet = Fleet::new(3);

    assert_eq!(fleet.execute(&leave(1, 7)), Answer::Accepted);
    fleet.execute(&announce(1, 7, 1));

    assert_gone(&mut fleet, 1);
}

#[test]
fn a_late_departure_of_an_earlier_start_does_not_remove_a_server_that_runs() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&announce(1, 8, 1));

    assert_eq!(fleet.execute(&leave(1, 7)), Answer::Accepted);

    fleet.run_for(1_000);
    for host in fleet.ids() {
        assert_eq!(listed(&fleet, host).get(&server(1)), Some(&Incarnation(8)));
    }
}

#[test]
fn a_server_that_starts_again_after_an_unregistered_departure_is_listed() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&leave(1, 7));

    fleet.execute(&announce(1, 8, 1));

    fleet.run_for(1_000);
    for host in fleet.ids() {
        assert_eq!(listed(&fleet, host).get(&server(1)), Some(&Incarnation(8)));
    }
}

#[test]
fn a_server_that_drained_before_it_was_known_to_the_leader_is_gone() {
    let mut fleet = Fleet::new(3);
    let leader = fleet.leader().unwrap();
    let mut draining = announcement(1, 7, 1);
    draining.state = ServerState::Draining;

    // Both are in the log before the first is applied.
    fleet.request(leader, Request::Announce(draining));
    let id = fleet.request(leader, leave(1, 7));
    fleet.run_for(1_000);

    assert_eq!(fleet.answers[&id], Answer::Accepted);
    assert_gone(&mut fleet, 1);
}

/// Guards against an acknowledgement of a departure that cannot be kept.
#[test]
fn a_departure_of_an_unknown_server_that_names_no_incarnation_is_not_accepted() {
    let mut fleet = Fleet::new(3);

    let answer = fleet.execute(&Request::Leave { server: server(1), incarnation: None });

    assert_eq!(answer, Answer::UnknownServer);
}

#[test]
fn a_departure_outlives_a_snapshot() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&leave(1, 7));

    // The size at which the log is compacted.
    for version in 1..=9 {
        fleet.execute(&config(version, &"x".repeat(1_000_000)));
    }
    fleet.execute(&announce(1, 7, 1));

    assert_gone(&mut fleet, 1);
}

/// Applies commands to a registry at increasing indices.
struct Applied {
    registry: Registry,
    index: LogIndex,
}

impl Applied {
    fn new() -> Self {
        Self { registry: Registry::restore(&Blob::default()), index: LogIndex(0) }
    }

    fn apply(&mut self, command: RegistryCommand) {
        self.index = self.index.next();
        self.registry.apply(self.index, command);
    }

    /// Applies what a control host appends for a departure of an unregistered server.
    fn depart(&mut self, number: u64, incarnation: u64) {
        let incarnation = Incarnation(incarnation);
        let leave = Leave { server: server(number), incarnation };
        self.apply(RegistryCommand::Announce(departed(&leave)));
    }

    fn departure(&self, number: u64, incarnation: u64) -> Departure {
        let incarnation = Incarnation(incarnation);
        self.registry.departure(&Leave { server: server(number), incarnation })
    }
}

/// Guards against departures of invented ids that displace those of servers that were registered.
#[test]
fn departures_of_ids_nobody_knows_are_bounded_and_displace_no_others() {
    let mut applied = Applied::new();
    for number in 0..100 {
        applied.apply(RegistryCommand::Announce(announcement(number, 7, 1)));
        applied.apply(RegistryCommand::Leave(Leave {
            server: server(number),
            incarnation: Incarnation(7),
        }));
    }
    let before = applied.index;

    for number in 1_000..11_000 {
        applied.depart(number, 7);
    }

    let kept =
        (1_000..11_000).filter(|it| applied.departure(*it, 7) == Departure::Recorded).count();
    assert_eq!(kept, 1_024);
    assert!((0..100).all(|it| applied.departure(it, 7) == Departure::Recorded));
    // Pollers get the changes, not the whole registry.
    assert!(!applied.registry.changes_since(before).whole);
}

/// A departure must be recorded although its record has the unspecified address, which a faulty
/// server may announce.
#[test]
fn a_departure_is_recorded_beside_a_server_with_the_unspecified_address() {
    let mut applied = Applied::new();
    let mut faulty = announcement(1, 9, 1);
    faulty.address = "0.0.0.0:0".parse().unwrap();
    applied.apply(RegistryCommand::Announce(faulty));

    applied.depart(2, 7);

    assert_eq!(applied.departure(2, 7), Departure::Recorded);
    assert_eq!(applied.departure(1, 9), Departure::Registered);
}

#[test]
fn accepted_departures_hold_in_any_order_of_announcements_restarts_and_blocked_links() {
    for case in 0..60u64 {
        // The low 32 bits of an arbtest seed are the size of the random input in bytes.
        let seed = ((case + 1) << 32) | 2_048;
        arbtest::arbtest(check_schedule).seed(seed).run();
    }
}

fn check_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    match run_schedule(u) {
        Err(arbitrary::Error::NotEnoughData) => Ok(()),
        other => other,
    }
}

/// Servers announce themselves, leave and start again; all that they say may be late, while control
/// hosts restart and links are blocked.
fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    let mut departures = Vec::new();
    let mut departed: BTreeMap<ServerId, Incarnation> = BTreeMap::new();
    for sequence in 1..=25 {
        let (number, incarnation) = (u.int_in_range(1..=3)?, u.int_in_range(1..=4)?);
        let host = *u.choose(&hosts)?;
        match u.int_in_range(0..=7)? {
            0..=2 => drop(fleet.request(host, announce(number, incarnation, sequence))),
            3..=5 => {
                let id = fleet.request(host, leave(number, incarnation));
                departures.push((id, server(number), Incarnation(incarnation)));
            }
            6 => {
                fleet.stop(host);
                fleet.start(host);
            }
            _ if fleet.blocked_links.is_empty() => fleet.isolate(host),
            _ => fleet.blocked_links.clear(),
        }
        fleet.run_for(u.int_in_range(0..=20)? * 50);
        for (id, server, incarnation) in &departures {
            if fleet.answers.get(id) == Some(&Answer::Accepted) {
                let newest = departed.entry(server.clone()).or_default();
                *newest = (*newest).max(*incarnation);
            }
        }
    }
    fleet.blocked_links.clear();
    fleet.run_until("a leader", |it| it.leader().is_some());
    fleet.run_for(2_000);
    for host in hosts {
        for (server, incarnation) in listed(&fleet, host) {
            let left = departed.get(&server).copied().unwrap_or_default();
            assert!(incarnation > left, "{server} lists {incarnation}, {left} has left");
        }
    }
    Ok(())
}
