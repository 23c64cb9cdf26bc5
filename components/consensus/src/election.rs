//! Elections: pre-votes, votes and when they are granted.

use ids::Term;
use schema::consensus::{ConsensusBody, Member, VoteReply, VoteRequest, VotedFor};
use statig::Outcome::{self, Handled, Super, Transition};

use crate::{
    founding, leadership::Leadership, members::has_quorum, message::Received, replica::Replica,
    role::State,
};

/// Asks for a new election when the last one came to nothing.
pub(crate) fn tick(replica: &mut Replica) -> Outcome<State> {
    // The host may have been removed meanwhile, so that nobody votes for it.
    founding::tick(replica);
    if replica.now < replica.election_at {
        return Handled;
    }
    start_pre_vote(replica)
}

/// Asks the voters whether they would vote for this host.
pub(crate) fn start_pre_vote(replica: &mut Replica) -> Outcome<State> {
    replica.postpone_election();
    if !replica.may_campaign() {
        return Transition(State::Follower {});
    }
    let votes = vec![replica.me.clone()];
    if has_quorum(replica.log.members(), &votes) {
        return start_election(replica);
    }
    ask_for_votes(replica, true, replica.vote.term.next());
    Transition(State::PreCandidate { votes })
}

/// Counts pre-votes and starts the election proper with a majority of them.
pub(crate) fn count_pre_vote(
    replica: &mut Replica,
    votes: &mut Vec<Member>,
    received: &Received,
) -> Outcome<State> {
    let ConsensusBody::VoteReply(reply) = &received.body else {
        return Super;
    };
    let is_for_next_term = received.term == replica.vote.term.next();
    if !reply.pre || !reply.granted || !is_for_next_term {
        return Handled;
    }
    votes.push(received.from.clone());
    if !has_quorum(replica.log.members(), votes) {
        return Handled;
    }
    start_election(replica)
}

/// Counts votes and leads with a majority of them.
pub(crate) fn count_vote(
    replica: &mut Replica,
    votes: &mut Vec<Member>,
    received: &Received,
) -> Outcome<State> {
    let ConsensusBody::VoteReply(reply) = &received.body else {
        return Super;
    };
    if reply.pre || !reply.granted || received.term != replica.vote.term {
        return Handled;
    }
    votes.push(received.from.clone());
    if !has_quorum(replica.log.members(), votes) {
        return Handled;
    }
    lead(replica)
}

/// Answers a request for a vote or a pre-vote.
pub(crate) fn answer(replica: &mut Replica, received: &Received) {
    let ConsensusBody::VoteRequest(request) = &received.body else {
        return;
    };
    let granted = match request.pre {
        true => grants_pre_vote(replica, received.term, request),
        false => grants_vote(replica, received, request),
    };
    if granted && !request.pre {
        let candidate = VotedFor::Host(received.from.host);
        if replica.vote.voted_for != candidate {
            replica.save_vote(received.term, candidate);
        }
        replica.postpone_election();
    }
    let term = if granted { received.term } else { replica.vote.term };
    let reply = VoteReply { pre: request.pre, granted };
    replica.send_for_term(received.from.host, term, ConsensusBody::VoteReply(reply));
}

fn grants_pre_vote(replica: &Replica, term: Term, request: &VoteRequest) -> bool {
    term > replica.vote.term && !replica.heard_leader_lately() && is_current(replica, request)
}

fn grants_vote(replica: &Replica, received: &Received, request: &VoteRequest) -> bool {
    let is_free = match &replica.vote.voted_for {
        VotedFor::Nobody => true,
        VotedFor::Host(host) => *host == received.from.host,
    };
    received.term == replica.vote.term
        && is_free
        && !replica.heard_leader_lately()
        && is_current(replica, request)
}

/// Whether the candidate's log holds all that this host has acknowledged.
///
/// A host with an empty log can't tell and abstains.
fn is_current(replica: &Replica, request: &VoteRequest) -> bool {
    let own = (replica.log.last_term(), replica.log.last_index());
    !replica.log.is_empty() && (request.last_term, request.last_index) >= own
}

fn start_election(replica: &mut Replica) -> Outcome<State> {
    let term = replica.vote.term.next();
    replica.save_vote(term, VotedFor::Host(replica.me.host));
    replica.leader = None;
    replica.postpone_election();
    let votes = vec![replica.me.clone()];
    if has_quorum(replica.log.members(), &votes) {
        return lead(replica);
    }
    ask_for_votes(replica, false, term);
    Transition(State::Candidate { votes })
}

fn lead(replica: &mut Replica) -> Outcome<State> {
    replica.leader = Some(replica.me.host);
    let leadership = Leadership::start(replica);
    Transition(State::Leader { leadership: Box::new(leadership) })
}

fn ask_for_votes(replica: &mut Replica, pre: bool, term: Term) {
    let request = VoteRequest {
        pre,
        last_index: replica.log.last_index(),
        last_term: replica.log.last_term(),
    };
    for member in replica.log.members().voters.clone() {
        if member != replica.me {
            let body = ConsensusBody::VoteRequest(request.clone());
            replica.send_for_term(member.host, term, body);
        }
    }
}
