//! The claim map: which hosts hold the claim on a key.

mod build;
mod repair;

use std::collections::BTreeMap;

use ids::{DataCentreName, Epoch, HostId, KeyDigest};
use schema::claims::{ClaimHome, ClaimMapState, ClaimShard, PreviousReplicas};

pub use self::{
    build::ClaimHost,
    repair::{ReplicaReport, ShardEpochNumber},
};
use crate::{ClaimKey, ShardNumber};

/// How many replicas a shard has where there are enough hosts.
pub const REPLICAS_PER_SHARD: usize = 3;

/// How many shards each data centre has, and the fleet for keys without a ticket.
pub const SHARDS_PER_HOME: usize = 64;

/// Which hosts hold which claims; replaced as a whole, under a higher epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimMap {
    state: ClaimMapState,
    /// The shards of keys without a ticket.
    fleet: Vec<ShardNumber>,
    by_home: BTreeMap<DataCentreName, Vec<ShardNumber>>,
}

impl ClaimMap {
    /// A map without shards, older than any other.
    pub fn empty() -> Self {
        Self::from_state(ClaimMapState { epoch: Epoch(0), shards: Vec::new() })
    }

    /// The map as replicated state holds it.
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

    /// The form that is replicated.
    pub fn state(&self) -> &ClaimMapState {
        &self.state
    }

    /// The map's epoch.
    pub fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// The shard that holds the claim on `key`, if its home is known.
    pub fn shard_of(&self, key: &ClaimKey) -> Option<ShardNumber> {
        let shards = match &key.ticket {
            Some(ticket) => self.by_home.get(&ticket.home)?,
            None => &self.fleet,
        };
        let index = shard_index(key.digest, shards.len())?;
        shards.get(index).copied()
    }

    /// The hosts that hold the claim on `key`.
    pub fn replicas_of(&self, key: &ClaimKey) -> Vec<HostId> {
        self.shard_of(key).and_then(|it| self.shard(it)).map(replica_hosts).unwrap_or_default()
    }

    /// The shard with this number.
    pub fn shard(&self, number: ShardNumber) -> Option<&ClaimShard> {
        self.state.shards.get(number.0 as usize)
    }

    /// All shards with their numbers.
    pub fn shards(&self) -> impl Iterator<Item = (ShardNumber, &ClaimShard)> {
        (0..).map(ShardNumber).zip(&self.state.shards)
    }
}

/// The hosts of a shard's replicas.
pub(crate) fn replica_hosts(shard: &ClaimShard) -> Vec<HostId> {
    shard.replicas.iter().map(|it| it.host).collect()
}

/// The hosts that a claim's release must reach: the replicas and those before them.
pub(crate) fn current_and_previous_hosts(shard: &ClaimShard) -> Vec<HostId> {
    let mut hosts = replica_hosts(shard);
    if let PreviousReplicas::CopyFrom(previous) = &shard.previous {
        hosts.extend(&previous.replicas);
    }
    hosts.sort();
    hosts.dedup();
    hosts
}

/// The smallest number of replicas that any two such groups share a member.
pub(crate) fn quorum(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Spreads digests evenly over `len` positions.
fn shard_index(digest: KeyDigest, len: usize) -> Option<usize> {
    let mut head = [0; 8];
    head.copy_from_slice(&digest.0[..8]);
    let spread = u64::from_be_bytes(head).checked_rem(len as u64)?;
    usize::try_from(spread).ok()
}
