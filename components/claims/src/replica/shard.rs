//! One shard of a claim replica, across changes of its epoch.

use ids::{HostId, Incarnation, KeyDigest, Timestamp, WallTime};
use schema::claims::{
    ClaimShard, CopyPage, CopyPurpose, CopyRequest, FinishRequest, HandOverPage, PreviousReplicas,
};

use super::{
    copy::CopyProgress,
    hand_over::HandOver,
    shard_epoch::{Mode, ShardEpoch},
};
use crate::{
    MAX_CLOCK_SKEW, ShardNumber, answer::kept_bytes, claims::Outgoing, map::replica_hosts,
};

/// Identifies a process by its host and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
}

/// A replica's state of one shard.
#[derive(Debug, Default)]
pub(super) struct ShardReplica {
    /// The shard's current epoch, if this host is a replica in it.
    pub(super) current: Option<ShardEpoch>,
    /// The sealed previous epoch, kept until all replicas of the current one have copied it.
    previous: Option<ShardEpoch>,
    /// Whether both epochs share the buffers of their answers.
    shares_answers: bool,
    /// The hand-over before a planned stop.
    hand_over: Option<HandOver>,
}

impl ShardReplica {
    /// Applies the shard's entry in a new map.
    pub(super) fn set_map(&mut self, number: ShardNumber, shard: &ClaimShard, me: ProcessId) {
        if self.current.as_ref().is_some_and(|it| it.epoch == shard.epoch) {
            self.settle(number, shard, me);
            return;
        }
        self.retire_current(shard);
        let Some(own) = shard.replicas.iter().find(|it| it.host == me.host) else { return };
        let is_first_incarnation = own.incarnation == me.incarnation;
        let mut next =
            ShardEpoch::new(shard, self.initial_mode(number, shard, me, is_first_incarnation));
        self.copy_local_records(&mut next, me.host);
        self.current = Some(next);
    }

    /// Keeps the epoch that the shard's new replicas copy, sealed, and drops any other.
    fn retire_current(&mut self, shard: &ClaimShard) {
        self.hand_over = None;
        self.shares_answers = false;
        let mut old = self.current.take().or_else(|| self.previous.take());
        self.previous = match &shard.previous {
            PreviousReplicas::CopyFrom(previous) => {
                old.take_if(|it| it.epoch == previous.epoch && it.is_complete())
            }
            PreviousReplicas::None => None,
        };
        if let Some(previous) = &mut self.previous {
            previous.mode = Mode::Sealed;
        }
    }

    /// Returns the mode in which a new epoch starts: active in a newly opened shard, unless this
    /// replica has restarted since; copying otherwise.
    fn initial_mode(
        &self,
        number: ShardNumber,
        shard: &ClaimShard,
        me: ProcessId,
        is_first_incarnation: bool,
    ) -> Mode {
        match &shard.previous {
            PreviousReplicas::CopyFrom(previous) if is_first_incarnation => {
                let copy = CopyProgress::next_epoch(number, previous.epoch, &previous.replicas);
                Mode::Copying(copy)
            }
            PreviousReplicas::None if is_first_incarnation && shard.epoch == shard.opened => {
                Mode::Active
            }
            _ => recovery(number, shard, me),
        }
    }

    /// Copies the records of the previous epoch that this host has itself.
    fn copy_local_records(&mut self, next: &mut ShardEpoch, me: HostId) {
        let Some(previous) = &self.previous else { return };
        let Mode::Copying(copy) = &mut next.mode else { return };
        if copy.purpose() != CopyPurpose::NextEpoch {
            return;
        }
        copy.mark_copied(me);
        previous.handed_over().into_iter().for_each(|it| copy.mark_copied(it));
        next.records = previous.records.clone();
        self.shares_answers = true;
        next.finish_copy();
    }

    /// Drops the previous epoch once all replicas have copied it.
    ///
    /// If this replica is still copying it, it recovers from the current epoch's other replicas
    /// instead.
    fn settle(&mut self, number: ShardNumber, shard: &ClaimShard, me: ProcessId) {
        if shard.previous != PreviousReplicas::None {
            return;
        }
        self.previous = None;
        let Some(current) = &mut self.current else { return };
        let Mode::Copying(copy) = &current.mode else { return };
        if copy.purpose() == CopyPurpose::NextEpoch {
            current.mode = recovery(number, shard, me);
        }
    }

    /// Returns whether this replica holds neither epoch.
    pub(super) fn is_empty(&self) -> bool {
        self.current.is_none() && self.previous.is_none()
    }

    pub(super) fn is_abstaining(&self) -> bool {
        self.current.as_ref().is_some_and(|it| matches!(it.mode, Mode::Copying(_)))
    }

    pub(super) fn claims(&self) -> usize {
        self.epochs().map(|it| it.records.len()).sum()
    }

    pub(super) fn answer_bytes(&self) -> usize {
        let previous = self.previous.as_ref().filter(|_| !self.shares_answers);
        self.current.iter().chain(previous).map(|it| it.records.answer_bytes()).sum()
    }

    /// Returns whether the current epoch has a record of the key.
    pub(super) fn has_record(&self, key: KeyDigest) -> bool {
        self.current.as_ref().is_some_and(|it| it.record(key).is_some())
    }

    /// Stores an outcome in both epochs, with the same answer.
    pub(super) fn finish(
        &mut self,
        wall: WallTime,
        expiry_cutoff: WallTime,
        max_answer: usize,
        mut req: FinishRequest,
    ) {
        if let Some(current) = &mut self.current {
            current.finish(wall, expiry_cutoff, max_answer, &req);
        }
        let Some(previous) = &mut self.previous else { return };
        let known = self.current.as_ref().and_then(|it| it.answer(req.key));
        if let Some(answer) = known {
            req.answer = answer.clone();
        }
        let used_bytes = if self.shares_answers { 0 } else { known.map_or(0, kept_bytes) };
        previous.finish(wall, expiry_cutoff, max_answer.saturating_sub(used_bytes), &req);
    }

