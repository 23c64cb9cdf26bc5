#![allow(clippy::print_stdout, clippy::disallowed_methods)]

//! Measures the cost of the replicated log: the traffic between control hosts when idle and for
//! each accepted configuration, the time spent in `ControlCore::handle` and the time of a synced
//! write.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use consensus::{LeaseUse, MembershipPolicy, Settings};
use control_core::{Action, ControlCore, Event};
use ids::{HostId, Incarnation, Millis, RequestId, Timestamp, WallTime};
use schema::{
    consensus::ConsensusMessage,
    operator::{OperatorRequest, Origin, Submit},
};
use storage::Storage;
use tempfile::TempDir;

const EXAMPLE_CONFIG: &str = include_str!("../../../examples/strengur.yaml");
const IDLE_SECONDS: u64 = 60;
const SUBMITS: u64 = 50;

struct Host {
    _folder: TempDir,
    core: ControlCore,
    storage: Storage,
}

#[derive(Default, Clone)]
struct Cost {
    messages: u64,
    bytes: u64,
    handle_time: Duration,
    writes: u64,
    write_time: Duration,
}

struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    /// Undelivered messages with their sender and receiver.
    messages: Vec<(HostId, HostId, ConsensusMessage)>,
    now: Timestamp,
    answers: u64,
    cost: Cost,
}

impl Fleet {
    fn new(size: u32) -> Self {
        let voters: Vec<HostId> = (1..=size).map(HostId).collect();
        let start = |host: &HostId| {
            let folder = tempfile::tempdir().expect("a temporary folder is created");
            let disk = Incarnation(u64::from(host.0));
            let opened =
                Storage::open(folder.path(), *host, disk, true).expect("a new folder is opened");
            let settings = Settings {
                voters: voters.clone(),
                seed: 1,
                membership_policy: MembershipPolicy::Listed,
                lease_use: LeaseUse::Reads,
            };
            let core = ControlCore::restore(settings, opened.persisted, Timestamp(0));
            (*host, Host { _folder: folder, core, storage: opened.storage })
        };
        let hosts = voters.iter().map(start).collect();
        let now = Timestamp(0);
        Self { hosts, messages: Vec::new(), now, answers: 0, cost: Cost::default() }
    }

    fn handle_event(&mut self, to: HostId, event: Event) {
        let host = self.hosts.get_mut(&to).expect("the host exists");
        let start = Instant::now();
        let actions = host.core.handle(self.now, WallTime(self.now.0 / 1000), event);
        self.cost.handle_time += start.elapsed();
        for action in actions {
            let start = Instant::now();
            match action {
                Action::Store(record) => host.storage.write(&[record]).expect("the write succeeds"),
                Action::SaveSnapshot(it) => {
                    host.storage.save_snapshot(&it).expect("the snapshot is saved");
                }
                Action::Send { to: peer, message } => {
                    self.cost.messages += 1;
                    self.cost.bytes += schema::encode(&message).len() as u64;
                    self.messages.push((to, peer, message));
                    continue;
                }
                Action::Answer { .. } => {
                    self.answers += 1;
                    continue;
                }
                _ => continue,
            }
            self.cost.writes += 1;
            self.cost.write_time += start.elapsed();
        }
    }

    fn step(&mut self) {
        self.now = self.now + Millis(50);
        let ids: Vec<HostId> = self.hosts.keys().copied().collect();
        ids.into_iter().for_each(|it| self.handle_event(it, Event::Tick));
        self.deliver();
    }

    fn deliver(&mut self) {
        while !self.messages.is_empty() {
            for (from, to, message) in std::mem::take(&mut self.messages) {
                self.handle_event(to, Event::Message { from, message });
            }
        }
    }

    fn leader(&self) -> Option<HostId> {
        let holds_lease =
            |it: &(&HostId, &Host)| it.1.core.consensus().lease_read_index(self.now).is_ok();
        self.hosts.iter().find(holds_lease).map(|it| *it.0)
    }

    fn submit(&mut self, text: String) {
        let leader = self.leader().expect("there is a leader");
        let (operator, address) = ("anna".to_owned(), "127.0.0.1:1".to_owned());
        let origin = Origin { operator, address };
        let body = OperatorRequest::Submit(Submit { text });
        self.handle_event(leader, Event::Request { request: RequestId(1), origin, body });
        self.deliver();
    }
}

/// Returns a configuration text with this many organisations.
fn config_text(version: u64, organisations: u32) -> String {
    let mut text = EXAMPLE_CONFIG.replacen("version: 1", &format!("version: {version}"), 1);
    let start = text.find("organisations:\n").expect("the example has organisations");
    let end = start + "organisations:\n".len();
    let entry =
        |i| format!("  - name: org-{i}\n    limit: {{ requests_per_second: 100, burst: 200 }}\n");
    text.insert_str(end, &(0..organisations).map(entry).collect::<String>());
    text
}

fn measure(size: u32, organisations: u32) {
    let mut fleet = Fleet::new(size);
    while fleet.leader().is_none() {
        fleet.step();
    }
    fleet.cost = Cost::default();
    (0..IDLE_SECONDS * 20).for_each(|_| fleet.step());
    let idle = fleet.cost.clone();
    let per_second = idle.bytes / IDLE_SECONDS;
    println!(
        "{size} voters idle: {per_second} bytes/s and {} messages/s in all, \
         {} us deciding/s in all",
        idle.messages / IDLE_SECONDS,
        idle.handle_time.as_micros() as u64 / IDLE_SECONDS,
    );
    fleet.cost = Cost::default();
    let mut text_bytes = 0;
    for version in 1..=SUBMITS {
        let text = config_text(version, organisations);
        text_bytes = text.len();
        fleet.submit(text);
    }
    assert_eq!(fleet.answers, SUBMITS);
    let cost = &fleet.cost;
    println!(
        "{size} voters, text of {text_bytes} bytes: {} bytes sent, {} us deciding, \
         {} writes of {} us a submit",
        cost.bytes / SUBMITS,
        cost.handle_time.as_micros() as u64 / SUBMITS,
        cost.writes / SUBMITS,
        cost.write_time.as_micros() as u64 / cost.writes,
    );
}

fn main() {
    for size in [3, 5] {
        for organisations in [0, 400, 4000] {
            measure(size, organisations);
        }
    }
}
