//! Distinguishes servers that drop connections from requests that crash servers.

use std::collections::VecDeque;

use ids::{FastMap, Fingerprint, Millis, ServerId, Timestamp};

/// Time during which a lost connection counts.
const WINDOW: Millis = Millis(10_000);

/// Number of distinct requests that must lose their connection to one server within [`WINDOW`]
/// before the server is the likely cause.
///
/// A few are no proof, because one request that crashes a server also breaks the connections of the
/// other requests in the server's slots.
const MIN_DISTINCT_REQUESTS: usize = 5;

/// Recently lost connections, by server.
#[derive(Debug, Default)]
pub struct LostConnections {
    by_server: FastMap<ServerId, VecDeque<LostConnection>>,
}

#[derive(Debug)]
struct LostConnection {
    at: Timestamp,
    request: Fingerprint,
}

impl LostConnections {
    /// Records a connection that was lost while the server ran a request, and returns whether the
    /// server is the likely cause.
    pub fn record(&mut self, now: Timestamp, server: &ServerId, request: Fingerprint) -> bool {
        let lost = self.by_server.entry(server.clone()).or_default();
        lost.retain(|it| it.request != request && now.since(it.at) < WINDOW);
        lost.push_back(LostConnection { at: now, request });
        if lost.len() > MIN_DISTINCT_REQUESTS {
            lost.pop_front();
        }
        lost.len() >= MIN_DISTINCT_REQUESTS
    }

    /// Drops the records of a removed server.
    pub fn remove_server(&mut self, server: &ServerId) {
        self.by_server.remove(server);
    }
}
