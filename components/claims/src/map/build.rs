//! Building of claim maps from the live hosts and the previous map.

use std::collections::BTreeSet;

use ids::{DataCentreName, Epoch, HostId, Incarnation, KeyDigest, RegionName, WallTime};
use schema::claims::{
    ClaimHome, ClaimMapState, ClaimShard, PreviousEpoch, PreviousReplicas, ReplicaStart,
};

use super::{ClaimMap, REPLICAS_PER_SHARD, SHARDS_PER_HOME, quorum};
use crate::ShardNumber;

/// A live host that can hold claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimHost {
    /// The host.
    pub host: HostId,
    /// The incarnation of the process that runs on it.
    pub incarnation: Incarnation,
    /// The host's data centre.
    pub data_centre: DataCentreName,
    /// The data centre's region.
    pub region: RegionName,
}

impl ClaimMap {
    /// Builds the map for the live `hosts`, with as few changes to the previous map as possible.
    ///
    /// A shard that has lost a minority of its replicas gets new ones, which copy its records
    /// before they grant keys. A shard that has lost a majority stays unchanged until it is
    /// reopened.
    pub fn build(epoch: Epoch, hosts: &[ClaimHost], previous: Option<&ClaimMap>) -> Self {
        let mut shards = previous.map(|it| it.state.shards.clone()).unwrap_or_default();
        for (number, shard) in (0..).map(ShardNumber).zip(&mut shards) {
            replace_lost_replicas(epoch, number, shard, hosts);
        }
        for home in new_homes(hosts, &shards) {
            for _ in 0..SHARDS_PER_HOME {
                let number = ShardNumber(u32::try_from(shards.len()).unwrap_or(u32::MAX));
                let chosen = choose_replicas(number, &home, hosts, &[]);
                shards.push(empty_shard(epoch, home.clone(), chosen, WallTime(0)));
            }
        }
        Self::from_state(ClaimMapState { epoch, shards })
    }

    /// Marks shards as settled: their replicas have all copied the previous epoch, which can now be
    /// dropped.
    pub fn settle(&self, epoch: Epoch, settled: &[ShardNumber]) -> Self {
        let mut shards = self.state.shards.clone();
        for number in settled {
            if let Some(shard) = shards.get_mut(number.0 as usize) {
                shard.previous = PreviousReplicas::None;
            }
        }
        Self::from_state(ClaimMapState { epoch, shards })
    }

    /// Reopens the `lost` shards empty, after a majority of their replicas has lost its records.
    ///
    /// They refuse keys with a ticket of an earlier epoch, and keys without a ticket until
    /// `unticketed_from`, which must be `retention` after the last claim at the old replicas.
    pub fn reopen(
        &self,
        epoch: Epoch,
        hosts: &[ClaimHost],
        lost: &[ShardNumber],
        unticketed_from: WallTime,
    ) -> Self {
        let mut shards = self.state.shards.clone();
        for number in lost {
            if let Some(shard) = shards.get_mut(number.0 as usize) {
                let chosen = choose_replicas(*number, &shard.home, hosts, &[]);
                *shard = empty_shard(epoch, shard.home.clone(), chosen, unticketed_from);
            }
        }
        Self::from_state(ClaimMapState { epoch, shards })
    }
}

fn empty_shard(
    epoch: Epoch,
    home: ClaimHome,
    replicas: Vec<ReplicaStart>,
    unticketed_from: WallTime,
) -> ClaimShard {
    ClaimShard {
        home,
        epoch,
        opened: epoch,
        unticketed_from,
        replicas,
        previous: PreviousReplicas::None,
    }
}

/// Returns the homes of hosts that have no shards yet.
fn new_homes(hosts: &[ClaimHost], shards: &[ClaimShard]) -> Vec<ClaimHome> {
    let names: BTreeSet<_> = hosts.iter().map(|it| it.data_centre.clone()).collect();
    let mut homes = Vec::new();
    if !names.is_empty() {
        homes.push(ClaimHome::Fleet);
    }
    homes.extend(names.into_iter().map(ClaimHome::DataCentre));
    homes.retain(|home| shards.iter().all(|it| it.home != *home));
    homes
}

