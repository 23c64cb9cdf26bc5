//! Properties under random faults: versions only rise, all hosts converge, and older announcements
//! never replace newer ones.

mod fleet;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use dissemination::DisseminationAction;
use ids::{ConfigVersion, HostId, Millis};
use schema::announcement::ServerState;

use crate::fleet::{Fleet, TICK, announcement, config_text};

const CASES: u64 = 150;

/// Random input per case, in bytes; arbtest takes it from the low half of the seed.
const CASE_BYTES: u64 = 512;

/// Time within which all hosts converge after the last fault.
const CONVERGENCE: Millis = Millis(25_000);

const DATA_CENTRES: u32 = 3;
const HOSTS_PER_DATA_CENTRE: u32 = 4;
const HOSTS: u32 = DATA_CENTRES * HOSTS_PER_DATA_CENTRE;
const CONTROL_HOSTS: u32 = 3;

fn for_each_case(property: impl Fn(u64, &mut Unstructured<'_>) -> Result<()>) {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| property(seed, u)).seed(seed).run();
    }
}

fn new_fleet(seed: u64, u: &mut Unstructured<'_>) -> Result<Fleet> {
    let mut fleet = Fleet::new(DATA_CENTRES, HOSTS_PER_DATA_CENTRE, CONTROL_HOSTS, seed);
    fleet.loss_percent = u.int_in_range(0..=20)?;
    fleet.duplicate_percent = u.int_in_range(0..=20)?;
    fleet.max_delay = Millis(u.int_in_range(5..=1_500)?);
    Ok(fleet)
}

fn any_host(u: &mut Unstructured<'_>) -> Result<HostId> {
    Ok(HostId(u.int_in_range(0..=HOSTS - 1)?))
}

/// Blocks one direction of a link, unblocks all links, isolates a host or restarts an entry host.
fn inject_fault(fleet: &mut Fleet, u: &mut Unstructured<'_>) -> Result<()> {
    match u.int_in_range(0..=4)? {
        0 | 1 => {
            let link = (any_host(u)?, any_host(u)?);
            fleet.blocked_links.insert(link);
        }
        2 => fleet.blocked_links.clear(),
        3 => {
            let host = any_host(u)?;
            isolate(fleet, host);
        }
        _ => {
            let host = HostId(u.int_in_range(0..=HOSTS - CONTROL_HOSTS - 1)?);
            fleet.start(host);
        }
    }
    Ok(())
}

/// Blocks both directions between `host` and every other host.
fn isolate(fleet: &mut Fleet, host: HostId) {
    for other in (0..HOSTS).map(HostId) {
        fleet.blocked_links.insert((host, other));
        fleet.blocked_links.insert((other, host));
    }
}

/// Unblocks all links, stops loss and duplication, and shortens delays.
fn end_faults(fleet: &mut Fleet) {
    fleet.blocked_links.clear();
    fleet.loss_percent = 0;
    fleet.duplicate_percent = 0;
    fleet.max_delay = Millis(30);
}

/// Asserts that versions only rise on each host and that each has one content on all hosts.
fn assert_versions_rise(fleet: &Fleet, seed: u64) {
    let mut texts = BTreeMap::new();
    for (host, configs) in &fleet.configs_in_force {
        assert!(
            configs.is_sorted_by(|a, b| a.0 < b.0),
            "seed {seed}: {host} installed {configs:?}"
        );
        for (version, digest) in configs {
            assert_eq!(texts.entry(*version).or_insert(*digest), digest, "seed {seed}");
        }
    }
}

#[test]
fn versions_rise_and_all_hosts_converge() {
    for_each_case(|seed, u| {
        let mut fleet = new_fleet(seed, u)?;
        let mut published = 0;
        let mut texts = Vec::new();
        for _ in 0..u.int_in_range(2..=12)? {
            let control = HostId(HOSTS - 1 - u.int_in_range(0..=CONTROL_HOSTS - 1)?);
            if u.ratio(1, 2)? {
                published += 1;
                let organisations = u.int_in_range(0..=120)?;
                texts.push(config_text(published, organisations, published as u32));
                fleet.publish(control, &texts[texts.len() - 1]);
            } else if !texts.is_empty() {
                fleet.publish(control, u.choose(&texts)?);
            }
            if inject_fault(&mut fleet, u).is_err() {
                break;
            }
            fleet.run(Millis(u.int_in_range(0..=1_500)?));
        }

        end_faults(&mut fleet);
        fleet.run(CONVERGENCE);

        assert_versions_rise(&fleet, seed);
        assert!(fleet.all_have_version(published), "seed {seed}");
        Ok(())
    });
}

