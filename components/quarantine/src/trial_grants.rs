//! The trials of requests in quarantine that a control host has granted.
//!
//! A trial runs if a majority of the control hosts has granted it. A control host grants one at a time
//! for a service, since a request that crashes its server would take the others for guilty as well. Trials without a known end count as crashes from the second on. Grants are kept in memory only: a
//! control host that has just started grants none until those of its previous process have ended.

use ids::{
    FastMap, Fingerprint, HostId, Incarnation, Millis, PermitNumber, ServiceName, Timestamp,
};
use schema::quarantine::{TrialAsk, TrialEnd, TrialOutcome};

use crate::{
    records::{Crashes, Records},
    schedule::{TRIAL_TIME, trial_due_in},
};

/// Time after which a gateway asks again while another trial runs, in milliseconds.
const BUSY_TIME: Millis = Millis(1_000);

/// Number of trials without a known end that don't count as crashes: most are of gateways that were
/// stopped before their request was sent, and other gateways see that a server has crashed too.
const FREE_UNKNOWN: usize = 1;

/// A process of a gateway.
pub(crate) type Holder = (HostId, Incarnation);

/// A trial that may still run.
#[derive(Debug)]
struct Grant {
    holder: Holder,
    number: PermitNumber,
    request: Fingerprint,
    until: Timestamp,
    /// Late crashes on record when it was granted.
    late: usize,
}

/// Trials of one request of which it is not known how they have ended.
#[derive(Debug, Default)]
struct UnknownEnds {
    count: usize,
    last_at: Timestamp,
}

impl UnknownEnds {
    /// Returns the crashes on record together with the trials that count as crashes.
    fn add_to(&self, now: Timestamp, crashes: &Crashes) -> Crashes {
        Crashes {
            late: crashes.late + self.count.saturating_sub(FREE_UNKNOWN),
            last_age: crashes.last_age.min(now.since(self.last_at)),
        }
    }
}

/// The trials that a control host has granted.
#[derive(Debug)]
pub(crate) struct TrialGrants {
    grants_from: Timestamp,
    /// The trials that may still run; one of a service, since it may crash the server of another.
    running: FastMap<ServiceName, Grant>,
    unknown: FastMap<Fingerprint, UnknownEnds>,
}

impl TrialGrants {
    pub(crate) fn new(grants_from: Timestamp) -> Self {
        Self { grants_from, running: FastMap::default(), unknown: FastMap::default() }
    }

    /// Grants a trial, or returns when to ask again.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        holder: Holder,
        ask: &TrialAsk,
        records: &Records,
    ) -> TrialOutcome {
        self.settle(now, records);
        if now < self.grants_from {
            return TrialOutcome::Later(self.grants_from.since(now));
        }
        let Some(crashes) = records.quarantined(now, ask.fingerprint) else {
            return TrialOutcome::Later(BUSY_TIME);
        };
        if let Some(running) = self.running.get(&ask.service) {
            let is_same = running.holder == holder && running.number == ask.number;
            return if is_same { TrialOutcome::Granted } else { TrialOutcome::Later(BUSY_TIME) };
        }
        let unknown = self.unknown.get(&ask.fingerprint);
        let counted = unknown.map_or(crashes, |it| it.add_to(now, &crashes));
        let due_in = trial_due_in(&counted);
        if due_in > Millis(0) {
            return TrialOutcome::Later(due_in);
        }
        let grant = Grant {
            holder,
            number: ask.number,
            request: ask.fingerprint,
            until: now + TRIAL_TIME,
            late: crashes.late,
        };
        self.running.insert(ask.service.clone(), grant);
        TrialOutcome::Granted
    }

    /// Ends a trial that has crashed no server, or that was not begun.
    pub(crate) fn end(&mut self, holder: Holder, end: &TrialEnd) {
        self.running.retain(|_, it| it.holder != holder || it.number != end.number);
    }

    /// Ends trials that must be over, or whose crash or answer is on record.
    fn settle(&mut self, now: Timestamp, records: &Records) {
        let unknown = &mut self.unknown;
        self.running.retain(|_, grant| {
            let crashes = records.quarantined(now, grant.request);
            if crashes.is_none_or(|it| it.late > grant.late) {
                return false;
            }
            if now >= grant.until {
                let ends = unknown.entry(grant.request).or_default();
                *ends = UnknownEnds { count: ends.count + 1, last_at: grant.until };
            }
            now < grant.until
        });
        self.unknown.retain(|it, _| records.quarantined(now, *it).is_some());
    }
}
