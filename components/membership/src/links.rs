//! The links over which this host exchanges heartbeats with other hosts.

use std::collections::BTreeMap;

use ids::{HostId, Millis, Timestamp};

/// The state of the heartbeat exchange with one host.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// When the exchange began, or when failure detection last restarted.
    pub(crate) monitored_since: Timestamp,
    /// When a message of the host last arrived.
    pub(crate) last_received: Option<Timestamp>,
    /// When the host last confirmed that it receives this host's messages; `None` after a denial.
    pub(crate) last_acknowledged: Option<Timestamp>,
    /// When the host last asked for heartbeats.
    pub(crate) last_requested: Option<Timestamp>,
    /// When a probe through a helper was last answered.
    pub(crate) last_indirect_answer: Option<Timestamp>,
    /// When the current series of probes began.
    pub(crate) probing_since: Option<Timestamp>,
    /// Since when the host's table digest differs from the own one.
    pub(crate) table_differs_since: Option<Timestamp>,
    /// When a heartbeat was last sent.
    pub(crate) last_heartbeat_sent: Option<Timestamp>,
    /// When direct and indirect probes were last sent.
    pub(crate) last_probe_sent: Option<Timestamp>,
}

impl Link {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            monitored_since: now,
            last_received: None,
            last_acknowledged: None,
            last_requested: None,
            last_indirect_answer: None,
            probing_since: None,
            table_differs_since: None,
            last_heartbeat_sent: None,
            last_probe_sent: None,
        }
    }

    /// Returns whether both directions worked within `timeout`.
    ///
    /// A link that has been monitored for no longer than `timeout` counts as working.
    pub(crate) fn is_two_way(&self, now: Timestamp, timeout: Millis) -> bool {
        let recent = |at: Option<Timestamp>| {
            now.since(at.unwrap_or(self.monitored_since).max(self.monitored_since)) <= timeout
        };
        recent(self.last_received) && recent(self.last_acknowledged)
    }

    /// Returns whether both directions are known to have worked within `timeout`.
    pub(crate) fn is_confirmed(&self, now: Timestamp, timeout: Millis) -> bool {
        let recent = |at: Option<Timestamp>| at.is_some_and(|it| now.since(it) <= timeout);
        recent(self.last_received) && recent(self.last_acknowledged)
    }

    /// Returns whether an indirect probe was answered within `timeout`.
    pub(crate) fn has_indirect_answer(&self, now: Timestamp, timeout: Millis) -> bool {
        self.last_indirect_answer.is_some_and(|it| now.since(it) <= timeout)
    }
}

/// The links of this host by peer.
pub(crate) type Links = BTreeMap<HostId, Link>;