#[test]
fn a_version_reaches_all_hosts_despite_links_blocked_one_way() {
    for_each_case(|seed, u| {
        let mut fleet = Fleet::new(DATA_CENTRES, HOSTS_PER_DATA_CENTRE, CONTROL_HOSTS, seed);
        fleet.publish(HostId(HOSTS - 1), &config_text(1, 50, 1));
        fleet.run(Millis(1_000));
        for _ in 0..2 {
            fleet.blocked_links.insert((any_host(u)?, any_host(u)?));
        }

        fleet.publish(HostId(HOSTS - 1), &config_text(2, 50, 2));
        fleet.run(Millis(6_000));

        assert!(fleet.all_have_version(2), "seed {seed}: {:?}", fleet.blocked_links);
        Ok(())
    });
}

#[test]
fn an_isolated_control_host_rolls_no_host_back() {
    for_each_case(|seed, u| {
        let mut fleet = Fleet::new(DATA_CENTRES, HOSTS_PER_DATA_CENTRE, CONTROL_HOSTS, seed);
        let (isolated, other) = (HostId(HOSTS - 1), HostId(HOSTS - 2));
        fleet.publish(isolated, &config_text(1, 20, 1));
        fleet.run(Millis(1_000));
        for host in (0..HOSTS - 1).map(HostId) {
            fleet.blocked_links.insert((host, isolated));
            if u.ratio(1, 2)? {
                fleet.blocked_links.insert((isolated, host));
            }
        }
        fleet.publish(other, &config_text(2, 20, 2));
        fleet.run(Millis(2_000));

        let restarted = HostId(u.int_in_range(0..=HOSTS - CONTROL_HOSTS - 1)?);
        fleet.start(restarted);
        fleet.loss_percent = 30;
        fleet.max_delay = Millis(400);
        for _ in 0..150 {
            fleet.run(TICK);
            let host = &fleet.hosts[&restarted];
            let rolled_back = host.is_ready() && host.version() < ConfigVersion(2);
            assert!(!rolled_back, "seed {seed}");
        }
        fleet.loss_percent = 0;
        fleet.run(Millis(2_000));

        assert!(fleet.hosts[&restarted].is_ready(), "seed {seed}");
        assert_eq!(fleet.hosts[&restarted].version(), ConfigVersion(2), "seed {seed}");
        assert_eq!(fleet.hosts[&isolated].version(), ConfigVersion(1), "seed {seed}");
        Ok(())
    });
}

#[test]
fn late_announcements_do_not_replace_newer_ones() {
    for_each_case(|seed, u| {
        let mut fleet = new_fleet(seed, u)?;
        let server = "server-1".parse().unwrap();
        let states = [ServerState::Starting, ServerState::Serving, ServerState::Draining];
        let mut pending = Vec::new();
        for sequence in 1..=u.int_in_range(2..=8)? {
            pending.push(announcement("server-1", sequence, *u.choose(&states)?));
        }
        let newest = pending.last().cloned().unwrap();
        let mut receiver = HostId(0);
        while !pending.is_empty() {
            let next = pending.remove(u.int_in_range(0..=pending.len().min(3) - 1)?);
            let host = any_host(u)?;
            if next == newest {
                receiver = host;
                fleet.restarted.clear();
            }
            fleet.announce(host, next);
            if inject_fault(&mut fleet, u).is_err() {
                break;
            }
            fleet.run(Millis(u.int_in_range(0..=600)?));
        }
        for rest in pending {
            fleet.announce(HostId(0), rest);
        }

        end_faults(&mut fleet);
        fleet.run(CONVERGENCE);

        let states = fleet.server_states(&server);
        assert!(states.iter().all(|it| *it == states[0]), "seed {seed}: {states:?}");
        if !fleet.restarted.contains(&receiver) {
            assert_eq!(states[0], Some(newest.state), "seed {seed}");
        }
        Ok(())
    });
}

#[test]
fn no_host_reverts_to_an_earlier_announcement() {
    for_each_case(|seed, u| {
        let mut fleet = new_fleet(seed, u)?;
        for sequence in [2, 1, 4, 3, 6, 5, 8, 7] {
            let state = if sequence < 4 { ServerState::Serving } else { ServerState::Draining };
            fleet.announce(any_host(u)?, announcement("server-1", sequence, state));
            fleet.blocked_links.insert((any_host(u)?, any_host(u)?));
            fleet.run(Millis(u.int_in_range(0..=600)?));
        }

        end_faults(&mut fleet);
        fleet.run(Millis(5_000));

        assert_sequences_rise(&fleet, seed);
        let states = fleet.server_states(&"server-1".parse().unwrap());
        assert!(states.iter().all(|it| *it == Some(ServerState::Draining)), "seed {seed}");
        Ok(())
    });
}

/// Asserts that the announcements that each host reports have rising sequences.
fn assert_sequences_rise(fleet: &Fleet, seed: u64) {
    let mut last = BTreeMap::new();
    for (host, event) in &fleet.events {
        if let DisseminationAction::ServerChanged { announcement } = event {
            let before = last.insert(host, announcement.sequence);
            assert!(before < Some(announcement.sequence), "seed {seed}: {host}");
        }
    }
}
