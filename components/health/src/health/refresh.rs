//! Updates statuses and rotations, and schedules probes.

use ids::{Millis, ServerId, Timestamp};
use schema::health::VerdictStage;

use crate::{
    hash,
    health::{
        Health, ServiceRecord,
        outbound::COMPARED_PEERS,
        record::{PROBE_INTERVAL, ServerRecord, Watch},
    },
    rotation::{Candidate, build_rotation},
    types::{ChangeReason, HealthAction, KnownState, ServerStatus},
};

/// Interval between a watcher's probes of a server with evidence or a hint against it.
const FAST_PROBE_INTERVAL: Millis = Millis(200);

/// Interval between a watcher's probes of a server with enough observed requests.
const SLOW_PROBE_INTERVAL: Millis = Millis(5_000);

/// Observed requests per second from which fewer probes are sent.
const SLOW_PROBE_MIN_PASSIVE_RATE: f64 = 3.0;

/// Evidence above which a watcher probes at the fast interval, in nats.
const FAST_PROBE_THRESHOLD_NATS: f64 = 4.0;

/// Time constant of the average rate of observed requests, in seconds.
const PASSIVE_RATE_TIME_CONSTANT_S: f64 = 5.0;

/// Timeout of a probe.
const PROBE_TIMEOUT: Millis = Millis(300);

impl Health {
    /// Updates the servers that are marked for it and the stale rotations.
    pub(super) fn refresh(&mut self, now: Timestamp) {
        for server in std::mem::take(&mut self.servers_to_refresh) {
            if self.refresh_server(now, &server) {
                self.servers_to_refresh.insert(server);
            }
        }
        for name in std::mem::take(&mut self.stale_rotations) {
            if let Some(service) = self.services.get_mut(&name) {
                rebuild_rotation(now, service, &self.servers);
            }
        }
    }

    /// Updates one server's status; returns whether it may change again with time alone.
    fn refresh_server(&mut self, now: Timestamp, server: &ServerId) -> bool {
        let is_suspected = self.is_suspected_here(server);
        let Some(record) = self.servers.get_mut(server) else { return false };
        let expired = record.path.expire(now) | record.verdicts.expire(now);
        let in_slow_start = record.advance_slow_start(now);
        let agreed = record.verdicts.agreed_stage(record.known.incarnation, record.watchers.len());
        let status = match agreed {
            VerdictStage::Ejected => ServerStatus::Ejected,
            VerdictStage::Probation => ServerStatus::Probation,
            VerdictStage::Cleared if is_suspected => ServerStatus::Suspect,
            VerdictStage::Cleared => ServerStatus::InRotation,
        };
        let from = std::mem::replace(&mut record.status, status);
        if from != status {
            if from >= ServerStatus::Probation && status < ServerStatus::Probation {
                record.slow_start_since = Some(now);
            }
            let evidence = record.verdicts.strongest_evidence(record.known.incarnation);
            let reason = evidence.map_or(ChangeReason::VerdictsEnded, ChangeReason::Verdict);
            let server = server.clone();
            self.actions.push(HealthAction::StatusChanged { server, from, to: status, reason });
        }
        if expired || in_slow_start || from != status {
            self.stale_rotations.insert(record.known.service.clone());
        }
        record.path.is_avoided() || !record.verdicts.is_empty() || record.slow_start_since.is_some()
    }

    /// Sends the probes of watched servers that are due.
    pub(super) fn probe(&mut self, now: Timestamp) {
        let mut to_compare = Vec::new();
        for server in &self.watched {
            let Some(record) = self.servers.get_mut(server) else { continue };
            if matches!(record.known.state, KnownState::Draining) {
                continue;
            }
            let Some(watch) = record.watch.as_mut() else { continue };
            let interval = watch.probe_interval(now);
            let due = watch.next_probe.min(now + interval);
            watch.next_probe = due;
            if now < due.max(watch.busy_until) {
                continue;
            }
            watch.next_probe = now + interval;
            if watch.evidence.strongest() > FAST_PROBE_THRESHOLD_NATS {
                to_compare.push(server.clone());
            }
            let server = server.clone();
            self.actions.push(HealthAction::Probe { server, timeout: PROBE_TIMEOUT });
        }
        to_compare.iter().for_each(|it| self.probe_peers(now, it));
    }

    /// Probes other servers of the service that `server` can be compared with.
    fn probe_peers(&mut self, now: Timestamp, server: &ServerId) {
        let mut peers = self.peers(server);
        peers.sort_by_key(|it| hash::mix(hash::fnv1a(it.as_str()) ^ hash::fnv1a(server.as_str())));
        let is_outdated = |it: &ServerId| self.servers[it].path.is_outdated(now);
        let due: Vec<ServerId> =
            peers.into_iter().take(COMPARED_PEERS).filter(is_outdated).collect();
        for server in due {
            self.actions.push(HealthAction::Probe { server, timeout: PROBE_TIMEOUT });
        }
    }
}

impl Watch {
    /// Returns the interval between probes, which depends on the evidence and on the rate of
    /// observed requests.
    fn probe_interval(&self, now: Timestamp) -> Millis {
        let probes_fast =
            self.evidence.strongest() > FAST_PROBE_THRESHOLD_NATS || now < self.hinted_until;
        if probes_fast && !self.is_service_fault {
            return FAST_PROBE_INTERVAL;
        }
        let idle_seconds = now.since(self.passive_rate_updated).0 as f64 / 1000.0;
        let rate = self.passive_rate * (-idle_seconds / PASSIVE_RATE_TIME_CONSTANT_S).exp();
        if rate >= SLOW_PROBE_MIN_PASSIVE_RATE { SLOW_PROBE_INTERVAL } else { PROBE_INTERVAL }
    }

    /// Records that `count` requests were observed.
    pub(super) fn record_passive(&mut self, now: Timestamp, count: u32) {
        let elapsed_seconds = now.micros_since(self.passive_rate_updated) as f64 / 1e6;
        let decay = (-elapsed_seconds / PASSIVE_RATE_TIME_CONSTANT_S).exp();
        self.passive_rate =
            self.passive_rate * decay + f64::from(count) / PASSIVE_RATE_TIME_CONSTANT_S;
        self.passive_rate_updated = now;
    }
}

fn rebuild_rotation(
    now: Timestamp,
    service: &mut ServiceRecord,
    servers: &std::collections::BTreeMap<ServerId, ServerRecord>,
) {
    let records = service.members.iter().filter_map(|it| servers.get(it));
    let median = median_latency(records.clone());
    let candidates: Vec<Candidate> = records
        .map(|it| Candidate {
            server: it.known.server.clone(),
            state: it.known.state,
            status: it.status,
            avoided: it.path.is_avoided(),
            weight: it.weight(now, median),
        })
        .collect();
    service.rotation = build_rotation(&candidates, service.floor);
}

/// Returns the median of the servers' mean latencies, in seconds.
fn median_latency<'a>(records: impl Iterator<Item = &'a ServerRecord>) -> Option<f64> {
    let mut means: Vec<f64> = records.filter_map(|it| it.path.mean_latency()).collect();
    means.sort_by(f64::total_cmp);
    means.get(means.len() / 2).copied()
}
