//! A few hosts in one process, with a network that loses messages and cuts links.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use ids::{HostId, Incarnation, Millis, Timestamp};
use membership::{
    MemberRole, Membership, MembershipAction, MembershipMessage, MembershipSettings, Seed, Timing,
};

/// Between two ticks of each host.
pub const TICK: Millis = Millis(50);

/// A message on its way.
struct Flight {
    from: HostId,
    to: HostId,
    message: MembershipMessage,
}

/// Hosts and the network between them.
pub struct Fleet {
    pub now: Timestamp,
    pub hosts: BTreeMap<HostId, Membership>,
    pub frozen: BTreeSet<HostId>,
    pub cuts: BTreeSet<(HostId, HostId)>,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub lost: Vec<(HostId, HostId, Timestamp)>,
    pub joined: Vec<(HostId, HostId, Timestamp)>,
    pub largest_message: usize,
    pub bytes: usize,
    pub messages: usize,
    data_centres: u32,
    incarnation: u64,
    flights: Vec<(Timestamp, u64, Flight)>,
    random: u64,
}

impl Fleet {
    /// `per_data_centre` hosts in each of `data_centres`, all joined.
    pub fn new(data_centres: u32, per_data_centre: u32, seed: u64) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            hosts: BTreeMap::new(),
            frozen: BTreeSet::new(),
            cuts: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            lost: Vec::new(),
            joined: Vec::new(),
            largest_message: 0,
            bytes: 0,
            messages: 0,
            data_centres,
            incarnation: 1,
            flights: Vec::new(),
            random: seed | 1,
        };
        for host in 0..data_centres * per_data_centre {
            fleet.start(HostId(host));
        }
        fleet.run(Millis(4_000));
        fleet
    }

    /// Starts or restarts a host.
    pub fn start(&mut self, host: HostId) {
        self.incarnation += 1;
        let seeds = (0..2 * self.data_centres).map(HostId);
        let seeds = seeds.map(|it| Seed { host: it, address: address(it, 7000) }).collect();
        let settings = MembershipSettings {
            host,
            role: MemberRole::Entry(address(host, 8000)),
            region: "north".parse().unwrap(),
            data_centre: format!("dc{}", host.0 % self.data_centres).parse().unwrap(),
            incarnation: Incarnation(self.incarnation),
            peer_address: address(host, 7000),
            admin_address: address(host, 9000),
            seed: u64::from(host.0) + 1,
            timing: Timing::default(),
        };
        let mut membership = Membership::new(settings, seeds, self.now);
        let actions = membership.ready(self.now);
        self.hosts.insert(host, membership);
        self.act(host, actions);
    }

    pub fn kill(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    pub fn cut(&mut self, from: HostId, to: HostId) {
        self.cuts.insert((from, to));
    }

    /// Runs the fleet for a while.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        let mut due = Vec::new();
        let now = self.now;
        let mut waiting = Vec::new();
        for flight in std::mem::take(&mut self.flights) {
            if flight.0 <= now { due.push(flight) } else { waiting.push(flight) }
        }
        self.flights = waiting;
        due.sort_by_key(|it| (it.0, it.1));
        for (_, _, flight) in due {
            if self.frozen.contains(&flight.to) {
                continue;
            }
            if let Some(host) = self.hosts.get_mut(&flight.to) {
                let actions = host.handle(now, flight.from, flight.message);
                self.act(flight.to, actions);
            }
        }
        let hosts = self.hosts.keys().copied().filter(|it| !self.frozen.contains(it));
        for host in hosts.collect::<Vec<_>>() {
            let actions = self.hosts.get_mut(&host).unwrap().tick(now);
            self.act(host, actions);
        }
    }

    pub fn act(&mut self, from: HostId, actions: Vec<MembershipAction>) {
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
        if self.cuts.contains(&(from, to)) || self.next_random() % 100 < self.loss_percent {
            return;
        }
        let copies = 1 + u64::from(self.next_random() % 100 < self.duplicate_percent);
        for _ in 0..copies {
            let random = self.next_random();
            let at = Timestamp(self.now.0 + 1_000 + random % 30_000);
            self.flights.push((at, random, Flight { from, to, message: message.clone() }));
        }
    }

    pub fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// The hosts that each running one holds to be live.
    pub fn views(&self) -> BTreeMap<HostId, Vec<HostId>> {
        let live = |it: &Membership| {
            it.members().map(|it| it.host).filter(|host| it.is_live(*host)).collect()
        };
        self.hosts.iter().map(|(host, it)| (*host, live(it))).collect()
    }

    /// Whether no running host reaches another; one that hears nobody gives up nobody.
    pub fn reaches_nobody(&self) -> bool {
        self.hosts.iter().all(|(own, it)| {
            it.members().all(|member| member.host == *own || !it.reachable(member.host))
        })
    }

    /// Whether every running host holds exactly the running hosts to be live.
    pub fn agrees(&self) -> bool {
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
