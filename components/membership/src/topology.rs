//! Selects the hosts with which this one exchanges heartbeats.

use std::{cmp::Reverse, collections::BTreeMap};

use ids::{DataCentreName, HostId};
use schema::membership::{Member, MemberRole, MemberState};

use crate::{ring, table::Table};

/// In a data centre with fewer live hosts than this, every host links to the remote relays.
const SMALL_DATA_CENTRE_HOSTS: usize = 4;

/// The hosts with which this one exchanges heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    /// Neighbours in the same data centre, in ascending order.
    pub(crate) neighbours: Vec<HostId>,
    /// Relays of other data centres that this host links to, in ascending order.
    pub(crate) remote_relays: Vec<HostId>,
    /// The relay of each data centre.
    pub(crate) relays: BTreeMap<DataCentreName, HostId>,
    /// The number of live hosts of each data centre.
    pub(crate) live_counts: BTreeMap<DataCentreName, usize>,
}

impl Topology {
    pub(crate) fn new(table: &Table, own: &Member) -> Self {
        let mut by_data_centre = BTreeMap::<DataCentreName, Vec<&Member>>::new();
        for member in table.live_members() {
            by_data_centre.entry(member.data_centre.clone()).or_default().push(member);
        }
        let relays = by_data_centre
            .iter()
            .filter_map(|(name, members)| Some((name.clone(), select_relay(members)?)))
            .collect::<BTreeMap<_, _>>();
        let live_counts =
            by_data_centre.iter().map(|(name, members)| (name.clone(), members.len())).collect();
        let local = by_data_centre.get(&own.data_centre).map(Vec::as_slice).unwrap_or_default();
        let hosts = local.iter().map(|it| it.host).collect::<Vec<_>>();
        let mut topology = Self {
            neighbours: ring::neighbours(&hosts, own.host),
            remote_relays: Vec::new(),
            relays,
            live_counts,
        };
        if topology.has_remote_links(own) {
            topology.remote_relays = topology.select_remote_relays(own);
        }
        topology
    }

    /// Returns whether this host wants heartbeats from `host`.
    pub(crate) fn links_to(&self, host: HostId) -> bool {
        self.neighbours.contains(&host) || self.remote_relays.contains(&host)
    }

    /// Returns whether `host` is the relay of the data centre.
    pub(crate) fn is_relay(&self, data_centre: &DataCentreName, host: HostId) -> bool {
        self.relays.get(data_centre) == Some(&host)
    }

    /// Returns the number of live hosts of the data centre.
    pub(crate) fn live_count(&self, data_centre: &DataCentreName) -> usize {
        self.live_counts.get(data_centre).copied().unwrap_or(0)
    }

    fn has_remote_links(&self, own: &Member) -> bool {
        own.role == MemberRole::Control
            || self.is_relay(&own.data_centre, own.host)
            || self.live_count(&own.data_centre) < SMALL_DATA_CENTRE_HOSTS
    }

    fn select_remote_relays(&self, own: &Member) -> Vec<HostId> {
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

/// Selects the relay among the live hosts of one data centre.
///
/// Serving hosts are preferred, then control hosts, then the lowest id.
fn select_relay(members: &[&Member]) -> Option<HostId> {
    members
        .iter()
        .max_by_key(|it| {
            let serving = it.state == MemberState::Serving;
            (serving, it.role == MemberRole::Control, Reverse(it.host))
        })
        .map(|it| it.host)
}
