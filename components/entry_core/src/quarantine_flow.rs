//! Requests that may crash the servers that run them.

use ids::{RequestId, ServerId, Timestamp, WallTime};
use limits::quarantine::{self, QuarantineAction, QuarantineDecision, RunEnd};
use schema::peer::PeerMessage;

use crate::{
    core::EntryCore,
    request::Phase,
    response::{Refusal, RefusalReason},
};

impl EntryCore {
    /// Whether the request may be sent to a server now.
    pub(crate) fn check_quarantine(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        id: RequestId,
    ) -> QuarantineDecision {
        let Some(request) = self.requests.get(id) else { return QuarantineDecision::Wait };
        let (payload, lease) = (request.head.payload, request.time_left(now));
        let (decision, actions) = self.quarantine.check(now, id, payload, lease);
        self.on_quarantine(now, wall, actions);
        decision
    }

    /// Notes how a run ended; says whether a failure may count against the server's health.
    pub(crate) fn note_run_end(
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
        self.on_quarantine(now, wall, finding.actions);
        finding.counts_for_health
    }

    pub(crate) fn on_quarantine(
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

    /// The request may run until its lease ends.
    fn on_permit(&mut self, now: Timestamp, wall: WallTime, id: RequestId, until: Timestamp) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase != Phase::AskingLeave {
            // Another attempt went on without it, so that the lease is given back.
            let server = request.tried.last().cloned();
            if let Some(server) = server {
                self.note_run_end(now, wall, id, &server, RunEnd::Other);
            }
            return;
        }
        request.deadline = request.deadline.min(until);
        self.send_to_any(now, wall, id);
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
