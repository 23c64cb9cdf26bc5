//! The replicated state: the current configuration, the latest accepted versions, the audit trail
//! and the claim map.

use std::collections::VecDeque;

use ids::{Blob, ConfigVersion, ContentDigest, Epoch};
use schema::{
    control_state::{AuditCommand, ClaimMap, Command, ControlState, SubmitCommand},
    operator::{Acceptance, Accepted, AuditOutcome, Conflict, Current, OutOfOrder},
};

use crate::audit::{AuditTrail, NewRecord};

/// Number of accepted versions that are kept, to give a resubmitted configuration its original
/// outcome.
pub const MAX_ACCEPTED_VERSIONS: usize = 1024;

/// The outcome of a submitted configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is accepted, or was when it was first submitted.
    Accepted(Accepted),
    /// Another configuration was accepted under the same version.
    Conflict(Conflict),
    /// Its version is older than the versions that are kept, so its outcome is unknown.
    Superseded(OutOfOrder),
    /// Its version is not the one after the current version.
    OutOfOrder(OutOfOrder),
}

/// The effect of an applied command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A submitted configuration was accepted or rejected.
    Submit(SubmitOutcome),
    /// The claim map was replaced.
    ClaimMap,
    /// Nothing outside the replicated state has to change.
    Nothing,
}

/// The state that every control host builds from the same committed commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicatedState {
    current: Current,
    accepted: VecDeque<Accepted>,
    audit: AuditTrail,
    claim_map: ClaimMap,
}

impl Default for ReplicatedState {
    fn default() -> Self {
        let (version, digest) = (ConfigVersion(0), ContentDigest::default());
        Self {
            current: Current { version, digest, text: String::new() },
            accepted: VecDeque::new(),
            audit: AuditTrail::default(),
            claim_map: ClaimMap { epoch: Epoch(0), data: Blob::default() },
        }
    }
}

impl ReplicatedState {
    /// Decodes a snapshot; empty data gives the initial state.
    pub fn restore(data: &Blob) -> Self {
        if data.as_slice().is_empty() {
            return Self::default();
        }
        let state: ControlState =
            postcard::from_bytes(data.as_slice()).expect("a snapshot of committed entries decodes");
        Self {
            current: state.current,
            accepted: state.accepted.into(),
            audit: AuditTrail::restore(state.audit),
            claim_map: state.claim_map,
        }
    }

    /// Encodes a snapshot.
    pub fn save(&self) -> Blob {
        let state = ControlState {
            current: self.current.clone(),
            accepted: self.accepted.iter().cloned().collect(),
            audit: self.audit.save(),
            claim_map: self.claim_map.clone(),
        };
        schema::encode(&state).into()
    }

    /// Returns the current configuration; version 0 means that there is none.
    pub fn current(&self) -> &Current {
        &self.current
    }

    /// Returns the audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Returns the current claim map; epoch 0 means that there is none.
    pub fn claim_map(&self) -> &ClaimMap {
        &self.claim_map
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Applied {
        match command {
            Command::Submit(submit) => Applied::Submit(self.submit(submit)),
            Command::Audit(audit) => {
                self.append_audit(audit);
                Applied::Nothing
            }
            Command::ClaimMap(map) if map.epoch == self.claim_map.epoch.next() => {
                self.claim_map = map;
                Applied::ClaimMap
            }
            Command::ClaimMap(_) => Applied::Nothing,
        }
    }

    fn submit(&mut self, submit: SubmitCommand) -> SubmitOutcome {
        let outcome = self.decide(&submit);
        let (audit_outcome, summary) = audit_fields(&outcome, &submit);
        self.audit.append(NewRecord {
            at: submit.at,
            origin: submit.origin.clone(),
            version: submit.version,
            digest: submit.digest,
            outcome: audit_outcome,
            summary,
        });
        if let SubmitOutcome::Accepted(accepted) = &outcome
            && !accepted.resent
        {
            self.accept(accepted.clone(), submit);
        }
        outcome
    }

    /// Decides whether a submitted configuration is accepted, from its version and digest.
    fn decide(&self, submit: &SubmitCommand) -> SubmitOutcome {
        let current = self.current.version;
        let out_of_order = OutOfOrder { submitted: submit.version, current };
        let earlier = self.accepted.iter().find(|it| it.acceptance.version == submit.version);
        if let Some(earlier) = earlier {
            let winner = earlier.acceptance.clone();
            if winner.digest != submit.digest {
                return SubmitOutcome::Conflict(Conflict { winner, current });
            }
            return SubmitOutcome::Accepted(Accepted { resent: true, ..earlier.clone() });
        }
        if submit.version <= current {
            return SubmitOutcome::Superseded(out_of_order);
        }
        let is_first = current == ConfigVersion(0);
        if !is_first && submit.version != current.next() {
            return SubmitOutcome::OutOfOrder(out_of_order);
        }
        let acceptance = Acceptance {
            version: submit.version,
            digest: submit.digest,
            origin: submit.origin.clone(),
            at: submit.at,
        };
        let summary = submit.summary.clone();
        SubmitOutcome::Accepted(Accepted { acceptance, resent: false, summary })
    }

    fn accept(&mut self, accepted: Accepted, submit: SubmitCommand) {
        let SubmitCommand { version, digest, text, .. } = submit;
        self.current = Current { version, digest, text };
        self.accepted.push_back(accepted);
        if self.accepted.len() > MAX_ACCEPTED_VERSIONS {
            self.accepted.pop_front();
        }
    }

    fn append_audit(&mut self, audit: AuditCommand) {
        self.audit.append(NewRecord {
            at: audit.at,
            origin: audit.origin,
            version: audit.version,
            digest: audit.digest,
            outcome: audit.outcome,
            summary: audit.summary,
        });
    }
}

/// Returns the outcome and summary to record for a submitted configuration.
fn audit_fields(outcome: &SubmitOutcome, submit: &SubmitCommand) -> (AuditOutcome, String) {
    match outcome {
        SubmitOutcome::Accepted(it) if it.resent => (AuditOutcome::Resent, String::new()),
        SubmitOutcome::Accepted(_) => (AuditOutcome::Accepted, submit.summary.clone()),
        SubmitOutcome::Conflict(conflict) => {
            let winner = &conflict.winner;
            let summary = format!("{} had submitted {}", winner.origin.operator, winner.digest);
            (AuditOutcome::Conflict, summary)
        }
        SubmitOutcome::Superseded(order) | SubmitOutcome::OutOfOrder(order) => {
            (AuditOutcome::OutOfOrder, format!("the current version was {}", order.current))
        }
    }
}
