//! A claim replica: grants each key to one claimant and keeps the outcome.

mod record;
mod shard;

use std::collections::BTreeMap;

use ids::{HostId, Incarnation, Millis, Timestamp, WallTime};
use schema::claims::{
    CheckRequest, ClaimReply, ClaimRequest, ClaimVerdict, ClaimsMessage, FinishAck, FinishRequest,
    Refusal, ReleaseRequest,
};

use self::shard::ShardReplica;
use crate::{ClaimMap, ReplicaSettings, ShardNumber, claims::Outgoing};

/// How often records are searched for those that may be forgotten.
const FORGET_INTERVAL: Millis = Millis(1_000);

/// The claims that one process holds for the fleet, in memory.
#[derive(Debug)]
pub struct ClaimReplica {
    me: HostId,
    incarnation: Incarnation,
    settings: ReplicaSettings,
    retention: Millis,
    map_epoch: ids::Epoch,
    shards: BTreeMap<ShardNumber, ShardReplica>,
    /// Keys minted until then are refused, for their records may be gone.
    forgotten: WallTime,
    next_forget: Timestamp,
}

/// How much a replica holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReplicaUsage {
    pub(crate) claims: usize,
    pub(crate) answer_bytes: usize,
}

impl ClaimReplica {
    pub(crate) fn new(
        me: HostId,
        incarnation: Incarnation,
        settings: ReplicaSettings,
        retention: Millis,
    ) -> Self {
        Self {
            me,
            incarnation,
            settings,
            retention,
            map_epoch: ids::Epoch(0),
            shards: BTreeMap::new(),
            forgotten: WallTime(0),
            next_forget: Timestamp(0),
        }
    }

    /// Takes in a map with a higher epoch.
    pub(crate) fn set_map(&mut self, map: &ClaimMap) {
        self.map_epoch = map.epoch();
        for (number, shard) in map.shards() {
            let own = shard.replicas.iter().find(|it| it.host == self.me);
            let Some(own) = own else {
                self.shards.remove(&number);
                continue;
            };
            let known = self.shards.get(&number).map(ShardReplica::epoch);
            if known != Some(shard.epoch) {
                let first_start = own.incarnation == self.incarnation;
                self.shards.insert(number, ShardReplica::new(shard, first_start));
            }
        }
    }

    /// How much the replica holds.
    pub(crate) fn usage(&self) -> ReplicaUsage {
        let mut usage = ReplicaUsage::default();
        for shard in self.shards.values() {
            usage.claims += shard.claims();
            usage.answer_bytes += shard.answer_bytes();
        }
        usage
    }

    /// The shards in which this replica has forgotten what it granted.
    pub(crate) fn abstaining(&self) -> Vec<ShardNumber> {
        self.shards.iter().filter(|(_, it)| !it.is_whole()).map(|(number, _)| *number).collect()
    }

    pub(crate) fn handle_claim(&mut self, wall: WallTime, req: &ClaimRequest) -> Vec<Outgoing> {
        self.advance_wall(wall);
        let verdict = self.verdict(wall, req);
        let Some(verdict) = verdict else { return Vec::new() };
        let mut out = Vec::new();
        if let ClaimVerdict::Held(held) = &verdict {
            let round = self.held_round(req);
            let check = CheckRequest {
                shard: req.shard,
                key: req.key,
                claimant: held.claimant.clone(),
                round,
            };
            out.push(Outgoing::new(held.claimant.host, ClaimsMessage::Check(check)));
        }
        let reply = ClaimReply {
            shard: req.shard,
            epoch: req.epoch,
            request: req.claimant.request,
            key: req.key,
            round: req.round,
            verdict,
        };
        out.push(Outgoing::new(req.claimant.host, ClaimsMessage::ClaimReply(reply)));
        out
    }

    fn held_round(&self, req: &ClaimRequest) -> ids::AttemptNumber {
        let shard = self.shards.get(&ShardNumber(req.shard));
        shard.and_then(|it| it.record(req.key)).map(|it| it.round).unwrap_or_default()
    }

    fn verdict(&mut self, wall: WallTime, req: &ClaimRequest) -> Option<ClaimVerdict> {
        let has_room = self.usage().claims < self.settings.max_claims;
        let Some(shard) = self.shards.get_mut(&ShardNumber(req.shard)) else {
            return Some(ClaimVerdict::Refused(Refusal::WrongEpoch));
        };
        if let Some(refusal) = shard.refusal(wall, self.map_epoch, self.forgotten, req) {
            return Some(ClaimVerdict::Refused(refusal));
        }
        shard.claim(wall, has_room, req)
    }

    pub(crate) fn handle_release(&mut self, req: &ReleaseRequest) {
        if let Some(shard) = self.shards.get_mut(&ShardNumber(req.shard)) {
            shard.release(req);
        }
    }

    pub(crate) fn handle_finish(&mut self, wall: WallTime, req: FinishRequest) -> Vec<Outgoing> {
        self.advance_wall(wall);
        let usage = self.usage();
        let Some(shard) = self.shards.get_mut(&ShardNumber(req.shard)) else { return Vec::new() };
        let ack = FinishAck {
            shard: req.shard,
            epoch: shard.epoch(),
            key: req.key,
            request: req.claimant.request,
        };
        let to = req.claimant.host;
        let free = self.settings.max_answer_bytes.0.saturating_sub(usage.answer_bytes as u64);
        let max_answer = self.settings.max_answer.0.min(free);
        shard.finish(wall, self.forgotten, max_answer, req);
        vec![Outgoing::new(to, ClaimsMessage::FinishAck(ack))]
    }

    /// Marks the claims of processes on `host` up to `newest` as lost.
    pub(crate) fn host_lost(&mut self, host: HostId, newest: Incarnation) {
        self.shards.values_mut().for_each(|it| it.lose_host(host, newest));
    }

    pub(crate) fn tick(&mut self, now: Timestamp, wall: WallTime) {
        if now < self.next_forget {
            return;
        }
        self.next_forget = now + FORGET_INTERVAL;
        self.advance_wall(wall);
        for shard in self.shards.values_mut() {
            shard.forget(self.forgotten);
            shard.lose_overdue(wall, self.settings.hold_limit);
        }
    }

    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        (self.usage().claims > 0).then_some(self.next_forget)
    }

    /// Moves the time up to which keys are forgotten; it never goes back.
    fn advance_wall(&mut self, wall: WallTime) {
        let forgotten = WallTime(wall.0.saturating_sub(self.retention.0));
        self.forgotten = self.forgotten.max(forgotten);
    }
}
