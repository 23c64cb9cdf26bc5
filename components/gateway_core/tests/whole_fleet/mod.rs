//! A simulated fleet: gateways, control hosts with in-memory disks, and backend servers, in which any
//! link between two hosts can be cut or slow, and each host has its own clock.

#![allow(dead_code)]

pub mod checks;
pub mod control;
pub mod servers;

use std::collections::{BTreeMap, BTreeSet};

use gateway_core::{
    Finish, Gateway, GatewaySettings, Idempotency, KeyWithdrawal, PathOutcome, RelayEnd, Step,
};
use ids::{ByteSize, ConfigVersion, HostId, Incarnation, RequestId, Timestamp};
use registry::{Answer, Request};
use schema::{
    peer::PeerMessage,
    sync::{Place, SyncMessage},
};

use crate::common::{config, data_centre, head, region, route, settings};
use checks::Checks;
use control::ControlHost;
use servers::{Response, Servers};

pub const GATEWAYS: u32 = 8;
pub const CONTROL_HOSTS: std::ops::Range<u32> = 101..106;

/// Milliseconds per simulation step; messages arrive in the next step or later.
pub const STEP: u64 = 5;

/// Milliseconds between two ticks of a control host.
const TICK_INTERVAL: u64 = 50;

/// Milliseconds between two requests to a gateway.
const REQUEST_INTERVAL: u64 = 20;

/// The clock of a host's process, which starts at zero and may be up to a hundredth too fast or too slow.
pub fn clock(host: HostId, started_at: u64, now: u64) -> Timestamp {
    let drift = u64::from(host.0 % 3) * 10;
    Timestamp(now.saturating_sub(started_at) * (990 + drift))
}

pub fn place(host: HostId) -> Place {
    let names = ["north-a", "north-b", "south-a"];
    let name = names[host.0 as usize % names.len()];
    Place { region: region(name), data_centre: data_centre(name) }
}

/// What is wrong with the hosts at the moment.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Links on which messages are lost, as (from, to).
    pub cut_links: BTreeSet<(HostId, HostId)>,
    /// Hosts whose messages take this much longer, in milliseconds.
    pub slow_hosts: BTreeMap<HostId, u64>,
    /// Hosts that do nothing; what is sent to them arrives later.
    pub frozen: BTreeSet<HostId>,
    /// Hosts without a running process.
    pub down: BTreeSet<HostId>,
    /// Control hosts whose disks refuse every write.
    pub full_disks: BTreeSet<HostId>,
}

struct Envelope {
    due: u64,
    from: HostId,
    to: HostId,
    incarnation: Incarnation,
    message: PeerMessage,
}

/// A request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    pub number: u64,
    pub at: u64,
    pub idempotency: Idempotency,
}

/// A gateway's process.
pub struct Process {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub gateway: Gateway,
    /// Requests that wait for an event or a time.
    waiting: BTreeMap<RequestId, Timestamp>,
    started_at: u64,
    pub requests: BTreeMap<RequestId, Sent>,
    /// When it last continued after a freeze.
    pub resumed_at: u64,
}

impl Process {
    pub fn clock(&self, now: u64) -> Timestamp {
        clock(self.host, self.started_at, now)
    }
}

pub struct Fleet {
    pub now: u64,
    pub gateways: BTreeMap<HostId, Process>,
    pub control: BTreeMap<HostId, ControlHost>,
    pub servers: Servers,
    pub checks: Checks,
    /// What becomes of withdrawn keys at gateways that start from now on.
    pub key_withdrawal: Option<KeyWithdrawal>,
    /// Whether callers send requests.
    pub has_callers: bool,
    /// The newest configuration that each gateway has received.
    pub versions: BTreeMap<HostId, ConfigVersion>,
    /// Number of polls that gateways have sent.
    pub polls: u64,
    faults: Faults,
    messages: Vec<Envelope>,
    starts: u64,
    next_request: u64,
}

impl Fleet {
    pub fn new() -> Self {
        Self::with_seed(0)
    }

