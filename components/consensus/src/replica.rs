//! The state that a host keeps in every role.

use ids::{FastMap, HostId, Incarnation, LogIndex, Millis, Term, Timestamp};
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
    bootstrap::Bootstrap,
    log::Log,
    members::is_voter,
    settings::{
        CAMPAIGN_RETRY_MIN, ELECTION_TIMEOUT_MIN, LeaseUse, MAX_FOLLOWER_STALENESS,
        RESTART_ELECTION_JITTER, RESTART_ELECTION_MIN, Settings,
    },
    snapshot::IncomingSnapshot,
};

/// Whether the disk of a host takes writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DiskState {
    Writable,
    /// Nothing can be written, so this host doesn't vote, campaign or acknowledge new entries.
    ReadOnly {
        /// The log in memory is that on the disk up to this index.
        durable: LogIndex,
    },
}

/// The state that a host keeps in every role, and its pending actions.
pub(crate) struct Replica {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) vote: Vote,
    pub(crate) log: Log,
    /// Index of the newest entry known to be committed; all entries up to it are applied.
    pub(crate) commit_index: LogIndex,
    pub(crate) leader: Option<HostId>,
    /// When this host last heard from its leader.
    ///
    /// Initially the start time if an acknowledgement from before a restart may support a lease.
    pub(crate) last_leader_contact: Option<Timestamp>,
    /// When each member of the newest log was last heard, or became a member.
    last_heard: FastMap<HostId, Timestamp>,
    /// The commit index in the leader's latest message.
    pub(crate) leader_commit: LogIndex,
    /// Hosts besides the configured voters to which this host announces itself.
    pub(crate) contacts: Vec<HostId>,
    /// When this host starts an election unless it hears from a leader before.
    pub(crate) election_deadline: Timestamp,
    /// Number of campaigns since this host last had a leader.
    campaigns: u32,
    pub(crate) bootstrap: Bootstrap,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) disk_state: DiskState,
    pub(crate) now: Timestamp,
    actions: Vec<Action>,
    rng: Xoshiro256PlusPlus,
}

impl Replica {
    pub(crate) fn restore(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        let identity = persisted.identity;
        let rng = Xoshiro256PlusPlus::seed_from_u64(host_seed(settings.seed, identity.host));
        let commit_index = persisted.snapshot.index;
        let mut replica = Self {
            settings,
            me: Member { host: identity.host, disk: identity.disk },
            vote: persisted.vote,
            log: Log::new(persisted.snapshot, persisted.entries),
            commit_index,
            leader: None,
            last_leader_contact: Some(now),
            last_heard: FastMap::default(),
            leader_commit: LogIndex(0),
            contacts: Vec::new(),
            election_deadline: now,
            campaigns: 0,
            bootstrap: Bootstrap::new(identity.bootstrap, persisted.promised, now),
            incoming_snapshot: None,
            disk_state: DiskState::Writable,
            now,
            actions: Vec::new(),
            rng,
        };
        if replica.settings.lease_use == LeaseUse::Advisory {
            replica.last_leader_contact = None;
        }
        replica.track_members();
        replica.reset_election_timer();
        replica
    }

