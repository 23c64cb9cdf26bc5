//! Directory of entry hosts: which ones a caller should use, in which order and for how long.

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{DataCentreName, HostId, Millis, RegionName};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 4;

/// Maximum number of addresses from the data centre of the first address, if other data centres
/// have enough hosts for the rest.
const FIRST_DATA_CENTRE_ADDRESSES: usize = 2;

/// Minimum time to live of an answer.
const MIN_TTL: Millis = Millis(8_000);

/// Maximum jitter added to [`MIN_TTL`], so that callers don't refresh their answers in step.
const TTL_JITTER: Millis = Millis(4_000);

/// Minimum weight of an entry host, however high its load, in thousandths.
const MIN_WEIGHT_MILLI: u32 = 50;

/// Mean load of a data centre above which part of its callers are sent to other data centres, in
/// thousandths.
pub const SPILLOVER_LOAD_MILLI: u32 = 700;

/// Whether an entry host accepts new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryHostState {
    /// Accepts new callers.
    Serving,
    /// Refuses part of its requests; listed after all serving hosts.
    Overloaded,
    /// Is shutting down; not listed.
    Draining,
    /// Has not joined yet, has stopped or is considered dead; not listed.
    Dead,
}

/// An entry host, with its load and state according to the membership view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Id of the host.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address at which it accepts callers.
    pub address: SocketAddr,
    /// Load in thousandths of its capacity.
    pub load_milli: u32,
    /// Whether it accepts new callers.
    pub state: EntryHostState,
}

/// Location of a caller, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLocation {
    /// Region of the caller's nearest data centre.
    pub region: RegionName,
    /// Data centre that is nearest to the caller.
    pub data_centre: DataCentreName,
}

/// Address of an entry host in an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAddress {
    /// Id of the entry host.
    pub host: HostId,
    /// Data centre of the entry host.
    pub data_centre: DataCentreName,
    /// Address at which it accepts callers.
    pub address: SocketAddr,
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<DirectoryAddress>,
    /// How long the caller may cache the answer.
    pub ttl: Millis,
}

/// Selects entry hosts for callers.
#[derive(Debug, Clone)]
pub struct Directory {
    rng: Xoshiro256PlusPlus,
}

/// An entry host with its sort key.
#[derive(Debug)]
struct Ranked<'a> {
    entry: &'a EntryHost,
    rank: Rank,
}

/// Sort key, lowest first: serving before overloaded hosts, then hosts of data centres that are not
/// demoted, then nearer hosts, then a weighted random draw.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    state: EntryHostState,
    demoted: bool,
    distance: u32,
    /// Random number that tends to be lower for hosts with more spare capacity.
    draw: f64,
}

/// Totals of the usable hosts of a data centre.
#[derive(Debug, Default)]
struct DataCentreLoad {
    hosts: u64,
    serving: u64,
    /// Sum of the loads of the hosts, in thousandths.
    load_milli: u64,
}

impl DataCentreLoad {
    fn add(&mut self, entry: &EntryHost) {
        self.hosts += 1;
        self.serving += u64::from(entry.state == EntryHostState::Serving);
        self.load_milli += u64::from(entry.load_milli);
    }

    /// Returns the share of its callers that the data centre retains, in thousandths.
    ///
    /// This is the share of hosts that are serving, so that they don't receive the callers of the
    /// overloaded ones. It is reduced further if the mean load exceeds [`SPILLOVER_LOAD_MILLI`].
    fn retained_milli(&self) -> u64 {
        let max_load_milli = u64::from(SPILLOVER_LOAD_MILLI) * self.hosts;
        1_000 * self.serving * max_load_milli / (self.hosts * self.load_milli.max(max_load_milli))
    }
}

impl Directory {
    /// Creates a directory whose random choices follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// Returns the maximum time to live of an answer.
    pub fn max_ttl() -> Millis {
        Millis(MIN_TTL.0 + TTL_JITTER.0)
    }

    /// Selects addresses for a caller.
    ///
    /// The answer has at least three addresses in two data centres if enough hosts are serving or
    /// overloaded. Nearer hosts come first; equally near ones are in random order, weighted by
    /// spare capacity. Data centres with a high load or with overloaded hosts are demoted at
    /// random, which puts them after the others.
    pub fn answer(&mut self, caller: &CallerLocation, hosts: &[EntryHost]) -> DirectoryAnswer {
        let demoted = self.demoted_data_centres(hosts);
        let mut ranked: Vec<Ranked<'_>> = hosts
            .iter()
            .filter(|entry| is_usable(entry.state))
            .map(|entry| Ranked { entry, rank: self.rank(caller, entry, &demoted) })
            .collect();
        ranked.sort_by(|a, b| a.rank.partial_cmp(&b.rank).expect("draws are not NaN"));
        let addresses = select(&ranked).into_iter().map(address).collect();
        DirectoryAnswer { addresses, ttl: self.jittered_ttl() }
    }

    fn rank(
        &mut self,
        caller: &CallerLocation,
        entry: &EntryHost,
        demoted: &[&DataCentreName],
    ) -> Rank {
        let weight = 1_000_u32.saturating_sub(entry.load_milli).max(MIN_WEIGHT_MILLI);
        Rank {
            state: entry.state,
            demoted: demoted.contains(&&entry.data_centre),
            distance: distance(caller, entry),
            draw: self.exponential() / f64::from(weight),
        }
    }

    /// Draws the data centres that are demoted in one answer.
    fn demoted_data_centres<'a>(&mut self, hosts: &'a [EntryHost]) -> Vec<&'a DataCentreName> {
        let mut loads: BTreeMap<&DataCentreName, DataCentreLoad> = BTreeMap::new();
        for entry in hosts.iter().filter(|entry| is_usable(entry.state)) {
            loads.entry(&entry.data_centre).or_default().add(entry);
        }
        loads.retain(|_, load| self.rng.next_u64() % 1_000 >= load.retained_milli());
        loads.into_keys().collect()
    }

    /// Returns an exponentially distributed random number.
    ///
    /// If each host's number is divided by its weight, the probability that a host has the smallest
    /// result is proportional to its weight.
    fn exponential(&mut self) -> f64 {
        let unit = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - unit).ln()
    }

    fn jittered_ttl(&mut self) -> Millis {
        Millis(MIN_TTL.0 + self.rng.next_u64() % (TTL_JITTER.0 + 1))
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

/// Returns the first hosts by rank, with some addresses reserved for other data centres.
fn select<'a>(ranked: &[Ranked<'a>]) -> Vec<&'a EntryHost> {
    let Some(first) = ranked.first() else { return Vec::new() };
    let first_data_centre = &first.entry.data_centre;
    let others = ranked.iter().filter(|host| host.entry.data_centre != *first_data_centre).count();
    let reserved = others.min(MAX_ADDRESSES - FIRST_DATA_CENTRE_ADDRESSES);
    let mut remaining_in_first = MAX_ADDRESSES - reserved;
    let mut selected = Vec::with_capacity(MAX_ADDRESSES);
    for host in ranked {
        if selected.len() == MAX_ADDRESSES {
            break;
        }
        if host.entry.data_centre == *first_data_centre {
            if remaining_in_first == 0 {
                continue;
            }
            remaining_in_first -= 1;
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
