//! Measures what membership costs and how soon it notices lost hosts, at several sizes.
//!
//! The hosts run in one process. Sizes are those of the encoded messages plus a fixed part for
//! frame, MAC and headers; the processor time includes encoding and the driver.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use ids::{HostId, Millis, Timestamp};
use membership::{Membership, MembershipMessage};
use schema::membership::MemberUpdate;

use crate::fleet::{Fleet, TICK};

/// Bytes of frame, MAC, UDP and IP headers around a message.
const FRAME_BYTES: usize = 64;

/// Simulated time of the measurement without faults.
const IDLE: Millis = Millis(10_000);

/// Repetitions of each detection.
const DETECTIONS: u32 = 12;

/// Simulated time of the measurement under loss.
const UNDER_LOSS: Millis = Millis(600_000);

/// Hosts in each of the two data centres.
const SIZES: [u32; 4] = [8, 24, 48, 140];

/// Further hosts that are listed in other data centres, but do not run.
const LISTED: u32 = 1_120;

/// Data centres that the listed hosts are in.
const LISTED_DATA_CENTRES: u32 = 8;

fn main() {
    print("hosts_each listed out_bytes_s out_messages_s cpu_us_s largest_bytes");
    for each in SIZES {
        measure_idle(each, 0);
    }
    measure_idle(140, LISTED);
    print("hosts_each fault first_ms last_ms worst_last_ms (median of all, worst of all)");
    for each in [8, 24, 48] {
        measure_detection(each, "killed");
        measure_detection(each, "frozen");
        measure_detection(each, "deaf");
        measure_detection(each, "mute");
    }
    print("hosts_each one_way_cut_of_a_link_noted_after_ms (both ends, worst)");
    for each in [8, 24, 48] {
        measure_link(each);
    }
    print("hosts loss_percent host_hours false_losses refuted_suspicions");
    for loss in [1, 5] {
        measure_loss(loss);
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

fn measure_idle(each: u32, listed: u32) {
    let data_centres = 2;
    let mut fleet = Fleet::new(data_centres, each, 7);
    list_others(&mut fleet, listed);
    fleet.run(Millis(10_000));
    (fleet.bytes, fleet.messages) = (0, 0);
    let clock = start_clock();
    fleet.run(IDLE);
    let cpu = clock.elapsed().as_micros() as usize;
    let host_seconds = (data_centres * each) as usize * IDLE.0 as usize / 1_000;
    let bytes = (fleet.bytes + fleet.messages * FRAME_BYTES) / host_seconds;
    let messages = fleet.messages as f64 / host_seconds as f64;
    let cpu = cpu / host_seconds;
    let largest = fleet.largest_message + FRAME_BYTES;
    print(&format!("{each} {listed} {bytes} {messages:.1} {cpu} {largest}"));
}

/// Adds hosts of other data centres to the list; nobody runs them.
fn list_others(fleet: &mut Fleet, count: u32) {
    let Some(own) = fleet.hosts.get(&HostId(0)).map(Membership::own) else {
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
    fleet.act(HostId(0), actions);
}

fn measure_detection(each: u32, fault: &str) {
    let mut fleet = Fleet::new(3, each, 11);
    let mut first = Vec::<u64>::new();
    let mut last = Vec::<u64>::new();
    for round in 0..DETECTIONS {
        let host = HostId((round * 7 + 1) % (3 * each));
        let at = fleet.now;
        fleet.lost.clear();
        begin(&mut fleet, host, fault);
        fleet.run(Millis(6_000));
        let times = notices(&fleet, host, at);
        first.extend(times.iter().min().copied());
        last.extend(times.iter().max().copied());
        end(&mut fleet, host, fault);
        fleet.run(Millis(10_000));
    }
    first.sort_unstable();
    last.sort_unstable();
    if last.is_empty() {
        print(&format!("{each} {fault} never noticed"));
        return;
    }
    let middle = last.len() / 2;
    let worst = last.last().copied().unwrap_or_default();
    print(&format!("{each} {fault} {} {} {worst}", first[middle], last[middle]));
}

/// Cuts one direction between two neighbours until both ends have noted it.
fn measure_link(each: u32) {
    let mut fleet = Fleet::new(2, each, 17);
    let mut worst = Millis(0);
    for round in 0..DETECTIONS {
        let from = HostId(round % (2 * each));
        let to = fleet.hosts[&from].neighbours()[0];
        let at = fleet.now;
        fleet.cut(from, to);
        let noted = |it: &Fleet| !it.hosts[&from].reachable(to) && !it.hosts[&to].reachable(from);
        while !noted(&fleet) && fleet.now.since(at) < Millis(10_000) {
            fleet.run(TICK);
        }
        worst = worst.max(fleet.now.since(at));
        fleet.cuts.clear();
        fleet.run(Millis(3_000));
    }
    assert!(fleet.lost.is_empty());
    print(&format!("{each} {worst}"));
}

fn begin(fleet: &mut Fleet, host: HostId, fault: &str) {
    let others = fleet.hosts.keys().copied().collect::<Vec<_>>();
    match fault {
        "killed" => fleet.kill(host),
        "frozen" => {
            fleet.frozen.insert(host);
        }
        "deaf" => others.into_iter().for_each(|it| fleet.cut(it, host)),
        _ => others.into_iter().for_each(|it| fleet.cut(host, it)),
    }
}

fn end(fleet: &mut Fleet, host: HostId, fault: &str) {
    fleet.cuts.clear();
    fleet.frozen.clear();
    if fault == "killed" {
        fleet.start(host);
    }
}

/// How long after `at` each other host held `host` to be lost.
fn notices(fleet: &Fleet, host: HostId, at: Timestamp) -> Vec<u64> {
    let about = fleet.lost.iter().filter(|it| it.1 == host && it.0 != host);
    about.map(|it| it.2.since(at).0).collect()
}

fn measure_loss(loss: u64) {
    let mut fleet = Fleet::new(6, 8, 13);
    fleet.lost.clear();
    let revisions = |it: &Fleet| it.hosts.values().map(|it| it.own().revision).sum::<u64>();
    let before = revisions(&fleet);
    fleet.loss_percent = loss;
    fleet.run(UNDER_LOSS);
    let host_hours = fleet.hosts.len() as u64 * UNDER_LOSS.0 / 3_600_000;
    let mut lost = fleet.lost.iter().map(|it| it.1).collect::<Vec<_>>();
    lost.dedup();
    let refuted = revisions(&fleet) - before;
    print(&format!("48 {loss} {host_hours} {} {refuted}", lost.len()));
}
