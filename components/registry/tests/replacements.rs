//! Replays drawn losses, replacements and elections of control hosts, as many at once as the log is to
//! bear: whenever one more loss is allowed, a majority of the voters outlasts it.
//!
//! The number of seeds is 60 unless `DAISYPADDLE_SOAK_SEEDS` says another.

mod fleet;

use std::collections::BTreeSet;

use fleet::{Fleet, config};
use ids::{ConfigVersion, HostId, RequestId};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use registry::{Answer, HostEvent, Request};

const SEEDS: u64 = 60;

/// Milliseconds for which a machine still counts as lost after it is back or has started.
const CATCH_UP: u64 = 4_000;

/// Milliseconds after the last loss until the fleet must be whole again.
const RECOVERY: u64 = 15_000;

/// How a machine is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// Gone for good; another one with an empty disk starts at another address.
    Replaced,
    /// The same, after a planned stop.
    Retired,
    /// Stopped and started again on its disk.
    Restarted,
    Frozen,
    /// Neither hears nor is heard.
    Cut,
    /// Hears, but is not heard.
    Mute,
    /// Is heard, but doesn't hear.
    Deaf,
}

/// A machine that counts as lost.
#[derive(Debug, Clone, Copy)]
struct Lost {
    host: HostId,
    loss: Loss,
    /// When it, or its successor, is back.
    back_at: u64,
    is_back: bool,
}

/// A fleet that loses machines, and what its operator was told.
struct Replay {
    name: String,
    fleet: Fleet,
    lost_disks: usize,
    next_host: u32,
    lost: Vec<Lost>,
    next_version: u64,
    puts: Vec<(RequestId, u64)>,
    acknowledged: u64,
}

impl Replay {
    fn new(name: String, size: u32, lost_disks: usize) -> Self {
        let fleet = Fleet::with_lost_disks(size, lost_disks);
        let mut replay = Self {
            name,
            fleet,
            lost_disks,
            next_host: size + 1,
            lost: Vec::new(),
            next_version: 1,
            puts: Vec::new(),
            acknowledged: 0,
        };
        replay.run_for(CATCH_UP);
        replay
    }

    fn now(&self) -> u64 {
        self.fleet.now.0 / 1_000
    }

    /// Returns the hosts that run and are neither frozen nor cut off.
    fn live(&self) -> Vec<HostId> {
        let is_out = |host: &HostId| self.lost.iter().any(|it| it.host == *host && !it.is_back);
        let runs = |host: &HostId| self.fleet.process(*host).is_some();
        self.fleet.ids().into_iter().filter(|it| runs(it) && !is_out(it)).collect()
    }

    /// Returns the voters by the leader, or by the host that knows the most if there is none.
    fn voters(&self) -> Vec<HostId> {
        let status = |it: HostId| self.fleet.process(it).map(|it| it.status(self.fleet.now));
        let known = self.live().into_iter().filter_map(status);
        known.max_by_key(|it| (it.is_current, it.commit)).map(|it| it.voters).unwrap_or_default()
    }

    /// Asserts that a majority of the voters outlasts the losses that are allowed now.
    fn check_majority(&self) {
        let voters = self.voters();
        let live = self.live();
        let live = voters.iter().filter(|it| live.contains(it)).count();
        let allowed = self.lost_disks - self.lost.len();
        assert!(
            live >= voters.len() / 2 + 1 + allowed,
            "{} at {} ms: {live} of the voters {voters:?} are live, and {allowed} more may be lost \
             besides {:?}",
            self.name,
            self.now(),
            self.lost
        );
    }

    fn step(&mut self) {
        self.fleet.step();
        let now = self.now();
        for i in 0..self.lost.len() {
            if !self.lost[i].is_back && now >= self.lost[i].back_at {
                self.lost[i].is_back = true;
                self.bring_back(self.lost[i]);
            }
        }
        self.lost.retain(|it| now < it.back_at + CATCH_UP);
        if now.is_multiple_of(1_000) {
            self.put();
        }
        for (id, version) in &self.puts {
            if self.fleet.answers.get(id) == Some(&Answer::Accepted) {
                self.acknowledged = self.acknowledged.max(*version);
            }
        }
        self.check_majority();
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.now() + millis;
        while self.now() < end {
            self.step();
        }
    }

