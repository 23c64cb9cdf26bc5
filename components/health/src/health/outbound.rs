//! What this host does as time passes: digests, probes, suspicions and verdicts.

use std::collections::BTreeMap;

use ids::{HostId, Millis, ServerId, ServiceName, Timestamp};
use schema::health::{
    EvidenceSummary, HealthMessage, OutcomeCounts, OutcomeDigest, Suspicions, Symptom, Verdict,
    VerdictStage, Verdicts,
};

use crate::{
    evidence::SplitEvidence,
    health::Health,
    judge::{Excuse, Findings, JudgeEvent},
    types::{HealthAction, KnownState},
    verdicts::VERDICT_LIFETIME,
};

/// Time between digests of successes.
const FLUSH_INTERVAL: Millis = Millis(1_000);

/// Time between a watcher's repeated suspicions.
const SUSPICION_INTERVAL: Millis = Millis(500);

/// Time between a watcher's renewals of its verdicts.
const RENEWAL_INTERVAL: Millis = Millis(VERDICT_LIFETIME.0 / 3);

/// Share of a service's servers that may be suspect before the service as a whole is.
const WHOLE_SERVICE_SHARE: f64 = 0.3;

impl Health {
    /// Does what is due; call it every 50 ms or so.
    pub fn tick(&mut self, now: Timestamp) -> Vec<HealthAction> {
        self.send_digests(now);
        self.note_troubles(now);
        self.judge_watched(now);
        self.send_suspicions(now);
        self.renew_verdicts(now);
        self.probe(now);
        self.suspicions.retain(|_, until| *until > now);
        self.refresh(now);
        std::mem::take(&mut self.outgoing)
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
            self.outgoing.push(HealthAction::Send { to, message });
        }
    }

    /// Looks at the evidence on each watched server and gives verdicts.
    fn judge_watched(&mut self, now: Timestamp) {
        let mut changed = Vec::new();
        for server in self.watched.clone() {
            let Some(findings) = self.findings(now, &server) else { continue };
            let before = self.own_stage(&server);
            let was_suspect = self.holds_suspect(&server);
            if let Some(watch) = self.servers.get_mut(&server).and_then(|it| it.watch.as_mut()) {
                watch.excused = findings.excuse == Excuse::WholeService;
                if watch.excused {
                    watch.evidence.limit(findings.excused_limit);
                }
                watch.judge.handle(&JudgeEvent::Look(findings));
                if before == Some(VerdictStage::Ejected)
                    && watch.judge.state().stage() == VerdictStage::Probation
                {
                    watch.evidence = SplitEvidence::default();
                }
            }
            if was_suspect != self.holds_suspect(&server) {
                self.new_suspects |= !was_suspect;
                self.timed.insert(server.clone());
            }
            if before != self.own_stage(&server) {
                changed.push(server);
            }
        }
        self.give_verdicts(now, &changed);
    }

    fn findings(&self, now: Timestamp, server: &ServerId) -> Option<Findings> {
        let record = self.servers.get(server)?;
        let service = self.services.get(&record.known.service)?;
        let watch = record.watch.as_ref()?;
        let suspect = watch.evidence.strongest() >= service.budget.suspicion;
        Some(Findings {
            now,
            suspect,
            conviction: watch.evidence.conviction(now, &service.budget),
            excuse: if suspect { self.excuse(now, server) } else { Excuse::None },
            settle: service.budget.settle,
            settle_when_down: service.budget.settle_when_down,
            excused_limit: service.budget.suspicion * EXCUSED_EVIDENCE,
        })
    }

    /// What else explains the evidence against a suspect.
    fn excuse(&self, now: Timestamp, server: &ServerId) -> Excuse {
        let Some(record) = self.servers.get(server) else { return Excuse::Unknown };
        let Some(service) = self.services.get(&record.known.service) else {
            return Excuse::Unknown;
        };
        let in_trouble = |it| self.has_whole_trouble(now, it);
        if in_trouble(&record.known.service) || service.depends_on.iter().any(in_trouble) {
            return Excuse::WholeService;
        }
        self.compare_with_peers(now, server)
    }

    /// Whether this host lately saw most of the other servers of the service do well.
    fn compare_with_peers(&self, now: Timestamp, server: &ServerId) -> Excuse {
        let peers = self.peers(server);
        let needed = peers.len().min(COMPARED_PEERS) / 2 + 1;
        let paths = peers.iter().map(|it| &self.servers[it].path);
        let seen: Vec<_> = paths.filter(|it| it.recently_bad(now).is_some()).collect();
        let bad = seen.iter().filter(|it| it.recently_bad(now) == Some(true)).count();
        let doubtful = seen.iter().filter(|it| it.is_doubtful()).count();
        let mostly_bad = seen.len() >= needed && bad * 2 >= seen.len();
        if mostly_bad || doubtful >= (seen.len() / 3).max(2) {
            return Excuse::WholeService;
        }
        if seen.len() < needed && !peers.is_empty() {
            return Excuse::Unknown;
        }
        Excuse::None
    }

    /// The other serving servers of a server's service.
    pub(super) fn peers(&self, server: &ServerId) -> Vec<ServerId> {
        let service = self.servers.get(server).map(|it| &it.known.service);
        let Some(service) = service.and_then(|it| self.services.get(it)) else { return Vec::new() };
        let is_serving = |it: &&ServerId| {
            self.servers.get(*it).is_some_and(|it| it.known.state == KnownState::Serving)
        };
        service.members.iter().filter(|it| *it != server).filter(is_serving).cloned().collect()
    }

    fn has_whole_trouble(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|it| now < it.trouble_until)
    }

    /// Notes which services have so many suspects that they are in trouble as a whole.
    fn note_troubles(&mut self, now: Timestamp) {
        let mut suspects: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        for server in self.suspicions.keys() {
            if let Some(record) = self.servers.get(server) {
                *suspects.entry(&record.known.service).or_default() += 1;
            }
        }
        for (name, count) in suspects {
            let Some(service) = self.services.get_mut(name) else { continue };
            let most = (service.members.len() as f64 * WHOLE_SERVICE_SHARE).max(1.0);
            if count as f64 > most {
                service.trouble_until = now + TROUBLE_TIME;
            }
        }
    }

    /// Tells the watchers of a suspect's service about it.
    fn send_suspicions(&mut self, now: Timestamp) {
        if now < self.last_suspicions + SUSPICION_INTERVAL && !self.new_suspects {
            return;
        }
        self.new_suspects = false;
        let suspects: Vec<ServerId> =
            self.watched.iter().filter(|it| self.holds_suspect(it)).cloned().collect();
        if suspects.is_empty() {
            return;
        }
        self.last_suspicions = now;
        let mut by_host: BTreeMap<HostId, Vec<ServerId>> = BTreeMap::new();
        for server in suspects {
            self.suspicions.insert(server.clone(), now + Millis(SUSPICION_INTERVAL.0 * 4));
            for host in self.service_watchers(&server) {
                by_host.entry(host).or_default().push(server.clone());
            }
        }
        for (to, servers) in by_host {
            let message = HealthMessage::Suspicions(Suspicions { servers });
            self.outgoing.push(HealthAction::Send { to, message });
        }
    }

    pub(super) fn holds_suspect(&self, server: &ServerId) -> bool {
        let watch = self.servers.get(server).and_then(|it| it.watch.as_ref());
        watch.is_some_and(|it| it.judge.state().is_suspect())
    }

    /// The other watchers of all servers of `server`'s service.
    fn service_watchers(&self, server: &ServerId) -> Vec<HostId> {
        let service = self.servers.get(server).map(|it| &it.known.service);
        let Some(service) = service.and_then(|it| self.services.get(it)) else { return Vec::new() };
        let mut hosts: Vec<HostId> =
            service.members.iter().flat_map(|it| self.other_watchers(it)).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Repeats the verdicts of this host that keep servers out.
    fn renew_verdicts(&mut self, now: Timestamp) {
        if now < self.last_renewal + RENEWAL_INTERVAL {
            return;
        }
        self.last_renewal = now;
        let holds_out =
            |it: &&ServerId| self.own_stage(it).is_some_and(|it| it != VerdictStage::Cleared);
        let renewed: Vec<ServerId> = self.watched.iter().filter(holds_out).cloned().collect();
        self.give_verdicts(now, &renewed);
    }

    /// Gives this host's present verdicts on `servers` to all entry hosts.
    fn give_verdicts(&mut self, now: Timestamp, servers: &[ServerId]) {
        if servers.is_empty() {
            return;
        }
        let verdicts: Vec<Verdict> = servers.iter().filter_map(|it| self.verdict(it)).collect();
        let own = self.settings.host;
        for verdict in &verdicts {
            if let Some(record) = self.servers.get_mut(&verdict.server) {
                record.verdicts.take(now, own, self.settings.incarnation, verdict);
                self.timed.insert(verdict.server.clone());
            }
        }
        let message = Verdicts {
            watcher: own,
            watcher_incarnation: self.settings.incarnation,
            relay: false,
            verdicts,
        };
        self.spread(message);
    }

    /// Sends verdicts to this data centre's hosts, and to one relay in each other one.
    fn spread(&mut self, verdicts: Verdicts) {
        let relayed = HealthMessage::Verdicts(Verdicts { relay: true, ..verdicts.clone() });
        let direct = HealthMessage::Verdicts(verdicts);
        let own = self.settings.host;
        for data_centre in self.hosts.data_centres() {
            let hosts = self.hosts.in_data_centre(data_centre);
            if *data_centre == self.settings.data_centre {
                for to in hosts.iter().filter(|it| **it != own) {
                    self.outgoing.push(HealthAction::Send { to: *to, message: direct.clone() });
                }
                continue;
            }
            let turn = (self.sequence as usize) % hosts.len();
            for i in 0..hosts.len().min(RELAYS) {
                let to = hosts[(turn + i) % hosts.len()];
                self.outgoing.push(HealthAction::Send { to, message: relayed.clone() });
            }
        }
    }

    fn verdict(&mut self, server: &ServerId) -> Option<Verdict> {
        self.sequence += 1;
        let sequence = self.sequence;
        let record = self.servers.get(server)?;
        let judge = &record.watch.as_ref()?.judge;
        Some(Verdict {
            server: server.clone(),
            incarnation: record.known.incarnation,
            sequence,
            stage: judge.state().stage(),
            evidence: judge.evidence.clone().unwrap_or(NO_EVIDENCE),
        })
    }
}

/// Other servers of the service that a watcher compares a suspect with.
pub(super) const COMPARED_PEERS: usize = 4;

/// How long a service counts as in trouble after most of its servers were suspect.
const TROUBLE_TIME: Millis = Millis(5_000);

/// Evidence that is kept while a whole service is in trouble, in suspicion thresholds.
const EXCUSED_EVIDENCE: f64 = 1.2;

/// Hosts in each other data centre that pass verdicts on.
const RELAYS: usize = 2;

const NO_EVIDENCE: EvidenceSummary =
    EvidenceSummary { symptom: Symptom::Down, milli_nats: 0, data_centres: 0 };
