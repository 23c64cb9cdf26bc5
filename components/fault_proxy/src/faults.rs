//! The faults that are injected now.

use std::{sync::Mutex, time::Duration};

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use tokio::sync::watch;

/// What happens to the data of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It passes.
    #[default]
    None,
    /// It passes later.
    Delay(Duration),
    /// It vanishes; connections stay open, and new ones are accepted and stay silent.
    Cut,
    /// It waits until the fault ends.
    Frozen,
    /// Each datagram is lost with this chance, in percent; connections pass.
    Loss(u32),
    /// Each datagram is delayed by up to this long, so that some overtake others.
    Reorder(Duration),
    /// After this many bytes a connection is closed.
    Truncate(usize),
}

/// The direction of data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Forward,
    Backward,
}

/// The faults of both directions.
pub(crate) struct Faults {
    forward: watch::Sender<Fault>,
    backward: watch::Sender<Fault>,
    closed: watch::Sender<bool>,
    rng: Mutex<Xoshiro256PlusPlus>,
}

impl Faults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            forward: watch::Sender::new(Fault::None),
            backward: watch::Sender::new(Fault::None),
            closed: watch::Sender::new(false),
            rng: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
        }
    }

    pub(crate) fn set_forward(&self, fault: Fault) {
        self.forward.send_replace(fault);
    }

    pub(crate) fn set_backward(&self, fault: Fault) {
        self.backward.send_replace(fault);
    }

    /// Ends all connections.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    pub(crate) fn subscribe(&self, direction: Direction) -> watch::Receiver<Fault> {
        match direction {
            Direction::Forward => self.forward.subscribe(),
            Direction::Backward => self.backward.subscribe(),
        }
    }

    pub(crate) fn subscribe_closed(&self) -> watch::Receiver<bool> {
        self.closed.subscribe()
    }

    pub(crate) fn current(&self, direction: Direction) -> Fault {
        match direction {
            Direction::Forward => *self.forward.borrow(),
            Direction::Backward => *self.backward.borrow(),
        }
    }

    /// A random number below `limit`.
    pub(crate) fn draw(&self, limit: u32) -> u32 {
        self.rng.lock().expect("no holder panics").next_u32() % limit.max(1)
    }
}