    /// Sends a change to each host that runs.
    fn put(&mut self) {
        self.next_version += 1;
        let version = self.next_version;
        for host in self.live() {
            let id = self.fleet.request(host, config(version, &version.to_string()));
            self.puts.push((id, version));
        }
    }

    fn lose(&mut self, host: HostId, loss: Loss, back_after: u64) {
        self.lost.push(Lost { host, loss, back_at: self.now() + back_after, is_back: false });
        match loss {
            Loss::Replaced => self.fleet.remove(host),
            Loss::Retired => {
                self.fleet.handle_event(host, HostEvent::Stop);
                self.fleet.remove(host);
            }
            Loss::Restarted => self.fleet.stop(host),
            Loss::Frozen => drop(self.fleet.frozen.insert(host)),
            Loss::Cut | Loss::Mute | Loss::Deaf => self.block_links(),
        }
    }

    /// Blocks the links of the machines that are cut off.
    fn block_links(&mut self) {
        let hosts = self.fleet.ids();
        let links = &mut self.fleet.blocked_links;
        links.clear();
        for Lost { host, loss, .. } in self.lost.iter().copied().filter(|it| !it.is_back) {
            if matches!(loss, Loss::Cut | Loss::Mute) {
                links.extend(hosts.iter().map(|it| (host, *it)));
            }
            if matches!(loss, Loss::Cut | Loss::Deaf) {
                links.extend(hosts.iter().map(|it| (*it, host)));
            }
        }
    }

    fn bring_back(&mut self, lost: Lost) {
        let Lost { host, loss, .. } = lost;
        match loss {
            Loss::Replaced | Loss::Retired => {
                let successor = HostId(self.next_host);
                self.next_host += 1;
                self.fleet.seeds = self.live().into_iter().take(3).collect();
                self.fleet.add(successor, false);
                self.block_links();
            }
            Loss::Restarted => self.fleet.start(host),
            Loss::Frozen => drop(self.fleet.frozen.remove(&host)),
            Loss::Cut | Loss::Mute | Loss::Deaf => self.block_links(),
        }
    }

    fn leader(&self) -> HostId {
        let leader = self.fleet.leader();
        leader.unwrap_or_else(|| panic!("{} at {} ms: no leader", self.name, self.now()))
    }

    /// Returns the host that has followed for longest.
    fn oldest_follower(&self) -> HostId {
        let leader = self.leader();
        self.live().into_iter().find(|it| *it != leader).expect("several hosts run")
    }

    /// Asserts that the fleet is whole: the hosts that run are the members, what was acknowledged is
    /// there, and a change is accepted.
    fn check_recovered(mut self) {
        self.run_for(RECOVERY);
        let leader = self.leader();
        let status = self.fleet.process(leader).unwrap().status(self.fleet.now);
        let (voters, running): (BTreeSet<_>, BTreeSet<_>) =
            (status.voters.into_iter().collect(), self.fleet.ids().into_iter().collect());
        assert_eq!(voters, running, "{}: the hosts that run vote", self.name);
        assert!(status.learners.is_empty(), "{}: {:?} only learn", self.name, status.learners);
        let Answer::Config(read) = self.fleet.execute(&Request::ReadConfig) else {
            panic!("{}: no configuration can be read", self.name);
        };
        assert!(self.acknowledged > 10, "{}: changes were acknowledged", self.name);
        assert!(
            read.version >= ConfigVersion(self.acknowledged),
            "{}: version {} was acknowledged, {} is read",
            self.name,
            self.acknowledged,
            read.version
        );
        let last = config(self.next_version + 1, "last");
        assert_eq!(self.fleet.execute(&last), Answer::Accepted, "{}", self.name);
    }
}

