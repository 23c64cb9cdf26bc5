//! The consensus state machine of one host.

use ids::{Blob, HostId, LogIndex, Millis, Term, Timestamp};
use schema::{
    consensus::{ConsensusMessage, Member, Members, Payload, VotedFor},
    operator::{self, VoterStatus},
    storage::Persisted,
};
use statig::prelude::*;

use crate::{
    action::{Action, ProposeError, Proposed, ReadError},
    bootstrap,
    members::is_voter,
    message::Received,
    replica::{DiskState, Replica},
    role::{Context, Event, Role, State},
    settings::Settings,
};

/// One host's replica of the log and its role in the cluster.
pub struct Consensus {
    role: StateMachine<Role>,
    replica: Replica,
}

impl Consensus {
    /// Restores a host from its persisted state.
    ///
    /// The owner's replicated state must start out as that of the persisted snapshot.
    pub fn restore(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        Self { role: Role.state_machine(), replica: Replica::restore(settings, persisted, now) }
    }

    /// Restores a host whose disk takes no writes.
    ///
    /// It follows the leader in memory, but doesn't vote, campaign or acknowledge new entries, and
    /// returns no actions that write. What it learns is lost when it is restored from its disk.
    pub fn restore_read_only(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        let mut consensus = Self::restore(settings, persisted, now);
        let durable = consensus.replica.log.last_index();
        consensus.replica.disk_state = DiskState::ReadOnly { durable };
        consensus
    }

