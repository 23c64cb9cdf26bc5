//! The claim replica and the claimant of one process.

use std::collections::VecDeque;

use ids::{Fingerprint, HostId, Incarnation, RequestId, Timestamp, WallTime};
use schema::claims::{ClaimsMessage, StoredAnswer};

use crate::{
    ClaimKey, ClaimMap, ClaimReplica, Claimant, ClaimsSettings, Decision, ReplicaReport,
    ShardNumber,
};

/// An action that the process has to carry out for the claim protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Send a message to the claim protocol of another host.
    Send {
        /// The host to send to.
        to: HostId,
        /// The message to send.
        message: ClaimsMessage,
    },
    /// Report the decision on a claim.
    Decided {
        /// The request that the claim was started for.
        request: RequestId,
        /// The decision.
        decision: Decision,
    },
}

/// A message to a host, which may be this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Outgoing {
    pub(crate) to: HostId,
    pub(crate) message: ClaimsMessage,
}

impl Outgoing {
    pub(crate) fn new(to: HostId, message: ClaimsMessage) -> Self {
        Self { to, message }
    }
}

impl From<Outgoing> for ClaimAction {
    fn from(outgoing: Outgoing) -> Self {
        Self::Send { to: outgoing.to, message: outgoing.message }
    }
}

/// Counts of claims and answers in one process, for status pages and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimsStatus {
    /// Number of records that the replica holds.
    pub held: usize,
    /// Total size of the answers that the replica stores, in bytes.
    pub answer_bytes: usize,
    /// Number of claims that the claimant has open.
    pub open: usize,
    /// Shards in which the replica abstains: it grants no keys until it has copied the records.
    pub abstaining: Vec<ShardNumber>,
}

/// The claim protocol of one process: its replica, its claimant and the claim map.
#[derive(Debug)]
pub struct Claims {
    me: HostId,
    incarnation: Incarnation,
    map: ClaimMap,
    replica: ClaimReplica,
    claimant: Claimant,
}

impl Claims {
    /// Creates the state of a process that has just started and has no claim map.
    pub fn new(me: HostId, incarnation: Incarnation, settings: ClaimsSettings) -> Self {
        let claimant = Claimant::new(me, incarnation, &settings);
        Self {
            me,
            incarnation,
            map: ClaimMap::empty(),
            replica: ClaimReplica::new(me, incarnation, settings.replica, settings.retention),
            claimant,
        }
    }

    /// Returns the current claim map.
    pub fn map(&self) -> &ClaimMap {
        &self.map
    }

    /// Replaces the claim map if the epoch of the new one is higher.
    pub fn set_map(&mut self, now: Timestamp, wall: WallTime, map: ClaimMap) -> Vec<ClaimAction> {
        if map.epoch() <= self.map.epoch() {
            return Vec::new();
        }
        let old = std::mem::replace(&mut self.map, map);
        let mut actions = into_actions(self.replica.set_map(now, &self.map));
        actions.extend(self.claimant.set_map(now, &old, &self.map));
        self.deliver_local(now, wall, actions)
    }

    /// Claims `key` for a request; `ClaimAction::Decided` follows, in this result or a later one.
    pub fn begin(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        request: RequestId,
        key: ClaimKey,
        payload: Fingerprint,
    ) -> Vec<ClaimAction> {
        let actions = self.claimant.begin(now, wall, request, key, payload, &self.map);
        self.deliver_local(now, wall, actions)
    }

    /// Releases a claim; allowed only while no byte of the request has been sent.
    pub fn release(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        request: RequestId,
    ) -> Vec<ClaimAction> {
        let actions = self.claimant.release(request, &self.map);
        self.deliver_local(now, wall, actions)
    }

    /// Stores the outcome of a request that was sent under its claim.
    pub fn finish(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        request: RequestId,
        answer: StoredAnswer,
    ) -> Vec<ClaimAction> {
        let actions = self.claimant.finish(now, request, answer, &self.map);
        self.deliver_local(now, wall, actions)
    }

    /// Marks as lost the claims held by process `incarnation` of `host` and by any earlier one.
    pub fn mark_host_lost(&mut self, host: HostId, incarnation: Incarnation) {
        self.replica.mark_host_lost(host, incarnation);
    }

