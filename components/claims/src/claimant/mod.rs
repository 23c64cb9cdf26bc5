//! The claimant: claims keys for the requests of one entry host process.

mod open_claim;
mod timers;
mod vote;

use std::collections::{BTreeMap, BTreeSet};

use ids::{
    AttemptNumber, Fingerprint, HostId, Incarnation, Millis, RequestId, Timestamp, WallTime,
};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::claims::{
    CheckRequest, ClaimReply, ClaimVerdict, ClaimantGone, ClaimantId, ClaimsMessage, FinishAck,
    ReleaseRequest, StoredAnswer,
};

use self::{
    open_claim::{Collecting, Finishing, OpenClaim, Phase},
    timers::Timers,
    vote::{Outcome, Vote},
};
use crate::{
    ClaimAction, ClaimKey, ClaimMap, ClaimantSettings, MAX_CLOCK_SKEW, ShardNumber,
    answer::kept_bytes,
    claims::Outgoing,
    map::{all_hosts, quorum, replica_hosts},
};

/// How often the replicas beyond a majority are still asked to store an outcome.
const TRIES_BEYOND_MAJORITY: u32 = 3;

/// What a claim came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent, once.
    Granted,
    /// The request ran before; this is what is kept of its answer.
    Finished(StoredAnswer),
    /// Another send of the key is under way.
    InProgress,
    /// The key was used for another payload.
    PayloadMismatch,
    /// The request may have run and nothing more can be learnt.
    Unknown,
    /// The key is older than the retention; whether its request ran is forgotten.
    Expired,
    /// Not enough replicas could answer; the same key may be sent again later.
    Unavailable(NotGranted),
}

/// What is known of a key's request when the key could not be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotGranted {
    /// A majority of the replicas holds no record of the key: its request was not run.
    NotRun,
    /// Too few replicas answered to tell whether an earlier send of the key was run.
    Unknown,
}

/// The open claims of one entry host process.
#[derive(Debug)]
pub struct Claimant {
    me: HostId,
    incarnation: Incarnation,
    settings: ClaimantSettings,
    retention: Millis,
    open: BTreeMap<RequestId, OpenClaim>,
    timers: Timers,
    pending_bytes: usize,
    rng: Xoshiro256PlusPlus,
}

impl Claimant {
    pub(crate) fn new(
        me: HostId,
        incarnation: Incarnation,
        settings: ClaimantSettings,
        retention: Millis,
        seed: u64,
    ) -> Self {
        Self {
            me,
            incarnation,
            settings,
            retention,
            open: BTreeMap::new(),
            timers: Timers::default(),
            pending_bytes: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// How many claims are open.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    /// Starts to claim `key`; a request that is open already is left as it is.
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
            round: AttemptNumber(0),
            phase: Phase::BackingOff,
            due: None,
        };
        self.open.insert(request, claim);
        self.ask(now, request, map)
    }

    /// The shard and its epoch, or what can be decided without asking.
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

