//! What servers still have to do beyond the work of as many average requests.

use ids::{FastMap, HostId, RequestId, Timestamp};

use crate::servers::ServerKey;

/// Work beyond the average, in milliseconds, when it was known; it is negative for small requests.
#[derive(Debug, Clone, Copy)]
struct Excess {
    millis: f64,
    at: Timestamp,
}

impl Excess {
    /// Returns what is left; it shrinks as the server works on it.
    fn left(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.at).0 as f64;
        self.millis.signum() * (self.millis.abs() - elapsed).max(0.0)
    }
}

/// The backlog of one server.
#[derive(Debug, Default)]
struct Backlog {
    own: Vec<(RequestId, Excess)>,
    peers: FastMap<HostId, Excess>,
}

impl Backlog {
    fn own(&self, now: Timestamp) -> f64 {
        self.own.iter().map(|(_, it)| it.left(now)).sum()
    }

    fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty()
    }
}

/// The backlogs of servers that work on requests which differ from the average.
#[derive(Debug, Default)]
pub(crate) struct Backlogs {
    servers: FastMap<ServerKey, Backlog>,
}

impl Backlogs {
    pub(super) fn add_own(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        request: RequestId,
        millis: f64,
    ) {
        let backlog = self.servers.entry(server).or_default();
        backlog.own.push((request, Excess { millis, at: now }));
    }

    /// Removes a request of this gateway; returns whether it was there.
    pub(super) fn remove_own(&mut self, server: ServerKey, request: RequestId) -> bool {
        let Some(backlog) = self.servers.get_mut(&server) else { return false };
        let Some(position) = backlog.own.iter().position(|(id, _)| *id == request) else {
            return false;
        };
        backlog.own.remove(position);
        if backlog.is_empty() {
            self.servers.remove(&server);
        }
        true
    }

    pub(super) fn set_peer(
        &mut self,
        now: Timestamp,
        from: HostId,
        server: ServerKey,
        millis: f64,
    ) {
        let backlog = self.servers.entry(server).or_default();
        match millis == 0.0 {
            true => backlog.peers.remove(&from),
            false => backlog.peers.insert(from, Excess { millis, at: now }),
        };
        if backlog.is_empty() {
            self.servers.remove(&server);
        }
    }

    pub(super) fn own(&self, now: Timestamp, server: ServerKey) -> f64 {
        self.servers.get(&server).map_or(0.0, |it| it.own(now))
    }

    pub(super) fn total(&self, now: Timestamp, server: ServerKey) -> f64 {
        let Some(backlog) = self.servers.get(&server) else { return 0.0 };
        backlog.own(now) + backlog.peers.values().map(|it| it.left(now)).sum::<f64>()
    }

    pub(super) fn forget_peer(&mut self, host: HostId) {
        for backlog in self.servers.values_mut() {
            backlog.peers.remove(&host);
        }
        self.servers.retain(|_, it| !it.is_empty());
    }

    pub(super) fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.servers.retain(|key, it| is_known(*key) || !it.own.is_empty());
    }
}
