//! Control hosts under restarts, blocked links and lost disks: accepted state survives, reads are
//! never stale, and hosts join and leave without a configured member list.

mod fleet;

use arbtest::arbitrary::{self, Unstructured};
use fleet::{Fleet, config, place};
use ids::{ConfigVersion, HostId, Incarnation, LogIndex};
use registry::{Answer, HostEvent, Registry, Request};
use schema::{
    announcement::{Announcement, ServerState},
    peer::PeerMessage,
    sync::{
        EntryHostRecord, EntryHostState, HostsRevision, HostsUpdate, Poll, Presence,
        RegistryUpdate, SyncMessage, Update,
    },
};

fn config_version(answer: &Answer) -> ConfigVersion {
    match answer {
        Answer::Config(it) => it.version,
        answer => panic!("expected a configuration, got {answer:?}"),
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

/// A poll from entry host 900, which has no list of entry hosts.
fn poll(sequence: u64, holds: u64) -> HostEvent {
    let none = HostsRevision { control_host: HostId(0), incarnation: Incarnation(0), number: 0 };
    poll_holding(sequence, holds, none)
}

/// Returns the revision of the entry host list in the newest update that contains one.
fn latest_hosts_revision(fleet: &Fleet) -> HostsRevision {
    let revision = |it: &&Update| match &it.hosts {
        HostsUpdate::Changed(changes) => Some(changes.revision.clone()),
        HostsUpdate::Unchanged => None,
    };
    sent_updates(fleet)
        .iter()
        .rev()
        .find_map(revision)
        .expect("an update contains an entry host list")
}

fn poll_holding(sequence: u64, holds: u64, holds_hosts: HostsRevision) -> HostEvent {
    let record = EntryHostRecord {
        host: HostId(900),
        incarnation: Incarnation(1),
        region: "north".parse().unwrap(),
        data_centre: "north-a".parse().unwrap(),
        caller_address: "10.1.0.1:80".parse().unwrap(),
        state: EntryHostState::Serving,
    };
    let poll = Poll {
        sequence,
        presence: Presence::Entry(record),
        holds: LogIndex(holds),
        holds_hosts,
        hosts_digest: 0,
    };
    HostEvent::Peer {
        from: HostId(900),
        incarnation: Incarnation(1),
        message: PeerMessage::Sync(SyncMessage::Poll(poll)),
    }
}

/// Returns the updates sent to the entry host of [`poll`].
fn sent_updates(fleet: &Fleet) -> Vec<&Update> {
    let updates = fleet.external_messages.iter().filter_map(|(to, message)| match message {
        PeerMessage::Sync(SyncMessage::Update(it)) if *to == HostId(900) => Some(it),
        _ => None,
    });
    updates.collect()
}

#[test]
fn hosts_beyond_the_seeds_become_voters_and_apply_accepted_configurations() {
    let mut fleet = Fleet::new(5);

    assert_eq!(fleet.execute(&config(3, "three")), Answer::Accepted);
    fleet.run_for(500);

    for host in fleet.ids() {
        assert_eq!(fleet.process(host).unwrap().registry().version(), ConfigVersion(3));
    }
}

#[test]
fn the_highest_version_takes_effect_and_lower_ones_are_acknowledged() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&config(5, "five"));

    assert_eq!(fleet.execute(&config(4, "four")), Answer::Accepted);
    assert_eq!(fleet.execute(&config(5, "other content")), Answer::Accepted);

    let Answer::Config(read) = fleet.execute(&Request::ReadConfig) else {
        panic!("expected a configuration");
    };
    assert_eq!(read.version, ConfigVersion(5));
    assert_eq!(read.packed_text.as_slice(), b"five");
}

