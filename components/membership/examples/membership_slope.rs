//! Measures what membership costs and how soon it notices lost hosts, at several sizes.
//!
//! The hosts run in one process. Sizes are those of the encoded messages plus a fixed part for
//! frame, MAC and headers; the processor time includes encoding and the driver.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use ids::{HostId, Millis, Timestamp};

use crate::fleet::Fleet;

/// Bytes of frame, MAC, UDP and IP headers around a message.
const FRAME_BYTES: usize = 64;

/// Simulated time of the measurement without faults.
const IDLE: Millis = Millis(10_000);

/// Repetitions of each detection.
const DETECTIONS: u32 = 12;

/// Simulated time of the measurement under loss.
const UNDER_LOSS: Millis = Millis(600_000);

/// Fleets by number of data centres and hosts in each.
const SIZES: [(u32, u32); 5] = [(2, 8), (2, 24), (2, 48), (2, 140), (10, 140)];

fn main() {
    let largest = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(SIZES.len());
    print("data_centres hosts_each out_bytes_s out_messages_s cpu_us_s largest_bytes");
    for (data_centres, each) in SIZES.into_iter().take(largest) {
        measure_idle(data_centres, each);
    }
    print("hosts_each fault first_ms last_ms worst_last_ms (median of all, worst of all)");
    for each in [8, 24, 48] {
        measure_detection(each, "killed");
        measure_detection(each, "frozen");
        measure_detection(each, "deaf");
        measure_detection(each, "mute");
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

fn measure_idle(data_centres: u32, each: u32) {
    let mut fleet = Fleet::new(data_centres, each, 7);
    fleet.run(Millis(6_000));
    assert!(fleet.agrees());
    (fleet.bytes, fleet.messages) = (0, 0);
    let clock = start_clock();
    fleet.run(IDLE);
    let cpu = clock.elapsed().as_micros() as usize;
    let host_seconds = (data_centres * each) as usize * IDLE.0 as usize / 1_000;
    let bytes = (fleet.bytes + fleet.messages * FRAME_BYTES) / host_seconds;
    let messages = fleet.messages as f64 / host_seconds as f64;
    let cpu = cpu / host_seconds;
    let largest = fleet.largest_message + FRAME_BYTES;
    print(&format!("{data_centres} {each} {bytes} {messages:.1} {cpu} {largest}"));
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
