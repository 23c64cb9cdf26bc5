//! Measures with real processes on loopback how long it takes until an accepted configuration is in
//! force at all entry hosts, and which resources an idle host uses. Build the binaries first:
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

/// Entry hosts of each fleet with direct links.
const DIRECT_ENTRY_HOSTS: [usize; 3] = [8, 24, 36];

/// Entry hosts of the fleet behind proxies.
const PROXIED_ENTRY_HOSTS: usize = 8;

/// Configuration changes that are timed for each setup.
const CHANGES: u64 = 40;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two requests for the version of an entry host.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Wait before the idle fleet is measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Duration of the measurement of the idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Durations of one configuration change.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// From the submission to its acceptance.
    accepted: Duration,
    /// From the submission until it is in force at all entry hosts.
    in_force: Duration,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    println!("role hosts cpu_percent rss_kb sent_bytes_s sent_messages_s");
    for entries in DIRECT_ENTRY_HOSTS {
        measure_direct(entries).await;
    }
    measure_proxied().await;
}

async fn measure_direct(entries: usize) {
    let mut fleet = Fleet::start(CONTROL_HOSTS, entries, false).await;
    fleet.submit(1).await;
    wait_for_version(&fleet, 1).await;
    sleep(SETTLE_TIME).await;
    measure_idle(&fleet).await;
    let changes = measure_changes(&mut fleet).await;
    print_changes(&format!("direct links, {entries} entry hosts"), changes);
}

async fn measure_proxied() {
    let mut fleet = Fleet::start(CONTROL_HOSTS, PROXIED_ENTRY_HOSTS, true).await;
    fleet.submit(1).await;
    wait_for_version(&fleet, 1).await;
    sleep(SETTLE_TIME).await;
    let changes = measure_changes(&mut fleet).await;
    print_changes("proxies, no faults", changes);
    fleet.links().set_all(Fault::Loss(5));
    let changes = measure_changes(&mut fleet).await;
    print_changes("proxies, 5% of datagrams lost", changes);
    fleet.links().set_all(Fault::None);
    let (control, entry) = (fleet.control_id(0), fleet.entry_id(0));
    fleet.links().set_incoming(control, Fault::Blackhole);
    fleet.links().set_incoming(entry, Fault::Blackhole);
    fleet.links().set(fleet.entry_id(1), entry, Fault::None);
    let changes = measure_changes(&mut fleet).await;
    print_changes("proxies, one control host hears nobody, one entry host only one", changes);
}

async fn measure_idle(fleet: &Fleet) {
    let before = Usage::read_all(fleet).await;
    sleep(IDLE_TIME).await;
    let after = Usage::read_all(fleet).await;
    let size = fleet.entries();
    for (role, range) in [("control", 0..CONTROL_HOSTS), ("entry", CONTROL_HOSTS..before.len())] {
        let mean = usage::mean(&before[range.clone()], &after[range], IDLE_TIME);
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
        wait_for_version(fleet, version).await;
        changes.push(Change { accepted, in_force: start.elapsed() });
    }
    changes
}

/// Waits until all entry hosts have the version in force.
async fn wait_for_version(fleet: &Fleet, version: u64) {
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

fn print_changes(setup: &str, changes: Vec<Change>) {
    let millis = |it: Duration| it.as_millis();
    let sorted = |read: fn(&Change) -> Duration| {
        let mut times: Vec<_> = changes.iter().map(read).map(millis).collect();
        times.sort_unstable();
        times
    };
    let accepted = sorted(|it| it.accepted);
    let spread = sorted(|it| it.in_force.saturating_sub(it.accepted));
    let count = changes.len();
    println!("# {setup}: {count} changes, milliseconds p50 p99 worst");
    for (name, times) in [("submit to acceptance", accepted), ("acceptance to last host", spread)] {
        let p99 = times[(count * 99).div_ceil(100) - 1];
        println!("#   {name}: {} {p99} {}", times[count / 2], times[count - 1]);
    }
}
