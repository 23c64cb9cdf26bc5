//! The few hosts that watch whether a backend server keeps announcing itself.

use std::collections::BTreeMap;

use ids::{HostId, Incarnation, ServerId, Timestamp};
use schema::{announcement::Announcement, dissemination::ServerVersion};

use crate::{
    servers::{hash_text, mix},
    view::View,
};

/// Hosts that watch one server's renewals.
const KEEPERS: usize = 2;

/// Renewals to pass on, and the servers that this host watches.
#[derive(Debug, Default)]
pub(crate) struct Renewals {
    outgoing: BTreeMap<HostId, BTreeMap<ServerId, ServerVersion>>,
    kept: BTreeMap<ServerId, Timestamp>,
    pub(crate) sent_at: Timestamp,
}

impl Renewals {
    /// Queues a renewal for one keeper.
    pub(crate) fn queue(&mut self, to: HostId, server: &ServerId, at: (Incarnation, u64)) {
        let (incarnation, sequence) = at;
        let version = ServerVersion { server: server.clone(), incarnation, sequence };
        self.outgoing.entry(to).or_default().insert(server.clone(), version);
    }

    /// The queued renewals by keeper.
    pub(crate) fn take_outgoing(&mut self) -> BTreeMap<HostId, Vec<ServerVersion>> {
        let outgoing = std::mem::take(&mut self.outgoing);
        outgoing.into_iter().map(|(to, it)| (to, it.into_values().collect())).collect()
    }

    /// Notes that a server that this host watches is up to date.
    pub(crate) fn note(&mut self, now: Timestamp, server: &ServerId) {
        if let Some(at) = self.kept.get_mut(server) {
            *at = now;
        }
    }

    /// Begins to watch a server, or goes on.
    pub(crate) fn keep(&mut self, now: Timestamp, server: &ServerId) {
        self.kept.entry(server.clone()).or_insert(now);
    }

    pub(crate) fn release(&mut self, server: &ServerId) {
        self.kept.remove(server);
    }

    /// The servers that this host watches and when each was last up to date.
    pub(crate) fn kept(&self) -> impl Iterator<Item = (&ServerId, Timestamp)> {
        self.kept.iter().map(|(server, at)| (server, *at))
    }
}

/// The keepers of a server: entry hosts of its data centre, or of any when it has none.
pub(crate) fn keepers(announcement: &Announcement, view: &View) -> Vec<HostId> {
    let hash = hash_text(announcement.server.as_str());
    let local = view.entry_hosts.get(&announcement.data_centre);
    let mut best = Vec::with_capacity(KEEPERS + 1);
    match local {
        Some(hosts) => hosts.iter().for_each(|it| rank_host(&mut best, hash, *it)),
        None => view.entry_hosts.values().flatten().for_each(|it| rank_host(&mut best, hash, *it)),
    }
    best.into_iter().map(|it| it.host).collect()
}

/// A host's place in the order for one server.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    rank: u64,
    host: HostId,
}

/// Adds a host to the best ones when it belongs there.
fn rank_host(best: &mut Vec<Ranked>, hash: u64, host: HostId) {
    let ranked = Ranked { rank: mix(hash ^ mix(u64::from(host.0))), host };
    let place = best.partition_point(|it| *it < ranked);
    if place < KEEPERS {
        best.insert(place, ranked);
        best.truncate(KEEPERS);
    }
}
