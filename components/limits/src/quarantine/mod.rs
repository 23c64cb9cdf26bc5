//! Stops requests that crash every server that runs them.
//!
//! When a connection is lost while a server runs a request that was not answered shortly before, the
//! request's fingerprint gets a strike, which goes to all entry hosts at once. From then on the
//! fingerprint is a suspect: each run needs a lease from one coordinator, so that one is in
//! flight at a time. A whole answer clears it; a crash on a second server, or in a leased run,
//! puts it into quarantine.

mod answered;
mod lease_queries;
mod leases;
mod records;
mod runs;
mod strike_spread;
mod strikes;

use ids::{Fingerprint, HostId, Incarnation, Millis, RequestId, ServerId, Timestamp};
use schema::limits::LimitsMessage;

pub use self::records::{FingerprintState, QuarantineEntry};
use self::{answered::AnsweredSet, leases::Leases, records::Records, runs::Runs, strikes::Strikes};
use crate::rendezvous;

/// Longest lease of a suspect run, and the time for which a coordinator that doesn't know of
/// earlier leases gives none.
pub const MAX_LEASE: Millis = Millis(60_000);

/// When the caller of a suspect request that is running elsewhere comes back.
const BUSY_RETRY_AFTER: Millis = Millis(2_000);

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// It may run.
    Allowed,
    /// A [`QuarantineAction::Permit`] or [`QuarantineAction::Refuse`] follows.
    Wait,
    /// It must not run.
    Refused(Refusal),
}

/// Why a request must not run, and when its caller should come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request is in quarantine; otherwise another run of it is in flight.
    pub quarantined: bool,
    /// When the caller should come back.
    pub retry_after: Millis,
}

/// How a run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The server gave a whole answer.
    Answered,
    /// The connection was reset or closed before the answer was whole.
    ConnectionLost,
    /// Any other end: shed, timeout, cancelled, not sent.
    Other,
}

/// What the end of a run means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRun {
    /// Whether a failure may count against the server's health.
    pub counts_for_health: bool,
    /// What has to be done.
    pub actions: Vec<QuarantineAction>,
}

/// What has to be done for the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineAction {
    /// Send a message to another entry host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: LimitsMessage,
    },
    /// The waiting request may run, and has to be cancelled when the lease ends.
    Permit {
        /// The request.
        request: RequestId,
        /// When the lease ends.
        until: Timestamp,
    },
    /// The waiting request must not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and when its caller should come back.
        refusal: Refusal,
    },
}

/// The quarantine as one entry host sees it.
#[derive(Debug, Clone)]
pub struct Quarantine {
    host: HostId,
    hosts: Vec<HostId>,
    started_at: Timestamp,
    records: Records,
    answered: AnsweredSet,
    strikes: Strikes,
    leases: Leases,
    runs: Runs,
}

impl Quarantine {
    /// The quarantine of the entry host `host`, started now with the given incarnation.
    pub fn new(now: Timestamp, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            hosts: vec![host],
            started_at: now,
            records: Records::default(),
            answered: AnsweredSet::default(),
            strikes: Strikes::new(now, host, incarnation),
            leases: Leases::default(),
            runs: Runs::default(),
        }
    }

    /// Takes the entry hosts that are alive, and tells new ones what is known.
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
        self.send_records(&added, &before)
    }

    /// Decides whether a request may be sent to a server; called before each attempt.
    ///
    /// `lease` is how long the attempt may take.
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
            FingerprintState::Suspect => self.ask(now, request, fingerprint, lease.min(MAX_LEASE)),
        }
    }

    /// Notes the end of an attempt on `server` that [`Quarantine::check`] allowed.
    pub fn finished(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fingerprint: Fingerprint,
        server: &ServerId,
        end: RunEnd,
    ) -> FinishedRun {
        let run = self.runs.take_leased(request);
        match end {
            RunEnd::Answered => {
                self.answered.insert(now, fingerprint);
                let mut actions = self.clear(fingerprint);
                actions
                    .extend(run.into_iter().flat_map(|query| self.end_lease(query, fingerprint)));
                FinishedRun { counts_for_health: true, actions }
            }
            RunEnd::Other => {
                let actions = run.map_or_else(Vec::new, |query| self.end_lease(query, fingerprint));
                FinishedRun { counts_for_health: true, actions }
            }
            RunEnd::ConnectionLost if self.answered.take_recent(now, &fingerprint) => {
                FinishedRun { counts_for_health: true, actions: Vec::new() }
            }
            RunEnd::ConnectionLost => {
                let actions = self.strike(now, fingerprint, server, run.is_some());
                FinishedRun { counts_for_health: false, actions }
            }
        }
    }

    /// Takes a message of another entry host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: LimitsMessage,
    ) -> Vec<QuarantineAction> {
        match message {
            LimitsMessage::Strike(strike) => self.take_strike(now, from, strike),
            LimitsMessage::StrikeReceived(id) => {
                self.strikes.received(from, &id);
                Vec::new()
            }
            LimitsMessage::Clear(fingerprint) => {
                self.forget(fingerprint);
                Vec::new()
            }
            LimitsMessage::RunQuery(query) => self.answer(now, from, query),
            LimitsMessage::RunReply(reply) => self.take_reply(now, from, reply),
            LimitsMessage::RunEnded(ended) => {
                self.leases.release(from, &ended);
                Vec::new()
            }
            LimitsMessage::Usage(_) | LimitsMessage::Shares(_) => Vec::new(),
        }
    }

    /// Repeats what was not received, gives up queries, and forgets what is over.
    pub fn tick(&mut self, now: Timestamp) -> Vec<QuarantineAction> {
        self.records.expire(now);
        self.leases.expire(now);
        let mut actions = self.strikes.resend(now, &self.hosts);
        for waiting in self.runs.take_overdue(now) {
            actions.push(refuse(waiting.request, busy()));
            actions.extend(self.end_lease(waiting.query, waiting.fingerprint));
        }
        actions
    }

    /// The suspects and the requests in quarantine, for operators.
    pub fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        self.records.entries(now)
    }

    /// Releases a fingerprint on all entry hosts, as an operator wants it.
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
