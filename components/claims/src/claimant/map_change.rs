//! Migration of open claims to a new claim map.

use ids::{RequestId, Timestamp};

use super::{Claimant, Decision, open_claim::Phase, release_at_replicas};
use crate::{ClaimAction, ClaimMap};

impl Claimant {
    /// Moves the open claims from the `old` map to the new one.
    pub(crate) fn set_map(
        &mut self,
        now: Timestamp,
        old: &ClaimMap,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let requests: Vec<_> = self.open.keys().copied().collect();
        let mut actions = Vec::new();
        for request in requests {
            actions.extend(self.move_claim(now, request, old, map));
        }
        actions
    }

    /// Moves one claim to its shard's new epoch.
    ///
    /// A claim without a grant starts a new round. One whose key is older than a reopened shard is
    /// closed, unless it is granted and its request may be running.
    fn move_claim(
        &mut self,
        now: Timestamp,
        request: RequestId,
        old: &ClaimMap,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let Some(shard) = map.shard(claim.shard) else { return Vec::new() };
        if shard.epoch == claim.epoch {
            return Vec::new();
        }
        let is_closed = claim.key.ticket.as_ref().is_some_and(|it| it.epoch < shard.opened);
        let mut actions = Vec::new();
        match &mut claim.phase {
            Phase::Holding => {
                claim.epoch = shard.epoch;
                return actions;
            }
            Phase::Finishing(_) if is_closed => {
                self.close(request);
                return actions;
            }
            Phase::Finishing(finishing) => {
                finishing.stored.clear();
                claim.epoch = shard.epoch;
                return self.send_outcome(now, request, map);
            }
            Phase::Collecting(_) => actions = release_at_replicas(claim, old),
            Phase::BackingOff => {}
        }
        if is_closed {
            self.close(request);
            actions.push(ClaimAction::Decided { request, decision: Decision::Unknown });
            return actions;
        }
        claim.epoch = shard.epoch;
        claim.round = claim.round.next();
        actions.extend(self.start_round(now, request, map));
        actions
    }
}
