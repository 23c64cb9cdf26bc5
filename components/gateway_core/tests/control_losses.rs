//! Replays drawn losses of control hosts: what one of them has acknowledged reaches every gateway in
//! time, whichever host is lost after that, and how.
//!
//! The number of seeds is 60 unless `DAISYPADDLE_SOAK_SEEDS` says another.

mod common;
mod whole_fleet;

use gateway_core::{
    ApiKey, Credentials, GatewayConfig, Idempotency, KeyWithdrawal, Organisation, RequestHead,
};
use ids::{Blob, ConfigVersion, HostId, Millis, ServerId};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use registry::Request;
use schema::{
    announcement::{Announcement, ServerState},
    registry::ConfigDocument,
};

use common::{config, head, route, server};
use whole_fleet::{CONTROL_HOSTS, Faults, Fleet, GATEWAYS, place};

const SEEDS: u64 = 60;

/// Losses of control hosts in each replay, one after the other.
const ROUNDS: u64 = 6;

/// Milliseconds until all control hosts of a new fleet vote and grant.
const START_TIME: u64 = 8_000;

/// Milliseconds after its acknowledgement at which a change is in force.
const IN_FORCE_WITHIN: u64 = 2_500;

/// Milliseconds after the loss of a control host from which that has to hold again.
const STABLE_AFTER: u64 = 3_000;

/// Milliseconds between the end of a loss and the next round.
const RECOVERY_TIME: u64 = 3_600;

/// Most polls that a gateway sends in a second without a control host that is current.
const MAX_POLLS_A_SECOND: u64 = 11;

struct Rng(Xoshiro256PlusPlus);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n
    }
}

/// How a control host is lost.
#[derive(Debug, Clone, Copy)]
enum Loss {
    Frozen,
    Down,
    /// Neither hears nor is heard.
    Cut,
    /// Hears, but is not heard.
    Mute,
}

impl Loss {
    fn drawn(rng: &mut Rng) -> Self {
        match rng.below(4) {
            0 => Self::Frozen,
            1 => Self::Down,
            2 => Self::Cut,
            _ => Self::Mute,
        }
    }

    fn add_to(self, faults: &mut Faults, host: HostId) {
        let others = (1..=GATEWAYS).chain(CONTROL_HOSTS).map(HostId);
        match self {
            Self::Frozen => drop(faults.frozen.insert(host)),
            Self::Down => drop(faults.down.insert(host)),
            Self::Mute => faults.cut_links.extend(others.map(|it| (host, it))),
            Self::Cut => {
                faults.cut_links.extend(others.flat_map(|it| [(host, it), (it, host)]));
            }
        }
    }
}

/// A change that a control host acknowledges.
#[derive(Debug, Clone)]
enum Change {
    Config(ConfigVersion),
    Drain(ServerId),
    Leave(ServerId),
}

impl Change {
    fn drawn(rng: &mut Rng, round: u64) -> Self {
        // Each round has a backend server of its own.
        let server = server(round + 1, "north-a").server;
        match rng.below(3) {
            0 => Self::Config(ConfigVersion(2 + round)),
            1 => Self::Drain(server),
            _ => Self::Leave(server),
        }
    }

    fn request(&self, fleet: &Fleet) -> Request {
        match self {
            Self::Config(version) => {
                let packed_text = Blob::from(version.0.to_string().into_bytes());
                Request::PutConfig(ConfigDocument { version: *version, packed_text })
            }
            Self::Drain(server) => {
                let known = fleet.gateways[&HostId(1)].gateway.server(server).expect("announced");
                Request::Announce(Announcement {
                    state: ServerState::Draining,
                    sequence: known.announcement.sequence + 1,
                    ..known.announcement.clone()
                })
            }
            Self::Leave(server) => Request::Leave { server: server.clone(), incarnation: None },
        }
    }

    fn is_in_force(&self, fleet: &Fleet, gateway: HostId) -> bool {
        match self {
            Self::Config(version) => fleet.versions.get(&gateway).is_some_and(|it| it >= version),
            Self::Drain(server) | Self::Leave(server) => {
                let known = fleet.gateways[&gateway].gateway.server(server);
                known.is_none_or(|it| !it.accepts_requests())
            }
        }
    }
}

fn quiet_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::with_seed(seed);
    fleet.has_callers = false;
    fleet.run_until(START_TIME);
    fleet
}

