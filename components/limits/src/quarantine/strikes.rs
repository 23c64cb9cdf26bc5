//! Shares strikes and cleared fingerprints with all entry hosts.

use ids::{Fingerprint, HostId, ServerId, Timestamp};
use schema::limits::{LimitsMessage, Strike};

use super::{Quarantine, QuarantineAction};
use crate::rendezvous;

impl Quarantine {
    /// Records a strike of this host and broadcasts it.
    pub(super) fn report_strike(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        server: &ServerId,
        exclusive: bool,
    ) -> Vec<QuarantineAction> {
        self.records.add(now, fingerprint, server.clone(), exclusive);
        if exclusive {
            self.leases.revoke(&fingerprint);
        }
        self.broadcast.report(now, fingerprint, server, exclusive, &self.hosts)
    }

    /// Records and acknowledges another host's strike.
    ///
    /// The coordinator forwards it to all hosts, in case some can't be reached by the reporter.
    pub(super) fn handle_strike(
        &mut self,
        now: Timestamp,
        from: HostId,
        strike: Strike,
    ) -> Vec<QuarantineAction> {
        let ack = LimitsMessage::StrikeReceived(strike.id.clone());
        let mut actions = vec![QuarantineAction::Send { to: from, message: ack }];
        if !self.broadcast.record_received(now, &strike.id) {
            return actions;
        }
        self.records.add(now, strike.fingerprint, strike.server.clone(), strike.exclusive);
        if strike.exclusive {
            self.leases.revoke(&strike.fingerprint);
        }
        if self.is_coordinator(&strike.fingerprint) {
            actions.extend(self.broadcast.forward(now, strike, &self.hosts));
        }
        actions
    }

    /// Clears a fingerprint on this host and, if it was recorded here, on all others.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineAction> {
        if !self.clear_local(fingerprint) {
            return Vec::new();
        }
        let others = self.hosts.iter().copied().filter(|host| *host != self.host);
        others
            .map(|to| QuarantineAction::Send { to, message: LimitsMessage::Clear(fingerprint) })
            .collect()
    }

    /// Clears a fingerprint on this host; returns whether it was recorded.
    pub(super) fn clear_local(&mut self, fingerprint: Fingerprint) -> bool {
        self.leases.revoke(&fingerprint);
        self.broadcast.cancel(&fingerprint);
        self.records.remove(&fingerprint)
    }

    /// Sends new hosts the strikes of the fingerprints that this host coordinated before they came.
    pub(super) fn send_strikes_to(
        &mut self,
        added: &[HostId],
        before: &[HostId],
    ) -> Vec<QuarantineAction> {
        let coordinated: Vec<_> = self
            .records
            .strikes()
            .filter(|(fingerprint, ..)| {
                rendezvous::coordinator(fingerprint, before) == Some(self.host)
            })
            .collect();
        let others: Vec<HostId> = added.iter().copied().filter(|host| *host != self.host).collect();
        let mut actions = Vec::new();
        for (fingerprint, server, exclusive) in coordinated {
            actions.extend(self.broadcast.send_once(fingerprint, server, exclusive, &others));
        }
        actions
    }
}
