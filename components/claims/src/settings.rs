//! Limits, timeouts and intervals of the claim protocol.

use ids::{ByteSize, Millis};

/// The largest difference between two hosts' wall clocks at which they rely on each other's times.
pub const MAX_CLOCK_SKEW: Millis = Millis(10_000);

/// Settings of the claim replica and the claimant of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimsSettings {
    /// How long the record of a key is kept, counted from the issue of its ticket or, without a
    /// ticket, from its first claim.
    pub retention: Millis,
    /// Settings of the replica.
    pub replica: ReplicaSettings,
    /// Settings of the claimant.
    pub claimant: ClaimantSettings,
    /// Seed of the backoff's random jitter.
    pub seed: u64,
}

/// Settings of a claim replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Number of records at which new claims are refused.
    ///
    /// Records that come with a copy, a hand-over or an outcome are accepted up to twice this
    /// number. The total may double while two epochs of a shard are held, since a record can be in
    /// both.
    pub max_claims: usize,
    /// Maximum total size of the stored answers.
    pub max_answer_bytes: ByteSize,
    /// Maximum size of one stored answer.
    pub max_answer: ByteSize,
    /// How long a claim may be held before resends are answered that its outcome is unknown.
    pub hold_timeout: Millis,
    /// How long to wait for the next page of a copy, or the acknowledgement of one of a hand-over,
    /// before a retry.
    pub copy_retry_interval: Millis,
}

/// Settings of a claimant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimantSettings {
    /// Maximum number of open claims.
    pub max_open: usize,
    /// Maximum total size of the answers that are still being stored at replicas.
    pub max_pending_answer_bytes: ByteSize,
    /// How long to wait for replies before asking again, and the first delay between two attempts
    /// to store an outcome.
    pub retry_delay: Millis,
    /// Maximum delay between two attempts to store an outcome; the delay doubles with each.
    pub max_retry_delay: Millis,
    /// Maximum number of times that a replica is asked in one round.
    pub max_tries_per_round: u32,
    /// How long after its start a claim may still be granted.
    pub claim_timeout: Millis,
    /// Maximum number of rounds when several claimants compete for a key.
    pub max_rounds: u32,
    /// Upper bound of the random backoff after the first split vote; it doubles with each round.
    pub base_backoff: Millis,
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
            hold_timeout: Millis(600_000),
            copy_retry_interval: Millis(100),
        }
    }
}

impl Default for ClaimantSettings {
    fn default() -> Self {
        Self {
            max_open: 10_000,
            max_pending_answer_bytes: ByteSize(16 * 1024 * 1024),
            retry_delay: Millis(50),
            max_retry_delay: Millis(2_000),
            max_tries_per_round: 6,
            claim_timeout: Millis(5_000),
            max_rounds: 6,
            base_backoff: Millis(5),
        }
    }
}
