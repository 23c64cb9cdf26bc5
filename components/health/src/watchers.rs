//! Which entry hosts watch a backend server.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DataCentreName, HostId, RegionName, ServerId};

use crate::{hash, types::LiveHost};

/// Entry hosts that watch each server.
pub const WATCHERS: usize = 3;

/// The live entry hosts by data centre.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostIndex {
    hosts: BTreeMap<HostId, LiveHost>,
    by_data_centre: BTreeMap<DataCentreName, Vec<HostId>>,
    regions: BTreeMap<DataCentreName, RegionName>,
}

impl HostIndex {
    /// Indexes the live hosts.
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

    /// A live host.
    pub(crate) fn get(&self, host: HostId) -> Option<&LiveHost> {
        self.hosts.get(&host)
    }

    /// The hosts of a data centre, in order.
    pub(crate) fn in_data_centre(&self, data_centre: &DataCentreName) -> &[HostId] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// The data centres that have live hosts, in order.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.by_data_centre.keys()
    }

    /// The watchers of a server: in different regions, else data centres, as far as there are any.
    pub(crate) fn watchers(&self, server: &ServerId) -> Vec<HostId> {
        let key = hash::text(server.as_str());
        let mut watchers = Vec::with_capacity(WATCHERS);
        for data_centre in self.preferred_data_centres(key) {
            watchers.extend(self.best_host(key, data_centre, &watchers));
        }
        let everyone: Vec<HostId> = self.hosts.keys().copied().collect();
        while watchers.len() < WATCHERS.min(everyone.len()) {
            watchers.extend(best(key, &everyone, &watchers));
        }
        watchers
    }

    /// The data centres to choose watchers from, at most [`WATCHERS`].
    fn preferred_data_centres(&self, key: u64) -> Vec<&DataCentreName> {
        let mut ranked: Vec<&DataCentreName> = self.by_data_centre.keys().collect();
        ranked.sort_by_key(|it| hash::mix(key ^ hash::text(it.as_str())));
        let mut regions = BTreeSet::new();
        let (mut first, rest): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|it| regions.insert(&self.regions[*it]));
        first.extend(rest);
        first.truncate(WATCHERS);
        first
    }

    fn best_host(
        &self,
        key: u64,
        data_centre: &DataCentreName,
        taken: &[HostId],
    ) -> Option<HostId> {
        best(key, self.in_data_centre(data_centre), taken)
    }
}

fn best(key: u64, hosts: &[HostId], taken: &[HostId]) -> Option<HostId> {
    let free = hosts.iter().copied().filter(|it| !taken.contains(it));
    free.max_by_key(|it| hash::host_score(key, *it))
}
