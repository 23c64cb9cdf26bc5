//! The roles of a host: follower, pre-candidate, candidate and leader.

use ids::HostId;
use schema::consensus::{Member, Payload};
use statig::prelude::*;

use crate::{
    action::ProposeError, election, follower, founding, leader, leadership::Leadership,
    message::Received, replica::Replica,
};

/// What happens to a role.
pub(crate) enum Event {
    /// Time has passed.
    Tick,
    /// A higher term than the own one was seen and adopted.
    HigherTerm,
    /// A leader of the own term was heard.
    LeaderSeen,
    /// A message of the own term, or a pre-vote.
    Message(Received),
    /// A command for the log.
    Propose(Payload),
    /// An operator's wish to remove a voter.
    RemoveVoter(HostId),
}

/// What the roles work on.
pub(crate) struct Context<'a> {
    pub(crate) replica: &'a mut Replica,
    /// The outcome of `Propose` and `RemoveVoter`.
    pub(crate) proposed: Result<ids::LogIndex, ProposeError>,
}

/// The machine of roles; its data are in the states and in the context.
#[derive(Default)]
pub(crate) struct Role;

#[state_machine(initial = "State::follower()")]
impl Role {
    #[state(superstate = "any")]
    fn follower(context: &mut Context<'_>, event: &Event) -> Outcome<State> {
        match event {
            Event::Tick => follower::tick(context.replica),
            Event::Message(received) => follower::handle(context.replica, received),
            Event::HigherTerm | Event::LeaderSeen => Handled,
            Event::Propose(_) | Event::RemoveVoter(_) => Super,
        }
    }

    #[state(superstate = "any")]
    fn pre_candidate(
        votes: &mut Vec<Member>,
        context: &mut Context<'_>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Tick => election::tick(context.replica),
            Event::Message(received) => election::count_pre_vote(context.replica, votes, received),
            _ => Super,
        }
    }

    #[state(superstate = "any")]
    fn candidate(
        votes: &mut Vec<Member>,
        context: &mut Context<'_>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Tick => election::tick(context.replica),
            Event::Message(received) => election::count_vote(context.replica, votes, received),
            _ => Super,
        }
    }

    #[state(superstate = "any")]
    fn leader(
        leadership: &mut Box<Leadership>,
        context: &mut Context<'_>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Tick => leader::tick(context.replica, leadership),
            Event::Message(received) => leader::handle(context.replica, leadership, received),
            Event::Propose(payload) => {
                context.proposed = leader::propose(context.replica, leadership, payload.clone());
                Handled
            }
            Event::RemoveVoter(host) => {
                context.proposed = leader::remove_voter(context.replica, leadership, *host);
                Handled
            }
            Event::HigherTerm | Event::LeaderSeen => Super,
        }
    }

    #[superstate]
    fn any(context: &mut Context<'_>, event: &Event) -> Outcome<State> {
        match event {
            Event::HigherTerm | Event::LeaderSeen => Transition(State::follower()),
            Event::Propose(_) | Event::RemoveVoter(_) => {
                let leader = context.replica.leader;
                context.proposed = Err(ProposeError::NotLeader { leader });
                Handled
            }
            Event::Message(received) => {
                election::answer(context.replica, received);
                founding::handle(context.replica, received);
                Handled
            }
            Event::Tick => Handled,
        }
    }
}
