//! Detection of copied and lost shards from the reports of replicas.

use std::collections::BTreeMap;

use ids::{Epoch, HostId};
use schema::claims::{ClaimShard, PreviousReplicas};

use super::{ClaimMap, quorum, replica_hosts};
use crate::ShardNumber;

/// A shard in one of its epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardEpochId {
    /// The shard.
    pub shard: ShardNumber,
    /// Its epoch.
    pub epoch: Epoch,
}

/// A live host's report on the shards that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The epoch of the host's claim map.
    pub map_epoch: Epoch,
    /// The shards, with their epochs, of which the host has all records that it needs.
    pub complete: Vec<ShardEpochId>,
}

impl ClaimMap {
    /// Returns the unsettled shards whose replicas have all copied the previous epoch.
    pub fn copied_shards(&self, reports: &BTreeMap<HostId, ReplicaReport>) -> Vec<ShardNumber> {
        let is_complete = |shard: ShardEpochId, host: &HostId| {
            reports.get(host).is_some_and(|it| it.complete.contains(&shard))
        };
        let unsettled = self.shards().filter(|(_, it)| it.previous != PreviousReplicas::None);
        let copied = unsettled.filter(|(number, shard)| {
            let wanted = ShardEpochId { shard: *number, epoch: shard.epoch };
            replica_hosts(shard).iter().all(|it| is_complete(wanted, it))
        });
        copied.map(|(number, _)| number).collect()
    }

    /// Returns the shards that can't grant keys any more until they are reopened.
    ///
    /// A majority of their replicas, and of those of the epoch that is being copied if there is
    /// one, has lost its records or is not among the live hosts, which the reports are from. A host
    /// with an older map is assumed to have the records.
    pub fn lost_shards(&self, reports: &BTreeMap<HostId, ReplicaReport>) -> Vec<ShardNumber> {
        let lost = self.shards().filter(|(number, it)| self.is_lost(*number, it, reports));
        lost.map(|(number, _)| number).collect()
    }

    fn is_lost(
        &self,
        number: ShardNumber,
        shard: &ClaimShard,
        reports: &BTreeMap<HostId, ReplicaReport>,
    ) -> bool {
        let has_majority = |replicas: &[HostId], epoch: Epoch| {
            let wanted = ShardEpochId { shard: number, epoch };
            let may_hold_records = |host: &&HostId| {
                let report = reports.get(host);
                report
                    .is_some_and(|it| it.map_epoch < self.epoch() || it.complete.contains(&wanted))
            };
            replicas.iter().filter(may_hold_records).count() >= quorum(replicas.len())
        };
        if has_majority(&replica_hosts(shard), shard.epoch) {
            return false;
        }
        match &shard.previous {
            PreviousReplicas::CopyFrom(it) => !has_majority(&it.replicas, it.epoch),
            PreviousReplicas::None => true,
        }
    }
}
