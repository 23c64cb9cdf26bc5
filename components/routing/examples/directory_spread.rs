//! Measures how a directory spreads callers, and how long a killed host still gets first tries.
//!
//! Callers ask again when their answer is no longer kept, and use its first address. Each sends
//! one request a second. The load of hosts is known as it was 3 s ago; a killed host leaves the
//! answers after 3 s.

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
const KILLED_AT: usize = 60;
const KNOWN_AFTER: usize = 3;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Requests a second at which the load of a host is 1,000.
const HOST_CAPACITY: usize = 250;

/// Load from which a host says that it is overloaded, in thousandths.
const OVERLOADED_MILLI: u32 = 1_000;

#[derive(Debug, Clone, Copy)]
enum Callers {
    /// Each data centre is nearest to the same number.
    Even,
    /// Half of all callers are nearest to one data centre.
    Skewed,
}

#[derive(Debug)]
struct Caller {
    location: CallerLocation,
    first: usize,
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

fn callers(callers: Callers, rng: &mut Xoshiro256PlusPlus) -> Vec<Caller> {
    let data_centre = |i: usize| match callers {
        Callers::Skewed if i.is_multiple_of(2) => 0,
        Callers::Skewed | Callers::Even => i / 2 % DATA_CENTRES,
    };
    (0..CALLERS)
        .map(|i| Caller {
            location: location(data_centre(i)),
            first: 0,
            ask_at: Timestamp(rng.next_u64() % 10_000_000),
        })
        .collect()
}

#[derive(Debug, Default)]
struct Measured {
    /// Busiest host against the mean, in the seconds 30 to 60.
    spread: f64,
    /// Seconds after the kill in which the last first try went to the dead host.
    last_try: usize,
    /// First tries to the dead host, of all after the kill until then.
    dead_tries: f64,
}

fn run(kind: Callers, seed: u64) -> Measured {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut directory = Directory::new(seed);
    let mut hosts: Vec<EntryHost> = (0..HOSTS).map(entry_host).collect();
    let mut callers = callers(kind, &mut rng);
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
                caller.first = answer.addresses[0].host.0 as usize;
                caller.ask_at = now + answer.ttl;
            }
            tries[caller.first] += 1;
        }
        if second >= KILLED_AT && tries[0] > 0 {
            measured.last_try = second - KILLED_AT + 1;
            dead_tries += tries[0];
        }
        history.push(tries);
    }
    measured.spread = spread(&history[30..KILLED_AT]);
    measured.dead_tries = dead_tries as f64 / (CALLERS * measured.last_try.max(1)) as f64;
    measured
}

fn update_hosts(hosts: &mut [EntryHost], history: &[Vec<usize>], second: usize) {
    let Some(tries) = second.checked_sub(KNOWN_AFTER).and_then(|past| history.get(past)) else {
        return;
    };
    for (entry, tries) in hosts.iter_mut().zip(tries) {
        entry.load_milli = (tries * 1_000 / HOST_CAPACITY) as u32;
        let overloaded = entry.load_milli >= OVERLOADED_MILLI;
        entry.state = if overloaded { EntryHostState::Overloaded } else { EntryHostState::Serving };
    }
    if second >= KILLED_AT + KNOWN_AFTER {
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
    for kind in [Callers::Even, Callers::Skewed] {
        for seed in SEEDS {
            let Measured { spread, last_try, dead_tries } = run(kind, seed);
            println!(
                "| {kind:?}, seed {seed} | {spread:.2} | {last_try} | {:.2}% |",
                dead_tries * 100.0
            );
        }
    }
}