    /// Gives up a claim whose request was not sent: no byte of it has left.
    pub(crate) fn release(&mut self, request: RequestId, map: &ClaimMap) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get(&request) else { return Vec::new() };
        if matches!(claim.phase, Phase::Finishing(_)) {
            return Vec::new();
        }
        let actions = release_actions(claim, map);
        self.close(request);
        actions
    }

    /// Stores the outcome of a request that was sent under its claim.
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        request: RequestId,
        answer: StoredAnswer,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        if !matches!(claim.phase, Phase::Holding) {
            return Vec::new();
        }
        let limit = usize::try_from(self.settings.max_pending_answer_bytes.0).unwrap_or(usize::MAX);
        let fits = self.pending_bytes + kept_bytes(&answer) <= limit;
        let answer = match answer {
            StoredAnswer::Kept(_) if !fits => StoredAnswer::NotKept,
            answer => answer,
        };
        self.pending_bytes += kept_bytes(&answer);
        claim.phase = Phase::Finishing(Finishing {
            answer,
            replicas: Vec::new(),
            stored: BTreeSet::new(),
            pause: self.settings.retry,
            tries_left: TRIES_BEYOND_MAJORITY,
        });
        self.store(now, request, map)
    }

    /// Takes in a replica's answer to a claim.
    pub(crate) fn handle_reply(
        &mut self,
        now: Timestamp,
        from: HostId,
        from_incarnation: Incarnation,
        reply: ClaimReply,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        if !self.is_current(&reply) {
            return self.refuse_grant(from, &reply);
        }
        let Some(claim) = self.open.get_mut(&reply.request) else { return Vec::new() };
        let Phase::Collecting(collecting) = &mut claim.phase else { return Vec::new() };
        collecting.vote.add(from, from_incarnation, reply.verdict);
        let outcome = collecting.vote.outcome();
        self.conclude(now, reply.request, outcome, map)
    }

    fn is_current(&self, reply: &ClaimReply) -> bool {
        self.open.get(&reply.request).is_some_and(|it| {
            it.key.digest == reply.key
                && it.round == reply.round
                && !matches!(it.phase, Phase::BackingOff)
        })
    }

    /// Gives back a grant that came too late to be used.
    fn refuse_grant(&self, from: HostId, reply: &ClaimReply) -> Vec<ClaimAction> {
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

    /// Answers a replica that asks whether a claim is still held.
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

    /// Takes in that a replica has stored an outcome.
    pub(crate) fn handle_ack(&mut self, from: HostId, ack: FinishAck) {
        let Some(claim) = self.open.get_mut(&ack.request) else { return };
        if claim.key.digest != ack.key || claim.epoch != ack.epoch {
            return;
        }
        let Phase::Finishing(finishing) = &mut claim.phase else { return };
        finishing.stored.insert(from);
        if finishing.replicas.iter().all(|it| finishing.stored.contains(it)) {
            self.close(ack.request);
        }
    }

    /// Moves the open claims to a new map.
    pub(crate) fn set_map(
        &mut self,
        now: Timestamp,
        old: &ClaimMap,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let requests: Vec<_> = self.open.keys().copied().collect();
        let mut actions = Vec::new();
        for request in requests {
            actions.extend(self.move_to_map(now, request, old, map));
        }
        actions
    }

    fn move_to_map(
        &mut self,
        now: Timestamp,
        request: RequestId,
        old: &ClaimMap,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let Some(shard) = map.shard(claim.shard) else { return Vec::new() };
        if shard.epoch == claim.epoch {
            return Vec::new();
        }
        let is_closed = claim.key.ticket.as_ref().is_some_and(|it| it.epoch < shard.opened);
        let mut actions = Vec::new();
        match &mut claim.phase {
            Phase::Holding => {
                claim.epoch = shard.epoch;
                return actions;
            }
            Phase::Finishing(_) if is_closed => {
                self.close(request);
                return actions;
            }
            Phase::Finishing(finishing) => {
                finishing.stored.clear();
                claim.epoch = shard.epoch;
                return self.store(now, request, map);
            }
            Phase::Collecting(_) => actions = release_actions(claim, old),
            Phase::BackingOff => {}
        }
        if is_closed {
            self.close(request);
            actions.push(ClaimAction::Decided { request, decision: Decision::Unknown });
            return actions;
        }
        claim.epoch = shard.epoch;
        claim.round = claim.round.next();
        actions.extend(self.ask(now, request, map));
        actions
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Timestamp, map: &ClaimMap) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        while let Some(request) = self.timers.pop_due(now) {
            actions.extend(self.wake(now, request, map));
        }
        actions
    }

    /// When `tick` is due next.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    fn wake(&mut self, now: Timestamp, request: RequestId, map: &ClaimMap) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        claim.due = None;
        match &mut claim.phase {
            Phase::Collecting(collecting) => {
                if collecting.tries >= self.settings.max_tries {
                    let outcome = collecting.vote.last_outcome();
                    return self.give_up(request, outcome, map);
                }
                collecting.tries += 1;
                let unanswered = collecting.vote.unanswered();
                let message = claim.claim_message();
                self.set_timer(request, now + self.settings.retry);
                send_all(unanswered, &message)
            }
            Phase::BackingOff => self.ask(now, request, map),
            Phase::Holding => Vec::new(),
            Phase::Finishing(_) => self.store(now, request, map),
        }
    }

    /// Starts a round: asks all replicas.
    fn ask(&mut self, now: Timestamp, request: RequestId, map: &ClaimMap) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let replicas = map.shard(claim.shard).map(replica_hosts).unwrap_or_default();
        claim.phase = Phase::Collecting(Collecting { vote: Vote::new(replicas.clone()), tries: 1 });
        let message = claim.claim_message();
        self.set_timer(request, now + self.settings.retry);
        send_all(replicas, &message)
    }

    /// Acts on what a round has come to.
    fn conclude(
        &mut self,
        now: Timestamp,
        request: RequestId,
        outcome: Outcome,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        match outcome {
            Outcome::Open => Vec::new(),
            Outcome::Granted => self.hold(request),
            Outcome::Split if self.has_rounds_left(request) => self.back_off(now, request, map),
            outcome => self.give_up(request, outcome, map),
        }
    }

    fn hold(&mut self, request: RequestId) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        claim.phase = Phase::Holding;
        self.clear_timer(request);
        vec![ClaimAction::Decided { request, decision: Decision::Granted }]
    }

    fn has_rounds_left(&self, request: RequestId) -> bool {
        let round = self.open.get(&request).map_or(0, |it| it.round.0);
        round + 1 < self.settings.max_rounds
    }

    /// Gives the grants of a split vote back and tries again after a random pause.
    fn back_off(&mut self, now: Timestamp, request: RequestId, map: &ClaimMap) -> Vec<ClaimAction> {
        let random = self.rng.next_u64();
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let actions = release_actions(claim, map);
        let longest_micros = (self.settings.backoff.0 * 1000) << claim.round.0.min(16);
        claim.round = claim.round.next();
        claim.phase = Phase::BackingOff;
        self.set_timer(request, Timestamp(now.0 + 1 + random % longest_micros.max(1)));
        actions
    }

    /// Ends a claim that was not granted.
    fn give_up(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get(&request) else { return Vec::new() };
        let mut actions = release_actions(claim, map);
        let decision = decision(outcome, claim.payload);
        self.close(request);
        actions.push(ClaimAction::Decided { request, decision });
        actions
    }

    /// Sends the outcome to the replicas that have not stored it.
    fn store(&mut self, now: Timestamp, request: RequestId, map: &ClaimMap) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let replicas = map.shard(claim.shard).map(replica_hosts).unwrap_or_default();
        let Phase::Finishing(finishing) = &mut claim.phase else { return Vec::new() };
        let stored = replicas.iter().filter(|it| finishing.stored.contains(it)).count();
        if stored >= quorum(replicas.len()) {
            if finishing.tries_left == 0 {
                self.close(request);
                return Vec::new();
            }
            finishing.tries_left -= 1;
        }
        let missing =
            replicas.iter().copied().filter(|it| !finishing.stored.contains(it)).collect();
        finishing.replicas = replicas;
        let due = now + finishing.pause;
        finishing.pause = Millis((finishing.pause.0 * 2).min(self.settings.max_retry.0));
        let Phase::Finishing(finishing) = &claim.phase else { return Vec::new() };
        let message = claim.finish_message(&finishing.answer);
        self.set_timer(request, due);
        send_all(missing, &message)
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

