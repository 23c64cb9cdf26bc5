//! Periodic work of an entry host: digests, evaluation of watched servers, suspicions and verdicts.

use std::collections::BTreeMap;

use ids::{HostId, Millis, ServerId, ServiceName, Timestamp};
use schema::health::{
    EvidenceSummary, HealthMessage, OutcomeCounts, OutcomeDigest, Suspicions, Symptom, Verdict,
    VerdictStage, Verdicts,
};

use crate::{
    ejector::{Assessment, EjectorEvent, FaultScope},
    evidence::SplitEvidence,
    health::Health,
    types::{HealthAction, KnownState},
    verdicts::VERDICT_LIFETIME,
};

/// Interval between digests of servers without bad outcomes.
const FLUSH_INTERVAL: Millis = Millis(1_000);

/// Interval at which a watcher repeats its suspicions.
const SUSPICION_INTERVAL: Millis = Millis(500);

/// Time after which a watcher's own suspicion expires unless it is repeated.
const OWN_SUSPICION_LIFETIME: Millis = Millis(SUSPICION_INTERVAL.0 * 4);

/// Interval at which a watcher renews its verdicts.
const RENEWAL_INTERVAL: Millis = Millis(VERDICT_LIFETIME.0 / 3);

/// Share of a service's servers that may be suspect before the whole service counts as faulty.
const SERVICE_FAULT_SUSPECT_SHARE: f64 = 0.3;

/// Other servers of the service that a watcher probes to compare a suspect with.
pub(super) const COMPARED_PEERS: usize = 4;

/// Time for which a service counts as faulty after too many of its servers were suspect.
const SERVICE_FAULT_LIFETIME: Millis = Millis(5_000);

/// Cap on the evidence during a fault of the whole service, as a multiple of the suspicion
/// threshold.
const SERVICE_FAULT_EVIDENCE_FACTOR: f64 = 1.2;

/// Hosts in each other data centre that relay verdicts within it.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Placeholder in verdicts without an ejection.
const NO_EVIDENCE: EvidenceSummary =
    EvidenceSummary { symptom: Symptom::Down, milli_nats: 0, data_centres: 0 };

