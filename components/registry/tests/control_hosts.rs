//! Control hosts under restarts, cuts and lost disks: what was accepted stays, nothing older is
//! read, and hosts come and go without a list.

mod fleet;

use arbtest::arbitrary::{self, Unstructured};
use fleet::{Fleet, config, place};
use ids::{ConfigVersion, HostId, Incarnation, LogIndex};
use registry::{Answer, HostEvent, Request};
use schema::{
    announcement::{Announcement, ServerState},
    peer::PeerMessage,
    sync::{
        EntryHostRecord, EntryHostState, HostsRevision, HostsUpdate, Poll, Presence,
        RegistryUpdate, SyncMessage, Update,
    },
};

fn version_of(answer: &Answer) -> ConfigVersion {
    match answer {
        Answer::Config(it) => it.version,
        answer => panic!("no configuration: {answer:?}"),
    }
}

fn announcement(sequence: u64, state: ServerState) -> Announcement {
    Announcement {
        server: "s1".parse().unwrap(),
        service: "deposits".parse().unwrap(),
        data_centre: "north-a".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        incarnation: Incarnation(7),
        lifetime_ms: ids::Millis(1_500),
        sequence,
        slots: 3,
        state,
    }
}

fn poll(sequence: u64, holds: u64) -> HostEvent {
    let none = HostsRevision { control_host: HostId(0), incarnation: Incarnation(0), number: 0 };
    poll_with(sequence, holds, none)
}

/// The list of entry hosts that the newest update brought.
fn held_hosts(fleet: &Fleet) -> HostsRevision {
    let revision = |it: &&Update| match &it.hosts {
        HostsUpdate::Changed(changes) => Some(changes.revision.clone()),
        HostsUpdate::Unchanged => None,
    };
    updates(fleet).iter().rev().find_map(revision).expect("a list was sent")
}

fn poll_with(sequence: u64, holds: u64, holds_hosts: HostsRevision) -> HostEvent {
    let record = EntryHostRecord {
        host: HostId(900),
        incarnation: Incarnation(1),
        region: "north".parse().unwrap(),
        data_centre: "north-a".parse().unwrap(),
        caller_address: "10.1.0.1:80".parse().unwrap(),
        state: EntryHostState::Serving,
    };
    let poll =
        Poll { sequence, presence: Presence::Entry(record), holds: LogIndex(holds), holds_hosts };
    HostEvent::Peer {
        from: HostId(900),
        incarnation: Incarnation(1),
        message: PeerMessage::Sync(SyncMessage::Poll(poll)),
    }
}

fn updates(fleet: &Fleet) -> Vec<&Update> {
    let updates = fleet.sent_outside.iter().filter_map(|(to, message)| match message {
        PeerMessage::Sync(SyncMessage::Update(it)) if *to == HostId(900) => Some(it),
        _ => None,
    });
    updates.collect()
}

#[test]
fn hosts_beyond_the_seeds_become_voters_and_serve_what_was_accepted() {
    let mut fleet = Fleet::new(5);

    assert_eq!(fleet.ask(&config(3, "three")), Answer::Accepted);
    fleet.run(500);

    for host in fleet.ids() {
        assert_eq!(fleet.process(host).unwrap().registry().version(), ConfigVersion(3));
    }
}

#[test]
fn the_highest_version_takes_effect_and_lower_ones_are_acknowledged() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&config(5, "five"));

    assert_eq!(fleet.ask(&config(4, "four")), Answer::Accepted);
    assert_eq!(fleet.ask(&config(5, "other content")), Answer::Accepted);

    let Answer::Config(read) = fleet.ask(&Request::ReadConfig) else {
        panic!("no configuration");
    };
    assert_eq!(read.version, ConfigVersion(5));
    assert_eq!(read.packed_text.as_slice(), b"five");
}

#[test]
fn an_isolated_leader_acknowledges_nothing_and_reads_nothing() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader().unwrap();
    fleet.isolate(leader);

    let put = fleet.request(leader, config(9, "nine"));
    let read = fleet.request(leader, Request::ReadConfig);
    let drain = fleet.request(leader, Request::Announce(announcement(2, ServerState::Draining)));
    fleet.run(3_000);

    for id in [put, read, drain] {
        assert!(matches!(fleet.answers[&id], Answer::Unavailable(_)), "{:?}", fleet.answers[&id]);
    }
}

