//! The claimant, which claims keys for the requests of one entry host process.

mod decision;
mod map_change;
mod open_claim;
mod outcome;
mod rounds;
mod timers;
mod vote;

use std::collections::BTreeMap;

use ids::{
    AttemptNumber, Fingerprint, HostId, Incarnation, Millis, RequestId, Timestamp, WallTime,
};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use schema::claims::{
    CheckRequest, ClaimReply, ClaimVerdict, ClaimantGone, ClaimantId, ClaimsMessage, ReleaseRequest,
};

pub use self::decision::{Decision, NotGranted};
use self::{
    open_claim::{OpenClaim, Phase},
    timers::Timers,
    vote::RoundResult,
};
use crate::{
    ClaimAction, ClaimKey, ClaimMap, ClaimantSettings, ClaimsSettings, MAX_CLOCK_SKEW, ShardNumber,
    map::current_and_previous_hosts,
};

/// Claims keys for the requests of one entry host process.
#[derive(Debug)]
pub struct Claimant {
    me: HostId,
    incarnation: Incarnation,
    settings: ClaimantSettings,
    retention: Millis,
    /// Maximum size of a stored answer in bytes.
    max_answer: usize,
    open: BTreeMap<RequestId, OpenClaim>,
    timers: Timers,
    /// Total size in bytes of the answers that are being stored.
    pending_bytes: usize,
    rng: Xoshiro256PlusPlus,
}

impl Claimant {
    pub(crate) fn new(me: HostId, incarnation: Incarnation, cfg: &ClaimsSettings) -> Self {
        Self {
            me,
            incarnation,
            settings: cfg.claimant.clone(),
            retention: cfg.retention,
            max_answer: usize::try_from(cfg.replica.max_answer.0).unwrap_or(usize::MAX),
            open: BTreeMap::new(),
            timers: Timers::default(),
            pending_bytes: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(cfg.seed),
        }
    }

    /// Returns the number of open claims.
    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Starts to claim `key`, unless the request already has an open claim.
    pub(crate) fn begin(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        request: RequestId,
        key: ClaimKey,
        payload: Fingerprint,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        if self.open.contains_key(&request) {
            return Vec::new();
        }
        let (number, epoch) = match self.admit(wall, &key, map) {
            Ok(shard) => shard,
            Err(decision) => return vec![ClaimAction::Decided { request, decision }],
        };
        let id = ClaimantId { host: self.me, incarnation: self.incarnation, request };
        let claim = OpenClaim {
            id,
            key,
            payload,
            shard: number,
            epoch,
            started_at: now,
            round: AttemptNumber(0),
            phase: Phase::BackingOff,
            due: None,
        };
        self.open.insert(request, claim);
        self.start_round(now, request, map)
    }

    /// Returns the key's shard and its epoch, or the decision if no replica needs to be asked.
    fn admit(
        &self,
        wall: WallTime,
        key: &ClaimKey,
        map: &ClaimMap,
    ) -> Result<(ShardNumber, ids::Epoch), Decision> {
        if let Some(ticket) = &key.ticket {
            let age = wall.since(ticket.minted);
            if age.0 > self.retention.0 + MAX_CLOCK_SKEW.0 {
                return Err(Decision::Expired);
            }
            if ticket.epoch > map.epoch() {
                return Err(Decision::Unavailable(NotGranted::Unknown));
            }
        }
        let number = map.shard_of(key).ok_or(Decision::Unavailable(NotGranted::Unknown))?;
        let shard = map.shard(number).ok_or(Decision::Unavailable(NotGranted::Unknown))?;
        if key.ticket.as_ref().is_some_and(|it| it.epoch < shard.opened) {
            return Err(Decision::Unknown);
        }
        if self.open.len() >= self.settings.max_open {
            return Err(Decision::Unavailable(NotGranted::Unknown));
        }
        Ok((number, shard.epoch))
    }

