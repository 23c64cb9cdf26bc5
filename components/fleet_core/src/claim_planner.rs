//! Decides when the claim map has to change.

use claims::{ClaimHost, ClaimMap};
use ids::{Millis, Timestamp};
use schema::claims::ClaimMapState;

/// How long the set of live entry hosts must stay the same before the map follows it.
const STABLE: Millis = Millis(3_000);

/// How long a proposed map may take before it is proposed again.
const RETRY: Millis = Millis(2_000);

/// Plans claim maps on the control host that leads.
#[derive(Debug, Default)]
pub struct ClaimPlanner {
    hosts: Vec<ClaimHost>,
    changed_at: Timestamp,
    proposed_at: Option<Timestamp>,
}

impl ClaimPlanner {
    /// Returns the map that should replace `current`, if it should be replaced now.
    pub fn plan(
        &mut self,
        now: Timestamp,
        hosts: Vec<ClaimHost>,
        current: &ClaimMap,
    ) -> Option<ClaimMapState> {
        if hosts != self.hosts {
            self.hosts = hosts;
            self.changed_at = now;
        }
        if self.hosts.is_empty() || now.since(self.changed_at) < STABLE {
            return None;
        }
        if self.proposed_at.is_some_and(|it| now.since(it) < RETRY) {
            return None;
        }
        let next = ClaimMap::build(current.epoch().next(), &self.hosts, Some(current));
        if next.state().shards == current.state().shards {
            return None;
        }
        self.proposed_at = Some(now);
        Some(next.state().clone())
    }
}
