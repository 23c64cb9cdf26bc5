//! Random schedules of claims, faults and map changes: no key runs twice.

mod fleet;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use claims::{ClaimKey, ClaimMap, Decision, NotGranted, ShardNumber};
use fleet::{Decided, Fleet, answer, payload, settings};
use ids::{ByteSize, HostId, Incarnation, KeyDigest, Millis, RequestId, Timestamp};
use schema::claims::StoredAnswer;

const CASES: u64 = 500;
const CASE_BYTES: u64 = 4096;
const HOSTS: u32 = 5;
const MAX_KEYS: u8 = 20;

/// The most messages on their way; the oldest are lost beyond that.
const MAX_IN_FLIGHT: usize = 150;

/// How long a key without ticket is used, well within the retention.
const UNTICKETED_USE: Millis = Millis(10_000);

/// How far wall clocks differ at most, in milliseconds.
const MAX_SKEW_MILLIS: u64 = 3_000;

/// What a schedule has much of.
#[derive(Debug, Clone, Copy)]
enum Focus {
    Everything,
    /// Claims that compete, without restarts and map changes.
    Competition,
    /// Restarts, hand-overs and map changes.
    Repair,
}

/// A send of a key by one process.
#[derive(Debug, Clone)]
struct Send {
    host: HostId,
    incarnation: Incarnation,
    key: usize,
    payload: u8,
    /// How many runs of the key had begun when the send began.
    runs_before: usize,
    state: SendState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendState {
    Asking,
    Granted,
    Running,
    Done,
}

/// A run of a key on a backend server.
#[derive(Debug)]
struct Run {
    request: RequestId,
    payload: u8,
}

struct Schedule {
    focus: Focus,
    fleet: Fleet,
    maps: Vec<ClaimMap>,
    keys: Vec<ClaimKey>,
    sends: BTreeMap<RequestId, Send>,
    runs: BTreeMap<usize, Vec<Run>>,
    seen: usize,
    max_claims: usize,
}

fn own_answer(request: RequestId) -> StoredAnswer {
    answer(&format!("answer of {request}"))
}

impl Schedule {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut cfg = settings();
        cfg.retention = Millis(20_000);
        cfg.replica.hold_limit = Millis(3_000);
        cfg.replica.max_claims = u.int_in_range(1..=8)?;
        cfg.replica.max_answer_bytes = ByteSize(u.int_in_range(10..=200)?);
        let max_claims = cfg.replica.max_claims;
        let mut fleet = Fleet::with_settings(HOSTS, cfg);
        for host in 1..=HOSTS {
            fleet.skew.insert(HostId(host), u.int_in_range(0..=MAX_SKEW_MILLIS)?);
        }
        fleet.shrink_map();
        let maps = vec![fleet.map.clone()];
        let unticketed = ClaimKey { digest: KeyDigest::of(b"unticketed"), ticket: None };
        let keys = vec![fleet.key(0), unticketed];
        let runs = BTreeMap::new();
        let focus = *u.choose(&[Focus::Everything, Focus::Competition, Focus::Repair])?;
        Ok(Self { focus, fleet, maps, keys, sends: BTreeMap::new(), runs, seen: 0, max_claims })
    }

    fn host(&self, u: &mut Unstructured<'_>) -> Result<HostId> {
        Ok(HostId(u.int_in_range(1..=HOSTS)?))
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let roll = match (self.focus, u.int_in_range(0..=99u8)?) {
            (Focus::Competition, 91 | 95..=99) => 61,
            (Focus::Repair, 61..=62) => 91,
            (Focus::Repair, 63..=64) => 95,
            (Focus::Repair, 65..=66) => 96,
            (Focus::Repair, 67..=68) => 97,
            (_, roll) => roll,
        };
        match roll {
            0..=51 => self.deliver(u)?,
            52..=56 => self.repeat(u)?,
            57..=60 => self.lose(u)?,
            61..=74 => self.begin(u)?,
            75..=82 => self.act_on_grant(u)?,
            83..=90 => self.advance(u)?,
            91 => self.restart(u)?,
            92 => self.lose_host(u)?,
            93..=94 => self.mint(u)?,
            95 => self.drain(u)?,
            96 => self.change_map(u)?,
            _ => self.install_map(u)?,
        }
        self.bound_queue();
        self.check();
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.fleet.in_flight.is_empty() {
            let index = u.choose_index(self.fleet.in_flight.len())?;
            self.fleet.deliver(index);
        }
        Ok(())
    }

