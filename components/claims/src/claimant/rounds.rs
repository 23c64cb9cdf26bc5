//! The rounds in which a claimant asks the replicas for a key.

use ids::{RequestId, Timestamp};
use rand_xoshiro::rand_core::RngCore;

use super::{
    Claimant, Decision,
    decision::decision,
    open_claim::{Collecting, Phase},
    release_at_replicas, send_all,
    vote::{RoundResult, Vote},
};
use crate::{ClaimAction, ClaimMap, map::replica_hosts};

impl Claimant {
    /// Starts a round by asking all replicas.
    pub(super) fn start_round(
        &mut self,
        now: Timestamp,
        request: RequestId,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let replicas = map.shard(claim.shard).map(replica_hosts).unwrap_or_default();
        claim.phase = Phase::Collecting(Collecting { vote: Vote::new(replicas.clone()), tries: 1 });
        let message = claim.claim_message();
        self.set_timer(request, now + self.settings.retry_delay);
        send_all(replicas, &message)
    }

    /// Acts on the result of a round.
    pub(super) fn handle_result(
        &mut self,
        now: Timestamp,
        request: RequestId,
        result: RoundResult,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        match result {
            RoundResult::Pending => Vec::new(),
            RoundResult::Granted => self.accept_grant(request),
            RoundResult::Split if self.has_rounds_left(request) => self.back_off(now, request, map),
            result => self.close_ungranted(request, result, map),
        }
    }

    /// Marks the claim as held and reports the grant.
    pub(super) fn accept_grant(&mut self, request: RequestId) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        claim.phase = Phase::Holding;
        self.clear_timer(request);
        vec![ClaimAction::Decided { request, decision: Decision::Granted }]
    }

    fn has_rounds_left(&self, request: RequestId) -> bool {
        let round = self.open.get(&request).map_or(0, |it| it.round.0);
        round + 1 < self.settings.max_rounds
    }

    /// Releases the grants of a split vote and schedules the next round after a random backoff.
    pub(super) fn back_off(
        &mut self,
        now: Timestamp,
        request: RequestId,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let random = self.rng.next_u64();
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let actions = release_at_replicas(claim, map);
        let max_micros = (self.settings.base_backoff.0 * 1000) << claim.round.0.min(16);
        claim.round = claim.round.next();
        claim.phase = Phase::BackingOff;
        self.set_timer(request, Timestamp(now.0 + 1 + random % max_micros.max(1)));
        actions
    }

    /// Releases and closes a claim that was not granted, and reports the decision.
    pub(super) fn close_ungranted(
        &mut self,
        request: RequestId,
        result: RoundResult,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get(&request) else { return Vec::new() };
        let mut actions = release_at_replicas(claim, map);
        let decision = decision(result, claim.payload);
        self.close(request);
        actions.push(ClaimAction::Decided { request, decision });
        actions
    }
}
