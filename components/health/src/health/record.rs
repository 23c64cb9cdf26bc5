//! State that this host keeps on one backend server.

use ids::{HostId, Millis, ServerId, Timestamp};
use schema::health::{OutcomeCounts, OutcomeSource};
use statig::prelude::*;

use crate::{
    ejector::{Ejector, EjectorEvent},
    evidence::SplitEvidence,
    hash,
    path::PathHealth,
    rotation::{FULL_WEIGHT, PROBATION_WEIGHT, STARTING_WEIGHT},
    types::{KnownServer, KnownState, ServerStatus, Settings},
    verdicts::VerdictTable,
};

/// Interval between a watcher's probes of a server with few observed requests.
pub(crate) const PROBE_INTERVAL: Millis = Millis(1_000);

/// Time after a start during which a server is expected to be slow.
const WARM_UP_TIME: Millis = Millis(10_000);

/// Smallest share of requests that a slow start or a high latency leaves a server.
const MIN_SHARE: f64 = 0.1;

/// Time over which the weight of a readmitted server rises to a full share.
const SLOW_START_WINDOW: Millis = Millis(20_000);

/// State of one server on this host.
pub(crate) struct ServerRecord {
    pub(crate) known: KnownServer,
    /// Key of the server for the choice of its watchers by rendezvous hashing.
    pub(crate) rendezvous_key: u64,
    /// When this host learned of the present incarnation.
    pub(crate) incarnation_since: Timestamp,
    pub(crate) watchers: Vec<HostId>,
    pub(crate) path: PathHealth,
    /// Outcomes of requests that are not yet sent.
    pub(crate) pending_requests: OutcomeCounts,
    /// Outcomes of probes that are not yet sent.
    pub(crate) pending_probes: OutcomeCounts,
    pub(crate) verdicts: VerdictTable,
    pub(crate) status: ServerStatus,
    pub(crate) slow_start_since: Option<Timestamp>,
    /// Present if this host watches the server.
    pub(crate) watch: Option<Watch>,
}

/// State that only a watcher of the server keeps.
pub(crate) struct Watch {
    pub(crate) evidence: SplitEvidence,
    pub(crate) ejector: StateMachine<Ejector>,
    pub(crate) next_probe: Timestamp,
    /// Until when the server's own report of being unhealthy counts.
    pub(crate) hinted_until: Timestamp,
    /// Until when probes pause because the server shed one.
    pub(crate) busy_until: Timestamp,
    /// Whether a fault of the whole service explains the evidence.
    pub(crate) is_service_fault: bool,
    /// Observed requests per second, averaged with exponential decay.
    pub(crate) passive_rate: f64,
    pub(crate) passive_rate_updated: Timestamp,
}

impl Watch {
    pub(crate) fn new(now: Timestamp, server: &ServerId, settings: &Settings) -> Self {
        let jitter = hash::mix(settings.seed ^ hash::fnv1a(server.as_str()));
        let delay = Millis(jitter % PROBE_INTERVAL.0);
        Self {
            evidence: SplitEvidence::default(),
            ejector: Ejector::default().state_machine(),
            next_probe: now + delay,
            hinted_until: Timestamp::default(),
            busy_until: Timestamp::default(),
            is_service_fault: false,
            passive_rate: 0.0,
            passive_rate_updated: now,
        }
    }
}

impl ServerRecord {
    pub(crate) fn new(now: Timestamp, known: &KnownServer, watchers: Vec<HostId>) -> Self {
        Self {
            known: known.clone(),
            rendezvous_key: hash::fnv1a(known.server.as_str()),
            incarnation_since: now,
            watchers,
            path: PathHealth::default(),
            pending_requests: empty_counts(known, OutcomeSource::Request),
            pending_probes: empty_counts(known, OutcomeSource::Probe),
            verdicts: VerdictTable::default(),
            status: ServerStatus::InRotation,
            slow_start_since: None,
            watch: None,
        }
    }

    /// Applies a membership update; a new incarnation starts without evidence against it.
    pub(crate) fn update(&mut self, now: Timestamp, known: &KnownServer) {
        if known.incarnation != self.known.incarnation {
            self.incarnation_since = now;
            self.path = PathHealth::default();
            self.pending_requests = empty_counts(known, OutcomeSource::Request);
            self.pending_probes = empty_counts(known, OutcomeSource::Probe);
            if let Some(watch) = &mut self.watch {
                watch.evidence = SplitEvidence::default();
                watch.ejector.handle(&EjectorEvent::Restarted(now));
            }
        }
        self.known = known.clone();
    }

    /// Returns whether the server is expected to be slow because it started recently.
    pub(crate) fn is_warming_up(&self, now: Timestamp) -> bool {
        self.known.state == KnownState::Starting || now < self.incarnation_since + WARM_UP_TIME
    }

    /// Takes the outcomes that are not yet sent, separately for requests and probes.
    pub(crate) fn take_pending(&mut self) -> Vec<OutcomeCounts> {
        let empty = |source| empty_counts(&self.known, source);
        let requests = std::mem::replace(&mut self.pending_requests, empty(OutcomeSource::Request));
        let probes = std::mem::replace(&mut self.pending_probes, empty(OutcomeSource::Probe));
        let both = [requests, probes].into_iter();
        both.filter(|it| it.good + it.slow + it.failed + it.wrong > 0).collect()
    }

    /// Returns whether any outcome that is not yet sent is bad.
    pub(crate) fn has_bad_pending(&self) -> bool {
        [&self.pending_requests, &self.pending_probes]
            .iter()
            .any(|it| it.failed + it.wrong + it.slow > 0)
    }

    /// Returns the server's share of requests, in thousandths of a full share.
    pub(crate) fn weight(&self, now: Timestamp, median_latency: Option<f64>) -> u32 {
        if self.status == ServerStatus::Probation {
            return PROBATION_WEIGHT;
        }
        if self.known.state == KnownState::Starting {
            return STARTING_WEIGHT;
        }
        let share = self.slow_start_share(now) * self.latency_share(median_latency);
        (share * f64::from(FULL_WEIGHT)) as u32
    }

    fn slow_start_share(&self, now: Timestamp) -> f64 {
        let Some(start) = self.slow_start_since else { return 1.0 };
        let progress = now.since(start).0 as f64 / SLOW_START_WINDOW.0 as f64;
        progress.clamp(MIN_SHARE, 1.0)
    }

    fn latency_share(&self, median_latency: Option<f64>) -> f64 {
        match (median_latency, self.path.mean_latency()) {
            (Some(median), Some(mean)) if mean > 0.0 => (median / mean).clamp(MIN_SHARE, 1.0),
            _ => 1.0,
        }
    }

    /// Ends a slow start that is over; returns whether one was in progress.
    pub(crate) fn advance_slow_start(&mut self, now: Timestamp) -> bool {
        let Some(start) = self.slow_start_since else { return false };
        if now >= start + SLOW_START_WINDOW {
            self.slow_start_since = None;
        }
        true
    }
}

/// Returns counts of zero for the present incarnation of a server.
pub(crate) fn empty_counts(known: &KnownServer, source: OutcomeSource) -> OutcomeCounts {
    OutcomeCounts {
        server: known.server.clone(),
        incarnation: known.incarnation,
        source,
        good: 0,
        slow: 0,
        failed: 0,
        wrong: 0,
    }
}
