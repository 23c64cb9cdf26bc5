//! Simulated control hosts with in-memory disks and a network in which tests block links.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use consensus::{LeaseUse, MembershipPolicy, Settings};
use ids::{Blob, ConfigVersion, HostId, Incarnation, LogIndex, Millis, RequestId, Term, Timestamp};
use registry::{Answer, HostAction, HostEvent, RegistryHost, RegistryHostSettings, Request};
use schema::{
    consensus::{Members, Snapshot, Vote, VotedFor},
    operator::Role,
    peer::PeerMessage,
    registry::ConfigDocument,
    storage::{Identity, Persisted, Record},
    sync::{Place, SyncMessage},
};

const TICK_INTERVAL: Millis = Millis(50);

/// Number of hosts that are the initial voters of the log.
pub const SEED_HOSTS: u32 = 3;

struct Host {
    disk: Persisted,
    process: Option<RegistryHost>,
    starts: u64,
}

pub struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    messages: VecDeque<(HostId, HostId, PeerMessage)>,
    /// Links on which messages are dropped, as (from, to).
    pub blocked_links: BTreeSet<(HostId, HostId)>,
    /// Hosts whose disks refuse every write.
    pub full_disks: BTreeSet<HostId>,
    /// Hosts that stand still; messages wait for them.
    pub frozen: BTreeSet<HostId>,
    /// The seeds that hosts are started with.
    pub seeds: Vec<HostId>,
    /// Number of disks whose loss at once the log is to survive.
    lost_disks: usize,
    pub now: Timestamp,
    pub answers: BTreeMap<RequestId, Answer>,
    /// Messages sent to hosts that are not control hosts of this fleet.
    pub external_messages: Vec<(HostId, PeerMessage)>,
    /// Size of the entry host lists that control hosts have sent each other, in bytes.
    pub host_list_bytes: u64,
    next_request: u64,
    next_disk: u64,
}

pub fn config(version: u64, text: &str) -> Request {
    let packed_text = Blob::from(text.as_bytes().to_vec());
    Request::PutConfig(ConfigDocument { version: ConfigVersion(version), packed_text })
}

pub fn place(name: &str) -> Place {
    Place { region: name.parse().unwrap(), data_centre: format!("{name}-a").parse().unwrap() }
}

impl Fleet {
    /// Starts a new fleet and waits until all hosts vote; the first [`SEED_HOSTS`] are the initial
    /// voters.
    pub fn new(size: u32) -> Self {
        Self::with_lost_disks(size, 1)
    }

    /// Starts a new fleet as [`Self::new`], which survives the loss of so many disks at once.
    pub fn with_lost_disks(size: u32, lost_disks: usize) -> Self {
        let mut fleet = Self {
            hosts: BTreeMap::new(),
            messages: VecDeque::new(),
            blocked_links: BTreeSet::new(),
            full_disks: BTreeSet::new(),
            frozen: BTreeSet::new(),
            seeds: (1..=SEED_HOSTS).map(HostId).collect(),
            lost_disks,
            now: Timestamp::from_millis(1_000),
            answers: BTreeMap::new(),
            external_messages: Vec::new(),
            host_list_bytes: 0,
            next_request: 0,
            next_disk: 0,
        };
        for host in (1..=size).map(HostId) {
            fleet.add(host, true);
        }
        fleet.run_until("all hosts vote", |it| it.voters().len() == size as usize);
        fleet
    }

    /// Adds a host with an empty disk, or restarts an existing host with one.
    pub fn add(&mut self, host: HostId, bootstrap: bool) {
        self.next_disk += 1;
        let members = Members { voters: Vec::new(), learners: Vec::new() };
        let disk = Persisted {
            identity: Identity { host, disk: Incarnation(self.next_disk), bootstrap },
            promised: Incarnation(0),
            vote: Vote { term: Term(0), voted_for: VotedFor::Nobody },
            snapshot: Snapshot {
                index: LogIndex(0),
                term: Term(0),
                members,
                data: Blob::default(),
            },
            entries: Vec::new(),
        };
        self.hosts.insert(host, Host { disk, process: None, starts: 0 });
        self.start(host);
    }

    pub fn start(&mut self, host: HostId) {
        let now = self.now;
        let it = self.hosts.get_mut(&host).unwrap();
        it.starts += 1;
        let settings = RegistryHostSettings {
            consensus: Settings {
                voters: self.seeds.clone(),
                seed: it.starts,
                membership_policy: MembershipPolicy::Open {
                    min_voters: 2 * self.lost_disks + 1,
                    remove_after: Millis(8_000),
                },
                lease_use: LeaseUse::Advisory,
            },
            place: place("north"),
            regions: ["north", "south"]
                .map(|it| (place(it).data_centre, place(it).region))
                .into_iter()
                .collect(),
            incarnation: Incarnation(it.starts),
            is_new_fleet: it.disk.identity.bootstrap,
        };
        it.process = Some(RegistryHost::restore(settings, it.disk.clone(), now));
    }

