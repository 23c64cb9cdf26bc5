//! Quarantines requests that crash the servers that run them.
//!
//! When a connection is lost while a server runs a request that was not answered shortly before,
//! the fingerprint of the request gets a strike, which is broadcast to all entry hosts. The
//! fingerprint is then a suspect: each run needs a lease from its coordinator, so that at most one
//! run is in flight in the fleet. A complete response clears the fingerprint; a crash on a second
//! server, or of a leased run, puts it into quarantine.

mod lease_queries;
mod leases;
mod recent_answers;
mod records;
mod strike_broadcast;
mod strikes;
mod suspect_runs;

use ids::{Fingerprint, HostId, Incarnation, Millis, RequestId, ServerId, Timestamp};
use schema::limits::LimitsMessage;

pub use self::records::{FingerprintState, QuarantineEntry};
use self::{
    leases::LeaseTable, recent_answers::RecentAnswers, records::SuspectRecords,
    strike_broadcast::StrikeBroadcast, suspect_runs::SuspectRuns,
};
use crate::rendezvous;

/// Longest lease of a suspect run, and the time for which a coordinator that may not know earlier
/// leases grants none.
pub const MAX_LEASE: Millis = Millis(60_000);

/// Delay after which the caller should retry while another run of a suspect request is in flight.
const BUSY_RETRY_AFTER: Millis = Millis(2_000);

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request may run.
    Allowed,
    /// The request waits for a [`QuarantineAction::Permit`] or [`QuarantineAction::Refuse`].
    Wait,
    /// The request must not run.
    Refused(Refusal),
}

/// Why a request must not run, and when its caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request is in quarantine; otherwise another run of it is in flight.
    pub quarantined: bool,
    /// Delay after which the caller should retry.
    pub retry_after: Millis,
}

/// How a run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The server sent a complete response.
    Answered,
    /// The connection was reset or closed before the response was complete.
    ConnectionLost,
    /// The run was shed, timed out, cancelled or not sent.
    Other,
}

/// What follows from the end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRun {
    /// Whether a failure may count against the server's health.
    pub counts_for_health: bool,
    /// Actions that the entry host must take.
    pub actions: Vec<QuarantineAction>,
}

/// What the entry host must do for the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineAction {
    /// Send a message to another entry host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: LimitsMessage,
    },
    /// Run the waiting request, and cancel it when the lease ends.
    Permit {
        /// Id of the request.
        request: RequestId,
        /// When the lease ends.
        until: Timestamp,
    },
    /// Refuse the waiting request.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Why the request must not run, and when its caller should retry.
        refusal: Refusal,
    },
}

/// The quarantine of one entry host.
#[derive(Debug, Clone)]
pub struct Quarantine {
    host: HostId,
    hosts: Vec<HostId>,
    started_at: Timestamp,
    records: SuspectRecords,
    recent_answers: RecentAnswers,
    broadcast: StrikeBroadcast,
    leases: LeaseTable,
    runs: SuspectRuns,
}

