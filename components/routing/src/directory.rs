//! Tells callers which entry hosts to use, in which order and for how long.

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{DataCentreName, HostId, Millis, RegionName};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Number of addresses in an answer, if there are as many usable entry hosts.
const ANSWER_SIZE: usize = 4;

/// Number of addresses from the data centre of the first one, if others have enough for the rest.
const FIRST_DATA_CENTRE_SIZE: usize = 2;

/// Shortest time for which a caller may cache an answer.
const MIN_KEEP: Millis = Millis(8_000);

/// Maximum random time added to [`MIN_KEEP`], so that callers don't all ask at once.
const KEEP_JITTER: Millis = Millis(4_000);

/// Minimum weight of a loaded entry host, in thousandths.
const MIN_WEIGHT_MILLI: u32 = 50;

/// Mean load of a data centre above which some of its callers are sent to others, in thousandths.
pub const SPILL_LOAD_MILLI: u32 = 700;

/// Whether an entry host takes new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryHostState {
    /// Takes new callers.
    Serving,
    /// Refuses part of its requests; listed after all serving hosts.
    Overloaded,
    /// Is about to stop; never listed.
    Draining,
    /// Is considered dead; never listed.
    Dead,
}

/// An entry host according to the membership view.
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
    /// Its load, in thousandths of its capacity.
    pub load_milli: u32,
    /// Whether it takes new callers.
    pub state: EntryHostState,
}

/// The location of a caller.
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

/// The addresses that a caller should use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// The addresses, in the order of use.
    pub addresses: Vec<DirectoryAddress>,
    /// How long the caller may cache the answer.
    pub keep_for: Millis,
}

/// Chooses addresses of entry hosts for callers.
#[derive(Debug, Clone)]
pub struct Directory {
    rng: Xoshiro256PlusPlus,
}

/// An entry host and its rank for a caller.
#[derive(Debug)]
struct Ranked<'a> {
    entry: &'a EntryHost,
    rank: Rank,
}

/// The position of a host in the order of preference; the lowest comes first.
///
/// Serving hosts come before overloaded ones, then hosts of data centres that aren't passed over,
/// then nearer ones. Among equals the order is random, weighted by free capacity.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    state: EntryHostState,
    passed_over: bool,
    distance: u32,
    /// Random number that tends to be lower for hosts with more free capacity.
    draw: f64,
}

/// Number and load of the usable hosts of a data centre.
#[derive(Debug, Default)]
struct DataCentreLoad {
    hosts: u64,
    serving: u64,
    /// Sum of the hosts' loads, in thousandths.
    load_milli: u64,
}

impl DataCentreLoad {
    fn add(&mut self, entry: &EntryHost) {
        self.hosts += 1;
        self.serving += u64::from(entry.state == EntryHostState::Serving);
        self.load_milli += u64::from(entry.load_milli);
    }

    /// Returns the share of its callers that the data centre keeps, in thousandths.
    ///
    /// The share is that of the serving hosts, so that these don't get the callers of overloaded
    /// ones. It is lower if the mean load is above [`SPILL_LOAD_MILLI`].
    fn kept_share_milli(&self) -> u64 {
        let spill_load_milli = u64::from(SPILL_LOAD_MILLI) * self.hosts;
        1_000 * self.serving * spill_load_milli
            / (self.hosts * self.load_milli.max(spill_load_milli))
    }
}

impl Directory {
    /// Returns a directory whose random choices follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// Returns the longest time for which a caller may cache an answer.
    pub fn max_keep() -> Millis {
        Millis(MIN_KEEP.0 + KEEP_JITTER.0)
    }

    /// Chooses addresses for a caller.
    ///
    /// Returns at least three addresses in two data centres if there are as many hosts that are
    /// serving or overloaded. Nearer hosts come first, and equally near ones in random order,
    /// weighted by free capacity. Busy data centres are passed over at random: their hosts come
    /// after the others.
    pub fn answer(&mut self, caller: &CallerLocation, hosts: &[EntryHost]) -> DirectoryAnswer {
        let passed_over = self.passed_over(hosts);
        let mut ranked: Vec<Ranked<'_>> = hosts
            .iter()
            .filter(|entry| is_usable(entry.state))
            .map(|entry| Ranked { entry, rank: self.rank(caller, entry, &passed_over) })
            .collect();
        ranked.sort_by(|a, b| a.rank.partial_cmp(&b.rank).expect("draws are numbers"));
        let addresses = select(&ranked).into_iter().map(address).collect();
        DirectoryAnswer { addresses, keep_for: self.keep_for() }
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

    /// Picks the data centres that an answer passes over, at random by their load.
    fn passed_over<'a>(&mut self, hosts: &'a [EntryHost]) -> Vec<&'a DataCentreName> {
        let mut loads: BTreeMap<&DataCentreName, DataCentreLoad> = BTreeMap::new();
        for entry in hosts.iter().filter(|entry| is_usable(entry.state)) {
            loads.entry(&entry.data_centre).or_default().add(entry);
        }
        loads.retain(|_, load| self.rng.next_u64() % 1_000 >= load.kept_share_milli());
        loads.into_keys().collect()
    }

    /// Returns an exponentially distributed random number.
    ///
    /// If several of them are divided by a weight each, the probability of being the smallest is
    /// in proportion to the weight.
    fn exponential(&mut self) -> f64 {
        let unit = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - unit).ln()
    }

    fn keep_for(&mut self) -> Millis {
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

/// Selects the first hosts by rank, with room reserved for other data centres than the first.
fn select<'a>(ranked: &[Ranked<'a>]) -> Vec<&'a EntryHost> {
    let Some(first) = ranked.first() else { return Vec::new() };
    let first_data_centre = &first.entry.data_centre;
    let others = ranked.iter().filter(|host| host.entry.data_centre != *first_data_centre).count();
    let reserved_for_others = others.min(ANSWER_SIZE - FIRST_DATA_CENTRE_SIZE);
    let mut first_left = ANSWER_SIZE - reserved_for_others;
    let mut selected = Vec::with_capacity(ANSWER_SIZE);
    for host in ranked {
        if selected.len() == ANSWER_SIZE {
            break;
        }
        if host.entry.data_centre == *first_data_centre {
            if first_left == 0 {
                continue;
            }
            first_left -= 1;
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
