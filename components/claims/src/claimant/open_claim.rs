//! The state of one open claim.

use std::collections::BTreeSet;

use ids::{AttemptNumber, Epoch, Fingerprint, HostId, Millis, Timestamp};
use schema::claims::{
    ClaimRequest, ClaimantId, ClaimsMessage, FinishRequest, ReleaseRequest, StoredAnswer,
};

use super::vote::Vote;
use crate::{ClaimKey, ShardNumber, answer::kept_bytes};

/// A claim, from its first message until its outcome is stored.
#[derive(Debug)]
pub(super) struct OpenClaim {
    pub(super) id: ClaimantId,
    pub(super) key: ClaimKey,
    pub(super) payload: Fingerprint,
    pub(super) shard: ShardNumber,
    pub(super) epoch: Epoch,
    pub(super) started_at: Timestamp,
    pub(super) round: AttemptNumber,
    pub(super) phase: Phase,
    /// When the claim's timer expires, if one is set.
    pub(super) due: Option<Timestamp>,
}

/// The phase of an open claim.
#[derive(Debug)]
pub(super) enum Phase {
    /// The replicas have been asked and their replies are being counted.
    Collecting(Collecting),
    /// The vote was split; the next round starts after the backoff.
    BackingOff,
    /// The key is granted; the request may be sent.
    Holding,
    /// The request was sent and its outcome is being stored.
    Finishing(Finishing),
}

/// State of a round.
#[derive(Debug)]
pub(super) struct Collecting {
    pub(super) vote: Vote,
    /// How often the replicas have been asked in this round.
    pub(super) tries: u32,
}

/// State of an outcome that is being stored at the replicas.
#[derive(Debug)]
pub(super) struct Finishing {
    pub(super) answer: StoredAnswer,
    pub(super) replicas: Vec<HostId>,
    /// The replicas that have acknowledged the outcome.
    pub(super) stored: BTreeSet<HostId>,
    pub(super) retry_delay: Millis,
    /// Remaining retries once a majority has stored the outcome.
    pub(super) retries_left: u32,
}

impl OpenClaim {
    pub(super) fn claim_message(&self) -> ClaimsMessage {
        ClaimsMessage::Claim(ClaimRequest {
            shard: self.shard.0,
            epoch: self.epoch,
            key: self.key.digest,
            age: self.key.age(),
            claimant: self.id.clone(),
            round: self.round,
            payload: self.payload,
        })
    }

    pub(super) fn release_message(&self) -> ClaimsMessage {
        ClaimsMessage::Release(ReleaseRequest {
            shard: self.shard.0,
            key: self.key.digest,
            claimant: self.id.clone(),
            round: self.round,
        })
    }

    pub(super) fn finish_message(&self, answer: &StoredAnswer) -> ClaimsMessage {
        ClaimsMessage::Finish(FinishRequest {
            shard: self.shard.0,
            key: self.key.digest,
            age: self.key.age(),
            claimant: self.id.clone(),
            payload: self.payload,
            answer: answer.clone(),
        })
    }

    /// Returns the size in bytes of the answer that is being stored; 0 if there is none.
    pub(super) fn pending_bytes(&self) -> usize {
        match &self.phase {
            Phase::Finishing(finishing) => kept_bytes(&finishing.answer),
            _ => 0,
        }
    }
}
