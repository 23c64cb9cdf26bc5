//! The lifecycle of this host: joining, serving, draining, stopped.

use schema::membership::MemberState;
use statig::prelude::*;

/// An event that may advance the lifecycle of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// The host has everything that it needs to serve.
    Ready,
    /// The host finishes its work and accepts no more.
    Drain,
    /// The host leaves the fleet.
    Stop,
}

/// The lifecycle state machine, which never returns to an earlier state.
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
