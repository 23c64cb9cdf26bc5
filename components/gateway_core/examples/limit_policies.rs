//! Compares ways to share the limit of one backend server between gateways, in a model without
//! messages: each way decides for a request at a gateway whether it may be sent now.
//!
//! Prints, for each way and condition, the most requests in 4 s and the share of the limit that is used.

use ids::{Millis, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

const GATEWAYS: usize = 48;
const STEP: Millis = Millis(10);
const LENGTH: Millis = Millis(60_000);
const WINDOW: Millis = Millis(4_000);

/// Chance in a thousand that a gateway has a request for the server in a step; together the gateways
/// have 13 requests a second.
const REQUEST_CHANCE: u64 = 3;

/// Time after a change of the grantor in which none has the lease.
const LEASE_GAP: Millis = Millis(3_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    EachByItself,
    EqualShares,
    TimeSlots,
    GrantorByOwnView,
    GrantorWithLease,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Condition {
    Calm,
    /// The gateways know four different sets of hosts, and their clocks differ by up to a second.
    ViewsDiffer,
    /// One gateway restarts every half second.
    Restarts,
}

/// A pace of permits; unused ones are kept for a second, at most one.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    next_free: Timestamp,
}

impl Pace {
    fn take(&mut self, now: Timestamp, per_second: f64) -> bool {
        if now < self.next_free {
            return false;
        }
        self.next_free = now + Millis((1_000.0 / per_second) as u64);
        true
    }
}

/// Returns the times at which requests reach the server.
fn simulate(way: Way, condition: Condition, limit: f64) -> Vec<Timestamp> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut paces = [Pace::default(); GATEWAYS];
    let mut lease_from = Timestamp::default();
    let mut last_grantor = 0;
    let mut sent = Vec::new();
    for millis in (0..LENGTH.0).step_by(STEP.0 as usize) {
        let now = Timestamp::from_millis(millis);
        let restarts = (millis / 500) as usize;
        if condition == Condition::Restarts && millis % 500 == 0 {
            paces[restarts % GATEWAYS] = Pace::default();
        }
        for gateway in 0..GATEWAYS {
            if rng.next_u64() % 1_000 >= REQUEST_CHANCE {
                continue;
            }
            let view = if condition == Condition::ViewsDiffer { gateway % 4 } else { 0 };
            // A restart moves the role of the grantor to another host now and then.
            let grantor = match condition {
                Condition::Restarts => (restarts / 4) % GATEWAYS,
                _ => view,
            };
            let may_send = match way {
                Way::EachByItself => paces[gateway].take(now, limit),
                Way::EqualShares => paces[gateway].take(now, limit / GATEWAYS as f64),
                Way::TimeSlots => {
                    let slot = 1_000.0 / limit;
                    let clock = millis as f64 + view as f64 * 333.0;
                    let is_turn = (clock / slot) as usize % GATEWAYS == gateway;
                    is_turn && paces[gateway].take(now, limit)
                }
                Way::GrantorByOwnView => paces[grantor].take(now, limit),
                Way::GrantorWithLease => {
                    // Views differ about the grantor; the one with the lease grants.
                    let holder = if condition == Condition::ViewsDiffer { 0 } else { grantor };
                    if holder != last_grantor {
                        (last_grantor, lease_from) = (holder, now + LEASE_GAP);
                    }
                    now >= lease_from && grantor == holder && paces[holder].take(now, limit)
                }
            };
            if may_send {
                sent.push(now);
            }
        }
    }
    sent
}

fn most_in_window(sent: &[Timestamp]) -> usize {
    let count =
        |start: &Timestamp| sent.iter().filter(|it| (*start..*start + WINDOW).contains(it)).count();
    sent.iter().map(count).max().unwrap_or(0)
}

#[allow(clippy::print_stdout)]
fn main() {
    let ways = [
        Way::EachByItself,
        Way::EqualShares,
        Way::TimeSlots,
        Way::GrantorByOwnView,
        Way::GrantorWithLease,
    ];
    for limit in [1.0, 1.8, 5.0] {
        let allowed = (limit * 6.0 + 5.0) as usize;
        println!("limit {limit}, allowed {allowed} in 4 s");
        for way in ways {
            for condition in [Condition::Calm, Condition::ViewsDiffer, Condition::Restarts] {
                let sent = simulate(way, condition, limit);
                let used = sent.len() as f64 / (limit * LENGTH.0 as f64 / 1_000.0);
                let most = most_in_window(&sent);
                println!("  {way:?} {condition:?}: most {most}, used {used:.2}");
            }
        }
    }
}
