//! What a host of the replicated log holds in every role.

use ids::{HostId, Incarnation, LogIndex, Millis, Term, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::{
    consensus::{ConsensusBody, ConsensusMessage, Entry, Member, Payload, Vote, VotedFor},
    storage::{Persisted, Record},
};

use crate::{
    action::Action,
    founding::Founding,
    log::Log,
    members::is_voter,
    settings::{
        ELECTION_TIMEOUT_MIN, LeaseUse, MAX_FOLLOWER_STALENESS, RESTART_ELECTION_MIN,
        RESTART_ELECTION_SPREAD, Settings,
    },
    snapshot::IncomingSnapshot,
};

/// What a host holds in every role, and the actions that it has decided on.
pub(crate) struct Replica {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) vote: Vote,
    pub(crate) log: Log,
    /// The newest entry known to be accepted; all up to it are applied.
    pub(crate) commit: LogIndex,
    pub(crate) leader: Option<HostId>,
    /// When this host last heard its leader, or started if an answer from before may count.
    pub(crate) leader_heard_at: Option<Timestamp>,
    /// The newest entry that the leader called accepted in its last message.
    pub(crate) leader_commit: LogIndex,
    /// Hosts besides the founding ones to which this host announces itself.
    pub(crate) contacts: Vec<HostId>,
    /// When this host asks for votes unless it hears a leader before.
    pub(crate) election_at: Timestamp,
    pub(crate) founding: Founding,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) now: Timestamp,
    actions: Vec<Action>,
    random: Xoshiro256PlusPlus,
}

impl Replica {
    pub(crate) fn restore(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        let identity = persisted.identity;
        let random = Xoshiro256PlusPlus::seed_from_u64(mix(settings.seed, identity.host));
        let commit = persisted.snapshot.index;
        let mut replica = Self {
            settings,
            me: Member { host: identity.host, disk: identity.disk },
            vote: persisted.vote,
            log: Log::new(persisted.snapshot, persisted.entries),
            commit,
            leader: None,
            leader_heard_at: Some(now),
            leader_commit: LogIndex(0),
            contacts: Vec::new(),
            election_at: now,
            founding: Founding::new(identity.bootstrap, persisted.promised),
            incoming: None,
            now,
            actions: Vec::new(),
            random,
        };
        if replica.settings.lease_use == LeaseUse::Advisory {
            replica.leader_heard_at = None;
        }
        replica.postpone_election();
        replica
    }

    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn is_voter(&self) -> bool {
        is_voter(self.log.members(), &self.me)
    }

    /// Whether this host may ask for votes.
    ///
    /// A voter that is being removed still may: until its removal is accepted, it can be the only
    /// one whose log is new enough.
    pub(crate) fn may_campaign(&self) -> bool {
        self.is_voter() || (self.has_unsettled_members() && self.was_voter())
    }

    /// Whether the newest change of members is not known to be accepted.
    pub(crate) fn has_unsettled_members(&self) -> bool {
        self.log.members_index() > self.commit
    }

    fn was_voter(&self) -> bool {
        let before_change = LogIndex(self.log.members_index().0.saturating_sub(1));
        is_voter(&self.log.members_at(before_change), &self.me)
    }

    /// Sends a message of the current term.
    pub(crate) fn send(&mut self, to: HostId, body: ConsensusBody) {
        self.send_for_term(to, self.vote.term, body);
    }

    pub(crate) fn send_for_term(&mut self, to: HostId, term: Term, body: ConsensusBody) {
        let message = ConsensusMessage { term, disk: self.me.disk, body };
        self.act(Action::Send { to, message });
    }

    /// Draws the time of the next election; a host that has heard no leader since its start waits
    /// less.
    pub(crate) fn postpone_election(&mut self) {
        let (least, spread) = match self.leader_heard_at {
            Some(_) => (ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_MIN),
            None => (RESTART_ELECTION_MIN, RESTART_ELECTION_SPREAD),
        };
        let extra = self.random.next_u64() % (spread.0 + 1);
        self.election_at = self.now + Millis(least.0 + extra);
    }

    /// Whether another leader may still hold its lease by this host's answer.
    pub(crate) fn heard_leader_lately(&self) -> bool {
        self.leader_heard_at.is_some_and(|at| self.now < at + ELECTION_TIMEOUT_MIN)
    }

    /// Whether this host holds all that its leader called accepted a moment ago.
    ///
    /// A new leader knows what its predecessors accepted only once an entry of its own term is.
    pub(crate) fn follows_closely(&self, now: Timestamp) -> bool {
        self.leader.is_some()
            && self.leader_heard_at.is_some_and(|at| now < at + MAX_FOLLOWER_STALENESS)
            && self.commit >= self.leader_commit
            && self.log.term_at(self.commit) == Some(self.vote.term)
    }

    pub(crate) fn note_leader(&mut self, leader: HostId) {
        self.leader = Some(leader);
        self.leader_heard_at = Some(self.now);
        self.postpone_election();
        if self.vote.voted_for == VotedFor::Nobody {
            self.save_vote(self.vote.term, VotedFor::Host(leader));
        }
    }

    pub(crate) fn save_vote(&mut self, term: Term, voted_for: VotedFor) {
        self.vote = Vote { term, voted_for };
        self.act(Action::Store(Record::Vote(self.vote.clone())));
    }

    /// Adds entries to the log and to the disk.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.log.append(&entries);
        self.act(Action::Store(Record::Append(entries)));
    }

    /// Adds one entry of the current term.
    pub(crate) fn append_payload(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index().next();
        self.append(vec![Entry { index, term: self.vote.term, payload }]);
        index
    }

    pub(crate) fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.commit, "accepted entries are never removed");
        self.log.truncate(from);
        self.act(Action::Store(Record::Truncate(from)));
    }

    /// Takes the entries up to `index` as accepted and applies them.
    pub(crate) fn advance_commit(&mut self, index: LogIndex) {
        while self.commit < index {
            self.commit = self.commit.next();
            let entry = self.log.entry(self.commit).expect("accepted entries are held");
            let action = match &entry.payload {
                Payload::Noop => continue,
                Payload::Data(data) => Action::Apply { index: entry.index, data: data.clone() },
                Payload::Members(members) => Action::MembersChanged(members.clone()),
            };
            self.act(action);
        }
    }

    pub(crate) fn disk(&self) -> Incarnation {
        self.me.disk
    }
}

/// A seed that differs between hosts, also when their settings differ by as much as their ids.
fn mix(seed: u64, host: HostId) -> u64 {
    seed.rotate_left(u32::BITS) ^ u64::from(host.0)
}
