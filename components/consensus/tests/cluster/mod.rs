//! A few hosts of a replicated log with disks in memory and a network that the test controls.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use consensus::{Action, Consensus, LeaseUse, MembershipPolicy, Settings};
use ids::{Blob, HostId, Incarnation, LogIndex, Millis, Term, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::{
    consensus::{ConsensusMessage, Member, Members, Snapshot, Vote, VotedFor},
    storage::{Identity, Persisted, Record},
};

pub const TICK: Millis = Millis(50);

/// Messages on their way at most; a random one is lost when there are more.
const MAX_PACKETS: usize = 300;

/// A message on its way.
#[derive(Clone)]
pub struct Packet {
    pub from: HostId,
    pub to: HostId,
    message: ConsensusMessage,
}

/// One host; its process may be down while its disk stays.
struct Host {
    disk: Persisted,
    process: Option<Consensus>,
    /// The replicated state: all commands applied, in order.
    state: Vec<u64>,
    applied: LogIndex,
    /// Storage actions until a crash.
    crash_after: Option<usize>,
    /// Clock speed in thousandths.
    clock_rate: u64,
}

pub struct Cluster {
    hosts: BTreeMap<HostId, Host>,
    pub packets: Vec<Packet>,
    pub cuts: BTreeSet<(HostId, HostId)>,
    pub now: Timestamp,
    next_disk: u64,
    /// What was applied at each index, by whichever host came first.
    accepted: BTreeMap<LogIndex, u64>,
    leaders: BTreeMap<Term, HostId>,
    /// Decides what happens to messages.
    random: Xoshiro256PlusPlus,
    /// All disks that were lost, to be found again.
    lost_disks: Vec<Persisted>,
}

fn empty_disk(host: HostId, disk: u64, bootstrap: bool) -> Persisted {
    let members = Members { voters: Vec::new(), learners: Vec::new() };
    Persisted {
        identity: Identity { host, disk: Incarnation(disk), bootstrap },
        promised: Incarnation(0),
        vote: Vote { term: Term(0), voted_for: VotedFor::Nobody },
        snapshot: Snapshot { index: LogIndex(0), term: Term(0), members, data: Blob::default() },
        entries: Vec::new(),
    }
}

fn encode_state(state: &[u64]) -> Blob {
    schema::encode(&state.to_vec()).into()
}

fn decode_state(data: &Blob) -> Vec<u64> {
    match data.as_slice() {
        [] => Vec::new(),
        data => schema::decode(data).unwrap(),
    }
}

impl Cluster {
    /// Hosts that found a new cluster.
    pub fn bootstrapping(size: u32) -> Self {
        let mut cluster = Self {
            hosts: BTreeMap::new(),
            packets: Vec::new(),
            cuts: BTreeSet::new(),
            now: Timestamp::from_millis(1000),
            next_disk: 1,
            accepted: BTreeMap::new(),
            leaders: BTreeMap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(1),
            lost_disks: Vec::new(),
        };
        for host in (1..=size).map(HostId) {
            let disk = empty_disk(host, cluster.new_disk(), true);
            let host_state = Host {
                disk,
                process: None,
                state: Vec::new(),
                applied: LogIndex(0),
                crash_after: None,
                clock_rate: 900 + u64::from(host.0 * 67 % 200),
            };
            cluster.hosts.insert(host, host_state);
        }
        for host in cluster.ids() {
            cluster.start(host);
        }
        cluster
    }

    /// Hosts of a founded cluster that has a leader.
    pub fn with_leader(size: u32) -> Self {
        let mut cluster = Self::bootstrapping(size);
        cluster.run_until(|it| it.leader().is_some());
        cluster
    }

    /// Sets the seed of what happens to messages.
    pub fn reseed(&mut self, seed: u64) {
        self.random = Xoshiro256PlusPlus::seed_from_u64(seed);
    }

    pub fn ids(&self) -> Vec<HostId> {
        self.hosts.keys().copied().collect()
    }

    pub fn is_up(&self, host: HostId) -> bool {
        self.hosts[&host].process.is_some()
    }

    pub fn process(&self, host: HostId) -> Option<&Consensus> {
        self.hosts[&host].process.as_ref()
    }

    /// The host's own clock.
    pub fn clock(&self, host: HostId) -> Timestamp {
        Timestamp(self.now.0 * self.hosts[&host].clock_rate / 1000)
    }

    /// A host that may answer as current.
    pub fn leader(&self) -> Option<HostId> {
        self.ids().into_iter().find(|&it| self.answers_as_current(it))
    }

    pub fn answers_as_current(&self, host: HostId) -> bool {
        let now = self.clock(host);
        self.process(host).is_some_and(|it| it.read_lease(now).is_ok())
    }

    pub fn accepted(&self) -> Vec<u64> {
        self.accepted.values().copied().collect()
    }

    pub fn state(&self, host: HostId) -> &[u64] {
        &self.hosts[&host].state
    }

    /// Hosts whose present disk is a voter's by the accepted members of a current leader.
    pub fn whole_voters(&self) -> Option<usize> {
        let process = self.process(self.leader()?)?;
        let members = process.members();
        let is_whole = |it: &&Member| self.hosts[&it.host].disk.identity.disk == it.disk;
        Some(members.voters.iter().filter(is_whole).count())
    }

    /// Whether the cluster can do without the host: a majority of all hosts are left as voters on
    /// the disk that the log knows.
    pub fn can_do_without(&self, host: HostId) -> bool {
        let Some(process) = self.leader().and_then(|it| self.process(it)) else {
            return false;
        };
        let is_kept =
            |it: &&Member| it.host != host && self.hosts[&it.host].disk.identity.disk == it.disk;
        let kept = process.members().voters.iter().filter(is_kept).count();
        process.is_membership_committed() && kept > self.hosts.len() / 2
    }

    /// Whether the host was removed from the log while its own log says otherwise.
    pub fn is_removed(&self, host: HostId) -> bool {
        let Some(process) = self.leader().and_then(|it| self.process(it)) else {
            return false;
        };
        let members = process.members();
        !members.voters.iter().chain(&members.learners).any(|it| it.host == host)
    }

    /// Whether the host runs on a disk that the log has replaced.
    pub fn is_on_found_disk(&self, host: HostId) -> bool {
        let Some(process) = self.leader().and_then(|it| self.process(it)) else {
            return false;
        };
        let disk = self.hosts[&host].disk.identity.disk;
        let members = process.members();
        let mut all = members.voters.iter().chain(&members.learners);
        all.any(|it| it.host == host && it.disk > disk)
    }

    /// Whether any host has ever led.
    pub fn has_led(&self) -> bool {
        !self.leaders.is_empty()
    }

    pub fn start(&mut self, host: HostId) {
        let now = self.clock(host);
        let seed = u64::from(host.0) + self.next_disk * 100;
        let settings = Settings {
            voters: self.ids(),
            seed,
            membership_policy: MembershipPolicy::Listed,
            lease_use: LeaseUse::Reads,
        };
        let it = self.hosts.get_mut(&host).unwrap();
        it.state = decode_state(&it.disk.snapshot.data);
        it.applied = it.disk.snapshot.index;
        it.crash_after = None;
        it.process = Some(Consensus::restore(settings, it.disk.clone(), now));
        self.next_disk += 1;
    }

    pub fn crash(&mut self, host: HostId) {
        self.hosts.get_mut(&host).unwrap().process = None;
    }

    pub fn crash_after(&mut self, host: HostId, storage_actions: usize) {
        self.hosts.get_mut(&host).unwrap().crash_after = Some(storage_actions);
    }

    pub fn lose_disk(&mut self, host: HostId, bootstrap: bool) {
        let disk = empty_disk(host, self.new_disk(), bootstrap);
        self.replace_disk(host, disk);
    }

    /// Puts the disk that the host lost first in the place of its present one.
    pub fn find_lost_disk(&mut self, host: HostId) {
        let is_of_host = |it: &Persisted| it.identity.host == host;
        if let Some(position) = self.lost_disks.iter().position(is_of_host) {
            let disk = self.lost_disks.remove(position);
            self.replace_disk(host, disk);
        }
    }

    /// Whether the host's disk holds any entry.
    pub fn has_log(&self, host: HostId) -> bool {
        let disk = &self.hosts[&host].disk;
        !disk.entries.is_empty() || disk.snapshot.index > LogIndex(0)
    }

    pub fn replace_disk(&mut self, host: HostId, disk: Persisted) {
        self.crash(host);
        let it = self.hosts.get_mut(&host).unwrap();
        self.lost_disks.push(std::mem::replace(&mut it.disk, disk));
    }

    pub fn propose(&mut self, host: HostId, value: u64) -> bool {
        let now = self.clock(host);
        let data = Blob::from(schema::encode(&value));
        let Some(process) = self.hosts.get_mut(&host).unwrap().process.as_mut() else {
            return false;
        };
        let proposed = process.propose(now, data);
        self.carry_out(host, proposed.actions);
        proposed.outcome.is_ok()
    }

    pub fn remove_voter(&mut self, host: HostId, voter: HostId) -> bool {
        let now = self.clock(host);
        let Some(process) = self.hosts.get_mut(&host).unwrap().process.as_mut() else {
            return false;
        };
        let proposed = process.remove_voter(now, voter);
        self.carry_out(host, proposed.actions);
        proposed.outcome.is_ok()
    }

    pub fn compact(&mut self, host: HostId) {
        let it = self.hosts.get_mut(&host).unwrap();
        let Some(process) = it.process.as_mut() else {
            return;
        };
        let actions = process.compact(it.applied, encode_state(&it.state));
        self.carry_out(host, actions);
    }

    pub fn tick(&mut self, host: HostId) {
        let now = self.clock(host);
        if let Some(process) = self.hosts.get_mut(&host).unwrap().process.as_mut() {
            let actions = process.tick(now);
            self.carry_out(host, actions);
        }
    }

    pub fn tick_all(&mut self) {
        self.now = self.now + TICK;
        for host in self.ids() {
            self.tick(host);
        }
    }

    /// Lets time pass on a network that loses, delays, repeats and reorders messages, and for
    /// hosts that freeze.
    pub fn step_badly(&mut self) {
        self.now = self.now + TICK;
        for host in self.ids() {
            if !self.random.next_u32().is_multiple_of(8) {
                self.tick(host);
            }
        }
        for _ in 0..self.packets.len() * 2 {
            self.treat_any_packet();
        }
    }

    fn treat_any_packet(&mut self) {
        if self.packets.is_empty() {
            return;
        }
        let position = self.random.next_u32() as usize % self.packets.len();
        match self.random.next_u32() % 20 {
            0..4 => {}
            4 => drop(self.packets.swap_remove(position)),
            5 => self.deliver(self.packets[position].clone()),
            _ => {
                let packet = self.packets.swap_remove(position);
                self.deliver(packet);
            }
        }
        if self.packets.len() > MAX_PACKETS {
            let position = self.random.next_u32() as usize % self.packets.len();
            self.packets.swap_remove(position);
        }
    }

    /// Delivers a message, unless its way is cut or the host is down.
    pub fn deliver(&mut self, packet: Packet) {
        if self.cuts.contains(&(packet.from, packet.to)) {
            return;
        }
        let now = self.clock(packet.to);
        if let Some(process) = self.hosts.get_mut(&packet.to).unwrap().process.as_mut() {
            let actions = process.handle(now, packet.from, packet.message);
            self.carry_out(packet.to, actions);
        }
    }

    /// Lets time pass and delivers everything in order.
    pub fn step(&mut self) {
        self.tick_all();
        for _ in 0..20 {
            for packet in std::mem::take(&mut self.packets) {
                self.deliver(packet);
            }
        }
    }

    pub fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..1200 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("the condition did not come true within a minute:\n{}", self.describe());
    }

    /// The roles and logs of all hosts.
    fn describe(&self) -> String {
        let line = |(host, it): (&HostId, &Host)| {
            let disk = it.disk.identity.disk;
            let Some(process) = &it.process else {
                return format!("{host} on disk {disk} is down");
            };
            let (role, term, members) = (process.role(), process.term(), process.members());
            let (commit, last) = (process.commit_index(), process.last_index());
            format!("{host} on disk {disk}: {role:?} {term} {commit} of {last} {members:?}")
        };
        self.hosts.iter().map(line).collect::<Vec<_>>().join("\n")
    }

    fn new_disk(&mut self) -> u64 {
        self.next_disk += 1;
        self.next_disk
    }

    fn carry_out(&mut self, host: HostId, actions: Vec<Action>) {
        for action in actions {
            if !self.carry_out_one(host, action) {
                return;
            }
        }
        self.check_leaders(host);
    }

    /// Carries out one action; false when the host crashed.
    fn carry_out_one(&mut self, host: HostId, action: Action) -> bool {
        let it = self.hosts.get_mut(&host).unwrap();
        let is_storage = matches!(action, Action::Store(_) | Action::SaveSnapshot(_));
        if is_storage && let Some(left) = it.crash_after {
            if left == 0 {
                it.process = None;
                return false;
            }
            it.crash_after = Some(left - 1);
        }
        match action {
            Action::Store(record) => store(&mut it.disk, record),
            Action::SaveSnapshot(snapshot) => {
                it.disk.entries.retain(|entry| entry.index > snapshot.index);
                it.disk.snapshot = snapshot;
            }
            Action::Send { to, message } => {
                self.packets.push(Packet { from: host, to, message });
            }
            Action::Apply { index, data } => self.apply(host, index, &data),
            Action::RestoreState { index, data } => self.restore_state(host, index, &data),
            Action::MembersChanged(_) => {}
        }
        true
    }

    fn apply(&mut self, host: HostId, index: LogIndex, data: &Blob) {
        let value: u64 = schema::decode(data.as_slice()).unwrap();
        let it = self.hosts.get_mut(&host).unwrap();
        assert!(index > it.applied, "{host} applies {index} after {}", it.applied);
        it.applied = index;
        it.state.push(value);
        let first = *self.accepted.entry(index).or_insert(value);
        assert_eq!(first, value, "{host} replaces the accepted entry {index}");
        self.check_state(host);
    }

    fn restore_state(&mut self, host: HostId, index: LogIndex, data: &Blob) {
        let it = self.hosts.get_mut(&host).unwrap();
        assert!(index > it.applied, "{host} goes back from {} to {index}", it.applied);
        it.applied = index;
        it.state = decode_state(data);
        self.check_state(host);
    }

    /// The state holds all accepted commands up to the applied one.
    fn check_state(&self, host: HostId) {
        let it = &self.hosts[&host];
        let expected: Vec<u64> = self.accepted.range(..=it.applied).map(|it| *it.1).collect();
        assert_eq!(it.state, expected, "state of {host} at {}", it.applied);
    }

    /// There is one leader a term, and one that answers as current knows all accepted entries.
    fn check_leaders(&mut self, host: HostId) {
        let Some(process) = self.process(host) else {
            return;
        };
        if !process.is_leader() {
            return;
        }
        let term = process.term();
        let first = *self.leaders.entry(term).or_insert(host);
        assert_eq!(first, host, "two leaders in term {term}");
        self.check_current();
    }

    pub fn check_current(&self) {
        let commits = self.hosts.values().filter_map(|it| it.process.as_ref());
        let newest = commits.map(Consensus::commit_index).max().unwrap_or_default();
        for host in self.ids() {
            if self.answers_as_current(host) {
                let commit = self.process(host).unwrap().commit_index();
                assert!(commit >= newest, "{host} answers {commit} as current, not {newest}");
            }
        }
    }
}

fn store(disk: &mut Persisted, record: Record) {
    match record {
        Record::Reset(_) => unreachable!("only the storage writes this"),
        Record::Promise(promised) => disk.promised = promised,
        Record::Vote(vote) => disk.vote = vote,
        Record::Append(entries) => disk.entries.extend(entries),
        Record::Truncate(from) => disk.entries.retain(|it| it.index < from),
    }
}
