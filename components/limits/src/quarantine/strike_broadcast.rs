//! Spreads strikes until every entry host has received them.

use std::collections::BTreeMap;

use ids::{FastMap, Fingerprint, HostId, Incarnation, Millis, ServerId, Timestamp};
use schema::limits::{LimitsMessage, Strike, StrikeId};

use super::QuarantineAction;

/// Time after which a strike that was not received is sent again.
const RESEND_INTERVAL: Millis = Millis(100);

/// Times that a strike is sent to a host.
const MAX_SENDS: u32 = 20;

/// Own strikes that may be spread in a row; more mean that servers die for another reason.
const MAX_STRIKES: u32 = 10;

/// Time in which one more own strike may be spread.
const STRIKE_INTERVAL: Millis = Millis(1_000);

/// Time for which received strikes are recognised when they come again.
const REMEMBER_TIME: Millis = Millis(600_000);

/// Strikes under way and strikes seen.
#[derive(Debug, Clone)]
pub(super) struct Strikes {
    host: HostId,
    incarnation: Incarnation,
    next_sequence: u64,
    allowance: u32,
    allowance_at: Timestamp,
    sending: Vec<Sending>,
    seen: FastMap<(HostId, Incarnation, u64), Timestamp>,
}

/// A strike and the hosts that have not received it.
#[derive(Debug, Clone)]
struct Sending {
    strike: Strike,
    missing: BTreeMap<HostId, u32>,
    sent_at: Timestamp,
}

impl Strikes {
    pub(super) fn new(now: Timestamp, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            next_sequence: 0,
            allowance: MAX_STRIKES,
            allowance_at: now,
            sending: Vec::new(),
            seen: FastMap::default(),
        }
    }

    /// Sends an own strike to all other hosts, unless there were too many.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        server: &ServerId,
        exclusive: bool,
        hosts: &[HostId],
    ) -> Vec<QuarantineAction> {
        if !exclusive && !self.take_allowance(now) {
            return Vec::new();
        }
        let id = self.next_id();
        let strike = Strike { id, fingerprint, server: server.clone(), exclusive };
        self.forward(now, strike, hosts)
    }

    /// Sends a strike to all hosts but this one and its reporter.
    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        strike: Strike,
        hosts: &[HostId],
    ) -> Vec<QuarantineAction> {
        let others = hosts.iter().copied().filter(|to| *to != self.host && *to != strike.id.host);
        let missing: BTreeMap<HostId, u32> = others.map(|to| (to, 1)).collect();
        let actions = missing.keys().map(|&to| send(to, &strike)).collect();
        self.sending.push(Sending { strike, missing, sent_at: now });
        actions
    }

    /// Tells hosts of a strike that is known already.
    pub(super) fn tell(
        &mut self,
        fingerprint: Fingerprint,
        server: ServerId,
        exclusive: bool,
        hosts: &[HostId],
    ) -> Vec<QuarantineAction> {
        let strike = Strike { id: self.next_id(), fingerprint, server, exclusive };
        hosts.iter().map(|&to| send(to, &strike)).collect()
    }

    /// Whether a strike comes for the first time.
    pub(super) fn is_new(&mut self, now: Timestamp, id: &StrikeId) -> bool {
        self.seen.insert((id.host, id.incarnation, id.sequence), now).is_none()
    }

    pub(super) fn received(&mut self, by: HostId, id: &StrikeId) {
        for sending in self.sending.iter_mut().filter(|sending| sending.strike.id == *id) {
            sending.missing.remove(&by);
        }
        self.sending.retain(|sending| !sending.missing.is_empty());
    }

    /// Stops sending the strikes of a fingerprint that was cleared.
    pub(super) fn stop(&mut self, fingerprint: &Fingerprint) {
        self.sending.retain(|sending| sending.strike.fingerprint != *fingerprint);
    }

    /// Sends strikes again to live hosts that have not received them.
    pub(super) fn resend(&mut self, now: Timestamp, hosts: &[HostId]) -> Vec<QuarantineAction> {
        self.seen.retain(|_, seen_at| now.since(*seen_at) < REMEMBER_TIME);
        let mut actions = Vec::new();
        for sending in &mut self.sending {
            if now.since(sending.sent_at) < RESEND_INTERVAL {
                continue;
            }
            sending.sent_at = now;
            sending.missing.retain(|to, sends| *sends < MAX_SENDS && hosts.contains(to));
            for (&to, sends) in &mut sending.missing {
                *sends += 1;
                actions.push(send(to, &sending.strike));
            }
        }
        self.sending.retain(|sending| !sending.missing.is_empty());
        actions
    }

    fn next_id(&mut self) -> StrikeId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        StrikeId { host: self.host, incarnation: self.incarnation, sequence }
    }

    fn take_allowance(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.allowance_at).0 / STRIKE_INTERVAL.0;
        if earned > 0 {
            let earned = u32::try_from(earned).unwrap_or(MAX_STRIKES);
            self.allowance = self.allowance.saturating_add(earned).min(MAX_STRIKES);
            self.allowance_at = now;
        }
        if self.allowance == 0 {
            return false;
        }
        self.allowance -= 1;
        true
    }
}

fn send(to: HostId, strike: &Strike) -> QuarantineAction {
    QuarantineAction::Send { to, message: LimitsMessage::Strike(strike.clone()) }
}
