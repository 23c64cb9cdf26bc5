//! Verdicts in force on one backend server, as known to this host.

use std::collections::BTreeMap;

use ids::{HostId, Incarnation, Millis, Timestamp};
use schema::health::{EvidenceSummary, Verdict, VerdictStage};

use crate::types::WatcherVerdict;

/// Time after which a verdict expires unless it is renewed.
pub(crate) const VERDICT_LIFETIME: Millis = Millis(15_000);

/// Watchers that must agree on a stage; all of them if fewer watch.
const VERDICT_QUORUM: usize = 2;

/// Orders the verdicts of one watcher, also across its restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct VerdictOrder {
    watcher_incarnation: Incarnation,
    sequence: u64,
}

#[derive(Debug, Clone)]
struct HeldVerdict {
    order: VerdictOrder,
    verdict: Verdict,
    expires_at: Timestamp,
}

/// Newest verdict of each watcher.
#[derive(Debug, Clone, Default)]
pub(crate) struct VerdictTable {
    by_watcher: BTreeMap<HostId, HeldVerdict>,
}

impl VerdictTable {
    /// Stores a verdict unless one of the same watcher is as new or newer; returns whether it was
    /// stored.
    pub(crate) fn accept(
        &mut self,
        now: Timestamp,
        watcher: HostId,
        watcher_incarnation: Incarnation,
        verdict: &Verdict,
    ) -> bool {
        let order = VerdictOrder { watcher_incarnation, sequence: verdict.sequence };
        if self.by_watcher.get(&watcher).is_some_and(|it| it.order >= order) {
            return false;
        }
        let expires_at = now + VERDICT_LIFETIME;
        self.by_watcher
            .insert(watcher, HeldVerdict { order, verdict: verdict.clone(), expires_at });
        true
    }

    /// Removes expired verdicts; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.by_watcher.len();
        self.by_watcher.retain(|_, it| it.expires_at > now);
        self.by_watcher.len() != before
    }

    /// Returns whether no verdict is in force.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_watcher.is_empty()
    }

    /// Returns the strictest stage that a quorum of `watchers` agrees on for `incarnation`.
    pub(crate) fn agreed_stage(&self, incarnation: Incarnation, watchers: usize) -> VerdictStage {
        let quorum = VERDICT_QUORUM.min(watchers.max(1));
        let at_least =
            |stage| self.for_incarnation(incarnation).filter(|it| it.stage >= stage).count();
        if at_least(VerdictStage::Ejected) >= quorum {
            return VerdictStage::Ejected;
        }
        if at_least(VerdictStage::Probation) >= quorum {
            return VerdictStage::Probation;
        }
        VerdictStage::Cleared
    }

    /// Returns the strongest evidence among the verdicts on `incarnation`.
    pub(crate) fn strongest_evidence(&self, incarnation: Incarnation) -> Option<EvidenceSummary> {
        let strongest = self.for_incarnation(incarnation).max_by_key(|it| it.evidence.milli_nats);
        strongest.map(|it| it.evidence.clone())
    }

    /// Returns the verdicts of all watchers, for operators.
    pub(crate) fn report(&self) -> Vec<WatcherVerdict> {
        self.by_watcher
            .iter()
            .map(|(watcher, it)| WatcherVerdict {
                watcher: *watcher,
                stage: it.verdict.stage,
                evidence: it.verdict.evidence.clone(),
            })
            .collect()
    }

    fn for_incarnation(&self, incarnation: Incarnation) -> impl Iterator<Item = &Verdict> {
        self.by_watcher
            .values()
            .map(|it| &it.verdict)
            .filter(move |it| it.incarnation == incarnation)
    }
}
