//! Inputs of the health decisions: outcomes, probe results, hints and messages of other hosts.

use std::time::Duration;

use ids::{HostId, Millis, ServerId, Timestamp};
use schema::health::{HealthMessage, OutcomeCounts, OutcomeSource, Verdicts};

use crate::{
    ejector::EjectorEvent,
    evidence::Observer,
    health::{Health, record::empty_counts},
    types::{HealthAction, Hint, Observation, OutcomeKind, ProbeResult},
};

/// Time after which another watcher's suspicion expires unless it is repeated.
const SUSPICION_LIFETIME: Millis = Millis(2_500);

/// Time for which a server's own report of being unhealthy speeds up probes.
const HINT_LIFETIME: Millis = Millis(2_000);

/// Time without probes after a server shed one.
const BUSY_PROBE_PAUSE: Millis = Millis(1_000);

/// Share of failing servers in a data centre from which the path there counts as bad.
const BAD_PATH_SHARE: f64 = 0.5;

/// Fewest other servers with recent outcomes to call a path bad.
const BAD_PATH_MIN_SERVERS: usize = 2;

/// Share of failing servers among all from which this host's own links count as bad.
const BAD_LINKS_SHARE: f64 = 0.4;

/// Fewest other servers with recent outcomes to call this host's links bad.
const BAD_LINKS_MIN_SERVERS: usize = 4;

impl Health {
    /// Records the outcome of a real request, unless it was already recorded as overdue.
    pub fn observe(&mut self, now: Timestamp, observation: Observation) {
        if observation.was_overdue {
            return;
        }
        let Observation { server, kind, latency, .. } = observation;
        self.record_outcome(now, &server, kind, latency, OutcomeSource::Request);
    }

    /// Records the outcome of a probe.
    pub fn probe_result(&mut self, now: Timestamp, server: &ServerId, result: ProbeResult) {
        if result.kind == OutcomeKind::Shed {
            self.postpone_probe(now, server);
        }
        self.record_outcome(now, server, result.kind, result.latency, OutcomeSource::Probe);
    }

    /// Records what a server reports of its own health; it can only speed up probes.
    pub fn hint(&mut self, now: Timestamp, server: &ServerId, hint: Hint) {
        let watch = self.servers.get_mut(server).and_then(|it| it.watch.as_mut());
        if let (Hint::Unhealthy, Some(watch)) = (hint, watch) {
            watch.hinted_until = now + HINT_LIFETIME;
        }
    }