impl Health {
    /// Performs the work that is due; to be called about every 50 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<HealthAction> {
        self.send_digests(now);
        self.detect_service_faults(now);
        self.evaluate_watched(now);
        self.send_suspicions(now);
        self.renew_verdicts(now);
        self.probe(now);
        self.suspicions.retain(|_, until| *until > now);
        self.refresh(now);
        std::mem::take(&mut self.actions)
    }

    /// Sends bad outcomes at once and good ones in batches.
    fn send_digests(&mut self, now: Timestamp) {
        let flush = now >= self.last_flush + FLUSH_INTERVAL;
        if flush {
            self.last_flush = now;
        }
        let mut digests: BTreeMap<HostId, Vec<OutcomeCounts>> = BTreeMap::new();
        for server in std::mem::take(&mut self.pending) {
            let Some(record) = self.servers.get_mut(&server) else { continue };
            if !flush && !record.has_bad_pending() {
                self.pending.insert(server);
                continue;
            }
            let counts = record.take_pending();
            for watcher in self.other_watchers(&server) {
                digests.entry(watcher).or_default().extend(counts.iter().cloned());
            }
        }
        for (to, entries) in digests {
            let message = HealthMessage::Digest(OutcomeDigest { entries });
            self.actions.push(HealthAction::Send { to, message });
        }
    }

    /// Evaluates the evidence on each watched server and publishes the verdicts that change.
    fn evaluate_watched(&mut self, now: Timestamp) {
        let mut changed = Vec::new();
        for server in self.watched.clone() {
            let Some(assessment) = self.assess(now, &server) else { continue };
            let before = self.own_verdict_stage(&server);
            let was_suspect = self.is_suspected_here(&server);
            if let Some(watch) = self.servers.get_mut(&server).and_then(|it| it.watch.as_mut()) {
                watch.is_service_fault = assessment.fault_scope == FaultScope::Service;
                if watch.is_service_fault {
                    watch.evidence.scale_down_to(assessment.service_fault_cap);
                }
                watch.ejector.handle(&EjectorEvent::Evaluate(assessment));
                if before == Some(VerdictStage::Ejected)
                    && watch.ejector.state().stage() == VerdictStage::Probation
                {
                    watch.evidence = SplitEvidence::default();
                }
            }
            if was_suspect != self.is_suspected_here(&server) {
                self.has_new_suspects |= !was_suspect;
                self.servers_to_refresh.insert(server.clone());
            }
            if before != self.own_verdict_stage(&server) {
                changed.push(server);
            }
        }
        self.publish_verdicts(now, &changed);
    }

    fn assess(&self, now: Timestamp, server: &ServerId) -> Option<Assessment> {
        let record = self.servers.get(server)?;
        let service = self.services.get(&record.known.service)?;
        let watch = record.watch.as_ref()?;
        let suspect = watch.evidence.strongest() >= service.thresholds.suspicion;
        Some(Assessment {
            now,
            suspect,
            ejection_evidence: watch.evidence.ejection_evidence(now, &service.thresholds),
            fault_scope: if suspect { self.fault_scope(now, server) } else { FaultScope::Server },
            min_suspect_time: service.thresholds.min_suspect_time,
            min_suspect_time_when_down: service.thresholds.min_suspect_time_when_down,
            service_fault_cap: service.thresholds.suspicion * SERVICE_FAULT_EVIDENCE_FACTOR,
        })
    }

    /// Returns the extent of the fault behind the evidence against a suspect.
    fn fault_scope(&self, now: Timestamp, server: &ServerId) -> FaultScope {
        let Some(record) = self.servers.get(server) else { return FaultScope::Unknown };
        let Some(service) = self.services.get(&record.known.service) else {
            return FaultScope::Unknown;
        };
        let has_fault = |it| self.has_service_fault(now, it);
        if has_fault(&record.known.service) || service.depends_on.iter().any(has_fault) {
            return FaultScope::Service;
        }
        self.compare_with_peers(now, server)
    }

    /// Compares a suspect with the other servers of its service that this host recently observed.
    fn compare_with_peers(&self, now: Timestamp, server: &ServerId) -> FaultScope {
        let peers = self.peers(server);
        let needed = peers.len().min(COMPARED_PEERS) / 2 + 1;
        let paths = peers.iter().map(|it| &self.servers[it].path);
        let seen: Vec<_> = paths.filter(|it| it.latest_was_bad(now).is_some()).collect();
        let bad = seen.iter().filter(|it| it.latest_was_bad(now) == Some(true)).count();
        let doubtful = seen.iter().filter(|it| it.is_doubtful()).count();
        let mostly_bad = seen.len() >= needed && bad * 2 >= seen.len();
        if mostly_bad || doubtful >= (seen.len() / 3).max(2) {
            return FaultScope::Service;
        }
        if seen.len() < needed && !peers.is_empty() {
            return FaultScope::Unknown;
        }
        FaultScope::Server
    }

    /// Returns the other serving servers of a server's service.
    pub(super) fn peers(&self, server: &ServerId) -> Vec<ServerId> {
        let service = self.servers.get(server).map(|it| &it.known.service);
        let Some(service) = service.and_then(|it| self.services.get(it)) else { return Vec::new() };
        let is_serving = |it: &&ServerId| {
            self.servers.get(*it).is_some_and(|it| it.known.state == KnownState::Serving)
        };
        service.members.iter().filter(|it| *it != server).filter(is_serving).cloned().collect()
    }

    fn has_service_fault(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|it| now < it.service_fault_until)
    }

    /// Marks services with too many suspects as faulty as a whole.
    fn detect_service_faults(&mut self, now: Timestamp) {
        let mut suspects: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        for server in self.suspicions.keys() {
            if let Some(record) = self.servers.get(server) {
                *suspects.entry(&record.known.service).or_default() += 1;
            }
        }
        for (name, count) in suspects {
            let Some(service) = self.services.get_mut(name) else { continue };
            let max_suspects =
                (service.members.len() as f64 * SERVICE_FAULT_SUSPECT_SHARE).max(1.0);
            if count as f64 > max_suspects {
                service.service_fault_until = now + SERVICE_FAULT_LIFETIME;
            }
        }
    }

    /// Reports each suspect to the watchers of all servers of its service.
    fn send_suspicions(&mut self, now: Timestamp) {
        if now < self.last_suspicions_sent + SUSPICION_INTERVAL && !self.has_new_suspects {
            return;
        }
        self.has_new_suspects = false;
        let suspects: Vec<ServerId> =
            self.watched.iter().filter(|it| self.is_suspected_here(it)).cloned().collect();
        if suspects.is_empty() {
            return;
        }
        self.last_suspicions_sent = now;
        let mut by_host: BTreeMap<HostId, Vec<ServerId>> = BTreeMap::new();
        for server in suspects {
            self.suspicions.insert(server.clone(), now + OWN_SUSPICION_LIFETIME);
            for host in self.service_watchers(&server) {
                by_host.entry(host).or_default().push(server.clone());
            }
        }
        for (to, servers) in by_host {
            let message = HealthMessage::Suspicions(Suspicions { servers });
            self.actions.push(HealthAction::Send { to, message });
        }
    }

    pub(super) fn is_suspected_here(&self, server: &ServerId) -> bool {
        let watch = self.servers.get(server).and_then(|it| it.watch.as_ref());
        watch.is_some_and(|it| it.ejector.state().is_suspect())
    }

    /// Returns the watchers of all servers of `server`'s service, without this host.
    fn service_watchers(&self, server: &ServerId) -> Vec<HostId> {
        let service = self.servers.get(server).map(|it| &it.known.service);
        let Some(service) = service.and_then(|it| self.services.get(it)) else { return Vec::new() };
        let mut hosts: Vec<HostId> =
            service.members.iter().flat_map(|it| self.other_watchers(it)).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Repeats the verdicts of this host that keep servers ejected or on probation.
    fn renew_verdicts(&mut self, now: Timestamp) {
        if now < self.last_renewal + RENEWAL_INTERVAL {
            return;
        }
        self.last_renewal = now;
        let not_cleared = |it: &&ServerId| {
            self.own_verdict_stage(it).is_some_and(|it| it != VerdictStage::Cleared)
        };
        let renewed: Vec<ServerId> = self.watched.iter().filter(not_cleared).cloned().collect();
        self.publish_verdicts(now, &renewed);
    }

    /// Publishes this host's present verdicts on `servers` to all entry hosts.
    fn publish_verdicts(&mut self, now: Timestamp, servers: &[ServerId]) {
        if servers.is_empty() {
            return;
        }
        let verdicts: Vec<Verdict> =
            servers.iter().filter_map(|it| self.next_verdict(it)).collect();
        let own = self.settings.host;
        for verdict in &verdicts {
            if let Some(record) = self.servers.get_mut(&verdict.server) {
                record.verdicts.accept(now, own, self.settings.incarnation, verdict);
                self.servers_to_refresh.insert(verdict.server.clone());
            }
        }
        let message = Verdicts {
            watcher: own,
            watcher_incarnation: self.settings.incarnation,
            relay: false,
            verdicts,
        };
        self.broadcast(message);
    }

    /// Sends verdicts to all hosts of this data centre, and to some relays in each other one.
    fn broadcast(&mut self, verdicts: Verdicts) {
        let relayed = HealthMessage::Verdicts(Verdicts { relay: true, ..verdicts.clone() });
        let direct = HealthMessage::Verdicts(verdicts);
        let own = self.settings.host;
        for data_centre in self.hosts.data_centres() {
            let hosts = self.hosts.in_data_centre(data_centre);
            if *data_centre == self.settings.data_centre {
                for to in hosts.iter().filter(|it| **it != own) {
                    self.actions.push(HealthAction::Send { to: *to, message: direct.clone() });
                }
                continue;
            }
            // The relays vary with the sequence number.
            let offset = (self.verdict_sequence as usize) % hosts.len();
            for i in 0..hosts.len().min(RELAYS_PER_DATA_CENTRE) {
                let to = hosts[(offset + i) % hosts.len()];
                self.actions.push(HealthAction::Send { to, message: relayed.clone() });
            }
        }
    }

    fn next_verdict(&mut self, server: &ServerId) -> Option<Verdict> {
        self.verdict_sequence += 1;
        let sequence = self.verdict_sequence;
        let record = self.servers.get(server)?;
        let ejector = &record.watch.as_ref()?.ejector;
        Some(Verdict {
            server: server.clone(),
            incarnation: record.known.incarnation,
            sequence,
            stage: ejector.state().stage(),
            evidence: ejector.evidence.clone().unwrap_or(NO_EVIDENCE),
        })
    }
}
