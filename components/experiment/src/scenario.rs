//! Faults and traps: what each server and path does at each instant.

use std::{fmt, str::FromStr};

use crate::deployment::{
    DATA_CENTRES, SERVERS, host_data_centre, region_of, server_data_centre, service_of,
};

/// When the fault or trap sets in, in microseconds.
pub const ONSET_US: u64 = 30_000_000;

/// How long a trap lasts, in microseconds.
const TRAP_US: u64 = 60_000_000;

/// Time between restarts of servers in the cold start trap, in microseconds.
const RESTART_INTERVAL_US: u64 = 4_000_000;

/// Time that a restarting server drains, in microseconds.
const DRAIN_US: u64 = 2_000_000;

/// Time that a restarted server is cold, in microseconds.
const COLD_US: u64 = 8_000_000;

/// Time that a restarted server says that it is starting, in microseconds.
const STARTING_US: u64 = 5_000_000;

/// Time between requests that crash a server, in microseconds.
const CRASH_INTERVAL_US: u64 = 10_000_000;

/// Time that a crashed server is down, in microseconds.
const CRASH_DOWN_US: u64 = 3_000_000;

/// A fault of one server, or a trap in which no server is sick by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Refuses connections.
    Killed,
    /// Accepts requests and never answers.
    Frozen,
    /// Four times slower.
    Slow,
    /// Fails 30% of requests.
    Failing,
    /// Fails 5% of requests.
    Degraded,
    /// Answers 20% of requests wrongly.
    Wrong,
    /// Unreachable from one data centre.
    OnePath,
    /// Down and up for 10 s each.
    FlappingFast,
    /// Down and up for 60 s each.
    FlappingSlow,
    /// Nothing but noise.
    Quiet,
    /// A whole service is four times slower.
    ServiceSlow,
    /// A service is down, and the one that depends on it fails.
    DependencyDown,
    /// A service fails 30% of requests, and so does the one that depends on it.
    DependencyFailing,
    /// Servers restart one after the other and are slow at first.
    ColdStart,
    /// All servers are at 95% load, queue and shed.
    Shedding,
    /// Two regions cannot reach each other.
    RegionCut,
    /// Half of what one entry host sends gets lost.
    BadObserver,
    /// A request crashes one server after the other.
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

/// How a server behaves towards one entry host at one instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Condition {
    /// Connections are refused.
    pub down: bool,
    /// Requests get no answer.
    pub silent: bool,
    /// Share of failed requests.
    pub failures: f64,
    /// Share of wrong answers.
    pub wrong: f64,
    /// Factor on the time of an answer.
    pub slowdown: f64,
    /// Share of shed requests.
    pub shed: f64,
    /// Mean wait for a slot, in seconds.
    pub queue_s: f64,
}

/// A server in good order: one failure in 500.
const HEALTHY: Condition = Condition {
    down: false,
    silent: false,
    failures: 0.002,
    wrong: 0.0,
    slowdown: 1.0,
    shed: 0.0,
    queue_s: 0.0,
};

/// How a server announces itself during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// Takes work.
    Serving,
    /// Takes no more work.
    Draining,
    /// Not yet warm.
    Starting,
}

impl Scenario {
    /// Whether one server is sick and is to be found.
    pub fn is_fault(self) -> bool {
        let traps_start = Scenario::Quiet as usize;
        (self as usize) < traps_start
    }

    /// How long a run takes, in microseconds.
    pub fn duration_us(self) -> u64 {
        let seconds = match self {
            Scenario::Degraded => 150,
            Scenario::Quiet | Scenario::ColdStart | Scenario::CrashingRequest => 300,
            Scenario::FlappingSlow => 200,
            _ => 90,
        };
        let after = if self.is_fault() { 0 } else { TRAP_US };
        ONSET_US + seconds * 1_000_000 + after
    }

    /// How `server` behaves towards `host` at `now_us`, when `sick` is the sick server.
    pub fn condition(self, now_us: u64, host: usize, server: usize, sick: usize) -> Condition {
        if now_us < ONSET_US {
            return HEALTHY;
        }
        let since = now_us - ONSET_US;
        if self.is_fault() {
            return if server == sick { self.fault(since, host, server) } else { HEALTHY };
        }
        self.trap(since, host, server, sick)
    }

    fn fault(self, since: u64, host: usize, server: usize) -> Condition {
        let down = Condition { down: true, ..HEALTHY };
        let flapping =
            |period: u64| if (since / period).is_multiple_of(2) { down } else { HEALTHY };
        match self {
            Scenario::Killed => down,
            Scenario::Frozen => Condition { silent: true, ..HEALTHY },
            Scenario::Slow => Condition { slowdown: 4.0, ..HEALTHY },
            Scenario::Failing => Condition { failures: 0.30, ..HEALTHY },
            Scenario::Degraded => Condition { failures: 0.05, ..HEALTHY },
            Scenario::Wrong => Condition { wrong: 0.20, ..HEALTHY },
            Scenario::OnePath if self.is_affected(host, server) => {
                Condition { silent: true, ..HEALTHY }
            }
            Scenario::FlappingFast => flapping(10_000_000),
            Scenario::FlappingSlow => flapping(60_000_000),
            _ => HEALTHY,
        }
    }

