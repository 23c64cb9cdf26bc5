//! Measures with real processes on loopback which resources the idle hosts of a gateway fleet use.
//! Build the binaries first:
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

/// Gateways of each fleet, which also has three control hosts.
const GATEWAYS: [u8; 3] = [4, 16, 48];

/// Wait before the idle fleet is measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Duration of the measurement of the idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(15);

fn main() {
    println!("role gateways cpu_percent wakeups_s rss_kb sent_bytes_s");
    GATEWAYS.into_iter().for_each(measure);
}

fn measure(gateways: u8) {
    let fleet = Fleet::start_with(gateways);
    let server = Server::start(1, "queue");
    fleet.put_config(1, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    (11..11 + gateways).for_each(|it| fleet.wait_until_served(it, "/look/first"));
    sleep(SETTLE_TIME);
    let before = read_all(&fleet);
    sleep(IDLE_TIME);
    let after = read_all(&fleet);
    // The readings are sorted by address, so control hosts come first.
    for (role, range) in [("control", 0..3), ("entry", 3..before.len())] {
        let mean = usage::mean(&before[range.clone()], &after[range], IDLE_TIME);
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