#[test]
fn a_lost_host_is_removed_and_one_with_a_new_address_takes_its_place() {
    let mut fleet = Fleet::new(5);
    fleet.ask(&config(2, "two"));
    let lost = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();

    fleet.remove(lost);
    fleet.add(HostId(50), false);
    fleet.run_until("the new host votes and the lost one is removed", |it| {
        it.voters().contains(&HostId(50)) && !it.voters().contains(&lost)
    });

    assert_eq!(version_of(&fleet.ask(&Request::ReadConfig)), ConfigVersion(2));
}

#[test]
fn a_host_that_was_removed_while_it_was_cut_off_comes_back() {
    let mut fleet = Fleet::new(5);
    let cut = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.isolate(cut);
    fleet.run_until("its removal", |it| it.voters().len() == 4);

    fleet.cuts.clear();

    fleet.run_until("its return", |it| it.voters().len() == 5);
}

#[test]
fn a_host_that_lost_its_disk_votes_again_only_with_all_that_was_accepted() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&config(2, "two"));

    for host in fleet.ids() {
        fleet.stop(host);
        fleet.add(host, false);
        fleet.run_until("the host votes again", |it| {
            it.voters().len() == 3
                && it
                    .ids()
                    .iter()
                    .all(|it2| it.process(*it2).unwrap().registry().version() == ConfigVersion(2))
        });
    }

    assert_eq!(version_of(&fleet.ask(&Request::ReadConfig)), ConfigVersion(2));
}

#[test]
fn what_a_server_said_last_stays_whatever_arrives_late() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&Request::Announce(announcement(1, ServerState::Serving)));
    fleet.ask(&Request::Announce(announcement(5, ServerState::Draining)));

    fleet.ask(&Request::Announce(announcement(4, ServerState::Serving)));
    fleet.ask(&Request::Announce(announcement(6, ServerState::Serving)));

    let leader = fleet.leader().unwrap();
    let states: Vec<_> =
        fleet.process(leader).unwrap().registry().servers().map(|it| it.state).collect();
    assert_eq!(states, [ServerState::Draining]);
}

#[test]
fn servers_are_told_a_control_host_near_them_if_there_is_one() {
    let mut fleet = Fleet::new(3);
    fleet.run(500);
    let mut far = announcement(1, ServerState::Serving);
    far.server = "s2".parse().unwrap();
    far.data_centre = "south-a".parse().unwrap();
    far.address = "10.0.0.2:80".parse().unwrap();

    let near = fleet.ask(&Request::Announce(announcement(1, ServerState::Serving)));
    let far = fleet.ask(&Request::Announce(far));

    assert!(matches!(near, Answer::AnnouncementAccepted { next: Some(_) }), "{near:?}");
    assert_eq!(far, Answer::AnnouncementAccepted { next: None });
}

#[test]
fn a_server_that_started_later_takes_over_an_address() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&Request::Announce(announcement(1, ServerState::Serving)));
    let mut newer = announcement(1, ServerState::Serving);
    newer.server = "s2".parse().unwrap();
    newer.incarnation = Incarnation(9);

    fleet.ask(&Request::Announce(newer));
    fleet.ask(&Request::Announce(announcement(8, ServerState::Serving)));

    let leader = fleet.leader().unwrap();
    let servers: Vec<_> =
        fleet.process(leader).unwrap().registry().servers().map(|it| it.server.clone()).collect();
    assert_eq!(servers, ["s2".parse().unwrap()]);
}

#[test]
fn a_server_that_left_stays_gone_until_it_starts_anew() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&Request::Announce(announcement(1, ServerState::Serving)));
    fleet.ask(&Request::Leave { server: "s1".parse().unwrap(), incarnation: None });
    fleet.ask(&Request::Announce(announcement(9, ServerState::Serving)));
    let leader = fleet.leader().unwrap();
    assert_eq!(fleet.process(leader).unwrap().registry().servers().count(), 0);

    let mut again = announcement(1, ServerState::Serving);
    again.incarnation = Incarnation(8);
    fleet.ask(&Request::Announce(again));

    let leader = fleet.leader().unwrap();
    assert_eq!(fleet.process(leader).unwrap().registry().servers().count(), 1);
}

#[test]
fn a_host_that_has_just_restarted_does_not_call_an_unknown_server_gone() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&Request::Announce(announcement(1, ServerState::Serving)));
    let follower = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.stop(follower);
    fleet.start(follower);

    let leave = Request::Leave { server: "s1".parse().unwrap(), incarnation: Some(Incarnation(7)) };
    let id = fleet.request(follower, leave);

    assert_ne!(fleet.answers.get(&id), Some(&Answer::Accepted));
}

