//! What a leader knows of the other members.

use std::collections::BTreeMap;

use ids::{HostId, LogIndex, Timestamp};
use schema::consensus::{Member, Members, Payload};

use crate::{
    leader,
    members::quorum_value,
    replica::Replica,
    settings::{LEASE_DURATION, RETRY_INTERVAL},
};

/// How far another member has come.
pub(crate) struct Progress {
    pub(crate) member: Member,
    /// The newest entry that the member has acknowledged.
    pub(crate) matched: LogIndex,
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// When the entries were sent that are on their way; new ones wait for the answer.
    pub(crate) in_flight: Option<Timestamp>,
    /// When the newest acknowledged message was sent, by this host's clock.
    pub(crate) acked_sent_at: Option<Timestamp>,
    /// When this host learnt of `matched`.
    pub(crate) matched_known_at: Timestamp,
    /// Bytes of the snapshot that have arrived.
    pub(crate) snapshot_offset: u64,
    /// Whether the member lost entries that it had acknowledged.
    pub(crate) is_rolled_back: bool,
    /// When the member last answered.
    pub(crate) heard_at: Option<Timestamp>,
    /// Since when this leader sends to the member.
    pub(crate) tracked_since: Timestamp,
}

impl Progress {
    /// The newest entry that the member counts for.
    pub(crate) fn counted(&self) -> LogIndex {
        if self.is_rolled_back { LogIndex(0) } else { self.matched }
    }

    /// Notes that the member holds the log up to an entry.
    pub(crate) fn note_matched(&mut self, index: LogIndex, now: Timestamp) {
        if index > self.matched {
            self.matched = index;
            self.matched_known_at = now;
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Whether the member has answered lately, so that entries are not sent in vain.
    pub(crate) fn is_heard(&self, now: Timestamp) -> bool {
        self.heard_at.is_some_and(|at| now < at + LEASE_DURATION)
    }

    /// Whether entries are on their way and not overdue.
    pub(crate) fn is_busy(&self, now: Timestamp) -> bool {
        self.in_flight.is_some_and(|at| now < at + RETRY_INTERVAL)
    }
}

/// What a leader holds besides the log.
pub(crate) struct Leadership {
    pub(crate) started_at: Timestamp,
    /// The first entry of this leader; once accepted, all earlier ones are.
    pub(crate) first_index: LogIndex,
    pub(crate) next_heartbeat: Timestamp,
    pub(crate) progress: BTreeMap<HostId, Progress>,
}

impl Leadership {
    /// Starts to lead: adds an entry of the new term and sends it to all members.
    pub(crate) fn start(replica: &mut Replica) -> Self {
        let next = replica.log.last_index().next();
        let first_index = replica.append_payload(Payload::Noop);
        let mut leadership = Self {
            started_at: replica.now,
            first_index,
            next_heartbeat: replica.now,
            progress: BTreeMap::new(),
        };
        leadership.follow_members(replica, next);
        leader::broadcast(replica, &mut leadership);
        leader::advance_commit(replica, &leadership);
        leadership
    }

    /// Tracks exactly the members of the log, beginning with entry `next` for new ones.
    pub(crate) fn follow_members(&mut self, replica: &Replica, next: LogIndex) {
        let members = replica.log.members();
        let others: Vec<&Member> = members
            .voters
            .iter()
            .chain(&members.learners)
            .filter(|it| **it != replica.me)
            .collect();
        self.progress.retain(|_, progress| others.contains(&&progress.member));
        for member in others {
            let fresh = || Progress {
                member: member.clone(),
                matched: LogIndex(0),
                next,
                in_flight: None,
                acked_sent_at: None,
                matched_known_at: Timestamp::default(),
                snapshot_offset: 0,
                is_rolled_back: false,
                heard_at: None,
                tracked_since: replica.now,
            };
            self.progress.entry(member.host).or_insert_with(fresh);
        }
    }

    /// The same, to be changed.
    pub(crate) fn progress_mut(&mut self, member: &Member) -> Option<&mut Progress> {
        self.progress.get_mut(&member.host).filter(|it| it.member == *member)
    }

    /// Whether a majority has answered lately enough for this host to answer as current.
    pub(crate) fn holds_lease(&self, replica: &Replica, now: Timestamp) -> bool {
        self.hears_majority(replica, replica.log.members(), now)
    }

    /// Whether these members would let this host answer as current.
    pub(crate) fn hears_majority_of(&self, replica: &Replica, members: &Members) -> bool {
        self.hears_majority(replica, members, replica.now)
    }

    fn hears_majority(&self, replica: &Replica, members: &Members, now: Timestamp) -> bool {
        let acked = |member: &Member| match *member == replica.me {
            true => Some(now),
            false => self.progress_of(member).and_then(|it| it.acked_sent_at),
        };
        let reached = quorum_value(members, acked).flatten();
        reached.is_some_and(|it| now < it + LEASE_DURATION)
    }

    /// The progress of a member, if it takes part with this disk.
    pub(crate) fn progress_of(&self, member: &Member) -> Option<&Progress> {
        self.progress.get(&member.host).filter(|it| it.member == *member)
    }

    /// Whether the leader has had the time to win a lease.
    pub(crate) fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.started_at + LEASE_DURATION
    }
}