    fn repeat(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.fleet.in_flight.is_empty() {
            let index = u.choose_index(self.fleet.in_flight.len())?;
            let envelope = self.fleet.in_flight[index].clone();
            self.fleet.hand_in(envelope);
        }
        Ok(())
    }

    fn lose(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.fleet.in_flight.is_empty() {
            let index = u.choose_index(self.fleet.in_flight.len())?;
            self.fleet.in_flight.remove(index);
        }
        Ok(())
    }

    fn bound_queue(&mut self) {
        let surplus = self.fleet.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.fleet.in_flight.drain(..surplus);
    }

    fn begin(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let host = self.host(u)?;
        let newest = self.keys.len() - 1;
        let key = if u.ratio(1, 4)? { u.choose_index(self.keys.len())? } else { newest };
        let payload = if u.ratio(1, 8)? { 2 } else { 1 };
        self.begin_at(host, key, payload);
        Ok(())
    }

    fn begin_at(&mut self, host: HostId, key: usize, number: u8) -> Option<RequestId> {
        let is_unticketed = self.keys[key].ticket.is_none();
        if is_unticketed && self.fleet.now > Timestamp(0) + UNTICKETED_USE {
            return None;
        }
        let runs_before = self.runs.get(&key).map_or(0, Vec::len);
        let request = self.fleet.begin(host, &self.keys[key].clone(), payload(number));
        let incarnation = self.fleet.incarnations[&host];
        let state = SendState::Asking;
        let send = Send { host, incarnation, key, payload: number, runs_before, state };
        self.sends.insert(request, send);
        Some(request)
    }

    /// Sends a granted request, or finishes a running one, or gives a grant back.
    fn act_on_grant(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let active = self.active();
        if active.is_empty() {
            return Ok(());
        }
        let request = active[u.choose_index(active.len())?];
        let gives_up = u.ratio(1, 2)?;
        self.act(request, gives_up);
        Ok(())
    }

    /// The requests that live processes hold grants for.
    fn active(&self) -> Vec<RequestId> {
        let is_active = |send: &Send| {
            let is_held = matches!(send.state, SendState::Granted | SendState::Running);
            is_held && self.fleet.incarnations[&send.host] == send.incarnation
        };
        self.sends.iter().filter(|(_, it)| is_active(it)).map(|(request, _)| *request).collect()
    }

