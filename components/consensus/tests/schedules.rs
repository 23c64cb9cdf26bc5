//! Random schedules of delivery, loss, duplication, cuts, crashes, lost and found disks.
//!
//! The cluster checks after each action that accepted entries are never replaced, that a term has
//! one leader, and that a host that answers as current knows all that was accepted.

mod cluster;

use arbtest::arbitrary::{Result, Unstructured};
use cluster::Cluster;
use ids::HostId;

const CASES_OF_THREE: u64 = 1500;
const CASES_OF_FIVE: u64 = 500;
const CASES_OF_FOUNDING: u64 = 500;
const CASE_BYTES: u64 = 2500;

/// Runs schedules until their bytes run out, and checks the cluster after each.
fn run_schedules(cases: u64, schedule: impl Fn(&mut Unstructured<'_>)) {
    for case in 0..cases {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            schedule(u);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

fn any_host(cluster: &Cluster, u: &mut Unstructured<'_>) -> Result<HostId> {
    Ok(*u.choose(&cluster.ids())?)
}

/// Does one random thing that networks, processes and operators do.
fn disturb(cluster: &mut Cluster, u: &mut Unstructured<'_>, value: &mut u64) -> Result<()> {
    let host = any_host(cluster, u)?;
    match u.int_in_range(0..=99)? {
        0..35 => (0..u.int_in_range(1..=10)?).for_each(|_| cluster.step_badly()),
        35..42 => (0..u.int_in_range(1..=20)?).for_each(|_| cluster.step()),
        42..45 => (0..u.int_in_range(1..=40)?).for_each(|_| cluster.tick_all()),
        45..60 => {
            *value += 1;
            cluster.propose(host, *value);
        }
        60..68 => cut(cluster, u)?,
        68..73 => cluster.cuts.clear(),
        73..76 => cluster.crash(host),
        76..81 => cluster.crash_after(host, u.int_in_range(0..=3)?),
        81..89 if !cluster.is_up(host) => cluster.start(host),
        89..91 => restart_all(cluster),
        91..97 => cluster.compact(host),
        97 if cluster.can_do_without(host) => {
            let leader = cluster.leader().unwrap();
            cluster.remove_voter(leader, host);
        }
        _ => {}
    }
    cluster.check_current();
    Ok(())
}

/// Cuts the ways between two parts of the cluster, or the ways in one direction.
fn cut(cluster: &mut Cluster, u: &mut Unstructured<'_>) -> Result<()> {
    let side: u8 = u.arbitrary()?;
    let is_one_way = u.ratio(1, 3)?;
    let is_there = |host: HostId| side >> (host.0 % 8) & 1 == 1;
    for from in cluster.ids() {
        for to in cluster.ids() {
            let crosses = is_there(from) != is_there(to);
            if crosses && (is_there(from) || !is_one_way) {
                cluster.cuts.insert((from, to));
            }
        }
    }
    Ok(())
}

fn restart_all(cluster: &mut Cluster) {
    for host in cluster.ids() {
        if !cluster.is_up(host) {
            cluster.start(host);
        }
    }
}

/// Ends all faults; then all hosts become voters again and hold the same state.
fn recover(cluster: &mut Cluster) {
    cluster.cuts.clear();
    for host in cluster.ids() {
        cluster.crash(host);
    }
    restart_all(cluster);
    cluster.run_until(|it| it.leader().is_some());
    for host in cluster.ids() {
        if cluster.is_removed(host) || cluster.is_on_found_disk(host) {
            cluster.lose_disk(host, false);
            cluster.start(host);
        }
    }
    let size = cluster.ids().len();
    cluster.run_until(|it| it.whole_voters() == Some(size));
    let leader = cluster.leader().unwrap();
    assert!(cluster.propose(leader, u64::MAX));
    cluster.run_until(|it| {
        let expected = it.accepted();
        expected.last() == Some(&u64::MAX)
            && it.ids().iter().all(|host| it.state(*host) == expected)
    });
}

fn lose_disks(cluster: &mut Cluster, u: &mut Unstructured<'_>) -> Result<()> {
    let mut value = 0;
    cluster.reseed(u.arbitrary()?);
    while !u.is_empty() {
        let host = any_host(cluster, u)?;
        let loses_disk = u.ratio(1, 10)?;
        if loses_disk && cluster.can_do_without(host) {
            match u.ratio(3, 4)? {
                true => cluster.lose_disk(host, u.arbitrary()?),
                false => cluster.find_lost_disk(host),
            }
            cluster.start(host);
        }
        disturb(cluster, u, &mut value)?;
    }
    Ok(())
}

#[test]
fn three_voters_lose_nothing() {
    run_schedules(CASES_OF_THREE, |u| {
        let mut cluster = Cluster::with_leader(3);
        let _ = lose_disks(&mut cluster, u);
        recover(&mut cluster);
    });
}

#[test]
fn five_voters_lose_nothing() {
    run_schedules(CASES_OF_FIVE, |u| {
        let mut cluster = Cluster::with_leader(5);
        let _ = lose_disks(&mut cluster, u);
        recover(&mut cluster);
    });
}

/// Loses any disks but that of one host, once a leader was elected and that host has a log.
fn lose_disks_while_founding(cluster: &mut Cluster, u: &mut Unstructured<'_>) -> Result<()> {
    let mut value = 0;
    cluster.reseed(u.arbitrary()?);
    let kept = any_host(cluster, u)?;
    while !u.is_empty() {
        let host = any_host(cluster, u)?;
        let kept_has_log = cluster.has_log(kept);
        if u.ratio(1, 10)? && host != kept && (kept_has_log || !cluster.has_led()) {
            cluster.lose_disk(host, true);
            cluster.start(host);
        }
        disturb(cluster, u, &mut value)?;
    }
    Ok(())
}

#[test]
fn a_cluster_is_founded_once() {
    run_schedules(CASES_OF_FOUNDING, |u| {
        let mut cluster = Cluster::bootstrapping(3);
        let _ = lose_disks_while_founding(&mut cluster, u);
    });
}
