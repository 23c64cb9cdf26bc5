//! Simulated control hosts with real data folders, on a simulated network and clock.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use consensus::{LeaseUse, MembershipPolicy, Settings};
use control_core::{Action, ControlCore, Event};
use ids::{ConfigVersion, HostId, Incarnation, Millis, RequestId, Timestamp, WallTime};
use schema::{
    consensus::{ConsensusMessage, Member},
    operator::{OperatorRequest, OperatorResponse, Origin, Submit},
};
use storage::Storage;
use tempfile::TempDir;

const EXAMPLE_CONFIG: &str = include_str!("../../../../examples/strengur.yaml");

/// Returns a valid configuration text; `variant` changes its contents.
pub fn config_text(version: u64, variant: u32) -> String {
    let floor = format!("floor: {}", 1 + variant);
    EXAMPLE_CONFIG
        .replacen("version: 1", &format!("version: {version}"), 1)
        .replacen("floor: 6", &floor, 1)
}

pub fn submit(text: &str) -> OperatorRequest {
    OperatorRequest::Submit(Submit { text: text.to_owned() })
}

pub fn origin(operator: &str) -> Origin {
    Origin { operator: operator.to_owned(), address: "192.0.2.1:5000".to_owned() }
}

struct Host {
    folder: TempDir,
    process: Option<Process>,
    /// The latest version that the running process has reported as committed.
    in_force: ConfigVersion,
}

struct Process {
    core: ControlCore,
    storage: Storage,
    /// Id of the data folder; an empty folder gets a new one.
    disk: Incarnation,
}

pub struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    /// Undelivered messages with their sender and receiver.
    messages: Vec<(HostId, HostId, ConsensusMessage)>,
    /// Sender and receiver of each link that drops all messages.
    pub blocked_links: BTreeSet<(HostId, HostId)>,
    pub answers: BTreeMap<RequestId, OperatorResponse>,
    now: Timestamp,
    next_request: u64,
    next_disk: u64,
}

impl Fleet {
    /// Starts `size` hosts and runs until one of them is the leader.
    pub fn with_leader(size: u32) -> Self {
        let mut fleet = Self {
            hosts: BTreeMap::new(),
            messages: Vec::new(),
            blocked_links: BTreeSet::new(),
            answers: BTreeMap::new(),
            now: Timestamp::default(),
            next_request: 0,
            next_disk: 0,
        };
        for host in (1..=size).map(HostId) {
            let folder = tempfile::tempdir().unwrap();
            fleet.hosts.insert(host, Host { folder, process: None, in_force: ConfigVersion(0) });
        }
        fleet.ids().into_iter().for_each(|it| fleet.start(it, true));
        fleet.run_until(|it| it.leader().is_some());
        fleet
    }

    pub fn ids(&self) -> Vec<HostId> {
        self.hosts.keys().copied().collect()
    }

    pub fn core(&self, host: HostId) -> &ControlCore {
        &self.hosts[&host].process.as_ref().unwrap().core
    }

    /// Returns the host that is the leader and holds its read lease.
    pub fn leader(&self) -> Option<HostId> {
        let holds_lease = |host: &HostId| {
            let process = self.hosts[host].process.as_ref();
            process.is_some_and(|it| it.core.consensus().lease_read_index(self.now).is_ok())
        };
        self.ids().into_iter().find(holds_lease)
    }

    /// Returns whether a majority of all hosts would still be voters if `host` lost its disk.
    pub fn can_lose_disk(&self, host: HostId) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let log = self.core(leader).consensus();
        let is_kept = |it: &&Member| {
            let process = self.hosts[&it.host].process.as_ref();
            it.host != host && process.is_some_and(|process| process.disk == it.disk)
        };
        let kept = log.members().voters.iter().filter(is_kept).count();
        log.is_membership_committed() && kept > self.hosts.len() / 2
    }

    /// Returns the latest version that the host's process has reported as committed.
    pub fn in_force(&self, host: HostId) -> ConfigVersion {
        self.hosts[&host].in_force
    }

    /// Starts the process of a host.
    ///
    /// `bootstrap` marks an empty data folder as that of a new cluster.
    pub fn start(&mut self, host: HostId, bootstrap: bool) {
        self.next_disk += 1;
        let voters = self.ids();
        let it = self.hosts.get_mut(&host).unwrap();
        let disk = Incarnation(self.next_disk);
        let opened = Storage::open(it.folder.path(), host, disk, bootstrap).unwrap();
        let settings = Settings {
            voters,
            seed: self.next_disk,
            membership_policy: MembershipPolicy::Listed,
            lease_use: LeaseUse::Reads,
        };
        let disk = opened.persisted.identity.disk;
        let core = ControlCore::restore(settings, opened.persisted, self.now);
        it.in_force = ConfigVersion(0);
        it.process = Some(Process { core, storage: opened.storage, disk });
    }

    pub fn stop(&mut self, host: HostId) {
        self.hosts.get_mut(&host).unwrap().process = None;
    }

    /// Stops a host and replaces its data folder by an empty one.
    pub fn lose_disk(&mut self, host: HostId) {
        self.stop(host);
        self.hosts.get_mut(&host).unwrap().folder = tempfile::tempdir().unwrap();
    }

    /// Sends an operator's request to a host without waiting for the answer.
    pub fn ask(&mut self, host: HostId, operator: &str, body: OperatorRequest) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.handle_event(host, Event::Request { request, origin: origin(operator), body });
        request
    }

    /// Sends a request to the leader and runs until it is answered.
    pub fn ask_leader(&mut self, operator: &str, body: OperatorRequest) -> OperatorResponse {
        let leader = self.leader().unwrap();
        let request = self.ask(leader, operator, body);
        self.run_until(|it| it.answers.contains_key(&request));
        self.answers[&request].clone()
    }

    /// Passes an event to a host, if its process runs, and executes the actions.
    pub fn handle_event(&mut self, host: HostId, event: Event) {
        let wall_time = WallTime(1_800_000_000_000 + self.now.0 / 1000);
        let it = self.hosts.get_mut(&host).unwrap();
        let Some(process) = it.process.as_mut() else {
            return;
        };
        for action in process.core.handle(self.now, wall_time, event) {
            match action {
                Action::Store(record) => process.storage.write(&[record]).unwrap(),
                Action::SaveSnapshot(snapshot) => process.storage.save_snapshot(&snapshot).unwrap(),
                Action::Send { to, message } => self.messages.push((host, to, message)),
                Action::Answer { request, response } => {
                    let earlier = self.answers.insert(request, response);
                    assert_eq!(earlier, None, "request {request} was answered twice");
                }
                Action::ConfigCommitted { version, .. } => {
                    assert!(
                        version > it.in_force,
                        "{host} committed version {version} after {}",
                        it.in_force
                    );
                    it.in_force = version;
                }
                Action::ClaimMapCommitted(_) | Action::MembersChanged(_) => {}
            }
        }
    }

    /// Advances the clock by 50 ms, then ticks all hosts and delivers their messages.
    pub fn step(&mut self) {
        self.now = self.now + Millis(50);
        self.ids().into_iter().for_each(|it| self.handle_event(it, Event::Tick));
        for _ in 0..10 {
            for (from, to, message) in std::mem::take(&mut self.messages) {
                if !self.blocked_links.contains(&(from, to)) {
                    self.handle_event(to, Event::Message { from, message });
                }
            }
        }
    }

    /// Steps until the condition holds; panics after a minute of simulated time.
    pub fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..1200 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("the condition did not hold within a minute of simulated time");
    }
}
