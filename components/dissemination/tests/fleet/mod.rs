//! Simulates a fleet of hosts in one process, with a network that delays, duplicates and loses
//! messages and can block the link between two hosts in either direction.

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

/// Interval between ticks of each host.
pub const TICK: Millis = Millis(50);

/// A sent message that has not been delivered yet.
struct InFlightMessage {
    from: HostId,
    to: HostId,
    message: DisseminationMessage,
}

/// Messages sent on one topic, and their encoded size.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub messages: usize,
    pub bytes: usize,
}

/// The simulated hosts and network; the lowest host of each data centre is its relay.
pub struct Fleet {
    pub now: Timestamp,
    pub hosts: BTreeMap<HostId, Dissemination>,
    /// Pairs of sender and receiver between which all messages are lost.
    pub blocked_links: BTreeSet<(HostId, HostId)>,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub max_delay: Millis,
    /// Configurations that came into force on each host since its start, in order.
    pub configs_in_force: BTreeMap<HostId, Vec<(ConfigVersion, ContentDigest)>>,
    /// All other actions except sends, with the host that returned each.
    pub events: Vec<(HostId, DisseminationAction)>,
    /// Traffic by topic, including lost messages.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Hosts restarted since the test last cleared this set.
    pub restarted: BTreeSet<HostId>,
    control_hosts: Vec<HostId>,
    data_centres: u32,
    hosts_per_data_centre: u32,
    /// Messages with their time of arrival and a random number that orders equal times.
    in_flight: Vec<(Timestamp, u64, InFlightMessage)>,
    rng_state: u64,
}

