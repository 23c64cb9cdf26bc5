//! The replicated log of one host, as a value.

use ids::{Blob, HostId, LogIndex, Millis, Term, Timestamp};
use schema::{
    consensus::{ConsensusMessage, Member, Members, Payload, VotedFor},
    operator::{self, VoterStatus},
    storage::Persisted,
};
use statig::prelude::*;

use crate::{
    action::{Action, ProposeError, Proposed, ReadError},
    members::is_voter,
    message::Received,
    replica::Replica,
    role::{Context, Event, Role, State},
    settings::Settings,
};

/// One host's part of the replicated log.
pub struct Consensus {
    role: StateMachine<Role>,
    replica: Replica,
}

impl Consensus {
    /// Resumes from what the disk holds.
    ///
    /// The state that the owner starts with is that of the persisted snapshot.
    pub fn restore(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        Self { role: Role.state_machine(), replica: Replica::restore(settings, persisted, now) }
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
        if !received.is_well_formed() || self.must_ignore(&received) {
            return Vec::new();
        }
        if term > self.replica.vote.term && !received.is_pre_vote() {
            self.replica.leader = None;
            self.replica.save_vote(term, VotedFor::Nobody);
            self.inform(&Event::HigherTerm);
        }
        if received.is_from_leader() {
            if term < self.replica.vote.term {
                return self.tell_term(from);
            }
            if !self.is_leader() {
                self.inform(&Event::LeaderSeen);
            }
        }
        self.inform(&Event::Message(received));
        self.replica.take_actions()
    }

    /// Lets time pass; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.replica.now = now;
        self.inform(&Event::Tick);
        self.replica.take_actions()
    }

    /// Adds a command to the log; it is accepted when its `Apply` comes with the same term.
    pub fn propose(&mut self, now: Timestamp, data: Blob) -> Proposed {
        self.replica.now = now;
        let outcome = self.dispatch(&Event::Propose(Payload::Data(data)));
        Proposed { outcome, actions: self.replica.take_actions() }
    }

    /// Removes a voter.
    pub fn remove_voter(&mut self, now: Timestamp, host: HostId) -> Proposed {
        self.replica.now = now;
        let outcome = self.dispatch(&Event::RemoveVoter(host));
        Proposed { outcome, actions: self.replica.take_actions() }
    }

    /// Whether this host may answer as current; gives the newest accepted entry.
    pub fn read_lease(&self, now: Timestamp) -> Result<LogIndex, ReadError> {
        let State::Leader { leadership } = self.role.state() else {
            return Err(ReadError::NotLeader { leader: self.replica.leader });
        };
        let is_current = self.replica.commit >= leadership.first_index;
        match is_current && leadership.holds_lease(&self.replica, now) {
            true => Ok(self.replica.commit),
            false => Err(ReadError::LeaseExpired),
        }
    }

    /// Whether what this host has applied is current, but for what was accepted a moment ago.
    ///
    /// On a leader this rests on its lease, which a suspended machine can outlive for a moment; to
    /// read with certainty, add an entry to the log and wait until it is accepted.
    pub fn is_current(&self, now: Timestamp) -> bool {
        match self.role.state() {
            State::Leader { .. } => self.read_lease(now).is_ok(),
            State::Follower {} => self.replica.follows_closely(now),
            State::PreCandidate { .. } | State::Candidate { .. } => false,
        }
    }

    /// Names hosts that may know the leader, for a host that has to announce itself.
    pub fn set_contacts(&mut self, contacts: Vec<HostId>) {
        self.replica.contacts = contacts;
    }

    /// Puts the state after entry `index` in the place of the log up to there.
    pub fn compact(&mut self, index: LogIndex, data: Blob) -> Vec<Action> {
        if index > self.replica.commit || index <= self.replica.log.snapshot().index {
            return Vec::new();
        }
        if let Some(snapshot) = self.replica.log.make_snapshot(index, data) {
            self.replica.log.install(snapshot.clone());
            self.replica.act(Action::SaveSnapshot(snapshot));
        }
        self.replica.take_actions()
    }

    /// The role that this host plays.
    pub fn role(&self) -> operator::Role {
        match self.role.state() {
            State::Follower {} => operator::Role::Follower,
            State::PreCandidate { .. } => operator::Role::PreCandidate,
            State::Candidate { .. } => operator::Role::Candidate,
            State::Leader { .. } => operator::Role::Leader,
        }
    }

    /// Whether this host leads, with or without its lease.
    pub fn is_leader(&self) -> bool {
        matches!(self.role.state(), State::Leader { .. })
    }

    /// The leader that this host follows, when known.
    pub fn leader(&self) -> Option<HostId> {
        self.replica.leader
    }

    /// The term of this host.
    pub fn term(&self) -> Term {
        self.replica.vote.term
    }

    /// The newest entry that this host knows to be accepted.
    pub fn commit_index(&self) -> LogIndex {
        self.replica.commit
    }

    /// The newest entry that this host holds.
    pub fn last_index(&self) -> LogIndex {
        self.replica.log.last_index()
    }

    /// The index of the newest snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.replica.log.snapshot().index
    }

    /// The members by the newest entry that names them.
    pub fn members(&self) -> &Members {
        self.replica.log.members()
    }

    /// Whether the newest change of members is accepted.
    pub fn is_membership_committed(&self) -> bool {
        !self.replica.has_unsettled_members()
    }

    /// Whether this host is a voter with its present disk.
    pub fn is_voter(&self) -> bool {
        self.replica.is_voter()
    }

    /// What this host knows of the other members, if it leads.
    pub fn peers(&self, now: Timestamp) -> Vec<VoterStatus> {
        let State::Leader { leadership } = self.role.state() else {
            return Vec::new();
        };
        let members = self.replica.log.members();
        let status = |progress: &crate::leadership::Progress| VoterStatus {
            host: progress.member.host,
            voter: is_voter(members, &progress.member),
            matched: progress.matched,
            last_heard_ms: progress.heard_at.map_or(Millis(u64::MAX), |at| now.since(at)),
        };
        leadership.progress.values().map(status).collect()
    }

    /// A request for a vote means nothing while a leader may hold its lease.
    fn must_ignore(&self, received: &Received) -> bool {
        let is_vote_request =
            matches!(received.body, schema::consensus::ConsensusBody::VoteRequest(_));
        is_vote_request && !received.is_pre_vote() && self.replica.heard_leader_lately()
    }

    /// Tells a leader of the past that there is a newer term.
    fn tell_term(&mut self, to: HostId) -> Vec<Action> {
        use schema::consensus::{ConsensusBody, VoteReply};
        let reply = VoteReply { pre: false, granted: false };
        self.replica.send(to, ConsensusBody::VoteReply(reply));
        self.replica.take_actions()
    }

    /// Passes on an event that has no outcome.
    fn inform(&mut self, event: &Event) {
        let _ = self.dispatch(event);
    }

    fn dispatch(&mut self, event: &Event) -> Result<LogIndex, ProposeError> {
        let proposed = Err(ProposeError::NotLeader { leader: None });
        let mut context = Context { replica: &mut self.replica, proposed };
        self.role.handle_with_context(event, &mut context);
        context.proposed
    }
}
