//! The states that this host goes through: joining, serving, draining, stopped.

use schema::membership::MemberState;
use statig::prelude::*;

/// What moves a host on in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// The host holds all that it needs to serve.
    Ready,
    /// The host is asked to finish its work.
    Drain,
    /// The host leaves.
    Stop,
}

/// The life of this host; it never goes back.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle;

#[state_machine(initial = "State::joining()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl Lifecycle {
    #[state]
    fn joining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Ready => Transition(State::serving()),
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Stop => Transition(State::stopped()),
        }
    }

    #[state]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Ready => Handled,
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Stop => Transition(State::stopped()),
        }
    }

    #[state]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Ready | LifecycleEvent::Drain => Handled,
            LifecycleEvent::Stop => Transition(State::stopped()),
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}

impl From<State> for MemberState {
    fn from(state: State) -> Self {
        match state {
            State::Joining {} => Self::Joining,
            State::Serving {} => Self::Serving,
            State::Draining {} => Self::Draining,
            State::Stopped {} => Self::Stopped,
        }
    }
}
