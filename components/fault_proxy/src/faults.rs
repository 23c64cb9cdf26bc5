//! The faults that are currently injected.

use std::{sync::Mutex, time::Duration};

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use tokio::sync::watch;

/// A fault that affects the data of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Data passes unchanged.
    #[default]
    None,
    /// Data is delayed by this long.
    Delay(Duration),
    /// Data is discarded; connections stay open, and new ones are still accepted.
    Blackhole,
    /// Datagrams are dropped; data of connections is held back until the fault changes.
    Frozen,
    /// Each datagram is dropped with this probability, in percent; connections are unaffected.
    Loss(u32),
    /// Each datagram gets a random delay of up to this long; connections are unaffected.
    Reorder(Duration),
    /// Each connection is closed after this many bytes, counted from its start.
    Truncate(usize),
}

/// The direction of data: forward is towards the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Forward,
    Backward,
}

/// The current faults of both directions, and the random generator that they use.
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

    /// Closes all connections.
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

    /// Returns a random number below `limit`, or 0 if `limit` is 0.
    pub(crate) fn draw(&self, limit: u32) -> u32 {
        self.rng.lock().expect("no holder panics").next_u32() % limit.max(1)
    }
}
