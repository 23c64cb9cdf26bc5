//! A request that crashes servers crashes at most two of them, if it is resent only after its first
//! strike has reached all entry hosts.

mod common;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use common::at;
use ids::{Fingerprint, HostId, Incarnation, Millis, RequestId, ServerId, Timestamp};
use limits::quarantine::{
    FingerprintState, Quarantine, QuarantineAction, QuarantineDecision, RunEnd,
};
use schema::limits::LimitsMessage;

const CASES: u64 = 300;
const CASE_BYTES: u64 = 16_384;

const HOSTS: u32 = 12;
const SERVERS: u32 = 12;

/// Requests with the crashing fingerprint: the first one and its resends.
const REQUESTS: u64 = 50;

/// Longest delay of a message between entry hosts.
const MAX_DELAY_MS: u64 = 30;

/// Longest time that an attempt may take.
const ATTEMPT_TIME: Millis = Millis(1_000);

/// Start of the resends, when the first run has crashed and its strike has reached all hosts.
const RESENDS_FROM_MS: u64 = 1_000 + MAX_DELAY_MS;

const CRASHING_REQUEST: &[u8] = b"crasher";

fn crashing_fingerprint() -> Fingerprint {
    Fingerprint::of(CRASHING_REQUEST)
}

fn server(number: u32) -> ServerId {
    format!("server-{number}").parse().unwrap()
}

fn hosts() -> Vec<HostId> {
    (0..HOSTS).map(HostId).collect()
}

#[derive(Debug, Clone)]
enum Event {
    Arrive { host: HostId },
    Deliver { from: HostId, to: HostId, message: LimitsMessage },
    RunEnds { host: HostId, request: RequestId, server: ServerId, end: RunEnd },
    Tick { host: HostId },
}

/// A simulation of entry hosts, servers that the request crashes, and a network that delays and
/// duplicates messages.
struct Fleet {
    now: Timestamp,
    hosts: BTreeMap<HostId, Quarantine>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    next_request: u64,
    crashes: u32,
    decided: u64,
    /// Whether messages other than strikes may be lost.
    lossy: bool,
}

impl Fleet {
    fn new(lossy: bool) -> Self {
        let quarantine = |host| {
            let mut quarantine = Quarantine::new(at(0), host, Incarnation(1));
            quarantine.set_hosts(at(0), &hosts());
            (host, quarantine)
        };
        Self {
            // Coordinators that started less than `MAX_LEASE` ago block leases of fingerprints that
            // they learn of in queries.
            now: at(100_000),
            hosts: hosts().into_iter().map(quarantine).collect(),
            events: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
            crashes: 0,
            decided: 0,
            lossy,
        }
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.events.insert((self.now + delay, self.next_event), event);
        self.next_event += 1;
    }

    fn run(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        while let Some((key, event)) = self.events.pop_first() {
            self.now = key.0;
            self.step(u, event)?;
        }
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>, event: Event) -> Result<()> {
        let now = self.now;
        match event {
            Event::Arrive { host } => self.arrive(u, host),
            Event::Deliver { from, to, message } => {
                let actions = self.hosts.get_mut(&to).unwrap().handle(now, from, message);
                self.apply(u, to, actions)
            }
            Event::RunEnds { host, request, server, end } => {
                self.crashes += u32::from(end == RunEnd::ConnectionLost);
                self.decided += 1;
                let quarantine = self.hosts.get_mut(&host).unwrap();
                let finished =
                    quarantine.finished(now, request, crashing_fingerprint(), &server, end);
                assert_eq!(finished.counts_for_health, end != RunEnd::ConnectionLost);
                self.apply(u, host, finished.actions)
            }
            Event::Tick { host } => {
                let actions = self.hosts.get_mut(&host).unwrap().tick(now);
                self.apply(u, host, actions)
            }
        }
    }

    fn arrive(&mut self, u: &mut Unstructured<'_>, host: HostId) -> Result<()> {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let quarantine = self.hosts.get_mut(&host).unwrap();
        let (decision, actions) =
            quarantine.check(self.now, request, crashing_fingerprint(), ATTEMPT_TIME);
        match decision {
            QuarantineDecision::Allowed => self.start(u, host, request, ATTEMPT_TIME)?,
            QuarantineDecision::Wait => {}
            QuarantineDecision::Refused(refusal) => {
                assert!(refusal.retry_after > Millis(0));
                self.decided += 1;
            }
        }
        self.apply(u, host, actions)
    }