/// Guards against a first configuration that is acknowledged and not stored.
#[test]
fn a_first_configuration_with_version_0_is_kept() {
    let mut fleet = Fleet::new(3);

    assert_eq!(fleet.execute(&config(0, "zero")), Answer::Accepted);
    for host in fleet.ids() {
        fleet.stop(host);
        fleet.start(host);
    }

    let Answer::Config(read) = fleet.execute(&Request::ReadConfig) else {
        panic!("expected a configuration");
    };
    assert_eq!(read.packed_text.as_slice(), b"zero");
    let registry = fleet.process(fleet.ids()[0]).unwrap().registry();
    assert_eq!(Registry::restore(&registry.snapshot()).config(), registry.config());
    assert_eq!(fleet.execute(&config(0, "other content")), Answer::Accepted);
    assert_eq!(fleet.execute(&config(1, "one")), Answer::Accepted);
}

#[test]
fn an_isolated_leader_answers_no_writes_and_no_reads() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader().unwrap();
    fleet.isolate(leader);

    let put = fleet.request(leader, config(9, "nine"));
    let read = fleet.request(leader, Request::ReadConfig);
    let drain = fleet.request(leader, Request::Announce(announcement(2, ServerState::Draining)));
    fleet.run_for(3_000);

    for id in [put, read, drain] {
        assert!(matches!(fleet.answers[&id], Answer::Unavailable(_)), "{:?}", fleet.answers[&id]);
    }
}

#[test]
fn a_lost_host_is_replaced_by_a_host_with_a_new_id() {
    let mut fleet = Fleet::new(5);
    fleet.execute(&config(2, "two"));
    let lost = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();

    fleet.remove(lost);
    fleet.add(HostId(50), false);
    fleet.run_until("the new host votes and the lost one is removed", |it| {
        it.voters().contains(&HostId(50)) && !it.voters().contains(&lost)
    });

    assert_eq!(config_version(&fleet.execute(&Request::ReadConfig)), ConfigVersion(2));
}

#[test]
fn a_host_removed_while_it_was_isolated_rejoins() {
    let mut fleet = Fleet::new(5);
    let isolated = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.isolate(isolated);
    fleet.run_until("the isolated host is removed", |it| it.voters().len() == 4);

    fleet.blocked_links.clear();

    fleet.run_until("the host votes again", |it| it.voters().len() == 5);
}

#[test]
fn a_host_that_lost_its_disk_votes_again_only_with_the_accepted_state() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&config(2, "two"));

    for host in fleet.ids() {
        fleet.stop(host);
        fleet.add(host, false);
        fleet.run_until("the host votes again", |it| {
            it.voters().len() == 3
                && it.ids().iter().all(|other| {
                    it.process(*other).unwrap().registry().version() == ConfigVersion(2)
                })
        });
    }

    assert_eq!(config_version(&fleet.execute(&Request::ReadConfig)), ConfigVersion(2));
}

#[test]
fn a_draining_server_stays_draining_despite_late_announcements() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&Request::Announce(announcement(1, ServerState::Serving)));
    fleet.execute(&Request::Announce(announcement(5, ServerState::Draining)));

    fleet.execute(&Request::Announce(announcement(4, ServerState::Serving)));
    fleet.execute(&Request::Announce(announcement(6, ServerState::Serving)));

    let leader = fleet.leader().unwrap();
    let states: Vec<_> =
        fleet.process(leader).unwrap().registry().servers().map(|it| it.state).collect();
    assert_eq!(states, [ServerState::Draining]);
}

#[test]
fn announcements_are_answered_with_a_control_host_in_the_region_if_there_is_one() {
    let mut fleet = Fleet::new(3);
    fleet.run_for(500);
    let mut far = announcement(1, ServerState::Serving);
    far.server = "s2".parse().unwrap();
    far.data_centre = "south-a".parse().unwrap();
    far.address = "10.0.0.2:80".parse().unwrap();

    let near = fleet.execute(&Request::Announce(announcement(1, ServerState::Serving)));
    let far = fleet.execute(&Request::Announce(far));

    assert!(matches!(near, Answer::AnnouncementAccepted { next: Some(_) }), "{near:?}");
    assert_eq!(far, Answer::AnnouncementAccepted { next: None });
}

