//! The replicated state: the text in force, the versions before it, the audit trail and the
//! claim map.

use std::collections::VecDeque;

use ids::{Blob, ConfigVersion, ContentDigest, Epoch};
use schema::{
    control_state::{AuditCommand, ClaimMap, Command, ControlState, SubmitCommand},
    operator::{Acceptance, Accepted, AuditOutcome, Conflict, Current, OutOfOrder},
};

use crate::audit::{Attempt, AuditTrail};

/// Accepted versions whose outcome is kept for operators who ask again.
pub const MAX_ACCEPTED_VERSIONS: usize = 1024;

/// What became of a submitted text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It was accepted, now or before.
    Accepted(Accepted),
    /// Another text was accepted under its version.
    Conflict(Conflict),
    /// Its version is too old to tell.
    Superseded(OutOfOrder),
    /// Its version does not follow the current one.
    OutOfOrder(OutOfOrder),
}

/// What an applied command changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A text was submitted.
    Submit(SubmitOutcome),
    /// The claim map was replaced.
    ClaimMap,
    /// Nothing that others act on.
    Nothing,
}

/// The state that all control hosts hold alike.
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
    /// Reads a snapshot; empty data stand for the first state.
    pub fn restore(data: &Blob) -> Self {
        if data.as_slice().is_empty() {
            return Self::default();
        }
        let state: ControlState =
            postcard::from_bytes(data.as_slice()).expect("snapshots of accepted entries are whole");
        Self {
            current: state.current,
            accepted: state.accepted.into(),
            audit: AuditTrail::restore(state.audit),
            claim_map: state.claim_map,
        }
    }

    /// Writes a snapshot.
    pub fn save(&self) -> Blob {
        let state = ControlState {
            current: self.current.clone(),
            accepted: self.accepted.iter().cloned().collect(),
            audit: self.audit.save(),
            claim_map: self.claim_map.clone(),
        };
        schema::encode(&state).into()
    }

    /// The text in force; version 0 stands for none.
    pub fn current(&self) -> &Current {
        &self.current
    }

    /// The audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// The claim map in force; epoch 0 stands for none.
    pub fn claim_map(&self) -> &ClaimMap {
        &self.claim_map
    }

    /// Applies an accepted command.
    pub fn apply(&mut self, command: Command) -> Applied {
        match command {
            Command::Submit(submit) => Applied::Submit(self.submit(submit)),
            Command::Audit(audit) => {
                self.record(audit);
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
        let (audited, summary) = describe(&outcome, &submit);
        self.audit.record(Attempt {
            at: submit.at,
            origin: submit.origin.clone(),
            version: submit.version,
            digest: submit.digest,
            outcome: audited,
            summary,
        });
        if let SubmitOutcome::Accepted(accepted) = &outcome
            && !accepted.resent
        {
            self.accept(accepted.clone(), submit);
        }
        outcome
    }

    /// Compares the version with the current one and sets the new text if it follows.
    fn decide(&self, submit: &SubmitCommand) -> SubmitOutcome {
        let current = self.current.version;
        let order = OutOfOrder { submitted: submit.version, current };
        let earlier = self.accepted.iter().find(|it| it.acceptance.version == submit.version);
        if let Some(earlier) = earlier {
            let winner = earlier.acceptance.clone();
            if winner.digest != submit.digest {
                return SubmitOutcome::Conflict(Conflict { winner, current });
            }
            return SubmitOutcome::Accepted(Accepted { resent: true, ..earlier.clone() });
        }
        if submit.version <= current {
            return SubmitOutcome::Superseded(order);
        }
        let is_first = current == ConfigVersion(0);
        if !is_first && submit.version != current.next() {
            return SubmitOutcome::OutOfOrder(order);
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

    fn record(&mut self, audit: AuditCommand) {
        self.audit.record(Attempt {
            at: audit.at,
            origin: audit.origin,
            version: audit.version,
            digest: audit.digest,
            outcome: audit.outcome,
            summary: audit.summary,
        });
    }
}

/// The audit outcome and summary of a submitted text.
fn describe(outcome: &SubmitOutcome, submit: &SubmitCommand) -> (AuditOutcome, String) {
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
