//! A simulated cluster: hosts with in-memory disks and a network that the test controls.

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

/// Maximum number of messages in flight; a random one is dropped when there are more.
const MAX_PACKETS: usize = 300;

/// A message in flight.
#[derive(Clone)]
pub struct Packet {
    pub from: HostId,
    pub to: HostId,
    message: ConsensusMessage,
}

/// One host; its disk outlives crashes of its process.
struct Host {
    disk: Persisted,
    process: Option<Consensus>,
    /// The replicated state: all applied commands, in order.
    state: Vec<u64>,
    applied: LogIndex,
    /// Number of storage actions until the process crashes.
    crash_after: Option<usize>,
    /// Clock rate relative to the cluster's time, in thousandths.
    clock_permille: u64,
}

pub struct Cluster {
    hosts: BTreeMap<HostId, Host>,
    pub packets: Vec<Packet>,
    /// Pairs of sender and receiver between which messages are dropped.
    pub blocked_links: BTreeSet<(HostId, HostId)>,
    pub now: Timestamp,
    next_disk_id: u64,
    /// The command that was first applied at each index, on any host.
    committed: BTreeMap<LogIndex, u64>,
    leaders: BTreeMap<Term, HostId>,
    /// Decides on network faults and frozen hosts.
    rng: Xoshiro256PlusPlus,
    /// Lost disks, which may reappear.
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
    /// Starts hosts with empty disks that bootstrap a new cluster.
    pub fn bootstrapping(size: u32) -> Self {
        let mut cluster = Self {
            hosts: BTreeMap::new(),
            packets: Vec::new(),
            blocked_links: BTreeSet::new(),
            now: Timestamp::from_millis(1000),
            next_disk_id: 1,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
            lost_disks: Vec::new(),
        };
        for host in (1..=size).map(HostId) {
            let disk = empty_disk(host, cluster.new_disk_id(), true);
            let new_host = Host {
                disk,
                process: None,
                state: Vec::new(),
                applied: LogIndex(0),
                crash_after: None,
                clock_permille: 900 + u64::from(host.0 * 67 % 200),
            };
            cluster.hosts.insert(host, new_host);
        }
        for host in cluster.ids() {
            cluster.start(host);
        }
        cluster
    }

    /// Starts a new cluster and waits until it has a leader.
    pub fn with_leader(size: u32) -> Self {
        let mut cluster = Self::bootstrapping(size);
        cluster.run_until(|it| it.leader().is_some());
        cluster
    }

    /// Sets the seed of network faults and frozen hosts.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Xoshiro256PlusPlus::seed_from_u64(seed);
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

    /// Returns the time by the host's own clock.
    pub fn clock(&self, host: HostId) -> Timestamp {
        Timestamp(self.now.0 * self.hosts[&host].clock_permille / 1000)
    }

    /// Returns a leader that holds its lease.
    pub fn leader(&self) -> Option<HostId> {
        self.ids().into_iter().find(|&it| self.holds_lease(it))
    }

    pub fn holds_lease(&self, host: HostId) -> bool {
        let now = self.clock(host);
        self.process(host).is_some_and(|it| it.lease_read_index(now).is_ok())
    }

    pub fn committed(&self) -> Vec<u64> {
        self.committed.values().copied().collect()
    }

    pub fn state(&self, host: HostId) -> &[u64] {
        &self.hosts[&host].state
    }

    /// Returns the number of voters that run on the disk that the leader's log names.
    pub fn voters_on_known_disks(&self) -> Option<usize> {
        let process = self.process(self.leader()?)?;
        let members = process.members();
        let is_on_known_disk = |it: &&Member| self.hosts[&it.host].disk.identity.disk == it.disk;
        Some(members.voters.iter().filter(is_on_known_disk).count())
    }