#[test]
fn a_server_that_started_later_takes_over_an_address() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&Request::Announce(announcement(1, ServerState::Serving)));
    let mut newer = announcement(1, ServerState::Serving);
    newer.server = "s2".parse().unwrap();
    newer.incarnation = Incarnation(9);

    fleet.execute(&Request::Announce(newer));
    fleet.execute(&Request::Announce(announcement(8, ServerState::Serving)));

    let leader = fleet.leader().unwrap();
    let servers: Vec<_> =
        fleet.process(leader).unwrap().registry().servers().map(|it| it.server.clone()).collect();
    assert_eq!(servers, ["s2".parse().unwrap()]);
}

#[test]
fn a_server_that_left_is_listed_again_only_after_a_restart() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&Request::Announce(announcement(1, ServerState::Serving)));
    fleet.execute(&Request::Leave { server: "s1".parse().unwrap(), incarnation: None });
    fleet.execute(&Request::Announce(announcement(9, ServerState::Serving)));
    let leader = fleet.leader().unwrap();
    assert_eq!(fleet.process(leader).unwrap().registry().servers().count(), 0);

    let mut restarted = announcement(1, ServerState::Serving);
    restarted.incarnation = Incarnation(8);
    fleet.execute(&Request::Announce(restarted));

    let leader = fleet.leader().unwrap();
    assert_eq!(fleet.process(leader).unwrap().registry().servers().count(), 1);
}

#[test]
fn a_restarted_host_does_not_confirm_that_an_unknown_server_has_left() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&Request::Announce(announcement(1, ServerState::Serving)));
    let follower = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.stop(follower);
    fleet.start(follower);

    let leave = Request::Leave { server: "s1".parse().unwrap(), incarnation: Some(Incarnation(7)) };
    let id = fleet.request(follower, leave);

    assert_ne!(fleet.answers.get(&id), Some(&Answer::Accepted));
}

#[test]
fn a_poll_is_answered_at_once_on_a_change_and_otherwise_after_a_second() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&config(1, "one"));
    fleet.run_for(500);
    let host = fleet.leader().unwrap();
    fleet.handle_event(host, poll(1, 0));
    fleet.run_for(300);
    fleet.handle_event(host, poll(1, 0));
    fleet.step();
    let RegistryUpdate::Changed(first) = sent_updates(&fleet)[0].registry.clone() else {
        panic!("the first update contains no registry changes");
    };
    assert_eq!(first.config.len(), 1);

    let held = latest_hosts_revision(&fleet);
    fleet.handle_event(host, poll_holding(2, first.up_to.0, held.clone()));
    fleet.run_for(300);
    fleet.execute(&config(2, "two"));
    let second = sent_updates(&fleet).into_iter().find(|it| it.sequence == 2).unwrap().clone();
    let RegistryUpdate::Changed(second) = second.registry else {
        panic!("the second update contains no registry changes")
    };
    fleet.handle_event(host, poll_holding(3, second.up_to.0, held));
    fleet.run_for(1_200);

    assert_eq!(second.config[0].version, ConfigVersion(2));
    let third = sent_updates(&fleet).into_iter().find(|it| it.sequence == 3).unwrap();
    assert_eq!(third.registry, RegistryUpdate::Unchanged);
}

#[test]
fn a_large_update_is_announced_with_its_size() {
    let mut fleet = Fleet::new(3);
    fleet.execute(&config(1, &"x".repeat(500_000)));
    fleet.run_for(500);
    let host = fleet.leader().unwrap();

    // The answer to the first poll (sequence 1) may refer to nearer hosts instead.
    fleet.handle_event(host, poll(2, 0));
    fleet.step();

    let sent: Vec<_> = fleet.external_messages.iter().map(|(_, message)| message).collect();
    let [PeerMessage::Sync(SyncMessage::UpdateBegins(begins)), update] = sent[..] else {
        panic!("expected an announcement and an update, got {} messages", sent.len());
    };
    assert!(matches!(update, PeerMessage::Sync(SyncMessage::Update(_))));
    assert_eq!(begins.sequence, 2);
    assert!((500_000..510_000).contains(&begins.size.0), "{}", begins.size);
}