/// Tells all hosts that may have granted the claim that it is given up.
fn release_actions(claim: &OpenClaim, map: &ClaimMap) -> Vec<ClaimAction> {
    let hosts = map.shard(claim.shard).map(all_hosts).unwrap_or_default();
    send_all(hosts, &claim.release_message())
}

fn send_all(hosts: Vec<HostId>, message: &ClaimsMessage) -> Vec<ClaimAction> {
    let send = |to| ClaimAction::Send { to, message: message.clone() };
    hosts.into_iter().map(send).collect()
}

/// What a caller with this payload is told.
fn decision(outcome: Outcome, payload: Fingerprint) -> Decision {
    match outcome {
        Outcome::Granted => Decision::Granted,
        Outcome::Finished(finished) if finished.payload != payload => Decision::PayloadMismatch,
        Outcome::Finished(finished) => match finished.answer {
            StoredAnswer::Unknown => Decision::Unknown,
            answer => Decision::Finished(answer),
        },
        Outcome::Held(other) | Outcome::Lost(other) if other != payload => {
            Decision::PayloadMismatch
        }
        Outcome::Held(_) | Outcome::Split => Decision::InProgress,
        Outcome::Lost(_) | Outcome::Closed => Decision::Unknown,
        Outcome::Expired => Decision::Expired,
        Outcome::Full(true) => Decision::Unavailable(NotGranted::NotRun),
        Outcome::Full(false) | Outcome::Open => Decision::Unavailable(NotGranted::Unknown),
    }
}

impl From<Outgoing> for ClaimAction {
    fn from(outgoing: Outgoing) -> Self {
        ClaimAction::Send { to: outgoing.to, message: outgoing.message }
    }
}
