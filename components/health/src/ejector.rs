//! State machine with which a watcher suspects, ejects and readmits one backend server.

use ids::{Millis, Timestamp};
use schema::health::{EvidenceSummary, Symptom, VerdictStage};
use statig::prelude::*;

/// Minimum duration of a first ejection.
const BASE_EJECTION_TIME: Millis = Millis(5_000);

/// Upper bound on the minimum duration of repeated ejections.
const MAX_EJECTION_TIME: Millis = Millis(600_000);

/// Minimum duration of a probation.
const MIN_PROBATION_TIME: Millis = Millis(5_000);

/// Consecutive good reports that end an ejection after its minimum duration.
const GOOD_REPORTS_TO_END_EJECTION: u32 = 3;

/// Good reports that end a probation after its minimum duration.
const GOOD_REPORTS_TO_END_PROBATION: u32 = 5;

/// Time in rotation after which the count of earlier ejections falls by one.
const EJECTION_COUNT_DECAY_TIME: Millis = Millis(300_000);

/// Evidence on a server at the time of an evaluation.
#[derive(Debug, Clone)]
pub(crate) struct Assessment {
    /// Time of the evaluation.
    pub(crate) now: Timestamp,
    /// Whether the evidence makes the server suspect.
    pub(crate) suspect: bool,
    /// Evidence that suffices for an ejection, if there is any.
    pub(crate) ejection_evidence: Option<EvidenceSummary>,
    /// Extent of the fault; evaluated only for suspects.
    pub(crate) fault_scope: FaultScope,
    /// Most evidence that is kept during a fault of the whole service, in nats.
    pub(crate) service_fault_cap: f64,
    /// Minimum time as a suspect before an ejection.
    pub(crate) min_suspect_time: Millis,
    /// Minimum time as a suspect when nearly every request fails.
    pub(crate) min_suspect_time_when_down: Millis,
}

/// Extent of the fault behind the evidence against a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultScope {
    /// Only the server: others of its service answer well.
    Server,
    /// Too few other servers were observed to tell.
    Unknown,
    /// The whole service, or one that it depends on.
    Service,
}

impl Assessment {
    /// Returns whether the server has been suspect for long enough to eject it.
    ///
    /// A partial fault needs more time, as it is harder to tell from a fault of the whole service
    /// than a server that is down.
    fn is_suspect_long_enough(&self, since: Timestamp, symptom: Symptom) -> bool {
        let min_suspect_time = if symptom == Symptom::Down {
            self.min_suspect_time_when_down
        } else {
            self.min_suspect_time
        };
        self.now >= since + min_suspect_time
    }
}

/// Input of the state machine.
#[derive(Debug)]
pub(crate) enum EjectorEvent {
    /// The evidence is evaluated.
    Evaluate(Assessment),
    /// An observer reported no slow, failed or wrong outcome.
    GoodReport,
    /// An observer reported slow, failed or wrong outcomes.
    BadReport,
    /// The server restarted at this time.
    Restarted(Timestamp),
}

/// Data that all states share.
#[derive(Debug, Default)]
pub(crate) struct Ejector {
    /// Ejections that still count, including the present one.
    ejections: u32,
    /// Good reports since the present ejection or probation began; during an ejection, since the
    /// last bad one.
    good_reports: u32,
    /// Evidence for the last ejection.
    pub(crate) evidence: Option<EvidenceSummary>,
}

impl Ejector {
    /// Returns the minimum duration of the present ejection, doubled for each earlier one that
    /// still counts.
    fn ejection_time(&self) -> Millis {
        let doublings = self.ejections.saturating_sub(1).min(16);
        Millis((BASE_EJECTION_TIME.0 << doublings).min(MAX_EJECTION_TIME.0))
    }

    fn eject(&mut self, now: Timestamp, evidence: EvidenceSummary) -> Outcome<State> {
        self.ejections += 1;
        self.good_reports = 0;
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
        in_rotation_since: &Timestamp,
    ) -> Outcome<State> {
        if let EjectorEvent::Restarted(now) = event {
            return Transition(State::in_rotation(*now));
        }
        let EjectorEvent::Evaluate(assessment) = event else { return Handled };
        if !assessment.suspect {
            return Transition(State::in_rotation(*in_rotation_since));
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
            EjectorEvent::GoodReport => self.good_reports += 1,
            EjectorEvent::BadReport => self.good_reports = 0,
            EjectorEvent::Restarted(now) => return Transition(State::in_rotation(*now)),
            EjectorEvent::Evaluate(assessment) => {
                if assessment.now >= *until && self.good_reports >= GOOD_REPORTS_TO_END_EJECTION {
                    self.good_reports = 0;
                    return Transition(State::probation(assessment.now));
                }
            }
        }
        Handled
    }

    #[state]
    fn probation(&mut self, event: &EjectorEvent, since: &Timestamp) -> Outcome<State> {
        match event {
            EjectorEvent::GoodReport => self.good_reports += 1,
            EjectorEvent::BadReport => {}
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
        if min_time_over
            && !assessment.suspect
            && self.good_reports >= GOOD_REPORTS_TO_END_PROBATION
        {
            return Transition(State::in_rotation(assessment.now));
        }
        Handled
    }
}

impl State {
    /// Returns the stage of a watcher's verdict in this state.
    pub(crate) fn stage(&self) -> VerdictStage {
        match self {
            State::InRotation { .. } | State::Suspect { .. } => VerdictStage::Cleared,
            State::Ejected { .. } => VerdictStage::Ejected,
            State::Probation { .. } => VerdictStage::Probation,
        }
    }

    /// Returns whether the server is suspect.
    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self, State::Suspect { .. })
    }

    /// Returns the earliest end of the ejection, if the server is ejected.
    pub(crate) fn ejected_until(&self) -> Option<Timestamp> {
        match self {
            State::Ejected { until } => Some(*until),
            _ => None,
        }
    }
}
