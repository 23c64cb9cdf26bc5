//! A seeded soak of a simulated fleet: any hosts are cut from any, slow, frozen, restarted or without
//! disk space, with clocks that differ, while servers fail and say things in headers, all of it
//! overlapping.
//!
//! The number of seeds is 24 unless `DAISYPADDLE_SOAK_SEEDS` says another.

mod common;
mod whole_fleet;

use std::collections::BTreeSet;

use ids::{HostId, LimitRate};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use whole_fleet::{
    CONTROL_HOSTS, Faults, Fleet, GATEWAYS, STEP,
    servers::{Mode, SERVERS},
};

/// Milliseconds before the first fault: the fleet starts, and control hosts grant leases.
const START_TIME: u64 = 8_000;

/// Milliseconds in which faults begin.
const FAULT_TIME: u64 = 24_000;

/// Milliseconds between the begins of two faults.
const FAULT_INTERVAL: u64 = 500;

/// Milliseconds after the end of all faults within which the fleet serves as before.
const RECOVERY_TIME: u64 = 10_000;

/// Milliseconds for which it is watched after that.
const WATCH_TIME: u64 = 4_000;

/// Milliseconds after which a request has ended: the time limit of its route, and some steps.
const MAX_REQUEST_TIME: u64 = 2_500;

/// Part of the requests that are served without faults.
const MIN_SERVED: f64 = 0.97;

/// A fault of the hosts.
#[derive(Debug, Clone)]
enum HostFault {
    /// Messages from the first hosts to the second ones are lost.
    Cut(Vec<HostId>, Vec<HostId>),
    Slow(HostId, u64),
    Frozen(HostId),
    Down(HostId),
    FullDisk(HostId),
}

struct Rng(Xoshiro256PlusPlus);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n
    }

    fn gateway(&mut self) -> HostId {
        HostId(1 + self.below(u64::from(GATEWAYS)) as u32)
    }

    fn control_host(&mut self) -> HostId {
        HostId(CONTROL_HOSTS.start + self.below(CONTROL_HOSTS.len() as u64) as u32)
    }

    fn host(&mut self) -> HostId {
        if self.below(3) == 0 { self.control_host() } else { self.gateway() }
    }

    /// Returns some of all hosts.
    fn hosts(&mut self) -> Vec<HostId> {
        let part = 1 + self.below(3);
        all_hosts().filter(|_| self.below(4) < part).collect()
    }

    fn host_fault(&mut self) -> HostFault {
        match self.below(10) {
            0 | 1 => HostFault::Cut(self.hosts(), self.hosts()),
            2 => HostFault::Cut(vec![self.host()], all_hosts().collect()),
            3 => HostFault::Cut(all_hosts().collect(), vec![self.host()]),
            4 => {
                let here = self.hosts();
                let there = all_hosts().filter(|it| !here.contains(it)).collect();
                HostFault::Cut(here, there)
            }
            5 => HostFault::Slow(self.host(), 20 + self.below(200)),
            6 => HostFault::Frozen(self.host()),
            7 | 8 => HostFault::Down(self.host()),
            _ => HostFault::FullDisk(self.control_host()),
        }
    }

    fn mode(&mut self) -> Mode {
        match self.below(8) {
            0..3 => Mode::Limited(LimitRate(500 + self.below(8_000))),
            3 => Mode::Leaving,
            4 => Mode::Pausing,
            5 => Mode::Losing,
            6 => Mode::Slow,
            _ => Mode::Down,
        }
    }
}

fn all_hosts() -> impl Iterator<Item = HostId> {
    (1..=GATEWAYS).chain(CONTROL_HOSTS).map(HostId)
}

/// Returns what is wrong while these faults last.
fn combined(active: &[(u64, HostFault)]) -> Faults {
    let mut faults = Faults::default();
    for (_, fault) in active {
        match fault {
            HostFault::Cut(from, to) => {
                let links = from.iter().flat_map(|it| to.iter().map(move |to| (*it, *to)));
                faults.cut_links.extend(links);
            }
            HostFault::Slow(host, delay) => {
                faults.slow_hosts.insert(*host, *delay);
            }
            HostFault::Frozen(host) => {
                faults.frozen.insert(*host);
            }
            HostFault::Down(host) => {
                faults.down.insert(*host);
            }
            HostFault::FullDisk(host) => {
                faults.full_disks.insert(*host);
            }
        }
    }
    faults
}

