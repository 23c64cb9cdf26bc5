//! Tells crashes from lost answers.

use std::net::SocketAddr;

use ids::{Fingerprint, Incarnation, Millis, ServerKey, Timestamp};

use super::{Probe, ProbeOutcome, Quarantine, QuarantineEvent};
use crate::{
    losses::{Loss, Observer},
    records::Change,
};

/// Number of losses of a request, decided or not, from which connections decide them.
const PROBE_THRESHOLD: usize = 2;

/// Time until a connection is opened, in milliseconds: a process that ends closes its connections
/// before it stops listening.
const PROBE_DELAY: Millis = Millis(50);

/// Time until a second connection is opened, in milliseconds.
const SECOND_PROBE_DELAY: Millis = Millis(500);

/// Maximum number of connections that are opened to a start for the same losses.
const MAX_PROBES: u32 = 2;

/// Minimum time between connections that are opened to a start for different losses.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// Number of starts whose probes are remembered, from which old ones are forgotten.
const MAX_PROBED: usize = 256;

/// Time after a loss from which a response that another gateway got, or another loss, shows that the
/// start lived on, in milliseconds: what was sent before takes less.
const RESPONSE_TIME: Millis = Millis(500);

/// Whose losses are told as crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Teller {
    /// Those that this gateway has observed; others decide theirs.
    Observer,
    /// All, since only this gateway knows that the start has ended.
    Discoverer,
}

impl Quarantine {
    /// Records that a start of a server, which was not leaving, gave no complete response to a request.
    pub fn lost(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        server: ServerKey,
        observer: Observer,
    ) {
        if self.records.has_crashed(request, server) {
            return;
        }
        // A start that loses a request now was alive at its earlier losses.
        self.responded(now, server, now - RESPONSE_TIME);
        if self.was_answered(now, request) {
            return;
        }
        self.losses.record(now, server, Loss { request, at: now, observer });
        if observer == Observer::Own {
            self.trials.record_lost(request);
            self.probe_servers_of(now, request);
        }
    }

    /// Records a complete response below the server errors to a request that was sent at `sent_at`.
    pub fn answered(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        server: ServerKey,
        sent_at: Timestamp,
    ) {
        self.answered_elsewhere(now, request);
        self.responded(now, server, sent_at);
    }

    /// Records an answer that another gateway has passed on.
    pub fn answered_elsewhere(&mut self, now: Timestamp, request: Fingerprint) {
        self.answers.record(now, request);
        self.clear(now, request);
    }

    /// Forgets the crashes of a request that was answered.
    pub(super) fn clear(&mut self, now: Timestamp, request: Fingerprint) {
        let change = self.records.clear(now, request);
        self.report(request, change);
        if change == Change::Cleared {
            self.untold.add(request);
            self.tell(now);
        }
    }

    /// Records any response of a start to a request that was sent at `sent_at`: it has not ended at the
    /// losses before that.
    pub fn responded(&mut self, now: Timestamp, server: ServerKey, sent_at: Timestamp) {
        for Loss { request, observer, .. } in self.losses.drop_before(server, sent_at) {
            if observer == Observer::Own && self.trials.is_lost(request) {
                self.trials.give_up(now, request, &mut self.outgoing);
            }
        }
    }

    /// Records that another gateway got a response of a start.
    pub fn responded_elsewhere(&mut self, now: Timestamp, server: ServerKey) {
        self.responded(now, server, now - RESPONSE_TIME);
    }

    /// Records that a start has announced that it is leaving or has left: it ends as planned.
    pub fn left(&mut self, server: ServerKey) {
        self.losses.take(server);
    }

    /// Records that a server was announced: earlier starts at its address have ended.
    pub fn started(&mut self, now: Timestamp, address: SocketAddr, incarnation: Incarnation) {
        let is_replaced = |it: &ServerKey| it.address == address && it.incarnation < incarnation;
        for server in self.losses.servers(is_replaced) {
            self.ended(now, server);
        }
    }

    /// Records that another start was found where this one was: it has ended.
    pub fn ended(&mut self, now: Timestamp, server: ServerKey) {
        self.record_end(now, server, Teller::Observer);
    }

    /// Records that a server refused the connection for a request.
    pub fn refused(&mut self, now: Timestamp, server: ServerKey) {
        self.record_end(now, server, Teller::Observer);
    }

    /// Records the result of a [`Probe`].
    pub fn probed(&mut self, now: Timestamp, server: ServerKey, outcome: ProbeOutcome) {
        if outcome == ProbeOutcome::Refused {
            return self.record_end(now, server, Teller::Discoverer);
        }
        let Some(undecided) = self.losses.get_mut(server) else { return };
        if undecided.probes < MAX_PROBES {
            undecided.probes += 1;
            self.probes.push(Probe { server, delay: SECOND_PROBE_DELAY });
        }
    }

    /// Opens connections to the starts that have lost a request if it was lost before.
    fn probe_servers_of(&mut self, now: Timestamp, request: Fingerprint) {
        let servers = self.losses.servers_of(now, request);
        if servers.len() + self.records.crashes(request) < PROBE_THRESHOLD {
            return;
        }
        if self.probed_at.len() >= MAX_PROBED {
            self.probed_at.retain(|_, at| now.since(*at) < PROBE_INTERVAL);
        }
        for server in servers {
            let last = self.probed_at.get(&server);
            if last.is_some_and(|it| now.since(*it) < PROBE_INTERVAL) {
                continue;
            }
            self.probed_at.insert(server, now);
            if let Some(undecided) = self.losses.get_mut(server) {
                undecided.probes = 1;
            }
            self.probes.push(Probe { server, delay: PROBE_DELAY });
        }
    }

    /// Returns whether a loss of a request proves nothing since it was answered lately.
    fn was_answered(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.answers.contains(now, request) && !self.is_quarantined(now, request)
    }

    /// Turns the losses of a start that has ended into crashes.
    fn record_end(&mut self, now: Timestamp, server: ServerKey, teller: Teller) {
        for Loss { request, at, observer } in self.losses.take(server) {
            if self.was_answered(now, request) || self.records.has_crashed(request, server) {
                continue;
            }
            if observer == Observer::Own && self.trials.is_lost(request) {
                self.trials.forget(request);
            }
            let change = self.records.add_crash(now, request, server, at);
            let crashes = self.records.crashes(request);
            self.events.push(QuarantineEvent::Crashed { request, server, crashes });
            self.report(request, change);
            if observer == Observer::Own || teller == Teller::Discoverer {
                self.untold.add(request);
            }
        }
        self.tell(now);
    }
}
