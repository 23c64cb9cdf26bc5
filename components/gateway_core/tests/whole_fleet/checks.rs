//! What has to hold in a simulated fleet whatever is wrong with its hosts.

use std::collections::BTreeMap;

use gateway_core::{Idempotency, LimitNotice, ServerNotice};
use ids::{HostId, Incarnation, LimitRate};

use super::{
    Sent,
    servers::{Origin, PAUSE},
};

/// Window in which a server counts requests against its limit, in milliseconds.
const LIMIT_WINDOW: u64 = 4_000;

/// Milliseconds after a limit was first named from which it has to hold.
const LIMIT_SETTLING_TIME: u64 = 2_500;

/// Milliseconds after which a gateway that was told of something has to act on it.
const TOLD_AFTER: u64 = 500;

/// Milliseconds by which a pause ends early for the fastest clock of the fleet.
const MAX_CLOCK_ERROR: u64 = PAUSE / 100;

/// Requests of a gateway that a pausing server accepts before the end of the pause.
const ALLOWED_IN_PAUSE: u32 = 2;

/// Window of the retry budget, in milliseconds, and what it allows.
const RETRY_WINDOW: u64 = 10_000;
const RETRY_SLACK: usize = 48;

struct Arrival {
    at: u64,
    server: u64,
    incarnation: Incarnation,
    origin: Origin,
}

/// A time in which a server names a limit.
struct LimitedTime {
    server: u64,
    rate: LimitRate,
    from: u64,
    until: u64,
}

/// A pause that a server has asked a gateway for.
struct Pause {
    told_at: u64,
    arrived: u32,
}

/// What has happened in the fleet.
#[derive(Default)]
pub struct Checks {
    arrivals: Vec<Arrival>,
    requests: Vec<(u64, HostId)>,
    served: Vec<(u64, HostId)>,
    retries: Vec<u64>,
    attempts: BTreeMap<u64, u32>,
    runs: BTreeMap<u64, u32>,
    told_limits: Vec<(u64, Origin, Incarnation)>,
    limited: Vec<LimitedTime>,
    told_leaving: BTreeMap<(Origin, Incarnation), u64>,
    pauses: BTreeMap<(Origin, Incarnation), Pause>,
    pub violations: Vec<String>,
}

impl Checks {
    pub fn record_request(&mut self, now: u64, host: HostId) {
        self.requests.push((now, host));
    }

    pub fn record_end(&mut self, now: u64, host: HostId, is_served: bool) {
        if is_served {
            self.served.push((now, host));
        }
    }

    /// Records that a server starts to name a limit or another one, or ends to.
    pub fn record_limit(&mut self, now: u64, server: u64, rate: Option<LimitRate>) {
        if let Some(last) = self.limited.iter_mut().rev().find(|it| it.server == server) {
            last.until = last.until.min(now);
        }
        let new = rate.map(|rate| LimitedTime { server, rate, from: now, until: u64::MAX });
        self.limited.extend(new);
    }

    pub fn record_arrival(
        &mut self,
        now: u64,
        server: u64,
        origin: Origin,
        sent: Sent,
        incarnation: Incarnation,
    ) {
        self.arrivals.push(Arrival { at: now, server, incarnation, origin });
        let attempts = self.attempts.entry(sent.number).or_default();
        *attempts += 1;
        if *attempts > 1 {
            self.retries.push(now);
        }
        let key = (origin, incarnation);
        if let Some(told_at) = self.told_leaving.get(&key) {
            self.violations.push(format!(
                "{now} ms: server {server} gets a request of {origin:?}, told at {told_at} that it leaves"
            ));
        }
        if let Some(pause) = self.pauses.get_mut(&key)
            && (pause.told_at + TOLD_AFTER..pause.told_at + PAUSE - MAX_CLOCK_ERROR).contains(&now)
        {
            pause.arrived += 1;
            if pause.arrived > ALLOWED_IN_PAUSE {
                self.violations.push(format!(
                    "{now} ms: server {server} gets a request of {origin:?} in a pause from {} ms",
                    pause.told_at
                ));
            }
        }
    }

