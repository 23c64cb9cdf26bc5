//! Broadcasts strikes to all entry hosts and resends them until they are acknowledged.

use std::collections::BTreeMap;

use ids::{FastMap, Fingerprint, HostId, Incarnation, Millis, ServerId, Timestamp};
use schema::limits::{LimitsMessage, Strike, StrikeId};

use super::QuarantineAction;

/// Time after which a strike that was not acknowledged is sent again.
const RESEND_INTERVAL: Millis = Millis(100);

/// Maximum number of times that a strike is sent to a host that does not acknowledge it.
const MAX_SENDS: u32 = 20;

/// Maximum number of strikes that this host broadcasts in a burst; more mean that servers crash for
/// a reason other than one request.
const STRIKE_BURST: u32 = 10;

/// Time after which this host may broadcast one more strike, up to [`STRIKE_BURST`].
const STRIKE_REFILL_INTERVAL: Millis = Millis(1_000);

/// Time for which duplicates of a received strike are detected.
const DEDUP_WINDOW: Millis = Millis(600_000);

/// Strikes that this host is sending, and those that it has received.
#[derive(Debug, Clone)]
pub(super) struct StrikeBroadcast {
    host: HostId,
    incarnation: Incarnation,
    next_sequence: u64,
    /// Strikes that may be broadcast now.
    tokens: u32,
    refilled_at: Timestamp,
    pending: Vec<PendingStrike>,
    /// When each strike was last received, by reporter, incarnation and sequence number.
    seen: FastMap<(HostId, Incarnation, u64), Timestamp>,
}

/// A strike that some hosts have not acknowledged.
#[derive(Debug, Clone)]
struct PendingStrike {
    strike: Strike,
    /// Hosts that have not acknowledged the strike, with the number of sends to each.
    unacked: BTreeMap<HostId, u32>,
    sent_at: Timestamp,
}

impl StrikeBroadcast {
    pub(super) fn new(now: Timestamp, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            next_sequence: 0,
            tokens: STRIKE_BURST,
            refilled_at: now,
            pending: Vec::new(),
            seen: FastMap::default(),
        }
    }

    /// Broadcasts a strike of this host; strikes that are not exclusive are rate-limited.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        server: &ServerId,
        exclusive: bool,
        hosts: &[HostId],
    ) -> Vec<QuarantineAction> {
        if !exclusive && !self.try_take_token(now) {
            return Vec::new();
        }
        let id = self.next_id();
        let strike = Strike { id, fingerprint, server: server.clone(), exclusive };
        self.forward(now, strike, hosts)
    }

    /// Sends a strike to all hosts except this one and the one that reported it.
    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        strike: Strike,
        hosts: &[HostId],
    ) -> Vec<QuarantineAction> {
        let others = hosts.iter().copied().filter(|to| *to != self.host && *to != strike.id.host);
        let unacked: BTreeMap<HostId, u32> = others.map(|to| (to, 1)).collect();
        let actions = unacked.keys().map(|&to| send(to, &strike)).collect();
        self.pending.push(PendingStrike { strike, unacked, sent_at: now });
        actions
    }

    /// Sends a recorded strike to `hosts` without resending it.
    pub(super) fn send_once(
        &mut self,
        fingerprint: Fingerprint,
        server: ServerId,
        exclusive: bool,
        hosts: &[HostId],
    ) -> Vec<QuarantineAction> {
        let strike = Strike { id: self.next_id(), fingerprint, server, exclusive };
        hosts.iter().map(|&to| send(to, &strike)).collect()
    }

    /// Records a received strike; returns whether it is not a duplicate.
    pub(super) fn record_received(&mut self, now: Timestamp, id: &StrikeId) -> bool {
        self.seen.insert((id.host, id.incarnation, id.sequence), now).is_none()
    }

    pub(super) fn acknowledge(&mut self, by: HostId, id: &StrikeId) {
        for pending in self.pending.iter_mut().filter(|pending| pending.strike.id == *id) {
            pending.unacked.remove(&by);
        }
        self.pending.retain(|pending| !pending.unacked.is_empty());
    }

    /// Cancels the broadcasts of a fingerprint that was cleared.
    pub(super) fn cancel(&mut self, fingerprint: &Fingerprint) {
        self.pending.retain(|pending| pending.strike.fingerprint != *fingerprint);
    }

    /// Resends strikes to live hosts that have not acknowledged them.
    pub(super) fn resend(&mut self, now: Timestamp, hosts: &[HostId]) -> Vec<QuarantineAction> {
        self.seen.retain(|_, seen_at| now.since(*seen_at) < DEDUP_WINDOW);
        let mut actions = Vec::new();
        for pending in &mut self.pending {
            if now.since(pending.sent_at) < RESEND_INTERVAL {
                continue;
            }
            pending.sent_at = now;
            pending.unacked.retain(|to, sends| *sends < MAX_SENDS && hosts.contains(to));
            for (&to, sends) in &mut pending.unacked {
                *sends += 1;
                actions.push(send(to, &pending.strike));
            }
        }
        self.pending.retain(|pending| !pending.unacked.is_empty());
        actions
    }

    fn next_id(&mut self) -> StrikeId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        StrikeId { host: self.host, incarnation: self.incarnation, sequence }
    }

    fn try_take_token(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.refilled_at).0 / STRIKE_REFILL_INTERVAL.0;
        if earned > 0 {
            let earned = u32::try_from(earned).unwrap_or(STRIKE_BURST);
            self.tokens = self.tokens.saturating_add(earned).min(STRIKE_BURST);
            self.refilled_at = now;
        }
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }
}

fn send(to: HostId, strike: &Strike) -> QuarantineAction {
    QuarantineAction::Send { to, message: LimitsMessage::Strike(strike.clone()) }
}
