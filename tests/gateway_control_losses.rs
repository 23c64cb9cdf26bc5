//! Tests that a configuration is in force at all gateways in time although control hosts are lost,
//! the one that acknowledged it among them.

mod gateway;

use std::{
    thread,
    time::{Duration, Instant},
};

use gateway::{Fleet, call, config, wait_for};
use platform::stand_in;

/// Time after its acknowledgement at which a configuration is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_500);

/// Time after the loss of the leader from which that has to hold again.
const STABLE_AFTER: Duration = Duration::from_millis(3_000);

/// Time for which control hosts are frozen.
const FREEZE: Duration = Duration::from_millis(4_200);

const FIRST_GATEWAY: u8 = 11;

/// Starts a fleet whose gateways all have version 1.
fn started_fleet(control_hosts: u8, gateways: u8) -> Fleet {
    let mut fleet = Fleet::without_hosts();
    (1..=control_hosts).for_each(|it| fleet.start_control(it, true));
    (FIRST_GATEWAY..FIRST_GATEWAY + gateways).for_each(|it| fleet.start_gateway(it));
    fleet.put_config(1, "queue");
    wait_for("version 1 at all gateways", || {
        outdated(&fleet, gateways, 1).is_empty().then_some(())
    });
    wait_for("votes of all control hosts", || {
        let voters = (1..=control_hosts).map(|it| metric(&fleet, it, "control_voters"));
        voters.clone().all(|it| it == Some(u64::from(control_hosts))).then_some(())
    });
    fleet
}

/// Reads a gauge of a host.
fn metric(fleet: &Fleet, host: u8, name: &str) -> Option<u64> {
    let response = call(fleet.address(host, fleet.ports.metrics), "GET", "/metrics", &[], b"")?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let prefix = format!("daisypaddle_{name} ");
    text.lines().find_map(|it| it.strip_prefix(&prefix)).and_then(|it| it.trim().parse().ok())
}

/// Returns the gateways at which an older configuration is in force.
fn outdated(fleet: &Fleet, gateways: u8, version: u64) -> Vec<u8> {
    let hosts = FIRST_GATEWAY..FIRST_GATEWAY + gateways;
    hosts.filter(|it| metric(fleet, *it, "config_version").is_none_or(|it| it < version)).collect()
}

fn leader(fleet: &Fleet, control_hosts: u8) -> u8 {
    let is_leader = |host: &u8| {
        let address = fleet.address(*host, fleet.ports.requests);
        call(address, "GET", stand_in::READ_CONFIG, &[], b"").is_some_and(|it| it.status == 200)
    };
    wait_for("a leader", || (1..=control_hosts).find(is_leader))
}

/// Submits a configuration to the leader until it is acknowledged; returns when that was.
fn put(fleet: &Fleet, leader: u8, version: u64) -> Instant {
    let address = fleet.address(leader, fleet.ports.requests);
    let body = stand_in::config_body(&config(version, "queue"));
    wait_for("an acknowledgement", || {
        let response = call(address, "POST", stand_in::PUT_CONFIG, &[], &body)?;
        (response.status == 200).then(Instant::now)
    })
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Guards against gateways that route by an older configuration for over 3 s after the control host
/// that acknowledged the newer one froze.
#[test]
fn a_configuration_is_in_force_in_time_although_the_leader_freezes_after_its_acknowledgement() {
    const GATEWAYS: u8 = 12;
    let fleet = started_fleet(5, GATEWAYS);
    for version in 2..=6 {
        let leader = leader(&fleet, 5);

        let acknowledged = put(&fleet, leader, version);
        fleet.signal(leader, "-STOP");
        let frozen = Instant::now();
        sleep_until((acknowledged + IN_FORCE_WITHIN).max(frozen + STABLE_AFTER));
        let outdated = outdated(&fleet, GATEWAYS, version);
        sleep_until(frozen + FREEZE);
        fleet.signal(leader, "-CONT");

        assert!(outdated.is_empty(), "version {version} is not in force at gateways {outdated:?}");
        thread::sleep(Duration::from_millis(1_500));
    }
}

/// Guards against gateways that wait for one silent control host after the other.
#[test]
fn a_configuration_is_in_force_in_time_although_several_control_hosts_are_silent() {
    const GATEWAYS: u8 = 24;
    let fleet = started_fleet(7, GATEWAYS);
    for version in 2..=4 {
        let leader = leader(&fleet, 7);
        let others = (1..=7).cycle().skip(usize::from(leader)).take(6);
        let silent: Vec<u8> = others.skip(version as usize - 2).take(3).collect();

        silent.iter().for_each(|it| fleet.signal(*it, "-STOP"));
        let acknowledged = put(&fleet, leader, version);
        sleep_until(acknowledged + IN_FORCE_WITHIN);
        let outdated = outdated(&fleet, GATEWAYS, version);
        silent.iter().for_each(|it| fleet.signal(*it, "-CONT"));

        assert!(outdated.is_empty(), "version {version} is not in force at gateways {outdated:?}");
        thread::sleep(Duration::from_millis(1_500));
    }
}
