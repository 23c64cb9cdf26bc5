//! Measures how evenly a directory distributes callers over entry hosts, and how long callers still
//! try a killed host first.
//!
//! Each caller sends one request per second to the first address of its answer, and asks the
//! directory again when the answer expires. The directory knows the load of the hosts with a delay
//! of 3 s, and drops a killed host after 3 s.

#![allow(clippy::print_stdout)]

use std::net::SocketAddr;

use ids::{HostId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use routing::{CallerLocation, Directory, EntryHost, EntryHostState};

const HOSTS: usize = 36;
const DATA_CENTRES: usize = 6;
const CALLERS: usize = 3_600;
const SECONDS: usize = 120;
const KILLED_AT_SECOND: usize = 60;
const LOAD_DELAY_SECONDS: usize = 3;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Requests per second at which the load of a host is 1,000 thousandths.
const HOST_CAPACITY: usize = 250;

/// Load from which a host counts as overloaded, in thousandths.
const OVERLOADED_MILLI: u32 = 1_000;

/// How callers are distributed over data centres.
#[derive(Debug, Clone, Copy)]
enum CallerDistribution {
    /// Each data centre is nearest to the same number of callers.
    Even,
    /// Half of all callers are nearest to one data centre.
    Skewed,
}

#[derive(Debug)]
struct Caller {
    location: CallerLocation,
    /// Number of the host that the caller tries first.
    first_host: usize,
    /// When the caller's answer expires.
    ask_at: Timestamp,
}

fn location(data_centre: usize) -> CallerLocation {
    CallerLocation {
        region: format!("region-{}", data_centre / 2).parse().expect("valid name"),
        data_centre: format!("dc-{data_centre}").parse().expect("valid name"),
    }
}

fn entry_host(number: usize) -> EntryHost {
    let CallerLocation { region, data_centre } = location(number % DATA_CENTRES);
    EntryHost {
        host: HostId(number as u32),
        region,
        data_centre,
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        load_milli: 0,
        state: EntryHostState::Serving,
    }
}

fn callers(distribution: CallerDistribution, rng: &mut Xoshiro256PlusPlus) -> Vec<Caller> {
    let data_centre = |i: usize| match distribution {
        CallerDistribution::Skewed if i.is_multiple_of(2) => 0,
        CallerDistribution::Skewed | CallerDistribution::Even => i / 2 % DATA_CENTRES,
    };
    (0..CALLERS)
        .map(|i| Caller {
            location: location(data_centre(i)),
            first_host: 0,
            ask_at: Timestamp(rng.next_u64() % 10_000_000),
        })
        .collect()
}

#[derive(Debug, Default)]
struct Measured {
    /// Requests to the busiest host relative to the mean, in the seconds 30 to 60.
    spread: f64,
    /// Seconds from the kill to the last request that tried the dead host first.
    last_try_seconds: usize,
    /// Share of the requests in that time that tried the dead host first.
    dead_share: f64,
}

fn run(distribution: CallerDistribution, seed: u64) -> Measured {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut directory = Directory::new(seed);
    let mut hosts: Vec<EntryHost> = (0..HOSTS).map(entry_host).collect();
    let mut callers = callers(distribution, &mut rng);
    let mut history: Vec<Vec<usize>> = Vec::new();
    let mut measured = Measured::default();
    let mut dead_tries = 0;
    for second in 0..SECONDS {
        update_hosts(&mut hosts, &history, second);
        let mut tries = vec![0; HOSTS];
        for caller in &mut callers {
            let now = Timestamp::from_millis(second as u64 * 1_000);
            if caller.ask_at <= now {
                let answer = directory.answer(&caller.location, &hosts);
                caller.first_host = answer.addresses[0].host.0 as usize;
                caller.ask_at = now + answer.keep_for;
            }
            tries[caller.first_host] += 1;
        }
        if second >= KILLED_AT_SECOND && tries[0] > 0 {
            measured.last_try_seconds = second - KILLED_AT_SECOND + 1;
            dead_tries += tries[0];
        }
        history.push(tries);
    }
    measured.spread = spread(&history[30..KILLED_AT_SECOND]);
    measured.dead_share = dead_tries as f64 / (CALLERS * measured.last_try_seconds.max(1)) as f64;
    measured
}

fn update_hosts(hosts: &mut [EntryHost], history: &[Vec<usize>], second: usize) {
    let Some(tries) = second.checked_sub(LOAD_DELAY_SECONDS).and_then(|past| history.get(past))
    else {
        return;
    };
    for (entry, tries) in hosts.iter_mut().zip(tries) {
        entry.load_milli = (tries * 1_000 / HOST_CAPACITY) as u32;
        let overloaded = entry.load_milli >= OVERLOADED_MILLI;
        entry.state = if overloaded { EntryHostState::Overloaded } else { EntryHostState::Serving };
    }
    if second >= KILLED_AT_SECOND + LOAD_DELAY_SECONDS {
        hosts[0].state = EntryHostState::Dead;
    }
}

fn spread(seconds: &[Vec<usize>]) -> f64 {
    let per_host: Vec<usize> =
        (0..HOSTS).map(|host| seconds.iter().map(|tries| tries[host]).sum()).collect();
    let busiest = per_host.iter().copied().max().unwrap_or(0);
    busiest as f64 * HOSTS as f64 / per_host.iter().sum::<usize>() as f64
}

fn main() {
    println!("| callers | busiest host / mean | dead host tried for s | share of first tries |");
    println!("|---|---|---|---|");
    for distribution in [CallerDistribution::Even, CallerDistribution::Skewed] {
        for seed in SEEDS {
            let Measured { spread, last_try_seconds, dead_share } = run(distribution, seed);
            println!(
                "| {distribution:?}, seed {seed} | {spread:.2} | {last_try_seconds} | {:.2}% |",
                dead_share * 100.0
            );
        }
    }
}
