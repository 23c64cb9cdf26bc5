//! Handles the requests of operators.

use std::collections::VecDeque;

use consensus::{ProposeError, ReadError};
use ids::{ByteSize, ConfigVersion, HostId, LogIndex, RequestId, Term, Timestamp, WallTime};
use schema::{
    control_state::{AuditCommand, Command},
    operator::{
        AuditOutcome, AuditQuery, LeaderHint, OperatorRequest, OperatorResponse, Origin, Status,
    },
};

use crate::{
    action::Action,
    core::ControlCore,
    state::SubmitOutcome,
    submission::{self, ParsedText},
};

/// Maximum number of submitted configurations that wait to be proposed.
pub const MAX_QUEUED_SUBMITS: usize = 64;

/// Maximum number of audit entries in one response.
pub const MAX_AUDIT_PAGE: usize = 500;

/// The submitted configurations that have no response yet, and the configuration parsed last.
#[derive(Default)]
pub(crate) struct PendingSubmits {
    queue: VecDeque<QueuedSubmit>,
    in_flight: Option<SubmitInFlight>,
    last_parsed: Option<ParsedText>,
}

/// A configuration that waits for the outcome of the previous one, against which its changes are
/// summarised.
struct QueuedSubmit {
    request: RequestId,
    origin: Origin,
    at: WallTime,
    text: String,
}

/// A configuration that is proposed but not committed yet.
struct SubmitInFlight {
    request: RequestId,
    index: LogIndex,
    term: Term,
}

impl ControlCore {
    pub(crate) fn handle_request(
        &mut self,
        now: Timestamp,
        at: WallTime,
        request: RequestId,
        origin: Origin,
        body: OperatorRequest,
    ) {
        if let OperatorRequest::Status = body {
            let status = self.status(now);
            return self.answer(request, OperatorResponse::Status(status));
        }
        if let Err(e) = self.consensus.lease_read_index(now) {
            return self.answer(request, read_error_response(e));
        }
        match body {
            OperatorRequest::Status => {}
            OperatorRequest::Submit(submit) => {
                self.enqueue(QueuedSubmit { request, origin, at, text: submit.text });
            }
            OperatorRequest::Audit(query) => self.answer_audit(request, &query),
            OperatorRequest::Current => self.answer_current(request),
            OperatorRequest::RemoveVoter(host) => {
                self.remove_voter(now, at, request, origin, host);
            }
        }
    }

    /// Proposes the next queued configuration once the previous one has its outcome.
    pub(crate) fn propose_queued(&mut self, now: Timestamp) {
        while self.submits.in_flight.is_none() {
            let Some(submit) = self.submits.queue.pop_front() else {
                return;
            };
            self.propose_submit(now, submit);
        }
    }

    /// Responds to the operator whose submitted configuration was applied at `index`.
    pub(crate) fn answer_submit(&mut self, index: LogIndex, outcome: SubmitOutcome) {
        let is_applied = |it: &mut SubmitInFlight| it.index == index;
        let Some(submit) = self.submits.in_flight.take_if(is_applied) else {
            return;
        };
        let response = match outcome {
            SubmitOutcome::Accepted(it) => OperatorResponse::Accepted(it),
            SubmitOutcome::Conflict(it) => OperatorResponse::Conflict(it),
            SubmitOutcome::Superseded(it) => OperatorResponse::Superseded(it),
            SubmitOutcome::OutOfOrder(it) => OperatorResponse::OutOfOrder(it),
        };
        self.answer(submit.request, response);
    }

    /// Gives up on a configuration proposed in an earlier term, since a new leader may have put
    /// another command at its index.
    pub(crate) fn abandon_stale_submit(&mut self) {
        let term = self.consensus.term();
        if let Some(submit) = self.submits.in_flight.take_if(|it| it.term != term) {
            self.answer(submit.request, OperatorResponse::OutcomeUnknown);
        }
    }

    /// Gives up on all submitted configurations if this host is no longer the leader.
    pub(crate) fn abandon_unless_leader(&mut self) {
        if self.consensus.is_leader() {
            return;
        }
        if let Some(submit) = self.submits.in_flight.take() {
            self.answer(submit.request, OperatorResponse::OutcomeUnknown);
        }
        let leader = leader_hint(self.consensus.leader());
        for submit in std::mem::take(&mut self.submits.queue) {
            self.answer(submit.request, OperatorResponse::NotLeader(leader.clone()));
        }
    }

