//! Scenarios: how servers behave towards each entry host over the time of a run.
//!
//! A fault makes one server faulty, which a detector should notice. A disturbance causes failures
//! without a single faulty server, and tempts detectors into false ejections.

use std::{fmt, str::FromStr};

use crate::deployment::{
    DATA_CENTRES, SERVERS, host_data_centre, region_of, server_data_centre, service_of,
};

/// Time at which the fault or disturbance begins, in microseconds since the start of the run.
pub const ONSET_US: u64 = 30_000_000;

/// Duration of a disturbance, in microseconds.
const DISTURBANCE_US: u64 = 60_000_000;

/// Interval between the restarts of servers in [`Scenario::ColdStart`], in microseconds.
const RESTART_INTERVAL_US: u64 = 4_000_000;

/// Time that a server drains before its restart, in microseconds.
const DRAIN_US: u64 = 2_000_000;

/// Time that a restarted server is slow, in microseconds.
const COLD_US: u64 = 8_000_000;

/// Time that a restarted server announces itself as starting, in microseconds.
const STARTING_US: u64 = 5_000_000;

/// Interval between requests that crash a server, in microseconds.
const CRASH_INTERVAL_US: u64 = 10_000_000;

/// Time that a crashed server is down, in microseconds.
const CRASH_DOWN_US: u64 = 3_000_000;

/// A fault of one server, or a disturbance. The faults come first, and [`Scenario::Quiet`] is the
/// first disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Refuses connections.
    Killed,
    /// Accepts requests and never responds.
    Frozen,
    /// Four times slower.
    Slow,
    /// Fails 30% of requests.
    Failing,
    /// Fails 5% of requests.
    Degraded,
    /// Gives a wrong response to 20% of requests.
    Wrong,
    /// Unreachable from one data centre.
    OnePath,
    /// Alternates between 10 s down and 10 s up.
    FlappingFast,
    /// Alternates between 60 s down and 60 s up.
    FlappingSlow,
    /// Only the background failures of healthy servers.
    Quiet,
    /// A whole service is four times slower.
    ServiceSlow,
    /// A service is down, and the one that depends on it fails.
    DependencyDown,
    /// A service fails 30% of requests, and so does the one that depends on it.
    DependencyFailing,
    /// Servers restart one after another and are slow at first.
    ColdStart,
    /// All servers run at 95% load: requests queue, and some are shed.
    Shedding,
    /// Two regions cannot reach each other.
    RegionCut,
    /// Half of the requests of one entry host fail.
    BadObserver,
    /// A request crashes one server after another.
    CrashingRequest,
}

/// All scenarios, faults first.
pub const ALL: [Scenario; 18] = [
    Scenario::Killed,
    Scenario::Frozen,
    Scenario::Slow,
    Scenario::Failing,
    Scenario::Degraded,
    Scenario::Wrong,
    Scenario::OnePath,
    Scenario::FlappingFast,
    Scenario::FlappingSlow,
    Scenario::Quiet,
    Scenario::ServiceSlow,
    Scenario::DependencyDown,
    Scenario::DependencyFailing,
    Scenario::ColdStart,
    Scenario::Shedding,
    Scenario::RegionCut,
    Scenario::BadObserver,
    Scenario::CrashingRequest,
];

/// Behaviour of a server towards one entry host at one instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Condition {
    /// Connections are refused.
    pub down: bool,
    /// Requests get no response.
    pub unresponsive: bool,
    /// Share of failed requests.
    pub failure_share: f64,
    /// Share of wrong responses.
    pub wrong_share: f64,
    /// Factor on the service time.
    pub slowdown: f64,
    /// Share of shed requests.
    pub shed_share: f64,
    /// Mean time in the queue for a slot, in seconds.
    pub queue_s: f64,
}

/// Condition of a healthy server, which fails one request in 500.
const HEALTHY: Condition = Condition {
    down: false,
    unresponsive: false,
    failure_share: 0.002,
    wrong_share: 0.0,
    slowdown: 1.0,
    shed_share: 0.0,
    queue_s: 0.0,
};

/// State that a server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Takes requests.
    Serving,
    /// Takes no new requests.
    Draining,
    /// Warming up.
    Starting,
}

impl Scenario {
    /// Returns whether this is a fault rather than a disturbance.
    pub fn is_fault(self) -> bool {
        let first_disturbance = Scenario::Quiet as usize;
        (self as usize) < first_disturbance
    }

