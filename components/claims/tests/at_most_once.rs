//! Random schedules of claims, faults and map changes, in which no key may run twice.

mod fleet;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use claims::{ClaimKey, ClaimMap, Decision, NotGranted, ShardNumber};
use fleet::{Decided, Fleet, answer, payload, settings};
use ids::{ByteSize, HostId, Incarnation, KeyDigest, Millis, RequestId, Timestamp};
use schema::claims::StoredAnswer;

const CASES: u64 = 500;
/// Size of a schedule's random input in bytes, which is the low half of an arbtest seed.
const CASE_BYTES: u64 = 4096;
const HOSTS: u32 = 5;
const MAX_KEYS: u8 = 20;

/// Maximum number of messages in flight; beyond it the oldest are dropped.
const MAX_IN_FLIGHT: usize = 150;

/// How long the key without a ticket is used, well within the retention.
const UNTICKETED_USE_TIME: Millis = Millis(10_000);

/// Largest difference between two wall clocks.
const MAX_SKEW_MILLIS: u64 = 3_000;

/// The kinds of steps that a schedule has most of.
#[derive(Debug, Clone, Copy)]
enum StepMix {
    Everything,
    /// Competing claims, without restarts and map changes.
    Contention,
    /// Restarts, hand-overs and map changes.
    Recovery,
}

/// An attempt of a process to run the request of a key.
#[derive(Debug, Clone)]
struct Attempt {
    host: HostId,
    incarnation: Incarnation,
    key: usize,
    payload: u8,
    /// Number of runs of the key that had started when the attempt began.
    runs_before: usize,
    state: AttemptState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Claiming,
    Granted,
    Running,
    Done,
}

/// A run of a key's request on a backend server.
#[derive(Debug)]
struct Run {
    request: RequestId,
    payload: u8,
}

struct Schedule {
    step_mix: StepMix,
    fleet: Fleet,
    maps: Vec<ClaimMap>,
    keys: Vec<ClaimKey>,
    attempts: BTreeMap<RequestId, Attempt>,
    runs: BTreeMap<usize, Vec<Run>>,
    /// Number of decisions that have been checked.
    checked: usize,
    max_claims: usize,
}

fn answer_of(request: RequestId) -> StoredAnswer {
    answer(&format!("answer of {request}"))
}

