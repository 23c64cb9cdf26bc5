//! Tells whether this gateway's own paths to the backend servers are down.
//!
//! Load patterns:
//!
//! - *This gateway is cut off from all servers* while callers and other gateways still reach it. Its new
//!   connections to one server after the other fail. Its requests go through other gateways; see
//!   [`relays`].
//! - *A few servers are down.* New connections to others succeed in between, which clears the evidence.
//! - *All servers are down.* The evidence is the same. Other gateways can't help either, so that requests
//!   are sent as if the paths were up.
//! - *The paths come back.* Connections without a request are tried first, then single requests, and two
//!   servers have to respond.
//!
//! Only new connections are evidence: those that were open before may live on while new ones fail, or
//! die while new ones succeed.

pub(crate) mod relays;

use ids::{FastMap, Millis, Timestamp};

use crate::servers::ServerKey;

/// Weight of a server to which no connection could be opened.
const UNREACHABLE_WEIGHT: u32 = 4;

/// Weight of a server whose connection broke or that did not respond in time, which also happens to
/// servers in trouble.
const BROKEN_WEIGHT: u32 = 3;

/// Sum of the weights of different servers from which the paths are down.
const DOWN_WEIGHT: u32 = 9;

/// Number of different servers that failed from which the paths are doubtful.
const DOUBTFUL_SERVERS: usize = 2;

/// Age at which a failure is no evidence any more.
const EVIDENCE_LIFETIME: Millis = Millis(5_000);

/// Number of different servers that have to respond before the paths are up again.
const REACHED_SERVERS: usize = 2;

/// Time between two connections that are tried while the paths are down.
const PROBE_INTERVAL: Millis = Millis(500);

/// Time after a successful probe during which only idempotent requests test the path. Others do so
/// when there are none.
const IDEMPOTENT_TEST_TIME: Millis = Millis(3_000);

/// Time without a response after which a request that tests the path has failed.
const TEST_TIMEOUT: Millis = Millis(1_000);

/// Longest time between a request that failed to test the path and the next connection; the time
/// doubles with each failure.
const MAX_TEST_BACKOFF: Millis = Millis(1_500);

/// What happened on a new connection to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathOutcome {
    /// The server responded.
    Reached,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before a response, or none came in time.
    Broken,
    /// A connection without a request was opened.
    Connected,
}

/// A change of the state of the paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathChange {
    /// So many servers in a row could not be reached.
    Down(usize),
    /// Servers respond again, after this time.
    Up(Millis),
}

/// The state while the paths are down.
#[derive(Debug)]
struct Down {
    since: Timestamp,
    next_probe: Timestamp,
    /// When a probe first succeeded, unless a request has failed since.
    connected_at: Option<Timestamp>,
    /// Until when the request that tests the path may take.
    test_until: Option<Timestamp>,
    /// Time until the next probe after a request has failed.
    backoff: Millis,
    reached: Vec<ServerKey>,
}

/// The state of this gateway's paths to all backend servers.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    /// Servers that failed since one was last reached: when, and the weight.
    failed: FastMap<ServerKey, (Timestamp, u32)>,
    down: Option<Down>,
}

impl Down {
    fn record_failure(&mut self, now: Timestamp) {
        if self.test_until.take().is_some() {
            self.backoff = Millis(self.backoff.0 * 2).min(MAX_TEST_BACKOFF);
            self.next_probe = now + self.backoff;
        }
        self.connected_at = None;
        self.reached.clear();
    }
}

impl Paths {
    /// Returns whether the paths are down.
    pub(crate) fn are_down(&self) -> bool {
        self.down.is_some()
    }

    /// Returns whether failures may be due to this gateway's paths rather than to the servers.
    pub(crate) fn are_doubtful(&self, now: Timestamp) -> bool {
        self.are_down() || self.failures(now).0 >= DOUBTFUL_SERVERS
    }

    /// Records what happened on a new connection.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        outcome: PathOutcome,
    ) -> Option<PathChange> {
        let weight = match outcome {
            PathOutcome::Reached => return self.record_reached(now, key),
            PathOutcome::Connected => {
                if let Some(down) = &mut self.down {
                    down.connected_at.get_or_insert(now);
                }
                return None;
            }
            PathOutcome::Unreachable => UNREACHABLE_WEIGHT,
            PathOutcome::Broken => BROKEN_WEIGHT,
        };
        if let Some(down) = &mut self.down {
            down.record_failure(now);
            return None;
        }
        let lifetime = |at: &Timestamp| now.since(*at) < EVIDENCE_LIFETIME;
        self.failed.retain(|_, (at, _)| lifetime(at));
        let entry = self.failed.entry(key).or_insert((now, weight));
        *entry = (now, entry.1.max(weight));
        let (servers, sum) = self.failures(now);
        if sum < DOWN_WEIGHT {
            return None;
        }
        self.failed.clear();
        self.down = Some(Down {
            since: now,
            next_probe: now + PROBE_INTERVAL,
            connected_at: None,
            test_until: None,
            backoff: PROBE_INTERVAL,
            reached: Vec::new(),
        });
        Some(PathChange::Down(servers))
    }

    fn record_reached(&mut self, now: Timestamp, key: ServerKey) -> Option<PathChange> {
        self.failed.clear();
        let down = self.down.as_mut()?;
        down.test_until = None;
        down.connected_at.get_or_insert(now);
        if !down.reached.contains(&key) {
            down.reached.push(key);
        }
        if down.reached.len() < REACHED_SERVERS {
            return None;
        }
        let change = PathChange::Up(now.since(down.since));
        self.down = None;
        Some(change)
    }

    /// Returns whether a request should test the paths, which are down; it is then sent directly. One
    /// request at a time does so, since connections may open on paths on which no response arrives.
    pub(crate) fn take_test(&mut self, now: Timestamp, is_idempotent: bool) -> bool {
        let Some(down) = &mut self.down else { return false };
        let Some(connected_at) = down.connected_at else { return false };
        match down.test_until {
            Some(until) if now >= until => {
                down.record_failure(now);
                return false;
            }
            Some(_) => return false,
            None => {}
        }
        let may_test = is_idempotent || now >= connected_at + IDEMPOTENT_TEST_TIME;
        if may_test {
            down.test_until = Some(now + TEST_TIMEOUT);
        }
        may_test
    }

    /// Returns whether a connection without a request should be tried now; `random` is from 0 to 1.
    pub(crate) fn take_probe(&mut self, now: Timestamp, random: f64) -> bool {
        let Some(down) = &mut self.down else { return false };
        if now < down.next_probe || down.connected_at.is_some() {
            return false;
        }
        let spread = PROBE_INTERVAL.0 as f64 * random / 2.0;
        down.next_probe = now + Millis(PROBE_INTERVAL.0 + spread as u64);
        true
    }

    /// Returns the number of servers that failed recently, and the sum of their weights.
    fn failures(&self, now: Timestamp) -> (usize, u32) {
        let recent = self.failed.values().filter(|(at, _)| now.since(*at) < EVIDENCE_LIFETIME);
        recent.fold((0, 0), |(servers, sum), (_, weight)| (servers + 1, sum + weight))
    }
}