    /// Handles a message of another entry host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: HealthMessage,
    ) -> Vec<HealthAction> {
        match message {
            HealthMessage::Digest(digest) => {
                digest.entries.iter().for_each(|it| self.add_evidence(now, from, it));
            }
            HealthMessage::Suspicions(suspicions) => {
                for server in suspicions.servers {
                    self.suspicions.insert(server, now + SUSPICION_LIFETIME);
                }
            }
            HealthMessage::Verdicts(verdicts) => self.accept_verdicts(now, verdicts),
        }
        std::mem::take(&mut self.actions)
    }

    /// Pauses the probes of an overloaded server.
    fn postpone_probe(&mut self, now: Timestamp, server: &ServerId) {
        let watch = self.servers.get_mut(server).and_then(|it| it.watch.as_mut());
        if let Some(watch) = watch {
            watch.busy_until = now + BUSY_PROBE_PAUSE;
        }
    }

    /// Records an outcome; if this host's own links explain a failed or slow one, it counts only
    /// for this host's path to the server and not as evidence.
    fn record_outcome(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        kind: OutcomeKind,
        latency: Duration,
        source: OutcomeSource,
    ) {
        let Some(mut counts) = self.classify(now, server, kind, latency, source) else { return };
        let bad = counts.failed + counts.slow > 0;
        let bad_links = bad && self.is_explained_by_links(now, server);
        let Some(record) = self.servers.get_mut(server) else { return };
        if record.path.record_outcomes(now, &counts) {
            self.stale_rotations.insert(record.known.service.clone());
            self.servers_to_refresh.insert(server.clone());
        }
        if bad_links {
            counts.failed = 0;
            counts.slow = 0;
        }
        self.add_evidence(now, self.settings.host, &counts);
        self.queue_for_digest(server, &counts);
    }

    /// Converts an outcome to counts; `None` if it says nothing about the server's health.
    fn classify(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        kind: OutcomeKind,
        latency: Duration,
        source: OutcomeSource,
    ) -> Option<OutcomeCounts> {
        let record = self.servers.get_mut(server)?;
        let service = self.services.get_mut(&record.known.service)?;
        let warming_up = record.is_warming_up(now);
        let mut counts = empty_counts(&record.known, source);
        match kind {
            OutcomeKind::Answered => {
                let baseline = match source {
                    OutcomeSource::Request => &mut service.request_latency,
                    OutcomeSource::Probe => &mut service.probe_latency,
                };
                let slow = baseline.record(latency, record.path.is_doubtful());
                if source == OutcomeSource::Request {
                    record.path.record_latency(latency);
                }
                counts.slow = u32::from(slow && !warming_up);
                counts.good = 1 - counts.slow;
            }
            OutcomeKind::Failed | OutcomeKind::TimedOut | OutcomeKind::Overdue => {
                counts.failed = u32::from(!warming_up || kind == OutcomeKind::Failed);
            }
            OutcomeKind::Wrong | OutcomeKind::Truncated => counts.wrong = 1,
            OutcomeKind::Shed | OutcomeKind::CrashedByRequest => return None,
        }
        Some(counts)
    }

    /// Returns whether this host's own links explain a failed or slow outcome, as many other
    /// servers fail too.
    fn is_explained_by_links(&self, now: Timestamp, server: &ServerId) -> bool {
        let Some(record) = self.servers.get(server) else { return false };
        let mut same_data_centre = Tally::default();
        let mut all = Tally::default();
        for (id, other) in &self.servers {
            let Some(bad) = other.path.latest_was_bad(now).filter(|_| id != server) else {
                continue;
            };
            all.add(bad);
            if other.known.data_centre == record.known.data_centre {
                same_data_centre.add(bad);
            }
        }
        same_data_centre.reaches(BAD_PATH_MIN_SERVERS, BAD_PATH_SHARE)
            || all.reaches(BAD_LINKS_MIN_SERVERS, BAD_LINKS_SHARE)
    }

    /// Adds outcomes to the next digest for the watchers.
    fn queue_for_digest(&mut self, server: &ServerId, counts: &OutcomeCounts) {
        let Some(record) = self.servers.get_mut(server) else { return };
        let pending = match counts.source {
            OutcomeSource::Request => &mut record.pending_requests,
            OutcomeSource::Probe => &mut record.pending_probes,
        };
        pending.good += counts.good;
        pending.slow += counts.slow;
        pending.failed += counts.failed;
        pending.wrong += counts.wrong;
        self.pending.insert(server.clone());
    }

    /// Adds an observer's outcomes to the evidence on a server, if this host watches it.
    fn add_evidence(&mut self, now: Timestamp, from: HostId, counts: &OutcomeCounts) {
        let Some(host) = self.hosts.get(from) else { return };
        let Some(record) = self.servers.get_mut(&counts.server) else { return };
        let Some(service) = self.services.get(&record.known.service) else { return };
        let Some(watch) = record.watch.as_mut() else { return };
        if counts.incarnation != record.known.incarnation {
            return;
        }
        let observer = Observer {
            host: from,
            data_centre: host.data_centre.clone(),
            region: host.region.clone(),
        };
        watch.evidence.add(now, &observer, counts, &service.thresholds);
        let bad = counts.failed + counts.wrong + counts.slow > 0;
        let event = if bad { EjectorEvent::BadReport } else { EjectorEvent::GoodReport };
        watch.ejector.handle(&event);
        if counts.source == OutcomeSource::Request {
            let all = counts.good + counts.slow + counts.failed + counts.wrong;
            watch.record_passive(now, all);
        }
    }

    fn accept_verdicts(&mut self, now: Timestamp, verdicts: Verdicts) {
        let mut any_new = false;
        for verdict in &verdicts.verdicts {
            let Some(record) = self.servers.get_mut(&verdict.server) else { continue };
            let is_new = record.verdicts.accept(
                now,
                verdicts.watcher,
                verdicts.watcher_incarnation,
                verdict,
            );
            if is_new {
                any_new = true;
                self.servers_to_refresh.insert(verdict.server.clone());
            }
        }
        if any_new && verdicts.relay {
            self.relay(&verdicts);
        }
        if any_new {
            self.refresh(now);
        }
    }

    /// Relays verdicts to the other hosts of this data centre.
    fn relay(&mut self, verdicts: &Verdicts) {
        let message = HealthMessage::Verdicts(Verdicts { relay: false, ..verdicts.clone() });
        let own = self.settings.host;
        for host in self.hosts.in_data_centre(&self.settings.data_centre) {
            if *host != own && *host != verdicts.watcher {
                self.actions.push(HealthAction::Send { to: *host, message: message.clone() });
            }
        }
    }
}

/// Counts servers with recent outcomes, and those whose latest outcome was bad.
#[derive(Debug, Default)]
struct Tally {
    seen: usize,
    bad: usize,
}

impl Tally {
    fn add(&mut self, bad: bool) {
        self.seen += 1;
        self.bad += usize::from(bad);
    }

    fn reaches(&self, min_servers: usize, min_share: f64) -> bool {
        self.seen >= min_servers && self.bad as f64 >= min_share * self.seen as f64
    }
}
