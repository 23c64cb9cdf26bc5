//! The quarantine of one gateway.

mod evidence;

use ids::{FastMap, Fingerprint, HostId, Millis, ServerKey, Timestamp};
use schema::{
    quarantine::{QuarantineMessage, RequestRecord, ToldRecords},
    server_load::ReportScope,
};

use crate::{
    losses::Losses,
    outbox::{Audience, Outgoing, RECORDS_PER_MESSAGE, Untold},
    recent_answers::RecentAnswers,
    records::{Change, Records},
};

/// Retry-After of requests in quarantine, in milliseconds.
const RETRY_AFTER: Millis = Millis(30_000);

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It must not; the caller should return after this time.
    Refused(Millis),
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
    /// The crashes of a request are forgotten, since it was answered.
    Cleared {
        /// The request.
        request: Fingerprint,
    },
}

/// The requests that this gateway must not send to servers, and the evidence for that.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: Records,
    losses: Losses,
    answers: RecentAnswers,
    untold: Untold,
    /// When connections were last opened to decide losses.
    probed_at: FastMap<ServerKey, Timestamp>,
    outgoing: Vec<Outgoing>,
    probes: Vec<Probe>,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Decides whether a request may be sent; must be called before each attempt.
    pub fn admit(&self, now: Timestamp, request: Fingerprint) -> Admission {
        match self.records.quarantined_since(now, request) {
            None => Admission::Free,
            Some(_) => Admission::Refused(RETRY_AFTER),
        }
    }

    /// Processes a message of another host.
    pub fn on_message(&mut self, now: Timestamp, _from: HostId, message: &QuarantineMessage) {
        match message {
            QuarantineMessage::Told(told) => {
                self.merge(now, &told.records);
                if told.scope == ReportScope::ToPassOn {
                    let scope = ReportScope::PassedOn;
                    let told = ToldRecords { scope, ..told.clone() };
                    let message = QuarantineMessage::Told(told);
                    self.outgoing.push(Outgoing { to: Audience::DataCentre, message });
                }
            }
        }
    }

    /// Tells what has changed, and drops what has expired; must be called regularly.
    pub fn tick(&mut self, now: Timestamp) {
        self.records.prune(now);
        self.losses.prune(now);
        self.tell(now);
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

    fn merge(&mut self, now: Timestamp, records: &[RequestRecord]) {
        for record in records {
            let change = self.records.merge(now, record);
            self.report(record.fingerprint, change);
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

    /// Tells the fleet what this gateway has learned by itself.
    fn tell(&mut self, now: Timestamp) {
        let told = self.untold.take(now);
        let records: Vec<_> = told.iter().filter_map(|it| self.records.message(now, *it)).collect();
        for records in records.chunks(RECORDS_PER_MESSAGE) {
            let told = ToldRecords { scope: ReportScope::Near, records: records.to_vec() };
            let message = QuarantineMessage::Told(told);
            self.outgoing.push(Outgoing { to: Audience::Fleet, message });
        }
    }
}
