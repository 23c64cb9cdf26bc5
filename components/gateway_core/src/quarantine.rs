//! Quarantine of requests that crash the servers that execute them.
//!
//! Load pattern: a caller keeps sending the same request, each execution takes down a server for
//! seconds, and retries would spread the crash over the service.

use std::collections::VecDeque;

use ids::{FastMap, Fingerprint, Millis, Timestamp};

use crate::servers::ServerKey;

/// Number of distinct servers that must lose a request before it is refused.
const LOSS_THRESHOLD: usize = 3;

/// Age at which a loss expires, in milliseconds. A crashed server is back after seconds, and the
/// caller sends the request again after tens of seconds.
const LOSS_EXPIRY: Millis = Millis(120_000);

/// Maximum number of fingerprints remembered; the oldest are evicted first.
const MAX_FINGERPRINTS: usize = 1_024;

/// Requests that were recently lost, with the servers that lost them.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    losses: FastMap<Fingerprint, Vec<(ServerKey, Timestamp)>>,
    insertion_order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Records that a server gave no complete response. Returns the number of servers if this loss
    /// puts the request into quarantine.
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

    /// Forgets the losses of a request that was answered.
    pub(crate) fn clear(&mut self, request: Fingerprint) {
        if self.losses.remove(&request).is_some() {
            self.insertion_order.retain(|it| *it != request);
        }
    }

    /// Returns the number of servers that recently lost the request.
    pub(crate) fn recent_losses(&self, now: Timestamp, request: Fingerprint) -> usize {
        let servers = self.losses.get(&request);
        servers.map_or(0, |it| it.iter().filter(|(_, at)| now.since(*at) < LOSS_EXPIRY).count())
    }

    /// Returns whether the request must be refused.
    pub(crate) fn is_quarantined(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.recent_losses(now, request) >= LOSS_THRESHOLD
    }
}
