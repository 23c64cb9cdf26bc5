//! Tells servers that break connections from requests that crash servers.

use std::collections::VecDeque;

use ids::{FastMap, Fingerprint, Millis, ServerId, Timestamp};

/// How long a lost connection counts.
const WINDOW: Millis = Millis(10_000);

/// Different requests that lose their connections to one server in the window before the server
/// itself is the likely cause; a crash takes the requests in the server's slots with it.
const DIFFERENT_REQUESTS: usize = 5;

/// The connections that were lost lately, by server.
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
    /// Notes that a connection was lost while the server ran a request; returns whether the server
    /// is the likely cause.
    pub fn note(&mut self, now: Timestamp, server: &ServerId, request: Fingerprint) -> bool {
        let lost = self.by_server.entry(server.clone()).or_default();
        lost.retain(|it| it.request != request && now.since(it.at) < WINDOW);
        lost.push_back(LostConnection { at: now, request });
        if lost.len() > DIFFERENT_REQUESTS {
            lost.pop_front();
        }
        lost.len() >= DIFFERENT_REQUESTS
    }

    /// Forgets a server that has left.
    pub fn forget(&mut self, server: &ServerId) {
        self.by_server.remove(server);
    }
}
