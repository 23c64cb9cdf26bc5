//! One shard of a claim replica.

use std::collections::BTreeMap;

use ids::{Epoch, HostId, Incarnation, KeyDigest, Millis, WallTime};
use schema::claims::{
    ClaimRecord, ClaimRequest, ClaimShard, ClaimState, ClaimVerdict, FinishRequest, FinishedClaim,
    HeldBy, KeyAge, KeyTicket, PreviousReplicas, Refusal, ReleaseRequest, ReplicaStart,
    StoredAnswer,
};

use super::record::{Records, is_too_old};
use crate::MAX_CLOCK_SKEW;

/// Whether a replica may grant keys of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Mode {
    /// It may not know of grants that it or others have made, and abstains.
    Copying,
    /// It knows all that it must know.
    Whole,
}

/// What a replica knows of one shard in one epoch.
#[derive(Debug)]
pub(super) struct ShardReplica {
    epoch: Epoch,
    opened: Epoch,
    unticketed_from: WallTime,
    mode: Mode,
    records: Records,
    /// The newest starts of the other replicas that have recovered in this epoch.
    starts: BTreeMap<HostId, Incarnation>,
}

impl ShardReplica {
    /// The shard at its first start in this epoch, or after a restart within the epoch.
    pub(super) fn new(shard: &ClaimShard, first_start: bool) -> Self {
        let is_fresh = shard.epoch == shard.opened && shard.previous == PreviousReplicas::None;
        Self {
            epoch: shard.epoch,
            opened: shard.opened,
            unticketed_from: shard.unticketed_from,
            mode: if is_fresh && first_start { Mode::Whole } else { Mode::Copying },
            records: Records::default(),
            starts: BTreeMap::new(),
        }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(super) fn is_whole(&self) -> bool {
        self.mode == Mode::Whole
    }

    pub(super) fn claims(&self) -> usize {
        self.records.len()
    }

    pub(super) fn answer_bytes(&self) -> usize {
        self.records.answer_bytes()
    }

    pub(super) fn record(&self, key: KeyDigest) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Why the claim can't be judged here, if so.
    pub(super) fn refusal(
        &self,
        wall: WallTime,
        map_epoch: Epoch,
        forgotten: WallTime,
        req: &ClaimRequest,
    ) -> Option<Refusal> {
        if req.epoch != self.epoch {
            return Some(Refusal::WrongEpoch);
        }
        if self.mode != Mode::Whole {
            return Some(Refusal::Abstaining);
        }
        match &req.age {
            KeyAge::Ticket(ticket) if ticket.epoch > map_epoch => Some(Refusal::WrongEpoch),
            KeyAge::Ticket(ticket) if ticket.epoch < self.opened => Some(Refusal::Closed),
            KeyAge::Ticket(ticket) if is_minted_ahead(ticket, wall) => Some(Refusal::MintedAhead),
            age if is_too_old(age, forgotten) => Some(Refusal::Expired),
            KeyAge::Unknown if wall < self.unticketed_from => Some(Refusal::Closed),
            _ => None,
        }
    }

    /// Grants the key unless another claimant has it; a late copy of a claim gets no answer.
    pub(super) fn claim(
        &mut self,
        wall: WallTime,
        has_room: bool,
        req: &ClaimRequest,
    ) -> Option<ClaimVerdict> {
        let Some(record) = self.records.get(req.key) else {
            if !has_room {
                return Some(ClaimVerdict::Refused(Refusal::Full));
            }
            self.records.insert(new_record(wall, req));
            return Some(self.granted());
        };
        if let ClaimState::Finished(answer) = &record.state {
            let finished = FinishedClaim { payload: record.payload, answer: answer.clone() };
            return Some(ClaimVerdict::Finished(finished));
        }
        let held = HeldBy { claimant: record.claimant.clone(), payload: record.payload };
        if record.state == ClaimState::Lost {
            return Some(ClaimVerdict::Lost(held));
        }
        if record.claimant != req.claimant {
            return Some(ClaimVerdict::Held(held));
        }
        if record.round > req.round {
            return None;
        }
        let since = record.since;
        self.records.insert(ClaimRecord { since, ..new_record(wall, req) });
        Some(self.granted())
    }

    fn granted(&self) -> ClaimVerdict {
        let starts = self.starts.iter();
        let starts = starts.map(|(&host, &incarnation)| ReplicaStart { host, incarnation });
        ClaimVerdict::Granted(starts.collect())
    }

    /// Drops the claim of a claimant that sent nothing.
    pub(super) fn release(&mut self, req: &ReleaseRequest) {
        let Some(record) = self.records.get(req.key) else { return };
        let is_finished = matches!(record.state, ClaimState::Finished(_));
        if is_finished || record.claimant != req.claimant || record.round > req.round {
            return;
        }
        self.records.remove(req.key);
    }

    /// Stores an outcome; whoever sends one has held the claim at a majority.
    pub(super) fn finish(
        &mut self,
        wall: WallTime,
        forgotten: WallTime,
        max_answer: u64,
        req: FinishRequest,
    ) {
        if is_too_old(&req.age, forgotten) || self.is_closed_to(&req.age) {
            return;
        }
        let known = self.records.get(req.key);
        let since = known.map_or(wall, |it| it.since);
        if known.is_some_and(|it| matches!(it.state, ClaimState::Finished(_))) {
            return;
        }
        let answer = match req.answer {
            StoredAnswer::Kept(answer) if answer.as_slice().len() as u64 > max_answer => {
                StoredAnswer::NotKept
            }
            answer => answer,
        };
        self.records.insert(ClaimRecord {
            key: req.key,
            age: req.age,
            claimant: req.claimant,
            round: ids::AttemptNumber(0),
            payload: req.payload,
            since,
            state: ClaimState::Finished(answer),
        });
    }

    fn is_closed_to(&self, age: &KeyAge) -> bool {
        matches!(age, KeyAge::Ticket(ticket) if ticket.epoch < self.opened)
    }

    pub(super) fn lose_host(&mut self, host: HostId, newest: Incarnation) {
        self.records.lose_host(host, newest);
    }

    pub(super) fn lose_overdue(&mut self, wall: WallTime, limit: Millis) {
        self.records.lose_overdue(wall, limit);
    }

    pub(super) fn forget(&mut self, forgotten: WallTime) {
        self.records.forget(forgotten);
    }
}

fn new_record(wall: WallTime, req: &ClaimRequest) -> ClaimRecord {
    ClaimRecord {
        key: req.key,
        age: req.age.clone(),
        claimant: req.claimant.clone(),
        round: req.round,
        payload: req.payload,
        since: wall,
        state: ClaimState::Held,
    }
}

/// Whether the mint time lies further ahead than clocks may differ.
fn is_minted_ahead(ticket: &KeyTicket, wall: WallTime) -> bool {
    ticket.minted.since(wall) > MAX_CLOCK_SKEW
}
