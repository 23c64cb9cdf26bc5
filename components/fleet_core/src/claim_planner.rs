//! Decides when the claim map has to change, and to what.

use std::collections::BTreeMap;

use claims::{ClaimHost, ClaimMap, ClaimsSettings, ReplicaReport, ShardEpochId, ShardNumber};
use ids::{Epoch, HostId, Millis, Timestamp, WallTime};
use schema::{
    claim_report::ClaimReport,
    claims::{ClaimMapState, PreviousReplicas},
};

/// How long the set of entry hosts must be unchanged before the map follows it.
const HOSTS_STABLE_TIME: Millis = Millis(3_000);

/// How long a host may be missing before it is dropped from the map; a restart takes less.
const HOST_TIMEOUT: Millis = Millis(30_000);

/// How long a shard must appear lost before it is reopened.
const REOPEN_DELAY: Millis = Millis(60_000);

/// Interval between two checks for lost shards.
const LOST_CHECK_INTERVAL: Millis = Millis(1_000);

/// How long a proposed map may take to be committed before another one is proposed.
const PROPOSAL_TIMEOUT: Millis = Millis(2_000);

/// Plans the claim maps on the control host that is the leader.
#[derive(Debug, Default)]
pub struct ClaimPlanner {
    /// The entry hosts that the map is built for.
    hosts: BTreeMap<HostId, KnownHost>,
    /// The latest report of each of these hosts.
    reports: BTreeMap<HostId, ReplicaReport>,
    /// Since when each lost shard has been lost.
    lost_since: BTreeMap<ShardNumber, Timestamp>,
    lost_checked_at: Timestamp,
    hosts_changed_at: Timestamp,
    proposed_at: Option<Timestamp>,
    unchanged_for: Option<MapInputs>,
}

/// The epoch of the current map and the hosts for which building a map again changes nothing.
#[derive(Debug)]
struct MapInputs {
    epoch: Epoch,
    hosts: Vec<ClaimHost>,
}

/// An entry host that is live or was within the last [`HOST_TIMEOUT`].
#[derive(Debug, Clone)]
struct KnownHost {
    host: ClaimHost,
    last_seen: Timestamp,
}

impl ClaimPlanner {
    /// Stores an entry host's report on its shards.
    pub fn record_report(&mut self, from: HostId, report: ClaimReport) {
        let complete = report
            .whole
            .into_iter()
            .map(|it| ShardEpochId { shard: ShardNumber(it.shard), epoch: it.epoch });
        let report = ReplicaReport { map_epoch: report.map_epoch, complete: complete.collect() };
        self.reports.insert(from, report);
    }

    /// Returns the map that replaces `current`, if it has to be replaced now.
    pub fn plan(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        live: Vec<ClaimHost>,
        current: &ClaimMap,
    ) -> Option<ClaimMapState> {
        self.update_hosts(now, live);
        self.update_lost_shards(now, current);
        let is_pending = self.proposed_at.is_some_and(|it| now.since(it) < PROPOSAL_TIMEOUT);
        if self.hosts.is_empty()
            || now.since(self.hosts_changed_at) < HOSTS_STABLE_TIME
            || is_pending
        {
            return None;
        }
        let next = self.next_map(now, wall_time, current)?;
        self.proposed_at = Some(now);
        Some(next.state().clone())
    }

    fn next_map(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        current: &ClaimMap,
    ) -> Option<ClaimMap> {
        let epoch = current.epoch().next();
        let hosts: Vec<_> = self.hosts.values().map(|it| it.host.clone()).collect();
        let lost: Vec<_> = self
            .lost_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= REOPEN_DELAY)
            .map(|(shard, _)| *shard)
            .collect();
        if !lost.is_empty() {
            let unticketed_from = WallTime(wall_time.0 + ClaimsSettings::default().retention.0);
            return Some(current.reopen(epoch, &hosts, &lost, unticketed_from));
        }
        let copied = current.copied_shards(&self.reports);
        if !copied.is_empty() {
            return Some(current.settle(epoch, &copied));
        }
        let is_same = |it: &MapInputs| it.epoch == current.epoch() && it.hosts == hosts;
        if self.unchanged_for.as_ref().is_some_and(is_same) {
            return None;
        }
        let next = ClaimMap::build(epoch, &hosts, Some(current));
        if next.state().shards != current.state().shards {
            return Some(next);
        }
        self.unchanged_for = Some(MapInputs { epoch: current.epoch(), hosts });
        None
    }

    /// Adds the live hosts, and drops those that have been missing for too long and their reports.
    fn update_hosts(&mut self, now: Timestamp, live: Vec<ClaimHost>) {
        for host in live {
            let known = KnownHost { host: host.clone(), last_seen: now };
            let previous = self.hosts.insert(host.host, known);
            if previous.is_none() {
                self.hosts_changed_at = now;
            }
        }
        let count = self.hosts.len();
        self.hosts.retain(|_, it| now.since(it.last_seen) < HOST_TIMEOUT);
        if self.hosts.len() < count {
            self.hosts_changed_at = now;
        }
        let hosts = &self.hosts;
        self.reports.retain(|host, _| hosts.contains_key(host));
    }

    /// Updates the lost shards and the time since when each has been lost.
    fn update_lost_shards(&mut self, now: Timestamp, current: &ClaimMap) {
        if now.since(self.lost_checked_at) < LOST_CHECK_INTERVAL {
            return;
        }
        self.lost_checked_at = now;
        let mut lost = current.lost_shards(&self.reports);
        lost.retain(|it| self.has_majority_of_reports(*it, current));
        self.lost_since.retain(|shard, _| lost.contains(shard));
        for shard in lost {
            self.lost_since.entry(shard).or_insert(now);
        }
    }

    /// Returns whether more than half of a lost shard's replicas have reported under the current
    /// map, and likewise of the replicas that the shard is being copied from.
    ///
    /// A silent replica does not prove that its records are lost: behind a network partition it may
    /// continue to grant keys, and for longer than a reopened shard refuses keys without a ticket.
    fn has_majority_of_reports(&self, number: ShardNumber, current: &ClaimMap) -> bool {
        let Some(shard) = current.shard(number) else { return false };
        let replicas = shard.replicas.iter().map(|it| it.host).collect();
        let previous = match &shard.previous {
            PreviousReplicas::CopyFrom(it) => it.replicas.clone(),
            PreviousReplicas::None => Vec::new(),
        };
        let has_reported = |host: &HostId| {
            self.reports.get(host).is_some_and(|it| it.map_epoch >= current.epoch())
        };
        let has_majority = |hosts: &Vec<HostId>| {
            let silent = hosts.iter().filter(|it| !has_reported(it)).count();
            hosts.is_empty() || silent * 2 < hosts.len()
        };
        [replicas, previous].iter().all(has_majority)
    }
}
