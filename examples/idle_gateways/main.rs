//! Measures what idle hosts of a gateway fleet cost, with real processes on loopback. Build the
//! binaries first:
//!
//! `cargo build --release && cargo run --release --example idle_gateways`

#![allow(clippy::print_stdout)]

#[path = "../../tests/gateway/mod.rs"]
#[allow(clippy::duplicate_mod)]
mod gateway;
mod usage;

use std::{thread::sleep, time::Duration};

use gateway::{Fleet, Server};
use schema::announcement::ServerState;
use usage::Usage;

/// Gateways of each fleet, before three control hosts.
const SIZES: [u8; 3] = [4, 16, 48];

/// Rest before the idle fleet is measured.
const SETTLE: Duration = Duration::from_secs(5);

/// How long it is measured.
const IDLE: Duration = Duration::from_secs(15);

fn main() {
    println!("role gateways cpu_percent wakeups_s rss_kb sent_bytes_s");
    SIZES.into_iter().for_each(measure);
}

fn measure(gateways: u8) {
    let fleet = Fleet::start_with(gateways);
    let server = Server::start(1, "queue");
    fleet.put(1, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    (11..11 + gateways).for_each(|it| fleet.wait_served(it, "/look/first"));
    sleep(SETTLE);
    let before = read_all(&fleet);
    sleep(IDLE);
    let after = read_all(&fleet);
    // Addresses of control hosts come first.
    for (role, range) in [("control", 0..3), ("entry", 3..before.len())] {
        let mean = usage::mean(&before[range.clone()], &after[range], IDLE);
        println!("{role} {gateways} {mean}");
    }
}

fn read_all(fleet: &Fleet) -> Vec<Usage> {
    let processes = fleet.processes.iter();
    let usages = processes.map(|(ip, it)| {
        let metrics = (*ip, fleet.ports.metrics).into();
        Usage::read(it.id(), metrics)
    });
    usages.collect()
}
