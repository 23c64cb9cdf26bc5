//! Measures the cost of membership and how soon it detects failed hosts, at several fleet sizes.
//!
//! The hosts are simulated in one process. Message sizes are those of the encoded messages plus a
//! fixed overhead for frame, MAC and headers; CPU time includes encoding and the simulation.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use ids::{HostId, Millis, Timestamp};
use membership::{Membership, MembershipMessage};
use schema::membership::MemberUpdate;

use crate::fleet::{Fleet, TICK};

/// Bytes of frame, MAC, UDP and IP headers around a message.
const FRAME_BYTES: usize = 64;

/// Simulated duration of the measurement without faults.
const IDLE_DURATION: Millis = Millis(10_000);

/// Number of failures for each kind of fault and fleet size.
const FAULT_ROUNDS: u32 = 12;

/// Simulated duration of the measurement with lost messages.
const LOSS_DURATION: Millis = Millis(600_000);

/// Numbers of hosts in each of the two data centres.
const HOSTS_PER_DATA_CENTRE: [u32; 4] = [8, 24, 48, 140];

/// Additional hosts that are in the member tables but do not run.
const LISTED_HOSTS: u32 = 1_120;

/// Number of data centres of the listed hosts.
const LISTED_DATA_CENTRES: u32 = 8;

fn main() {
    print("hosts_each listed out_bytes_s out_messages_s cpu_us_s largest_bytes");
    for per_data_centre in HOSTS_PER_DATA_CENTRE {
        measure_idle(per_data_centre, 0);
    }
    measure_idle(140, LISTED_HOSTS);
    print("hosts_each fault first_ms last_ms worst_last_ms (median of all, worst of all)");
    for per_data_centre in [8, 24, 48] {
        measure_detection(per_data_centre, "killed");
        measure_detection(per_data_centre, "frozen");
        measure_detection(per_data_centre, "deaf");
        measure_detection(per_data_centre, "mute");
    }
    print("hosts_each one_way_cut_of_a_link_noted_after_ms (both ends, worst)");
    for per_data_centre in [8, 24, 48] {
        measure_one_way_link_failure(per_data_centre);
    }
    print("hosts loss_percent host_hours false_losses refuted_suspicions");
    for loss_percent in [1, 5] {
        measure_loss(loss_percent);
    }
}

#[allow(clippy::print_stdout)]
fn print(line: &str) {
    println!("{line}");
}

#[allow(clippy::disallowed_methods)]
fn start_clock() -> Instant {
    Instant::now()
}

fn measure_idle(per_data_centre: u32, listed: u32) {
    let data_centres = 2;
    let mut fleet = Fleet::new(data_centres, per_data_centre, 7);
    add_listed_hosts(&mut fleet, listed);
    fleet.run(Millis(10_000));
    (fleet.bytes, fleet.messages) = (0, 0);
    let clock = start_clock();
    fleet.run(IDLE_DURATION);
    let cpu = clock.elapsed().as_micros() as usize;
    let host_seconds = (data_centres * per_data_centre) as usize * IDLE_DURATION.0 as usize / 1_000;
    let bytes = (fleet.bytes + fleet.messages * FRAME_BYTES) / host_seconds;
    let messages = fleet.messages as f64 / host_seconds as f64;
    let cpu = cpu / host_seconds;
    let largest = fleet.largest_message + FRAME_BYTES;
    print(&format!("{per_data_centre} {listed} {bytes} {messages:.1} {cpu} {largest}"));
}

/// Adds hosts in other data centres to the member tables, without running them.
fn add_listed_hosts(fleet: &mut Fleet, count: u32) {
    let Some(own) = fleet.hosts.get(&HostId(0)).map(Membership::own_record) else {
        return;
    };
    let records = (0..count).map(|it| {
        let mut member = own.clone();
        member.host = HostId(10_000 + it);
        member.data_centre = format!("listed{}", it % LISTED_DATA_CENTRES).parse().unwrap();
        MemberUpdate::Record(member)
    });
    let message = MembershipMessage::Updates(records.collect());
    let now = fleet.now;
    let actions = fleet.hosts.get_mut(&HostId(0)).unwrap().handle(now, HostId(2), message);
    fleet.apply_actions(HostId(0), actions);
}