/// Guards against replaced machines that stay voters for good while leaders change: 8 voters of which 4
/// are left.
#[test]
fn leaders_replaced_every_five_seconds_leave_a_majority() {
    let mut replay = Replay::new("leaders".into(), 5, 1);

    for _ in 0..14 {
        let leader = replay.leader();
        replay.lose(leader, Loss::Replaced, 1_000);
        replay.run_for(5_000);
    }

    replay.check_recovered();
}

#[test]
fn leaders_and_followers_replaced_in_turn_leave_a_majority() {
    for loss in [Loss::Replaced, Loss::Retired] {
        let mut replay = Replay::new(format!("{loss:?}"), 5, 1);

        for i in 0..14 {
            let host = if i % 2 == 0 { replay.leader() } else { replay.oldest_follower() };
            replay.lose(host, loss, 1_000);
            replay.run_for(5_000);
        }

        replay.check_recovered();
    }
}

#[test]
fn two_of_eleven_machines_replaced_at_once_leave_a_majority() {
    let mut replay = Replay::new("two of eleven".into(), 11, 2);

    for _ in 0..14 {
        let hosts = [replay.leader(), replay.oldest_follower()];
        for host in hosts {
            replay.lose(host, Loss::Replaced, 1_000);
        }
        replay.run_for(5_000);
    }

    replay.check_recovered();
}

/// A leader that stands still for longer than a silent member is kept comes back with its disk.
#[test]
fn leaders_that_freeze_beside_replacements_come_back() {
    let mut replay = Replay::new("frozen leaders".into(), 11, 2);

    for _ in 0..6 {
        let frozen = replay.leader();
        replay.lose(frozen, Loss::Frozen, 12_000);
        for _ in 0..3 {
            let follower = replay.oldest_follower();
            replay.lose(follower, Loss::Replaced, 1_000);
            replay.run_for(5_000);
        }
        replay.run_for(1_000);
    }

    replay.check_recovered();
}

/// Plays drawn losses, as many at once as are allowed, each as soon as it is or some time later.
fn play(seed: u64) -> Replay {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut below = |n: u64| rng.next_u64() % n;
    let (size, lost_disks) = if seed.is_multiple_of(3) { (11, 2) } else { (5, 1) };
    let mut replay = Replay::new(format!("seed {seed}"), size, lost_disks);
    let prefers_leaders = below(2) == 0;
    let end = replay.now() + 90_000;
    let mut next_loss = replay.now();
    while replay.now() < end {
        replay.step();
        if replay.now() < next_loss || replay.lost.len() >= lost_disks {
            continue;
        }
        let live = replay.live();
        let host = match replay.fleet.leader() {
            Some(leader) if prefers_leaders || below(3) == 0 => leader,
            _ => live[below(live.len() as u64) as usize],
        };
        let (loss, back_after) = match below(10) {
            0..4 => (Loss::Replaced, below(5) * 500),
            4 => (Loss::Replaced, below(15_000)),
            5 => (Loss::Retired, below(5) * 500),
            6 => (Loss::Restarted, 500 + below(12_000)),
            7 => (Loss::Frozen, 500 + below(14_000)),
            8 => (Loss::Cut, 500 + below(14_000)),
            _ => ([Loss::Mute, Loss::Deaf][below(2) as usize], 500 + below(14_000)),
        };
        replay.lose(host, loss, back_after);
        next_loss = replay.now() + if below(2) == 0 { 0 } else { below(6_000) };
    }
    replay
}

#[test]
fn drawn_losses_leave_a_majority_and_all_that_was_acknowledged() {
    let seeds = std::env::var("DAISYPADDLE_SOAK_SEEDS").map_or(SEEDS, |it| it.parse().unwrap());

    for seed in 0..seeds {
        play(seed).check_recovered();
    }
}
