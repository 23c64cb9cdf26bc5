//! What metrics and status pages show.

use std::collections::BTreeMap;

use health::ServerReport;
use ids::{ByteSize, ConfigVersion, Epoch, FastMap, ServerId, ServiceName, Timestamp};
use membership::{Member, MemberState};
use schema::announcement::Announcement;

use crate::{
    core::EntryCore,
    response::{CallerResponse, Outcome},
};

/// Counts since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests received whole.
    pub received: u64,
    /// Attempts sent to backend servers.
    pub attempts: u64,
    /// Attempts after the first one of a request.
    pub retries: u64,
    /// Attempts beside a slow one.
    pub hedges: u64,
    /// Attempts that a busy server refused.
    pub sheds: u64,
    /// Probes sent.
    pub probes: u64,
    /// Changes of a backend server's status.
    pub server_changes: u64,
    /// Stored answers given to resends.
    pub replays: u64,
    responses: FastMap<OutcomeKey, u64>,
}

/// What responses are counted by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct OutcomeKey {
    service: Option<ServiceName>,
    outcome: Outcome,
    reason: &'static str,
}

/// Responses of one service with one outcome and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutcomeCount {
    /// The service, if the request had one.
    pub service: Option<ServiceName>,
    /// What callers were told of the run.
    pub outcome: Outcome,
    /// Why there was no answer, or `answered`.
    pub reason: &'static str,
    /// How many.
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
        let key = OutcomeKey { service: service.cloned(), outcome: response.outcome(), reason };
        *self.responses.entry(key).or_default() += 1;
    }

    /// Responses by service, outcome and reason, in a fixed order.
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

/// The state of an entry host.
#[derive(Debug, Clone)]
pub struct EntryStatus {
    /// Where it is in its life.
    pub mode: MemberState,
    /// The configuration version in force; 0 when there is none.
    pub version: ConfigVersion,
    /// The epoch of the claim map; 0 when there is none.
    pub claim_epoch: Epoch,
    /// Claims held for the fleet.
    pub claims_held: usize,
    /// Requests in work.
    pub in_flight: usize,
    /// The hosts of the fleet.
    pub members: Vec<Member>,
    /// The backend servers.
    pub servers: Vec<ServerReport>,
    /// Counts.
    pub counters: Counters,
}

impl EntryCore {
    /// The state of this host.
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

    /// What is known of one backend server.
    pub fn explain(&self, now: Timestamp, server: &ServerId) -> Option<ServerReport> {
        self.health.explain(now, server)
    }

    /// What a backend server announced last.
    pub fn announcement(&self, server: &ServerId) -> Option<&Announcement> {
        self.servers.get(server)
    }

    /// The largest request body of the service that a path leads to, if there is one.
    pub fn max_request_bytes(&self, host: &str, path: &str) -> Option<ByteSize> {
        let name = self.routes.lookup(host, path)?;
        self.services.get(name).map(|it| it.service.max_request_bytes)
    }
}
