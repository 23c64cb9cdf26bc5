//! A claim replica: grants each key to one claimant and keeps the outcome.

mod copy;
mod hand_over;
mod record;
mod shard;
mod shard_epoch;

use std::collections::BTreeMap;

use ids::{HostId, Incarnation, Millis, Timestamp, WallTime};
use schema::claims::{
    CheckRequest, ClaimReply, ClaimRequest, ClaimVerdict, ClaimsMessage, CopyPage, CopyRequest,
    FinishAck, FinishRequest, HandOverAck, HandOverPage, Refusal, ReleaseRequest,
};

use self::shard::{Capacity, ProcessId, ShardReplica, clocks_differ};
use crate::{ClaimMap, ReplicaSettings, ShardEpochNumber, ShardNumber, claims::Outgoing};

/// How often records are searched for those that may be forgotten.
const EXPIRY_SWEEP_INTERVAL: Millis = Millis(1_000);

/// The claims that one process holds for the fleet, in memory.
#[derive(Debug)]
pub struct ClaimReplica {
    me: ProcessId,
    settings: ReplicaSettings,
    retention: Millis,
    shards: BTreeMap<ShardNumber, ShardReplica>,
    /// Keys minted until then are refused, for their records may be gone.
    expiry_cutoff: WallTime,
    next_sweep: Timestamp,
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
            me: ProcessId { host: me, incarnation },
            settings,
            retention,
            shards: BTreeMap::new(),
            expiry_cutoff: WallTime(0),
            next_sweep: Timestamp(0),
        }
    }

    /// Takes in a map with a higher epoch.
    pub(crate) fn set_map(&mut self, now: Timestamp, map: &ClaimMap) -> Vec<Outgoing> {
        for (number, shard) in map.shards() {
            let me = self.me;
            let is_replica = shard.replicas.iter().any(|it| it.host == me.host);
            if is_replica || self.shards.contains_key(&number) {
                self.shards.entry(number).or_default().set_map(number, shard, me);
            }
        }
        self.shards.retain(|_, it| !it.is_empty());
        self.send_due_pages(now)
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

    /// How much more can be taken in; copies may take twice what claims may.
    fn free_capacity(&self) -> Capacity {
        let usage = self.usage();
        let max_bytes = usize::try_from(self.settings.max_answer_bytes.0).unwrap_or(usize::MAX);
        Capacity {
            claims: (2 * self.settings.max_claims).saturating_sub(usage.claims),
            answer_bytes: max_bytes.saturating_sub(usage.answer_bytes),
        }
    }

    /// The shards in which this replica may have forgotten grants, or lacks those of others.
    pub(crate) fn abstaining(&self) -> Vec<ShardNumber> {
        let abstaining = self.shards.iter().filter(|(_, it)| it.is_abstaining());
        abstaining.map(|(number, _)| *number).collect()
    }

    /// The shards, with their epochs, of which this replica knows all that it must know.
    pub(crate) fn complete_shards(&self) -> Vec<ShardEpochNumber> {
        let mut complete = Vec::new();
        for (&shard, replica) in &self.shards {
            let epochs = replica.epochs().filter(|it| it.is_complete());
            complete.extend(epochs.map(|it| ShardEpochNumber { shard, epoch: it.epoch }));
        }
        complete
    }

    pub(crate) fn handle_claim(&mut self, wall: WallTime, req: &ClaimRequest) -> Vec<Outgoing> {
        self.advance_expiry(wall);
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
        let current = shard.and_then(|it| it.current.as_ref());
        current.and_then(|it| it.record(req.key)).map(|it| it.round).unwrap_or_default()
    }

    fn verdict(&mut self, wall: WallTime, req: &ClaimRequest) -> Option<ClaimVerdict> {
        let has_capacity = self.usage().claims < self.settings.max_claims;
        let shard = self.shards.get_mut(&ShardNumber(req.shard));
        let Some(current) = shard.and_then(|it| it.current.as_mut()) else {
            return Some(ClaimVerdict::Refused(Refusal::WrongEpoch));
        };
        if let Some(refusal) = current.refusal(wall, self.expiry_cutoff, req) {
            return Some(ClaimVerdict::Refused(refusal));
        }
        current.claim(wall, has_capacity, req)
    }

    pub(crate) fn handle_release(&mut self, req: &ReleaseRequest) {
        if let Some(shard) = self.shards.get_mut(&ShardNumber(req.shard)) {
            shard.epochs_mut().for_each(|it| it.release(req));
        }
    }

    /// Stores an outcome; it is acknowledged only where no one has begun to copy the epoch.
    pub(crate) fn handle_finish(&mut self, wall: WallTime, req: FinishRequest) -> Vec<Outgoing> {
        self.advance_expiry(wall);
        let max_answer = usize::try_from(self.settings.max_answer.0).unwrap_or(usize::MAX);
        let capacity = self.free_capacity();
        let max_answer = max_answer.min(capacity.answer_bytes);
        let number = ShardNumber(req.shard);
        let Some(shard) = self.shards.get_mut(&number) else { return Vec::new() };
        let (key, claimant) = (req.key, req.claimant.clone());
        if capacity.claims == 0 && !shard.has_record(key) {
            return Vec::new();
        }
        shard.finish(wall, self.expiry_cutoff, max_answer, req);
        let Some(current) = shard.current.as_ref().filter(|it| !it.is_sealed()) else {
            return Vec::new();
        };
        let ack =
            FinishAck { shard: number.0, epoch: current.epoch, key, request: claimant.request };
        vec![Outgoing::new(claimant.host, ClaimsMessage::FinishAck(ack))]
    }

    /// Answers a replica that copies a shard.
    pub(crate) fn handle_copy(
        &mut self,
        wall: WallTime,
        from: HostId,
        incarnation: Incarnation,
        req: &CopyRequest,
    ) -> Vec<Outgoing> {
        self.advance_expiry(wall);
        let from = ProcessId { host: from, incarnation };
        let Some(shard) = self.shards.get_mut(&ShardNumber(req.shard)) else { return Vec::new() };
        let page = shard.handle_copy(from, wall, self.expiry_cutoff, req);
        page.map(|it| Outgoing::new(from.host, ClaimsMessage::CopyPage(it))).into_iter().collect()
    }

    /// Takes in a page of a copy.
    pub(crate) fn handle_copy_page(
        &mut self,
        wall: WallTime,
        from: HostId,
        incarnation: Incarnation,
        page: CopyPage,
    ) -> Vec<Outgoing> {
        let capacity = self.free_capacity();
        let expiry_cutoff = page.forgotten;
        let from = ProcessId { host: from, incarnation };
        let Some(shard) = self.shards.get_mut(&ShardNumber(page.shard)) else { return Vec::new() };
        if clocks_differ(wall, page.wall) {
            return Vec::new();
        }
        self.expiry_cutoff = self.expiry_cutoff.max(expiry_cutoff);
        shard.handle_copy_page(from, capacity, page).into_iter().collect()
    }

    /// Takes in a page of a stopping replica's hand-over.
    pub(crate) fn handle_hand_over(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        page: HandOverPage,
    ) -> Vec<Outgoing> {
        let capacity = self.free_capacity();
        let from = ProcessId { host: from, incarnation };
        let Some(shard) = self.shards.get_mut(&ShardNumber(page.shard)) else { return Vec::new() };
        let ack = HandOverAck { shard: page.shard, epoch: page.epoch, cursor: page.cursor.clone() };
        if !shard.handle_hand_over(from, capacity, page) {
            return Vec::new();
        }
        vec![Outgoing::new(from.host, ClaimsMessage::HandOverAck(ack))]
    }

    /// Takes in that another replica has stored a page of a hand-over.
    pub(crate) fn handle_hand_over_ack(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        ack: &HandOverAck,
    ) -> Vec<Outgoing> {
        let shard = self.shards.get_mut(&ShardNumber(ack.shard));
        let hand_over = shard.and_then(ShardReplica::hand_over_mut);
        let next = hand_over.and_then(|it| it.handle_ack(from, incarnation, ack));
        next.into_iter().collect()
    }

    /// Stops granting keys and hands all shards over.
    pub(crate) fn drain(&mut self, now: Timestamp) -> Vec<Outgoing> {
        for (number, shard) in &mut self.shards {
            shard.drain(*number, self.me.host);
        }
        self.send_due_pages(now)
    }

    /// Whether nothing is left to hand over.
    pub(crate) fn is_drained(&self) -> bool {
        self.shards.values().all(ShardReplica::is_drained)
    }

    /// Marks the claims of processes on `host` up to `newest` as lost.
    pub(crate) fn host_lost(&mut self, host: HostId, newest: Incarnation) {
        let epochs = self.shards.values_mut().flat_map(ShardReplica::epochs_mut);
        epochs.for_each(|it| it.records.mark_host_lost(host, newest));
    }

    pub(crate) fn tick(&mut self, now: Timestamp, wall: WallTime) -> Vec<Outgoing> {
        if self.next_sweep <= now {
            self.next_sweep = now + EXPIRY_SWEEP_INTERVAL;
            self.sweep_expired(wall);
        }
        self.send_due_pages(now)
    }

    fn sweep_expired(&mut self, wall: WallTime) {
        self.advance_expiry(wall);
        for epoch in self.shards.values_mut().flat_map(ShardReplica::epochs_mut) {
            epoch.records.remove_expired(self.expiry_cutoff);
            epoch.records.mark_overdue_lost(wall, self.settings.hold_limit);
        }
    }

    fn send_due_pages(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let retry = self.settings.copy_retry;
        self.shards.values_mut().flat_map(|it| it.tick(now, retry)).collect()
    }

    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        let pages = self.shards.values().filter_map(ShardReplica::next_wakeup).min();
        let sweep = (self.usage().claims > 0).then_some(self.next_sweep);
        [pages, sweep].into_iter().flatten().min()
    }

    /// Moves the time up to which keys are forgotten; it never goes back.
    fn advance_expiry(&mut self, wall: WallTime) {
        let expiry_cutoff = WallTime(wall.0.saturating_sub(self.retention.0));
        self.expiry_cutoff = self.expiry_cutoff.max(expiry_cutoff);
    }
}
