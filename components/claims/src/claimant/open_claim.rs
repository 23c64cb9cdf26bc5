//! A claim that an entry host process has open.

use std::collections::BTreeSet;

use ids::{AttemptNumber, Epoch, Fingerprint, HostId, Millis, Timestamp};
use schema::claims::{
    ClaimRequest, ClaimantId, ClaimsMessage, FinishRequest, ReleaseRequest, StoredAnswer,
};

use super::vote::Vote;
use crate::{ClaimKey, ShardNumber, answer::kept_bytes};

/// A claim from its first message until its outcome is stored.
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
    /// When the claim has to be looked at next.
    pub(super) due: Option<Timestamp>,
}

/// How far a claim has come.
#[derive(Debug)]
pub(super) enum Phase {
    /// The replicas have been asked.
    Collecting(Collecting),
    /// Claims of the key competed; another round follows.
    BackingOff,
    /// The key is granted; the request may be sent.
    Holding,
    /// The request was sent and its outcome is being stored.
    Finishing(Finishing),
}

/// A round of replies.
#[derive(Debug)]
pub(super) struct Collecting {
    pub(super) vote: Vote,
    pub(super) tries: u32,
}

/// An outcome on its way to the replicas.
#[derive(Debug)]
pub(super) struct Finishing {
    pub(super) answer: StoredAnswer,
    pub(super) replicas: Vec<HostId>,
    pub(super) stored: BTreeSet<HostId>,
    pub(super) retry_delay: Millis,
    /// How often the replicas beyond a majority are still asked.
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

    /// The bytes of an answer that waits to be stored.
    pub(super) fn pending_bytes(&self) -> usize {
        match &self.phase {
            Phase::Finishing(finishing) => kept_bytes(&finishing.answer),
            _ => 0,
        }
    }
}
