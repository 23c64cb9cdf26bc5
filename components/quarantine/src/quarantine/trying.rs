//! Decides which requests may be sent, and tries those in quarantine again.

use ids::{Fingerprint, HostId, Millis, RequestId, ServiceName, Timestamp};
use schema::quarantine::{TrialAnswer, TrialOutcome};

use super::{Admission, Quarantine, QuarantineEvent};
use crate::{
    schedule::{retry_after, trial_due_in},
    trials::TrialStatus,
};

/// A request that wants to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its id at this gateway.
    pub id: RequestId,
    /// The request.
    pub request: Fingerprint,
    /// Its service.
    pub service: &'a ServiceName,
    /// Whether this gateway will run until it ends.
    pub may_be_tried: bool,
}

impl Quarantine {
    /// Returns the time after which the caller of a new request should return, if it is refused at once.
    pub fn refuses(&self, now: Timestamp, request: Fingerprint) -> Option<Millis> {
        let due_in = trial_due_in(&self.records.quarantined(now, request)?);
        let due_in = match self.trials.status(now, None, request) {
            TrialStatus::NotBefore(at) => at.since(now).max(due_in),
            TrialStatus::None if due_in == Millis(0) => return None,
            _ => due_in,
        };
        Some(retry_after(due_in))
    }

    /// Returns whether a request is in quarantine.
    pub fn is_quarantined(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.records.quarantined(now, request).is_some()
    }

    /// Decides whether a request may be sent; must be called before each attempt.
    pub fn admit(
        &mut self,
        now: Timestamp,
        candidate: &Candidate<'_>,
        control_hosts: &[HostId],
    ) -> Admission {
        let Candidate { id, request, may_be_tried, .. } = *candidate;
        let Some(crashes) = self.records.quarantined(now, request) else {
            return match self.knowledge.holds_until(now) {
                Some(until) => {
                    self.held.push(id);
                    Admission::Wait(until)
                }
                None => Admission::Free,
            };
        };
        let due_in = trial_due_in(&crashes);
        let refused = |due_in| Admission::Refused(retry_after(due_in));
        match self.trials.status(now, Some(id), request) {
            TrialStatus::Granted(until) => Admission::Trial(until),
            TrialStatus::Asked(until) if now < until => Admission::Wait(until),
            TrialStatus::Asked(_) => {
                self.trials.give_up(now, request, &mut self.outgoing);
                refused(due_in)
            }
            TrialStatus::Taken => refused(due_in),
            TrialStatus::NotBefore(at) => refused(at.since(now).max(due_in)),
            TrialStatus::None => {
                if due_in > Millis(0) || !may_be_tried || control_hosts.is_empty() {
                    return refused(due_in);
                }
                let hosts = control_hosts.to_vec();
                Admission::Wait(self.trials.ask(now, candidate, hosts, &mut self.outgoing))
            }
        }
    }

    /// Records that a request has finished; `is_running` is whether a server may still work on it, so that
    /// it isn't known what becomes of its trial.
    pub fn finished(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: Fingerprint,
        is_running: bool,
    ) {
        if !self.trials.is_of(id, request) {
            return;
        }
        match is_running {
            true => self.trials.forget(request),
            false => self.trials.give_up(now, request, &mut self.outgoing),
        }
    }

    pub(super) fn on_trial_answer(&mut self, now: Timestamp, from: HostId, answer: &TrialAnswer) {
        let woken = self.trials.on_answer(now, from, answer, &mut self.outgoing);
        if woken.is_some() && answer.outcome == TrialOutcome::Granted {
            self.events.push(QuarantineEvent::TrialGranted { request: answer.fingerprint });
        }
        self.wakeups.extend(woken);
    }
}
