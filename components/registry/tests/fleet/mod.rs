//! A few control hosts with disks in memory and a network that the test cuts.

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

const TICK: Millis = Millis(50);

/// The hosts that found the log.
pub const SEEDS: u32 = 3;

struct Host {
    disk: Persisted,
    process: Option<RegistryHost>,
    starts: u64,
}

pub struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    messages: VecDeque<(HostId, HostId, PeerMessage)>,
    pub cuts: BTreeSet<(HostId, HostId)>,
    pub now: Timestamp,
    pub answers: BTreeMap<RequestId, Answer>,
    /// Everything sent to hosts that are no control hosts of this fleet.
    pub sent_outside: Vec<(HostId, PeerMessage)>,
    /// Bytes by which control hosts told each other of entry hosts.
    pub list_bytes: u64,
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
    /// Hosts that start for the first time; the first three found the log.
    pub fn new(size: u32) -> Self {
        let mut fleet = Self {
            hosts: BTreeMap::new(),
            messages: VecDeque::new(),
            cuts: BTreeSet::new(),
            now: Timestamp::from_millis(1_000),
            answers: BTreeMap::new(),
            sent_outside: Vec::new(),
            list_bytes: 0,
            next_request: 0,
            next_disk: 0,
        };
        for host in (1..=size).map(HostId) {
            fleet.add(host, true);
        }
        fleet.run_until("all hosts vote", |it| it.voters().len() == size as usize);
        fleet
    }

    /// Adds a host with an empty disk, or replaces the disk of one.
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
                voters: (1..=SEEDS).map(HostId).collect(),
                seed: it.starts,
                membership_policy: MembershipPolicy::Open {
                    min_voters: 3,
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

    /// Cuts a host off from all others, both ways.
    pub fn isolate(&mut self, host: HostId) {
        for other in self.ids() {
            self.cuts.insert((host, other));
            self.cuts.insert((other, host));
        }
    }

    pub fn request(&mut self, host: HostId, request: Request) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.feed(host, HostEvent::Request { id, request });
        id
    }

    /// Asks one host after the other until the request is answered for good, as callers do.
    pub fn ask(&mut self, request: &Request) -> Answer {
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
        panic!("no answer");
    }

    pub fn feed(&mut self, host: HostId, event: HostEvent) {
        let now = self.now;
        let it = self.hosts.get_mut(&host).unwrap();
        let Some(process) = it.process.as_mut() else { return };
        for action in process.handle(now, event) {
            match action {
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

    /// Delivers all messages and lets a tick pass.
    pub fn step(&mut self) {
        for _ in 0..self.messages.len() {
            let Some((from, to, message)) = self.messages.pop_front() else { break };
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            if matches!(message, PeerMessage::Sync(SyncMessage::EntryHosts(_))) {
                self.list_bytes += schema::encoded_size(&message).0;
            }
            if !self.hosts.contains_key(&to) {
                self.sent_outside.push((to, message));
                continue;
            }
            let incarnation = Incarnation(self.hosts.get(&from).map_or(1, |it| it.starts));
            self.feed(to, HostEvent::Peer { from, incarnation, message });
        }
        self.now = self.now + TICK;
        for host in self.ids() {
            self.feed(host, HostEvent::Tick);
        }
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK.0 {
            self.step();
        }
    }

    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..2_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("waited in vain: {what}");
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