impl Schedule {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut cfg = settings();
        cfg.retention = Millis(20_000);
        cfg.replica.hold_timeout = Millis(3_000);
        cfg.replica.max_claims = u.int_in_range(1..=8)?;
        cfg.replica.max_answer_bytes = ByteSize(u.int_in_range(10..=200)?);
        let max_claims = cfg.replica.max_claims;
        let mut fleet = Fleet::with_settings(HOSTS, cfg);
        for host in 1..=HOSTS {
            fleet.clock_skew.insert(HostId(host), u.int_in_range(0..=MAX_SKEW_MILLIS)?);
        }
        fleet.shrink_map();
        let maps = vec![fleet.map.clone()];
        let unticketed = ClaimKey { digest: KeyDigest::of(b"unticketed"), ticket: None };
        let keys = vec![fleet.key(0), unticketed];
        let runs = BTreeMap::new();
        let step_mix = *u.choose(&[StepMix::Everything, StepMix::Contention, StepMix::Recovery])?;
        Ok(Self {
            step_mix,
            fleet,
            maps,
            keys,
            attempts: BTreeMap::new(),
            runs,
            checked: 0,
            max_claims,
        })
    }

    fn pick_host(&self, u: &mut Unstructured<'_>) -> Result<HostId> {
        Ok(HostId(u.int_in_range(1..=HOSTS)?))
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let roll = match (self.step_mix, u.int_in_range(0..=99u8)?) {
            (StepMix::Contention, 91 | 95..=99) => 61,
            (StepMix::Recovery, 61..=62) => 91,
            (StepMix::Recovery, 63..=64) => 95,
            (StepMix::Recovery, 65..=66) => 96,
            (StepMix::Recovery, 67..=68) => 97,
            (_, roll) => roll,
        };
        match roll {
            0..=51 => self.deliver_message(u)?,
            52..=56 => self.duplicate_message(u)?,
            57..=60 => self.drop_message(u)?,
            61..=74 => self.begin_claim(u)?,
            75..=82 => self.advance_random_attempt(u)?,
            83..=90 => self.advance(u)?,
            91 => self.restart(u)?,
            92 => self.report_host_lost(u)?,
            93..=94 => self.add_key(u)?,
            95 => self.drain(u)?,
            96 => self.change_map(u)?,
            _ => self.install_map(u)?,
        }
        self.drop_surplus_messages();
        self.check();
        Ok(())
    }

    fn deliver_message(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.fleet.in_flight.is_empty() {
            let index = u.choose_index(self.fleet.in_flight.len())?;
            self.fleet.deliver(index);
        }
        Ok(())
    }

    fn duplicate_message(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.fleet.in_flight.is_empty() {
            let index = u.choose_index(self.fleet.in_flight.len())?;
            let envelope = self.fleet.in_flight[index].clone();
            self.fleet.deliver_envelope(envelope);
        }
        Ok(())
    }

    fn drop_message(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.fleet.in_flight.is_empty() {
            let index = u.choose_index(self.fleet.in_flight.len())?;
            self.fleet.in_flight.remove(index);
        }
        Ok(())
    }

    fn drop_surplus_messages(&mut self) {
        let surplus = self.fleet.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.fleet.in_flight.drain(..surplus);
    }

    fn begin_claim(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let host = self.pick_host(u)?;
        let newest = self.keys.len() - 1;
        let key = if u.ratio(1, 4)? { u.choose_index(self.keys.len())? } else { newest };
        let payload = if u.ratio(1, 8)? { 2 } else { 1 };
        self.begin_at(host, key, payload);
        Ok(())
    }

    fn begin_at(&mut self, host: HostId, key: usize, payload_number: u8) -> Option<RequestId> {
        let is_unticketed = self.keys[key].ticket.is_none();
        if is_unticketed && self.fleet.now > Timestamp(0) + UNTICKETED_USE_TIME {
            return None;
        }
        let runs_before = self.runs.get(&key).map_or(0, Vec::len);
        let request = self.fleet.begin(host, &self.keys[key].clone(), payload(payload_number));
        let incarnation = self.fleet.incarnations[&host];
        let state = AttemptState::Claiming;
        let attempt =
            Attempt { host, incarnation, key, payload: payload_number, runs_before, state };
        self.attempts.insert(request, attempt);
        Some(request)
    }

    /// Starts or releases a granted attempt, or finishes a running one.
    fn advance_random_attempt(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let active = self.active_attempts();
        if active.is_empty() {
            return Ok(());
        }
        let request = active[u.choose_index(active.len())?];
        let abandon = u.ratio(1, 2)?;
        self.advance_attempt(request, abandon);
        Ok(())
    }

    /// Returns the requests of live processes that are granted or running.
    fn active_attempts(&self) -> Vec<RequestId> {
        let is_active = |attempt: &Attempt| {
            let is_held = matches!(attempt.state, AttemptState::Granted | AttemptState::Running);
            is_held && self.fleet.incarnations[&attempt.host] == attempt.incarnation
        };
        self.attempts.iter().filter(|(_, it)| is_active(it)).map(|(request, _)| *request).collect()
    }

    /// Takes the next step of an attempt. `abandon` releases a granted attempt without a run, or
    /// finishes a running one without an answer.
    fn advance_attempt(&mut self, request: RequestId, abandon: bool) {
        let attempt = self.attempts.get_mut(&request).unwrap();
        let host = attempt.host;
        match attempt.state {
            AttemptState::Granted if abandon => {
                attempt.state = AttemptState::Done;
                self.fleet.release(host, request);
            }
            AttemptState::Granted => {
                attempt.state = AttemptState::Running;
                let run = Run { request, payload: attempt.payload };
                self.runs.entry(attempt.key).or_default().push(run);
            }
            AttemptState::Running => {
                attempt.state = AttemptState::Done;
                let answer = if abandon { StoredAnswer::Unknown } else { answer_of(request) };
                self.fleet.finish(host, request, answer);
            }
            AttemptState::Claiming | AttemptState::Done => {}
        }
    }

    fn advance(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let millis = match u.int_in_range(0..=19u8)? {
            0 => 5_000,
            1..=5 => 200,
            _ => u.int_in_range(1..=60)?,
        };
        self.fleet.advance(millis);
        Ok(())
    }

    fn restart(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let host = self.pick_host(u)?;
        self.fleet.restart(host);
        Ok(())
    }

    /// Reports to a process that another one has ended, whether or not it has.
    fn report_host_lost(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let (host, lost) = (self.pick_host(u)?, self.pick_host(u)?);
        let incarnation = self.fleet.incarnations[&lost];
        if let Some(node) = self.fleet.nodes.get_mut(&host) {
            node.mark_host_lost(lost, incarnation);
        }
        Ok(())
    }

    /// Adds a key, with a ticket of any epoch so far.
    fn add_key(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.keys.len() >= usize::from(MAX_KEYS) {
            return Ok(());
        }
        let mut key = self.fleet.key(self.keys.len() as u8);
        let epoch = self.maps[u.choose_index(self.maps.len())?].epoch();
        key.ticket = key.ticket.map(|it| claims::Ticket { epoch, ..it });
        self.keys.push(key);
        Ok(())
    }

    fn drain(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let host = self.pick_host(u)?;
        if u.ratio(1, 2)? {
            self.fleet.drain(host);
        }
        Ok(())
    }

    /// Moves replicas off a host, settles copied shards, or reopens a shard.
    fn change_map(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let epoch = self.fleet.map.epoch().next();
        let map = match u.int_in_range(0..=6u8)? {
            0..=3 => {
                let removed = self.pick_host(u)?;
                let mut live = self.fleet.live_hosts();
                live.retain(|it| it.host != removed);
                ClaimMap::build(epoch, &live, Some(&self.fleet.map))
            }
            4 | 5 => {
                let copied = self.fleet.map.copied_shards(&self.fleet.reports());
                self.fleet.map.settle(epoch, &copied)
            }
            _ => {
                let lost = ShardNumber(u.int_in_range(0..=1)?);
                let unticketed_from = ids::WallTime(u64::MAX);
                self.fleet.map.reopen(epoch, &self.fleet.live_hosts(), &[lost], unticketed_from)
            }
        };
        self.set_map(map);
        Ok(())
    }

    fn set_map(&mut self, map: ClaimMap) {
        self.maps.push(map.clone());
        self.fleet.map = map;
    }

    /// Installs the newest map on a host or, sometimes, an earlier one.
    fn install_map(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let host = self.pick_host(u)?;
        let newest = self.fleet.map.clone();
        if u.ratio(1, 4)? {
            self.fleet.map = self.maps[u.choose_index(self.maps.len())?].clone();
        }
        self.fleet.install_map(host);
        self.fleet.map = newest;
        Ok(())
    }

    /// Checks the decisions since the last check, and the limits on records and stored answers.
    fn check(&mut self) {
        while self.checked < self.fleet.decisions.len() {
            let decided = self.fleet.decisions[self.checked].clone();
            self.checked += 1;
            self.check_decision(&decided);
        }
        for node in self.fleet.nodes.values() {
            let status = node.status();
            assert!(status.held <= 4 * self.max_claims, "{status:?}");
            let max_bytes = self.fleet.settings.replica.max_answer_bytes.0;
            assert!(status.answer_bytes as u64 <= max_bytes, "{status:?}");
        }
    }

    fn check_decision(&mut self, decided: &Decided) {
        let attempt = self.attempts[&decided.request].clone();
        let runs = self.runs.get(&attempt.key).map_or(&[][..], Vec::as_slice);
        assert_eq!(attempt.state, AttemptState::Claiming, "decided twice: {decided:?}");
        let mut state = AttemptState::Done;
        match &decided.decision {
            Decision::Granted => {
                let rivals = self
                    .active_attempts()
                    .into_iter()
                    .filter(|it| self.attempts[it].key == attempt.key);
                assert_eq!(rivals.count(), 0, "key granted twice: {decided:?}");
                assert!(runs.is_empty(), "granted after a run: {decided:?}, {runs:?}");
                state = AttemptState::Granted;
            }
            Decision::Finished(answer) => {
                let run = runs.first().expect("a finished key has run");
                assert_eq!(run.payload, attempt.payload);
                let expected = answer_of(run.request);
                assert!(*answer == expected || *answer == StoredAnswer::NotKept, "{decided:?}");
            }
            Decision::Unavailable(NotGranted::NotRun) => assert_eq!(attempt.runs_before, 0),
            Decision::PayloadMismatch => {
                let others = self.attempts.values();
                assert!(
                    others
                        .filter(|it| it.key == attempt.key)
                        .any(|it| it.payload != attempt.payload)
                );
            }
            Decision::InProgress
            | Decision::Unknown
            | Decision::Expired
            | Decision::Unavailable(NotGranted::Unknown) => {}
        }
        self.attempts.get_mut(&decided.request).unwrap().state = state;
    }

    /// Ends all faults, finishes all attempts and reopens the shard of the keys.
    fn recover(&mut self) {
        const SETTLE_MILLIS: u64 = 2_000;
        self.install_newest_map();
        while let Some(request) = self.active_attempts().first().copied() {
            self.advance_attempt(request, false);
        }
        self.fleet.run(SETTLE_MILLIS);
        self.check();
        while let Some(request) = self.active_attempts().first().copied() {
            self.advance_attempt(request, false);
        }
        self.fleet.run(SETTLE_MILLIS);
        let epoch = self.fleet.map.epoch().next();
        let number = self.fleet.map.shard_of(&self.keys[0]).unwrap();
        let unticketed_from = ids::WallTime(u64::MAX);
        for host in 1..=HOSTS {
            // A drained replica grants nothing until it restarts.
            self.fleet.restart(HostId(host));
        }
        let map =
            self.fleet.map.reopen(epoch, &self.fleet.live_hosts(), &[number], unticketed_from);
        self.set_map(map);
        self.install_newest_map();
        self.fleet.run(SETTLE_MILLIS);
        self.check();
    }

    fn install_newest_map(&mut self) {
        (1..=HOSTS).for_each(|it| self.fleet.install_map(HostId(it)));
    }

    /// Checks that a new key is granted, and that a resend of it gets the stored answer.
    fn check_progress(&mut self) {
        let key = self.keys.len();
        self.keys.push(self.fleet.key(key as u8));
        let first = self.begin_at(HostId(1), key, 1).unwrap();
        self.fleet.run(100);
        self.check();
        assert_eq!(
            self.attempts[&first].state,
            AttemptState::Granted,
            "a new key is not granted after recovery"
        );
        self.advance_attempt(first, false);
        self.advance_attempt(first, false);
        self.fleet.run(100);
        let resend = self.begin_at(HostId(2), key, 1).unwrap();
        self.fleet.run(100);
        self.check();
        let decision = self.fleet.decision(resend);
        assert!(matches!(decision, Some(Decision::Finished(_))), "{decision:?}");
        assert!(self.fleet.nodes.values().all(|it| it.status().open == 0));
    }
}

fn run_schedule(u: &mut Unstructured<'_>) -> Result<()> {
    let mut schedule = Schedule::new(u)?;
    while !u.is_empty() {
        schedule.step(u)?;
    }
    schedule.recover();
    schedule.check_progress();
    Ok(())
}

#[test]
fn no_key_runs_twice() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let _ = run_schedule(u);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