    /// Whether the sick server is sick for this host.
    pub fn is_affected(self, host: usize, server: usize) -> bool {
        self != Scenario::OnePath
            || host_data_centre(host) == (server_data_centre(server) + 1) % DATA_CENTRES
    }

    fn trap(self, since: u64, host: usize, server: usize, sick: usize) -> Condition {
        if matches!(self, Scenario::ColdStart) {
            return cold_start(since, server);
        }
        if matches!(self, Scenario::CrashingRequest) {
            let down = crashed_at(since, server).is_some();
            return Condition { down, ..HEALTHY };
        }
        if since >= TRAP_US {
            return HEALTHY;
        }
        let service = service_of(server);
        match self {
            Scenario::ServiceSlow if service == service_of(sick) => {
                Condition { slowdown: 4.0, ..HEALTHY }
            }
            Scenario::DependencyDown if service == 1 => Condition { down: true, ..HEALTHY },
            Scenario::DependencyDown if service == 2 => Condition { failures: 1.0, ..HEALTHY },
            Scenario::DependencyFailing if service == 1 || service == 2 => {
                Condition { failures: 0.30, ..HEALTHY }
            }
            Scenario::Shedding => Condition { shed: 0.2, queue_s: 0.15, ..HEALTHY },
            Scenario::RegionCut if is_cut(host_data_centre(host), server_data_centre(server)) => {
                Condition { silent: true, ..HEALTHY }
            }
            Scenario::BadObserver if host == sick % crate::deployment::HOSTS => {
                Condition { failures: 0.5, ..HEALTHY }
            }
            _ => HEALTHY,
        }
    }

    /// Whether messages between two data centres get lost.
    pub fn loses_messages(self, now_us: u64, a: usize, b: usize) -> bool {
        let cut_lasts = (ONSET_US..ONSET_US + TRAP_US).contains(&now_us);
        self == Scenario::RegionCut && cut_lasts && is_cut(a, b)
    }

    /// Whether a server is sick in truth, for all hosts, or was within the last `grace_us`.
    pub fn is_sick(self, now_us: u64, server: usize, sick: usize, grace_us: u64) -> bool {
        if now_us < ONSET_US {
            return false;
        }
        let since = now_us - ONSET_US;
        if self == Scenario::CrashingRequest {
            return crashed_at(since, server).is_some()
                || crashed_at(since.saturating_sub(grace_us), server).is_some();
        }
        self.is_fault() && self != Scenario::OnePath && server == sick
    }

    /// How a server announces itself, and how often it restarted.
    pub fn announced(self, now_us: u64, server: usize) -> (Announced, u64) {
        if now_us < ONSET_US {
            return (Announced::Serving, 0);
        }
        let since = now_us - ONSET_US;
        match self {
            Scenario::ColdStart => announced_cold(since, server),
            Scenario::CrashingRequest => (Announced::Serving, crashes_before(since, server)),
            _ => (Announced::Serving, 0),
        }
    }

    /// Whether a request that a server runs from now on crashes it.
    pub fn crashes_at(self, now_us: u64, server: usize) -> bool {
        self == Scenario::CrashingRequest
            && now_us >= ONSET_US
            && crashed_at(now_us - ONSET_US, server).is_some_and(|it| it < 100_000)
    }
}

fn is_cut(a: usize, b: usize) -> bool {
    let (a, b) = (region_of(a), region_of(b));
    (a == 0 && b == 1) || (a == 1 && b == 0)
}

fn cold_start(since: u64, server: usize) -> Condition {
    let restart = server as u64 * RESTART_INTERVAL_US + DRAIN_US;
    if since < restart || since >= restart + COLD_US {
        return HEALTHY;
    }
    Condition { slowdown: 6.0, ..HEALTHY }
}

fn announced_cold(since: u64, server: usize) -> (Announced, u64) {
    let drain = server as u64 * RESTART_INTERVAL_US;
    let restart = drain + DRAIN_US;
    if since < drain {
        (Announced::Serving, 0)
    } else if since < restart {
        (Announced::Draining, 0)
    } else if since < restart + STARTING_US {
        (Announced::Starting, 1)
    } else {
        (Announced::Serving, 1)
    }
}

/// Time since a server's present crash, if it is down.
fn crashed_at(since: u64, server: usize) -> Option<u64> {
    let crash = since / CRASH_INTERVAL_US;
    let passed = since % CRASH_INTERVAL_US;
    let victim = (crash as usize * 7) % SERVERS;
    (victim == server && passed < CRASH_DOWN_US).then_some(passed)
}

fn crashes_before(since: u64, server: usize) -> u64 {
    let restarted = |crash: &u64| {
        let victim = (*crash as usize * 7) % SERVERS;
        victim == server && since >= crash * CRASH_INTERVAL_US + CRASH_DOWN_US
    };
    (0..=since / CRASH_INTERVAL_US).filter(restarted).count() as u64
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
        let found = ALL.into_iter().find(|it| it.to_string() == text);
        found.ok_or_else(|| format!("unknown scenario {text:?}"))
    }
}
