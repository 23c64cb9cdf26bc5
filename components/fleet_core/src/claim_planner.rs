//! Decides when the claim map has to change.

use std::collections::BTreeMap;

use claims::{ClaimHost, ClaimMap, ClaimsSettings, ReplicaReport, ShardEpochId, ShardNumber};
use ids::{Epoch, HostId, Millis, Timestamp, WallTime};
use schema::{
    claim_report::ClaimReport,
    claims::{ClaimMapState, PreviousReplicas},
};

/// How long the set of entry hosts must stay the same before the map follows it.
const STABLE: Millis = Millis(3_000);

/// How long a host may be away before its claims move; a restart takes less.
const AWAY: Millis = Millis(30_000);

/// How long a shard must look lost before it is opened anew.
const LOST: Millis = Millis(60_000);

/// Between two looks for lost shards.
const LOST_INTERVAL: Millis = Millis(1_000);

/// How long a proposed map may take before it is proposed again.
const RETRY: Millis = Millis(2_000);

/// Plans claim maps on the control host that leads.
#[derive(Debug, Default)]
pub struct ClaimPlanner {
    hosts: BTreeMap<HostId, KnownHost>,
    reports: BTreeMap<HostId, ReplicaReport>,
    lost_since: BTreeMap<ShardNumber, Timestamp>,
    lost_checked_at: Timestamp,
    changed_at: Timestamp,
    proposed_at: Option<Timestamp>,
    settled: Option<Settled>,
}

/// A map and hosts that were found to fit; building a map for them again would change nothing.
#[derive(Debug)]
struct Settled {
    epoch: Epoch,
    hosts: Vec<ClaimHost>,
}

/// An entry host that is live or was so lately.
#[derive(Debug, Clone)]
struct KnownHost {
    host: ClaimHost,
    last_seen: Timestamp,
}

impl ClaimPlanner {
    /// Takes in what an entry host says of its shards.
    pub fn record_report(&mut self, from: HostId, report: ClaimReport) {
        let whole = report
            .whole
            .into_iter()
            .map(|it| ShardEpochId { shard: ShardNumber(it.shard), epoch: it.epoch });
        let report = ReplicaReport { map_epoch: report.map_epoch, complete: whole.collect() };
        self.reports.insert(from, report);
    }

    /// Returns the map that should replace `current`, if it should be replaced now.
    pub fn plan(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        live: Vec<ClaimHost>,
        current: &ClaimMap,
    ) -> Option<ClaimMapState> {
        self.note_hosts(now, live);
        self.note_lost(now, current);
        let is_waiting = self.proposed_at.is_some_and(|it| now.since(it) < RETRY);
        if self.hosts.is_empty() || now.since(self.changed_at) < STABLE || is_waiting {
            return None;
        }
        let next = self.next_map(now, wall, current)?;
        self.proposed_at = Some(now);
        Some(next.state().clone())
    }

    fn next_map(&mut self, now: Timestamp, wall: WallTime, current: &ClaimMap) -> Option<ClaimMap> {
        let epoch = current.epoch().next();
        let hosts: Vec<_> = self.hosts.values().map(|it| it.host.clone()).collect();
        let lost: Vec<_> = self
            .lost_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= LOST)
            .map(|(shard, _)| *shard)
            .collect();
        if !lost.is_empty() {
            let unticketed_from = WallTime(wall.0 + ClaimsSettings::default().retention.0);
            return Some(current.reopen(epoch, &hosts, &lost, unticketed_from));
        }
        let copied = current.copied_shards(&self.reports);
        if !copied.is_empty() {
            return Some(current.settle(epoch, &copied));
        }
        let is_settled = |it: &Settled| it.epoch == current.epoch() && it.hosts == hosts;
        if self.settled.as_ref().is_some_and(is_settled) {
            return None;
        }
        let next = ClaimMap::build(epoch, &hosts, Some(current));
        if next.state().shards != current.state().shards {
            return Some(next);
        }
        self.settled = Some(Settled { epoch: current.epoch(), hosts });
        None
    }

    fn note_hosts(&mut self, now: Timestamp, live: Vec<ClaimHost>) {
        for host in live {
            let known = KnownHost { host: host.clone(), last_seen: now };
            let before = self.hosts.insert(host.host, known);
            if before.is_none() {
                self.changed_at = now;
            }
        }
        let count = self.hosts.len();
        self.hosts.retain(|_, it| now.since(it.last_seen) < AWAY);
        if self.hosts.len() < count {
            self.changed_at = now;
        }
        let hosts = &self.hosts;
        self.reports.retain(|host, _| hosts.contains_key(host));
    }

    fn note_lost(&mut self, now: Timestamp, current: &ClaimMap) {
        if now.since(self.lost_checked_at) < LOST_INTERVAL {
            return;
        }
        self.lost_checked_at = now;
        let mut lost = current.lost_shards(&self.reports);
        lost.retain(|it| self.has_forgotten(*it, current));
        self.lost_since.retain(|shard, _| lost.contains(shard));
        for shard in lost {
            self.lost_since.entry(shard).or_insert(now);
        }
    }

    /// Whether so many replicas of a lost shard say themselves that they have forgotten it that
    /// the others cannot be a majority.
    ///
    /// Silence proves nothing: replicas behind a cut may go on granting keys, for longer than
    /// keys without a ticket are refused after a shard is opened anew.
    fn has_forgotten(&self, number: ShardNumber, current: &ClaimMap) -> bool {
        let Some(shard) = current.shard(number) else { return false };
        let replicas = shard.replicas.iter().map(|it| it.host).collect();
        let previous = match &shard.previous {
            PreviousReplicas::CopyFrom(it) => it.replicas.clone(),
            PreviousReplicas::None => Vec::new(),
        };
        let reports_at = |host: &HostId| {
            self.reports.get(host).is_some_and(|it| it.map_epoch >= current.epoch())
        };
        let blocks_majority = |hosts: &Vec<HostId>| {
            let silent = hosts.iter().filter(|it| !reports_at(it)).count();
            hosts.is_empty() || silent * 2 < hosts.len()
        };
        [replicas, previous].iter().all(blocks_majority)
    }
}
