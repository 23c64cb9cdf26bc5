//! Tells callers which entry hosts to use, in which order and for how long.

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{DataCentreName, HostId, Millis, RegionName};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Addresses in an answer, when there are as many entry hosts.
const ANSWER_SIZE: usize = 4;

/// Addresses of an answer that may be in the nearest data centre.
const NEAREST_SIZE: usize = 2;

/// Shortest time for which a caller keeps an answer.
const MIN_KEEP: Millis = Millis(8_000);

/// Random time that is added to [`MIN_KEEP`], so that callers don't ask in step.
const KEEP_JITTER: Millis = Millis(4_000);

/// Least weight of a loaded entry host, in thousandths.
const MIN_WEIGHT_MILLI: u32 = 50;

/// Mean load of a data centre from which part of its callers are sent to farther ones, in
/// thousandths.
pub const SPILLOVER_LOAD_MILLI: u32 = 700;

/// Whether an entry host takes new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryHostState {
    /// Takes new callers.
    Serving,
    /// Refuses part of its requests; only named when too few others are left.
    Overloaded,
    /// Stops soon.
    Draining,
    /// Believed dead.
    Dead,
}

/// An entry host as the membership view shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it accepts callers.
    pub address: SocketAddr,
    /// Its load in thousandths of what it can bear.
    pub load_milli: u32,
    /// Whether it takes new callers.
    pub state: EntryHostState,
}

/// Where a caller is, as far as known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLocation {
    /// The region.
    pub region: RegionName,
    /// The data centre that is nearest to the caller.
    pub data_centre: DataCentreName,
}

/// One address of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAddress {
    /// The entry host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it accepts callers.
    pub address: SocketAddr,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// The addresses in the order of use.
    pub addresses: Vec<DirectoryAddress>,
    /// How long the caller may keep the answer.
    pub ttl: Millis,
}

/// Answers callers that ask for addresses.
#[derive(Debug, Clone)]
pub struct Directory {
    rng: Xoshiro256PlusPlus,
}

/// An entry host with its place in the order of preference.
#[derive(Debug)]
struct Ranked<'a> {
    entry: &'a EntryHost,
    rank: Rank,
}

/// Lower is used first: able hosts, then those that aren't passed over for their load, then near
/// ones, then by weighted chance.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    state: EntryHostState,
    passed_over: bool,
    distance: u32,
    draw: f64,
}

/// The hosts of a data centre together.
#[derive(Debug, Default)]
struct DataCentreLoad {
    hosts: u64,
    serving: u64,
    load_milli: u64,
}

impl DataCentreLoad {
    fn add(&mut self, entry: &EntryHost) {
        self.hosts += 1;
        self.serving += u64::from(entry.state == EntryHostState::Serving);
        self.load_milli += u64::from(entry.load_milli);
    }

    /// Part of its callers that the data centre keeps, in thousandths: that of its serving hosts,
    /// so that these don't get the callers of overloaded ones, and less with a high mean load.
    fn kept_milli(&self) -> u64 {
        let bearable = u64::from(SPILLOVER_LOAD_MILLI) * self.hosts;
        1_000 * self.serving * bearable / (self.hosts * self.load_milli.max(bearable))
    }
}

impl Directory {
    /// A directory whose random choices follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// The longest time for which a caller keeps an answer.
    pub fn max_ttl() -> Millis {
        Millis(MIN_KEEP.0 + KEEP_JITTER.0)
    }

    /// Chooses addresses for a caller.
    ///
    /// At least three addresses in two data centres when there are as many hosts that serve or
    /// are overloaded; nearest first, and among equally near ones by load. Busy data centres are
    /// passed over at random, and come after the others.
    pub fn answer(&mut self, caller: &CallerLocation, hosts: &[EntryHost]) -> DirectoryAnswer {
        let passed_over = self.passed_over(hosts);
        let mut ranked: Vec<Ranked<'_>> = hosts
            .iter()
            .filter(|entry| is_usable(entry.state))
            .map(|entry| Ranked { entry, rank: self.rank(caller, entry, &passed_over) })
            .collect();
        ranked.sort_by(|a, b| a.rank.partial_cmp(&b.rank).expect("draws are numbers"));
        let addresses = select(&ranked).into_iter().map(address).collect();
        DirectoryAnswer { addresses, ttl: self.ttl() }
    }

    fn rank(
        &mut self,
        caller: &CallerLocation,
        entry: &EntryHost,
        passed_over: &[&DataCentreName],
    ) -> Rank {
        let weight = 1_000_u32.saturating_sub(entry.load_milli).max(MIN_WEIGHT_MILLI);
        Rank {
            state: entry.state,
            passed_over: passed_over.contains(&&entry.data_centre),
            distance: distance(caller, entry),
            draw: self.exponential() / f64::from(weight),
        }
    }

    /// The data centres that this answer passes over.
    fn passed_over<'a>(&mut self, hosts: &'a [EntryHost]) -> Vec<&'a DataCentreName> {
        let mut loads: BTreeMap<&DataCentreName, DataCentreLoad> = BTreeMap::new();
        for entry in hosts.iter().filter(|entry| is_usable(entry.state)) {
            loads.entry(&entry.data_centre).or_default().add(entry);
        }
        loads.retain(|_, load| self.rng.next_u64() % 1_000 >= load.kept_milli());
        loads.into_keys().collect()
    }

    /// An exponentially distributed number; the smallest of several, each divided by its weight,
    /// is any of them with a chance in proportion to the weight.
    fn exponential(&mut self) -> f64 {
        let unit = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - unit).ln()
    }

    fn ttl(&mut self) -> Millis {
        Millis(MIN_KEEP.0 + self.rng.next_u64() % (KEEP_JITTER.0 + 1))
    }
}

fn is_usable(state: EntryHostState) -> bool {
    matches!(state, EntryHostState::Serving | EntryHostState::Overloaded)
}

fn distance(caller: &CallerLocation, entry: &EntryHost) -> u32 {
    if entry.data_centre == caller.data_centre {
        return 0;
    }
    if entry.region == caller.region { 1 } else { 2 }
}

/// The first hosts by rank, with room kept for a second data centre.
fn select<'a>(ranked: &[Ranked<'a>]) -> Vec<&'a EntryHost> {
    let Some(first) = ranked.first() else { return Vec::new() };
    let nearest = &first.entry.data_centre;
    let others = ranked.iter().filter(|host| host.entry.data_centre != *nearest).count();
    let kept_for_others = others.min(ANSWER_SIZE - NEAREST_SIZE);
    let mut nearest_left = ANSWER_SIZE - kept_for_others;
    let mut selected = Vec::with_capacity(ANSWER_SIZE);
    for host in ranked {
        if selected.len() == ANSWER_SIZE {
            break;
        }
        if host.entry.data_centre == *nearest {
            if nearest_left == 0 {
                continue;
            }
            nearest_left -= 1;
        }
        selected.push(host.entry);
    }
    selected
}

fn address(entry: &EntryHost) -> DirectoryAddress {
    DirectoryAddress {
        host: entry.host,
        data_centre: entry.data_centre.clone(),
        address: entry.address,
    }
}