    /// Returns whether the cluster survives the loss of the host: a majority of all hosts are then
    /// left as voters on the disks that the log names.
    pub fn can_lose(&self, host: HostId) -> bool {
        let Some(process) = self.leader().and_then(|it| self.process(it)) else {
            return false;
        };
        let is_kept =
            |it: &&Member| it.host != host && self.hosts[&it.host].disk.identity.disk == it.disk;
        let kept = process.members().voters.iter().filter(is_kept).count();
        process.is_membership_committed() && kept > self.hosts.len() / 2
    }

    /// Returns whether the leader's log does not list the host as a member.
    pub fn is_removed(&self, host: HostId) -> bool {
        let Some(process) = self.leader().and_then(|it| self.process(it)) else {
            return false;
        };
        let members = process.members();
        !members.voters.iter().chain(&members.learners).any(|it| it.host == host)
    }

    /// Returns whether the host runs on a disk older than the one that the leader's log names.
    pub fn is_on_stale_disk(&self, host: HostId) -> bool {
        let Some(process) = self.leader().and_then(|it| self.process(it)) else {
            return false;
        };
        let disk = self.hosts[&host].disk.identity.disk;
        let members = process.members();
        let mut all = members.voters.iter().chain(&members.learners);
        all.any(|it| it.host == host && it.disk > disk)
    }

    /// Returns whether any host has ever been leader.
    pub fn has_had_leader(&self) -> bool {
        !self.leaders.is_empty()
    }

    pub fn start(&mut self, host: HostId) {
        let now = self.clock(host);
        let seed = u64::from(host.0) + self.next_disk_id * 100;
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
        self.next_disk_id += 1;
    }

    pub fn crash(&mut self, host: HostId) {
        self.hosts.get_mut(&host).unwrap().process = None;
    }

    pub fn crash_after(&mut self, host: HostId, storage_actions: usize) {
        self.hosts.get_mut(&host).unwrap().crash_after = Some(storage_actions);
    }

    pub fn lose_disk(&mut self, host: HostId, bootstrap: bool) {
        let disk = empty_disk(host, self.new_disk_id(), bootstrap);
        self.replace_disk(host, disk);
    }

    /// Replaces the host's disk by the first one that it lost and that has not reappeared yet.
    pub fn restore_lost_disk(&mut self, host: HostId) {
        let is_of_host = |it: &Persisted| it.identity.host == host;
        if let Some(position) = self.lost_disks.iter().position(is_of_host) {
            let disk = self.lost_disks.remove(position);
            self.replace_disk(host, disk);
        }
    }

