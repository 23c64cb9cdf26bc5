//! Settings of the dissemination component.

use ids::{HostId, Millis};

/// Who this host is, and how often it compares itself with others.
#[derive(Debug, Clone)]
pub struct DisseminationSettings {
    /// The host itself.
    pub host: HostId,
    /// Seed of the random choices.
    pub seed: u64,
    /// Between two summaries to a linked host.
    pub summary: Millis,
    /// Between two summaries to a host chosen from the whole fleet.
    pub remote_summary: Millis,
    /// Time that a host gets to send what it was asked for.
    pub pull_timeout: Millis,
    /// Between two questions of a host that has just started.
    pub recovery_question: Millis,
    /// How long a starting host waits for control before the answers of other hosts will do.
    pub recovery_wait: Millis,
    /// How long a starting host waits for most of its links before any answer will do.
    pub recovery_limit: Millis,
    /// Between two batches of acknowledgements.
    pub acknowledge: Millis,
    /// Between two repetitions of an acknowledgement.
    pub acknowledge_again: Millis,
    /// Between two batches of renewals.
    pub renewals: Millis,
    /// How much later than its lifetime a renewal may be before the server is marked stale.
    pub renewal_grace: Millis,
    /// How long a stale or stopped server is kept.
    pub forget_server: Millis,
}

impl DisseminationSettings {
    /// The usual settings of a host.
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            seed,
            summary: Millis(1_000),
            remote_summary: Millis(5_000),
            pull_timeout: Millis(500),
            recovery_question: Millis(500),
            recovery_wait: Millis(2_000),
            recovery_limit: Millis(15_000),
            acknowledge: Millis(250),
            acknowledge_again: Millis(5_000),
            renewals: Millis(500),
            renewal_grace: Millis(1_000),
            forget_server: Millis(1_800_000),
        }
    }
}