    /// Hands the replica's shards over before a planned stop; open claims continue unchanged.
    pub fn drain(&mut self, now: Timestamp, wall: WallTime) -> Vec<ClaimAction> {
        let actions = into_actions(self.replica.drain(now));
        self.deliver_local(now, wall, actions)
    }

    /// Returns whether every shard is handed over and no claim is open, so the process may stop.
    ///
    /// This stays false while a target replica is unreachable, so the caller needs a timeout.
    pub fn is_drained(&self) -> bool {
        self.replica.is_drained() && self.claimant.open_count() == 0
    }

    /// Handles a message from process `from_incarnation` of host `from`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        from: HostId,
        from_incarnation: Incarnation,
        message: ClaimsMessage,
    ) -> Vec<ClaimAction> {
        let actions = self.dispatch(now, wall, from, from_incarnation, message);
        self.deliver_local(now, wall, actions)
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Timestamp, wall: WallTime) -> Vec<ClaimAction> {
        let mut actions = into_actions(self.replica.tick(now, wall));
        actions.extend(self.claimant.tick(now, &self.map));
        self.deliver_local(now, wall, actions)
    }

    /// Returns when `tick` has to run next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = [self.replica.next_wakeup(), self.claimant.next_wakeup()];
        wakeups.into_iter().flatten().min()
    }

    /// Returns the report by which the control host settles and reopens shards.
    pub fn report(&self) -> ReplicaReport {
        ReplicaReport { map_epoch: self.map.epoch(), complete: self.replica.complete_shards() }
    }

    /// Returns the counts for status pages and metrics.
    pub fn status(&self) -> ClaimsStatus {
        let usage = self.replica.usage();
        ClaimsStatus {
            held: usage.claims,
            answer_bytes: usage.answer_bytes,
            open: self.claimant.open_count(),
            abstaining: self.replica.abstaining(),
        }
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        from: HostId,
        from_incarnation: Incarnation,
        message: ClaimsMessage,
    ) -> Vec<ClaimAction> {
        match message {
            ClaimsMessage::Claim(req) => into_actions(self.replica.handle_claim(wall, &req)),
            ClaimsMessage::ClaimReply(reply) => {
                self.claimant.handle_reply(now, from, from_incarnation, reply, &self.map)
            }
            ClaimsMessage::Release(req) => {
                self.replica.handle_release(&req);
                Vec::new()
            }
            ClaimsMessage::Finish(req) => into_actions(self.replica.handle_finish(wall, req)),
            ClaimsMessage::FinishAck(ack) => {
                self.claimant.handle_finish_ack(from, ack);
                Vec::new()
            }
            ClaimsMessage::Check(check) => self.claimant.handle_check(from, check),
            ClaimsMessage::Gone(gone) => {
                let ended = Incarnation(gone.incarnation.0.saturating_sub(1));
                self.replica.mark_host_lost(gone.host, ended);
                Vec::new()
            }
            ClaimsMessage::Copy(req) => {
                into_actions(self.replica.handle_copy(wall, from, from_incarnation, &req))
            }
            ClaimsMessage::CopyPage(page) => {
                into_actions(self.replica.handle_copy_page(wall, from, from_incarnation, page))
            }
            ClaimsMessage::HandOver(page) => {
                into_actions(self.replica.handle_hand_over(from, from_incarnation, page))
            }
            ClaimsMessage::HandOverAck(ack) => {
                into_actions(self.replica.handle_hand_over_ack(from, from_incarnation, &ack))
            }
        }
    }

    /// Handles the messages to this process itself and returns the other actions.
    fn deliver_local(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        actions: Vec<ClaimAction>,
    ) -> Vec<ClaimAction> {
        let mut queue = VecDeque::from(actions);
        let mut remote = Vec::new();
        while let Some(action) = queue.pop_front() {
            match action {
                ClaimAction::Send { to, message } if to == self.me => {
                    queue.extend(self.dispatch(now, wall, self.me, self.incarnation, message));
                }
                action => remote.push(action),
            }
        }
        remote
    }
}

fn into_actions(outgoing: Vec<Outgoing>) -> Vec<ClaimAction> {
    outgoing.into_iter().map(ClaimAction::from).collect()
}
