//! What this host holds of one backend server.

use ids::{HostId, Millis, ServerId, Timestamp};
use schema::health::{OutcomeCounts, OutcomeSource};
use statig::prelude::*;

use crate::{
    evidence::SplitEvidence,
    hash,
    judge::{Judge, JudgeEvent},
    path::PathState,
    rotation::{FULL_WEIGHT, PROBATION_WEIGHT, STARTING_WEIGHT},
    types::{KnownServer, KnownState, ServerStatus, Settings},
    verdicts::VerdictTable,
};

/// Time between a watcher's probes of a server without enough other evidence.
pub(crate) const PROBE_INTERVAL: Millis = Millis(1_000);

/// Time in which a newly started server is expected to be slow.
const WARM_UP: Millis = Millis(10_000);

/// Time over which a server that comes back gets its full share.
const SLOW_START: Millis = Millis(20_000);

/// A server on this host.
pub(crate) struct ServerRecord {
    pub(crate) known: KnownServer,
    /// The server's key in the choice of watchers.
    pub(crate) key: u64,
    pub(crate) started: Timestamp,
    pub(crate) watchers: Vec<HostId>,
    pub(crate) path: PathState,
    /// Outcomes of requests that are not yet sent.
    pub(crate) pending_requests: OutcomeCounts,
    /// Outcomes of probes that are not yet sent.
    pub(crate) pending_probes: OutcomeCounts,
    pub(crate) verdicts: VerdictTable,
    pub(crate) status: ServerStatus,
    pub(crate) slow_start: Option<Timestamp>,
    pub(crate) watch: Option<Watch>,
}

/// What a watcher holds besides.
pub(crate) struct Watch {
    pub(crate) evidence: SplitEvidence,
    pub(crate) judge: StateMachine<Judge>,
    pub(crate) next_probe: Timestamp,
    pub(crate) hinted_until: Timestamp,
    pub(crate) busy_until: Timestamp,
    /// Whether the service as a whole explains the evidence.
    pub(crate) excused: bool,
    /// Passive observations a second, a moving average.
    pub(crate) passive_rate: f64,
    pub(crate) rate_updated: Timestamp,
}

impl Watch {
    pub(crate) fn new(now: Timestamp, server: &ServerId, settings: &Settings) -> Self {
        let spread = hash::mix(settings.seed ^ hash::text(server.as_str()));
        let delay = Millis(spread % PROBE_INTERVAL.0);
        Self {
            evidence: SplitEvidence::default(),
            judge: Judge::default().state_machine(),
            next_probe: now + delay,
            hinted_until: Timestamp::default(),
            busy_until: Timestamp::default(),
            excused: false,
            passive_rate: 0.0,
            rate_updated: now,
        }
    }
}

impl ServerRecord {
    pub(crate) fn new(now: Timestamp, known: &KnownServer, watchers: Vec<HostId>) -> Self {
        Self {
            known: known.clone(),
            key: hash::text(known.server.as_str()),
            started: now,
            watchers,
            path: PathState::default(),
            pending_requests: no_outcomes(known, OutcomeSource::Request),
            pending_probes: no_outcomes(known, OutcomeSource::Probe),
            verdicts: VerdictTable::default(),
            status: ServerStatus::InRotation,
            slow_start: None,
            watch: None,
        }
    }

    /// Follows the membership; a new incarnation starts with a clean record.
    pub(crate) fn update(&mut self, now: Timestamp, known: &KnownServer) {
        if known.incarnation != self.known.incarnation {
            self.started = now;
            self.path = PathState::default();
            self.pending_requests = no_outcomes(known, OutcomeSource::Request);
            self.pending_probes = no_outcomes(known, OutcomeSource::Probe);
            if let Some(watch) = &mut self.watch {
                watch.evidence = SplitEvidence::default();
                watch.judge.handle(&JudgeEvent::Restarted(now));
            }
        }
        self.known = known.clone();
    }

    /// Whether the server is expected to be slow because it started just now.
    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.known.state == KnownState::Starting || now < self.started + WARM_UP
    }

    /// Takes the outcomes that are not yet sent, those of requests and those of probes.
    pub(crate) fn take_pending(&mut self) -> Vec<OutcomeCounts> {
        let none = |source| no_outcomes(&self.known, source);
        let requests = std::mem::replace(&mut self.pending_requests, none(OutcomeSource::Request));
        let probes = std::mem::replace(&mut self.pending_probes, none(OutcomeSource::Probe));
        let all = [requests, probes].into_iter();
        all.filter(|it| it.good + it.slow + it.failed + it.wrong > 0).collect()
    }

    /// Whether an outcome that is not yet sent speaks against the server.
    pub(crate) fn has_bad_pending(&self) -> bool {
        [&self.pending_requests, &self.pending_probes]
            .iter()
            .any(|it| it.failed + it.wrong + it.slow > 0)
    }

    /// The server's share of the work, in thousandths.
    pub(crate) fn weight(&self, now: Timestamp, usual_latency: Option<f64>) -> u32 {
        if self.status == ServerStatus::Probation {
            return PROBATION_WEIGHT;
        }
        if self.known.state == KnownState::Starting {
            return STARTING_WEIGHT;
        }
        let share = self.slow_start_share(now) * self.latency_share(usual_latency);
        (share * f64::from(FULL_WEIGHT)) as u32
    }

    fn slow_start_share(&self, now: Timestamp) -> f64 {
        let Some(start) = self.slow_start else { return 1.0 };
        let passed = now.since(start).0 as f64 / SLOW_START.0 as f64;
        passed.clamp(0.1, 1.0)
    }

    fn latency_share(&self, usual_latency: Option<f64>) -> f64 {
        match (usual_latency, self.path.mean_latency()) {
            (Some(usual), Some(mean)) if mean > 0.0 => (usual / mean).clamp(0.1, 1.0),
            _ => 1.0,
        }
    }

    /// Ends a slow start that is over; says whether one runs or just ended.
    pub(crate) fn advance_slow_start(&mut self, now: Timestamp) -> bool {
        let Some(start) = self.slow_start else { return false };
        if now >= start + SLOW_START {
            self.slow_start = None;
        }
        true
    }
}

/// Empty counts for the present incarnation of a server.
pub(crate) fn no_outcomes(known: &KnownServer, source: OutcomeSource) -> OutcomeCounts {
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