    pub(super) fn epochs(&self) -> impl Iterator<Item = &ShardEpoch> {
        self.current.iter().chain(&self.previous)
    }

    pub(super) fn epochs_mut(&mut self) -> impl Iterator<Item = &mut ShardEpoch> {
        self.current.iter_mut().chain(&mut self.previous)
    }

    /// Returns the page that a replica asks for; seals the epoch if it is copied to a later one.
    pub(super) fn handle_copy(
        &mut self,
        from: ProcessId,
        wall: WallTime,
        expiry_cutoff: WallTime,
        req: &CopyRequest,
    ) -> Option<CopyPage> {
        let epoch = self.epochs_mut().find(|it| it.epoch == req.epoch)?;
        match req.purpose {
            CopyPurpose::Recover => epoch.admit_recovery(from)?,
            CopyPurpose::NextEpoch => epoch.seal()?,
        }
        let page = epoch.records.page(&req.cursor);
        Some(CopyPage {
            shard: req.shard,
            epoch: req.epoch,
            cursor: req.cursor.clone(),
            wall,
            forgotten: expiry_cutoff,
            starts: epoch.incarnations(),
            handed_over: epoch.handed_over(),
            records: page.records,
            last: page.last,
        })
    }

    /// Merges a page of a copy and asks for the next one.
    pub(super) fn handle_copy_page(
        &mut self,
        from: ProcessId,
        capacity: Capacity,
        page: CopyPage,
    ) -> Option<Outgoing> {
        if page.records.len() > capacity.claims {
            return None;
        }
        let current = self.current.as_mut()?;
        let Mode::Copying(copy) = &mut current.mode else { return None };
        if !copy.accepts(from.host, from.incarnation, &page) {
            return copy.request(from.host);
        }
        copy.advance(from.host, &page);
        let next = copy.request(from.host);
        let recovers = copy.purpose() == CopyPurpose::Recover;
        if recovers {
            page.starts.iter().for_each(|it| current.record_incarnation(it.host, it.incarnation));
        }
        current.merge(page.records, capacity.answer_bytes);
        current.finish_copy();
        next
    }

    /// Returns the outstanding pages of a hand-over or requests of a copy, if they are due.
    pub(super) fn tick(&mut self, now: Timestamp, retry_interval: ids::Millis) -> Vec<Outgoing> {
        if let Some(hand_over) = &mut self.hand_over
            && hand_over.next_retry <= now
        {
            hand_over.next_retry = now + retry_interval;
            return hand_over.pages();
        }
        let Some(current) = &mut self.current else { return Vec::new() };
        let Mode::Copying(copy) = &mut current.mode else { return Vec::new() };
        if copy.next_retry > now {
            return Vec::new();
        }
        copy.next_retry = now + retry_interval;
        copy.requests()
    }

    /// Returns when `tick` has something to send.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        if let Some(hand_over) = self.hand_over.as_ref().filter(|it| !it.is_complete()) {
            return Some(hand_over.next_retry);
        }
        match &self.current.as_ref()?.mode {
            Mode::Copying(copy) => Some(copy.next_retry),
            Mode::Active | Mode::Sealed => None,
        }
    }

    /// Seals the current epoch and starts to hand its records over.
    pub(super) fn drain(&mut self, number: ShardNumber, me: HostId) {
        let Some(current) = &mut self.current else { return };
        if current.seal().is_none() || self.hand_over.is_some() {
            return;
        }
        let others: Vec<_> = current.replicas.iter().copied().filter(|it| *it != me).collect();
        let records = current.records.clone();
        self.hand_over = Some(HandOver::new(number, current.epoch, records, &others));
    }

    /// Returns whether no hand-over is in progress.
    pub(super) fn is_drained(&self) -> bool {
        self.hand_over.as_ref().is_none_or(HandOver::is_complete)
    }

    pub(super) fn hand_over_mut(&mut self) -> Option<&mut HandOver> {
        self.hand_over.as_mut()
    }

    /// Merges a page of a hand-over; returns whether it is stored.
    pub(super) fn handle_hand_over(
        &mut self,
        from: ProcessId,
        capacity: Capacity,
        page: HandOverPage,
    ) -> bool {
        let Some(current) = &mut self.current else { return false };
        let known_incarnation = current.known_incarnation(from.host);
        let is_outdated = known_incarnation.is_some_and(|it| it > from.incarnation);
        let accepts = current.epoch == page.epoch && current.is_active() && !is_outdated;
        if !accepts || page.records.len() > capacity.claims {
            return false;
        }
        current.merge(page.records, capacity.answer_bytes);
        if page.last {
            current.add_handed_over(from.host);
        }
        true
    }
}

/// How many records and bytes of answers a replica can still store.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    pub(super) claims: usize,
    pub(super) answer_bytes: usize,
}

/// Returns the mode that copies the current epoch from all other replicas of the shard.
fn recovery(number: ShardNumber, shard: &ClaimShard, me: ProcessId) -> Mode {
    let mut others = replica_hosts(shard);
    others.retain(|it| *it != me.host);
    Mode::Copying(CopyProgress::recover(number, shard.epoch, &others))
}

/// Returns whether two wall clocks differ by more than `MAX_CLOCK_SKEW`.
pub(super) fn clocks_differ(ours: WallTime, theirs: WallTime) -> bool {
    ours.since(theirs).max(theirs.since(ours)) > MAX_CLOCK_SKEW
}