fn measure_detection(per_data_centre: u32, fault: &str) {
    let mut fleet = Fleet::new(3, per_data_centre, 11);
    let mut first_delays = Vec::<u64>::new();
    let mut last_delays = Vec::<u64>::new();
    for round in 0..FAULT_ROUNDS {
        let host = HostId((round * 7 + 1) % (3 * per_data_centre));
        let injected_at = fleet.now;
        fleet.lost.clear();
        inject_fault(&mut fleet, host, fault);
        fleet.run(Millis(6_000));
        let delays = detection_delays(&fleet, host, injected_at);
        first_delays.extend(delays.iter().min().copied());
        last_delays.extend(delays.iter().max().copied());
        clear_fault(&mut fleet, host, fault);
        fleet.run(Millis(10_000));
    }
    first_delays.sort_unstable();
    last_delays.sort_unstable();
    if last_delays.is_empty() {
        print(&format!("{per_data_centre} {fault} never noticed"));
        return;
    }
    let median = last_delays.len() / 2;
    let worst = last_delays.last().copied().unwrap_or_default();
    print(&format!(
        "{per_data_centre} {fault} {} {} {worst}",
        first_delays[median], last_delays[median]
    ));
}

/// Blocks one direction between two neighbours until both consider each other unreachable.
fn measure_one_way_link_failure(per_data_centre: u32) {
    let mut fleet = Fleet::new(2, per_data_centre, 17);
    let mut worst = Millis(0);
    for round in 0..FAULT_ROUNDS {
        let from = HostId(round % (2 * per_data_centre));
        let to = fleet.hosts[&from].neighbours()[0];
        let injected_at = fleet.now;
        fleet.block_link(from, to);
        let detected =
            |it: &Fleet| !it.hosts[&from].reachable(to) && !it.hosts[&to].reachable(from);
        while !detected(&fleet) && fleet.now.since(injected_at) < Millis(10_000) {
            fleet.run(TICK);
        }
        worst = worst.max(fleet.now.since(injected_at));
        fleet.blocked_links.clear();
        fleet.run(Millis(3_000));
    }
    assert!(fleet.lost.is_empty());
    print(&format!("{per_data_centre} {worst}"));
}

/// Injects a fault: a "deaf" host receives nothing, a "mute" one sends nothing.
fn inject_fault(fleet: &mut Fleet, host: HostId, fault: &str) {
    let others = fleet.hosts.keys().copied().collect::<Vec<_>>();
    match fault {
        "killed" => fleet.kill(host),
        "frozen" => {
            fleet.frozen.insert(host);
        }
        "deaf" => others.into_iter().for_each(|it| fleet.block_link(it, host)),
        _ => others.into_iter().for_each(|it| fleet.block_link(host, it)),
    }
}

fn clear_fault(fleet: &mut Fleet, host: HostId, fault: &str) {
    fleet.blocked_links.clear();
    fleet.frozen.clear();
    if fault == "killed" {
        fleet.start(host);
    }
}

/// Returns after how many milliseconds each other host declared `host` lost.
fn detection_delays(fleet: &Fleet, host: HostId, injected_at: Timestamp) -> Vec<u64> {
    let detections = fleet.lost.iter().filter(|it| it.1 == host && it.0 != host);
    detections.map(|it| it.2.since(injected_at).0).collect()
}

fn measure_loss(loss_percent: u64) {
    let mut fleet = Fleet::new(6, 8, 13);
    fleet.lost.clear();
    let total_revisions =
        |it: &Fleet| it.hosts.values().map(|it| it.own_record().revision).sum::<u64>();
    let revisions_before = total_revisions(&fleet);
    fleet.loss_percent = loss_percent;
    fleet.run(LOSS_DURATION);
    let host_hours = fleet.hosts.len() as u64 * LOSS_DURATION.0 / 3_600_000;
    let mut lost = fleet.lost.iter().map(|it| it.1).collect::<Vec<_>>();
    lost.dedup();
    let refuted = total_revisions(&fleet) - revisions_before;
    print(&format!("48 {loss_percent} {host_hours} {} {refuted}", lost.len()));
}
