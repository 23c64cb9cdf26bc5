//! What a watcher holds of one server: in rotation, suspect, ejected or on probation.

use ids::{Millis, Timestamp};
use schema::health::{EvidenceSummary, Symptom, VerdictStage};
use statig::prelude::*;

/// How long a first ejection lasts at least.
const BASE_EJECTION: Millis = Millis(5_000);

/// The longest ejection that repeated sickness leads to.
const MAX_EJECTION: Millis = Millis(600_000);

/// How long a server is on probation at least.
const PROBATION: Millis = Millis(5_000);

/// Good outcomes in a row that let a server out of ejection.
const GOOD_TO_LEAVE_EJECTION: u32 = 3;

/// Good outcomes that let a server out of probation.
const GOOD_TO_LEAVE_PROBATION: u32 = 5;

/// Time in rotation after which one earlier ejection is forgiven.
const FORGIVE_AFTER: Millis = Millis(300_000);

/// What the evidence says when the judge looks at it.
#[derive(Debug, Clone)]
pub(crate) struct Findings {
    /// The present time.
    pub(crate) now: Timestamp,
    /// Whether the evidence makes the server suspect.
    pub(crate) suspect: bool,
    /// The evidence, when it suffices for an ejection.
    pub(crate) conviction: Option<EvidenceSummary>,
    /// What else explains the evidence.
    pub(crate) excuse: Excuse,
    /// The most evidence that is kept when the service as a whole is in trouble, in nats.
    pub(crate) excused_limit: f64,
    /// How long a suspicion lasts before an ejection.
    pub(crate) settle: Millis,
    /// How long it lasts when nearly every request fails.
    pub(crate) settle_when_down: Millis,
}

/// What else than the server itself explains evidence against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Excuse {
    /// Nothing: other servers of the service do well.
    None,
    /// Too few other servers were seen to tell.
    Unknown,
    /// The service as a whole is in trouble, or one that it depends on.
    WholeService,
}

impl Findings {
    /// Whether a suspicion is old enough: a partial fault takes longer to tell from a service
    /// that fails as a whole than a server that is down.
    fn is_settled(&self, since: Timestamp, symptom: Symptom) -> bool {
        let settle = if symptom == Symptom::Down { self.settle_when_down } else { self.settle };
        self.now >= since + settle
    }
}

/// What changes the judgement of a server.
#[derive(Debug)]
pub(crate) enum JudgeEvent {
    /// A look at the evidence.
    Look(Findings),
    /// A good outcome.
    Good,
    /// A bad outcome.
    Bad,
    /// The server started anew.
    Restarted(Timestamp),
}

/// The data that all states of the judgement share.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    ejections: u32,
    good_in_row: u32,
    /// The evidence of the last ejection.
    pub(crate) evidence: Option<EvidenceSummary>,
}

impl Judge {
    /// How long the present ejection lasts: doubled with each recent one before it.
    fn ejection_time(&self) -> Millis {
        let doublings = self.ejections.saturating_sub(1).min(16);
        Millis((BASE_EJECTION.0 << doublings).min(MAX_EJECTION.0))
    }

    fn eject(&mut self, now: Timestamp, evidence: EvidenceSummary) -> Outcome<State> {
        self.ejections += 1;
        self.good_in_row = 0;
        self.evidence = Some(evidence);
        Transition(State::ejected(now + self.ejection_time()))
    }
}

#[state_machine(
    initial = "State::in_rotation(Timestamp::default())",
    state(derive(Debug, Clone, PartialEq)),
    visibility = "pub(crate)"
)]
impl Judge {
    #[state]
    fn in_rotation(&mut self, event: &JudgeEvent, since: &mut Timestamp) -> Outcome<State> {
        let JudgeEvent::Look(findings) = event else { return Handled };
        if findings.suspect {
            return Transition(State::suspect(findings.now, *since));
        }
        if self.ejections > 0 && findings.now > *since + FORGIVE_AFTER {
            self.ejections -= 1;
            *since = findings.now;
        }
        Handled
    }

    #[state]
    fn suspect(
        &mut self,
        event: &JudgeEvent,
        suspect_since: &Timestamp,
        since: &Timestamp,
    ) -> Outcome<State> {
        if let JudgeEvent::Restarted(now) = event {
            return Transition(State::in_rotation(*now));
        }
        let JudgeEvent::Look(findings) = event else { return Handled };
        if !findings.suspect {
            return Transition(State::in_rotation(*since));
        }
        match &findings.conviction {
            Some(evidence)
                if findings.is_settled(*suspect_since, evidence.symptom)
                    && findings.excuse == Excuse::None =>
            {
                self.eject(findings.now, evidence.clone())
            }
            _ => Handled,
        }
    }

    #[state]
    fn ejected(&mut self, event: &JudgeEvent, until: &mut Timestamp) -> Outcome<State> {
        match event {
            JudgeEvent::Good => self.good_in_row += 1,
            JudgeEvent::Bad => self.good_in_row = 0,
            JudgeEvent::Restarted(now) => return Transition(State::in_rotation(*now)),
            JudgeEvent::Look(findings) => {
                if findings.now >= *until && self.good_in_row >= GOOD_TO_LEAVE_EJECTION {
                    self.good_in_row = 0;
                    return Transition(State::probation(findings.now));
                }
            }
        }
        Handled
    }

    #[state]
    fn probation(&mut self, event: &JudgeEvent, since: &Timestamp) -> Outcome<State> {
        match event {
            JudgeEvent::Good => self.good_in_row += 1,
            JudgeEvent::Bad => {}
            JudgeEvent::Restarted(now) => return Transition(State::in_rotation(*now)),
            JudgeEvent::Look(findings) => return self.look_on_probation(findings, *since),
        }
        Handled
    }

    fn look_on_probation(&mut self, findings: &Findings, since: Timestamp) -> Outcome<State> {
        if findings.suspect && findings.excuse == Excuse::None {
            let evidence = findings.conviction.clone().or(self.evidence.clone());
            return evidence.map_or(Handled, |it| self.eject(findings.now, it));
        }
        let served = findings.now >= since + PROBATION;
        if served && !findings.suspect && self.good_in_row >= GOOD_TO_LEAVE_PROBATION {
            return Transition(State::in_rotation(findings.now));
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
