//! Requests that crash the servers that run them.
//!
//! Load pattern: a caller sends the same request again and again, each run takes a server down for
//! seconds, and retries would spread the crash over the service.

use std::collections::VecDeque;

use ids::{FastMap, Fingerprint, Millis, Timestamp};

use crate::servers::ServerKey;

/// Different servers that must lose the same request before it is refused.
const LOSS_THRESHOLD: usize = 3;

/// Age at which a loss no longer counts, in milliseconds; a crashed server is back after seconds,
/// and its caller comes again after tens of them.
const LOSS_EXPIRY: Millis = Millis(120_000);

/// Fingerprints remembered at most; the oldest go first.
const MAX_FINGERPRINTS: usize = 1_024;

/// The requests that lost their servers lately.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    losses: FastMap<Fingerprint, Vec<(ServerKey, Timestamp)>>,
    insertion_order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Notes that a server gave no whole answer; returns the number of servers if that makes the
    /// request one to be refused.
    pub(crate) fn record_loss(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        server: ServerKey,
    ) -> Option<usize> {
        if !self.losses.contains_key(&request) {
            self.insertion_order.push_back(request);
            if self.insertion_order.len() > MAX_FINGERPRINTS
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.losses.remove(&oldest);
            }
        }
        let servers = self.losses.entry(request).or_default();
        servers.retain(|(_, at)| now.since(*at) < LOSS_EXPIRY);
        let before = servers.len();
        servers.retain(|(it, _)| it.address != server.address);
        servers.push((server, now));
        (before < LOSS_THRESHOLD && servers.len() >= LOSS_THRESHOLD).then_some(servers.len())
    }

    /// An answered request does not crash its servers.
    pub(crate) fn clear(&mut self, request: Fingerprint) {
        if self.losses.remove(&request).is_some() {
            self.insertion_order.retain(|it| *it != request);
        }
    }

    /// Servers that lost the request lately.
    pub(crate) fn recent_losses(&self, now: Timestamp, request: Fingerprint) -> usize {
        let servers = self.losses.get(&request);
        servers.map_or(0, |it| it.iter().filter(|(_, at)| now.since(*at) < LOSS_EXPIRY).count())
    }

    /// Whether the request is refused.
    pub(crate) fn is_quarantined(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.recent_losses(now, request) >= LOSS_THRESHOLD
    }
}
