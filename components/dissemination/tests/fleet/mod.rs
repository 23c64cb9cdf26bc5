//! A few hosts in one process, with a network that loses messages and cuts links.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use dissemination::{
    Dissemination, DisseminationAction, DisseminationMessage, DisseminationSettings, View,
};
use ids::{ConfigVersion, ContentDigest, HostId, Incarnation, Millis, ServerId, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    config_text::{
        ConfigText, Favour, Organisation, OrganisationLimit, Patience, Region, Route, Service,
    },
};

/// Between two ticks of each host.
pub const TICK: Millis = Millis(50);

/// A message on its way.
struct Flight {
    from: HostId,
    to: HostId,
    message: DisseminationMessage,
}

/// What was sent about one matter.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub messages: usize,
    pub bytes: usize,
}

/// Hosts and the network between them; host 0 of each data centre is its relay.
pub struct Fleet {
    pub now: Timestamp,
    pub hosts: BTreeMap<HostId, Dissemination>,
    pub cuts: BTreeSet<(HostId, HostId)>,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub max_delay: Millis,
    pub seen: BTreeMap<HostId, Vec<(ConfigVersion, ContentDigest)>>,
    pub events: Vec<(HostId, DisseminationAction)>,
    pub traffic: BTreeMap<&'static str, Traffic>,
    pub restarted: BTreeSet<HostId>,
    control: Vec<HostId>,
    data_centres: u32,
    per_data_centre: u32,
    flights: Vec<(Timestamp, u64, Flight)>,
    random: u64,
}

impl Fleet {
    /// `per_data_centre` hosts in each of `data_centres`; the last `control` ones are control hosts.
    pub fn new(data_centres: u32, per_data_centre: u32, control: u32, seed: u64) -> Self {
        let count = data_centres * per_data_centre;
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            hosts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay: Millis(30),
            seen: BTreeMap::new(),
            events: Vec::new(),
            traffic: BTreeMap::new(),
            restarted: BTreeSet::new(),
            control: (count - control..count).map(HostId).collect(),
            data_centres,
            per_data_centre,
            flights: Vec::new(),
            random: seed | 1,
        };
        for host in 0..count {
            fleet.start(HostId(host));
        }
        fleet
    }

    /// Starts a host, or restarts it with nothing.
    pub fn start(&mut self, host: HostId) {
        let settings = DisseminationSettings::new(host, u64::from(host.0) + 1);
        let mut dissemination = Dissemination::new(settings);
        let actions = dissemination.set_view(self.now, self.view(host));
        self.hosts.insert(host, dissemination);
        if self.seen.insert(host, Vec::new()).is_some() {
            self.restarted.insert(host);
        }
        self.act(host, actions);
    }

    pub fn stop(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    fn view(&self, host: HostId) -> View {
        let count = self.data_centres * self.per_data_centre;
        let data_centre = |it: u32| it % self.data_centres;
        let own = data_centre(host.0);
        let is_relay = host.0 < self.data_centres;
        let links = (0..count).filter(|it| {
            let local = data_centre(*it) == own && self.are_neighbours(host.0, *it);
            let remote = *it < self.data_centres && (is_relay || self.control.contains(&host));
            *it != host.0 && (local || remote)
        });
        let mut entry = BTreeMap::<_, Vec<HostId>>::new();
        for it in (0..count).map(HostId).filter(|it| !self.control.contains(it)) {
            let name = format!("dc{}", data_centre(it.0)).parse().unwrap();
            entry.entry(name).or_default().push(it);
        }
        View {
            links: links.map(HostId).collect(),
            relay: Some(HostId(own)),
            control_hosts: self.control.clone(),
            entry_hosts: entry,
        }
    }

    /// Whether two hosts of one data centre are linked; in large ones not all are.
    fn are_neighbours(&self, a: u32, b: u32) -> bool {
        let size = self.per_data_centre;
        let step = (2..).find(|it| it * it * it >= size).unwrap();
        let distance = (a / self.data_centres).abs_diff(b / self.data_centres);
        let shorter = distance.min(size - distance);
        size <= 7 || [1, step, step * step].contains(&shorter)
    }

    /// Runs the fleet for a while.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now + TICK;
        self.now = now;
        let flights = std::mem::take(&mut self.flights);
        let (mut due, waiting) = flights.into_iter().partition::<Vec<_>, _>(|it| it.0 <= now);
        self.flights = waiting;
        due.sort_by_key(|it| (it.0, it.1));
        for (_, _, flight) in due {
            if let Some(host) = self.hosts.get_mut(&flight.to) {
                let actions = host.handle(now, flight.from, flight.message);
                self.act(flight.to, actions);
            }
        }
        for host in self.hosts.keys().copied().collect::<Vec<_>>() {
            let actions = self.hosts.get_mut(&host).unwrap().tick(now);
            self.act(host, actions);
        }
    }

    pub fn publish(&mut self, host: HostId, text: &ConfigText) {
        let digest = ContentDigest::of(&schema::encode(text));
        let dissemination = self.hosts.get_mut(&host).unwrap();
        let actions = dissemination.publish_config(self.now, text.version, digest, text);
        self.act(host, actions);
    }

    pub fn announce(&mut self, host: HostId, announcement: Announcement) {
        let actions = self.hosts.get_mut(&host).unwrap().announce(self.now, announcement);
        self.act(host, actions);
    }

    pub fn act(&mut self, from: HostId, actions: Vec<DisseminationAction>) {
        for action in actions {
            match action {
                DisseminationAction::Send { to, message } => self.send(from, to, message),
                DisseminationAction::ConfigInForce { version, digest, .. } => {
                    self.seen.get_mut(&from).unwrap().push((version, digest));
                }
                event => self.events.push((from, event)),
            }
        }
    }

    fn send(&mut self, from: HostId, to: HostId, message: DisseminationMessage) {
        let traffic = self.traffic.entry(matter(&message)).or_default();
        traffic.messages += 1;
        traffic.bytes += schema::encode(&message).len();
        if self.cuts.contains(&(from, to)) || self.next_random() % 100 < self.loss_percent {
            return;
        }
        let copies = 1 + u64::from(self.next_random() % 100 < self.duplicate_percent);
        for _ in 0..copies {
            let random = self.next_random();
            let at = Timestamp(self.now.0 + 1_000 + random % (self.max_delay.0 * 1_000));
            self.flights.push((at, random, Flight { from, to, message: message.clone() }));
        }
    }

    pub fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Whether every running host has `version` in force.
    pub fn all_at(&self, version: u64) -> bool {
        self.hosts.values().all(|it| it.version() == ConfigVersion(version))
    }

    /// The state of a server as each running host knows it.
    pub fn states(&self, server: &ServerId) -> Vec<Option<ServerState>> {
        let state = |host: &Dissemination| {
            host.servers().find(|it| it.server == *server).map(|it| it.state)
        };
        self.hosts.values().map(state).collect()
    }
}

