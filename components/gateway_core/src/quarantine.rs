//! Requests that crash the servers that run them.
//!
//! Load pattern: a caller sends the same request again and again, each run takes a server down for
//! seconds, and retries would spread the crash over the service.

use std::collections::VecDeque;

use ids::{FastMap, Fingerprint, Millis, Timestamp};

use crate::servers::ServerKey;

/// Different servers that must lose the same request before it is refused.
const MIN_LOST_SERVERS: usize = 3;

/// Age at which a loss no longer counts, in milliseconds; a crashed server is back after seconds,
/// and its caller comes again after tens of them.
const MEMORY: Millis = Millis(120_000);

/// Fingerprints remembered at most; the oldest go first.
const MAX_FINGERPRINTS: usize = 1_024;

/// The requests that lost their servers lately.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    lost: FastMap<Fingerprint, Vec<(ServerKey, Timestamp)>>,
    order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Notes that a server gave no whole answer; returns the number of servers if that makes the
    /// request one to be refused.
    pub(crate) fn note_lost(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        server: ServerKey,
    ) -> Option<usize> {
        if !self.lost.contains_key(&request) {
            self.order.push_back(request);
            if self.order.len() > MAX_FINGERPRINTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.lost.remove(&oldest);
            }
        }
        let losses = self.lost.entry(request).or_default();
        losses.retain(|(_, at)| now.since(*at) < MEMORY);
        let before = losses.len();
        losses.retain(|(it, _)| it.address != server.address);
        losses.push((server, now));
        (before < MIN_LOST_SERVERS && losses.len() >= MIN_LOST_SERVERS).then_some(losses.len())
    }

    /// An answered request does not crash its servers.
    pub(crate) fn note_answered(&mut self, request: Fingerprint) {
        if self.lost.remove(&request).is_some() {
            self.order.retain(|it| *it != request);
        }
    }

    /// Servers that lost the request lately.
    pub(crate) fn lost_servers(&self, now: Timestamp, request: Fingerprint) -> usize {
        let losses = self.lost.get(&request);
        losses.map_or(0, |it| it.iter().filter(|(_, at)| now.since(*at) < MEMORY).count())
    }

    /// Whether the request is refused.
    pub(crate) fn holds(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.lost_servers(now, request) >= MIN_LOST_SERVERS
    }
}
