//! Counters and state for metrics and status pages.

use std::collections::BTreeMap;

use health::ServerReport;
use ids::{ByteSize, ConfigVersion, Epoch, FastMap, ServerId, ServiceName, Timestamp};
use membership::{Member, MemberState};
use schema::announcement::Announcement;

use crate::{
    core::EntryCore,
    response::{CallerResponse, Outcome},
};

/// Counters since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests received completely.
    pub received: u64,
    /// Attempts sent to backend servers.
    pub attempts: u64,
    /// Retries of requests; hedged attempts are not included.
    pub retries: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// Attempts that a busy server refused.
    pub sheds: u64,
    /// Probes sent.
    pub probes: u64,
    /// Changes of the health status of a backend server.
    pub server_changes: u64,
    /// Stored answers that were sent again for the same key.
    pub replays: u64,
    responses: FastMap<ResponseKey, u64>,
}

/// Key of a response counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ResponseKey {
    service: Option<ServiceName>,
    outcome: Outcome,
    reason: &'static str,
}

/// Number of responses of one service with one outcome and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutcomeCount {
    /// The service; `None` for requests that failed validation.
    pub service: Option<ServiceName>,
    /// The outcome in the response.
    pub outcome: Outcome,
    /// Code of the refusal reason, or `answered`.
    pub reason: &'static str,
    /// Number of responses.
    pub count: u64,
}

impl Counters {
    pub(crate) fn count_response(
        &mut self,
        service: Option<&ServiceName>,
        response: &CallerResponse,
    ) {
        let reason = match response {
            CallerResponse::Answer { replayed, .. } => {
                self.replays += u64::from(*replayed);
                "answered"
            }
            CallerResponse::Refusal(refusal) => refusal.reason.code(),
        };
        let key = ResponseKey { service: service.cloned(), outcome: response.outcome(), reason };
        *self.responses.entry(key).or_default() += 1;
    }

    /// Returns the response counts, sorted by service, outcome and reason.
    pub fn responses(&self) -> Vec<OutcomeCount> {
        let sorted: BTreeMap<_, _> = self.responses.iter().collect();
        let counts = sorted.into_iter().map(|(key, count)| OutcomeCount {
            service: key.service.clone(),
            outcome: key.outcome,
            reason: key.reason,
            count: *count,
        });
        counts.collect()
    }
}

/// State of an entry host for status pages and metrics.
#[derive(Debug, Clone)]
pub struct EntryStatus {
    /// Lifecycle state of the host.
    pub mode: MemberState,
    /// Version of the configuration in force; 0 if there is none.
    pub version: ConfigVersion,
    /// Epoch of the claim map; 0 if there is none.
    pub claim_epoch: Epoch,
    /// Number of claims held by this host's replica.
    pub claims_held: usize,
    /// Number of requests that have not been answered yet.
    pub in_flight: usize,
    /// Hosts of the fleet.
    pub members: Vec<Member>,
    /// Health of the backend servers.
    pub servers: Vec<ServerReport>,
    /// Counters since the start of the process.
    pub counters: Counters,
}

impl EntryCore {
    /// Returns the state of this host.
    pub fn status(&self, now: Timestamp) -> EntryStatus {
        let servers = self.servers.keys().filter_map(|it| self.health.explain(now, it));
        EntryStatus {
            mode: self.mode(),
            version: self.config.as_ref().map_or(ConfigVersion(0), |it| it.version()),
            claim_epoch: self.claims.map().epoch(),
            claims_held: self.claims.status().held,
            in_flight: self.requests.len(),
            members: self.fleet.membership().members().cloned().collect(),
            servers: servers.collect(),
            counters: self.counters.clone(),
        }
    }

    /// Returns the health of a backend server and the reasons for it.
    pub fn explain(&self, now: Timestamp, server: &ServerId) -> Option<ServerReport> {
        self.health.explain(now, server)
    }

    /// Returns the latest announcement of a backend server.
    pub fn announcement(&self, server: &ServerId) -> Option<&Announcement> {
        self.servers.get(server)
    }

    /// Returns the largest request body of the service on a route, or `None` without such a route.
    pub fn max_request_bytes(&self, host: &str, path: &str) -> Option<ByteSize> {
        let name = self.routes.lookup(host, path)?;
        self.services.get(name).map(|it| it.service.max_request_bytes)
    }
}