/// Replaces the lost replicas of a settled shard that has kept a majority.
fn replace_lost_replicas(
    epoch: Epoch,
    number: ShardNumber,
    shard: &mut ClaimShard,
    hosts: &[ClaimHost],
) {
    if shard.previous != PreviousReplicas::None {
        return;
    }
    let live = |host| hosts.iter().any(|it: &ClaimHost| it.host == host);
    let (kept, lost): (Vec<_>, Vec<_>) =
        shard.replicas.iter().cloned().partition(|it| live(it.host));
    if kept.len() < quorum(shard.replicas.len()) {
        return;
    }
    let chosen = choose_replicas(number, &shard.home, hosts, &kept);
    let unchanged = lost.is_empty() && chosen.len() == shard.replicas.len();
    if unchanged || chosen.len() < shard.replicas.len() {
        return;
    }
    let replicas = shard.replicas.iter().map(|it| it.host).collect();
    let copied = PreviousEpoch { epoch: shard.epoch, replicas };
    shard.previous = PreviousReplicas::CopyFrom(copied);
    shard.epoch = epoch;
    shard.replicas = chosen;
}

/// Chooses a shard's replicas: the kept ones first, then other hosts by cost and rendezvous hash.
///
/// The replicas of a data centre's shard are in it, or in its region if it has too few hosts. Those
/// of the fleet's shards are in different data centres as far as possible.
fn choose_replicas(
    number: ShardNumber,
    home: &ClaimHome,
    hosts: &[ClaimHost],
    kept: &[ReplicaStart],
) -> Vec<ReplicaStart> {
    let mut chosen: Vec<&ClaimHost> =
        hosts.iter().filter(|it| kept.iter().any(|kept| kept.host == it.host)).collect();
    chosen.truncate(REPLICAS_PER_SHARD);
    let mut others: Vec<_> =
        hosts.iter().filter(|it| chosen.iter().all(|other| other.host != it.host)).collect();
    others.sort_by_key(|it| rendezvous_weight(number, it.host));
    while chosen.len() < REPLICAS_PER_SHARD {
        let ranked = others.iter().enumerate();
        let cheapest =
            ranked.min_by_key(|(rank, it)| (placement_cost(home, it, hosts, &chosen), *rank));
        let Some((rank, _)) = cheapest else { break };
        let next = others.remove(rank);
        if placement_cost(home, next, hosts, &chosen) == INELIGIBLE {
            break;
        }
        chosen.push(next);
    }
    let mut replicas: Vec<_> = chosen
        .into_iter()
        .map(|it| ReplicaStart { host: it.host, incarnation: it.incarnation })
        .collect();
    replicas.sort_by_key(|it| it.host);
    replicas
}

/// The cost of a host that can't be a replica of a shard.
const INELIGIBLE: usize = usize::MAX;

/// Returns the cost of placing a replica of a shard of `home` on `host`; lower is better.
fn placement_cost(
    home: &ClaimHome,
    host: &ClaimHost,
    hosts: &[ClaimHost],
    chosen: &[&ClaimHost],
) -> usize {
    let ClaimHome::DataCentre(name) = home else {
        return chosen.iter().filter(|it| it.data_centre == host.data_centre).count();
    };
    if host.data_centre == *name {
        return 0;
    }
    let region = hosts.iter().find(|it| it.data_centre == *name).map(|it| &it.region);
    if region.is_some_and(|it| *it == host.region) { 1 } else { INELIGIBLE }
}

/// Returns the rendezvous hash weight of a host for a shard; the lowest is chosen first.
fn rendezvous_weight(number: ShardNumber, host: HostId) -> KeyDigest {
    let mut data = [0; 8];
    data[..4].copy_from_slice(&number.0.to_be_bytes());
    data[4..].copy_from_slice(&host.0.to_be_bytes());
    KeyDigest::of(&data)
}
