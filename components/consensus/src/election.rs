//! Elections: pre-votes, votes and the conditions to grant them.

use ids::Term;
use schema::consensus::{ConsensusBody, Member, VoteReply, VoteRequest, VotedFor};
use statig::Outcome::{self, Handled, Super, Transition};

use crate::{
    bootstrap, leadership::Leadership, members::has_quorum, message::Received, replica::Replica,
    role::State,
};

/// Starts a new election when the previous one has timed out.
pub(crate) fn tick(replica: &mut Replica) -> Outcome<State> {
    // This host may have been removed in the meantime; then it gets no votes and has to rejoin.
    bootstrap::tick(replica);
    if replica.now < replica.election_deadline {
        return Handled;
    }
    start_pre_vote(replica)
}

/// Requests pre-votes: asks the voters whether they would vote for this host.
pub(crate) fn start_pre_vote(replica: &mut Replica) -> Outcome<State> {
    if !replica.may_campaign() {
        replica.reset_election_timer();
        return Transition(State::Follower {});
    }
    replica.begin_campaign();
    let votes = vec![replica.me.clone()];
    if has_quorum(replica.log.members(), &votes) {
        return start_election(replica);
    }
    request_votes(replica, true, replica.vote.term.next());
    Transition(State::PreCandidate { votes })
}

/// Counts pre-votes and starts the election once a majority has granted them.
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

/// Counts votes and becomes leader once a majority has granted them.
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
    become_leader(replica)
}

/// Grants or denies a vote or a pre-vote.
pub(crate) fn handle_vote_request(replica: &mut Replica, received: &Received) {
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
        replica.reset_election_timer();
    }
    let term = if granted { received.term } else { replica.vote.term };
    let reply = VoteReply { pre: request.pre, granted };
    replica.send_for_term(received.from.host, term, ConsensusBody::VoteReply(reply));
}

fn grants_pre_vote(replica: &Replica, term: Term, request: &VoteRequest) -> bool {
    term > replica.vote.term
        && !replica.heard_leader_recently()
        && is_log_up_to_date(replica, request)
}

fn grants_vote(replica: &Replica, received: &Received, request: &VoteRequest) -> bool {
    let can_vote_for_candidate = match &replica.vote.voted_for {
        VotedFor::Nobody => true,
        VotedFor::Host(host) => *host == received.from.host,
    };
    received.term == replica.vote.term
        && can_vote_for_candidate
        && !replica.heard_leader_recently()
        && is_log_up_to_date(replica, request)
}

/// Returns whether the candidate's log is at least as up to date as this host's.
///
/// A host with an empty log cannot tell, since it may have lost acknowledged entries; it denies.
fn is_log_up_to_date(replica: &Replica, request: &VoteRequest) -> bool {
    let own = (replica.log.last_term(), replica.log.last_index());
    !replica.log.is_empty() && (request.last_term, request.last_index) >= own
}

fn start_election(replica: &mut Replica) -> Outcome<State> {
    let term = replica.vote.term.next();
    replica.save_vote(term, VotedFor::Host(replica.me.host));
    replica.leader = None;
    replica.reset_campaign_timer();
    let votes = vec![replica.me.clone()];
    if has_quorum(replica.log.members(), &votes) {
        return become_leader(replica);
    }
    request_votes(replica, false, term);
    Transition(State::Candidate { votes })
}

fn become_leader(replica: &mut Replica) -> Outcome<State> {
    replica.leader = Some(replica.me.host);
    replica.end_campaigns();
    let leadership = Leadership::start(replica);
    Transition(State::Leader { leadership: Box::new(leadership) })
}

fn request_votes(replica: &mut Replica, pre: bool, term: Term) {
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