fn set_mode(fleet: &mut Fleet, server: u64, mode: Mode) {
    let limit = |it: Mode| if let Mode::Limited(rate) = it { Some(rate) } else { None };
    if limit(fleet.servers.mode(server)) != limit(mode) {
        fleet.checks.record_limit(fleet.now, server, limit(mode));
    }
    fleet.servers.set_mode(server, mode);
}

/// Returns requests that should have ended.
fn overdue_requests(fleet: &Fleet, faults: &Faults) -> Vec<String> {
    let is_running = |it: &HostId| !faults.frozen.contains(it) && !faults.down.contains(it);
    let running = fleet.gateways.values().filter(|it| is_running(&it.host));
    let settled = running.filter(|it| it.resumed_at + MAX_REQUEST_TIME < fleet.now);
    let requests = settled.flat_map(|it| it.requests.values().map(move |sent| (it.host, sent)));
    let overdue = requests.filter(|(_, sent)| sent.at + MAX_REQUEST_TIME < fleet.now);
    overdue.map(|(host, sent)| format!("{} ms: at {host}: {sent:?}", fleet.now)).collect()
}

/// Plays one seed; returns what is wrong.
fn play(seed: u64) -> Vec<String> {
    let mut rng = Rng(Xoshiro256PlusPlus::seed_from_u64(seed));
    let mut fleet = Fleet::new();
    fleet.run_until(START_TIME);
    let mut host_faults: Vec<(u64, HostFault)> = Vec::new();
    let mut modes: Vec<(u64, u64)> = Vec::new();
    let mut overdue = BTreeSet::new();
    let faults_end = START_TIME + FAULT_TIME;
    while fleet.now < faults_end {
        let until = |rng: &mut Rng| fleet.now + 400 + rng.below(4_000);
        if rng.below(2) == 0 {
            host_faults.push((until(&mut rng), rng.host_fault()));
        } else {
            // Limits are counted after 2.5 s in windows of 4 s.
            let until = until(&mut rng) + if rng.below(2) == 0 { 6_000 } else { 0 };
            let servers = match rng.below(5) {
                0 => 1..=SERVERS,
                _ => {
                    let server = 1 + rng.below(SERVERS);
                    server..=server
                }
            };
            let mode = rng.mode();
            let is_free = |it: &u64| !modes.iter().any(|(_, other)| other == it);
            for server in servers.filter(is_free).collect::<Vec<_>>() {
                set_mode(&mut fleet, server, mode);
                modes.push((until, server));
            }
        }
        let end = fleet.now + FAULT_INTERVAL;
        while fleet.now < end {
            let now = fleet.now;
            host_faults.retain(|(until, _)| now < *until);
            let ended = modes.extract_if(.., |(until, _)| now >= *until).collect::<Vec<_>>();
            ended.into_iter().for_each(|(_, server)| set_mode(&mut fleet, server, Mode::Sound));
            let faults = combined(&host_faults);
            fleet.set_faults(faults.clone());
            fleet.run_until((now + 20 * STEP).min(end));
            overdue.extend(overdue_requests(&fleet, &faults));
        }
    }
    (1..=SERVERS).for_each(|it| set_mode(&mut fleet, it, Mode::Sound));
    fleet.set_faults(Faults::default());
    let watch_from = faults_end + RECOVERY_TIME;
    fleet.run_until(watch_from + WATCH_TIME);
    overdue.extend(overdue_requests(&fleet, &Faults::default()));

    fleet.checks.check_windows();
    let mut wrong = std::mem::take(&mut fleet.checks.violations);
    wrong.extend(overdue);
    for host in (1..=GATEWAYS).map(HostId) {
        let share = fleet.checks.served_share(host, watch_from, watch_from + WATCH_TIME);
        if share < MIN_SERVED {
            wrong.push(format!("{host} serves {share:.3} after the faults"));
        }
    }
    for server in 1..=SERVERS {
        if fleet.checks.arrived(server, watch_from, watch_from + WATCH_TIME) == 0 {
            wrong.push(format!("server {server} gets nothing after the faults"));
        }
    }
    wrong
}

#[test]
fn the_promises_hold_while_any_hosts_are_cut_from_any() {
    let seeds = std::env::var("DAISYPADDLE_SOAK_SEEDS").map_or(24, |it| it.parse().unwrap());
    let mut failed = Vec::new();
    for seed in 1..=seeds {
        let wrong = play(seed);
        failed.extend(wrong.into_iter().map(|it| format!("seed {seed}: {it}")));
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