/// Returns what was acknowledged and not in force in time, in one replay.
fn replay(seed: u64) -> Vec<String> {
    let mut rng = Rng(Xoshiro256PlusPlus::seed_from_u64(seed));
    let mut fleet = quiet_fleet(seed);
    let mut late = Vec::new();
    for round in 0..ROUNDS {
        let mut base = Faults::default();
        for host in (1..=GATEWAYS).chain(CONTROL_HOSTS).map(HostId) {
            base.slow_hosts.insert(host, rng.below(5) * 5);
        }
        fleet.set_faults(base.clone());
        let change = Change::drawn(&mut rng, round);
        let loss = Loss::drawn(&mut rng);
        let request = change.request(&fleet);
        let mut faults = base.clone();
        let (lost, lost_at, acknowledged_at) = match rng.below(4) {
            // Another control host is lost shortly before.
            0 => {
                let host = HostId(CONTROL_HOSTS.start + rng.below(5) as u32);
                loss.add_to(&mut faults, host);
                let lost_at = fleet.now;
                fleet.set_faults(faults);
                fleet.run_until(lost_at + rng.below(1_500));
                fleet.accept(&request);
                (host, lost_at, fleet.now)
            }
            // The one that has acknowledged is lost at once, or before others know of the commit.
            drawn => {
                let host = fleet.accept(&request);
                let acknowledged_at = fleet.now;
                if drawn == 1 {
                    fleet.run_until(fleet.now + rng.below(300));
                }
                loss.add_to(&mut faults, host);
                fleet.set_faults(faults);
                (host, fleet.now, acknowledged_at)
            }
        };
        let end = lost_at + 3_430 + rng.below(2_600);
        let due = (acknowledged_at + IN_FORCE_WITHIN).max(lost_at + STABLE_AFTER);
        fleet.run_until(due);
        for gateway in (1..=GATEWAYS).map(HostId) {
            if !change.is_in_force(&fleet, gateway) {
                late.push(format!(
                    "seed {seed}, round {round}: {change:?} is not in force at gateway {gateway} \
                     {} ms after the acknowledgement; control host {lost} was lost ({loss:?}) at \
                     {lost_at} ms",
                    due - acknowledged_at
                ));
            }
        }
        fleet.run_until(end.max(due));
        fleet.set_faults(base);
        fleet.run_until(fleet.now + RECOVERY_TIME);
    }
    late
}

/// Fails if a gateway waits for a silent control host while others are current, or if an election is
/// repeated too late.
#[test]
fn what_a_lost_control_host_has_acknowledged_is_in_force_in_time() {
    let seeds = std::env::var("DAISYPADDLE_SOAK_SEEDS").map_or(SEEDS, |it| it.parse().unwrap());

    let late: Vec<String> = (1..=seeds).flat_map(replay).collect();

    assert!(late.is_empty(), "{} late:\n{}", late.len(), late.join("\n"));
}

/// A search must not cost more the longer it takes, or the more control hosts there are.
#[test]
fn gateways_poll_at_a_bounded_rate_while_no_control_host_is_current() {
    let mut fleet = quiet_fleet(1);
    let cut = |from: HostId| CONTROL_HOSTS.map(move |to| (from, HostId(to)));
    let cut_links = CONTROL_HOSTS.map(HostId).flat_map(cut).collect();
    fleet.set_faults(Faults { cut_links, ..Faults::default() });
    fleet.run_until(fleet.now + 3_000);

    let before = fleet.polls;
    fleet.run_until(fleet.now + 10_000);

    let polls = fleet.polls - before;
    assert!(polls <= 10 * MAX_POLLS_A_SECOND * u64::from(GATEWAYS), "{polls} polls");
    assert!(polls >= 10 * u64::from(GATEWAYS), "the search goes on: {polls} polls");
}

/// Milliseconds after the acknowledgement from which no gateway takes a withdrawn key.
const WITHDRAWN_WITHIN: u64 = 5_000;

fn config_with_key() -> GatewayConfig {
    let acme = Organisation {
        name: "acme".parse().unwrap(),
        keys: vec![ApiKey::new(b"k1")],
        priority: None,
        limit: None,
    };
    let routes = vec![route("look", Idempotency::Idempotent)];
    GatewayConfig { organisations: Some(vec![acme]), ..config(2, routes) }
}

/// A control host vouches for its state for 800 ms after it last heard from the leader.
#[test]
fn a_gateway_that_starts_beside_a_cut_off_control_host_gives_up_withdrawn_keys_in_time() {
    for start_after in (0..800).step_by(50) {
        let mut fleet = quiet_fleet(1);
        fleet.key_withdrawal =
            Some(KeyWithdrawal { within: Millis(WITHDRAWN_WITHIN), is_strict: true });
        let put = |version| Change::Config(ConfigVersion(version)).request(&Fleet::new());
        let leader = fleet.accept(&put(2));
        fleet.run_until(fleet.now + 500);
        let cut_off = CONTROL_HOSTS.map(HostId).find(|it| *it != leader).unwrap();
        let gateway = (1..=GATEWAYS).map(HostId).find(|it| place(*it) == place(cut_off)).unwrap();
        let here = [cut_off, gateway];
        let others = || (1..=GATEWAYS).chain(CONTROL_HOSTS).map(HostId);
        let mut faults = Faults::default();
        for other in others().filter(|it| !here.contains(it)) {
            faults.cut_links.extend(here.iter().flat_map(|it| [(*it, other), (other, *it)]));
        }
        faults.down.insert(gateway);
        fleet.set_faults(faults.clone());
        assert_eq!(fleet.accept(&put(3)), leader);
        let acknowledged_at = fleet.now;

        fleet.run_until(acknowledged_at + start_after);
        faults.down.clear();
        fleet.set_faults(faults);
        fleet.gateways.get_mut(&gateway).unwrap().gateway.set_config(config_with_key());
        fleet.run_until(acknowledged_at + WITHDRAWN_WITHIN);

        let process = fleet.gateways.get_mut(&gateway).unwrap();
        let now = process.clock(fleet.now);
        let credentials = Credentials::Key(ApiKey::new(b"k1"));
        let request = RequestHead { credentials, ..head("/look/1") };
        assert!(
            process.gateway.begin(now, request).is_err(),
            "a gateway that starts {start_after} ms after the acknowledgement takes the key"
        );
    }
}
