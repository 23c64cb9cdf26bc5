//! A simulated fleet: a few processes with claims, and a network whose messages the tests deliver,
//! delay, drop and duplicate.
#![allow(dead_code)]

use std::collections::BTreeMap;

use claims::{
    ClaimAction, ClaimHost, ClaimKey, ClaimMap, Claims, ClaimsSettings, Decision, ReplicaReport,
    Ticket,
};
use ids::{
    ByteSize, DataCentreName, Epoch, Fingerprint, HostId, Incarnation, KeyDigest, Millis,
    RequestId, Timestamp, WallTime,
};
use schema::claims::{ClaimsMessage, StoredAnswer};

/// The wall clock time at the fleet's start, in milliseconds.
pub const WALL_START: u64 = 1_000_000_000;

/// A message in flight.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: HostId,
    pub from_incarnation: Incarnation,
    pub to: HostId,
    pub message: ClaimsMessage,
}

/// A decision that a process has reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    pub host: HostId,
    pub request: RequestId,
    pub decision: Decision,
}

/// The simulated fleet, with its clock and the claim map that is installed on demand.
pub struct Fleet {
    pub now: Timestamp,
    pub map: ClaimMap,
    pub nodes: BTreeMap<HostId, Claims>,
    pub incarnations: BTreeMap<HostId, Incarnation>,
    pub in_flight: Vec<Envelope>,
    pub decisions: Vec<Decided>,
    pub settings: ClaimsSettings,
    /// How far each host's wall clock is ahead of the fleet's, in milliseconds.
    pub clock_skew: BTreeMap<HostId, u64>,
    next_request: u64,
}

pub fn data_centre() -> DataCentreName {
    "rvk-1".parse().unwrap()
}

pub fn claim_host(host: HostId, incarnation: Incarnation) -> ClaimHost {
    ClaimHost {
        host,
        incarnation,
        data_centre: data_centre(),
        region: "reykjavik".parse().unwrap(),
    }
}

pub fn settings() -> ClaimsSettings {
    let mut settings = ClaimsSettings::default();
    settings.replica.max_answer = ByteSize(1024);
    settings
}

