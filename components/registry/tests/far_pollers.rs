//! What crosses a data centre's border for the entry hosts: no list twice, and little while a new
//! fleet starts or a control host falls behind for a moment.

mod fleet;

use fleet::{Fleet, config, place};
use ids::{HostId, Incarnation, LogIndex};
use registry::{Answer, HostEvent};
use schema::{
    peer::PeerMessage,
    record_digest,
    sync::{
        EntryHostRecord, EntryHostState, HostsChanges, HostsRevision, HostsUpdate, Poll, Presence,
        RegistryUpdate, SyncMessage, Update,
    },
};

const POLLER: HostId = HostId(900);

fn record(region: &str) -> EntryHostRecord {
    let place = place(region);
    EntryHostRecord {
        host: POLLER,
        incarnation: Incarnation(1),
        region: place.region,
        data_centre: place.data_centre,
        caller_address: "10.1.0.1:80".parse().unwrap(),
        state: EntryHostState::Serving,
    }
}

fn no_list() -> HostsRevision {
    HostsRevision { control_host: HostId(0), incarnation: Incarnation(0), number: 0 }
}

/// Polls a control host and returns its answer, if it sends one within `millis`.
fn ask(
    fleet: &mut Fleet,
    control: HostId,
    region: &str,
    holds: u64,
    (holds_hosts, hosts_digest): (HostsRevision, u64),
    millis: u64,
) -> Option<Update> {
    fleet.external_messages.clear();
    let presence = Presence::Entry(record(region));
    let poll = Poll { sequence: 7, presence, holds: LogIndex(holds), holds_hosts, hosts_digest };
    let message = PeerMessage::Sync(SyncMessage::Poll(poll));
    let event = HostEvent::Peer { from: POLLER, incarnation: Incarnation(1), message };
    fleet.handle_event(control, event);
    fleet.run_for(millis);
    fleet.external_messages.iter().find_map(|(_, message)| match message {
        PeerMessage::Sync(SyncMessage::Update(it)) => Some(it.clone()),
        _ => None,
    })
}

fn changes(update: &Update) -> &HostsChanges {
    match &update.hosts {
        HostsUpdate::Changed(it) => it,
        HostsUpdate::Unchanged => panic!("the update contains no revision of the entry hosts"),
    }
}

/// Runs a fleet for longer than its start takes.
fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new(3);
    fleet.run_for(7_000);
    fleet
}

#[test]
fn a_poller_with_the_same_list_gets_only_the_revision_of_another_control_host() {
    let mut fleet = started_fleet();
    let hosts = fleet.ids();
    // The second answer is that to a poll that the other control hosts have heard of.
    for _ in 0..2 {
        ask(&mut fleet, hosts[0], "north", u64::MAX, (no_list(), 0), 600);
    }
    let first = ask(&mut fleet, hosts[0], "north", u64::MAX, (no_list(), 0), 600).unwrap();
    let digest = changes(&first).hosts.iter().fold(0, |sum, it| sum ^ record_digest(it));

    let revision = changes(&first).revision.clone();
    let second = ask(&mut fleet, hosts[1], "north", u64::MAX, (revision, digest), 600).unwrap();

    assert_eq!(changes(&first).hosts, [record("north")]);
    assert_eq!(changes(&second).revision.control_host, hosts[1]);
    assert!(!changes(&second).whole && changes(&second).hosts.is_empty());
}

#[test]
fn a_new_fleet_sends_its_state_to_other_data_centres_once_nearer_hosts_could_have_joined() {
    let mut fleet = Fleet::new(3);
    assert_eq!(fleet.execute(&config(1, "a")), Answer::Accepted);
    let host = fleet.ids()[0];

    let near = ask(&mut fleet, host, "north", 0, (no_list(), 0), 300).unwrap();
    let far = ask(&mut fleet, host, "south", 0, (no_list(), 0), 300).unwrap();
    fleet.run_for(6_000);
    let far_later = ask(&mut fleet, host, "south", 0, (no_list(), 0), 300).unwrap();

    assert!(matches!(near.registry, RegistryUpdate::Changed(_)));
    assert!(far.current);
    assert_eq!((far.registry, far.hosts), (RegistryUpdate::Unchanged, HostsUpdate::Unchanged));
    assert!(!far.control_hosts.is_empty());
    assert!(matches!(far_later.registry, RegistryUpdate::Changed(_)));
}

#[test]
fn a_poll_is_held_while_a_control_host_is_not_current_for_a_moment() {
    let mut fleet = started_fleet();
    let host = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    let first = ask(&mut fleet, host, "north", 1, (no_list(), 0), 1_200).unwrap();
    fleet.isolate(host);
    fleet.run_until("the host is not current", |it| {
        !it.process(host).unwrap().status(it.now).is_current
    });
    let holding = (changes(&first).revision.clone(), 0);

    let held = ask(&mut fleet, host, "north", 1_000, holding.clone(), 300);
    fleet.run_for(400);
    let turned_away = ask(&mut fleet, host, "north", 1_000, holding, 100).unwrap();

    assert_eq!(held, None);
    assert!(!turned_away.current);
}

#[test]
fn a_poller_without_any_state_is_turned_away_at_once() {
    let mut fleet = started_fleet();
    let host = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.isolate(host);
    fleet.run_until("the host is not current", |it| {
        !it.process(host).unwrap().status(it.now).is_current
    });

    let update = ask(&mut fleet, host, "north", 0, (no_list(), 0), 50).unwrap();

    assert!(!update.current);
}