impl Quarantine {
    /// Returns the quarantine of the entry host `host`, which has just started.
    pub fn new(now: Timestamp, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            hosts: vec![host],
            started_at: now,
            records: SuspectRecords::default(),
            recent_answers: RecentAnswers::default(),
            broadcast: StrikeBroadcast::new(now, host, incarnation),
            leases: LeaseTable::default(),
            runs: SuspectRuns::default(),
        }
    }

    /// Sets the live entry hosts and sends new ones the strikes that this host coordinated so far.
    ///
    /// If this host becomes the coordinator of further suspects, it blocks their leases until those
    /// of earlier coordinators have ended.
    pub fn set_hosts(&mut self, now: Timestamp, hosts: &[HostId]) -> Vec<QuarantineAction> {
        let before = std::mem::replace(&mut self.hosts, hosts.to_vec());
        if !self.hosts.contains(&self.host) {
            self.hosts.push(self.host);
        }
        self.hosts.sort();
        self.hosts.dedup();
        for fingerprint in self.records.fingerprints() {
            let was_coordinator = rendezvous::coordinator(&fingerprint, &before) == Some(self.host);
            if self.is_coordinator(&fingerprint) && !was_coordinator {
                self.leases.block(fingerprint, now + MAX_LEASE);
            }
        }
        let added: Vec<HostId> =
            self.hosts.iter().copied().filter(|host| !before.contains(host)).collect();
        self.send_strikes_to(&added, &before)
    }

    /// Decides whether a request may be sent to a server; must be called before each attempt.
    ///
    /// `lease` is the longest time that the attempt may take.
    pub fn check(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fingerprint: Fingerprint,
        lease: Millis,
    ) -> (QuarantineDecision, Vec<QuarantineAction>) {
        match self.records.state(now, &fingerprint) {
            FingerprintState::Clear => (QuarantineDecision::Allowed, Vec::new()),
            FingerprintState::Quarantined { until } => {
                (QuarantineDecision::Refused(quarantined(until.since(now))), Vec::new())
            }
            FingerprintState::Suspect => {
                self.request_lease(now, request, fingerprint, lease.min(MAX_LEASE))
            }
        }
    }

    /// Records the end of an attempt on `server` that [`Quarantine::check`] allowed.
    pub fn finished(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fingerprint: Fingerprint,
        server: &ServerId,
        end: RunEnd,
    ) -> FinishedRun {
        let leased_query = self.runs.take_leased(request);
        match end {
            RunEnd::Answered => {
                self.recent_answers.insert(now, fingerprint);
                let mut actions = self.clear(fingerprint);
                actions.extend(
                    leased_query.into_iter().flat_map(|query| self.end_lease(query, fingerprint)),
                );
                FinishedRun { counts_for_health: true, actions }
            }
            RunEnd::Other => {
                let actions =
                    leased_query.map_or_else(Vec::new, |query| self.end_lease(query, fingerprint));
                FinishedRun { counts_for_health: true, actions }
            }
            RunEnd::ConnectionLost if self.recent_answers.take_recent(now, &fingerprint) => {
                FinishedRun { counts_for_health: true, actions: Vec::new() }
            }
            RunEnd::ConnectionLost => {
                let actions = self.report_strike(now, fingerprint, server, leased_query.is_some());
                FinishedRun { counts_for_health: false, actions }
            }
        }
    }

    /// Handles a message of another entry host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: LimitsMessage,
    ) -> Vec<QuarantineAction> {
        match message {
            LimitsMessage::Strike(strike) => self.handle_strike(now, from, strike),
            LimitsMessage::StrikeReceived(id) => {
                self.broadcast.acknowledge(from, &id);
                Vec::new()
            }
            LimitsMessage::Clear(fingerprint) => {
                self.clear_local(fingerprint);
                Vec::new()
            }
            LimitsMessage::RunQuery(query) => self.answer_query(now, from, query),
            LimitsMessage::RunReply(reply) => self.handle_reply(now, from, reply),
            LimitsMessage::RunEnded(ended) => {
                self.leases.release(from, &ended);
                Vec::new()
            }
            LimitsMessage::Usage(_) | LimitsMessage::Shares(_) => Vec::new(),
        }
    }

    /// Resends strikes, refuses runs whose query timed out, and drops expired records and leases.
    pub fn tick(&mut self, now: Timestamp) -> Vec<QuarantineAction> {
        self.records.expire(now);
        self.leases.expire(now);
        let mut actions = self.broadcast.resend(now, &self.hosts);
        for pending in self.runs.take_timed_out(now) {
            actions.push(refuse(pending.request, busy()));
            actions.extend(self.end_lease(pending.query, pending.fingerprint));
        }
        actions
    }

    /// Returns the suspect and quarantined fingerprints, for operators.
    pub fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        self.records.entries(now)
    }

    /// Clears a fingerprint on all entry hosts, at an operator's request.
    pub fn release(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineAction> {
        self.clear(fingerprint)
    }

    fn is_coordinator(&self, fingerprint: &Fingerprint) -> bool {
        rendezvous::coordinator(fingerprint, &self.hosts) == Some(self.host)
    }
}

fn refuse(request: RequestId, refusal: Refusal) -> QuarantineAction {
    QuarantineAction::Refuse { request, refusal }
}

fn busy() -> Refusal {
    Refusal { quarantined: false, retry_after: BUSY_RETRY_AFTER }
}

fn quarantined(retry_after: Millis) -> Refusal {
    Refusal { quarantined: true, retry_after }
}
