//! Assigns to each backend server the hosts that monitor its renewals.

use std::collections::BTreeMap;

use ids::{HostId, Incarnation, ServerId, Timestamp};
use schema::{announcement::Announcement, dissemination::ServerVersion};

use crate::{
    servers::{hash_text, mix},
    view::View,
};

/// Number of hosts that monitor the renewals of one server.
const MONITORS_PER_SERVER: usize = 2;

/// Renewals queued for other hosts, and the servers that this host monitors.
#[derive(Debug, Default)]
pub(crate) struct Renewals {
    outgoing: BTreeMap<HostId, BTreeMap<ServerId, ServerVersion>>,
    monitored: BTreeMap<ServerId, Timestamp>,
    pub(crate) sent_at: Timestamp,
}

impl Renewals {
    /// Queues a renewal for one monitor; replaces an earlier one of the same server.
    pub(crate) fn queue(&mut self, to: HostId, server: &ServerId, version: (Incarnation, u64)) {
        let (incarnation, sequence) = version;
        let renewal = ServerVersion { server: server.clone(), incarnation, sequence };
        self.outgoing.entry(to).or_default().insert(server.clone(), renewal);
    }

    /// Takes the queued renewals, grouped by monitor.
    pub(crate) fn take_outgoing(&mut self) -> BTreeMap<HostId, Vec<ServerVersion>> {
        let outgoing = std::mem::take(&mut self.outgoing);
        outgoing.into_iter().map(|(to, it)| (to, it.into_values().collect())).collect()
    }

    /// Resets the renewal timeout of `server` if this host monitors it.
    pub(crate) fn record(&mut self, now: Timestamp, server: &ServerId) {
        if let Some(at) = self.monitored.get_mut(server) {
            *at = now;
        }
    }

    /// Starts monitoring `server`; does nothing if it is already monitored.
    pub(crate) fn start_monitoring(&mut self, now: Timestamp, server: &ServerId) {
        self.monitored.entry(server.clone()).or_insert(now);
    }

    pub(crate) fn stop_monitoring(&mut self, server: &ServerId) {
        self.monitored.remove(server);
    }

    /// Returns the monitored servers with the time of the last renewal of each.
    pub(crate) fn monitored(&self) -> impl Iterator<Item = (&ServerId, Timestamp)> {
        self.monitored.iter().map(|(server, at)| (server, *at))
    }
}

/// Picks the monitors of a server by rendezvous hashing.
///
/// Candidates are the live entry hosts of its data centre or, if it has none, of all.
pub(crate) fn monitors(announcement: &Announcement, view: &View) -> Vec<HostId> {
    let hash = hash_text(announcement.server.as_str());
    let local = view.entry_hosts.get(&announcement.data_centre);
    let mut best = Vec::with_capacity(MONITORS_PER_SERVER + 1);
    match local {
        Some(hosts) => hosts.iter().for_each(|it| rank_host(&mut best, hash, *it)),
        None => view.entry_hosts.values().flatten().for_each(|it| rank_host(&mut best, hash, *it)),
    }
    best.into_iter().map(|it| it.host).collect()
}

/// A host and its rendezvous hash for one server; the lowest hashes win.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    rank: u64,
    host: HostId,
}

/// Inserts `host` into the sorted list of the best candidates if it ranks among them.
fn rank_host(best: &mut Vec<Ranked>, hash: u64, host: HostId) {
    let ranked = Ranked { rank: mix(hash ^ mix(u64::from(host.0))), host };
    let place = best.partition_point(|it| *it < ranked);
    if place < MONITORS_PER_SERVER {
        best.insert(place, ranked);
        best.truncate(MONITORS_PER_SERVER);
    }
}
