//! One shard of a claim replica, across a change of its epoch.

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

/// A process and its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
}

/// What a replica knows of one shard.
#[derive(Debug, Default)]
pub(super) struct ShardReplica {
    /// The epoch that this host is a replica of.
    pub(super) current: Option<ShardEpoch>,
    /// The epoch before, kept until its replicas' successors have copied it.
    retired: Option<ShardEpoch>,
    /// Whether the answers of the epoch before are the same buffers as those of the current one.
    shares_answers: bool,
    hand_over: Option<HandOver>,
}

impl ShardReplica {
    /// Takes in the shard as a new map has it.
    pub(super) fn set_map(&mut self, number: ShardNumber, shard: &ClaimShard, me: Process) {
        if self.current.as_ref().is_some_and(|it| it.epoch == shard.epoch) {
            self.settle(number, shard, me);
            return;
        }
        self.retire(shard);
        let Some(own) = shard.replicas.iter().find(|it| it.host == me.host) else { return };
        let first_start = own.incarnation == me.incarnation;
        let mut next = ShardEpoch::new(shard, self.first_mode(number, shard, me, first_start));
        self.copy_own(&mut next, me.host);
        self.current = Some(next);
    }

    /// Keeps the epoch that the shard's next replicas copy, and drops any other.
    fn retire(&mut self, shard: &ClaimShard) {
        self.hand_over = None;
        self.shares_answers = false;
        let mut old = self.current.take().or_else(|| self.retired.take());
        self.retired = match &shard.previous {
            PreviousReplicas::CopyFrom(previous) => {
                old.take_if(|it| it.epoch == previous.epoch && it.knows_all())
            }
            PreviousReplicas::None => None,
        };
        if let Some(retired) = &mut self.retired {
            retired.mode = Mode::Sealed;
        }
    }

    /// What has to happen before keys are granted in a new epoch.
    fn first_mode(
        &self,
        number: ShardNumber,
        shard: &ClaimShard,
        me: Process,
        first_start: bool,
    ) -> Mode {
        match &shard.previous {
            PreviousReplicas::CopyFrom(previous) if first_start => {
                let copy = CopyProgress::next_epoch(number, previous.epoch, &previous.replicas);
                Mode::Copying(copy)
            }
            PreviousReplicas::None if first_start && shard.epoch == shard.opened => Mode::Whole,
            _ => recovery(number, shard, me),
        }
    }

    /// Copies what this host itself knows of the epoch before.
    fn copy_own(&mut self, next: &mut ShardEpoch, me: HostId) {
        let Some(retired) = &self.retired else { return };
        let Mode::Copying(copy) = &mut next.mode else { return };
        if copy.purpose() != CopyPurpose::NextEpoch {
            return;
        }
        copy.mark_done(me);
        retired.handed_over().into_iter().for_each(|it| copy.mark_done(it));
        next.records = retired.records.clone();
        self.shares_answers = true;
        next.finish_copy();
    }

    /// Drops the epoch before, once all replicas have copied it.
    fn settle(&mut self, number: ShardNumber, shard: &ClaimShard, me: Process) {
        if shard.previous != PreviousReplicas::None {
            return;
        }
        self.retired = None;
        let Some(current) = &mut self.current else { return };
        let Mode::Copying(copy) = &current.mode else { return };
        if copy.purpose() == CopyPurpose::NextEpoch {
            current.mode = recovery(number, shard, me);
        }
    }

    /// Whether neither epoch is held here.
    pub(super) fn is_empty(&self) -> bool {
        self.current.is_none() && self.retired.is_none()
    }

    pub(super) fn is_abstaining(&self) -> bool {
        self.current.as_ref().is_some_and(|it| matches!(it.mode, Mode::Copying(_)))
    }

    pub(super) fn claims(&self) -> usize {
        self.epochs().map(|it| it.records.len()).sum()
    }

    pub(super) fn answer_bytes(&self) -> usize {
        let retired = self.retired.as_ref().filter(|_| !self.shares_answers);
        self.current.iter().chain(retired).map(|it| it.records.answer_bytes()).sum()
    }

    /// Whether a record of the key is held in the current epoch.
    pub(super) fn has_record(&self, key: KeyDigest) -> bool {
        self.current.as_ref().is_some_and(|it| it.record(key).is_some())
    }

    /// Stores an outcome in both epochs.
    pub(super) fn finish(
        &mut self,
        wall: WallTime,
        forgotten: WallTime,
        max_answer: usize,
        mut req: FinishRequest,
    ) {
        if let Some(current) = &mut self.current {
            current.finish(wall, forgotten, max_answer, &req);
        }
        let Some(retired) = &mut self.retired else { return };
        let known = self.current.as_ref().and_then(|it| it.answer(req.key));
        if let Some(answer) = known {
            req.answer = answer.clone();
        }
        let taken = if self.shares_answers { 0 } else { known.map_or(0, kept_bytes) };
        retired.finish(wall, forgotten, max_answer.saturating_sub(taken), &req);
    }