pub fn payload(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

pub fn answer(text: &str) -> StoredAnswer {
    StoredAnswer::Kept(text.as_bytes().to_vec().into())
}

impl Fleet {
    pub fn new(host_count: u32) -> Self {
        Self::with_settings(host_count, settings())
    }

    pub fn with_settings(host_count: u32, settings: ClaimsSettings) -> Self {
        let incarnations: BTreeMap<_, _> =
            (1..=host_count).map(|it| (HostId(it), Incarnation(1))).collect();
        let hosts: Vec<_> = incarnations.iter().map(|(&h, &i)| claim_host(h, i)).collect();
        let mut fleet = Self {
            now: Timestamp(0),
            map: ClaimMap::build(Epoch(1), &hosts, None),
            nodes: BTreeMap::new(),
            incarnations,
            in_flight: Vec::new(),
            decisions: Vec::new(),
            settings,
            clock_skew: BTreeMap::new(),
            next_request: 1,
        };
        for host in 1..=host_count {
            fleet.start(HostId(host));
        }
        fleet
    }

    /// Returns the fleet's wall clock time.
    pub fn wall(&self) -> WallTime {
        WallTime(WALL_START + self.now.0 / 1000)
    }

    /// Returns the wall clock time of one host.
    pub fn wall_of(&self, host: HostId) -> WallTime {
        WallTime(self.wall().0 + self.clock_skew.get(&host).copied().unwrap_or(0))
    }

    /// Keeps only the first shard of each home, so that all keys of a home share a shard.
    pub fn shrink_map(&mut self) {
        let mut state = self.map.state().clone();
        let shards = std::mem::take(&mut state.shards);
        for shard in shards {
            if state.shards.iter().all(|it| it.home != shard.home) {
                state.shards.push(shard);
            }
        }
        state.epoch = state.epoch.next();
        self.map = ClaimMap::from_state(state);
        let hosts: Vec<_> = self.nodes.keys().copied().collect();
        hosts.into_iter().for_each(|it| self.start(it));
    }

    fn start(&mut self, host: HostId) {
        let mut settings = self.settings.clone();
        settings.seed = u64::from(host.0);
        let node = Claims::new(host, self.incarnations[&host], settings);
        self.nodes.insert(host, node);
        self.install_map(host);
    }

    /// Replaces the process of a host by a new one with an empty state.
    pub fn restart(&mut self, host: HostId) {
        self.incarnations.entry(host).and_modify(|it| *it = it.next());
        self.start(host);
    }

    /// Makes a host hand its shards over.
    pub fn drain(&mut self, host: HostId) {
        let (now, wall) = (self.now, self.wall_of(host));
        let actions = self.nodes.get_mut(&host).unwrap().drain(now, wall);
        self.apply(host, actions);
    }

    /// Ends the process of a host for good.
    pub fn stop(&mut self, host: HostId) {
        self.nodes.remove(&host);
    }

    /// Installs the fleet's current map on a host.
    pub fn install_map(&mut self, host: HostId) {
        let (now, wall, map) = (self.now, self.wall_of(host), self.map.clone());
        if let Some(node) = self.nodes.get_mut(&host) {
            let actions = node.set_map(now, wall, map);
            self.apply(host, actions);
        }
    }

    pub fn live_hosts(&self) -> Vec<ClaimHost> {
        self.nodes.keys().map(|&it| claim_host(it, self.incarnations[&it])).collect()
    }

    pub fn reports(&self) -> BTreeMap<HostId, ReplicaReport> {
        self.nodes.iter().map(|(host, node)| (*host, node.report())).collect()
    }

    /// Returns a key with a ticket of the current map.
    pub fn key(&self, number: u8) -> ClaimKey {
        let ticket = Ticket { home: data_centre(), epoch: self.map.epoch(), minted: self.wall() };
        ClaimKey { digest: KeyDigest::of(&[number]), ticket: Some(ticket) }
    }

    pub fn begin(&mut self, host: HostId, key: &ClaimKey, payload: Fingerprint) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let (now, wall) = (self.now, self.wall_of(host));
        let node = self.nodes.get_mut(&host).unwrap();
        let actions = node.begin(now, wall, request, key.clone(), payload);
        self.apply(host, actions);
        request
    }

    pub fn release(&mut self, host: HostId, request: RequestId) {
        let (now, wall) = (self.now, self.wall_of(host));
        let actions = self.nodes.get_mut(&host).unwrap().release(now, wall, request);
        self.apply(host, actions);
    }

    pub fn finish(&mut self, host: HostId, request: RequestId, answer: StoredAnswer) {
        let (now, wall) = (self.now, self.wall_of(host));
        let actions = self.nodes.get_mut(&host).unwrap().finish(now, wall, request, answer);
        self.apply(host, actions);
    }

    /// Puts the messages of a host's actions in flight and records its decisions.
    pub fn apply(&mut self, host: HostId, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Send { to, message } => {
                    let from_incarnation = self.incarnations[&host];
                    self.in_flight.push(Envelope { from: host, from_incarnation, to, message });
                }
                ClaimAction::Decided { request, decision } => {
                    self.decisions.push(Decided { host, request, decision });
                }
            }
        }
    }

    /// Delivers the message at this index of the messages in flight.
    pub fn deliver(&mut self, index: usize) {
        let envelope = self.in_flight.remove(index);
        self.deliver_envelope(envelope);
    }

    /// Delivers a message, encoded and decoded, unless its receiver has stopped.
    pub fn deliver_envelope(&mut self, envelope: Envelope) {
        let Envelope { from, from_incarnation, to, message } = envelope;
        let message = schema::decode(&schema::encode(&message)).unwrap();
        let (now, wall) = (self.now, self.wall_of(to));
        if let Some(node) = self.nodes.get_mut(&to) {
            let actions = node.handle(now, wall, from, from_incarnation, message);
            self.apply(to, actions);
        }
    }

    /// Removes the messages from one host to another from those in flight, and returns them.
    pub fn intercept(&mut self, from: HostId, to: HostId) -> Vec<Envelope> {
        let matches = |it: &mut Envelope| it.from == from && it.to == to;
        self.in_flight.extract_if(.., matches).collect()
    }

    /// Delivers the messages in order until none is in flight.
    pub fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
    }

    /// Advances the clock and runs the timers of every process.
    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Millis(millis);
        let hosts: Vec<_> = self.nodes.keys().copied().collect();
        for host in hosts {
            let (now, wall) = (self.now, self.wall_of(host));
            let actions = self.nodes.get_mut(&host).unwrap().tick(now, wall);
            self.apply(host, actions);
        }
    }

    /// Runs without faults for at least this long.
    pub fn run(&mut self, millis: u64) {
        const STEP_MILLIS: u64 = 10;
        for _ in 0..millis.div_ceil(STEP_MILLIS) {
            self.deliver_all();
            self.advance(STEP_MILLIS);
        }
        self.deliver_all();
    }

    pub fn decision(&self, request: RequestId) -> Option<&Decision> {
        self.decisions.iter().find(|it| it.request == request).map(|it| &it.decision)
    }

    /// Returns the replicas of a key and one host that is not among them.
    pub fn replicas_and_other_host(&self, key: &ClaimKey) -> (Vec<HostId>, HostId) {
        let replicas = self.map.replicas_of(key);
        let other = self.nodes.keys().find(|it| !replicas.contains(it)).copied();
        (replicas, other.unwrap())
    }
}
