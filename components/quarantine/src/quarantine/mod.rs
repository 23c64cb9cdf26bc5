//! The quarantine of one gateway.

mod evidence;
mod spread;
mod trying;

use ids::{FastMap, Fingerprint, Millis, RequestId, ServerKey, Timestamp};

use crate::{
    knowledge::Knowledge,
    losses::Losses,
    objections::Objections,
    outbox::{Outgoing, Untold},
    recent_answers::RecentAnswers,
    records::{Change, Records},
    trials::Trials,
};

pub use trying::Candidate;

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may, to one server and once, and must end by this time.
    Trial(Timestamp),
    /// It must not; the caller should return after this time.
    Refused(Millis),
    /// It is not known yet; ask again when the request is woken or at this time.
    Wait(Timestamp),
}

/// A connection without a request to be opened to a server, to learn whether its start has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The start of the server.
    pub server: ServerKey,
    /// Time until the connection is opened.
    pub delay: Millis,
}

/// Result of a [`Probe`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was refused: no process accepts connections there.
    Refused,
    /// A process accepts connections there.
    Connected,
    /// The connection failed otherwise, or took too long.
    Failed,
}

/// A change for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// A start of a server has ended while it ran a request.
    Crashed {
        /// The request.
        request: Fingerprint,
        /// The start.
        server: ServerKey,
        /// Number of starts that have ended so since the request was answered.
        crashes: usize,
    },
    /// A request is in quarantine from now on.
    Quarantined {
        /// The request.
        request: Fingerprint,
        /// Number of starts of servers that it has crashed.
        crashes: usize,
    },
    /// A request in quarantine may run once.
    TrialGranted {
        /// The request.
        request: Fingerprint,
    },
    /// The crashes of a request are forgotten, since it was answered.
    Cleared {
        /// The request.
        request: Fingerprint,
    },
}

/// The requests that this gateway must not send to servers, and the evidence for that.
#[derive(Debug)]
pub struct Quarantine {
    knowledge: Knowledge,
    records: Records,
    losses: Losses,
    answers: RecentAnswers,
    untold: Untold,
    trials: Trials,
    objections: Objections,
    /// When connections were last opened to decide losses.
    probed_at: FastMap<ServerKey, Timestamp>,
    next_push: Timestamp,
    /// Number of records in quarantine that were pushed, to go on with the next ones.
    pushed: usize,
    /// Requests that are held back until the records are known.
    held: Vec<RequestId>,
    wakeups: Vec<RequestId>,
    outgoing: Vec<Outgoing>,
    probes: Vec<Probe>,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Creates the quarantine of a process that has started at this time; the seed differs between
    /// processes.
    pub fn new(started: Timestamp, seed: u64) -> Self {
        Self {
            knowledge: Knowledge::new(started),
            records: Records::default(),
            losses: Losses::default(),
            answers: RecentAnswers::default(),
            untold: Untold::default(),
            trials: Trials::default(),
            objections: Objections::new(seed),
            probed_at: FastMap::default(),
            next_push: Timestamp::default(),
            pushed: 0,
            held: Vec::new(),
            wakeups: Vec::new(),
            outgoing: Vec::new(),
            probes: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Takes the requests that should be stepped again.
    pub fn take_wakeups(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.wakeups)
    }

    /// Tells what has changed, and drops what has expired; must be called regularly.
    pub fn tick(&mut self, now: Timestamp) {
        self.records.prune(now);
        self.losses.prune(now);
        self.trials.prune(now);
        self.object(now);
        self.tell(now);
        self.push(now);
        self.ask(now);
        self.release_held(now);
    }

    /// Returns when [`Self::tick`] must be called again, if there is something to send by then.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let asks = self.knowledge.next_ask().into_iter();
        asks.chain(self.untold.next()).chain(self.objections.next()).min()
    }

    /// Takes the pending messages.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the connections to be opened.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// Takes the pending events.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Wakes the requests that were held back, unless the records are still unknown.
    fn release_held(&mut self, now: Timestamp) {
        if self.knowledge.holds_until(now).is_none() {
            self.wakeups.append(&mut self.held);
        }
    }

    /// Reports a change for logs and metrics.
    fn report(&mut self, request: Fingerprint, change: Change) {
        let crashes = self.records.crashes(request);
        let event = match change {
            Change::Quarantined => QuarantineEvent::Quarantined { request, crashes },
            Change::Cleared => QuarantineEvent::Cleared { request },
            Change::Crashed | Change::None => return,
        };
        self.events.push(event);
    }
}
