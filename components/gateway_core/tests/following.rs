//! Tests which control host a gateway polls, when it switches to another one, and what its
//! directory answers contain.

mod common;

use common::{CONTROL_HOST, Harness, at, data_centre, entry_host, region, route, server};
use gateway_core::{Event, Idempotency, OutgoingPoll, POLL_TIMEOUT, SEARCH_INTERVAL};
use ids::{ByteSize, HostId, LogIndex, MIN_LINK_RATE, Timestamp};
use schema::{
    announcement::ServerState,
    sync::{
        ControlHostRecord, HostsUpdate, KnownPlace, Place, RegistryChanges, RegistryUpdate, Update,
        UpdateBegins,
    },
};

fn harness() -> Harness {
    let routes = vec![route("look", Idempotency::Idempotent)];
    Harness::new(routes, vec![server(1, "north-a")], vec![entry_host(1, "north-a")])
}

fn control_host(host: u32, place: &str) -> ControlHostRecord {
    let place = Place { region: region(place), data_centre: data_centre(place) };
    ControlHostRecord { host: HostId(host), place: KnownPlace::Known(place) }
}

/// Polls and answers with an update that changes nothing but the control hosts; returns the control
/// host that was polled.
fn answer(
    harness: &mut Harness,
    now: Timestamp,
    current: bool,
    hosts: Vec<ControlHostRecord>,
) -> HostId {
    let poll = harness.gateway.poll(now).expect("a poll is due");
    answer_poll(harness, now, &poll, current, hosts);
    poll.to
}

fn answer_poll(
    harness: &mut Harness,
    now: Timestamp,
    poll: &OutgoingPoll,
    current: bool,
    hosts: Vec<ControlHostRecord>,
) {
    let update = Update {
        sequence: poll.poll.sequence,
        current,
        control_hosts: hosts,
        registry: RegistryUpdate::Unchanged,
        hosts: HostsUpdate::Unchanged,
    };
    harness.gateway.on_update(now, poll.to, update);
}

#[test]
fn the_nearest_control_host_is_polled() {
    let mut harness = harness();
    let hosts = vec![
        control_host(100, "south-a"),
        control_host(101, "north-b"),
        control_host(102, "north-a"),
    ];

    assert_eq!(answer(&mut harness, at(100), true, hosts.clone()), CONTROL_HOST);

    assert_eq!(answer(&mut harness, at(200), true, hosts), HostId(102));
}

#[test]
fn a_silent_or_stale_control_host_is_replaced_and_retried_later() {
    let mut harness = harness();
    let hosts = vec![control_host(101, "north-b"), control_host(102, "north-a")];
    answer(&mut harness, at(100), true, hosts.clone());
    let silent = harness.gateway.poll(at(200)).unwrap();
    assert_eq!(silent.to, HostId(102));

    let late = at(200) + POLL_TIMEOUT;
    let next = harness.gateway.poll(late).unwrap();
    assert_eq!(next.to, HostId(101));
    assert_eq!(next.poll.holds, LogIndex(2));

    let much_later = at(30_000);
    assert_eq!(answer(&mut harness, much_later, false, hosts), HostId(102));
}

#[test]
fn a_large_update_that_has_begun_is_waited_for() {
    let mut harness = harness();
    let poll = harness.gateway.poll(at(100)).unwrap();
    let begins = UpdateBegins { sequence: poll.poll.sequence, size: ByteSize(1_000_000) };

    harness.gateway.on_update_begins(at(200), poll.to, &begins);

    let transfer = MIN_LINK_RATE.transfer_time(begins.size);
    assert!(
        harness.gateway.poll(at(200) + transfer).is_none(),
        "the update may still be in transit"
    );
    let update = Update {
        sequence: poll.poll.sequence,
        current: true,
        control_hosts: Vec::new(),
        registry: RegistryUpdate::Unchanged,
        hosts: HostsUpdate::Unchanged,
    };
    harness.gateway.on_update(at(200) + transfer, poll.to, update);
    let next = harness.gateway.poll(at(300) + transfer).expect("the next poll is due");
    assert_eq!(next.to, poll.to);
}

#[test]
fn a_large_update_that_never_arrives_times_out() {
    let mut harness = harness();
    let poll = harness.gateway.poll(at(100)).unwrap();
    let begins = UpdateBegins { sequence: poll.poll.sequence, size: ByteSize(u64::MAX) };

    harness.gateway.on_update_begins(at(200), poll.to, &begins);

    assert!(harness.gateway.poll(at(30_000)).is_some());
}

