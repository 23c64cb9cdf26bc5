//! The entry hosts of the fleet, and the choice of those that a caller is told to use.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName};
use rustc_hash::FxHasher;
use schema::{
    list_digest,
    sync::{EntryHostRecord, EntryHostState, HostsRevision, HostsUpdate},
};

use crate::{organisations::KeeperPlace, settings::GatewaySettings};

/// Maximum number of addresses in a directory answer.
const MAX_ADDRESSES: usize = 64;

/// Number of near hosts below which farther hosts are listed as well; with three, a caller can skip
/// two that have just failed.
const MIN_NEAR_HOSTS: usize = 3;

/// The answer to a caller's directory request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// Addresses of entry hosts, nearest first.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the addresses.
    pub ttl: Millis,
}

/// The entry hosts as listed by the control hosts.
#[derive(Debug)]
pub(crate) struct EntryHosts {
    hosts: BTreeMap<HostId, EntryHostRecord>,
    revision: HostsRevision,
    /// Digest of the hosts as they were received.
    digest: u64,
}

impl EntryHosts {
    pub(crate) fn new() -> Self {
        Self { hosts: BTreeMap::new(), revision: HostsRevision::NONE, digest: 0 }
    }

    pub(crate) fn revision(&self) -> &HostsRevision {
        &self.revision
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the incarnation of a host, or `None` if it isn't listed.
    pub(crate) fn incarnation(&self, host: HostId) -> Option<Incarnation> {
        self.hosts.get(&host).map(|it| it.incarnation)
    }

    pub(crate) fn remove(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    pub(crate) fn apply(&mut self, update: HostsUpdate) {
        let HostsUpdate::Changed(changes) = update else { return };
        if changes.whole {
            self.hosts.clear();
        }
        for host in changes.gone {
            self.hosts.remove(&host);
        }
        self.hosts.extend(changes.hosts.into_iter().map(|it| (it.host, it)));
        self.revision = changes.revision;
        self.digest = list_digest(self.hosts.values());
    }

    /// Returns the hosts of a data centre.
    pub(crate) fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a DataCentreName,
    ) -> impl Iterator<Item = HostId> + 'a {
        self.hosts.values().filter(|it| it.data_centre == *data_centre).map(|it| it.host)
    }

    /// Returns the other serving hosts and their distances: 0 in the same data centre, 1 in the same
    /// region, 2 elsewhere.
    pub(crate) fn relays_for<'a>(
        &'a self,
        own: &'a GatewaySettings,
    ) -> impl Iterator<Item = (u8, HostId)> + 'a {
        let serving = self.hosts.values().filter(|it| it.state == EntryHostState::Serving);
        serving.filter(|it| it.host != own.host).map(|it| {
            let distance = match () {
                () if it.data_centre == own.data_centre => 0,
                () if it.region == own.region => 1,
                () => 2,
            };
            (distance, it.host)
        })
    }

    /// Returns the address at which a host accepts callers.
    pub(crate) fn caller_address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|it| it.caller_address)
    }

    /// Returns the serving host that grants permits for a server: one in the server's data centre if
    /// there is one. All hosts that know the same hosts pick the same one.
    pub(crate) fn grantor_for(
        &self,
        data_centre: &DataCentreName,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Option<HostId> {
        let serving = self.hosts.values().filter(|it| it.state == EntryHostState::Serving);
        let rank = |it: &&EntryHostRecord| {
            let mut hasher = FxHasher::default();
            (it.host, address, incarnation).hash(&mut hasher);
            (it.data_centre != *data_centre, hasher.finish())
        };
        serving.min_by_key(rank).map(|it| it.host)
    }

    /// Returns the hosts that may keep rates of organisations, by data centre, the nearest first.
    pub(crate) fn keeper_places(&self, own: &GatewaySettings) -> Vec<KeeperPlace> {
        let is_serving = |it: &&EntryHostRecord| {
            matches!(it.state, EntryHostState::Serving | EntryHostState::Detoured)
        };
        let mut places: BTreeMap<&DataCentreName, KeeperPlace> = BTreeMap::new();
        for record in self.hosts.values().filter(is_serving) {
            let distance = match () {
                () if record.data_centre == own.data_centre => 0,
                () if record.region == own.region => 1,
                () => 2,
            };
            let place = places.entry(&record.data_centre).or_insert_with(|| KeeperPlace {
                data_centre: record.data_centre.clone(),
                distance,
                hosts: Vec::new(),
            });
            place.hosts.push(record.host);
        }
        let mut places: Vec<KeeperPlace> = places.into_values().collect();
        places.sort_by_key(|it| it.distance);
        places
    }

    /// Picks a host other than `own`, using a random number.
    pub(crate) fn any_other(&self, own: HostId, random: u64) -> Option<HostId> {
        let others: Vec<HostId> =
            self.hosts.values().map(|it| it.host).filter(|it| *it != own).collect();
        (!others.is_empty()).then(|| others[(random % others.len() as u64) as usize])
    }

    /// Picks one host of each data centre other than `data_centre`, using a random number.
    pub(crate) fn pick_one_in_each_other_data_centre(
        &self,
        data_centre: &DataCentreName,
        random: u64,
    ) -> Vec<HostId> {
        let mut others: BTreeMap<&DataCentreName, Vec<HostId>> = BTreeMap::new();
        for record in self.hosts.values().filter(|it| it.data_centre != *data_centre) {
            others.entry(&record.data_centre).or_default().push(record.host);
        }
        let pick = |hosts: Vec<HostId>| hosts[(random % hosts.len() as u64) as usize];
        others.into_values().map(pick).collect()
    }

    /// Returns addresses of serving hosts for a caller: those in its data centre, and farther ones
    /// if there are too few. Hosts that reach no backend server come last.
    pub(crate) fn addresses_for(
        &self,
        region: Option<&RegionName>,
        data_centre: Option<&DataCentreName>,
    ) -> Vec<SocketAddr> {
        let is_serving = |it: &&EntryHostRecord| {
            matches!(it.state, EntryHostState::Serving | EntryHostState::Detoured)
        };
        let distance = |it: &EntryHostRecord| match () {
            () if it.state == EntryHostState::Detoured => 3,
            () if Some(&it.data_centre) == data_centre => 0,
            () if Some(&it.region) == region => 1,
            () => 2,
        };
        let mut ranked: Vec<_> =
            self.hosts.values().filter(is_serving).map(|it| (distance(it), it)).collect();
        ranked.sort_by_key(|(distance, it)| (*distance, it.host));
        let mut chosen: Vec<SocketAddr> = Vec::new();
        let mut last_distance = 0;
        for (distance, host) in ranked {
            let is_farther = distance > last_distance;
            if chosen.len() == MAX_ADDRESSES || (is_farther && chosen.len() >= MIN_NEAR_HOSTS) {
                break;
            }
            last_distance = distance;
            chosen.push(host.caller_address);
        }
        chosen
    }
}