/// What a message is about.
fn matter(message: &DisseminationMessage) -> &'static str {
    match message {
        DisseminationMessage::Summary(_) => "summaries",
        DisseminationMessage::ConfigOffer(_)
        | DisseminationMessage::ConfigRequest(_)
        | DisseminationMessage::ConfigDelta(_)
        | DisseminationMessage::ConfigManifest(_)
        | DisseminationMessage::FragmentRequest(_)
        | DisseminationMessage::Fragments(_) => "config",
        DisseminationMessage::InForce(_) => "acknowledgements",
        DisseminationMessage::Renewals(_) => "renewals",
        DisseminationMessage::Servers(_) | DisseminationMessage::ServerBuckets(_) => "servers",
        DisseminationMessage::ClaimMapOffer(_)
        | DisseminationMessage::ClaimMapRequest(_)
        | DisseminationMessage::ClaimMap(_) => "claim map",
    }
}

/// A text with some services, routes and organisations.
pub fn text(version: u64, organisations: u32, burst: u32) -> ConfigText {
    let limit = OrganisationLimit { requests_per_second: ids::RequestRate(10), burst };
    let service = |name: &str| Service {
        name: name.parse().unwrap(),
        depends_on: Vec::new(),
        idempotent: true,
        patience: Patience::Prompt,
        priority: 5,
        deadline_ms: Millis(1_000),
        floor: 2,
        favour: Favour::Speed,
        servers: 0,
        slots_per_server: 3,
        connections_per_server: 330,
        max_request_bytes: ids::ByteSize(10_000),
        max_response_bytes: ids::ByteSize(10_000),
        probe_path: "/probe".to_owned(),
    };
    let organisation = |number: u32| Organisation {
        name: format!("organisation-{number:05}").parse().unwrap(),
        limit: limit.clone(),
    };
    ConfigText {
        version: ConfigVersion(version),
        regions: vec![Region {
            name: "north".parse().unwrap(),
            data_centres: vec!["dc0".parse().unwrap()],
        }],
        services: vec![service("deposit"), service("queue")],
        routes: vec![Route {
            host: "*".to_owned(),
            path: "/queue".to_owned(),
            service: "queue".parse().unwrap(),
        }],
        organisations: (0..organisations).map(organisation).collect(),
        default_organisation: limit,
    }
}

/// An announcement of a server in the first data centre.
pub fn announcement(server: &str, sequence: u64, state: ServerState) -> Announcement {
    Announcement {
        server: server.parse().unwrap(),
        service: "queue".parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
        state,
        slots: 3,
        lifetime_ms: Millis(3_000),
    }
}