    /// Handles a message from another host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: ConsensusMessage,
    ) -> Vec<Action> {
        self.replica.now = now;
        let ConsensusMessage { term, disk, body } = message;
        let received = Received { from: Member { host: from, disk }, term, body };
        if !received.is_well_formed() || self.is_ignored_vote_request(&received) {
            return Vec::new();
        }
        self.replica.record_heard(from);
        if term > self.replica.vote.term && !received.is_pre_vote() {
            self.replica.leader = None;
            self.replica.save_vote(term, VotedFor::Nobody);
            self.notify(&Event::HigherTerm);
        }
        if received.is_from_leader() {
            if term < self.replica.vote.term {
                return self.reject_stale_leader(from);
            }
            if !self.is_leader() {
                self.notify(&Event::LeaderSeen);
            }
        }
        self.notify(&Event::Message(received));
        self.replica.take_actions()
    }

    /// Handles timeouts; must be called about every 50 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.replica.now = now;
        self.notify(&Event::Tick);
        self.replica.take_actions()
    }

    /// Appends a command to the log.
    ///
    /// The command is committed once an `Apply` action with its index is returned and the term is
    /// still the same; in a later term another command may have replaced it.
    pub fn propose(&mut self, now: Timestamp, data: Blob) -> Proposed {
        self.replica.now = now;
        let outcome = self.dispatch(&Event::Propose(Payload::Data(data)));
        Proposed { outcome, actions: self.replica.take_actions() }
    }

    /// Proposes to remove a voter from the cluster.
    pub fn remove_voter(&mut self, now: Timestamp, host: HostId) -> Proposed {
        self.replica.now = now;
        let outcome = self.dispatch(&Event::RemoveVoter(host));
        Proposed { outcome, actions: self.replica.take_actions() }
    }

    /// Returns the commit index if this host may serve reads under its lease.
    ///
    /// A new leader may do so only once an entry of its own term is committed.
    pub fn lease_read_index(&self, now: Timestamp) -> Result<LogIndex, ReadError> {
        let State::Leader { leadership } = self.role.state() else {
            return Err(ReadError::NotLeader { leader: self.replica.leader });
        };
        let has_committed_in_term = self.replica.commit_index >= leadership.first_index;
        match has_committed_in_term && leadership.holds_lease(&self.replica, now) {
            true => Ok(self.replica.commit_index),
            false => Err(ReadError::LeaseExpired),
        }
    }

    /// Returns whether the applied state is up to date, except for the latest commits.
    ///
    /// On a leader this relies on the lease. A machine that was suspended can take an expired lease
    /// for valid for a moment; a linearizable read must append an entry and wait for its commit.
    pub fn is_current(&self, now: Timestamp) -> bool {
        match self.role.state() {
            State::Leader { .. } => self.lease_read_index(now).is_ok(),
            State::Follower {} => self.replica.is_up_to_date(now),
            State::PreCandidate { .. } | State::Candidate { .. } => false,
        }
    }

    /// Returns whether this host knows what was committed at a time: it has heard from the leader since,
    /// or leads.
    ///
    /// A leader with a lease needs no message for that, since no other host can commit meanwhile.
    pub fn has_heard_since(&self, time: Timestamp) -> bool {
        self.is_leader() || self.replica.last_leader_contact.is_some_and(|at| at >= time)
    }

    /// Records that a host was heard by other means than the messages of the log.
    pub fn record_contact(&mut self, now: Timestamp, host: HostId) {
        self.replica.now = now;
        self.replica.record_heard(host);
    }

    /// Sets hosts that may know the leader; this host announces itself to them when it must.
    pub fn set_contacts(&mut self, contacts: Vec<HostId>) {
        self.replica.contacts = contacts;
    }

    /// Replaces the log up to and including `index` by a snapshot of the state at that index.
    pub fn compact(&mut self, index: LogIndex, data: Blob) -> Vec<Action> {
        if index > self.replica.commit_index || index <= self.replica.log.snapshot().index {
            return Vec::new();
        }
        if let Some(snapshot) = self.replica.log.make_snapshot(index, data) {
            self.replica.log.install_snapshot(snapshot.clone());
            self.replica.push_action(Action::SaveSnapshot(snapshot));
        }
        self.replica.take_actions()
    }

    /// Returns the role of this host.
    pub fn role(&self) -> operator::Role {
        match self.role.state() {
            State::Follower {} => operator::Role::Follower,
            State::PreCandidate { .. } => operator::Role::PreCandidate,
            State::Candidate { .. } => operator::Role::Candidate,
            State::Leader { .. } => operator::Role::Leader,
        }
    }

    /// Returns whether this host is the leader, with or without a valid lease.
    pub fn is_leader(&self) -> bool {
        matches!(self.role.state(), State::Leader { .. })
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<HostId> {
        self.replica.leader
    }

    /// Returns the current term of this host.
    pub fn term(&self) -> Term {
        self.replica.vote.term
    }

    /// Returns the index of the newest entry that this host knows to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.replica.commit_index
    }

    /// Returns the index of the last entry in this host's log.
    pub fn last_index(&self) -> LogIndex {
        self.replica.log.last_index()
    }

    /// Returns the index of the newest snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.replica.log.snapshot().index
    }

    /// Returns the members by the newest membership entry, committed or not.
    pub fn members(&self) -> &Members {
        self.replica.log.members()
    }

    /// Returns whether the newest membership entry is committed.
    pub fn is_membership_committed(&self) -> bool {
        !self.replica.has_uncommitted_members()
    }

    /// Returns whether this host is a voter with its current disk.
    pub fn is_voter(&self) -> bool {
        self.replica.is_voter()
    }

    /// Returns the initial voters for which this host waits to bootstrap the cluster; empty if it
    /// takes part in no bootstrap, or if all have been heard recently.
    pub fn missing_initial_voters(&self, now: Timestamp) -> Vec<HostId> {
        bootstrap::missing_voters(&self.replica, now)
    }

    /// Returns the replication status of the other members; empty unless this host is the leader.
    pub fn peers(&self, now: Timestamp) -> Vec<VoterStatus> {
        let State::Leader { leadership } = self.role.state() else {
            return Vec::new();
        };
        let members = self.replica.log.members();
        let status = |progress: &crate::leadership::Progress| VoterStatus {
            host: progress.member.host,
            voter: is_voter(members, &progress.member),
            matched: progress.matched,
            last_heard_ms: progress.last_response_at.map_or(Millis(u64::MAX), |at| now.since(at)),
        };
        leadership.progress.values().map(status).collect()
    }

    /// Returns whether the message is a vote request that must be dropped, without adopting its
    /// term, because a leader may still hold its lease.
    fn is_ignored_vote_request(&self, received: &Received) -> bool {
        let is_vote_request =
            matches!(received.body, schema::consensus::ConsensusBody::VoteRequest(_));
        is_vote_request && !received.is_pre_vote() && self.replica.heard_leader_recently()
    }

    /// Informs a leader of an earlier term about the current term.
    fn reject_stale_leader(&mut self, to: HostId) -> Vec<Action> {
        use schema::consensus::{ConsensusBody, VoteReply};
        let reply = VoteReply { pre: false, granted: false };
        self.replica.send(to, ConsensusBody::VoteReply(reply));
        self.replica.take_actions()
    }

    /// Dispatches an event that proposes nothing.
    fn notify(&mut self, event: &Event) {
        let _ = self.dispatch(event);
    }

    fn dispatch(&mut self, event: &Event) -> Result<LogIndex, ProposeError> {
        let propose_result = Err(ProposeError::NotLeader { leader: None });
        let mut context = Context { replica: &mut self.replica, propose_result };
        self.role.handle_with_context(event, &mut context);
        context.propose_result
    }
}
