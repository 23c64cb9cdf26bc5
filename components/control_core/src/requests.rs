//! Requests of operators and their answers.

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

/// Submitted texts that wait for the one before.
pub const MAX_QUEUED_SUBMITS: usize = 64;

/// Audit entries in one answer.
pub const MAX_AUDIT_PAGE: usize = 500;

/// Requests that are not answered yet.
#[derive(Default)]
pub(crate) struct Requests {
    waiting: VecDeque<WaitingSubmit>,
    in_flight: Option<SubmitInFlight>,
    last_parsed: Option<ParsedText>,
}

/// A text that waits for the one before, since its changes are told against that one.
struct WaitingSubmit {
    request: RequestId,
    origin: Origin,
    at: WallTime,
    text: String,
}

/// A text that is in the log but not accepted yet.
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
        if let Err(e) = self.consensus.read_lease(now) {
            return self.answer(request, refused_read(e));
        }
        match body {
            OperatorRequest::Status => {}
            OperatorRequest::Submit(submit) => {
                self.enqueue(WaitingSubmit { request, origin, at, text: submit.text });
            }
            OperatorRequest::Audit(query) => self.answer_audit(request, &query),
            OperatorRequest::Current => self.answer_current(request),
            OperatorRequest::RemoveVoter(host) => {
                self.remove_voter(now, at, request, origin, host);
            }
        }
    }

    /// Proposes the next waiting text once the one before is decided.
    pub(crate) fn propose_waiting(&mut self, now: Timestamp) {
        while self.requests.in_flight.is_none() {
            let Some(submit) = self.requests.waiting.pop_front() else {
                return;
            };
            self.propose_submit(now, submit);
        }
    }

    /// Answers the submitted text that an applied command belongs to.
    pub(crate) fn answer_submit(&mut self, index: LogIndex, outcome: SubmitOutcome) {
        let is_own = |it: &mut SubmitInFlight| it.index == index;
        let Some(submit) = self.requests.in_flight.take_if(is_own) else {
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

    /// Gives up on a text proposed in an earlier term: its place may hold another command.
    pub(crate) fn abandon_earlier_terms(&mut self) {
        let term = self.consensus.term();
        if let Some(submit) = self.requests.in_flight.take_if(|it| it.term != term) {
            self.answer(submit.request, OperatorResponse::OutcomeUnknown);
        }
    }

    /// Gives up on all texts when this host does not lead any more.
    pub(crate) fn abandon_without_lead(&mut self) {
        if self.consensus.is_leader() {
            return;
        }
        if let Some(submit) = self.requests.in_flight.take() {
            self.answer(submit.request, OperatorResponse::OutcomeUnknown);
        }
        let leader = hint(self.consensus.leader());
        for submit in std::mem::take(&mut self.requests.waiting) {
            self.answer(submit.request, OperatorResponse::NotLeader(leader.clone()));
        }
    }

    fn answer(&mut self, request: RequestId, response: OperatorResponse) {
        self.actions.push(Action::Answer { request, response });
    }

    fn enqueue(&mut self, submit: WaitingSubmit) {
        if self.requests.waiting.len() >= MAX_QUEUED_SUBMITS {
            return self.answer(submit.request, OperatorResponse::Busy);
        }
        self.requests.waiting.push_back(submit);
    }

    fn propose_submit(&mut self, now: Timestamp, submit: WaitingSubmit) {
        let WaitingSubmit { request, origin, at, text } = submit;
        let last = &mut self.requests.last_parsed;
        let command = match submission::check(&self.state, last, origin, at, text) {
            Ok(command) => command,
            Err(refusal) => {
                self.answer(request, refusal.response);
                let _ = self.propose(now, &Command::Audit(refusal.command));
                return;
            }
        };
        // The place is reserved first: a single voter accepts the command at once.
        let (index, term) = (self.consensus.last_index().next(), self.consensus.term());
        self.requests.in_flight = Some(SubmitInFlight { request, index, term });
        let proposed = self.propose(now, &Command::Submit(command));
        if let Err(e) = proposed
            && self.requests.in_flight.take().is_some()
        {
            self.answer(request, refused_proposal(e));
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
        self.carry_out(proposed.actions);
        if let Err(e) = proposed.outcome {
            return self.answer(request, refused_proposal(e));
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
            leader: hint(self.consensus.leader()),
            holds_lease: self.consensus.read_lease(now).is_ok(),
            term: self.consensus.term(),
            commit: self.consensus.commit(),
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

fn hint(leader: Option<HostId>) -> LeaderHint {
    leader.map_or(LeaderHint::Unknown, LeaderHint::Host)
}

fn refused_read(e: ReadError) -> OperatorResponse {
    match e {
        ReadError::NotLeader { leader } => OperatorResponse::NotLeader(hint(leader)),
        ReadError::LeaseExpired => OperatorResponse::LeaseExpired(LeaderHint::Unknown),
    }
}

fn refused_proposal(e: ProposeError) -> OperatorResponse {
    match e {
        ProposeError::NotLeader { leader } => OperatorResponse::NotLeader(hint(leader)),
        ProposeError::LeaseExpired => OperatorResponse::LeaseExpired(LeaderHint::Unknown),
        ProposeError::TooLarge(limit) => OperatorResponse::TooLarge(ByteSize(limit.0)),
        ProposeError::ChangePending
        | ProposeError::MajorityUnheard
        | ProposeError::NotRemovable(_) => OperatorResponse::MembershipChangeRefused,
    }
}
