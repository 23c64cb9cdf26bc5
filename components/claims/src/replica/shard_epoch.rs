//! A replica's state of one shard in one epoch.

use std::collections::{BTreeMap, BTreeSet};

use ids::{Epoch, HostId, Incarnation, KeyDigest, WallTime};
use schema::claims::{
    ClaimRecord, ClaimRequest, ClaimShard, ClaimState, ClaimVerdict, FinishRequest, FinishedClaim,
    HeldBy, KeyAge, KeyTicket, Refusal, ReleaseRequest, ReplicaStart, StoredAnswer,
};

use super::{
    copy::CopyProgress,
    record::{Records, is_finished, is_ticket_expired},
    shard::ProcessId,
};
use crate::{MAX_CLOCK_SKEW, answer::bounded_answer, map::replica_hosts};

/// Whether a replica may grant keys of a shard in an epoch.
#[derive(Debug)]
pub(super) enum Mode {
    /// May lack grants that it or others have made, and grants nothing until it has copied them.
    Copying(CopyProgress),
    /// Has all records that it needs, and grants keys.
    Active,
    /// Has all records that it needs, but other replicas rely on it to grant nothing more.
    Sealed,
}

/// A replica's state of one shard in one epoch.
#[derive(Debug)]
pub(super) struct ShardEpoch {
    pub(super) epoch: Epoch,
    pub(super) replicas: Vec<HostId>,
    pub(super) mode: Mode,
    pub(super) records: Records,
    opened: Epoch,
    unticketed_from: WallTime,
    /// The newest incarnations of the replicas, this one included, that recovered in this epoch.
    incarnations: BTreeMap<HostId, Incarnation>,
    /// The replicas that have handed all their records over to this one and stopped.
    handed_over: BTreeSet<HostId>,
}