    fn act(&mut self, request: RequestId, gives_up: bool) {
        let send = self.sends.get_mut(&request).unwrap();
        let host = send.host;
        match send.state {
            SendState::Granted if gives_up => {
                send.state = SendState::Done;
                self.fleet.release(host, request);
            }
            SendState::Granted => {
                send.state = SendState::Running;
                let run = Run { request, payload: send.payload };
                self.runs.entry(send.key).or_default().push(run);
            }
            SendState::Running => {
                send.state = SendState::Done;
                let answer = if gives_up { StoredAnswer::Unknown } else { own_answer(request) };
                self.fleet.finish(host, request, answer);
            }
            SendState::Asking | SendState::Done => {}
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
        let host = self.host(u)?;
        self.fleet.restart(host);
        Ok(())
    }

    /// Tells a process that another one has ended, rightly or not.
    fn lose_host(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let (host, lost) = (self.host(u)?, self.host(u)?);
        let incarnation = self.fleet.incarnations[&lost];
        if let Some(node) = self.fleet.nodes.get_mut(&host) {
            node.mark_host_lost(lost, incarnation);
        }
        Ok(())
    }

    fn mint(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
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
        let host = self.host(u)?;
        if u.ratio(1, 2)? {
            self.fleet.drain(host);
        }
        Ok(())
    }

    /// Moves replicas off a host, settles what has been copied, or reopens a shard.
    fn change_map(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let epoch = self.fleet.map.epoch().next();
        let map = match u.int_in_range(0..=6u8)? {
            0..=3 => {
                let without = self.host(u)?;
                let mut live = self.fleet.live();
                live.retain(|it| it.host != without);
                ClaimMap::build(epoch, &live, Some(&self.fleet.map))
            }
            4 | 5 => {
                let copied = self.fleet.map.copied_shards(&self.fleet.reports());
                self.fleet.map.settle(epoch, &copied)
            }
            _ => {
                let lost = ShardNumber(u.int_in_range(0..=1)?);
                let never = ids::WallTime(u64::MAX);
                self.fleet.map.reopen(epoch, &self.fleet.live(), &[lost], never)
            }
        };
        self.set_map(map);
        Ok(())
    }

    fn set_map(&mut self, map: ClaimMap) {
        self.maps.push(map.clone());
        self.fleet.map = map;
    }

    fn install_map(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let host = self.host(u)?;
        let newest = self.fleet.map.clone();
        if u.ratio(1, 4)? {
            self.fleet.map = self.maps[u.choose_index(self.maps.len())?].clone();
        }
        self.fleet.install_map(host);
        self.fleet.map = newest;
        Ok(())
    }

    /// Checks what processes have decided since the last check, and their memory.
    fn check(&mut self) {
        while self.seen < self.fleet.decided.len() {
            let decided = self.fleet.decided[self.seen].clone();
            self.seen += 1;
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
        let send = self.sends[&decided.request].clone();
        let runs = self.runs.get(&send.key).map_or(&[][..], Vec::as_slice);
        assert_eq!(send.state, SendState::Asking, "decided twice: {decided:?}");
        let mut state = SendState::Done;
        match &decided.decision {
            Decision::Granted => {
                let rivals = self.active().into_iter().filter(|it| self.sends[it].key == send.key);
                assert_eq!(rivals.count(), 0, "second grant: {decided:?}");
                assert!(runs.is_empty(), "ran before: {decided:?}, {runs:?}");
                state = SendState::Granted;
            }
            Decision::Finished(answer) => {
                let run = runs.first().expect("nothing ran");
                assert_eq!(run.payload, send.payload);
                let whole = own_answer(run.request);
                assert!(*answer == whole || *answer == StoredAnswer::NotKept, "{decided:?}");
            }
            Decision::Unavailable(NotGranted::NotRun) => assert_eq!(send.runs_before, 0),
            Decision::PayloadMismatch => {
                let others = self.sends.values();
                assert!(
                    others.filter(|it| it.key == send.key).any(|it| it.payload != send.payload)
                );
            }
            Decision::InProgress
            | Decision::Unknown
            | Decision::Expired
            | Decision::Unavailable(NotGranted::Unknown) => {}
        }
        self.sends.get_mut(&decided.request).unwrap().state = state;
    }

    /// Ends all faults and all work, and has control repair the map.
    fn calm(&mut self) {
        const CALM_MILLIS: u64 = 2_000;
        self.install_newest();
        while let Some(request) = self.active().first().copied() {
            self.act(request, false);
        }
        self.fleet.run(CALM_MILLIS);
        self.check();
        while let Some(request) = self.active().first().copied() {
            self.act(request, false);
        }
        self.fleet.run(CALM_MILLIS);
        let epoch = self.fleet.map.epoch().next();
        let number = self.fleet.map.shard_of(&self.keys[0]).unwrap();
        let never = ids::WallTime(u64::MAX);
        for host in 1..=HOSTS {
            // Ends drains, which stop a replica for good.
            self.fleet.restart(HostId(host));
        }
        let map = self.fleet.map.reopen(epoch, &self.fleet.live(), &[number], never);
        self.set_map(map);
        self.install_newest();
        self.fleet.run(CALM_MILLIS);
        self.check();
    }

    fn install_newest(&mut self) {
        (1..=HOSTS).for_each(|it| self.fleet.install_map(HostId(it)));
    }

    fn check_progress(&mut self) {
        let key = self.keys.len();
        self.keys.push(self.fleet.key(key as u8));
        let first = self.begin_at(HostId(1), key, 1).unwrap();
        self.fleet.run(100);
        self.check();
        assert_eq!(self.sends[&first].state, SendState::Granted, "no progress");
        self.act(first, false);
        self.act(first, false);
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
    schedule.calm();
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
