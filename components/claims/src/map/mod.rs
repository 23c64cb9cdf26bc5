//! The claim map, which assigns keys to shards and shards to replicas.

mod build;
mod repair;

use std::collections::BTreeMap;

use ids::{DataCentreName, Epoch, HostId, KeyDigest};
use schema::claims::{ClaimHome, ClaimMapState, ClaimShard, PreviousReplicas};

pub use self::{
    build::ClaimHost,
    repair::{ReplicaReport, ShardEpochId},
};
use crate::{ClaimKey, ShardNumber};

/// Number of replicas of a shard if there are enough hosts.
pub const REPLICAS_PER_SHARD: usize = 3;

/// Number of shards of each data centre, and of the fleet for keys without a ticket.
pub const SHARDS_PER_HOME: usize = 64;

/// The hosts that hold each shard's claims; replaced as a whole by a map with a higher epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimMap {
    state: ClaimMapState,
    /// The shards of keys without a ticket.
    fleet: Vec<ShardNumber>,
    /// The shards of keys with a ticket, by the ticket's data centre.
    by_home: BTreeMap<DataCentreName, Vec<ShardNumber>>,
}

impl ClaimMap {
    /// Creates a map without shards, whose epoch is lower than any other.
    pub fn empty() -> Self {
        Self::from_state(ClaimMapState { epoch: Epoch(0), shards: Vec::new() })
    }

    /// Creates a map from its replicated form.
    pub fn from_state(state: ClaimMapState) -> Self {
        let mut fleet = Vec::new();
        let mut by_home = BTreeMap::<_, Vec<_>>::new();
        for (number, shard) in (0..).zip(&state.shards) {
            match &shard.home {
                ClaimHome::DataCentre(name) => {
                    by_home.entry(name.clone()).or_default().push(ShardNumber(number));
                }
                ClaimHome::Fleet => fleet.push(ShardNumber(number)),
            }
        }
        Self { state, fleet, by_home }
    }

    /// Returns the replicated form.
    pub fn state(&self) -> &ClaimMapState {
        &self.state
    }

    /// Returns the map's epoch.
    pub fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Returns the shard of `key`, if the map has shards for its home.
    pub fn shard_of(&self, key: &ClaimKey) -> Option<ShardNumber> {
        let shards = match &key.ticket {
            Some(ticket) => self.by_home.get(&ticket.home)?,
            None => &self.fleet,
        };
        let index = shard_index(key.digest, shards.len())?;
        shards.get(index).copied()
    }

    /// Returns the hosts of the replicas of `key`'s shard.
    pub fn replicas_of(&self, key: &ClaimKey) -> Vec<HostId> {
        self.shard_of(key).and_then(|it| self.shard(it)).map(replica_hosts).unwrap_or_default()
    }

    /// Returns the shard with this number.
    pub fn shard(&self, number: ShardNumber) -> Option<&ClaimShard> {
        self.state.shards.get(number.0 as usize)
    }

    /// Iterates over all shards with their numbers.
    pub fn shards(&self) -> impl Iterator<Item = (ShardNumber, &ClaimShard)> {
        (0..).map(ShardNumber).zip(&self.state.shards)
    }
}

/// Returns the hosts of a shard's replicas.
pub(crate) fn replica_hosts(shard: &ClaimShard) -> Vec<HostId> {
    shard.replicas.iter().map(|it| it.host).collect()
}

/// Returns the hosts of a shard's replicas and of those of the epoch that is being copied.
///
/// Any of them may have granted a claim, so a release goes to all.
pub(crate) fn current_and_previous_hosts(shard: &ClaimShard) -> Vec<HostId> {
    let mut hosts = replica_hosts(shard);
    if let PreviousReplicas::CopyFrom(previous) = &shard.previous {
        hosts.extend(&previous.replicas);
    }
    hosts.sort();
    hosts.dedup();
    hosts
}

/// Returns the size of a majority: any two groups of this many replicas have one in common.
pub(crate) fn quorum(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Maps a digest to one of `len` shards, evenly.
fn shard_index(digest: KeyDigest, len: usize) -> Option<usize> {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.0[..8]);
    let index = u64::from_be_bytes(prefix).checked_rem(len as u64)?;
    usize::try_from(index).ok()
}
