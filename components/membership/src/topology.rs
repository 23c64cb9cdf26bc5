//! Which hosts this one exchanges heartbeats with.

use std::{cmp::Reverse, collections::BTreeMap};

use ids::{DataCentreName, HostId};
use schema::membership::{Member, MemberRole, MemberState};

use crate::{ring, table::Table};

/// Fewer live hosts than this in a data centre all keep links to other data centres.
const SMALL_DATA_CENTRE: usize = 4;

/// The hosts that this one exchanges heartbeats with.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    /// Neighbours in the same data centre, ascending.
    pub(crate) neighbours: Vec<HostId>,
    /// Relays of other data centres that this host links to, ascending.
    pub(crate) remote: Vec<HostId>,
    /// The relay of each data centre.
    pub(crate) relays: BTreeMap<DataCentreName, HostId>,
    /// The number of live hosts of each data centre.
    pub(crate) sizes: BTreeMap<DataCentreName, usize>,
}

impl Topology {
    pub(crate) fn of(table: &Table, own: &Member) -> Self {
        let mut by_data_centre = BTreeMap::<DataCentreName, Vec<&Member>>::new();
        for member in table.live() {
            by_data_centre.entry(member.data_centre.clone()).or_default().push(member);
        }
        let relays = by_data_centre
            .iter()
            .filter_map(|(name, members)| Some((name.clone(), relay_of(members)?)))
            .collect::<BTreeMap<_, _>>();
        let sizes =
            by_data_centre.iter().map(|(name, members)| (name.clone(), members.len())).collect();
        let local = by_data_centre.get(&own.data_centre).map(Vec::as_slice).unwrap_or_default();
        let hosts = local.iter().map(|it| it.host).collect::<Vec<_>>();
        let mut topology = Self {
            neighbours: ring::neighbours(&hosts, own.host),
            remote: Vec::new(),
            relays,
            sizes,
        };
        if topology.links_to_remote(own) {
            topology.remote = topology.remote_relays(own);
        }
        topology
    }

    /// Whether this host wants heartbeats of `host`.
    pub(crate) fn links_to(&self, host: HostId) -> bool {
        self.neighbours.contains(&host) || self.remote.contains(&host)
    }

    /// Whether `host` is the relay of the data centre.
    pub(crate) fn is_relay(&self, data_centre: &DataCentreName, host: HostId) -> bool {
        self.relays.get(data_centre) == Some(&host)
    }

    /// The number of live hosts of the data centre.
    pub(crate) fn size(&self, data_centre: &DataCentreName) -> usize {
        self.sizes.get(data_centre).copied().unwrap_or(0)
    }

    fn links_to_remote(&self, own: &Member) -> bool {
        own.role == MemberRole::Control
            || self.is_relay(&own.data_centre, own.host)
            || self.size(&own.data_centre) < SMALL_DATA_CENTRE
    }

    fn remote_relays(&self, own: &Member) -> Vec<HostId> {
        let mut relays = self
            .relays
            .iter()
            .filter(|(name, _)| **name != own.data_centre)
            .map(|(_, host)| *host)
            .collect::<Vec<_>>();
        relays.sort_unstable();
        relays
    }
}

/// The relay among the live hosts of one data centre; serving and control hosts go first.
fn relay_of(members: &[&Member]) -> Option<HostId> {
    members
        .iter()
        .max_by_key(|it| {
            let serving = it.state == MemberState::Serving;
            (serving, it.role == MemberRole::Control, Reverse(it.host))
        })
        .map(|it| it.host)
}