    /// Starts a fleet whose hosts draw other random numbers for another seed.
    pub fn with_seed(seed: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            gateways: BTreeMap::new(),
            control: BTreeMap::new(),
            servers: Servers::new(),
            checks: Checks::default(),
            key_withdrawal: None,
            has_callers: true,
            versions: BTreeMap::new(),
            polls: 0,
            faults: Faults::default(),
            messages: Vec::new(),
            starts: seed * 1_000,
            next_request: 0,
        };
        for host in CONTROL_HOSTS.map(HostId) {
            fleet.control.insert(host, ControlHost::start_new(host, 0, seed * 1_000));
        }
        for host in (1..=GATEWAYS).map(HostId) {
            fleet.start_gateway(host);
        }
        fleet
    }

    fn start_gateway(&mut self, host: HostId) {
        self.starts += 1;
        let Place { region, data_centre } = place(host);
        let incarnation = Incarnation(self.starts);
        let settings = GatewaySettings {
            region,
            data_centre,
            incarnation,
            seeds: CONTROL_HOSTS.take(3).map(HostId).collect(),
            key_withdrawal: self.key_withdrawal,
            ..settings(host)
        };
        let mut gateway = Gateway::new(settings);
        let routes = [("look", Idempotency::Idempotent), ("pay", Idempotency::NonIdempotent)];
        gateway.set_config(config(1, routes.map(|(name, it)| route(name, it)).into()));
        let process = Process {
            host,
            incarnation,
            gateway,
            waiting: BTreeMap::new(),
            started_at: self.now,
            requests: BTreeMap::new(),
            resumed_at: self.now,
        };
        self.gateways.insert(host, process);
    }

    /// Sets what is wrong from now on: ends and starts processes, and resumes those that were frozen.
    pub fn set_faults(&mut self, faults: Faults) {
        for host in (1..=GATEWAYS).map(HostId) {
            match (self.gateways.contains_key(&host), faults.down.contains(&host)) {
                (true, true) => {
                    self.gateways.remove(&host);
                }
                (false, false) => self.start_gateway(host),
                _ => {}
            }
        }
        let now = self.now;
        for process in self.gateways.values_mut() {
            if self.faults.frozen.contains(&process.host) && !faults.frozen.contains(&process.host)
            {
                process.resumed_at = now;
            }
        }
        for (host, control) in &mut self.control {
            control.set_running(now, !faults.down.contains(host));
            let messages = control.set_disk_full(now, faults.full_disks.contains(host));
            self.messages.extend(envelopes(now, &faults, *host, control.incarnation(), messages));
        }
        self.faults = faults;
    }

    pub fn is_active(&self, host: HostId) -> bool {
        !self.faults.frozen.contains(&host) && !self.faults.down.contains(&host)
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.deliver();
            self.respond();
            self.tick_control_hosts();
            self.servers.tick(self.now);
            for host in (1..=GATEWAYS).map(HostId) {
                if self.is_active(host) {
                    self.tick_gateway(host);
                }
            }
            self.now += STEP;
        }
    }

    /// Sends a request to a control host; returns its id.
    pub fn request_control(&mut self, host: HostId, request: Request) -> RequestId {
        let control = self.control.get_mut(&host).expect("all control hosts are listed");
        let (id, sent) = control.request(self.now, request);
        let incarnation = control.incarnation();
        self.messages.extend(envelopes(self.now, &self.faults, host, incarnation, sent));
        id
    }

    /// Sends a request to the active control hosts in turn until one accepts it; returns that host.
    pub fn accept(&mut self, request: &Request) -> HostId {
        for _ in 0..100 {
            for host in
                CONTROL_HOSTS.map(HostId).filter(|it| self.is_active(*it)).collect::<Vec<_>>()
            {
                let id = self.request_control(host, request.clone());
                for _ in 0..60 {
                    match self.control[&host].answers.get(&id) {
                        Some(Answer::Accepted | Answer::AnnouncementAccepted { .. }) => {
                            return host;
                        }
                        Some(_) => break,
                        None => self.run_until(self.now + STEP),
                    }
                }
            }
            self.run_until(self.now + 50);
        }
        panic!("no control host accepted {request:?}");
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|it| it.due <= now);
        self.messages = later;
        for it in due {
            if self.faults.frozen.contains(&it.to) {
                self.messages.push(Envelope { due: now + STEP, ..it });
                continue;
            }
            if self.faults.cut_links.contains(&(it.from, it.to)) || !self.is_active(it.to) {
                continue;
            }
            if let Some(control) = self.control.get_mut(&it.to) {
                let sent = control.on_message(now, it.from, it.incarnation, it.message);
                let incarnation = control.incarnation();
                self.messages.extend(envelopes(now, &self.faults, it.to, incarnation, sent));
                continue;
            }
            let Some(process) = self.gateways.get_mut(&it.to) else { continue };
            let at = process.clock(now);
            let gateway = &mut process.gateway;
            match it.message {
                PeerMessage::ServerLoad(report) => gateway.on_report(at, it.from, &report),
                PeerMessage::RetryBudget(message) => {
                    gateway.on_retry_budget_message(at, it.from, &message);
                }
                PeerMessage::ServerLimit(message) => gateway.on_server_limit(at, it.from, &message),
                PeerMessage::Quarantine(message) => {
                    gateway.on_quarantine_message(at, it.from, &message);
                }
                PeerMessage::ServerWork(report) => gateway.on_work_report(at, it.from, &report),
                PeerMessage::Sync(SyncMessage::Update(update)) => {
                    if let Some(config) = gateway.on_update(at, it.from, update) {
                        self.versions.insert(it.to, config.version);
                    }
                }
                PeerMessage::Sync(SyncMessage::UpdateBegins(begins)) => {
                    gateway.on_update_begins(at, it.from, &begins);
                }
                message => panic!("a message that is not for gateways: {message:?}"),
            }
        }
    }

    fn tick_control_hosts(&mut self) {
        if !self.now.is_multiple_of(TICK_INTERVAL) {
            return;
        }
        let now = self.now;
        let announcements = self.servers.announcements();
        let active: Vec<HostId> =
            CONTROL_HOSTS.map(HostId).filter(|it| self.is_active(*it)).collect();
        for host in active {
            let control = self.control.get_mut(&host).expect("all control hosts are listed");
            let mut sent = control.tick(now);
            for announcement in &announcements {
                sent.extend(control.announce(now, announcement.clone()));
            }
            let accepted = control.take_accepted();
            self.servers.record_accepted(&accepted);
            let incarnation = control.incarnation();
            self.messages.extend(envelopes(now, &self.faults, host, incarnation, sent));
        }
    }

    fn tick_gateway(&mut self, host: HostId) {
        let now = self.now;
        let Some(process) = self.gateways.get_mut(&host) else { return };
        let at = process.clock(now);
        if let Some(poll) = process.gateway.poll(at) {
            self.polls += 1;
            let message = PeerMessage::Sync(SyncMessage::Poll(poll.poll));
            let sent = vec![(poll.to, message)];
            self.messages.extend(envelopes(now, &self.faults, host, process.incarnation, sent));
        }
        let woken = process.gateway.take_wakeups();
        let due: Vec<RequestId> = process
            .waiting
            .iter()
            .filter(|(id, due)| **due <= at || woken.contains(id))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.step(host, id);
        }
        let offset = u64::from(host.0) * STEP;
        if self.has_callers && now % REQUEST_INTERVAL == offset % REQUEST_INTERVAL {
            self.request(host);
        }
        self.collect(host);
    }

    fn request(&mut self, host: HostId) {
        self.next_request += 1;
        let number = self.next_request;
        let idempotency = match number % 2 {
            0 => Idempotency::Idempotent,
            _ => Idempotency::NonIdempotent,
        };
        let name = if idempotency == Idempotency::Idempotent { "look" } else { "pay" };
        let now = self.now;
        let process = self.gateways.get_mut(&host).expect("an active gateway runs");
        let at = process.clock(now);
        self.checks.record_request(now, host);
        let Ok(id) = process.gateway.begin(at, head(&format!("/{name}/{number}"))) else { return };
        process.requests.insert(id, Sent { number, at: now, idempotency });
        self.step(host, id);
    }

    /// Performs the steps of a request until it waits or ends.
    fn step(&mut self, host: HostId, id: RequestId) {
        let now = self.now;
        let Some(process) = self.gateways.get_mut(&host) else { return };
        let at = process.clock(now);
        process.waiting.remove(&id);
        let Some(sent) = process.requests.get(&id).copied() else { return };
        loop {
            match process.gateway.step(at, id) {
                Step::Send(start) => {
                    let origin = (host, process.incarnation);
                    let arrival =
                        self.servers.arrive(now, origin, id, sent, &start, &mut self.checks);
                    if let Some(end) = arrival {
                        process.gateway.attempt_ended(at, id, start.attempt, end, ByteSize(0));
                    }
                }
                Step::Wait(due) => {
                    process.waiting.insert(id, due);
                    return;
                }
                Step::Relay(start) => {
                    let end = RelayEnd::Unreachable;
                    process.gateway.relay_ended(at, id, start.attempt, end);
                }
                Step::Finish(finish) => {
                    process.gateway.forget(at, id);
                    process.requests.remove(&id);
                    let is_served = matches!(finish, Finish::Answer(_));
                    self.checks.record_end(now, host, is_served);
                    return;
                }
            }
        }
    }

    fn respond(&mut self) {
        let now = self.now;
        for response in self.servers.take_responses(now, |host| self.faults.frozen.contains(&host))
        {
            let Response { origin: (host, incarnation), request, start, .. } = &response;
            let is_same = |it: &&mut Process| it.incarnation == *incarnation;
            let Some(process) = self.gateways.get_mut(host).filter(is_same) else { continue };
            let at = process.clock(now);
            let key = (start.address, start.incarnation);
            let sent_at = process.clock(response.sent_at);
            process.gateway.on_server_notice(at, key.0, key.1, sent_at, response.notice);
            process.gateway.on_path_outcome(at, key.0, key.1, PathOutcome::Reached);
            self.checks.record_notice(now, response.origin, start.incarnation, &response.notice);
            let size = ByteSize(1_000);
            process.gateway.attempt_ended(at, *request, start.attempt, response.end, size);
            self.step(*host, *request);
        }
    }

    fn collect(&mut self, host: HostId) {
        let Some(process) = self.gateways.get_mut(&host) else { return };
        let gateway = &mut process.gateway;
        gateway.take_events();
        let mut sent = Vec::new();
        for outgoing in gateway.take_reports() {
            let message = PeerMessage::ServerLoad(outgoing.report);
            sent.extend(outgoing.to.into_iter().map(|to| (to, message.clone())));
        }
        let retries = gateway.take_retry_budget_messages().into_iter();
        sent.extend(retries.map(|(to, it)| (to, PeerMessage::RetryBudget(it))));
        let limits = gateway.take_limit_messages().into_iter();
        sent.extend(limits.map(|(to, it)| (to, PeerMessage::ServerLimit(it))));
        let work = gateway.take_work_reports().into_iter();
        sent.extend(work.map(|(to, it)| (to, PeerMessage::ServerWork(it))));
        let quarantine = gateway.take_quarantine_messages().into_iter();
        sent.extend(quarantine.map(|(to, it)| (to, PeerMessage::Quarantine(it))));
        let incarnation = process.incarnation;
        self.messages.extend(envelopes(self.now, &self.faults, host, incarnation, sent));
    }
}

/// Returns messages that one host sends now.
fn envelopes(
    now: u64,
    faults: &Faults,
    from: HostId,
    incarnation: Incarnation,
    messages: Vec<(HostId, PeerMessage)>,
) -> Vec<Envelope> {
    let delay = |host: &HostId| faults.slow_hosts.get(host).copied().unwrap_or_default();
    let envelope = |(to, message): (HostId, PeerMessage)| {
        let due = now + STEP + delay(&from) + delay(&to);
        Envelope { due, from, to, incarnation, message }
    };
    messages.into_iter().map(envelope).collect()
}