#[test]
fn an_answer_to_an_older_poll_is_ignored() {
    let mut harness = harness();
    let poll = harness.gateway.poll(at(100)).unwrap();
    let update = Update {
        sequence: poll.poll.sequence - 1,
        current: true,
        control_hosts: vec![control_host(109, "north-a")],
        registry: RegistryUpdate::Unchanged,
        hosts: HostsUpdate::Unchanged,
    };

    harness.gateway.on_update(at(110), poll.to, update);

    assert!(harness.gateway.poll(at(200)).is_none(), "the poll is still in flight");
}

#[test]
fn a_lost_control_host_is_reported() {
    let mut harness = harness();
    harness.gateway.take_events();
    harness.gateway.poll(at(100)).unwrap();
    harness.gateway.poll(at(100) + POLL_TIMEOUT);

    let events = harness.gateway.take_events();

    assert!(
        events
            .iter()
            .any(|it| matches!(it, Event::ControlHostLost { host, .. } if *host == CONTROL_HOST))
    );
}

#[test]
fn the_directory_lists_near_serving_hosts_and_adds_farther_ones_when_there_are_few() {
    let mut harness = harness();
    let mut hosts =
        vec![entry_host(2, "north-a"), entry_host(3, "north-a"), entry_host(4, "south-a")];
    harness.update(at(100), Vec::new(), hosts.clone());
    let north_addresses = |harness: &Harness| {
        harness
            .gateway
            .directory(Some(&region("north-a")), Some(&data_centre("north-a")))
            .addresses
            .len()
    };
    assert_eq!(north_addresses(&harness), 3);

    hosts[0].state = schema::sync::EntryHostState::Draining;
    harness.update(at(300), Vec::new(), hosts);

    assert_eq!(north_addresses(&harness), 3, "two near ones and one elsewhere");
    let south = harness.gateway.directory(Some(&region("south-a")), Some(&data_centre("south-a")));
    assert_eq!(south.addresses.len(), 3);
}

#[test]
fn a_control_host_that_was_not_current_is_tried_again_once_an_election_is_over() {
    let mut harness = harness();
    let hosts = vec![control_host(101, "north-b"), control_host(102, "north-a")];
    answer(&mut harness, at(100), true, hosts.clone());
    assert_eq!(answer(&mut harness, at(200), false, hosts.clone()), HostId(102));

    let meanwhile = answer(&mut harness, at(400), true, hosts.clone());
    let later = answer(&mut harness, at(2_400), true, hosts);

    assert_eq!((meanwhile, later), (HostId(101), HostId(102)));
}

/// Three control hosts, the nearest of which is followed.
fn following_the_nearest() -> (Harness, Vec<ControlHostRecord>) {
    let mut harness = harness();
    let hosts = vec![
        control_host(101, "north-b"),
        control_host(102, "north-a"),
        control_host(103, "south-a"),
    ];
    answer(&mut harness, at(100), true, hosts.clone());
    assert_eq!(answer(&mut harness, at(200), true, hosts.clone()), HostId(102));
    harness.gateway.take_events();
    (harness, hosts)
}

/// Guards against a gateway that waits for a silent control host while another one is current.
#[test]
fn a_silent_control_host_delays_a_search_by_one_interval() {
    let (mut harness, hosts) = following_the_nearest();
    assert_eq!(answer(&mut harness, at(300), false, hosts.clone()), HostId(102));
    let silent = harness.gateway.poll(at(300)).expect("a search begins at once");
    assert!(harness.gateway.poll(at(350)).is_none());

    let next = harness.gateway.poll(at(300) + SEARCH_INTERVAL).expect("the next host is asked");

    assert_eq!((silent.to, next.to), (HostId(101), HostId(103)));
    // Control hosts answer a poll without a list of entry hosts soon, even without changes.
    assert_eq!(next.poll.holds_hosts.control_host, HostId(0));
    answer_poll(&mut harness, at(420), &next, true, hosts);
    let found = harness.gateway.take_events().into_iter().find_map(|it| match it {
        Event::ControlHostFound { host, searched } => Some((host, searched)),
        _ => None,
    });
    assert_eq!(found, Some((HostId(103), ids::Millis(120))));
}