    pub fn record_run(&mut self, now: u64, sent: Sent) {
        let runs = self.runs.entry(sent.number).or_default();
        *runs += 1;
        if *runs > 1 && sent.idempotency == Idempotency::NonIdempotent {
            self.violations.push(format!("{now} ms: request {} has run {runs} times", sent.number));
        }
    }

    /// Records what a response has told a gateway's process.
    pub fn record_notice(
        &mut self,
        now: u64,
        origin: Origin,
        incarnation: Incarnation,
        notice: &ServerNotice,
    ) {
        let key = (origin, incarnation);
        if notice.is_leaving {
            self.told_leaving.entry(key).or_insert(now);
        }
        if matches!(notice.limit, LimitNotice::Limited(_)) {
            self.told_limits.push((now, origin, incarnation));
        }
        if notice.pause.is_some() {
            let pause = self.pauses.entry(key).or_insert(Pause { told_at: now, arrived: 0 });
            if now >= pause.told_at + PAUSE {
                *pause = Pause { told_at: now, arrived: 0 };
            }
        }
    }

    /// Checks the limits of servers and the retry budget over the whole time.
    pub fn check_windows(&mut self) {
        self.check_limits();
        self.check_retries();
    }

    fn check_limits(&mut self) {
        for limited in &self.limited {
            let time = limited.from..limited.until;
            let at_server = || {
                self.arrivals
                    .iter()
                    .filter(|it| it.server == limited.server && time.contains(&it.at))
            };
            let Some(named_at) = at_server().next().map(|it| it.at) else { continue };
            let counted: Vec<u64> = at_server()
                .filter(|it| it.at >= named_at + LIMIT_SETTLING_TIME)
                .filter(|it| {
                    self.told_limits.iter().any(|(told_at, origin, incarnation)| {
                        (*origin, *incarnation) == (it.origin, it.incarnation)
                            && *told_at >= limited.from
                            && told_at + TOLD_AFTER <= it.at
                    })
                })
                .map(|it| it.at)
                .collect();
            let allowed = (limited.rate.0 * LIMIT_WINDOW * 3 / 2 / 1_000_000) as usize + 5;
            for start in &counted {
                let window = *start..*start + LIMIT_WINDOW;
                let count = counted.iter().filter(|it| window.contains(it)).count();
                if count > allowed {
                    self.violations.push(format!(
                        "{start} ms: server {} with a limit of {} a second gets {count} in 4 s, {allowed} allowed",
                        limited.server, limited.rate
                    ));
                    break;
                }
            }
        }
    }

    fn check_retries(&mut self) {
        let requests: Vec<u64> = self.requests.iter().map(|(at, _)| *at).collect();
        let in_window = |times: &[u64], from: u64| {
            times.iter().filter(|it| (from..from + RETRY_WINDOW).contains(*it)).count()
        };
        for start in &self.retries {
            let offsets = [0, RETRY_WINDOW / 2, RETRY_WINDOW];
            let most = offsets.map(|it| in_window(&requests, start.saturating_sub(it)));
            let most = most.into_iter().max().unwrap_or_default();
            let retries = in_window(&self.retries, *start);
            if retries * 5 > most + RETRY_SLACK * 5 {
                self.violations.push(format!("{start} ms: {retries} retries for {most} requests"));
                break;
            }
        }
    }

    /// Returns the share of a gateway's requests that were served in a time.
    pub fn served_share(&self, host: HostId, from: u64, until: u64) -> f64 {
        let count = |events: &[(u64, HostId)]| {
            let at_host =
                events.iter().filter(|(at, it)| *it == host && (from..until).contains(at));
            at_host.count() as f64
        };
        count(&self.served) / count(&self.requests).max(1.0)
    }

    /// Returns the number of requests that arrived at a server in a time.
    pub fn arrived(&self, server: u64, from: u64, until: u64) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|it| it.server == server && (from..until).contains(&it.at)).count()
    }
}
