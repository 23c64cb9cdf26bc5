//! What is held for one client, and whether it may give way.

use ids::{ByteSize, Millis, Timestamp};

use crate::{
    limits::{CONNECTION_BYTES, RECEIVE_BUFFER_BYTES, SMALL_BYTES},
    memory::Listener,
};

/// Time without progress after which a client gives way if others need the room, in milliseconds.
pub(crate) const STALL_TIME: Millis = Millis(500);

/// Bytes that count as progress, unless they are the last ones: a client that sends or reads single
/// bytes makes none.
const PROGRESS_BYTES: u64 = 16 * 1024;

/// A head may take up to twice its size, since its buffer grows by doubling.
const HEAD_FACTOR: u64 = 2;

/// What a client's connection is busy with.
///
/// `Idle`: no request has begun. `ReadsHead`: a part of a request head has arrived. `ReadsBody`: the
/// head is complete. `InWork`: the request is complete and may be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum Stage {
    /// awaits-request
    Idle,
    /// reads-head
    ReadsHead,
    /// reads-body
    ReadsBody,
    /// in-work
    InWork,
    /// writes-response
    WritesResponse,
}

/// Why a client gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum Eviction {
    /// stalled
    Stalled,
    /// late
    Late,
    /// idle
    Idle,
}

impl Eviction {
    /// Returns the value of the label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Late => "late",
            Self::Idle => "idle",
        }
    }
}

/// What is held for one client.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) listener: Listener,
    stage: Stage,
    /// Bytes of the head of the current request, or of the next one.
    head: u64,
    /// Bytes of bodies and responses.
    held: u64,
    stage_since: Timestamp,
    /// When the latest progress was made.
    progressed: Timestamp,
    /// Bytes that arrived or were written since then.
    since_progress: u64,
    /// Bytes of the body that have arrived.
    received: u64,
    /// Length of the body, if it is announced.
    announced: Option<u64>,
    /// When the client stops waiting.
    deadline: Option<Timestamp>,
}

impl Client {
    pub(crate) fn new(now: Timestamp, listener: Listener) -> Self {
        Self {
            listener,
            stage: Stage::Idle,
            head: 0,
            held: 0,
            stage_since: now,
            progressed: now,
            since_progress: 0,
            received: 0,
            announced: None,
            deadline: None,
        }
    }

    /// Returns all that is held for the client.
    pub(crate) fn total(&self) -> u64 {
        let unread = match self.stage {
            Stage::InWork | Stage::WritesResponse => RECEIVE_BUFFER_BYTES,
            Stage::Idle | Stage::ReadsHead | Stage::ReadsBody => 0,
        };
        CONNECTION_BYTES + unread + self.head * HEAD_FACTOR + self.held
    }

    /// Returns all that is held for the client if its request or response is large.
    pub(crate) fn large(&self) -> u64 {
        if self.held > SMALL_BYTES { self.total() } else { 0 }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage
    }

    pub(crate) fn enter(&mut self, now: Timestamp, stage: Stage) {
        if stage == Stage::Idle {
            self.head = 0;
        }
        if stage == Stage::ReadsBody && self.stage != Stage::ReadsBody {
            (self.received, self.announced, self.deadline) = (0, None, None);
        }
        self.stage = stage;
        self.stage_since = now;
        self.mark_progress(now);
    }

    pub(crate) fn begin_body(&mut self, announced: Option<ByteSize>, deadline: Option<Timestamp>) {
        self.announced = announced.map(|it| it.0);
        self.deadline = deadline;
    }

    pub(crate) fn add_head(&mut self, bytes: u64) {
        self.head += bytes;
    }

    pub(crate) fn add_held(&mut self, bytes: u64) {
        self.held += bytes;
    }

    pub(crate) fn release(&mut self, bytes: u64) {
        debug_assert!(bytes <= self.held, "{bytes} of {} bytes are released", self.held);
        self.held = self.held.saturating_sub(bytes);
    }

    /// Records bytes that arrived or were written.
    pub(crate) fn moved(&mut self, now: Timestamp, bytes: u64) {
        if self.stage == Stage::ReadsBody {
            self.received += bytes;
        }
        self.since_progress += bytes;
        if self.since_progress >= PROGRESS_BYTES {
            self.mark_progress(now);
        }
    }

    fn mark_progress(&mut self, now: Timestamp) {
        self.progressed = now;
        self.since_progress = 0;
    }

    /// Returns since when the client has made no progress.
    pub(crate) fn progressed(&self) -> Timestamp {
        self.progressed
    }

    /// Returns why the client may give way now, if it may.
    pub(crate) fn eviction(&self, now: Timestamp) -> Option<Eviction> {
        // What may have run is finished.
        if self.stage == Stage::InWork {
            return None;
        }
        let is_stalled = now.since(self.progressed) >= STALL_TIME;
        match self.stage {
            Stage::ReadsBody if !is_stalled && self.is_late(now) => Some(Eviction::Late),
            _ if !is_stalled => None,
            Stage::Idle if self.held == 0 => Some(Eviction::Idle),
            _ => Some(Eviction::Stalled),
        }
    }

    /// Returns whether the body can't be complete before the client stops waiting.
    fn is_late(&self, now: Timestamp) -> bool {
        let Some(deadline) = self.deadline else { return false };
        if now >= deadline {
            return true;
        }
        let elapsed = now.since(self.stage_since);
        let Some(announced) = self.announced.filter(|_| elapsed >= STALL_TIME) else {
            return false;
        };
        let missing = u128::from(announced.saturating_sub(self.received));
        let left = u128::from(deadline.since(now).0);
        missing * u128::from(elapsed.0) > u128::from(self.received) * left
    }

    /// Returns when the client may give way at the latest if nothing more arrives.
    pub(crate) fn evictable_at(&self) -> Option<Timestamp> {
        if self.stage == Stage::InWork {
            return None;
        }
        let stalled_at = self.progressed + STALL_TIME;
        Some(self.deadline.map_or(stalled_at, |it| it.min(stalled_at)))
    }
}
