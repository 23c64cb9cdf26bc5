//! Losses of which it is not known yet whether the server crashed or only its answer was lost.

use ids::{FastMap, Fingerprint, Millis, ServerKey, Timestamp};

/// Age at which a loss is dropped, in milliseconds: a crashed server is back after seconds and has
/// announced itself by then.
const LIFETIME: Millis = Millis(15_000);

/// Maximum number of undecided losses; the oldest are dropped first.
const MAX_LOSSES: usize = 1_024;

/// Who observed a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observer {
    /// This gateway.
    Own,
    /// Another gateway, which decides it as well.
    Other,
}

/// A request that a start of a server has not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Loss {
    pub(crate) request: Fingerprint,
    pub(crate) at: Timestamp,
    pub(crate) observer: Observer,
}

/// The undecided losses of one start of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerLosses {
    pub(crate) losses: Vec<Loss>,
    /// Number of connections that were opened to decide them.
    pub(crate) probes: u32,
}

/// The undecided losses by start.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    by_server: FastMap<ServerKey, ServerLosses>,
    len: usize,
}

impl Losses {
    pub(crate) fn record(&mut self, now: Timestamp, server: ServerKey, loss: Loss) {
        if self.len >= MAX_LOSSES {
            self.prune(now);
        }
        if self.len >= MAX_LOSSES {
            self.remove_oldest();
        }
        let known = &mut self.by_server.entry(server).or_default().losses;
        match known.iter_mut().find(|it| it.request == loss.request) {
            // The observer reports it to itself as well as to others.
            Some(known) if loss.observer == Observer::Own => *known = loss,
            Some(_) => {}
            None => {
                known.push(loss);
                self.len += 1;
            }
        }
    }

    /// Drops the losses that are older than what a server has responded to.
    pub(crate) fn drop_before(&mut self, server: ServerKey, sent_at: Timestamp) -> Vec<Loss> {
        let Some(known) = self.by_server.get_mut(&server) else { return Vec::new() };
        let (dropped, kept) = known.losses.iter().partition(|it| it.at <= sent_at);
        known.losses = kept;
        if known.losses.is_empty() {
            self.by_server.remove(&server);
        }
        self.len -= Vec::len(&dropped);
        dropped
    }

    /// Takes all losses of a start.
    pub(crate) fn take(&mut self, server: ServerKey) -> Vec<Loss> {
        let losses = self.by_server.remove(&server).map_or_else(Vec::new, |it| it.losses);
        self.len -= losses.len();
        losses
    }

    pub(crate) fn get_mut(&mut self, server: ServerKey) -> Option<&mut ServerLosses> {
        self.by_server.get_mut(&server)
    }

    /// Returns the starts for which `is_chosen` holds.
    pub(crate) fn servers(&self, is_chosen: impl Fn(&ServerKey) -> bool) -> Vec<ServerKey> {
        self.by_server.keys().copied().filter(is_chosen).collect()
    }

    /// Returns the starts that have lost a request.
    pub(crate) fn servers_of(&self, now: Timestamp, request: Fingerprint) -> Vec<ServerKey> {
        let is_recent = |it: &Loss| it.request == request && now.since(it.at) < LIFETIME;
        let servers = self.by_server.iter().filter(|(_, it)| it.losses.iter().any(is_recent));
        servers.map(|(server, _)| *server).collect()
    }

    /// Drops expired losses.
    pub(crate) fn prune(&mut self, now: Timestamp) {
        for it in self.by_server.values_mut() {
            it.losses.retain(|it| now.since(it.at) < LIFETIME);
        }
        self.by_server.retain(|_, it| !it.losses.is_empty());
        self.len = self.by_server.values().map(|it| it.losses.len()).sum();
    }

    fn remove_oldest(&mut self) {
        let oldest = |it: &ServerLosses| it.losses.iter().map(|it| it.at).min();
        let server = self.by_server.iter().min_by_key(|(_, it)| oldest(it)).map(|(it, _)| *it);
        if let Some(server) = server {
            self.take(server);
        }
    }
}