    pub(super) fn epochs(&self) -> impl Iterator<Item = &ShardEpoch> {
        self.current.iter().chain(&self.retired)
    }

    pub(super) fn epochs_mut(&mut self) -> impl Iterator<Item = &mut ShardEpoch> {
        self.current.iter_mut().chain(&mut self.retired)
    }

    /// Answers a replica that copies the shard; seals the epoch when a later one is filled.
    pub(super) fn handle_copy(
        &mut self,
        from: Process,
        wall: WallTime,
        forgotten: WallTime,
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
            forgotten,
            starts: epoch.starts(),
            handed_over: epoch.handed_over(),
            records: page.records,
            last: page.last,
        })
    }

    /// Takes in a page of a copy and asks for the next one.
    pub(super) fn handle_page(
        &mut self,
        from: Process,
        room: Room,
        page: CopyPage,
    ) -> Option<Outgoing> {
        if page.records.len() > room.claims {
            return None;
        }
        let current = self.current.as_mut()?;
        let Mode::Copying(copy) = &mut current.mode else { return None };
        if !copy.expects(from.host, from.incarnation, &page) {
            return copy.request(from.host);
        }
        copy.advance(from.host, &page);
        let next = copy.request(from.host);
        let recovers = copy.purpose() == CopyPurpose::Recover;
        if recovers {
            page.starts.iter().for_each(|it| current.learn_start(it.host, it.incarnation));
        }
        current.merge(page.records, room.answer_bytes);
        current.finish_copy();
        next
    }

    /// Asks again for the pages of a copy, or sends again those of a hand-over.
    pub(super) fn tick(&mut self, now: Timestamp, retry: ids::Millis) -> Vec<Outgoing> {
        if let Some(hand_over) = &mut self.hand_over
            && hand_over.next_try <= now
        {
            hand_over.next_try = now + retry;
            return hand_over.pages();
        }
        let Some(current) = &mut self.current else { return Vec::new() };
        let Mode::Copying(copy) = &mut current.mode else { return Vec::new() };
        if copy.next_try > now {
            return Vec::new();
        }
        copy.next_try = now + retry;
        copy.requests()
    }

    /// When `tick` has something to send.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        if let Some(hand_over) = self.hand_over.as_ref().filter(|it| !it.is_complete()) {
            return Some(hand_over.next_try);
        }
        match &self.current.as_ref()?.mode {
            Mode::Copying(copy) => Some(copy.next_try),
            Mode::Whole | Mode::Sealed => None,
        }
    }

    /// Stops granting keys and starts to hand the records over.
    pub(super) fn drain(&mut self, number: ShardNumber, me: HostId) {
        let Some(current) = &mut self.current else { return };
        if current.seal().is_none() || self.hand_over.is_some() {
            return;
        }
        let others: Vec<_> = current.replicas.iter().copied().filter(|it| *it != me).collect();
        let records = current.records.clone();
        self.hand_over = Some(HandOver::new(number, current.epoch, records, &others));
    }

    /// Whether nothing is left to hand over.
    pub(super) fn is_drained(&self) -> bool {
        self.hand_over.as_ref().is_none_or(HandOver::is_complete)
    }

    pub(super) fn hand_over_mut(&mut self) -> Option<&mut HandOver> {
        self.hand_over.as_mut()
    }

    /// Takes in a page of a hand-over; returns whether it is stored.
    pub(super) fn handle_hand_over(
        &mut self,
        from: Process,
        room: Room,
        page: HandOverPage,
    ) -> bool {
        let Some(current) = &mut self.current else { return false };
        let known_start = current.known_start(from.host);
        let is_outdated = known_start.is_some_and(|it| it > from.incarnation);
        let accepts = current.epoch == page.epoch && current.is_whole() && !is_outdated;
        if !accepts || page.records.len() > room.claims {
            return false;
        }
        current.merge(page.records, room.answer_bytes);
        if page.last {
            current.add_handed_over(from.host);
        }
        true
    }
}

/// How much more a replica can take in.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    pub(super) claims: usize,
    pub(super) answer_bytes: usize,
}

/// A copy from all other replicas of the shard.
fn recovery(number: ShardNumber, shard: &ClaimShard, me: Process) -> Mode {
    let mut others = replica_hosts(shard);
    others.retain(|it| *it != me.host);
    Mode::Copying(CopyProgress::recover(number, shard.epoch, &others))
}

/// Whether two wall clocks differ too much for one host to trust the other's times.
pub(super) fn clocks_differ(ours: WallTime, theirs: WallTime) -> bool {
    ours.since(theirs).max(theirs.since(ours)) > MAX_CLOCK_SKEW
}