    /// Aligns the hosts in `last_heard` with the members of the log; new ones count as heard now.
    pub(crate) fn track_members(&mut self) {
        let members = self.log.members();
        let hosts: Vec<HostId> =
            members.voters.iter().chain(&members.learners).map(|it| it.host).collect();
        self.last_heard.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.last_heard.entry(host).or_insert(self.now);
        }
    }

    /// Records that a host was heard, whichever role this host has; ignores hosts that are no members.
    pub(crate) fn record_heard(&mut self, host: HostId) {
        if let Some(at) = self.last_heard.get_mut(&host) {
            *at = self.now;
        }
    }

    /// Returns when a member was last heard; now for a host that is none.
    pub(crate) fn last_heard(&self, host: HostId) -> Timestamp {
        self.last_heard.get(&host).copied().unwrap_or(self.now)
    }

    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn push_action(&mut self, action: Action) {
        if self.disk_state == DiskState::Writable || is_allowed_without_disk(&action) {
            self.actions.push(action);
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        is_voter(self.log.members(), &self.me)
    }

    /// Returns whether this host may start an election.
    ///
    /// This includes a voter that is being removed: until its removal is committed, it can be the
    /// only host whose log is up to date.
    pub(crate) fn may_campaign(&self) -> bool {
        if self.disk_state != DiskState::Writable {
            return false;
        }
        self.is_voter() || (self.has_uncommitted_members() && self.was_voter_before_change())
    }

    /// Returns whether the newest membership entry is not known to be committed.
    pub(crate) fn has_uncommitted_members(&self) -> bool {
        self.log.members_index() > self.commit_index
    }

    fn was_voter_before_change(&self) -> bool {
        let before_change = LogIndex(self.log.members_index().0.saturating_sub(1));
        is_voter(&self.log.members_at(before_change), &self.me)
    }

    /// Sends a message of the current term.
    pub(crate) fn send(&mut self, to: HostId, body: ConsensusBody) {
        self.send_for_term(to, self.vote.term, body);
    }

    pub(crate) fn send_for_term(&mut self, to: HostId, term: Term, body: ConsensusBody) {
        let message = ConsensusMessage { term, disk: self.me.disk, body };
        self.push_action(Action::Send { to, message });
    }

    /// Draws a new election timeout; it is shorter while no contact with a leader is recorded.
    pub(crate) fn reset_election_timer(&mut self) {
        let (min, jitter) = match self.last_leader_contact {
            Some(_) => (ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_MIN),
            None => (RESTART_ELECTION_MIN, RESTART_ELECTION_JITTER),
        };
        let extra = self.rng.next_u64() % (jitter.0 + 1);
        self.election_deadline = self.now + Millis(min.0 + extra);
    }

    /// Starts a campaign: a pre-vote, and an election if that succeeds.
    pub(crate) fn begin_campaign(&mut self) {
        self.campaigns += 1;
        self.reset_campaign_timer();
    }

    /// Draws the time after which the campaign is repeated if it fails.
    ///
    /// No lease has to expire by then, so the first repetitions come sooner than an election timeout.
    /// A host without a majority ends up at the rate of election timeouts.
    pub(crate) fn reset_campaign_timer(&mut self) {
        if self.last_leader_contact.is_none() {
            return self.reset_election_timer();
        }
        let failed = self.campaigns.saturating_sub(1);
        let doubled = CAMPAIGN_RETRY_MIN.0 << failed.min(u32::BITS - 1);
        let min = doubled.min(ELECTION_TIMEOUT_MIN.0);
        let extra = self.rng.next_u64() % (min + 1);
        self.election_deadline = self.now + Millis(min + extra);
    }

    /// Records that the cluster has a leader, which may be this host.
    pub(crate) fn end_campaigns(&mut self) {
        self.campaigns = 0;
    }

    /// Returns whether a leader's lease may still rest on an acknowledgement of this host.
    pub(crate) fn heard_leader_recently(&self) -> bool {
        self.last_leader_contact.is_some_and(|at| self.now < at + ELECTION_TIMEOUT_MIN)
    }

    /// Returns whether this host has applied all entries that its leader recently reported as
    /// committed.
    ///
    /// An entry of the current term must be among them: before it commits one, a new leader does
    /// not know which entries of earlier terms are committed.
    pub(crate) fn is_up_to_date(&self, now: Timestamp) -> bool {
        self.leader.is_some()
            && self.last_leader_contact.is_some_and(|at| now < at + MAX_FOLLOWER_STALENESS)
            && self.commit_index >= self.leader_commit
            && self.log.term_at(self.commit_index) == Some(self.vote.term)
    }

    /// Records a message from the leader of the current term.
    ///
    /// If this host has not voted in the term, it saves the leader as its vote, so that it grants
    /// no other candidate of the same term a vote.
    pub(crate) fn record_leader(&mut self, leader: HostId) {
        self.leader = Some(leader);
        self.last_leader_contact = Some(self.now);
        self.end_campaigns();
        self.reset_election_timer();
        if self.vote.voted_for == VotedFor::Nobody {
            self.save_vote(self.vote.term, VotedFor::Host(leader));
        }
    }

    pub(crate) fn save_vote(&mut self, term: Term, voted_for: VotedFor) {
        self.vote = Vote { term, voted_for };
        self.push_action(Action::Store(Record::Vote(self.vote.clone())));
    }

    /// Appends entries to the log in memory and on disk.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.log.append(&entries);
        if entries.iter().any(|it| matches!(it.payload, Payload::Members(_))) {
            self.track_members();
        }
        self.push_action(Action::Store(Record::Append(entries)));
    }

    /// Appends one entry of the current term.
    pub(crate) fn append_payload(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index().next();
        self.append(vec![Entry { index, term: self.vote.term, payload }]);
        index
    }

    pub(crate) fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.commit_index, "committed entries must not be removed");
        self.log.truncate(from);
        self.track_members();
        if let DiskState::ReadOnly { durable } = &mut self.disk_state {
            *durable = (*durable).min(LogIndex(from.0 - 1));
        }
        self.push_action(Action::Store(Record::Truncate(from)));
    }

    /// Commits and applies the entries up to `index`.
    pub(crate) fn advance_commit(&mut self, index: LogIndex) {
        while self.commit_index < index {
            self.commit_index = self.commit_index.next();
            let entry =
                self.log.entry(self.commit_index).expect("committed entries are in the log");
            let action = match &entry.payload {
                Payload::Noop => continue,
                Payload::Data(data) => Action::Apply { index: entry.index, data: data.clone() },
                Payload::Members(members) => Action::MembersChanged(members.clone()),
            };
            self.push_action(action);
        }
    }

    pub(crate) fn disk(&self) -> Incarnation {
        self.me.disk
    }
}

/// Returns whether an action neither needs the disk nor tells another host of something that should
/// be on it. Replies to appended entries report only what is on the disk.
fn is_allowed_without_disk(action: &Action) -> bool {
    match action {
        Action::Apply { .. } | Action::RestoreState { .. } | Action::MembersChanged(_) => true,
        Action::Store(_) | Action::SaveSnapshot(_) => false,
        Action::Send { message, .. } => matches!(message.body, ConsensusBody::AppendReply(_)),
    }
}

/// Derives a seed that differs between hosts even if their settings' seeds differ by as much as
/// their ids.
fn host_seed(seed: u64, host: HostId) -> u64 {
    seed.rotate_left(u32::BITS) ^ u64::from(host.0)
}
