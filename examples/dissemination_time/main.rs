//! Measures, with real processes on loopback, how soon an accepted configuration is in force at the
//! last entry host, and what an idle host costs. Build the binaries first:
//!
//! `cargo build --release && cargo run --release --example dissemination_time`

#![allow(clippy::print_stdout)]

mod fleet;
#[path = "../../tests/support/links.rs"]
#[allow(dead_code)]
mod links;
mod usage;

use std::time::{Duration, Instant};

use fault_proxy::Fault;
use tokio::{task::JoinSet, time::sleep};

use crate::{fleet::Fleet, usage::Usage};

/// Control hosts of each fleet.
const CONTROL_HOSTS: usize = 3;

/// Entry hosts of the fleets with direct links.
const DIRECT_SIZES: [usize; 3] = [8, 24, 36];

/// Entry hosts of the fleet behind proxies.
const PROXIED_SIZE: usize = 8;

/// Changes that are timed for each row.
const CHANGES: u64 = 40;

/// Between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Between two looks at a host that lacks the change.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Rest before the idle fleet is measured.
const SETTLE: Duration = Duration::from_secs(5);

/// How long the idle fleet is measured.
const IDLE: Duration = Duration::from_secs(15);

/// What a change took.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// From sending the text to its acceptance.
    accepted: Duration,
    /// From sending the text until the last entry host had it in force.
    in_force: Duration,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    println!("role hosts cpu_percent rss_kb sent_bytes_s sent_messages_s");
    for entries in DIRECT_SIZES {
        measure_direct(entries).await;
    }
    measure_proxied().await;
}

async fn measure_direct(entries: usize) {
    let mut fleet = Fleet::start(CONTROL_HOSTS, entries, false).await;
    fleet.submit(1).await;
    wait_everywhere(&fleet, 1).await;
    sleep(SETTLE).await;
    measure_idle(&fleet).await;
    let changes = measure_changes(&mut fleet).await;
    print_changes(&format!("direct links, {entries} entry hosts"), changes);
}

async fn measure_proxied() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, PROXIED_SIZE, true).await;
    fleet.submit(1).await;
    wait_everywhere(&fleet, 1).await;
    sleep(SETTLE).await;
    let changes = measure_changes(&mut fleet).await;
    print_changes("proxies, no faults", changes);
    fleet.links().set_all(Fault::Loss(5));
    let changes = measure_changes(&mut fleet).await;
    print_changes("proxies, 5% of datagrams lost", changes);
    fleet.links().set_all(Fault::None);
    let (control, entry) = (fleet.control_id(0), fleet.entry_id(0));
    fleet.links().set_received(control, Fault::Blackhole);
    fleet.links().set_received(entry, Fault::Blackhole);
    fleet.links().set(fleet.entry_id(1), entry, Fault::None);
    let changes = measure_changes(&mut fleet).await;
    print_changes("proxies, one control host hears nobody, one entry host only one", changes);
}

async fn measure_idle(fleet: &Fleet) {
    let before = Usage::read_all(fleet).await;
    sleep(IDLE).await;
    let after = Usage::read_all(fleet).await;
    let size = fleet.entries();
    for (role, range) in [("control", 0..CONTROL_HOSTS), ("entry", CONTROL_HOSTS..before.len())] {
        let mean = usage::mean(&before[range.clone()], &after[range], IDLE);
        println!("{role} {size} {mean}");
    }
}

async fn measure_changes(fleet: &mut Fleet) -> Vec<Change> {
    let mut changes = Vec::new();
    for _ in 0..CHANGES {
        sleep(CHANGE_INTERVAL).await;
        let version = fleet.next_version();
        let start = Instant::now();
        fleet.submit(version).await;
        let accepted = start.elapsed();
        wait_everywhere(fleet, version).await;
        changes.push(Change { accepted, in_force: start.elapsed() });
    }
    changes
}

/// Waits until all entry hosts have the version in force.
async fn wait_everywhere(fleet: &Fleet, version: u64) {
    let mut waits = JoinSet::new();
    for address in fleet.entry_admin_addresses() {
        waits.spawn(async move {
            while usage::metric(address, "config_version").await.is_none_or(|it| it < version) {
                sleep(POLL_INTERVAL).await;
            }
        });
    }
    waits.join_all().await;
}

fn print_changes(what: &str, changes: Vec<Change>) {
    let millis = |it: Duration| it.as_millis();
    let sorted = |read: fn(&Change) -> Duration| {
        let mut times: Vec<_> = changes.iter().map(read).map(millis).collect();
        times.sort_unstable();
        times
    };
    let accepted = sorted(|it| it.accepted);
    let spread = sorted(|it| it.in_force.saturating_sub(it.accepted));
    let count = changes.len();
    println!("# {what}: {count} changes, milliseconds p50 p99 worst");
    for (name, times) in [("submit to acceptance", accepted), ("acceptance to last host", spread)] {
        let p99 = times[(count * 99).div_ceil(100) - 1];
        println!("#   {name}: {} {p99} {}", times[count / 2], times[count - 1]);
    }
}
