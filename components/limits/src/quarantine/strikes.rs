//! Tells all entry hosts of strikes and of cleared fingerprints.

use ids::{Fingerprint, HostId, ServerId, Timestamp};
use schema::limits::{LimitsMessage, Strike};

use super::{Quarantine, QuarantineAction};
use crate::rendezvous;

impl Quarantine {
    /// Records an own strike and tells all entry hosts.
    pub(super) fn strike(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        server: &ServerId,
        exclusive: bool,
    ) -> Vec<QuarantineAction> {
        self.records.add(now, fingerprint, server.clone(), exclusive);
        if exclusive {
            self.leases.release_all(&fingerprint);
        }
        self.strikes.report(now, fingerprint, server, exclusive, &self.hosts)
    }

    /// Takes another host's strike; the coordinator passes it on, as a second path.
    pub(super) fn take_strike(
        &mut self,
        now: Timestamp,
        from: HostId,
        strike: Strike,
    ) -> Vec<QuarantineAction> {
        let received = LimitsMessage::StrikeReceived(strike.id.clone());
        let mut actions = vec![QuarantineAction::Send { to: from, message: received }];
        if !self.strikes.is_new(now, &strike.id) {
            return actions;
        }
        self.records.add(now, strike.fingerprint, strike.server.clone(), strike.exclusive);
        if strike.exclusive {
            self.leases.release_all(&strike.fingerprint);
        }
        if self.is_coordinator(&strike.fingerprint) {
            actions.extend(self.strikes.forward(now, strike, &self.hosts));
        }
        actions
    }

    /// Forgets a fingerprint here and on all other entry hosts, if it was a suspect.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineAction> {
        if !self.forget(fingerprint) {
            return Vec::new();
        }
        let others = self.hosts.iter().copied().filter(|host| *host != self.host);
        others
            .map(|to| QuarantineAction::Send { to, message: LimitsMessage::Clear(fingerprint) })
            .collect()
    }

    pub(super) fn forget(&mut self, fingerprint: Fingerprint) -> bool {
        self.leases.release_all(&fingerprint);
        self.strikes.stop(&fingerprint);
        self.records.remove(&fingerprint)
    }

    /// Tells new hosts of the fingerprints that this host coordinated before they came.
    pub(super) fn send_records(
        &mut self,
        added: &[HostId],
        before: &[HostId],
    ) -> Vec<QuarantineAction> {
        let own: Vec<_> = self
            .records
            .strikes()
            .filter(|(fingerprint, ..)| {
                rendezvous::coordinator(fingerprint, before) == Some(self.host)
            })
            .collect();
        let others: Vec<HostId> = added.iter().copied().filter(|host| *host != self.host).collect();
        let mut actions = Vec::new();
        for (fingerprint, server, exclusive) in own {
            actions.extend(self.strikes.tell(fingerprint, server, exclusive, &others));
        }
        actions
    }
}
