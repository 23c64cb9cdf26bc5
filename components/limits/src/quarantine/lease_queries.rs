//! Asks for leases of suspect runs, and answers such queries as the coordinator.

use ids::{Fingerprint, HostId, Millis, RequestId, Timestamp};
use schema::limits::{LimitsMessage, RunAnswer, RunEnded, RunQuery, RunReply};

use super::{
    FingerprintState, MAX_LEASE, Quarantine, QuarantineAction, QuarantineDecision, busy,
    quarantined,
    records::{QUARANTINE_SERVERS, QUARANTINE_TIME},
    refuse,
};
use crate::rendezvous;

impl Quarantine {
    /// Asks for a lease; a coordinator asks itself.
    pub(super) fn ask(
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
            _ => (self.ask_self(now, query), Vec::new()),
        }
    }

    fn ask_self(&mut self, now: Timestamp, query: RunQuery) -> QuarantineDecision {
        let number = query.query;
        let answer = self.run_answer(now, self.host, &query);
        let waiting = self.runs.take_waiting(number).expect("the query was just started");
        match answer {
            RunAnswer::Granted => {
                self.runs.start_leased(&waiting);
                QuarantineDecision::Allowed
            }
            RunAnswer::Busy => QuarantineDecision::Refused(busy()),
            RunAnswer::Quarantined => QuarantineDecision::Refused(quarantined(QUARANTINE_TIME)),
        }
    }

    /// Answers a query as the coordinator.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        from: HostId,
        query: RunQuery,
    ) -> Vec<QuarantineAction> {
        let answer = self.run_answer(now, from, &query);
        let reply = RunReply { query: query.query, fingerprint: query.fingerprint, answer };
        vec![QuarantineAction::Send { to: from, message: LimitsMessage::RunReply(reply) }]
    }

    fn run_answer(&mut self, now: Timestamp, from: HostId, query: &RunQuery) -> RunAnswer {
        if !self.is_coordinator(&query.fingerprint) {
            return RunAnswer::Busy;
        }
        let known = self.records.state(now, &query.fingerprint) != FingerprintState::Clear;
        if !known {
            for server in query.suspected_servers.iter().take(QUARANTINE_SERVERS) {
                self.records.add(now, query.fingerprint, server.clone(), false);
            }
        }
        if let FingerprintState::Quarantined { .. } = self.records.state(now, &query.fingerprint) {
            return RunAnswer::Quarantined;
        }
        if !known && now < self.started_at + MAX_LEASE {
            self.leases.block(query.fingerprint, self.started_at + MAX_LEASE);
        }
        if self.leases.grant(now, from, query) { RunAnswer::Granted } else { RunAnswer::Busy }
    }

    pub(super) fn take_reply(
        &mut self,
        now: Timestamp,
        from: HostId,
        reply: RunReply,
    ) -> Vec<QuarantineAction> {
        let Some(waiting) = self.runs.take_waiting(reply.query) else {
            return self.return_unused(from, reply);
        };
        match reply.answer {
            RunAnswer::Granted if now < waiting.until => {
                self.runs.start_leased(&waiting);
                vec![QuarantineAction::Permit { request: waiting.request, until: waiting.until }]
            }
            RunAnswer::Granted | RunAnswer::Busy => vec![refuse(waiting.request, busy())],
            RunAnswer::Quarantined => {
                vec![refuse(waiting.request, quarantined(QUARANTINE_TIME))]
            }
        }
    }

    /// Gives back a lease whose request no longer waits, unless the lease is in use.
    fn return_unused(&self, from: HostId, reply: RunReply) -> Vec<QuarantineAction> {
        if reply.answer != RunAnswer::Granted || self.runs.is_leased(reply.query) {
            return Vec::new();
        }
        let ended = RunEnded { query: reply.query, fingerprint: reply.fingerprint };
        vec![QuarantineAction::Send { to: from, message: LimitsMessage::RunEnded(ended) }]
    }

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
