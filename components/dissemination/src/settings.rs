//! Settings of the dissemination component.

use ids::{HostId, Millis};

/// The identity of this host, and its intervals and timeouts.
#[derive(Debug, Clone)]
pub struct DisseminationSettings {
    /// The id of this host.
    pub host: HostId,
    /// Seed of the random generator.
    pub seed: u64,
    /// Interval between summaries to the links, which take turns.
    pub summary_interval: Millis,
    /// Interval between summaries to a random host of the fleet.
    pub remote_summary_interval: Millis,
    /// Time that a source has to answer a request before the next source is asked.
    pub pull_timeout: Millis,
    /// Interval at which a starting host asks other hosts for their versions.
    pub recovery_request_interval: Millis,
    /// Time after which a starting host accepts answers of a majority of its links in place of one
    /// from a control host.
    pub recovery_majority_delay: Millis,
    /// Time after which a starting host accepts any answer.
    pub recovery_any_delay: Millis,
    /// Interval between batches of acknowledgements.
    pub acknowledge_interval: Millis,
    /// Interval at which acknowledgements are repeated.
    pub acknowledge_repeat_interval: Millis,
    /// Interval between batches of renewals.
    pub renewal_interval: Millis,
    /// Time beyond the lifetime of an announcement before the server is marked stale.
    pub renewal_grace: Millis,
    /// Time that a stale or stopped server is kept.
    pub server_retention: Millis,
}

impl DisseminationSettings {
    /// Returns the default settings of a host.
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            seed,
            summary_interval: Millis(1_000),
            remote_summary_interval: Millis(5_000),
            pull_timeout: Millis(500),
            recovery_request_interval: Millis(500),
            recovery_majority_delay: Millis(2_000),
            recovery_any_delay: Millis(15_000),
            acknowledge_interval: Millis(250),
            acknowledge_repeat_interval: Millis(5_000),
            renewal_interval: Millis(500),
            renewal_grace: Millis(1_000),
            server_retention: Millis(1_800_000),
        }
    }
}