impl ShardEpoch {
    pub(super) fn new(shard: &ClaimShard, mode: Mode) -> Self {
        Self {
            epoch: shard.epoch,
            replicas: replica_hosts(shard),
            mode,
            records: Records::default(),
            opened: shard.opened,
            unticketed_from: shard.unticketed_from,
            incarnations: BTreeMap::new(),
            handed_over: BTreeSet::new(),
        }
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.mode, Mode::Active)
    }

    pub(super) fn is_sealed(&self) -> bool {
        matches!(self.mode, Mode::Sealed)
    }

    /// Returns whether this replica has the record of every grant that may be part of a majority
    /// together with its own.
    pub(super) fn is_complete(&self) -> bool {
        !matches!(self.mode, Mode::Copying(_))
    }

    pub(super) fn record(&self, key: KeyDigest) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Returns the answer that is stored for a key.
    pub(super) fn answer(&self, key: KeyDigest) -> Option<&StoredAnswer> {
        match &self.records.get(key)?.state {
            ClaimState::Finished(answer) => Some(answer),
            ClaimState::Held | ClaimState::Lost | ClaimState::Contested => None,
        }
    }

    pub(super) fn incarnations(&self) -> Vec<ReplicaStart> {
        let incarnations = self.incarnations.iter();
        incarnations.map(|(&host, &incarnation)| ReplicaStart { host, incarnation }).collect()
    }

    pub(super) fn handed_over(&self) -> Vec<HostId> {
        self.handed_over.iter().copied().collect()
    }

    pub(super) fn add_handed_over(&mut self, host: HostId) {
        self.handed_over.insert(host);
    }

    pub(super) fn known_incarnation(&self, host: HostId) -> Option<Incarnation> {
        self.incarnations.get(&host).copied()
    }

    /// Records a replica's incarnation; it may have lost the grants of earlier ones.
    pub(super) fn record_incarnation(&mut self, host: HostId, incarnation: Incarnation) {
        let known = self.incarnations.entry(host).or_insert(incarnation);
        *known = incarnation.max(*known);
    }

    /// Lets a restarted replica of this epoch copy it; `None` if this one isn't active.
    ///
    /// From now on, this replica's grants name the new incarnation, so that claimants ignore the
    /// grants of earlier ones.
    pub(super) fn admit_recovery(&mut self, from: ProcessId) -> Option<()> {
        if !self.is_active() || !self.replicas.contains(&from.host) {
            return None;
        }
        self.record_incarnation(from.host, from.incarnation);
        self.handed_over.remove(&from.host);
        Some(())
    }

    /// Ends granting in this epoch; `None` while records are missing.
    pub(super) fn seal(&mut self) -> Option<()> {
        if !self.is_complete() {
            return None;
        }
        self.mode = Mode::Sealed;
        Some(())
    }

    /// Merges records of another replica, with at most `max_answer_bytes` of additional answers.
    pub(super) fn merge(&mut self, records: Vec<ClaimRecord>, max_answer_bytes: usize) {
        let limit = self.records.answer_bytes() + max_answer_bytes;
        for mut record in records {
            if let ClaimState::Finished(answer) = record.state {
                let capacity = limit.saturating_sub(self.records.answer_bytes());
                record.state = ClaimState::Finished(bounded_answer(answer, capacity));
            }
            self.records.merge(record);
        }
    }

    /// Becomes active once enough sources have been copied.
    pub(super) fn finish_copy(&mut self) {
        let Mode::Copying(copy) = &self.mode else { return };
        if !copy.is_complete() {
            return;
        }
        self.mode = Mode::Active;
    }

    /// Returns why this replica can't decide on a claim, or `None` if it can.
    pub(super) fn refusal(
        &self,
        wall: WallTime,
        expiry_cutoff: WallTime,
        req: &ClaimRequest,
    ) -> Option<Refusal> {
        if req.epoch != self.epoch {
            return Some(Refusal::WrongEpoch);
        }
        match self.mode {
            Mode::Copying(_) => return Some(Refusal::Abstaining),
            Mode::Sealed => return Some(Refusal::WrongEpoch),
            Mode::Active => {}
        }
        match &req.age {
            KeyAge::Ticket(ticket) if ticket.epoch < self.opened => Some(Refusal::Closed),
            KeyAge::Ticket(ticket) if is_minted_ahead(ticket, wall) => Some(Refusal::MintedAhead),
            age if is_ticket_expired(age, expiry_cutoff) => Some(Refusal::Expired),
            KeyAge::Unknown if wall < self.unticketed_from => Some(Refusal::Closed),
            _ => None,
        }
    }

    /// Grants the key unless another claimant has it; `None` for a claim of an earlier round.
    pub(super) fn claim(
        &mut self,
        wall: WallTime,
        has_capacity: bool,
        req: &ClaimRequest,
    ) -> Option<ClaimVerdict> {
        let Some(record) = self.records.get(req.key) else {
            if !has_capacity {
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
        if record.state != ClaimState::Held {
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
        ClaimVerdict::Granted(self.incarnations())
    }

    /// Removes the record of a claim whose request was not sent.
    pub(super) fn release(&mut self, req: &ReleaseRequest) {
        let Some(record) = self.records.get(req.key) else { return };
        let is_releasable = matches!(record.state, ClaimState::Held | ClaimState::Lost);
        if !is_releasable || record.claimant != req.claimant || record.round > req.round {
            return;
        }
        self.records.remove(req.key);
    }

    /// Stores an outcome, also without a record of the claim.
    ///
    /// Its sender was granted the key by a majority, so it replaces the record of any other claim
    /// without an outcome.
    pub(super) fn finish(
        &mut self,
        wall: WallTime,
        expiry_cutoff: WallTime,
        max_answer: usize,
        req: &FinishRequest,
    ) {
        if is_ticket_expired(&req.age, expiry_cutoff) || self.is_closed_for(&req.age) {
            return;
        }
        let known = self.records.get(req.key);
        let since = known.map_or(wall, |it| it.since);
        if known.is_some_and(is_finished) {
            return;
        }
        let answer = bounded_answer(req.answer.clone(), max_answer);
        self.records.insert(ClaimRecord {
            key: req.key,
            age: req.age.clone(),
            claimant: req.claimant.clone(),
            round: ids::AttemptNumber(0),
            payload: req.payload,
            since,
            state: ClaimState::Finished(answer),
        });
    }

    /// Returns whether the key is older than this shard, so that its record may be lost.
    fn is_closed_for(&self, age: &KeyAge) -> bool {
        matches!(age, KeyAge::Ticket(ticket) if ticket.epoch < self.opened)
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

/// Returns whether the ticket was issued later than `wall` by more than clocks may differ.
fn is_minted_ahead(ticket: &KeyTicket, wall: WallTime) -> bool {
    ticket.minted.since(wall) > MAX_CLOCK_SKEW
}