    /// Starts a run that crashes its server, or is cancelled or shed before; the first one crashes.
    fn start(
        &mut self,
        u: &mut Unstructured<'_>,
        host: HostId,
        request: RequestId,
        longest: Millis,
    ) -> Result<()> {
        let server = server(u.int_in_range(0..=SERVERS - 1)?);
        let crashes = request == RequestId(0) || u.ratio(4, 5)?;
        let end = if crashes { RunEnd::ConnectionLost } else { RunEnd::Other };
        let took = Millis(u.int_in_range(0..=longest.0)?);
        self.schedule(took, Event::RunEnds { host, request, server, end });
        Ok(())
    }

    fn apply(
        &mut self,
        u: &mut Unstructured<'_>,
        host: HostId,
        actions: Vec<QuarantineAction>,
    ) -> Result<()> {
        for action in actions {
            match action {
                QuarantineAction::Send { to, message } => self.send(u, host, to, message)?,
                QuarantineAction::Permit { request, until } => {
                    self.start(u, host, request, until.since(self.now))?;
                }
                QuarantineAction::Refuse { .. } => self.decided += 1,
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        u: &mut Unstructured<'_>,
        from: HostId,
        to: HostId,
        message: LimitsMessage,
    ) -> Result<()> {
        let strike = matches!(message, LimitsMessage::Strike(_));
        if self.lossy && !strike && u.ratio(1, 4)? {
            return Ok(());
        }
        let copies = if u.ratio(1, 10)? { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Millis(u.int_in_range(0..=MAX_DELAY_MS)?);
            self.schedule(delay, Event::Deliver { from, to, message: message.clone() });
        }
        Ok(())
    }
}

/// Simulates one request, and resends through random hosts at random times within `window`.
fn simulate(u: &mut Unstructured<'_>, lossy: bool, window: Millis) -> Result<Fleet> {
    let mut fleet = Fleet::new(lossy);
    fleet.schedule(Millis(0), Event::Arrive { host: HostId(u.int_in_range(0..=HOSTS - 1)?) });
    for _ in 1..REQUESTS {
        let host = HostId(u.int_in_range(0..=HOSTS - 1)?);
        let delay = Millis(RESENDS_FROM_MS + u.int_in_range(0..=window.0)?);
        fleet.schedule(delay, Event::Arrive { host });
    }
    for tick in 0..(window.0 + 10_000) / 100 {
        for host in hosts() {
            fleet.schedule(Millis(tick * 100), Event::Tick { host });
        }
    }
    fleet.run(u)?;
    Ok(fleet)
}

fn check_crashes(lossy: bool, window: Millis) {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let fleet = simulate(u, lossy, window)?;
            assert!(fleet.crashes <= 2, "{} crashes", fleet.crashes);
            assert_eq!(fleet.decided, REQUESTS);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn at_most_two_servers_crash_when_resends_arrive_at_once() {
    check_crashes(false, Millis(0));
}

#[test]
fn at_most_two_servers_crash_when_resends_are_spread_over_time() {
    check_crashes(false, Millis(20_000));
}

#[test]
fn at_most_two_servers_crash_when_lease_messages_are_lost() {
    check_crashes(true, Millis(20_000));
}

/// Returns the quarantine of the only entry host of a fleet.
fn single_host() -> Quarantine {
    Quarantine::new(at(0), HostId(0), Incarnation(1))
}

fn lose_connection(
    quarantine: &mut Quarantine,
    now: Timestamp,
    fingerprint: Fingerprint,
    number: u32,
) -> bool {
    let end = RunEnd::ConnectionLost;
    let request = RequestId(0);
    quarantine.finished(now, request, fingerprint, &server(number), end).counts_for_health
}

fn decide(quarantine: &mut Quarantine, now: Timestamp) -> QuarantineDecision {
    quarantine.check(now, RequestId(1), crashing_fingerprint(), ATTEMPT_TIME).0
}

#[test]
fn a_complete_response_clears_a_suspect() {
    let mut quarantine = single_host();
    lose_connection(&mut quarantine, at(70_000), crashing_fingerprint(), 1);
    assert_eq!(quarantine.entries(at(70_000))[0].state, FingerprintState::Suspect);

    let decision = decide(&mut quarantine, at(70_000));
    let concurrent =
        quarantine.check(at(70_000), RequestId(2), crashing_fingerprint(), ATTEMPT_TIME).0;
    quarantine.finished(
        at(70_100),
        RequestId(1),
        crashing_fingerprint(),
        &server(2),
        RunEnd::Answered,
    );

    assert_eq!(decision, QuarantineDecision::Allowed);
    assert!(matches!(concurrent, QuarantineDecision::Refused(refusal) if !refusal.quarantined));
    assert!(quarantine.entries(at(70_100)).is_empty());
}

#[test]
fn a_recently_answered_request_gets_no_strike_for_one_lost_connection() {
    let mut quarantine = single_host();
    quarantine.finished(
        at(500),
        RequestId(1),
        crashing_fingerprint(),
        &server(2),
        RunEnd::Answered,
    );

    let counts_for_health = lose_connection(&mut quarantine, at(1_000), crashing_fingerprint(), 1);
    assert!(counts_for_health);
    assert_eq!(decide(&mut quarantine, at(1_000)), QuarantineDecision::Allowed);

    let counts_for_health = lose_connection(&mut quarantine, at(1_100), crashing_fingerprint(), 2);
    assert!(!counts_for_health);
    assert_eq!(quarantine.entries(at(1_100)).len(), 1);
}

#[test]
fn the_requests_of_one_crashed_server_are_suspects_but_not_quarantined() {
    let mut quarantine = single_host();

    for body in [b"a", b"b", b"c"] {
        lose_connection(&mut quarantine, at(1_000), Fingerprint::of(body), 1);
    }

    let states: Vec<FingerprintState> =
        quarantine.entries(at(1_000)).iter().map(|entry| entry.state).collect();
    assert_eq!(states, [FingerprintState::Suspect; 3]);
}

#[test]
fn a_quarantine_ends_when_it_expires_or_is_released() {
    for released in [false, true] {
        let mut quarantine = single_host();
        lose_connection(&mut quarantine, at(1_000), crashing_fingerprint(), 1);
        lose_connection(&mut quarantine, at(1_000), crashing_fingerprint(), 2);
        let refused = decide(&mut quarantine, at(2_000));
        assert!(matches!(refused, QuarantineDecision::Refused(refusal) if refusal.quarantined));

        let later = if released { at(2_000) } else { at(3_601_000) };
        if released {
            quarantine.release(crashing_fingerprint());
        }
        quarantine.tick(later);

        assert_eq!(decide(&mut quarantine, later), QuarantineDecision::Allowed);
        assert!(quarantine.entries(later).is_empty());
    }
}

#[test]
fn a_new_coordinator_grants_no_lease_while_an_older_one_may_be_held() {
    let all = hosts();
    let mut survivor = Quarantine::new(at(0), HostId(0), Incarnation(1));
    survivor.set_hosts(at(0), &all);
    lose_connection(&mut survivor, at(100_000), crashing_fingerprint(), 1);
    // Alone, the survivor coordinates every fingerprint.
    survivor.set_hosts(at(101_000), &[HostId(0)]);

    assert!(is_refused(&mut survivor, at(102_000)));
    assert_eq!(decide(&mut survivor, at(170_000)), QuarantineDecision::Allowed);
}

fn is_refused(quarantine: &mut Quarantine, now: Timestamp) -> bool {
    matches!(decide(quarantine, now), QuarantineDecision::Refused(_))
}

#[test]
fn a_host_that_joins_receives_the_strikes() {
    let mut coordinator = single_host();
    lose_connection(&mut coordinator, at(1_000), crashing_fingerprint(), 1);
    lose_connection(&mut coordinator, at(1_000), crashing_fingerprint(), 2);

    let mut joined = Quarantine::new(at(2_000), HostId(1), Incarnation(1));
    for action in coordinator.set_hosts(at(2_000), &[HostId(0), HostId(1)]) {
        let QuarantineAction::Send { message, .. } = action else { panic!("{action:?}") };
        joined.handle(at(2_000), HostId(0), message);
    }

    assert!(is_refused(&mut joined, at(2_000)));
}

#[test]
fn strike_broadcasts_are_limited_when_many_connections_are_lost_at_once() {
    let mut quarantine = single_host();
    quarantine.set_hosts(at(0), &hosts());
    let mut sent = 0;

    for number in 0..100_u32 {
        let fingerprint = Fingerprint::of(&number.to_le_bytes());
        let end = RunEnd::ConnectionLost;
        let finished = quarantine.finished(at(0), RequestId(0), fingerprint, &server(number), end);
        sent += finished.actions.len();
    }

    assert_eq!(sent, 10 * (HOSTS as usize - 1));
}
