//! Measures the traffic, memory and CPU time that configuration changes and announcements cost at
//! several fleet and configuration sizes.
//!
//! The hosts run in one process. Message sizes are those of the encoded messages plus a fixed
//! overhead for frame, MAC and headers; the CPU time includes encoding and the simulated network.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::{fs, time::Instant};

use dissemination::{Dissemination, DisseminationSettings, View};
use ids::{ConfigVersion, ContentDigest, HostId, Millis, Timestamp};
use schema::{announcement::ServerState, config_text::ConfigText};

use crate::fleet::{Fleet, TICK, Traffic, announcement, config_text};

/// Overhead of frame, MAC and headers per message, in bytes.
const OVERHEAD_BYTES: usize = 64;

/// Size of a memory page, in bytes.
const PAGE_BYTES: usize = 4_096;

/// Changes of one kind over which a figure is averaged.
const CHANGES: usize = 10;

/// Simulated time allowed for each change.
const TIME_PER_CHANGE: Millis = Millis(3_000);

/// The size of a configuration.
struct ConfigSize {
    /// Fragments that the configuration is split into.
    fragments: usize,
    services: usize,
    organisations: u32,
}

const SIZES: [ConfigSize; 3] = [
    ConfigSize { fragments: 40, services: 22, organisations: 512 },
    ConfigSize { fragments: 400, services: 142, organisations: 8_192 },
    ConfigSize { fragments: 4_000, services: 1_950, organisations: 65_536 },
];

fn main() {
    print("memory bytes_a_server bytes_a_fragment_and_its_text");
    measure_memory();
    measure_view_change();
    print("hosts fragments changed config_bytes_host ack_bytes_host last_ms cpu_us_host");
    for size in &SIZES {
        measure_config(6, 8, size);
    }
    measure_config(2, 140, &SIZES[1]);
    print("hosts servers change_bytes_host renewal_bytes idle_bytes_host_s cpu_us_host_s");
    measure_servers(6, 8, 48);
    measure_servers(6, 8, 1_000);
    measure_servers(2, 140, 1_000);
}

/// Measures the CPU time of one host when an entry host of one data centre leaves.
fn measure_view_change() {
    let (hosts, data_centres, servers) = (1_400, 10, 15_000);
    let now = Timestamp::from_millis(1_000);
    let mut host = Dissemination::new(DisseminationSettings::new(HostId(0), 1));
    for server in 0..servers {
        let name = format!("server-{server:06}");
        let mut announcement = announcement(&name, 1, ServerState::Serving);
        announcement.data_centre = format!("dc{}", server % data_centres).parse().unwrap();
        host.announce(now, announcement);
    }
    let mut view = View::default();
    for it in 0..hosts {
        let name = format!("dc{}", it % data_centres).parse().unwrap();
        view.entry_hosts.entry(name).or_default().push(HostId(it));
    }
    host.set_view(now, view.clone());
    let clock = start_clock();
    for _ in 0..CHANGES {
        view.entry_hosts.values_mut().next().unwrap().pop();
        host.set_view(now, view.clone());
    }
    let cpu = clock.elapsed().as_micros() as usize / CHANGES;
    print(&format!("view_change_us {cpu}"));
}

#[allow(clippy::print_stdout)]
fn print(line: &str) {
    println!("{line}");
}

#[allow(clippy::disallowed_methods)]
fn start_clock() -> Instant {
    Instant::now()
}

fn large_config_text(version: u64, size: &ConfigSize) -> ConfigText {
    let mut text = config_text(version, size.organisations, 5);
    let service = text.services[0].clone();
    text.services = (0..size.services)
        .map(|number| {
            let mut service = service.clone();
            service.name = format!("service-{number:05}").parse().unwrap();
            service
        })
        .collect();
    text
}