/// Guards against a search that drops the answer of a host because another one was asked since.
#[test]
fn a_search_takes_the_first_answer_of_a_current_host() {
    let (mut harness, hosts) = following_the_nearest();
    answer(&mut harness, at(300), false, hosts.clone());
    let first = harness.gateway.poll(at(300)).unwrap();
    harness.gateway.poll(at(400)).unwrap();

    answer_poll(&mut harness, at(450), &first, true, hosts);

    let next = harness.gateway.poll(at(500)).expect("the host that was found is followed");
    assert_eq!(next.to, first.to);
}

/// Guards against a gateway that comes back to a host only seconds after an election.
#[test]
fn hosts_that_were_not_current_are_asked_again_in_the_same_search() {
    let (mut harness, hosts) = following_the_nearest();
    answer(&mut harness, at(300), false, hosts.clone());

    let asked: Vec<HostId> = (0..6u64)
        .map(|i| answer(&mut harness, at(300 + i * SEARCH_INTERVAL.0), false, hosts.clone()))
        .collect();

    assert_eq!(asked[..3], asked[3..]);
}

/// Guards against a gateway that hears nothing while it waits for a nearer host that is down.
#[test]
fn a_nearer_host_is_tried_beside_the_one_that_is_followed() {
    let (mut harness, hosts) = following_the_nearest();
    answer(&mut harness, at(300), false, hosts.clone());
    assert_eq!(answer(&mut harness, at(300), true, hosts.clone()), HostId(101));

    let nearer = harness.gateway.poll(at(2_400)).expect("the nearest may be followed again");
    let followed = harness.gateway.poll(at(2_400)).expect("the followed one is polled as well");

    assert_eq!((nearer.to, followed.to), (HostId(102), HostId(101)));
    answer_poll(&mut harness, at(2_500), &followed, true, hosts);
    assert!(harness.gateway.poll(at(2_530)).is_some_and(|it| it.to == HostId(101)));
}

/// Guards against a server that is used again because a nearer host is behind the one that is followed.
#[test]
fn an_answer_of_a_nearer_host_that_is_behind_takes_nothing_back() {
    let (mut harness, hosts) = following_the_nearest();
    answer(&mut harness, at(300), false, hosts.clone());
    assert_eq!(answer(&mut harness, at(300), true, hosts.clone()), HostId(101));
    let nearer = harness.gateway.poll(at(2_400)).unwrap();
    let followed = harness.gateway.poll(at(2_400)).unwrap();
    let mut server = server(1, "north-a");
    let mut answer_with = |poll: &OutgoingPoll, up_to, state| {
        server.state = state;
        let changes = RegistryChanges {
            up_to: LogIndex(up_to),
            whole: false,
            config: Vec::new(),
            servers: vec![server.clone()],
        };
        let update = Update {
            sequence: poll.poll.sequence,
            current: true,
            control_hosts: hosts.clone(),
            registry: RegistryUpdate::Changed(changes),
            hosts: HostsUpdate::Unchanged,
        };
        harness.gateway.on_update(at(2_500), poll.to, update);
    };

    answer_with(&followed, 9, ServerState::Draining);
    answer_with(&nearer, 8, ServerState::Serving);

    assert!(!harness.gateway.server(&server.server).unwrap().accepts_requests());
    let next = harness.gateway.poll(at(2_600)).unwrap();
    assert_eq!((next.to, next.poll.holds), (HostId(102), LogIndex(9)));
}

/// Guards against two large updates that compete for a slow link.
#[test]
fn no_other_host_is_polled_while_a_large_update_arrives() {
    for is_search in [true, false] {
        let (mut harness, hosts) = following_the_nearest();
        answer(&mut harness, at(300), false, hosts.clone());
        if !is_search {
            answer(&mut harness, at(300), true, hosts.clone());
        }
        let poll = harness.gateway.poll(at(400)).unwrap();
        let begins = UpdateBegins { sequence: poll.poll.sequence, size: ByteSize(1_000_000) };

        harness.gateway.on_update_begins(at(450), poll.to, &begins);

        let transfer = MIN_LINK_RATE.transfer_time(begins.size);
        assert!(harness.gateway.poll(at(2_400)).is_none());
        assert!(harness.gateway.poll(at(450) + transfer).is_none());
    }
}
