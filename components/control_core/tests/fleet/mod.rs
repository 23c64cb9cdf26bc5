//! Control hosts with real data folders on a network that the test controls.

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

const STRENGUR: &str = include_str!("../../../../examples/strengur.yaml");

/// A valid text of that version; `variant` changes its contents.
pub fn text(version: u64, variant: u32) -> String {
    let floor = format!("floor: {}", 1 + variant);
    STRENGUR
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
    /// The newest version that the process has put in force.
    in_force: ConfigVersion,
}

struct Process {
    core: ControlCore,
    storage: Storage,
    disk: Incarnation,
}

pub struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    packets: Vec<(HostId, HostId, ConsensusMessage)>,
    pub cuts: BTreeSet<(HostId, HostId)>,
    pub answers: BTreeMap<RequestId, OperatorResponse>,
    now: Timestamp,
    next_request: u64,
    next_disk: u64,
}

impl Fleet {
    pub fn with_leader(size: u32) -> Self {
        let mut fleet = Self {
            hosts: BTreeMap::new(),
            packets: Vec::new(),
            cuts: BTreeSet::new(),
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

    pub fn leader(&self) -> Option<HostId> {
        let leads = |host: &HostId| {
            let process = self.hosts[host].process.as_ref();
            process.is_some_and(|it| it.core.consensus().lease_read_index(self.now).is_ok())
        };
        self.ids().into_iter().find(leads)
    }

    /// Whether a majority of all hosts are voters without this one.
    pub fn can_do_without(&self, host: HostId) -> bool {
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

    pub fn in_force(&self, host: HostId) -> ConfigVersion {
        self.hosts[&host].in_force
    }

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

    pub fn lose_disk(&mut self, host: HostId) {
        self.stop(host);
        self.hosts.get_mut(&host).unwrap().folder = tempfile::tempdir().unwrap();
    }

    /// Sends an operator's request to a host.
    pub fn ask(&mut self, host: HostId, operator: &str, body: OperatorRequest) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.event(host, Event::Request { request, origin: origin(operator), body });
        request
    }

    /// Sends a request to the leader and waits for the answer.
    pub fn ask_leader(&mut self, operator: &str, body: OperatorRequest) -> OperatorResponse {
        let leader = self.leader().unwrap();
        let request = self.ask(leader, operator, body);
        self.run_until(|it| it.answers.contains_key(&request));
        self.answers[&request].clone()
    }

    pub fn event(&mut self, host: HostId, event: Event) {
        let wall_time = WallTime(1_800_000_000_000 + self.now.0 / 1000);
        let it = self.hosts.get_mut(&host).unwrap();
        let Some(process) = it.process.as_mut() else {
            return;
        };
        for action in process.core.handle(self.now, wall_time, event) {
            match action {
                Action::Store(record) => process.storage.write(&[record]).unwrap(),
                Action::SaveSnapshot(snapshot) => process.storage.save_snapshot(&snapshot).unwrap(),
                Action::Send { to, message } => self.packets.push((host, to, message)),
                Action::Answer { request, response } => {
                    let earlier = self.answers.insert(request, response);
                    assert_eq!(earlier, None, "{request} is answered twice");
                }
                Action::ConfigCommitted { version, .. } => {
                    assert!(version > it.in_force, "{host} goes back to {version}");
                    it.in_force = version;
                }
                Action::ClaimMapCommitted(_) | Action::MembersChanged(_) => {}
            }
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + Millis(50);
        self.ids().into_iter().for_each(|it| self.event(it, Event::Tick));
        for _ in 0..10 {
            for (from, to, message) in std::mem::take(&mut self.packets) {
                if !self.cuts.contains(&(from, to)) {
                    self.event(to, Event::Message { from, message });
                }
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
        panic!("the condition did not come true within a minute of fleet time");
    }
}
