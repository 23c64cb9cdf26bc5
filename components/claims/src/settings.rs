//! Sizes and times of the claim protocol.

use ids::{ByteSize, Millis};

/// How far the wall clocks of two hosts may differ before they stop trusting each other's times.
pub const MAX_CLOCK_SKEW: Millis = Millis(10_000);

/// Settings of one process's part in the claim protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimsSettings {
    /// How long a key is remembered after its mint or, without a ticket, after its first claim.
    pub retention: Millis,
    /// Settings of the replica.
    pub replica: ReplicaSettings,
    /// Settings of the claimant.
    pub claimant: ClaimantSettings,
    /// Seed of the random backoff.
    pub seed: u64,
}

/// Settings of a claim replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// The most claims that are granted at once.
    ///
    /// Records that other replicas hold already are taken in up to twice this number, which
    /// doubles for as long as two epochs of a shard are held.
    pub max_claims: usize,
    /// The most bytes of stored answers.
    pub max_answer_bytes: ByteSize,
    /// The largest single answer that is stored.
    pub max_answer: ByteSize,
    /// How long a claim may be held before resends are told that its outcome is unknown.
    pub hold_limit: Millis,
    /// How long to wait for a page of a copy or hand-over before asking again.
    pub copy_retry: Millis,
}

/// Settings of a claimant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimantSettings {
    /// The most claims that are open at once.
    pub max_open: usize,
    /// The most bytes of answers that wait to be stored.
    pub max_pending_answer_bytes: ByteSize,
    /// How long to wait for replies before asking again.
    pub retry: Millis,
    /// The longest pause between two tries to store an outcome.
    pub max_retry: Millis,
    /// How often the replicas are asked in one round.
    pub max_tries: u32,
    /// How long after its begin a claim may still be granted.
    pub claim_limit: Millis,
    /// How many rounds are tried when claims of one key compete.
    pub max_rounds: u32,
    /// The longest first pause after a split vote; it doubles with each round.
    pub backoff: Millis,
}

impl Default for ClaimsSettings {
    fn default() -> Self {
        Self {
            retention: Millis(3_600_000),
            replica: ReplicaSettings::default(),
            claimant: ClaimantSettings::default(),
            seed: 0,
        }
    }
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            max_claims: 100_000,
            max_answer_bytes: ByteSize(32 * 1024 * 1024),
            max_answer: ByteSize(64 * 1024),
            hold_limit: Millis(600_000),
            copy_retry: Millis(100),
        }
    }
}

impl Default for ClaimantSettings {
    fn default() -> Self {
        Self {
            max_open: 10_000,
            max_pending_answer_bytes: ByteSize(16 * 1024 * 1024),
            retry: Millis(50),
            max_retry: Millis(2_000),
            max_tries: 6,
            claim_limit: Millis(5_000),
            max_rounds: 6,
            backoff: Millis(5),
        }
    }
}
