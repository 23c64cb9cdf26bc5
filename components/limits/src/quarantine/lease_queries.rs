//! Leases for suspect runs: queries to the coordinator, and replies as the coordinator.

use ids::{Fingerprint, HostId, Millis, RequestId, Timestamp};
use schema::limits::{LimitsMessage, RunAnswer, RunEnded, RunQuery, RunReply};

use super::{
    FingerprintState, MAX_LEASE, Quarantine, QuarantineAction, QuarantineDecision, busy,
    quarantined,
    records::{QUARANTINE_DURATION, QUARANTINE_THRESHOLD},
    refuse,
};
use crate::rendezvous;

impl Quarantine {
    /// Requests a lease from the coordinator, which may be this host.
    pub(super) fn request_lease(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fingerprint: Fingerprint,
        lease: Millis,
    ) -> (QuarantineDecision, Vec<QuarantineAction>) {
        if self.runs.is_active(&fingerprint) {
            return (QuarantineDecision::Refused(busy()), Vec::new());
        }
        let query = RunQuery {
            query: self.runs.start_query(now, request, fingerprint, lease),
            fingerprint,
            lease,
            suspected_servers: self.records.servers(&fingerprint),
        };
        let coordinator = rendezvous::coordinator(&fingerprint, &self.hosts);
        match coordinator {
            Some(to) if to != self.host => {
                let message = LimitsMessage::RunQuery(query);
                (QuarantineDecision::Wait, vec![QuarantineAction::Send { to, message }])
            }
            _ => (self.decide_locally(now, query), Vec::new()),
        }
    }

    fn decide_locally(&mut self, now: Timestamp, query: RunQuery) -> QuarantineDecision {
        let number = query.query;
        let answer = self.decide_query(now, self.host, &query);
        let pending = self.runs.take_pending(number).expect("the query was just started");
        match answer {
            RunAnswer::Granted => {
                self.runs.record_leased(&pending);
                QuarantineDecision::Allowed
            }
            RunAnswer::Busy => QuarantineDecision::Refused(busy()),
            RunAnswer::Quarantined => QuarantineDecision::Refused(quarantined(QUARANTINE_DURATION)),
        }
    }

    /// Replies to a query as the coordinator.
    pub(super) fn answer_query(
        &mut self,
        now: Timestamp,
        from: HostId,
        query: RunQuery,
    ) -> Vec<QuarantineAction> {
        let answer = self.decide_query(now, from, &query);
        let reply = RunReply { query: query.query, fingerprint: query.fingerprint, answer };
        vec![QuarantineAction::Send { to: from, message: LimitsMessage::RunReply(reply) }]
    }

    /// Decides on a query as the coordinator.
    ///
    /// Adopts the suspected servers of the query if it has no strikes of the fingerprint.
    fn decide_query(&mut self, now: Timestamp, from: HostId, query: &RunQuery) -> RunAnswer {
        if !self.is_coordinator(&query.fingerprint) {
            return RunAnswer::Busy;
        }
        let has_strikes = self.records.state(now, &query.fingerprint) != FingerprintState::Clear;
        if !has_strikes {
            for server in query.suspected_servers.iter().take(QUARANTINE_THRESHOLD) {
                self.records.add(now, query.fingerprint, server.clone(), false);
            }
        }
        if let FingerprintState::Quarantined { .. } = self.records.state(now, &query.fingerprint) {
            return RunAnswer::Quarantined;
        }
        if !has_strikes && now < self.started_at + MAX_LEASE {
            self.leases.block(query.fingerprint, self.started_at + MAX_LEASE);
        }
        if self.leases.grant(now, from, query) { RunAnswer::Granted } else { RunAnswer::Busy }
    }

    /// Permits or refuses the request that waits for the reply.
    pub(super) fn handle_reply(
        &mut self,
        now: Timestamp,
        from: HostId,
        reply: RunReply,
    ) -> Vec<QuarantineAction> {
        let Some(pending) = self.runs.take_pending(reply.query) else {
            return self.return_unused_lease(from, reply);
        };
        match reply.answer {
            RunAnswer::Granted if now < pending.lease_until => {
                self.runs.record_leased(&pending);
                vec![QuarantineAction::Permit {
                    request: pending.request,
                    until: pending.lease_until,
                }]
            }
            RunAnswer::Granted | RunAnswer::Busy => vec![refuse(pending.request, busy())],
            RunAnswer::Quarantined => {
                vec![refuse(pending.request, quarantined(QUARANTINE_DURATION))]
            }
        }
    }

    /// Gives a granted lease back to the coordinator if its request no longer waits for it.
    ///
    /// A lease in use is kept, as the reply is then a duplicate.
    fn return_unused_lease(&self, from: HostId, reply: RunReply) -> Vec<QuarantineAction> {
        if reply.answer != RunAnswer::Granted || self.runs.is_leased(reply.query) {
            return Vec::new();
        }
        let ended = RunEnded { query: reply.query, fingerprint: reply.fingerprint };
        vec![QuarantineAction::Send { to: from, message: LimitsMessage::RunEnded(ended) }]
    }

    /// Releases a lease at its coordinator, which may be this host.
    pub(super) fn end_lease(
        &mut self,
        query: u64,
        fingerprint: Fingerprint,
    ) -> Vec<QuarantineAction> {
        let ended = RunEnded { query, fingerprint };
        match rendezvous::coordinator(&fingerprint, &self.hosts) {
            Some(to) if to != self.host => {
                vec![QuarantineAction::Send { to, message: LimitsMessage::RunEnded(ended) }]
            }
            _ => {
                self.leases.release(self.host, &ended);
                Vec::new()
            }
        }
    }
}
