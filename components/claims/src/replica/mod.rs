//! The claim replica, which grants each key to one claimant and stores the outcome.

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
use crate::{ClaimMap, ReplicaSettings, ShardEpochId, ShardNumber, claims::Outgoing};

/// Interval between two searches for expired records and overdue claims.
const EXPIRY_SWEEP_INTERVAL: Millis = Millis(1_000);

/// The claims that one process holds in memory.
#[derive(Debug)]
pub struct ClaimReplica {
    me: ProcessId,
    settings: ReplicaSettings,
    retention: Millis,
    shards: BTreeMap<ShardNumber, ShardReplica>,
    /// Keys whose ticket was issued up to this time are refused, as their records may be removed.
    expiry_cutoff: WallTime,
    next_sweep: Timestamp,
}

/// The number of records and the size of stored answers in a replica.
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

    /// Applies a map with a higher epoch.
    pub(crate) fn set_map(&mut self, now: Timestamp, map: &ClaimMap) -> Vec<Outgoing> {
        for (number, shard) in map.shards() {
            let me = self.me;
            let is_replica = shard.replicas.iter().any(|it| it.host == me.host);
            if is_replica || self.shards.contains_key(&number) {
                self.shards.entry(number).or_default().set_map(number, shard, me);
            }
        }
        self.shards.retain(|_, it| !it.is_empty());
        self.tick_transfers(now)
    }

    /// Returns how much the replica holds.
    pub(crate) fn usage(&self) -> ReplicaUsage {
        let mut usage = ReplicaUsage::default();
        for shard in self.shards.values() {
            usage.claims += shard.claims();
            usage.answer_bytes += shard.answer_bytes();
        }
        usage
    }

    /// Returns how much more copies, hand-overs and outcomes can store.
    ///
    /// They may have twice as many records as new claims.
    fn free_capacity(&self) -> Capacity {
        let usage = self.usage();
        let max_bytes = usize::try_from(self.settings.max_answer_bytes.0).unwrap_or(usize::MAX);
        Capacity {
            claims: (2 * self.settings.max_claims).saturating_sub(usage.claims),
            answer_bytes: max_bytes.saturating_sub(usage.answer_bytes),
        }
    }

    /// Returns the shards in which this replica grants no keys because it has yet to copy records:
    /// its own earlier grants or those of others.
    pub(crate) fn abstaining(&self) -> Vec<ShardNumber> {
        let abstaining = self.shards.iter().filter(|(_, it)| it.is_abstaining());
        abstaining.map(|(number, _)| *number).collect()
    }

    /// Returns the shards, with their epochs, of which this replica has all records it needs.
    pub(crate) fn complete_shards(&self) -> Vec<ShardEpochId> {
        let mut complete = Vec::new();
        for (&shard, replica) in &self.shards {
            let epochs = replica.epochs().filter(|it| it.is_complete());
            complete.extend(epochs.map(|it| ShardEpochId { shard, epoch: it.epoch }));
        }
        complete
    }

    /// Answers a claim; if the key is held, also checks with its holder whether it still is.
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

    /// Returns the round of the claim that holds the key of `req`.
    fn held_round(&self, req: &ClaimRequest) -> ids::AttemptNumber {
        let shard = self.shards.get(&ShardNumber(req.shard));
        let current = shard.and_then(|it| it.current.as_ref());
        current.and_then(|it| it.record(req.key)).map(|it| it.round).unwrap_or_default()
    }

    /// Returns the verdict on a claim; `None` for a claim of an earlier round, which gets no reply.
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

    /// Stores an outcome; acknowledges it only if the current epoch is not sealed.
    ///
    /// A sealed epoch may already have been copied without the outcome.
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

    /// Returns the page that a replica asks for to copy a shard.
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

    /// Merges a page of a copy, unless the sender's wall clock differs too much.
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

    /// Merges a page that a stopping replica hands over.
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

    /// Handles the acknowledgement of a hand-over page and sends the next one.
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

    /// Stops granting keys and starts to hand all shards over.
    pub(crate) fn drain(&mut self, now: Timestamp) -> Vec<Outgoing> {
        for (number, shard) in &mut self.shards {
            shard.drain(*number, self.me.host);
        }
        self.tick_transfers(now)
    }

    /// Returns whether all shards are handed over.
    pub(crate) fn is_drained(&self) -> bool {
        self.shards.values().all(ShardReplica::is_drained)
    }

    /// Marks the claims of incarnations of `host` up to `newest` as lost.
    pub(crate) fn mark_host_lost(&mut self, host: HostId, newest: Incarnation) {
        let epochs = self.shards.values_mut().flat_map(ShardReplica::epochs_mut);
        epochs.for_each(|it| it.records.mark_host_lost(host, newest));
    }

    pub(crate) fn tick(&mut self, now: Timestamp, wall: WallTime) -> Vec<Outgoing> {
        if self.next_sweep <= now {
            self.next_sweep = now + EXPIRY_SWEEP_INTERVAL;
            self.sweep_expired(wall);
        }
        self.tick_transfers(now)
    }

    fn sweep_expired(&mut self, wall: WallTime) {
        self.advance_expiry(wall);
        for epoch in self.shards.values_mut().flat_map(ShardReplica::epochs_mut) {
            epoch.records.remove_expired(self.expiry_cutoff);
            epoch.records.mark_overdue_lost(wall, self.settings.hold_timeout);
        }
    }

    /// Returns the messages of copies and hand-overs that are due.
    fn tick_transfers(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let retry_interval = self.settings.copy_retry_interval;
        self.shards.values_mut().flat_map(|it| it.tick(now, retry_interval)).collect()
    }

    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        let transfer = self.shards.values().filter_map(ShardReplica::next_wakeup).min();
        let sweep = (self.usage().claims > 0).then_some(self.next_sweep);
        [transfer, sweep].into_iter().flatten().min()
    }

    /// Advances the expiry cutoff to `retention` before `wall`; it never goes back.
    fn advance_expiry(&mut self, wall: WallTime) {
        let expiry_cutoff = WallTime(wall.0.saturating_sub(self.retention.0));
        self.expiry_cutoff = self.expiry_cutoff.max(expiry_cutoff);
    }
}