impl Fleet {
    /// Starts `hosts_per_data_centre` hosts in each data centre; the last `control_hosts` of all
    /// hosts are control hosts.
    pub fn new(
        data_centres: u32,
        hosts_per_data_centre: u32,
        control_hosts: u32,
        seed: u64,
    ) -> Self {
        let count = data_centres * hosts_per_data_centre;
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            hosts: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay: Millis(30),
            configs_in_force: BTreeMap::new(),
            events: Vec::new(),
            traffic: BTreeMap::new(),
            restarted: BTreeSet::new(),
            control_hosts: (count - control_hosts..count).map(HostId).collect(),
            data_centres,
            hosts_per_data_centre,
            in_flight: Vec::new(),
            rng_state: seed | 1,
        };
        for host in 0..count {
            fleet.start(HostId(host));
        }
        fleet
    }

    /// Starts a host, or restarts it without any state.
    pub fn start(&mut self, host: HostId) {
        let settings = DisseminationSettings::new(host, u64::from(host.0) + 1);
        let mut dissemination = Dissemination::new(settings);
        let actions = dissemination.set_view(self.now, self.view(host));
        self.hosts.insert(host, dissemination);
        if self.configs_in_force.insert(host, Vec::new()).is_some() {
            self.restarted.insert(host);
        }
        self.apply_actions(host, actions);
    }

    pub fn stop(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    fn view(&self, host: HostId) -> View {
        let count = self.data_centres * self.hosts_per_data_centre;
        let data_centre = |it: u32| it % self.data_centres;
        let own = data_centre(host.0);
        let is_relay = host.0 < self.data_centres;
        let links = (0..count).filter(|it| {
            let local = data_centre(*it) == own && self.are_neighbours(host.0, *it);
            let remote =
                *it < self.data_centres && (is_relay || self.control_hosts.contains(&host));
            *it != host.0 && (local || remote)
        });
        let mut entry_hosts = BTreeMap::<_, Vec<HostId>>::new();
        for it in (0..count).map(HostId).filter(|it| !self.control_hosts.contains(it)) {
            let name = format!("dc{}", data_centre(it.0)).parse().unwrap();
            entry_hosts.entry(name).or_default().push(it);
        }
        View {
            links: links.map(HostId).collect(),
            relay: Some(HostId(own)),
            control_hosts: self.control_hosts.clone(),
            entry_hosts,
        }
    }

    /// Returns whether two hosts of one data centre are linked; with more than 7 hosts not all are.
    fn are_neighbours(&self, a: u32, b: u32) -> bool {
        let size = self.hosts_per_data_centre;
        let step = (2..).find(|it| it * it * it >= size).unwrap();
        let distance = (a / self.data_centres).abs_diff(b / self.data_centres);
        let shorter = distance.min(size - distance);
        size <= 7 || [1, step, step * step].contains(&shorter)
    }

    /// Runs the fleet for `duration` of simulated time.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the time by one tick, delivers the messages due and ticks every host.
    fn step(&mut self) {
        let now = self.now + TICK;
        self.now = now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (mut due, waiting) = in_flight.into_iter().partition::<Vec<_>, _>(|it| it.0 <= now);
        self.in_flight = waiting;
        due.sort_by_key(|it| (it.0, it.1));
        for (_, _, delivery) in due {
            if let Some(host) = self.hosts.get_mut(&delivery.to) {
                let actions = host.handle(now, delivery.from, delivery.message);
                self.apply_actions(delivery.to, actions);
            }
        }
        for host in self.hosts.keys().copied().collect::<Vec<_>>() {
            let actions = self.hosts.get_mut(&host).unwrap().tick(now);
            self.apply_actions(host, actions);
        }
    }

    pub fn publish(&mut self, host: HostId, text: &ConfigText) {
        let digest = ContentDigest::of(&schema::encode(text));
        let dissemination = self.hosts.get_mut(&host).unwrap();
        let actions = dissemination.publish_config(self.now, text.version, digest, text);
        self.apply_actions(host, actions);
    }

    pub fn announce(&mut self, host: HostId, announcement: Announcement) {
        let actions = self.hosts.get_mut(&host).unwrap().announce(self.now, announcement);
        self.apply_actions(host, actions);
    }

    /// Sends the messages among `actions` and records the rest.
    pub fn apply_actions(&mut self, from: HostId, actions: Vec<DisseminationAction>) {
        for action in actions {
            match action {
                DisseminationAction::Send { to, message } => self.send(from, to, message),
                DisseminationAction::ConfigInForce { version, digest, .. } => {
                    self.configs_in_force.get_mut(&from).unwrap().push((version, digest));
                }
                event => self.events.push((from, event)),
            }
        }
    }

    /// Counts a message and, unless it is lost, schedules its delivery once or twice.
    fn send(&mut self, from: HostId, to: HostId, message: DisseminationMessage) {
        let traffic = self.traffic.entry(topic(&message)).or_default();
        traffic.messages += 1;
        traffic.bytes += schema::encode(&message).len();
        if self.blocked_links.contains(&(from, to)) || self.next_random() % 100 < self.loss_percent
        {
            return;
        }
        let copies = 1 + u64::from(self.next_random() % 100 < self.duplicate_percent);
        for _ in 0..copies {
            let random = self.next_random();
            let at = Timestamp(self.now.0 + 1_000 + random % (self.max_delay.0 * 1_000));
            self.in_flight.push((
                at,
                random,
                InFlightMessage { from, to, message: message.clone() },
            ));
        }
    }

    /// Returns the next random number (xorshift).
    pub fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    /// Returns whether every running host has `version` in force.
    pub fn all_have_version(&self, version: u64) -> bool {
        self.hosts.values().all(|it| it.version() == ConfigVersion(version))
    }

    /// Returns the state of a server as each running host knows it.
    pub fn server_states(&self, server: &ServerId) -> Vec<Option<ServerState>> {
        let state = |host: &Dissemination| {
            host.servers().find(|it| it.server == *server).map(|it| it.state)
        };
        self.hosts.values().map(state).collect()
    }
}

/// Returns the topic under which the traffic of `message` is counted.
fn topic(message: &DisseminationMessage) -> &'static str {
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

/// Returns a configuration with two services, one route and `organisations` organisations.
pub fn config_text(version: u64, organisations: u32, burst: u32) -> ConfigText {
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

/// Returns an announcement of a server in the first data centre.
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