    fn answer(&mut self, request: RequestId, response: OperatorResponse) {
        self.actions.push(Action::Answer { request, response });
    }

    fn enqueue(&mut self, submit: QueuedSubmit) {
        if self.submits.queue.len() >= MAX_QUEUED_SUBMITS {
            return self.answer(submit.request, OperatorResponse::Busy);
        }
        self.submits.queue.push_back(submit);
    }

    fn propose_submit(&mut self, now: Timestamp, submit: QueuedSubmit) {
        let QueuedSubmit { request, origin, at, text } = submit;
        let last_parsed = &mut self.submits.last_parsed;
        let command = match submission::check(&self.state, last_parsed, origin, at, text) {
            Ok(command) => command,
            Err(rejection) => {
                self.answer(request, rejection.response);
                let _ = self.propose(now, &Command::Audit(rejection.command));
                return;
            }
        };
        // Set before the proposal, because a single voter commits and applies it immediately.
        let (index, term) = (self.consensus.last_index().next(), self.consensus.term());
        self.submits.in_flight = Some(SubmitInFlight { request, index, term });
        let proposed = self.propose(now, &Command::Submit(command));
        if let Err(e) = proposed
            && self.submits.in_flight.take().is_some()
        {
            self.answer(request, propose_error_response(e));
        }
    }

    fn answer_audit(&mut self, request: RequestId, query: &AuditQuery) {
        let limit = (query.limit as usize).min(MAX_AUDIT_PAGE);
        let page = self.state.audit().page(query.first, limit);
        self.answer(request, OperatorResponse::Audit(page));
    }

    fn answer_current(&mut self, request: RequestId) {
        let current = self.state.current().clone();
        let response = match current.version {
            ConfigVersion(0) => OperatorResponse::NoConfiguration,
            _ => OperatorResponse::Current(current),
        };
        self.answer(request, response);
    }

    fn remove_voter(
        &mut self,
        now: Timestamp,
        at: WallTime,
        request: RequestId,
        origin: Origin,
        host: HostId,
    ) {
        let proposed = self.consensus.remove_voter(now, host);
        self.handle_consensus_actions(proposed.actions);
        if let Err(e) = proposed.outcome {
            return self.answer(request, propose_error_response(e));
        }
        let audit = AuditCommand {
            origin,
            at,
            version: self.state.current().version,
            digest: self.state.current().digest,
            outcome: AuditOutcome::MembershipChanged,
            summary: format!("voter {host} removed"),
        };
        let _ = self.propose(now, &Command::Audit(audit));
        self.answer(request, OperatorResponse::MembershipChangeStarted);
    }

    fn status(&self, now: Timestamp) -> Status {
        let current = self.state.current();
        Status {
            host: self.host,
            role: self.consensus.role(),
            leader: leader_hint(self.consensus.leader()),
            holds_lease: self.consensus.lease_read_index(now).is_ok(),
            term: self.consensus.term(),
            commit: self.consensus.commit_index(),
            last: self.consensus.last_index(),
            version: current.version,
            digest: current.digest,
            members: self.consensus.members().clone(),
            peers: self.consensus.peers(now),
            audit_entries: self.state.audit().len() as u64,
            claim_epoch: self.state.claim_map().epoch,
        }
    }
}

fn leader_hint(leader: Option<HostId>) -> LeaderHint {
    leader.map_or(LeaderHint::Unknown, LeaderHint::Host)
}

fn read_error_response(e: ReadError) -> OperatorResponse {
    match e {
        ReadError::NotLeader { leader } => OperatorResponse::NotLeader(leader_hint(leader)),
        ReadError::LeaseExpired => OperatorResponse::LeaseExpired(LeaderHint::Unknown),
    }
}

fn propose_error_response(e: ProposeError) -> OperatorResponse {
    match e {
        ProposeError::NotLeader { leader } => OperatorResponse::NotLeader(leader_hint(leader)),
        ProposeError::LeaseExpired => OperatorResponse::LeaseExpired(LeaderHint::Unknown),
        ProposeError::TooLarge(limit) => OperatorResponse::TooLarge(ByteSize(limit.0)),
        ProposeError::ChangePending
        | ProposeError::MajorityUnreachable
        | ProposeError::NotRemovable(_) => OperatorResponse::MembershipChangeRefused,
    }
}