    /// Returns the duration of a run, in microseconds.
    pub fn duration_us(self) -> u64 {
        let seconds = match self {
            Scenario::Degraded => 150,
            Scenario::Quiet | Scenario::ColdStart | Scenario::CrashingRequest => 300,
            Scenario::FlappingSlow => 200,
            _ => 90,
        };
        let disturbance = if self.is_fault() { 0 } else { DISTURBANCE_US };
        ONSET_US + seconds * 1_000_000 + disturbance
    }

    /// Returns the condition of `server` towards `host` at `now_us`.
    ///
    /// `target` is the server that a fault affects; some disturbances derive the affected service
    /// or host from it.
    pub fn condition(self, now_us: u64, host: usize, server: usize, target: usize) -> Condition {
        if now_us < ONSET_US {
            return HEALTHY;
        }
        let elapsed_us = now_us - ONSET_US;
        if self.is_fault() {
            return if server == target {
                self.fault_condition(elapsed_us, host, server)
            } else {
                HEALTHY
            };
        }
        self.disturbance_condition(elapsed_us, host, server, target)
    }

    fn fault_condition(self, elapsed_us: u64, host: usize, server: usize) -> Condition {
        let down = Condition { down: true, ..HEALTHY };
        let flapping = |half_period_us: u64| {
            if (elapsed_us / half_period_us).is_multiple_of(2) { down } else { HEALTHY }
        };
        match self {
            Scenario::Killed => down,
            Scenario::Frozen => Condition { unresponsive: true, ..HEALTHY },
            Scenario::Slow => Condition { slowdown: 4.0, ..HEALTHY },
            Scenario::Failing => Condition { failure_share: 0.30, ..HEALTHY },
            Scenario::Degraded => Condition { failure_share: 0.05, ..HEALTHY },
            Scenario::Wrong => Condition { wrong_share: 0.20, ..HEALTHY },
            Scenario::OnePath if self.is_affected(host, server) => {
                Condition { unresponsive: true, ..HEALTHY }
            }
            Scenario::FlappingFast => flapping(10_000_000),
            Scenario::FlappingSlow => flapping(60_000_000),
            _ => HEALTHY,
        }
    }

    /// Returns whether a fault of `server` affects `host`.
    pub fn is_affected(self, host: usize, server: usize) -> bool {
        self != Scenario::OnePath
            || host_data_centre(host) == (server_data_centre(server) + 1) % DATA_CENTRES
    }

    fn disturbance_condition(
        self,
        elapsed_us: u64,
        host: usize,
        server: usize,
        target: usize,
    ) -> Condition {
        if matches!(self, Scenario::ColdStart) {
            return cold_start_condition(elapsed_us, server);
        }
        if matches!(self, Scenario::CrashingRequest) {
            let down = time_since_crash(elapsed_us, server).is_some();
            return Condition { down, ..HEALTHY };
        }
        if elapsed_us >= DISTURBANCE_US {
            return HEALTHY;
        }
        let service = service_of(server);
        match self {
            Scenario::ServiceSlow if service == service_of(target) => {
                Condition { slowdown: 4.0, ..HEALTHY }
            }
            Scenario::DependencyDown if service == 1 => Condition { down: true, ..HEALTHY },
            Scenario::DependencyDown if service == 2 => Condition { failure_share: 1.0, ..HEALTHY },
            Scenario::DependencyFailing if service == 1 || service == 2 => {
                Condition { failure_share: 0.30, ..HEALTHY }
            }
            Scenario::Shedding => Condition { shed_share: 0.2, queue_s: 0.15, ..HEALTHY },
            Scenario::RegionCut
                if is_partitioned(host_data_centre(host), server_data_centre(server)) =>
            {
                Condition { unresponsive: true, ..HEALTHY }
            }
            Scenario::BadObserver if host == target % crate::deployment::HOSTS => {
                Condition { failure_share: 0.5, ..HEALTHY }
            }
            _ => HEALTHY,
        }
    }

    /// Returns whether messages between two data centres are lost.
    pub fn loses_messages(self, now_us: u64, a: usize, b: usize) -> bool {
        let is_partition_active = (ONSET_US..ONSET_US + DISTURBANCE_US).contains(&now_us);
        self == Scenario::RegionCut && is_partition_active && is_partitioned(a, b)
    }

