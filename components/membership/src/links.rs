//! What this host hears from the hosts that it exchanges heartbeats with.

use std::collections::BTreeMap;

use ids::{HostId, Millis, Timestamp};

/// The exchange of heartbeats with one host.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// When the exchange began, or silence was last forgiven.
    pub(crate) since: Timestamp,
    /// When the host was last heard.
    pub(crate) heard: Option<Timestamp>,
    /// When the host last said that it hears this one.
    pub(crate) hears_us: Option<Timestamp>,
    /// When the host last asked for heartbeats.
    pub(crate) wanted: Option<Timestamp>,
    /// When a probe by way of another host was last answered.
    pub(crate) indirect: Option<Timestamp>,
    /// Since when indirect probes are out.
    pub(crate) probing: Option<Timestamp>,
    /// Since when the host's list differs from ours.
    pub(crate) differs: Option<Timestamp>,
    /// When a heartbeat was last sent.
    pub(crate) sent: Option<Timestamp>,
    /// When indirect probes were last sent.
    pub(crate) probed: Option<Timestamp>,
}

impl Link {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            heard: None,
            hears_us: None,
            wanted: None,
            indirect: None,
            probing: None,
            differs: None,
            sent: None,
            probed: None,
        }
    }

    /// Whether both directions worked within `silence`, or the link is that young.
    pub(crate) fn is_two_way(&self, now: Timestamp, silence: Millis) -> bool {
        let recent =
            |at: Option<Timestamp>| now.since(at.unwrap_or(self.since).max(self.since)) <= silence;
        recent(self.heard) && recent(self.hears_us)
    }

    /// Whether both directions are known to have worked within `silence`.
    pub(crate) fn is_proven(&self, now: Timestamp, silence: Millis) -> bool {
        let recent = |at: Option<Timestamp>| at.is_some_and(|it| now.since(it) <= silence);
        recent(self.heard) && recent(self.hears_us)
    }

    /// Whether an indirect probe was answered within `limit`.
    pub(crate) fn is_heard_indirectly(&self, now: Timestamp, limit: Millis) -> bool {
        self.indirect.is_some_and(|it| now.since(it) <= limit)
    }
}

/// All links by host.
pub(crate) type Links = BTreeMap<HostId, Link>;
