//! A simulated fleet and network, with lost and duplicated messages and blocked links.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use ids::{HostId, Incarnation, Millis, Timestamp};
use membership::{
    MemberRole, Membership, MembershipAction, MembershipMessage, MembershipSettings, Seed, Timing,
};

/// Simulated time between two ticks of each host.
pub const TICK: Millis = Millis(50);

/// A message that has been sent but not yet delivered.
struct InFlightMessage {
    from: HostId,
    to: HostId,
    message: MembershipMessage,
}

/// Simulated hosts and the network between them.
pub struct Fleet {
    pub now: Timestamp,
    pub hosts: BTreeMap<HostId, Membership>,
    /// Hosts that are paused: they run no ticks, and messages to them are dropped.
    pub frozen: BTreeSet<HostId>,
    /// Sender and recipient of each direction in which all messages are dropped.
    pub blocked_links: BTreeSet<(HostId, HostId)>,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    /// The observer, the host and the time of each `Lost` action.
    pub lost: Vec<(HostId, HostId, Timestamp)>,
    /// The observer, the host and the time of each `Joined` action.
    pub joined: Vec<(HostId, HostId, Timestamp)>,
    /// Size of the largest encoded message, in bytes.
    pub largest_message: usize,
    /// Total size of the encoded messages sent.
    pub bytes: usize,
    /// Number of messages sent.
    pub messages: usize,
    data_centres: u32,
    /// The incarnation of the host that was started last.
    last_incarnation: u64,
    /// Each undelivered message with its delivery time and a random tie-breaker.
    in_flight: Vec<(Timestamp, u64, InFlightMessage)>,
    /// State of the xorshift generator.
    rng_state: u64,
}

impl Fleet {
    /// Starts `per_data_centre` hosts in each of `data_centres` and runs them for 4 s.
    pub fn new(data_centres: u32, per_data_centre: u32, seed: u64) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            hosts: BTreeMap::new(),
            frozen: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            lost: Vec::new(),
            joined: Vec::new(),
            largest_message: 0,
            bytes: 0,
            messages: 0,
            data_centres,
            last_incarnation: 1,
            in_flight: Vec::new(),
            rng_state: seed | 1,
        };
        for host in 0..data_centres * per_data_centre {
            fleet.start(HostId(host));
        }
        fleet.run(Millis(4_000));
        fleet
    }

    /// Starts or restarts a host with a higher incarnation.
    pub fn start(&mut self, host: HostId) {
        self.last_incarnation += 1;
        let seeds = (0..2 * self.data_centres).map(HostId);
        let seeds = seeds.map(|it| Seed { host: it, address: address(it, 7000) }).collect();
        let settings = MembershipSettings {
            host,
            role: MemberRole::Entry(address(host, 8000)),
            region: "north".parse().unwrap(),
            data_centre: format!("dc{}", host.0 % self.data_centres).parse().unwrap(),
            incarnation: Incarnation(self.last_incarnation),
            peer_address: address(host, 7000),
            admin_address: address(host, 9000),
            seed: u64::from(host.0) + 1,
            timing: Timing::default(),
        };
        let mut membership = Membership::new(settings, seeds, self.now);
        let actions = membership.ready(self.now);
        self.hosts.insert(host, membership);
        self.apply_actions(host, actions);
    }

    /// Removes a host without announcing that it leaves.
    pub fn kill(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    /// Drops all messages from `from` to `to`.
    pub fn block_link(&mut self, from: HostId, to: HostId) {
        self.blocked_links.insert((from, to));
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Delivers the messages that are due and runs one tick of each host.
    fn step(&mut self) {
        self.now = self.now + TICK;
        let mut due = Vec::new();
        let now = self.now;
        let mut waiting = Vec::new();
        for entry in std::mem::take(&mut self.in_flight) {
            if entry.0 <= now { due.push(entry) } else { waiting.push(entry) }
        }
        self.in_flight = waiting;
        due.sort_by_key(|it| (it.0, it.1));
        for (_, _, delivery) in due {
            if self.frozen.contains(&delivery.to) {
                continue;
            }
            if let Some(host) = self.hosts.get_mut(&delivery.to) {
                let actions = host.handle(now, delivery.from, delivery.message);
                self.apply_actions(delivery.to, actions);
            }
        }
        let hosts = self.hosts.keys().copied().filter(|it| !self.frozen.contains(it));
        for host in hosts.collect::<Vec<_>>() {
            let actions = self.hosts.get_mut(&host).unwrap().tick(now);
            self.apply_actions(host, actions);
        }
    }

    /// Sends the messages of `actions` and records lost and joined hosts.
    pub fn apply_actions(&mut self, from: HostId, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message, .. } => self.send(from, to, message),
                MembershipAction::Lost { member } => self.lost.push((from, member.host, self.now)),
                MembershipAction::Joined { member } => {
                    self.joined.push((from, member.host, self.now));
                }
                MembershipAction::Changed { .. } => {}
            }
        }
    }

    fn send(&mut self, from: HostId, to: HostId, message: MembershipMessage) {
        let bytes = schema::encode(&message).len();
        self.largest_message = self.largest_message.max(bytes);
        self.bytes += bytes;
        self.messages += 1;
        if self.blocked_links.contains(&(from, to)) || self.next_random() % 100 < self.loss_percent
        {
            return;
        }
        let copies = 1 + u64::from(self.next_random() % 100 < self.duplicate_percent);
        for _ in 0..copies {
            let random = self.next_random();
            let delivery_time = Timestamp(self.now.0 + 1_000 + random % 30_000);
            self.in_flight.push((
                delivery_time,
                random,
                InFlightMessage { from, to, message: message.clone() },
            ));
        }
    }

    pub fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    /// Returns the live hosts in the member table of each running host.
    pub fn live_views(&self) -> BTreeMap<HostId, Vec<HostId>> {
        let live = |it: &Membership| {
            it.members().map(|it| it.host).filter(|host| it.is_live(*host)).collect()
        };
        self.hosts.iter().map(|(host, it)| (*host, live(it))).collect()
    }

    /// Returns whether no running host considers another one reachable.
    ///
    /// This replaces `has_converged` when a single host runs: it receives no messages and therefore
    /// declares no other host dead.
    pub fn all_isolated(&self) -> bool {
        self.hosts.iter().all(|(host, it)| {
            it.members().all(|member| member.host == *host || !it.reachable(member.host))
        })
    }

    /// Returns whether the live hosts in every member table are exactly the running ones.
    pub fn has_converged(&self) -> bool {
        let running = self.hosts.keys().filter(|it| !self.frozen.contains(it));
        let running = running.copied().collect::<Vec<_>>();
        running.iter().all(|host| {
            let members = self.hosts[host].members();
            let live = members.map(|it| it.host).filter(|it| self.hosts[host].is_live(*it));
            live.collect::<Vec<_>>() == running
        })
    }
}

fn address(host: HostId, port: u16) -> SocketAddr {
    let [_, _, high, low] = host.0.to_be_bytes();
    SocketAddr::from(([127, 0, high, low], port))
}