    /// Releases a claim; no byte of its request may have been sent.
    pub(crate) fn release(&mut self, request: RequestId, map: &ClaimMap) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get(&request) else { return Vec::new() };
        if matches!(claim.phase, Phase::Finishing(_)) {
            return Vec::new();
        }
        let actions = release_at_replicas(claim, map);
        self.close(request);
        actions
    }

    /// Handles a replica's reply to a claim.
    pub(crate) fn handle_reply(
        &mut self,
        now: Timestamp,
        from: HostId,
        from_incarnation: Incarnation,
        reply: ClaimReply,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        if !self.is_current(&reply) {
            return self.release_late_grant(from, &reply);
        }
        let Some(claim) = self.open.get_mut(&reply.request) else { return Vec::new() };
        let Phase::Collecting(collecting) = &mut claim.phase else { return Vec::new() };
        collecting.vote.add(from, from_incarnation, reply.verdict);
        let mut result = collecting.vote.result();
        let is_late = now.since(claim.started_at) > self.settings.claim_timeout;
        if is_late && matches!(result, RoundResult::Granted | RoundResult::Full(_)) {
            result = RoundResult::TooLate;
        }
        self.handle_result(now, reply.request, result, map)
    }

    /// Returns whether the reply is to the current round of an open claim.
    fn is_current(&self, reply: &ClaimReply) -> bool {
        self.open.get(&reply.request).is_some_and(|it| {
            it.key.digest == reply.key
                && it.round == reply.round
                && !matches!(it.phase, Phase::BackingOff)
        })
    }

    /// Releases a grant that arrived too late to be used.
    fn release_late_grant(&self, from: HostId, reply: &ClaimReply) -> Vec<ClaimAction> {
        if !matches!(reply.verdict, ClaimVerdict::Granted(_)) {
            return Vec::new();
        }
        let release = ReleaseRequest {
            shard: reply.shard,
            key: reply.key,
            claimant: ClaimantId {
                host: self.me,
                incarnation: self.incarnation,
                request: reply.request,
            },
            round: reply.round,
        };
        vec![ClaimAction::Send { to: from, message: ClaimsMessage::Release(release) }]
    }

    /// Handles a replica's check whether a claim is still held.
    ///
    /// Releases a claim of this process that is no longer open. For a claim of an earlier process
    /// of this host, reports that the process has ended.
    pub(crate) fn handle_check(&self, from: HostId, check: CheckRequest) -> Vec<ClaimAction> {
        if check.claimant.host != self.me || check.claimant.incarnation > self.incarnation {
            return Vec::new();
        }
        if check.claimant.incarnation < self.incarnation {
            let gone = ClaimantGone { host: self.me, incarnation: self.incarnation };
            return vec![ClaimAction::Send { to: from, message: ClaimsMessage::Gone(gone) }];
        }
        let open = self.open.get(&check.claimant.request);
        if open.is_some_and(|it| it.round == check.round && it.key.digest == check.key) {
            return Vec::new();
        }
        let release = ReleaseRequest {
            shard: check.shard,
            key: check.key,
            claimant: check.claimant,
            round: check.round,
        };
        vec![ClaimAction::Send { to: from, message: ClaimsMessage::Release(release) }]
    }

    /// Handles the timers that are due.
    pub(crate) fn tick(&mut self, now: Timestamp, map: &ClaimMap) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        while let Some(request) = self.timers.pop_due(now) {
            actions.extend(self.handle_timer(now, request, map));
        }
        actions
    }

    /// Returns when `tick` has to run next.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    fn handle_timer(
        &mut self,
        now: Timestamp,
        request: RequestId,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        claim.due = None;
        match &mut claim.phase {
            Phase::Collecting(collecting) => {
                if collecting.tries >= self.settings.max_tries_per_round {
                    let result = collecting.vote.final_result();
                    return self.close_ungranted(request, result, map);
                }
                collecting.tries += 1;
                let unanswered = collecting.vote.unanswered();
                let message = claim.claim_message();
                self.set_timer(request, now + self.settings.retry_delay);
                send_all(unanswered, &message)
            }
            Phase::BackingOff => self.start_round(now, request, map),
            Phase::Holding => Vec::new(),
            Phase::Finishing(_) => self.send_outcome(now, request, map),
        }
    }

    fn close(&mut self, request: RequestId) {
        self.clear_timer(request);
        if let Some(claim) = self.open.remove(&request) {
            self.pending_bytes -= claim.pending_bytes();
        }
    }

    fn set_timer(&mut self, request: RequestId, due: Timestamp) {
        self.clear_timer(request);
        if let Some(claim) = self.open.get_mut(&request) {
            claim.due = Some(due);
            self.timers.insert(due, request);
        }
    }

    fn clear_timer(&mut self, request: RequestId) {
        if let Some(due) = self.open.get_mut(&request).and_then(|it| it.due.take()) {
            self.timers.remove(due, request);
        }
    }
}

/// Releases the claim at every host that may have granted it.
fn release_at_replicas(claim: &OpenClaim, map: &ClaimMap) -> Vec<ClaimAction> {
    let hosts = map.shard(claim.shard).map(current_and_previous_hosts).unwrap_or_default();
    send_all(hosts, &claim.release_message())
}

fn send_all(hosts: Vec<HostId>, message: &ClaimsMessage) -> Vec<ClaimAction> {
    let send = |to| ClaimAction::Send { to, message: message.clone() };
    hosts.into_iter().map(send).collect()
}
