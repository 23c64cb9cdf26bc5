//! Measures how closely entry hosts jointly enforce the limit of an organisation.
//!
//! Requests arrive at random times at 1, 12 or 48 hosts, and messages take 20 ms. The number of
//! admitted requests is compared with `burst + rate x time`, or with the number of offered requests
//! if that is smaller.

#![allow(clippy::print_stdout)]

use std::collections::BTreeMap;

use ids::{HostId, OrganisationName, RequestRate, Timestamp};
use limits::organisations::{LimitDecision, LimitsAction, OrganisationLimits};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::{config_text::OrganisationLimit, limits::LimitsMessage};

const REQUESTS_PER_SECOND: u32 = 200;
const BURST: u32 = 200;
const SECONDS: u64 = 60;
const TICK_MILLIS: u64 = 100;
const MESSAGE_DELAY_MILLIS: u64 = 20;
const SEEDS: [u64; 3] = [1, 2, 3];

/// How requests are distributed over the hosts.
#[derive(Debug, Clone, Copy)]
enum Spread {
    /// Each host gets the same share of the requests.
    Even,
    /// One host gets half of all requests.
    Skewed,
    /// One host gets half of all requests, and every 10 s it is another one.
    Moving,
}

/// A simulated fleet of entry hosts.
struct Fleet {
    hosts: Vec<OrganisationLimits>,
    /// Messages in transit as sender, receiver and content, by time of arrival and number.
    messages: BTreeMap<(u64, u64), (HostId, HostId, LimitsMessage)>,
    next_message: u64,
    /// Total size of all messages sent.
    bytes: usize,
}

#[derive(Debug, Default)]
struct Totals {
    offered: u64,
    admitted: u64,
    allowed: u64,
    bytes: usize,
}

fn organisation() -> OrganisationName {
    "organisation".parse().expect("valid name")
}

impl Fleet {
    fn new(count: u32) -> Self {
        let ids: Vec<HostId> = (0..count).map(HostId).collect();
        let limit = OrganisationLimit {
            requests_per_second: RequestRate(REQUESTS_PER_SECOND),
            burst: BURST,
        };
        let host = |&id| {
            let mut limits = OrganisationLimits::new(id, limit.clone());
            limits.set_hosts(Timestamp(0), &ids);
            limits
        };
        Self {
            hosts: ids.iter().map(host).collect(),
            messages: BTreeMap::new(),
            next_message: 0,
            bytes: 0,
        }
    }

    fn send(&mut self, now: u64, from: usize, actions: Vec<LimitsAction>) {
        for LimitsAction::Send { to, message } in actions {
            self.bytes += schema::encode(&message).len();
            let key = (now + MESSAGE_DELAY_MILLIS, self.next_message);
            self.messages.insert(key, (HostId(from as u32), to, message));
            self.next_message += 1;
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= now
        {
            let (from, to, message) = entry.remove();
            let host = &mut self.hosts[to.0 as usize];
            let actions = host.handle(Timestamp::from_millis(now), from, message);
            self.send(now, to.0 as usize, actions);
        }
    }

    fn tick(&mut self, now: u64) {
        for host in 0..self.hosts.len() {
            // Hosts tick at different times.
            if (now + host as u64 * 7).is_multiple_of(TICK_MILLIS) {
                let actions = self.hosts[host].tick(Timestamp::from_millis(now));
                self.send(now, host, actions);
            }
        }
    }
}

fn choose_host(rng: &mut Xoshiro256PlusPlus, spread: Spread, count: u64, now: u64) -> usize {
    let random_host = (rng.next_u64() % count) as usize;
    let to_hot_host = rng.next_u64().is_multiple_of(2);
    match spread {
        Spread::Even => random_host,
        Spread::Skewed if to_hot_host => 0,
        Spread::Moving if to_hot_host => (now / 10_000 % count) as usize,
        Spread::Skewed | Spread::Moving => random_host,
    }
}

/// Offers `load_percent` of the limit to `count` hosts for [`SECONDS`].
fn simulate(count: u32, spread: Spread, load_percent: u64, seed: u64) -> Totals {
    let mut fleet = Fleet::new(count);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut totals = Totals::default();
    for now in 0..SECONDS * 1_000 {
        fleet.deliver(now);
        fleet.tick(now);
        // Two draws per millisecond allow loads of up to ten times the limit.
        for _ in 0..2 {
            if rng.next_u64() % 200_000 >= u64::from(REQUESTS_PER_SECOND) * load_percent {
                continue;
            }
            let host = choose_host(&mut rng, spread, u64::from(count), now);
            let decision = fleet.hosts[host].check(Timestamp::from_millis(now), &organisation());
            totals.offered += 1;
            totals.admitted += u64::from(decision == LimitDecision::Admitted);
        }
    }
    let limit = u64::from(REQUESTS_PER_SECOND) * SECONDS + u64::from(BURST);
    totals.allowed = limit.min(totals.offered);
    totals.bytes = fleet.bytes;
    totals
}

fn main() {
    println!("| hosts | spread | offered / limit | admitted / allowed | bytes a second and host |");
    println!("|---|---|---|---|---|");
    for count in [1, 12, 48] {
        for spread in [Spread::Even, Spread::Skewed, Spread::Moving] {
            for load_percent in [50, 90, 150, 900] {
                let mut sum = Totals::default();
                for seed in SEEDS {
                    let totals = simulate(count, spread, load_percent, seed);
                    sum.admitted += totals.admitted;
                    sum.allowed += totals.allowed;
                    sum.bytes += totals.bytes;
                }
                let ratio = sum.admitted as f64 / sum.allowed as f64;
                let host_seconds = SECONDS as usize * count as usize * SEEDS.len();
                println!(
                    "| {count} | {spread:?} | {load_percent}% | {ratio:.3} | {} |",
                    sum.bytes / host_seconds
                );
            }
        }
    }
}