#[test]
fn an_isolated_control_host_answers_polls_as_not_current() {
    let mut fleet = Fleet::new(3);
    let isolated = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.isolate(isolated);
    fleet.run_for(1_500);

    fleet.handle_event(isolated, poll(1, 0));
    fleet.step();

    let update = sent_updates(&fleet)[0];
    assert!(!update.current);
    assert_eq!(update.registry, RegistryUpdate::Unchanged);
}

#[test]
fn entry_hosts_are_listed_by_all_control_hosts() {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    fleet.handle_event(hosts[0], poll(1, u64::MAX));
    fleet.run_for(300);

    fleet.handle_event(hosts[1], poll(2, u64::MAX));
    fleet.run_for(600);

    let update = sent_updates(&fleet).into_iter().find(|it| it.sequence == 2).unwrap();
    let HostsUpdate::Changed(changes) = &update.hosts else {
        panic!("the update contains no entry hosts")
    };
    assert_eq!(changes.hosts.len(), 1);
    assert_eq!(place("north").region, changes.hosts[0].region);
}

/// A poll from the given entry host.
fn entry_host_poll(host: u32, state: EntryHostState) -> HostEvent {
    let HostEvent::Peer { message: PeerMessage::Sync(SyncMessage::Poll(mut poll)), .. } =
        poll(1, u64::MAX)
    else {
        unreachable!("`poll` returns a poll event");
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

/// Polls a control host from the given entry hosts every 500 ms.
fn run_polls(fleet: &mut Fleet, control: HostId, entry_hosts: &[u32], millis: u64) {
    for _ in 0..millis / 500 {
        for host in entry_hosts {
            fleet.handle_event(control, entry_host_poll(*host, EntryHostState::Serving));
        }
        fleet.run_for(500);
    }
}

/// Returns the entry hosts that a control host lists, without the host of [`poll`].
fn listed_entry_hosts(fleet: &mut Fleet, control: HostId) -> Vec<u32> {
    fleet.external_messages.clear();
    fleet.handle_event(control, poll(7, u64::MAX));
    fleet.run_for(300);
    let update =
        sent_updates(fleet).into_iter().find(|it| it.sequence == 7).expect("the poll is answered");
    let HostsUpdate::Changed(changes) = &update.hosts else {
        panic!("the update contains no entry hosts")
    };
    changes.hosts.iter().map(|it| it.host.0).filter(|it| *it != 900).collect()
}

#[test]
fn entry_host_lists_converge_after_lost_messages() {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    run_polls(&mut fleet, hosts[0], &[901, 902, 903], 2_000);
    assert_eq!(listed_entry_hosts(&mut fleet, hosts[1]), [901, 902, 903]);

    fleet.blocked_links.insert((hosts[0], hosts[1]));
    run_polls(&mut fleet, hosts[0], &[902, 903, 904], 3_000);
    fleet.blocked_links.clear();
    run_polls(&mut fleet, hosts[0], &[902, 903, 904], 4_500);

    assert_eq!(listed_entry_hosts(&mut fleet, hosts[1]), [902, 903, 904]);
}

#[test]
fn a_restarted_control_host_receives_the_lists_of_its_peers_at_once() {
    let mut fleet = Fleet::new(3);
    let leader = fleet.leader().unwrap();
    let others: Vec<_> = fleet.ids().into_iter().filter(|it| *it != leader).collect();
    let (polled, restarted) = (others[0], others[1]);
    run_polls(&mut fleet, polled, &[901, 902], 2_000);

    // Eight restarts, 500 ms apart, cover the four seconds between two full lists.
    for _ in 0..8 {
        fleet.stop(restarted);
        fleet.start(restarted);
        run_polls(&mut fleet, polled, &[901, 902], 500);

        assert_eq!(listed_entry_hosts(&mut fleet, restarted), [901, 902]);
    }
}

#[test]
fn a_change_of_one_entry_host_is_sent_as_a_delta() {
    let mut fleet = Fleet::new(3);
    let hosts = fleet.ids();
    let entry_hosts: Vec<u32> = (901..=950).collect();
    run_polls(&mut fleet, hosts[0], &entry_hosts, 1_000);
    fleet.host_list_bytes = 0;

    // Each host in turn starts draining and serves again, within ten seconds overall.
    for host in &entry_hosts {
        for state in [EntryHostState::Draining, EntryHostState::Serving] {
            for other in &entry_hosts {
                let is_other = other != host;
                let state = if is_other { EntryHostState::Serving } else { state };
                fleet.handle_event(hosts[0], entry_host_poll(*other, state));
            }
            fleet.run_for(100);
        }
    }

    // A full list is about 2,000 bytes and is sent to two hosts every four seconds.
    assert!(fleet.host_list_bytes < 40_000, "{} bytes", fleet.host_list_bytes);
}

#[test]
fn no_accepted_configuration_is_lost_and_no_read_is_stale() {
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

/// Writes and reads configurations while hosts restart, links are blocked and single disks are
/// lost.
fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut fleet = Fleet::new(5);
    let mut newest_accepted = ConfigVersion(0);
    let mut version = 0;
    for _ in 0..12 {
        inject_fault(u, &mut fleet)?;
        let accepted_before = newest_accepted;
        version += u.int_in_range(1..=3)?;
        let host = *u.choose(&fleet.ids())?;
        let put = fleet.request(host, config(version, &format!("text {version}")));
        let read = fleet.request(*u.choose(&fleet.ids())?, Request::ReadConfig);
        fleet.run_for(u.int_in_range(1..=40)? * 50);
        if fleet.answers.get(&put) == Some(&Answer::Accepted) {
            newest_accepted = ConfigVersion(version);
        }
        if let Some(answer @ Answer::Config(_)) = fleet.answers.get(&read) {
            assert!(
                config_version(answer) >= accepted_before,
                "read {answer:?} after {accepted_before}"
            );
        }
    }
    fleet.blocked_links.clear();
    for host in fleet.ids() {
        if fleet.process(host).is_none() {
            fleet.start(host);
        }
    }
    if newest_accepted > ConfigVersion(0) {
        assert!(config_version(&fleet.execute(&Request::ReadConfig)) >= newest_accepted);
    }
    Ok(())
}

fn inject_fault(u: &mut Unstructured<'_>, fleet: &mut Fleet) -> arbitrary::Result<()> {
    let hosts = fleet.ids();
    match u.int_in_range(0..=5)? {
        0 => {
            for host in hosts {
                fleet.stop(host);
                fleet.start(host);
            }
        }
        1 => fleet.isolate(*u.choose(&hosts)?),
        2 => fleet.blocked_links.clear(),
        3 => {
            let (from, to) = (*u.choose(&hosts)?, *u.choose(&hosts)?);
            fleet.blocked_links.insert((from, to));
        }
        4 => {
            // A disk is lost only while all hosts vote and no link is blocked.
            let is_healthy = fleet.blocked_links.is_empty() && fleet.voters().len() == 5;
            if is_healthy {
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

/// Guards against a host that asks only for leaders among the hosts that it knew: they are told that it
/// is there, and none of them can add it.
#[test]
fn a_host_that_stood_still_while_replaced_hosts_took_the_lead_returns() {
    let mut fleet = Fleet::new(7);
    let known = fleet.ids();
    let frozen = fleet.ids().into_iter().rfind(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.frozen.insert(frozen);
    fleet.run_until("it is removed", |it| it.voters().len() == 6);

    while fleet.leader().is_none_or(|it| known.contains(&it)) {
        let replaced = fleet.leader().expect("a leader");
        fleet.remove(replaced);
        let running: Vec<_> = fleet.ids().into_iter().filter(|it| *it != frozen).collect();
        fleet.seeds = running.iter().copied().take(3).collect();
        let successor = HostId(fleet.ids().last().unwrap().0 + 1);
        fleet.run_for(1_000);
        fleet.add(successor, false);
        fleet.run_until("the successor votes in its place", |it| {
            let voters = it.voters();
            voters.contains(&successor) && !voters.contains(&replaced)
        });
    }
    assert!(fleet.voters().iter().any(|it| known.contains(it)), "a host that it knows is left");
    fleet.frozen.remove(&frozen);

    fleet.run_until("it votes again", |it| it.voters().contains(&frozen));
}
