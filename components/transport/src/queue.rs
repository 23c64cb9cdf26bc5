//! Bounds what waits for the connections to peers.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that wait for one peer at most: two of the largest messages.
const MAX_BYTES_PER_PEER: usize = 8 * 1024 * 1024;

/// Bytes that wait for all peers at most: a fifth of the 160 MB of the smallest hosts.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Room for waiting messages.
#[derive(Debug, Clone)]
pub(crate) struct Room(Arc<Semaphore>);

impl Room {
    /// The room of one peer.
    pub(crate) fn of_peer() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BYTES_PER_PEER)))
    }

    /// The room of all peers together.
    pub(crate) fn of_all() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BYTES)))
    }

    fn take(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        self.0.clone().try_acquire_many_owned(bytes).ok()
    }
}

/// A sealed message that waits, with the room that it takes until it is dropped.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) data: Vec<u8>,
    _room: [OwnedSemaphorePermit; 2],
}

impl Queued {
    /// `None` when there is no room for the message.
    pub(crate) fn new(data: Vec<u8>, peer: &Room, all: &Room) -> Option<Self> {
        let room = [peer.take(data.len())?, all.take(data.len())?];
        Some(Self { data, _room: room })
    }
}