#[test]
fn a_follower_hears_of_a_change_at_once_and_of_nothing_after_a_second() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&config(1, "one"));
    fleet.run(500);
    let host = fleet.leader().unwrap();
    fleet.feed(host, poll(1, 0));
    fleet.run(300);
    fleet.feed(host, poll(1, 0));
    fleet.step();
    let RegistryUpdate::Changed(first) = updates(&fleet)[0].registry.clone() else {
        panic!("the first update brings the configuration");
    };
    assert_eq!(first.config.len(), 1);

    let held = held_hosts(&fleet);
    fleet.feed(host, poll_with(2, first.up_to.0, held.clone()));
    fleet.run(300);
    fleet.ask(&config(2, "two"));
    let second = updates(&fleet).into_iter().find(|it| it.sequence == 2).unwrap().clone();
    let RegistryUpdate::Changed(second) = second.registry else { panic!("nothing changed") };
    fleet.feed(host, poll_with(3, second.up_to.0, held));
    fleet.run(1_200);

    assert_eq!(second.config[0].version, ConfigVersion(2));
    let third = updates(&fleet).into_iter().find(|it| it.sequence == 3).unwrap();
    assert_eq!(third.registry, RegistryUpdate::Unchanged);
}

#[test]
fn a_large_update_is_announced_with_its_size() {
    let mut fleet = Fleet::new(3);
    fleet.ask(&config(1, &"x".repeat(500_000)));
    fleet.run(500);
    let host = fleet.leader().unwrap();

    // The first answer may only name nearer hosts.
    fleet.feed(host, poll(2, 0));
    fleet.step();

    let sent: Vec<_> = fleet.sent_outside.iter().map(|(_, message)| message).collect();
    let [PeerMessage::Sync(SyncMessage::UpdateBegins(begins)), update] = sent[..] else {
        panic!("two messages are sent: {}", sent.len());
    };
    assert!(matches!(update, PeerMessage::Sync(SyncMessage::Update(_))));
    assert_eq!(begins.sequence, 2);
    assert!((500_000..510_000).contains(&begins.size.0), "{}", begins.size);
}

#[test]
fn a_control_host_that_lags_says_that_it_is_not_current() {
    let mut fleet = Fleet::new(3);
    let cut = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.isolate(cut);
    fleet.run(1_500);

    fleet.feed(cut, poll(1, 0));
    fleet.step();

    let update = updates(&fleet)[0];
    assert!(!update.current);
    assert_eq!(update.registry, RegistryUpdate::Unchanged);
}

#[test]
fn entry_hosts_are_listed_by_all_control_hosts() {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    fleet.feed(hosts[0], poll(1, u64::MAX));
    fleet.run(300);

    fleet.feed(hosts[1], poll(2, u64::MAX));
    fleet.run(600);

    let update = updates(&fleet).into_iter().find(|it| it.sequence == 2).unwrap();
    let HostsUpdate::Changed(changes) = &update.hosts else { panic!("no hosts") };
    assert_eq!(changes.hosts.len(), 1);
    assert_eq!(place("north").region, changes.hosts[0].region);
}

/// A poll of one of many entry hosts.
fn poll_of(host: u32, state: EntryHostState) -> HostEvent {
    let HostEvent::Peer { message: PeerMessage::Sync(SyncMessage::Poll(mut poll)), .. } =
        poll(1, u64::MAX)
    else {
        unreachable!("a poll is a poll");
    };
    if let Presence::Entry(record) = &mut poll.presence {
        record.host = HostId(host);
        record.state = state;
    }
    HostEvent::Peer {
        from: HostId(host),
        incarnation: Incarnation(1),
        message: PeerMessage::Sync(SyncMessage::Poll(poll)),
    }
}

/// Lets entry hosts poll a control host twice a second.
fn run_polls(fleet: &mut Fleet, control: HostId, entries: &[u32], millis: u64) {
    for _ in 0..millis / 500 {
        for host in entries {
            fleet.feed(control, poll_of(*host, EntryHostState::Serving));
        }
        fleet.run(500);
    }
}

/// The entry hosts that a control host names.
fn listed(fleet: &mut Fleet, control: HostId) -> Vec<u32> {
    fleet.sent_outside.clear();
    fleet.feed(control, poll(7, u64::MAX));
    fleet.run(300);
    let update = updates(fleet).into_iter().find(|it| it.sequence == 7).expect("an answer");
    let HostsUpdate::Changed(changes) = &update.hosts else { panic!("no hosts") };
    changes.hosts.iter().map(|it| it.host.0).filter(|it| *it != 900).collect()
}

