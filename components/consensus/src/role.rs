//! The state machine of the roles: follower, pre-candidate, candidate and leader.

use ids::HostId;
use schema::consensus::{Member, Payload};
use statig::prelude::*;

use crate::{
    action::ProposeError, bootstrap, election, follower, leader, leadership::Leadership,
    message::Received, replica::Replica,
};

/// Events that a role handles.
pub(crate) enum Event {
    /// Periodic check of timeouts.
    Tick,
    /// A higher term was received and adopted.
    HigherTerm,
    /// A message from a leader of the current term was received.
    LeaderSeen,
    /// A message that was not ignored; an older term is possible.
    Message(Received),
    /// Proposes an entry.
    Propose(Payload),
    /// Proposes to remove a voter.
    RemoveVoter(HostId),
}

/// The state that is shared by all roles, for the handling of one event.
pub(crate) struct Context<'a> {
    pub(crate) replica: &'a mut Replica,
    /// The result of a `Propose` or `RemoveVoter` event.
    pub(crate) propose_result: Result<ids::LogIndex, ProposeError>,
}

/// The role state machine; its data are in the states and in [`Context`].
#[derive(Default)]
pub(crate) struct Role;

#[state_machine(initial = "State::follower()")]
impl Role {
    #[state(superstate = "any_role")]
    fn follower(context: &mut Context<'_>, event: &Event) -> Outcome<State> {
        match event {
            Event::Tick => follower::tick(context.replica),
            Event::Message(received) => follower::handle(context.replica, received),
            Event::HigherTerm | Event::LeaderSeen => Handled,
            Event::Propose(_) | Event::RemoveVoter(_) => Super,
        }
    }

    #[state(superstate = "any_role")]
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

    #[state(superstate = "any_role")]
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

    #[state(superstate = "any_role")]
    fn leader(
        leadership: &mut Box<Leadership>,
        context: &mut Context<'_>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Tick => leader::tick(context.replica, leadership),
            Event::Message(received) => leader::handle(context.replica, leadership, received),
            Event::Propose(payload) => {
                context.propose_result =
                    leader::propose(context.replica, leadership, payload.clone());
                Handled
            }
            Event::RemoveVoter(host) => {
                context.propose_result = leader::remove_voter(context.replica, leadership, *host);
                Handled
            }
            Event::HigherTerm | Event::LeaderSeen => Super,
        }
    }

    #[superstate]
    fn any_role(context: &mut Context<'_>, event: &Event) -> Outcome<State> {
        match event {
            Event::HigherTerm | Event::LeaderSeen => Transition(State::follower()),
            Event::Propose(_) | Event::RemoveVoter(_) => {
                let leader = context.replica.leader;
                context.propose_result = Err(ProposeError::NotLeader { leader });
                Handled
            }
            Event::Message(received) => {
                election::handle_vote_request(context.replica, received);
                bootstrap::handle(context.replica, received);
                Handled
            }
            Event::Tick => Handled,
        }
    }
}
