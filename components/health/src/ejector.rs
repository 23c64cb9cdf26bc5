//! What a watcher holds of one server: in rotation, suspect, ejected or on probation.

use ids::{Millis, Timestamp};
use schema::health::{EvidenceSummary, Symptom, VerdictStage};
use statig::prelude::*;

/// How long a first ejection lasts at least.
const BASE_EJECTION_TIME: Millis = Millis(5_000);

/// The longest ejection that repeated sickness leads to.
const MAX_EJECTION_TIME: Millis = Millis(600_000);

/// How long a server is on probation at least.
const MIN_PROBATION_TIME: Millis = Millis(5_000);

/// Good outcomes in a row that let a server out of ejection.
const GOOD_TO_LEAVE_EJECTION: u32 = 3;

/// Good outcomes that let a server out of probation.
const GOOD_TO_LEAVE_PROBATION: u32 = 5;

/// Time in rotation after which one earlier ejection is forgiven.
const EJECTION_COUNT_DECAY_TIME: Millis = Millis(300_000);

/// What the evidence says when the judge looks at it.
#[derive(Debug, Clone)]
pub(crate) struct Assessment {
    /// The present time.
    pub(crate) now: Timestamp,
    /// Whether the evidence makes the server suspect.
    pub(crate) suspect: bool,
    /// The evidence, when it suffices for an ejection.
    pub(crate) ejection_evidence: Option<EvidenceSummary>,
    /// What else explains the evidence.
    pub(crate) fault_scope: FaultScope,
    /// The most evidence that is kept when the service as a whole is in trouble, in nats.
    pub(crate) service_fault_cap: f64,
    /// How long a suspicion lasts before an ejection.
    pub(crate) min_suspect_time: Millis,
    /// How long it lasts when nearly every request fails.
    pub(crate) min_suspect_time_when_down: Millis,
}

/// What else than the server itself explains evidence against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultScope {
    /// Nothing: other servers of the service do well.
    Server,
    /// Too few other servers were seen to tell.
    Unknown,
    /// The service as a whole is in trouble, or one that it depends on.
    Service,
}

impl Assessment {
    /// Whether a suspicion is old enough: a partial fault takes longer to tell from a service
    /// that fails as a whole than a server that is down.
    fn is_suspect_long_enough(&self, since: Timestamp, symptom: Symptom) -> bool {
        let min_suspect_time = if symptom == Symptom::Down {
            self.min_suspect_time_when_down
        } else {
            self.min_suspect_time
        };
        self.now >= since + min_suspect_time
    }
}

/// What changes the judgement of a server.
#[derive(Debug)]
pub(crate) enum EjectorEvent {
    /// A look at the evidence.
    Evaluate(Assessment),
    /// A good outcome.
    GoodOutcome,
    /// A bad outcome.
    BadOutcome,
    /// The server started anew.
    Restarted(Timestamp),
}

/// The data that all states of the judgement share.
#[derive(Debug, Default)]
pub(crate) struct Ejector {
    ejections: u32,
    good_outcomes: u32,
    /// The evidence of the last ejection.
    pub(crate) evidence: Option<EvidenceSummary>,
}

impl Ejector {
    /// How long the present ejection lasts: doubled with each recent one before it.
    fn ejection_time(&self) -> Millis {
        let doublings = self.ejections.saturating_sub(1).min(16);
        Millis((BASE_EJECTION_TIME.0 << doublings).min(MAX_EJECTION_TIME.0))
    }

    fn eject(&mut self, now: Timestamp, evidence: EvidenceSummary) -> Outcome<State> {
        self.ejections += 1;
        self.good_outcomes = 0;
        self.evidence = Some(evidence);
        Transition(State::ejected(now + self.ejection_time()))
    }
}

#[state_machine(
    initial = "State::in_rotation(Timestamp::default())",
    state(derive(Debug, Clone, PartialEq)),
    visibility = "pub(crate)"
)]
impl Ejector {
    #[state]
    fn in_rotation(&mut self, event: &EjectorEvent, since: &mut Timestamp) -> Outcome<State> {
        let EjectorEvent::Evaluate(assessment) = event else { return Handled };
        if assessment.suspect {
            return Transition(State::suspect(assessment.now, *since));
        }
        if self.ejections > 0 && assessment.now > *since + EJECTION_COUNT_DECAY_TIME {
            self.ejections -= 1;
            *since = assessment.now;
        }
        Handled
    }

    #[state]
    fn suspect(
        &mut self,
        event: &EjectorEvent,
        suspect_since: &Timestamp,
        since: &Timestamp,
    ) -> Outcome<State> {
        if let EjectorEvent::Restarted(now) = event {
            return Transition(State::in_rotation(*now));
        }
        let EjectorEvent::Evaluate(assessment) = event else { return Handled };
        if !assessment.suspect {
            return Transition(State::in_rotation(*since));
        }
        match &assessment.ejection_evidence {
            Some(evidence)
                if assessment.is_suspect_long_enough(*suspect_since, evidence.symptom)
                    && assessment.fault_scope == FaultScope::Server =>
            {
                self.eject(assessment.now, evidence.clone())
            }
            _ => Handled,
        }
    }

    #[state]
    fn ejected(&mut self, event: &EjectorEvent, until: &mut Timestamp) -> Outcome<State> {
        match event {
            EjectorEvent::GoodOutcome => self.good_outcomes += 1,
            EjectorEvent::BadOutcome => self.good_outcomes = 0,
            EjectorEvent::Restarted(now) => return Transition(State::in_rotation(*now)),
            EjectorEvent::Evaluate(assessment) => {
                if assessment.now >= *until && self.good_outcomes >= GOOD_TO_LEAVE_EJECTION {
                    self.good_outcomes = 0;
                    return Transition(State::probation(assessment.now));
                }
            }
        }
        Handled
    }

    #[state]
    fn probation(&mut self, event: &EjectorEvent, since: &Timestamp) -> Outcome<State> {
        match event {
            EjectorEvent::GoodOutcome => self.good_outcomes += 1,
            EjectorEvent::BadOutcome => {}
            EjectorEvent::Restarted(now) => return Transition(State::in_rotation(*now)),
            EjectorEvent::Evaluate(assessment) => {
                return self.evaluate_on_probation(assessment, *since);
            }
        }
        Handled
    }

    fn evaluate_on_probation(
        &mut self,
        assessment: &Assessment,
        since: Timestamp,
    ) -> Outcome<State> {
        if assessment.suspect && assessment.fault_scope == FaultScope::Server {
            let evidence = assessment.ejection_evidence.clone().or(self.evidence.clone());
            return evidence.map_or(Handled, |it| self.eject(assessment.now, it));
        }
        let min_time_over = assessment.now >= since + MIN_PROBATION_TIME;
        if min_time_over && !assessment.suspect && self.good_outcomes >= GOOD_TO_LEAVE_PROBATION {
            return Transition(State::in_rotation(assessment.now));
        }
        Handled
    }
}

impl State {
    /// The verdict that a watcher in this state gives.
    pub(crate) fn stage(&self) -> VerdictStage {
        match self {
            State::InRotation { .. } | State::Suspect { .. } => VerdictStage::Cleared,
            State::Ejected { .. } => VerdictStage::Ejected,
            State::Probation { .. } => VerdictStage::Probation,
        }
    }

    /// Whether the server is suspect.
    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self, State::Suspect { .. })
    }

    /// When an ejection ends at the earliest.
    pub(crate) fn ejected_until(&self) -> Option<Timestamp> {
        match self {
            State::Ejected { until } => Some(*until),
            _ => None,
        }
    }
}
