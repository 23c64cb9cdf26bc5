//! Assignment of watchers to backend servers among the entry hosts, by rendezvous hashing.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DataCentreName, HostId, RegionName, ServerId};

use crate::{hash, types::LiveHost};

/// Entry hosts that watch each backend server.
pub const WATCHERS_PER_SERVER: usize = 3;

/// Index of the live entry hosts by data centre.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostIndex {
    hosts: BTreeMap<HostId, LiveHost>,
    by_data_centre: BTreeMap<DataCentreName, Vec<HostId>>,
    /// Region of each data centre with live hosts.
    regions: BTreeMap<DataCentreName, RegionName>,
}

impl HostIndex {
    /// Builds the index of the live hosts.
    pub(crate) fn new(hosts: &[LiveHost]) -> Self {
        let mut index = Self::default();
        for host in hosts {
            index.hosts.insert(host.host, host.clone());
            index.by_data_centre.entry(host.data_centre.clone()).or_default().push(host.host);
            index.regions.insert(host.data_centre.clone(), host.region.clone());
        }
        index.by_data_centre.values_mut().for_each(|it| it.sort_unstable());
        index
    }

    /// Returns what changed since an older index.
    pub(crate) fn change_since(&self, old: &Self) -> HostChange {
        let differs = |it: &&LiveHost, other: &Self| other.hosts.get(&it.host) != Some(*it);
        let added = self.hosts.values().filter(|it| differs(it, old)).cloned();
        let removed = old.hosts.values().filter(|it| differs(it, self)).map(|it| it.host);
        HostChange {
            added: added.collect(),
            removed: removed.collect(),
            reassign_all: self.regions.len() < WATCHERS_PER_SERVER || self.regions != old.regions,
        }
    }

    /// Returns a host if it is live.
    pub(crate) fn get(&self, host: HostId) -> Option<&LiveHost> {
        self.hosts.get(&host)
    }

    /// Returns the hosts of a data centre, sorted by id.
    pub(crate) fn in_data_centre(&self, data_centre: &DataCentreName) -> &[HostId] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the data centres with live hosts, sorted by name.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.by_data_centre.keys()
    }

    /// Picks the watchers of a server: in different regions if possible, else in different data
    /// centres.
    pub(crate) fn watchers(&self, server: &ServerId) -> Vec<HostId> {
        let key = hash::fnv1a(server.as_str());
        let mut watchers = Vec::with_capacity(WATCHERS_PER_SERVER);
        for data_centre in self.preferred_data_centres(key) {
            watchers.extend(self.best_host_in(key, data_centre, &watchers));
        }
        let all_hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        while watchers.len() < WATCHERS_PER_SERVER.min(all_hosts.len()) {
            watchers.extend(highest_scoring(key, &all_hosts, &watchers));
        }
        watchers
    }

    /// Picks up to [`WATCHERS_PER_SERVER`] data centres for the watchers, one per region first.
    fn preferred_data_centres(&self, key: u64) -> Vec<&DataCentreName> {
        let mut ranked: Vec<&DataCentreName> = self.by_data_centre.keys().collect();
        ranked.sort_by_key(|it| hash::mix(key ^ hash::fnv1a(it.as_str())));
        let mut regions = BTreeSet::new();
        let (mut preferred, rest): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|it| regions.insert(&self.regions[*it]));
        preferred.extend(rest);
        preferred.truncate(WATCHERS_PER_SERVER);
        preferred
    }

    fn best_host_in(
        &self,
        key: u64,
        data_centre: &DataCentreName,
        excluded: &[HostId],
    ) -> Option<HostId> {
        highest_scoring(key, self.in_data_centre(data_centre), excluded)
    }
}

/// Difference between two indexes of the live hosts.
#[derive(Debug)]
pub(crate) struct HostChange {
    /// Hosts that are new or have moved.
    added: Vec<LiveHost>,
    /// Hosts that are gone or have moved.
    removed: BTreeSet<HostId>,
    /// Whether the data centres changed, or are too few for each to have at most one watcher.
    reassign_all: bool,
}

impl HostChange {
    /// Returns whether a server may get other watchers in `hosts`, the newer index.
    pub(crate) fn may_change_watchers(
        &self,
        key: u64,
        watchers: &[HostId],
        hosts: &HostIndex,
    ) -> bool {
        if self.reassign_all || watchers.len() < WATCHERS_PER_SERVER {
            return true;
        }
        if watchers.iter().any(|it| self.removed.contains(it)) {
            return true;
        }
        self.added.iter().any(|added| {
            watchers.iter().any(|it| {
                let same_data_centre =
                    hosts.get(*it).is_some_and(|it| it.data_centre == added.data_centre);
                same_data_centre && hash::host_score(key, added.host) > hash::host_score(key, *it)
            })
        })
    }
}

fn highest_scoring(key: u64, hosts: &[HostId], excluded: &[HostId]) -> Option<HostId> {
    let candidates = hosts.iter().copied().filter(|it| !excluded.contains(it));
    candidates.max_by_key(|it| hash::host_score(key, *it))
}
