//! Quarantine of requests that may crash the servers that run them.

use ids::{RequestId, ServerId, Timestamp, WallTime};
use limits::quarantine::{self, QuarantineAction, QuarantineDecision, RunEnd};
use schema::peer::PeerMessage;

use crate::{
    core::EntryCore,
    request::Phase,
    response::{Refusal, RefusalReason},
};

impl EntryCore {
    /// Returns whether the request may be sent to a server now.
    pub(crate) fn check_quarantine(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
    ) -> QuarantineDecision {
        let Some(request) = self.requests.get(id) else { return QuarantineDecision::Wait };
        let (payload, lease) = (request.head.payload, request.time_left(now));
        let (decision, actions) = self.quarantine.check(now, id, payload, lease);
        self.handle_quarantine_actions(now, wall, actions);
        decision
    }

    /// Records how a run ended and returns whether a failure may count against the server's health.
    pub(crate) fn record_run_end(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        server: &ServerId,
        end: RunEnd,
    ) -> bool {
        let Some(request) = self.requests.get(id) else { return true };
        let payload = request.head.payload;
        let finding = self.quarantine.finished(now, id, payload, server, end);
        self.handle_quarantine_actions(now, wall, finding.actions);
        finding.counts_for_health
    }

    pub(crate) fn handle_quarantine_actions(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        actions: Vec<QuarantineAction>,
    ) {
        for action in actions {
            match action {
                QuarantineAction::Send { to, message } => {
                    self.send(to, PeerMessage::Limits(message));
                }
                QuarantineAction::Permit { request, until } => {
                    self.on_permit(now, wall, request, until);
                }
                QuarantineAction::Refuse { request, refusal } => {
                    self.refuse_quarantined(now, wall, request, refusal);
                }
            }
        }
    }

    /// Sends a request that may run until its lease ends.
    fn on_permit(&mut self, now: Timestamp, wall: WallTime, id: RequestId, until: Timestamp) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase != Phase::AwaitingPermit {
            // Another attempt was sent without the lease, which is therefore released.
            let server = request.tried_servers.last().cloned();
            if let Some(server) = server {
                self.record_run_end(now, wall, id, &server, RunEnd::Other);
            }
            return;
        }
        request.deadline = request.deadline.min(until);
        self.send_to_best_server(now, wall, id);
    }

    pub(crate) fn refuse_quarantined(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
        refusal: quarantine::Refusal,
    ) {
        let reason = match refusal.quarantined {
            true => RefusalReason::Quarantined,
            false => RefusalReason::SuspectRunning,
        };
        self.refuse(now, wall, id, Refusal::not_run(reason, Some(refusal.retry_after)));
    }
}
