//! The leader's view of the other members.

use std::collections::BTreeMap;

use ids::{HostId, LogIndex, Millis, Timestamp};
use schema::consensus::{Member, Members, Payload};

use crate::{
    leader,
    members::quorum_value,
    replica::Replica,
    settings::{LEASE_DURATION, OBSERVED_FOR, RETRY_INTERVAL},
};

/// Replication progress of another member.
pub(crate) struct Progress {
    pub(crate) member: Member,
    /// Index of the newest acknowledged entry.
    pub(crate) matched: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next: LogIndex,
    /// When the entries in flight were sent; further entries wait for the reply.
    pub(crate) in_flight_since: Option<Timestamp>,
    /// Send time of the newest acknowledged message, by this host's clock.
    pub(crate) acked_sent_at: Option<Timestamp>,
    /// When `matched` last increased.
    pub(crate) matched_at: Timestamp,
    /// Bytes of the snapshot that the member has received.
    pub(crate) snapshot_offset: u64,
    /// Whether the member lost entries that it had acknowledged.
    pub(crate) is_rolled_back: bool,
    /// Whether the member was sent the first commit of the term.
    pub(crate) knows_first_commit: bool,
    pub(crate) last_response_at: Option<Timestamp>,
    /// When this host last heard the member before it began to replicate to it.
    pub(crate) heard_before: Timestamp,
    /// When this leader began to replicate to the member.
    pub(crate) tracked_since: Timestamp,
}

impl Progress {
    /// Returns the acknowledged index that counts towards a commit; 0 after acknowledged entries
    /// were lost.
    pub(crate) fn counted_match(&self) -> LogIndex {
        if self.is_rolled_back { LogIndex(0) } else { self.matched }
    }

    /// Records that the member's log matches up to an index.
    pub(crate) fn record_match(&mut self, index: LogIndex, now: Timestamp) {
        if index > self.matched {
            self.matched = index;
            self.matched_at = now;
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Returns whether the member has responded recently; others get only heartbeats.
    pub(crate) fn is_responsive(&self, now: Timestamp) -> bool {
        self.last_response_at.is_some_and(|at| now < at + LEASE_DURATION)
    }

    /// Returns when this host last heard the member, as leader or before.
    pub(crate) fn last_heard(&self) -> Timestamp {
        self.last_response_at.unwrap_or(self.heard_before)
    }

    /// Returns whether the member has been silent for `limit`, whoever led meanwhile, and has not
    /// responded to this leader for [`OBSERVED_FOR`].
    pub(crate) fn is_silent(&self, now: Timestamp, limit: Millis) -> bool {
        now >= self.last_heard() + limit && !self.may_respond(now)
    }

    /// Returns whether the member has responded recently, or can't be expected to have done so yet.
    pub(crate) fn may_respond(&self, now: Timestamp) -> bool {
        now < self.last_response_at.unwrap_or(self.tracked_since) + OBSERVED_FOR
    }

    /// Returns whether entries are in flight and not yet due for a resend.
    pub(crate) fn has_entries_in_flight(&self, now: Timestamp) -> bool {
        self.in_flight_since.is_some_and(|at| now < at + RETRY_INTERVAL)
    }
}

/// The state of a leader in its term.
pub(crate) struct Leadership {
    pub(crate) started_at: Timestamp,
    /// Index of the first entry of the term; its commit also commits all earlier entries.
    pub(crate) first_index: LogIndex,
    pub(crate) next_heartbeat: Timestamp,
    pub(crate) progress: BTreeMap<HostId, Progress>,
}

impl Leadership {
    /// Starts the leadership: appends an entry of the new term and sends it to all members.
    pub(crate) fn start(replica: &mut Replica) -> Self {
        let next = replica.log.last_index().next();
        let first_index = replica.append_payload(Payload::Noop);
        let mut leadership = Self {
            started_at: replica.now,
            first_index,
            next_heartbeat: replica.now,
            progress: BTreeMap::new(),
        };
        leadership.update_members(replica, next);
        leader::broadcast(replica, &mut leadership);
        leader::advance_commit(replica, &leadership);
        leadership
    }

    /// Aligns the tracked members with the log; new ones start at entry `next`.
    pub(crate) fn update_members(&mut self, replica: &Replica, next: LogIndex) {
        let members = replica.log.members();
        let others: Vec<&Member> = members
            .voters
            .iter()
            .chain(&members.learners)
            .filter(|it| **it != replica.me)
            .collect();
        self.progress.retain(|_, progress| others.contains(&&progress.member));
        for member in others {
            let new_progress = || Progress {
                member: member.clone(),
                matched: LogIndex(0),
                next,
                in_flight_since: None,
                acked_sent_at: None,
                matched_at: Timestamp::default(),
                snapshot_offset: 0,
                is_rolled_back: false,
                knows_first_commit: false,
                last_response_at: None,
                heard_before: replica.last_heard(member.host),
                tracked_since: replica.now,
            };
            self.progress.entry(member.host).or_insert_with(new_progress);
        }
    }

    /// Mutable variant of [`Self::progress_of`].
    pub(crate) fn progress_mut(&mut self, member: &Member) -> Option<&mut Progress> {
        self.progress.get_mut(&member.host).filter(|it| it.member == *member)
    }

    /// Returns whether a majority has acknowledged a message recently enough for a valid lease.
    pub(crate) fn holds_lease(&self, replica: &Replica, now: Timestamp) -> bool {
        self.has_recent_majority(replica, replica.log.members(), now)
    }

    /// Returns whether this host would hold the lease with the given members.
    pub(crate) fn would_hold_lease(&self, replica: &Replica, members: &Members) -> bool {
        self.has_recent_majority(replica, members, replica.now)
    }

    /// Returns whether a majority of `members` has acknowledged a message sent within the
    /// [`LEASE_DURATION`].
    fn has_recent_majority(&self, replica: &Replica, members: &Members, now: Timestamp) -> bool {
        let acked = |member: &Member| match *member == replica.me {
            true => Some(now),
            false => self.progress_of(member).and_then(|it| it.acked_sent_at),
        };
        let majority_acked_at = quorum_value(members, acked).flatten();
        majority_acked_at.is_some_and(|it| now < it + LEASE_DURATION)
    }

    /// Returns the progress of a member if it is tracked with this disk.
    pub(crate) fn progress_of(&self, member: &Member) -> Option<&Progress> {
        self.progress.get(&member.host).filter(|it| it.member == *member)
    }

    /// Returns whether the leader has had enough time to acquire its first lease.
    pub(crate) fn lease_grace_elapsed(&self, now: Timestamp) -> bool {
        now >= self.started_at + LEASE_DURATION
    }
}
