//! The trials of requests in quarantine that a control host has granted.
//!
//! A trial runs if a majority of the control hosts has granted it. A control host grants one at a time
//! for a request. A trial without a known end counts as a crash. Grants are kept in memory only: a
//! control host that has just started grants none until those of its previous process have ended.

use ids::{FastMap, Fingerprint, HostId, Incarnation, Millis, PermitNumber, Timestamp};
use schema::quarantine::{TrialAsk, TrialEnd, TrialOutcome};

use crate::{
    records::{Crashes, Records},
    schedule::{TRIAL_TIME, trial_due_in},
};

/// Time after which a gateway asks again while another trial runs, in milliseconds.
const BUSY_TIME: Millis = Millis(2_000);

/// A process of a gateway.
pub(crate) type Holder = (HostId, Incarnation);

/// A trial that may still run.
#[derive(Debug)]
struct Grant {
    holder: Holder,
    number: PermitNumber,
    until: Timestamp,
    /// Late crashes on record when it was granted.
    late: usize,
}

/// The trials of one request.
#[derive(Debug, Default)]
struct RequestTrials {
    running: Option<Grant>,
    /// Number of trials that have ended without it being known how, and when the last one has.
    unknown: usize,
    unknown_until: Timestamp,
}

impl RequestTrials {
    /// Ends the running trial if it must be over or its crash is on record.
    fn settle(&mut self, now: Timestamp, crashes: &Crashes) {
        let Some(grant) = &self.running else { return };
        if crashes.late > grant.late {
            self.running = None;
        } else if now >= grant.until {
            self.unknown += 1;
            self.unknown_until = grant.until;
            self.running = None;
        }
    }

    /// Returns the crashes on record together with the trials that count as crashes.
    fn with_unknown(&self, now: Timestamp, crashes: &Crashes) -> Crashes {
        match self.unknown {
            0 => *crashes,
            unknown => Crashes {
                late: crashes.late + unknown,
                last_age: crashes.last_age.min(now.since(self.unknown_until)),
            },
        }
    }
}

/// The trials that a control host has granted.
#[derive(Debug)]
pub(crate) struct TrialGrants {
    grants_from: Timestamp,
    trials: FastMap<Fingerprint, RequestTrials>,
}

impl TrialGrants {
    pub(crate) fn new(grants_from: Timestamp) -> Self {
        Self { grants_from, trials: FastMap::default() }
    }

    /// Grants a trial, or returns when to ask again.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        holder: Holder,
        ask: &TrialAsk,
        records: &Records,
    ) -> TrialOutcome {
        self.trials.retain(|it, _| records.quarantined(now, *it).is_some());
        if now < self.grants_from {
            return TrialOutcome::Later(self.grants_from.since(now));
        }
        let Some(crashes) = records.quarantined(now, ask.fingerprint) else {
            return TrialOutcome::Later(BUSY_TIME);
        };
        let trials = self.trials.entry(ask.fingerprint).or_default();
        trials.settle(now, &crashes);
        if let Some(running) = &trials.running {
            let is_same = running.holder == holder && running.number == ask.number;
            return if is_same { TrialOutcome::Granted } else { TrialOutcome::Later(BUSY_TIME) };
        }
        let due_in = trial_due_in(&trials.with_unknown(now, &crashes));
        if due_in > Millis(0) {
            return TrialOutcome::Later(due_in);
        }
        trials.running =
            Some(Grant { holder, number: ask.number, until: now + TRIAL_TIME, late: crashes.late });
        TrialOutcome::Granted
    }

    /// Ends a trial that has crashed no server, or that was not begun.
    pub(crate) fn end(&mut self, holder: Holder, end: &TrialEnd) {
        let Some(trials) = self.trials.get_mut(&end.fingerprint) else { return };
        let is_same = |it: &Grant| it.holder == holder && it.number == end.number;
        if trials.running.as_ref().is_some_and(is_same) {
            trials.running = None;
        }
    }
}
