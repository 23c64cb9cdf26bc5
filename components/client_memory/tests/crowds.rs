//! Replays crowds of clients with drawn behaviour against the memory of one process.

use std::collections::BTreeMap;

use arbtest::{arbitrary::Unstructured, arbtest};
use client_memory::{ClientMemory, Limits, Listener, SMALL_BYTES, Stage};
use ids::{ByteSize, ClientId, DescriptorCount, Megabytes, Millis, Timestamp};

/// Number of drawn crowds.
const CASES: u64 = 300;

/// Steps of a crowd at most.
const MAX_STEPS: usize = 400;

/// Longer than a client may make no progress while others need the room.
const STALL: Millis = Millis(500);

const LISTENERS: [Listener; 4] =
    [Listener::Requests, Listener::Readiness, Listener::Directory, Listener::Metrics];

/// The clients of a crowd, what is held for each, and the memory that decides.
struct Crowd {
    memory: ClientMemory,
    now: Timestamp,
    clients: BTreeMap<ClientId, (Stage, u64)>,
}

impl Crowd {
    fn new(memory: u32) -> Self {
        let limits = Limits::of_host(Megabytes(memory), DescriptorCount(400));
        let now = Timestamp::default() + Millis(1_000);
        Self { memory: ClientMemory::new(limits), now, clients: BTreeMap::new() }
    }

    fn step(&mut self, u: &mut Unstructured) -> arbtest::arbitrary::Result<()> {
        self.now = self.now + Millis(u.int_in_range(0..=200)?);
        let ids: Vec<_> = self.clients.keys().copied().collect();
        if ids.is_empty() || u.ratio(1, 4)? {
            if let Ok(id) = self.memory.open(self.now, *u.choose(&LISTENERS)?) {
                self.clients.insert(id, (Stage::Idle, 0));
            }
            return Ok(());
        }
        let id = *u.choose(&ids)?;
        let size = ByteSize(match u.int_in_range(0..=2)? {
            0 => u.int_in_range(1..=1_000)?,
            1 => u.int_in_range(1..=SMALL_BYTES)?,
            _ => u.int_in_range(1..=64 * 1024 * 1024)?,
        });
        let (stage, held) = self.clients[&id];
        let (stage, held) = match u.int_in_range(0..=7)? {
            0 => match self.memory.received(self.now, id, ByteSize(size.0.min(8_191))) {
                Ok(()) if stage == Stage::Idle => (Stage::ReadsHead, held),
                _ => (stage, held),
            },
            1 if matches!(stage, Stage::Idle | Stage::ReadsHead) => {
                self.memory.enter(self.now, id, Stage::ReadsBody);
                let deadline = u.ratio(1, 2)?.then_some(self.now + Millis(2_000));
                let announced = u.ratio(1, 2)?.then_some(size);
                let begun = self.memory.begin_body(self.now, id, announced, deadline);
                let added = announced.filter(|_| begun.is_ok()).unwrap_or_default();
                (Stage::ReadsBody, held + added.0)
            }
            2 if stage == Stage::ReadsBody => {
                match self.memory.try_enter(self.now, id, Stage::InWork) {
                    Ok(()) => (Stage::InWork, held),
                    Err(_) => (stage, held),
                }
            }
            3 if stage == Stage::InWork => {
                self.memory.try_enter(self.now, id, Stage::WritesResponse).unwrap();
                (Stage::WritesResponse, held)
            }
            4 if stage == Stage::WritesResponse => {
                self.memory.release(id, ByteSize(held));
                self.memory.enter(self.now, id, Stage::Idle);
                (Stage::Idle, 0)
            }
            5 if matches!(stage, Stage::ReadsBody | Stage::InWork) => {
                match self.memory.hold(self.now, id, size) {
                    Ok(()) => (stage, held + size.0),
                    Err(_) => (stage, held),
                }
            }
            6 => {
                self.memory.close(id);
                self.clients.remove(&id);
                return Ok(());
            }
            _ => {
                self.memory.written(self.now, id, size);
                (stage, held)
            }
        };
        self.clients.insert(id, (stage, held));
        Ok(())
    }

    /// Checks the sums, and that nobody in work has given way.
    fn check(&mut self) {
        for (id, _) in self.memory.take_evicted() {
            let (stage, _) = self.clients.remove(&id).unwrap();
            self.memory.close(id);
            assert_ne!(stage, Stage::InWork, "a client whose request may run gave way");
        }
        let limits = self.memory.limits();
        assert!(self.memory.total() <= limits.total, "{} bytes are held", self.memory.total());
        assert!(self.memory.large() <= limits.large, "{} large bytes", self.memory.large());
        assert!(self.memory.connections() <= limits.connections);
        assert_eq!(self.memory.connections(), self.clients.len());
        let held: u64 = self.clients.values().map(|(_, held)| held).sum();
        assert!(held <= self.memory.total().0);
        let large = self.clients.values().map(|(_, held)| held).filter(|it| **it > SMALL_BYTES);
        assert!(large.sum::<u64>() <= self.memory.large().0);
    }

    /// Checks that an ordinary request finds room once no request is in work and all have stalled.
    fn check_ordinary_request(&mut self) {
        for (id, (stage, _)) in &mut self.clients {
            if *stage == Stage::InWork {
                self.memory.try_enter(self.now, *id, Stage::WritesResponse).unwrap();
                *stage = Stage::WritesResponse;
            }
        }
        self.now = self.now + STALL;
        let id = self.memory.open(self.now, Listener::Requests).unwrap();
        self.memory.received(self.now, id, ByteSize(500)).unwrap();
        self.memory.enter(self.now, id, Stage::ReadsBody);
        let small = Some(ByteSize(SMALL_BYTES));
        self.memory.begin_body(self.now, id, small, None).unwrap();
        self.memory.try_enter(self.now, id, Stage::InWork).unwrap();
        self.memory.hold(self.now, id, ByteSize(1_000)).unwrap();
        self.clients.insert(id, (Stage::InWork, SMALL_BYTES + 1_000));
        self.check();
    }
}

fn replay(u: &mut Unstructured) -> arbtest::arbitrary::Result<()> {
    let mut crowd = Crowd::new(u.int_in_range(160..=260)?);
    let mut steps = 0;
    while steps < MAX_STEPS && !u.is_empty() && crowd.step(u).is_ok() {
        crowd.check();
        steps += 1;
    }
    crowd.check();
    crowd.check_ordinary_request();
    for id in std::mem::take(&mut crowd.clients).into_keys() {
        crowd.memory.close(id);
    }
    assert_eq!(crowd.memory.total(), ByteSize(0));
    Ok(())
}

#[test]
fn crowds_stay_within_the_limits_and_lock_nobody_out() {
    for seed in 0..CASES {
        arbtest(replay).seed((seed + 1) << 32 | 4_096).run();
    }
}
