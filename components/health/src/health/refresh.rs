//! Brings statuses and rotations up to date, and decides when to probe.

use ids::{Millis, ServerId, Timestamp};
use schema::health::VerdictStage;

use crate::{
    hash,
    health::{
        Health, ServiceRecord,
        outbound::COMPARED_PEERS,
        record::{PROBE_INTERVAL, ServerRecord, Watch},
    },
    rotation::{Candidate, build},
    types::{ChangeReason, HealthAction, KnownState, ServerStatus},
};

/// Time between a watcher's probes of a server that it looks closer at.
const FAST_PROBE_INTERVAL: Millis = Millis(200);

/// Time between a watcher's probes of a server that real requests tell enough of.
const SLOW_PROBE_INTERVAL: Millis = Millis(5_000);

/// Observations a second that replace probes.
const ENOUGH_OBSERVATIONS: f64 = 3.0;

/// Time that the average of the observations a second spans, in seconds.
const RATE_SPAN: f64 = 5.0;

/// When a probe counts as timed out.
const PROBE_TIMEOUT: Millis = Millis(300);

impl Health {
    /// Brings statuses and rotations up to date.
    pub(super) fn refresh(&mut self, now: Timestamp) {
        for server in std::mem::take(&mut self.timed) {
            if self.refresh_server(now, &server) {
                self.timed.insert(server);
            }
        }
        for name in std::mem::take(&mut self.stale) {
            if let Some(service) = self.services.get_mut(&name) {
                rebuild(now, service, &self.servers);
            }
        }
    }

    /// Brings one server's status up to date; says whether it changes with time alone.
    fn refresh_server(&mut self, now: Timestamp, server: &ServerId) -> bool {
        let watched = self.holds_suspect(server);
        let Some(record) = self.servers.get_mut(server) else { return false };
        let expired = record.path.expire(now) | record.verdicts.expire(now);
        let ramps = record.advance_slow_start(now);
        let agreed = record.verdicts.agreed_stage(record.known.incarnation, record.watchers.len());
        let status = match agreed {
            VerdictStage::Ejected => ServerStatus::Ejected,
            VerdictStage::Probation => ServerStatus::Probation,
            VerdictStage::Cleared if watched => ServerStatus::Suspect,
            VerdictStage::Cleared => ServerStatus::InRotation,
        };
        let from = std::mem::replace(&mut record.status, status);
        if from != status {
            if from >= ServerStatus::Probation && status < ServerStatus::Probation {
                record.slow_start = Some(now);
            }
            let evidence = record.verdicts.evidence(record.known.incarnation);
            let reason = evidence.map_or(ChangeReason::VerdictsEnded, ChangeReason::Verdict);
            let server = server.clone();
            self.outgoing.push(HealthAction::StatusChanged { server, from, to: status, reason });
        }
        if expired || ramps || from != status {
            self.stale.insert(record.known.service.clone());
        }
        record.path.is_avoided() || !record.verdicts.is_empty() || record.slow_start.is_some()
    }

    /// Probes watched servers that are due.
    pub(super) fn probe(&mut self, now: Timestamp) {
        let mut compared = Vec::new();
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
            if watch.evidence.strongest() > CLOSER_LOOK {
                compared.push(server.clone());
            }
            let server = server.clone();
            self.outgoing.push(HealthAction::Probe { server, timeout: PROBE_TIMEOUT });
        }
        compared.iter().for_each(|it| self.probe_peers(now, it));
    }

    /// Probes some other servers of a service to compare a suspect with.
    fn probe_peers(&mut self, now: Timestamp, server: &ServerId) {
        let mut peers = self.peers(server);
        peers.sort_by_key(|it| hash::mix(hash::text(it.as_str()) ^ hash::text(server.as_str())));
        let unseen = |it: &ServerId| self.servers[it].path.needs_look(now);
        let due: Vec<ServerId> = peers.into_iter().take(COMPARED_PEERS).filter(unseen).collect();
        for server in due {
            self.outgoing.push(HealthAction::Probe { server, timeout: PROBE_TIMEOUT });
        }
    }
}

impl Watch {
    /// Time between probes, from what is known without them.
    fn probe_interval(&self, now: Timestamp) -> Millis {
        let closer = self.evidence.strongest() > CLOSER_LOOK || now < self.hinted_until;
        if closer && !self.excused {
            return FAST_PROBE_INTERVAL;
        }
        let quiet_for = now.since(self.rate_updated).0 as f64 / 1000.0;
        let rate = self.passive_rate * (-quiet_for / RATE_SPAN).exp();
        if rate >= ENOUGH_OBSERVATIONS { SLOW_PROBE_INTERVAL } else { PROBE_INTERVAL }
    }

    /// Notes that `count` real requests were observed.
    pub(super) fn note_passive(&mut self, now: Timestamp, count: u32) {
        let passed = now.micros_since(self.rate_updated) as f64 / 1e6;
        let kept = (-passed / RATE_SPAN).exp();
        self.passive_rate = self.passive_rate * kept + f64::from(count) / RATE_SPAN;
        self.rate_updated = now;
    }
}

/// Evidence at which a watcher probes faster, in nats.
const CLOSER_LOOK: f64 = 4.0;

fn rebuild(
    now: Timestamp,
    service: &mut ServiceRecord,
    servers: &std::collections::BTreeMap<ServerId, ServerRecord>,
) {
    let records = service.members.iter().filter_map(|it| servers.get(it));
    let usual = usual_latency(records.clone());
    let candidates: Vec<Candidate> = records
        .map(|it| Candidate {
            server: it.known.server.clone(),
            state: it.known.state,
            status: it.status,
            avoided: it.path.is_avoided(),
            weight: it.weight(now, usual),
        })
        .collect();
    service.rotation = build(&candidates, service.floor);
}

/// The median of the servers' mean latencies, in seconds.
fn usual_latency<'a>(records: impl Iterator<Item = &'a ServerRecord>) -> Option<f64> {
    let mut means: Vec<f64> = records.filter_map(|it| it.path.mean_latency()).collect();
    means.sort_by(f64::total_cmp);
    means.get(means.len() / 2).copied()
}