    /// Returns whether the host's disk holds an entry or a snapshot.
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
        self.execute(host, proposed.actions);
        proposed.outcome.is_ok()
    }

    pub fn remove_voter(&mut self, host: HostId, voter: HostId) -> bool {
        let now = self.clock(host);
        let Some(process) = self.hosts.get_mut(&host).unwrap().process.as_mut() else {
            return false;
        };
        let proposed = process.remove_voter(now, voter);
        self.execute(host, proposed.actions);
        proposed.outcome.is_ok()
    }

    pub fn compact(&mut self, host: HostId) {
        let it = self.hosts.get_mut(&host).unwrap();
        let Some(process) = it.process.as_mut() else {
            return;
        };
        let actions = process.compact(it.applied, encode_state(&it.state));
        self.execute(host, actions);
    }

    pub fn tick(&mut self, host: HostId) {
        let now = self.clock(host);
        if let Some(process) = self.hosts.get_mut(&host).unwrap().process.as_mut() {
            let actions = process.tick(now);
            self.execute(host, actions);
        }
    }

    pub fn tick_all(&mut self) {
        self.now = self.now + TICK;
        for host in self.ids() {
            self.tick(host);
        }
    }

    /// Advances the time by one tick. The network loses, delays, duplicates and reorders messages,
    /// and some hosts miss the tick.
    pub fn step_with_faults(&mut self) {
        self.now = self.now + TICK;
        for host in self.ids() {
            if !self.rng.next_u32().is_multiple_of(8) {
                self.tick(host);
            }
        }
        for _ in 0..self.packets.len() * 2 {
            self.process_random_packet();
        }
    }

    fn process_random_packet(&mut self) {
        if self.packets.is_empty() {
            return;
        }
        let position = self.rng.next_u32() as usize % self.packets.len();
        match self.rng.next_u32() % 20 {
            0..4 => {}
            4 => drop(self.packets.swap_remove(position)),
            5 => self.deliver(self.packets[position].clone()),
            _ => {
                let packet = self.packets.swap_remove(position);
                self.deliver(packet);
            }
        }
        if self.packets.len() > MAX_PACKETS {
            let position = self.rng.next_u32() as usize % self.packets.len();
            self.packets.swap_remove(position);
        }
    }

    /// Delivers a message unless its link is blocked or the host is down.
    pub fn deliver(&mut self, packet: Packet) {
        if self.blocked_links.contains(&(packet.from, packet.to)) {
            return;
        }
        let now = self.clock(packet.to);
        if let Some(process) = self.hosts.get_mut(&packet.to).unwrap().process.as_mut() {
            let actions = process.handle(now, packet.from, packet.message);
            self.execute(packet.to, actions);
        }
    }

    /// Advances the time by one tick and delivers all messages in order.
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
        panic!("the condition was not met within one minute:\n{}", self.describe_hosts());
    }

    /// Returns the roles and logs of all hosts, one line each.
    fn describe_hosts(&self) -> String {
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

    fn new_disk_id(&mut self) -> u64 {
        self.next_disk_id += 1;
        self.next_disk_id
    }

    fn execute(&mut self, host: HostId, actions: Vec<Action>) {
        for action in actions {
            if !self.execute_one(host, action) {
                return;
            }
        }
        self.check_leaders(host);
    }

    /// Executes one action; returns false if the host crashed.
    fn execute_one(&mut self, host: HostId, action: Action) -> bool {
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
            Action::Store(record) => apply_record(&mut it.disk, record),
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
        let known = *self.committed.entry(index).or_insert(value);
        assert_eq!(known, value, "{host} replaces the committed entry {index}");
        self.check_state(host);
    }

    fn restore_state(&mut self, host: HostId, index: LogIndex, data: &Blob) {
        let it = self.hosts.get_mut(&host).unwrap();
        assert!(index > it.applied, "{host} restores {index} after {}", it.applied);
        it.applied = index;
        it.state = decode_state(data);
        self.check_state(host);
    }

    /// Asserts that the state consists of all committed commands up to the last applied one.
    fn check_state(&self, host: HostId) {
        let it = &self.hosts[&host];
        let expected: Vec<u64> = self.committed.range(..=it.applied).map(|it| *it.1).collect();
        assert_eq!(it.state, expected, "state of {host} at {}", it.applied);
    }

    /// Asserts that each term has at most one leader, and checks the lease holders.
    fn check_leaders(&mut self, host: HostId) {
        let Some(process) = self.process(host) else {
            return;
        };
        if !process.is_leader() {
            return;
        }
        let term = process.term();
        let known = *self.leaders.entry(term).or_insert(host);
        assert_eq!(known, host, "two leaders in term {term}");
        self.check_lease_holders();
    }

    /// Asserts that every host that holds a lease knows all committed entries.
    pub fn check_lease_holders(&self) {
        let processes = self.hosts.values().filter_map(|it| it.process.as_ref());
        let newest = processes.map(Consensus::commit_index).max().unwrap_or_default();
        for host in self.ids() {
            if self.holds_lease(host) {
                let commit = self.process(host).unwrap().commit_index();
                assert!(commit >= newest, "{host} holds a lease at {commit}, not {newest}");
            }
        }
    }
}

fn apply_record(disk: &mut Persisted, record: Record) {
    match record {
        Record::Reset(_) => unreachable!("only the storage crate writes this record"),
        Record::Promise(promised) => disk.promised = promised,
        Record::Vote(vote) => disk.vote = vote,
        Record::Append(entries) => disk.entries.extend(entries),
        Record::Truncate(from) => disk.entries.retain(|it| it.index < from),
    }
}