#[test]
fn lists_of_entry_hosts_agree_again_after_messages_were_lost() {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    run_polls(&mut fleet, hosts[0], &[901, 902, 903], 2_000);
    assert_eq!(listed(&mut fleet, hosts[1]), [901, 902, 903]);

    fleet.cuts.insert((hosts[0], hosts[1]));
    run_polls(&mut fleet, hosts[0], &[902, 903, 904], 3_000);
    fleet.cuts.clear();
    run_polls(&mut fleet, hosts[0], &[902, 903, 904], 4_500);

    assert_eq!(listed(&mut fleet, hosts[1]), [902, 903, 904]);
}

#[test]
fn a_control_host_that_restarts_learns_the_lists_of_the_others_at_once() {
    let mut fleet = Fleet::new(3);
    let leader = fleet.leader().unwrap();
    let others: Vec<_> = fleet.ids().into_iter().filter(|it| *it != leader).collect();
    let (polled, restarted) = (others[0], others[1]);
    run_polls(&mut fleet, polled, &[901, 902], 2_000);

    // Eight restarts meet each part of the four seconds between two whole lists.
    for _ in 0..8 {
        fleet.stop(restarted);
        fleet.start(restarted);
        run_polls(&mut fleet, polled, &[901, 902], 500);

        assert_eq!(listed(&mut fleet, restarted), [901, 902]);
    }
}

#[test]
fn a_change_of_one_entry_host_does_not_cost_the_whole_list() {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    let entries: Vec<u32> = (901..=950).collect();
    run_polls(&mut fleet, hosts[0], &entries, 1_000);
    fleet.list_bytes = 0;

    // Each host leaves and comes back in turn within ten seconds.
    for host in &entries {
        for state in [EntryHostState::Draining, EntryHostState::Serving] {
            for other in &entries {
                let is_other = other != host;
                let state = if is_other { EntryHostState::Serving } else { state };
                fleet.feed(hosts[0], poll_of(*other, state));
            }
            fleet.run(100);
        }
    }

    // A whole list has some 2,000 bytes and goes to two hosts every four seconds.
    assert!(fleet.list_bytes < 40_000, "{} bytes", fleet.list_bytes);
}

#[test]
fn nothing_accepted_is_lost_and_nothing_older_is_read() {
    for case in 0..60u64 {
        let seed = ((case + 1) << 32) | 2_048;
        arbtest::arbtest(schedule).seed(seed).run();
    }
}

fn schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    match run_schedule(u) {
        Err(arbitrary::Error::NotEnoughData) => Ok(()),
        other => other,
    }
}

/// Restarts of any hosts, cuts, and one lost disk at a time, while configurations are put.
fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut fleet = Fleet::new(5);
    let mut accepted = ConfigVersion(0);
    let mut version = 0;
    for _ in 0..12 {
        disturb(u, &mut fleet)?;
        let before = accepted;
        version += u.int_in_range(1..=3)?;
        let host = *u.choose(&fleet.ids())?;
        let put = fleet.request(host, config(version, &format!("text {version}")));
        let read = fleet.request(*u.choose(&fleet.ids())?, Request::ReadConfig);
        fleet.run(u.int_in_range(1..=40)? * 50);
        if fleet.answers.get(&put) == Some(&Answer::Accepted) {
            accepted = ConfigVersion(version);
        }
        if let Some(answer @ Answer::Config(_)) = fleet.answers.get(&read) {
            assert!(version_of(answer) >= before, "read {answer:?} after {before}");
        }
    }
    fleet.cuts.clear();
    for host in fleet.ids() {
        if fleet.process(host).is_none() {
            fleet.start(host);
        }
    }
    if accepted > ConfigVersion(0) {
        assert!(version_of(&fleet.ask(&Request::ReadConfig)) >= accepted);
    }
    Ok(())
}

fn disturb(u: &mut Unstructured<'_>, fleet: &mut Fleet) -> arbitrary::Result<()> {
    let hosts = fleet.ids();
    match u.int_in_range(0..=5)? {
        0 => {
            for host in hosts {
                fleet.stop(host);
                fleet.start(host);
            }
        }
        1 => fleet.isolate(*u.choose(&hosts)?),
        2 => fleet.cuts.clear(),
        3 => {
            let (from, to) = (*u.choose(&hosts)?, *u.choose(&hosts)?);
            fleet.cuts.insert((from, to));
        }
        4 => {
            // A disk is lost only while all hosts vote and reach each other.
            let is_whole = fleet.cuts.is_empty() && fleet.voters().len() == 5;
            if is_whole {
                let host = *u.choose(&hosts)?;
                fleet.stop(host);
                fleet.add(host, false);
                fleet.run_until("the host votes again", |it| it.voters().len() == 5);
            }
        }
        _ => {}
    }
    Ok(())
}