    pub fn stop(&mut self, host: HostId) {
        self.hosts.get_mut(&host).unwrap().process = None;
    }

    pub fn remove(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    pub fn ids(&self) -> Vec<HostId> {
        self.hosts.keys().copied().collect()
    }

    pub fn process(&self, host: HostId) -> Option<&RegistryHost> {
        self.hosts.get(&host)?.process.as_ref()
    }

    pub fn leader(&self) -> Option<HostId> {
        self.ids().into_iter().find(|it| {
            let status = self.process(*it).map(|process| process.status(self.now));
            status.is_some_and(|it| it.role == Role::Leader && it.is_current)
        })
    }

    pub fn voters(&self) -> Vec<HostId> {
        let leader = self.leader().and_then(|it| self.process(it));
        leader.map(|it| it.status(self.now).voters).unwrap_or_default()
    }

    /// Blocks all links of a host in both directions.
    pub fn isolate(&mut self, host: HostId) {
        for other in self.ids() {
            self.blocked_links.insert((host, other));
            self.blocked_links.insert((other, host));
        }
    }

    pub fn request(&mut self, host: HostId, request: Request) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.handle_event(host, HostEvent::Request { id, request });
        id
    }

    /// Sends a request to one host after the other, as callers do, until one gives a final answer.
    pub fn execute(&mut self, request: &Request) -> Answer {
        for _ in 0..400 {
            for host in self.ids() {
                if self.process(host).is_none() {
                    continue;
                }
                let id = self.request(host, request.clone());
                for _ in 0..4 {
                    self.step();
                }
                match self.answers.get(&id) {
                    Some(Answer::AskLeader(_) | Answer::Unavailable(_)) | None => {}
                    Some(answer) => return answer.clone(),
                }
            }
        }
        panic!("no host answered the request");
    }

    /// Makes room on a full disk.
    pub fn free_disk(&mut self, host: HostId) {
        self.full_disks.remove(&host);
        let now = self.now;
        let it = self.hosts.get_mut(&host).unwrap();
        let disk = it.disk.clone();
        let Some(process) = it.process.as_mut() else { return };
        if process.status(now).is_read_only {
            let actions = process.disk_recovered(now, disk);
            self.execute_actions(host, actions);
        }
    }

    pub fn handle_event(&mut self, host: HostId, event: HostEvent) {
        let now = self.now;
        let it = self.hosts.get_mut(&host).unwrap();
        let Some(process) = it.process.as_mut() else { return };
        let actions = process.handle(now, event);
        self.execute_actions(host, actions);
    }

    fn execute_actions(&mut self, host: HostId, actions: Vec<HostAction>) {
        let is_full = self.full_disks.contains(&host);
        for action in actions {
            let it = self.hosts.get_mut(&host).unwrap();
            match action {
                HostAction::Store(_) | HostAction::SaveSnapshot(_) if is_full => {
                    let process = it.process.as_mut().unwrap();
                    let actions = process.disk_failed(self.now, it.disk.clone());
                    return self.execute_actions(host, actions);
                }
                HostAction::Store(record) => store(&mut it.disk, record),
                HostAction::SaveSnapshot(snapshot) => {
                    it.disk.entries.retain(|entry| entry.index > snapshot.index);
                    it.disk.snapshot = snapshot;
                }
                HostAction::Send { to, message } => self.messages.push_back((host, to, message)),
                HostAction::Answer { id, answer } => {
                    self.answers.insert(id, answer);
                }
            }
        }
    }

    /// Delivers all queued messages and advances the time by one tick.
    pub fn step(&mut self) {
        for _ in 0..self.messages.len() {
            let Some((from, to, message)) = self.messages.pop_front() else { break };
            if self.blocked_links.contains(&(from, to)) {
                continue;
            }
            if self.frozen.contains(&to) {
                self.messages.push_back((from, to, message));
                continue;
            }
            if matches!(message, PeerMessage::Sync(SyncMessage::EntryHosts(_))) {
                self.host_list_bytes += schema::encoded_size(&message).0;
            }
            if !self.hosts.contains_key(&to) {
                self.external_messages.push((to, message));
                continue;
            }
            let incarnation = Incarnation(self.hosts.get(&from).map_or(1, |it| it.starts));
            self.handle_event(to, HostEvent::Peer { from, incarnation, message });
        }
        self.now = self.now + TICK_INTERVAL;
        for host in self.ids() {
            if !self.frozen.contains(&host) {
                self.handle_event(host, HostEvent::Tick);
            }
        }
    }

    pub fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / TICK_INTERVAL.0 {
            self.step();
        }
    }

    pub fn run_until(&mut self, expected: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..2_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("timed out waiting until {expected}");
    }
}

fn store(disk: &mut Persisted, record: Record) {
    match record {
        Record::Reset(_) => disk.entries.clear(),
        Record::Promise(promised) => disk.promised = promised,
        Record::Vote(vote) => disk.vote = vote,
        Record::Append(entries) => disk.entries.extend(entries),
        Record::Truncate(from) => disk.entries.retain(|it| it.index < from),
    }
}