    /// Returns whether a server is in fact faulty towards all hosts. A crashed server still counts
    /// as faulty for `grace_us` after it is up again.
    pub fn is_faulty(self, now_us: u64, server: usize, target: usize, grace_us: u64) -> bool {
        if now_us < ONSET_US {
            return false;
        }
        let elapsed_us = now_us - ONSET_US;
        if self == Scenario::CrashingRequest {
            return time_since_crash(elapsed_us, server).is_some()
                || time_since_crash(elapsed_us.saturating_sub(grace_us), server).is_some();
        }
        self.is_fault() && self != Scenario::OnePath && server == target
    }

    /// Returns the state that a server announces, and how often it has restarted.
    pub fn announced_state(self, now_us: u64, server: usize) -> (AnnouncedState, u64) {
        if now_us < ONSET_US {
            return (AnnouncedState::Serving, 0);
        }
        let elapsed_us = now_us - ONSET_US;
        match self {
            Scenario::ColdStart => cold_start_announcement(elapsed_us, server),
            Scenario::CrashingRequest => {
                (AnnouncedState::Serving, count_restarts(elapsed_us, server))
            }
            _ => (AnnouncedState::Serving, 0),
        }
    }

    /// Returns whether a request to this server that ends now counts as the cause of its crash.
    /// Every request that ends within 100 ms after the crash does.
    pub fn is_crashed_by_request(self, now_us: u64, server: usize) -> bool {
        self == Scenario::CrashingRequest
            && now_us >= ONSET_US
            && time_since_crash(now_us - ONSET_US, server).is_some_and(|it| it < 100_000)
    }
}

/// Returns whether two data centres cannot reach each other in [`Scenario::RegionCut`].
fn is_partitioned(a: usize, b: usize) -> bool {
    let (a, b) = (region_of(a), region_of(b));
    (a == 0 && b == 1) || (a == 1 && b == 0)
}

fn cold_start_condition(elapsed_us: u64, server: usize) -> Condition {
    let restart = server as u64 * RESTART_INTERVAL_US + DRAIN_US;
    if elapsed_us < restart || elapsed_us >= restart + COLD_US {
        return HEALTHY;
    }
    Condition { slowdown: 6.0, ..HEALTHY }
}

fn cold_start_announcement(elapsed_us: u64, server: usize) -> (AnnouncedState, u64) {
    let drain = server as u64 * RESTART_INTERVAL_US;
    let restart = drain + DRAIN_US;
    if elapsed_us < drain {
        (AnnouncedState::Serving, 0)
    } else if elapsed_us < restart {
        (AnnouncedState::Draining, 0)
    } else if elapsed_us < restart + STARTING_US {
        (AnnouncedState::Starting, 1)
    } else {
        (AnnouncedState::Serving, 1)
    }
}

/// Returns the time since the crash of a server, in microseconds, if it is down.
fn time_since_crash(elapsed_us: u64, server: usize) -> Option<u64> {
    let crash = elapsed_us / CRASH_INTERVAL_US;
    let since_crash = elapsed_us % CRASH_INTERVAL_US;
    let victim = (crash as usize * 7) % SERVERS;
    (victim == server && since_crash < CRASH_DOWN_US).then_some(since_crash)
}

/// Returns how often a server has restarted after a crash.
fn count_restarts(elapsed_us: u64, server: usize) -> u64 {
    let has_restarted = |crash: &u64| {
        let victim = (*crash as usize * 7) % SERVERS;
        victim == server && elapsed_us >= crash * CRASH_INTERVAL_US + CRASH_DOWN_US
    };
    (0..=elapsed_us / CRASH_INTERVAL_US).filter(has_restarted).count() as u64
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Scenario::Killed => "killed",
            Scenario::Frozen => "frozen",
            Scenario::Slow => "4x-slow",
            Scenario::Failing => "30%-failures",
            Scenario::Degraded => "5%-failures",
            Scenario::Wrong => "wrong-answers",
            Scenario::OnePath => "one-path",
            Scenario::FlappingFast => "flapping-10s",
            Scenario::FlappingSlow => "flapping-60s",
            Scenario::Quiet => "quiet",
            Scenario::ServiceSlow => "service-slow",
            Scenario::DependencyDown => "dependency-down",
            Scenario::DependencyFailing => "dependency-30%",
            Scenario::ColdStart => "cold-start",
            Scenario::Shedding => "shedding-95%",
            Scenario::RegionCut => "region-cut",
            Scenario::BadObserver => "bad-observer",
            Scenario::CrashingRequest => "crashing-request",
        })
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let scenario = ALL.into_iter().find(|it| it.to_string() == text);
        scenario.ok_or_else(|| format!("unknown scenario {text:?}"))
    }
}
