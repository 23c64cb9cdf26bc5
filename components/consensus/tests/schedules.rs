//! Random schedules of message faults, partitions, crashes, and lost and reappearing disks.
//!
//! The cluster asserts after each action that committed entries are never replaced, that each term
//! has at most one leader, and that a host with a lease knows all committed entries.

mod cluster;

use arbtest::arbitrary::{Result, Unstructured};
use cluster::Cluster;
use ids::HostId;

const THREE_VOTER_CASES: u64 = 1500;
const FIVE_VOTER_CASES: u64 = 500;
const BOOTSTRAP_CASES: u64 = 500;

/// Random input per case, in bytes; arbtest takes it from the low half of the seed.
const CASE_BYTES: u64 = 2500;

/// Runs a schedule with random bytes of a fixed seed, once for each case.
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

/// Performs one random step: delivery, a fault, a restart, a proposal or an operator's change.
fn run_random_step(cluster: &mut Cluster, u: &mut Unstructured<'_>, value: &mut u64) -> Result<()> {
    let host = any_host(cluster, u)?;
    match u.int_in_range(0..=99)? {
        0..35 => (0..u.int_in_range(1..=10)?).for_each(|_| cluster.step_with_faults()),
        35..42 => (0..u.int_in_range(1..=20)?).for_each(|_| cluster.step()),
        42..45 => (0..u.int_in_range(1..=40)?).for_each(|_| cluster.tick_all()),
        45..60 => {
            *value += 1;
            cluster.propose(host, *value);
        }
        60..68 => partition(cluster, u)?,
        68..73 => cluster.blocked_links.clear(),
        73..76 => cluster.crash(host),
        76..81 => cluster.crash_after(host, u.int_in_range(0..=3)?),
        81..89 if !cluster.is_up(host) => cluster.start(host),
        89..91 => start_stopped_hosts(cluster),
        91..97 => cluster.compact(host),
        97 if cluster.can_lose(host) => {
            let leader = cluster.leader().unwrap();
            cluster.remove_voter(leader, host);
        }
        _ => {}
    }
    cluster.check_lease_holders();
    Ok(())
}

/// Blocks the links between two parts of the cluster, in both directions or in one.
fn partition(cluster: &mut Cluster, u: &mut Unstructured<'_>) -> Result<()> {
    let side: u8 = u.arbitrary()?;
    let is_one_way = u.ratio(1, 3)?;
    let is_in_side = |host: HostId| side >> (host.0 % 8) & 1 == 1;
    for from in cluster.ids() {
        for to in cluster.ids() {
            let crosses = is_in_side(from) != is_in_side(to);
            if crosses && (is_in_side(from) || !is_one_way) {
                cluster.blocked_links.insert((from, to));
            }
        }
    }
    Ok(())
}

fn start_stopped_hosts(cluster: &mut Cluster) {
    for host in cluster.ids() {
        if !cluster.is_up(host) {
            cluster.start(host);
        }
    }
}

/// Ends all faults and waits until all hosts are voters again and have the same state.
fn recover(cluster: &mut Cluster) {
    cluster.blocked_links.clear();
    for host in cluster.ids() {
        cluster.crash(host);
    }
    start_stopped_hosts(cluster);
    cluster.run_until(|it| it.leader().is_some());
    for host in cluster.ids() {
        if cluster.is_removed(host) || cluster.is_on_stale_disk(host) {
            cluster.lose_disk(host, false);
            cluster.start(host);
        }
    }
    let size = cluster.ids().len();
    cluster.run_until(|it| it.voters_on_known_disks() == Some(size));
    let leader = cluster.leader().unwrap();
    assert!(cluster.propose(leader, u64::MAX));
    cluster.run_until(|it| {
        let expected = it.committed();
        expected.last() == Some(&u64::MAX)
            && it.ids().iter().all(|host| it.state(*host) == expected)
    });
}

fn run_with_disk_losses(cluster: &mut Cluster, u: &mut Unstructured<'_>) -> Result<()> {
    let mut value = 0;
    cluster.reseed(u.arbitrary()?);
    while !u.is_empty() {
        let host = any_host(cluster, u)?;
        let loses_disk = u.ratio(1, 10)?;
        if loses_disk && cluster.can_lose(host) {
            match u.ratio(3, 4)? {
                true => cluster.lose_disk(host, u.arbitrary()?),
                false => cluster.restore_lost_disk(host),
            }
            cluster.start(host);
        }
        run_random_step(cluster, u, &mut value)?;
    }
    Ok(())
}

#[test]
fn three_voters_lose_no_committed_entry() {
    run_schedules(THREE_VOTER_CASES, |u| {
        let mut cluster = Cluster::with_leader(3);
        let _ = run_with_disk_losses(&mut cluster, u);
        recover(&mut cluster);
    });
}

#[test]
fn five_voters_lose_no_committed_entry() {
    run_schedules(FIVE_VOTER_CASES, |u| {
        let mut cluster = Cluster::with_leader(5);
        let _ = run_with_disk_losses(&mut cluster, u);
        recover(&mut cluster);
    });
}

/// Loses disks at random, except that of one host; no disk is lost from the first election until
/// that host has a log.
fn run_with_disk_losses_during_bootstrap(
    cluster: &mut Cluster,
    u: &mut Unstructured<'_>,
) -> Result<()> {
    let mut value = 0;
    cluster.reseed(u.arbitrary()?);
    let kept_host = any_host(cluster, u)?;
    while !u.is_empty() {
        let host = any_host(cluster, u)?;
        let kept_host_has_log = cluster.has_log(kept_host);
        if u.ratio(1, 10)? && host != kept_host && (kept_host_has_log || !cluster.has_had_leader())
        {
            cluster.lose_disk(host, true);
            cluster.start(host);
        }
        run_random_step(cluster, u, &mut value)?;
    }
    Ok(())
}

#[test]
fn a_cluster_is_bootstrapped_once() {
    run_schedules(BOOTSTRAP_CASES, |u| {
        let mut cluster = Cluster::bootstrapping(3);
        let _ = run_with_disk_losses_during_bootstrap(&mut cluster, u);
    });
}

/// One voter starts late or never, and may come back with an empty disk before the first election.
fn run_with_late_voter(cluster: &mut Cluster, u: &mut Unstructured<'_>) -> Result<()> {
    let mut value = 0;
    cluster.reseed(u.arbitrary()?);
    let late = any_host(cluster, u)?;
    cluster.crash(late);
    let mut has_come = false;
    while !u.is_empty() {
        if has_come && !cluster.has_had_leader() && u.ratio(1, 10)? {
            cluster.lose_disk(late, true);
            cluster.start(late);
        }
        run_random_step(cluster, u, &mut value)?;
        has_come |= cluster.is_up(late);
        assert!(has_come || !cluster.has_had_leader(), "a leader without {late}");
    }
    Ok(())
}

#[test]
fn a_cluster_is_bootstrapped_only_with_all_initial_voters() {
    run_schedules(BOOTSTRAP_CASES, |u| {
        let mut cluster = Cluster::bootstrapping(3);
        let _ = run_with_late_voter(&mut cluster, u);
    });
}