/// Measures the traffic, spread time and CPU time of changes to one service or organisation.
fn measure_config(data_centres: u32, hosts_each: u32, size: &ConfigSize) {
    let mut fleet = Fleet::new(data_centres, hosts_each, 3, 5);
    let control = HostId(data_centres * hosts_each - 1);
    let mut text = large_config_text(1, size);
    fleet.publish(control, &text);
    fleet.run(Millis(10_000));
    assert!(fleet.all_have_version(1));
    for changed in ["service", "organisation"] {
        fleet.traffic.clear();
        let mut last = Millis(0);
        let mut cpu = 0;
        for change in 0..CHANGES {
            text.version = text.version.next();
            match changed {
                "service" => text.services[change].floor += 1,
                _ => text.organisations[change * 7].limit.burst += 1,
            }
            let clock = start_clock();
            fleet.publish(control, &text);
            last = last.max(time_to_spread(&mut fleet, text.version));
            cpu += clock.elapsed().as_micros() as usize;
            fleet.run(TIME_PER_CHANGE);
        }
        let hosts = fleet.hosts.len();
        let config = bytes_per_host(&fleet, "config") / CHANGES;
        let acks = bytes_per_host(&fleet, "acknowledgements") / CHANGES;
        let cpu = cpu / CHANGES / hosts;
        let fragments = size.fragments;
        print(&format!("{hosts} {fragments} {changed} {config} {acks} {last} {cpu}"));
    }
}

/// Runs the fleet until every host has `version` in force; returns the simulated time.
fn time_to_spread(fleet: &mut Fleet, version: ConfigVersion) -> Millis {
    let start = fleet.now;
    while !fleet.all_have_version(version.0) && fleet.now.since(start) < TIME_PER_CHANGE {
        fleet.run(TICK);
    }
    assert!(fleet.all_have_version(version.0));
    fleet.now.since(start)
}

fn bytes_per_host(fleet: &Fleet, topic: &str) -> usize {
    wire_bytes(fleet.traffic.get(topic).copied().unwrap_or_default()) / fleet.hosts.len()
}

fn wire_bytes(traffic: Traffic) -> usize {
    traffic.bytes + traffic.messages * OVERHEAD_BYTES
}

/// Measures the traffic of renewals, of state changes and of an idle fleet with `servers` servers.
fn measure_servers(data_centres: u32, hosts_each: u32, servers: u32) {
    let mut fleet = Fleet::new(data_centres, hosts_each, 3, 9);
    let entry_hosts = data_centres * hosts_each - 3;
    fleet.publish(HostId(entry_hosts), &config_text(1, 10, 5));
    fleet.run(Millis(5_000));
    assert!(fleet.hosts.values().all(Dissemination::is_ready));
    announce_all(&mut fleet, servers, entry_hosts, 1, ServerState::Serving);
    fleet.run(Millis(1_000));
    fleet.traffic.clear();
    announce_all(&mut fleet, servers, entry_hosts, 2, ServerState::Serving);
    fleet.run(Millis(1_000));
    let renewals = fleet.traffic.get("renewals").copied().unwrap_or_default();
    let renewal = wire_bytes(renewals) / servers as usize;

    fleet.traffic.clear();
    announce_all(&mut fleet, CHANGES as u32, entry_hosts, 3, ServerState::Draining);
    fleet.run(Millis(1_000));
    let change = bytes_per_host(&fleet, "servers") / CHANGES;

    fleet.traffic.clear();
    let clock = start_clock();
    fleet.run(Millis(1_500));
    let cpu = clock.elapsed().as_micros() as usize * 1_000 / 1_500 / fleet.hosts.len();
    let idle = bytes_per_host(&fleet, "summaries") * 1_000 / 1_500;
    let hosts = fleet.hosts.len();
    print(&format!("{hosts} {servers} {change} {renewal} {idle} {cpu}"));
}

/// Announces `servers` servers, each to an entry host that differs with the sequence.
fn announce_all(fleet: &mut Fleet, servers: u32, hosts: u32, sequence: u64, state: ServerState) {
    for server in 0..servers {
        let name = format!("server-{server:05}");
        let host = HostId((server + sequence as u32) % hosts);
        fleet.announce(host, announcement(&name, sequence, state));
    }
}

/// Measures the resident memory per backend server and per fragment.
fn measure_memory() {
    let now = Timestamp::from_millis(1_000);
    let mut host = Dissemination::new(DisseminationSettings::new(HostId(0), 1));
    let servers = 100_000;
    let before = resident_bytes();
    for server in 0..servers {
        let name = format!("server-{server:06}");
        host.announce(now, announcement(&name, 1, ServerState::Serving));
    }
    let per_server = resident_bytes().saturating_sub(before) / servers;

    let size = &SIZES[2];
    let text = large_config_text(1, size);
    let before = resident_bytes();
    host.publish_config(now, ConfigVersion(1), ContentDigest::default(), &text);
    let per_fragment = resident_bytes().saturating_sub(before) / size.fragments;
    print(&format!("{per_server} {per_fragment}"));
}

/// Returns the resident memory of this process; 0 where `/proc` is not available.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
