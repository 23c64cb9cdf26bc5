//! Simulates how a directory distributes callers, and how long a killed host still receives first
//! attempts.
//!
//! Callers use the first address of an answer and ask again when it expires. Each caller sends one
//! request per second. The directory sees the load of hosts with a delay of 3 s, and stops listing
//! a killed host after 3 s.

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
const DURATION_SECONDS: usize = 120;
const KILL_AT_SECOND: usize = 60;
const UPDATE_DELAY_SECONDS: usize = 3;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Requests per second at which the load of a host is 1,000 thousandths.
const HOST_CAPACITY: usize = 250;

/// Load from which a host counts as overloaded, in thousandths.
const OVERLOADED_MILLI: u32 = 1_000;

#[derive(Debug, Clone, Copy)]
enum CallerDistribution {
    /// Each data centre is the nearest one of equally many callers.
    Even,
    /// One data centre is the nearest one of more than half of the callers.
    Skewed,
}

#[derive(Debug)]
struct Caller {
    location: CallerLocation,
    /// Number of the host that the caller uses.
    host: usize,
    /// When the caller's answer expires.
    refresh_at: Timestamp,
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
            host: 0,
            refresh_at: Timestamp(rng.next_u64() % 10_000_000),
        })
        .collect()
}

#[derive(Debug, Default)]
struct Measurement {
    /// Load of the busiest host relative to the mean, in the seconds 30 to 60.
    peak_to_mean: f64,
    /// Seconds after the kill until the last first attempt on the dead host.
    last_attempt: usize,
    /// Share of the first attempts in this time that went to the dead host.
    dead_host_share: f64,
}

fn run(distribution: CallerDistribution, seed: u64) -> Measurement {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut directory = Directory::new(seed);
    let mut hosts: Vec<EntryHost> = (0..HOSTS).map(entry_host).collect();
    let mut callers = callers(distribution, &mut rng);
    let mut history: Vec<Vec<usize>> = Vec::new();
    let mut measurement = Measurement::default();
    let mut dead_host_attempts = 0;
    for second in 0..DURATION_SECONDS {
        update_hosts(&mut hosts, &history, second);
        let mut attempts = vec![0; HOSTS];
        for caller in &mut callers {
            let now = Timestamp::from_millis(second as u64 * 1_000);
            if caller.refresh_at <= now {
                let answer = directory.answer(&caller.location, &hosts);
                caller.host = answer.addresses[0].host.0 as usize;
                caller.refresh_at = now + answer.ttl;
            }
            attempts[caller.host] += 1;
        }
        if second >= KILL_AT_SECOND && attempts[0] > 0 {
            measurement.last_attempt = second - KILL_AT_SECOND + 1;
            dead_host_attempts += attempts[0];
        }
        history.push(attempts);
    }
    measurement.peak_to_mean = peak_to_mean(&history[30..KILL_AT_SECOND]);
    measurement.dead_host_share =
        dead_host_attempts as f64 / (CALLERS * measurement.last_attempt.max(1)) as f64;
    measurement
}

fn update_hosts(hosts: &mut [EntryHost], history: &[Vec<usize>], second: usize) {
    let Some(attempts) =
        second.checked_sub(UPDATE_DELAY_SECONDS).and_then(|past| history.get(past))
    else {
        return;
    };
    for (entry, attempts) in hosts.iter_mut().zip(attempts) {
        entry.load_milli = (attempts * 1_000 / HOST_CAPACITY) as u32;
        let overloaded = entry.load_milli >= OVERLOADED_MILLI;
        entry.state = if overloaded { EntryHostState::Overloaded } else { EntryHostState::Serving };
    }
    if second >= KILL_AT_SECOND + UPDATE_DELAY_SECONDS {
        hosts[0].state = EntryHostState::Dead;
    }
}

/// Returns the attempts on the busiest host divided by the mean of all hosts.
fn peak_to_mean(seconds: &[Vec<usize>]) -> f64 {
    let per_host: Vec<usize> =
        (0..HOSTS).map(|host| seconds.iter().map(|attempts| attempts[host]).sum()).collect();
    let busiest = per_host.iter().copied().max().unwrap_or(0);
    busiest as f64 * HOSTS as f64 / per_host.iter().sum::<usize>() as f64
}

fn main() {
    println!("| callers | busiest host / mean | dead host tried for s | share of first tries |");
    println!("|---|---|---|---|");
    for distribution in [CallerDistribution::Even, CallerDistribution::Skewed] {
        for seed in SEEDS {
            let Measurement { peak_to_mean, last_attempt, dead_host_share } =
                run(distribution, seed);
            println!(
                "| {distribution:?}, seed {seed} | {peak_to_mean:.2} | {last_attempt} | {:.2}% |",
                dead_host_share * 100.0
            );
        }
    }
}
