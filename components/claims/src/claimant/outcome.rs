//! Storing the outcomes of requests at the replicas.

use std::collections::BTreeSet;

use ids::{HostId, Millis, RequestId, Timestamp};
use schema::claims::{FinishAck, StoredAnswer};

use super::{
    Claimant,
    open_claim::{Finishing, Phase},
    send_all,
};
use crate::{
    ClaimAction, ClaimMap,
    answer::{bounded_answer, kept_bytes},
    map::{quorum, replica_hosts},
};

/// How often the remaining replicas are asked again once a majority has stored an outcome.
const RETRIES_AFTER_MAJORITY: u32 = 3;

impl Claimant {
    /// Starts to store the outcome of a request that was sent under its claim.
    ///
    /// The answer's content is dropped if it is too large or exceeds the limit of pending answers.
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        request: RequestId,
        answer: StoredAnswer,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        if !matches!(claim.phase, Phase::Holding) {
            return Vec::new();
        }
        let answer = bounded_answer(answer, self.max_answer);
        let limit = usize::try_from(self.settings.max_pending_answer_bytes.0).unwrap_or(usize::MAX);
        let fits = self.pending_bytes + kept_bytes(&answer) <= limit;
        let answer = match answer {
            StoredAnswer::Kept(_) if !fits => StoredAnswer::NotKept,
            answer => answer,
        };
        self.pending_bytes += kept_bytes(&answer);
        claim.phase = Phase::Finishing(Finishing {
            answer,
            replicas: Vec::new(),
            stored: BTreeSet::new(),
            retry_delay: self.settings.retry_delay,
            retries_left: RETRIES_AFTER_MAJORITY,
        });
        self.send_outcome(now, request, map)
    }

    /// Handles a replica's acknowledgement of an outcome; closes the claim after the last one.
    pub(crate) fn handle_finish_ack(&mut self, from: HostId, ack: FinishAck) {
        let Some(claim) = self.open.get_mut(&ack.request) else { return };
        if claim.key.digest != ack.key || claim.epoch != ack.epoch {
            return;
        }
        let Phase::Finishing(finishing) = &mut claim.phase else { return };
        finishing.stored.insert(from);
        if finishing.replicas.iter().all(|it| finishing.stored.contains(it)) {
            self.close(ack.request);
        }
    }

    /// Sends the outcome to the replicas that have not acknowledged it, with exponential backoff.
    pub(super) fn send_outcome(
        &mut self,
        now: Timestamp,
        request: RequestId,
        map: &ClaimMap,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.open.get_mut(&request) else { return Vec::new() };
        let replicas = map.shard(claim.shard).map(replica_hosts).unwrap_or_default();
        let Phase::Finishing(finishing) = &mut claim.phase else { return Vec::new() };
        let stored = replicas.iter().filter(|it| finishing.stored.contains(it)).count();
        if stored >= quorum(replicas.len()) {
            if finishing.retries_left == 0 {
                self.close(request);
                return Vec::new();
            }
            finishing.retries_left -= 1;
        }
        let missing =
            replicas.iter().copied().filter(|it| !finishing.stored.contains(it)).collect();
        finishing.replicas = replicas;
        let due = now + finishing.retry_delay;
        finishing.retry_delay =
            Millis((finishing.retry_delay.0 * 2).min(self.settings.max_retry_delay.0));
        let Phase::Finishing(finishing) = &claim.phase else { return Vec::new() };
        let message = claim.finish_message(&finishing.answer);
        self.set_timer(request, due);
        send_all(missing, &message)
    }
}
