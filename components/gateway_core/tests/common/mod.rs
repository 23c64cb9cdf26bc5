//! Test harness: a gateway with a few backend servers.

#![allow(dead_code)]

use gateway_core::{
    ApiKey, AttemptEnd, AttemptStart, CallerLimits, Credentials, Gateway, GatewayConfig,
    GatewaySettings, Idempotency, KeySecret, Organisation, RequestHead, RetryBudgetSettings, Route,
    RouteTarget, ServicePolicy, Step,
};
use ids::{
    ByteSize, ConfigVersion, DataCentreName, Fingerprint, HostId, Incarnation, LogIndex, Millis,
    RegionName, RequestId, ServerId, ServiceName, Timestamp,
};
use schema::{
    announcement::{Announcement, ServerState},
    sync::{
        ControlHostRecord, EntryHostRecord, EntryHostState, HostsChanges, HostsRevision,
        HostsUpdate, KnownPlace, RegistryChanges, RegistryUpdate, Update,
    },
};

pub const OWN_HOST: HostId = HostId(1);
pub const CONTROL_HOST: HostId = HostId(100);

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

pub fn service() -> ServiceName {
    "deposits".parse().unwrap()
}

pub fn data_centre(name: &str) -> DataCentreName {
    name.parse().unwrap()
}

/// Returns the region of a data centre with a name like `north-a`.
pub fn region(data_centre: &str) -> RegionName {
    data_centre.split('-').next().unwrap().parse().unwrap()
}

pub fn route(name: &str, idempotency: Idempotency) -> Route {
    Route {
        name: name.to_owned(),
        host: "bank.example".to_owned(),
        path_prefix: format!("/{name}/"),
        idempotency,
        targets: vec![RouteTarget { service: service(), weight: 1 }],
        time_limit: Millis(2_000),
        target_latency: Millis(900),
        priority: 1,
        max_attempts: 2,
        is_public: false,
    }
}

pub fn config(version: u64, routes: Vec<Route>) -> GatewayConfig {
    let probe_path = "/health".to_owned();
    GatewayConfig {
        version: ConfigVersion(version),
        services: vec![ServicePolicy { name: service(), max_connections: 300, probe_path }],
        routes,
        caller_limits: CallerLimits {
            max_head: ByteSize(16_384),
            max_body: ByteSize(1_000_000),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
        organisations: None,
    }
}

pub fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|it| ApiKey::new(it.as_bytes())).collect(),
        priority: None,
        limit: None,
    }
}

pub fn server(number: u64, data_centre_name: &str) -> Announcement {
    Announcement {
        server: server_id(number),
        service: service(),
        data_centre: data_centre(data_centre_name),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        incarnation: Incarnation(number),
        lifetime_ms: Millis(1_500),
        sequence: 1,
        slots: 3,
        state: ServerState::Serving,
    }
}

pub fn server_id(number: u64) -> ServerId {
    format!("s{number}").parse().unwrap()
}

pub fn entry_host(host: u32, data_centre_name: &str) -> EntryHostRecord {
    EntryHostRecord {
        host: HostId(host),
        incarnation: Incarnation(1),
        region: region(data_centre_name),
        data_centre: data_centre(data_centre_name),
        caller_address: format!("10.1.0.{host}:80").parse().unwrap(),
        state: EntryHostState::Serving,
    }
}

/// Settings of a gateway in data centre `north-a` that has run for a while.
pub fn settings(host: HostId) -> GatewaySettings {
    let places = ["north-a", "north-b", "south-a", "south-b"];
    GatewaySettings {
        host,
        region: region("north-a"),
        data_centre: data_centre("north-a"),
        regions: places.iter().map(|it| (data_centre(it), region(it))).collect(),
        incarnation: Incarnation(1),
        started: Timestamp::default(),
        caller_address: format!("10.1.0.{host}:80").parse().unwrap(),
        seeds: vec![CONTROL_HOST],
        retry_budget: RetryBudgetSettings {
            share_milli: 200,
            slack_milli: 48_000,
            window: Millis(10_000),
        },
        directory_ttl: Millis(1_000),
        learns_work: false,
        seed: 7,
        key_secret: KeySecret([7; 32]),
        key_withdrawal: None,
    }
}

/// Creates a gateway with these routes, servers and entry hosts.
pub fn gateway(
    host: HostId,
    routes: Vec<Route>,
    servers: Vec<Announcement>,
    hosts: Vec<EntryHostRecord>,
) -> Gateway {
    gateway_with(settings(host), routes, servers, hosts)
}

/// Creates a gateway with these settings, routes, servers and entry hosts.
pub fn gateway_with(
    settings: GatewaySettings,
    routes: Vec<Route>,
    servers: Vec<Announcement>,
    hosts: Vec<EntryHostRecord>,
) -> Gateway {
    gateway_of_fleet(settings, routes, servers, hosts, vec![CONTROL_HOST])
}

/// Creates a gateway with these settings, routes, servers, entry hosts and control hosts.
pub fn gateway_of_fleet(
    settings: GatewaySettings,
    routes: Vec<Route>,
    servers: Vec<Announcement>,
    hosts: Vec<EntryHostRecord>,
    control_hosts: Vec<HostId>,
) -> Gateway {
    let now = settings.started.max(at(0));
    gateway_at(now, settings, routes, servers, hosts, control_hosts)
}

/// Creates a gateway like [`gateway_of_fleet`], which gets its first update at this time.
pub fn gateway_at(
    now: Timestamp,
    settings: GatewaySettings,
    routes: Vec<Route>,
    servers: Vec<Announcement>,
    hosts: Vec<EntryHostRecord>,
    control_hosts: Vec<HostId>,
) -> Gateway {
    let mut harness = Harness { gateway: Gateway::new(settings), next_index: 1, control_hosts };
    harness.gateway.set_config(config(1, routes));
    harness.update(now, servers, hosts);
    harness.gateway
}

/// A gateway in data centre `north-a`.
pub struct Harness {
    pub gateway: Gateway,
    next_index: u64,
    control_hosts: Vec<HostId>,
}

impl Harness {
    /// Creates a gateway with these routes, servers and entry hosts.
    pub fn new(
        routes: Vec<Route>,
        servers: Vec<Announcement>,
        hosts: Vec<EntryHostRecord>,
    ) -> Self {
        let mut harness = Self {
            gateway: Gateway::new(settings(OWN_HOST)),
            next_index: 1,
            control_hosts: vec![CONTROL_HOST],
        };
        harness.gateway.set_config(config(1, routes));
        harness.update(at(0), servers, hosts);
        harness
    }

    /// Applies a registry update with these servers and entry hosts.
    pub fn update(
        &mut self,
        now: Timestamp,
        servers: Vec<Announcement>,
        hosts: Vec<EntryHostRecord>,
    ) {
        let poll = self.gateway.poll(now).expect("a poll is due");
        self.next_index += 1;
        let update = Update {
            sequence: poll.poll.sequence,
            current: true,
            control_hosts: self.control_hosts.iter().map(|it| control_host(*it)).collect(),
            registry: RegistryUpdate::Changed(RegistryChanges {
                up_to: LogIndex(self.next_index),
                whole: false,
                config: Vec::new(),
                servers,
            }),
            hosts: HostsUpdate::Changed(HostsChanges {
                revision: HostsRevision {
                    control_host: CONTROL_HOST,
                    incarnation: Incarnation(1),
                    number: self.next_index,
                },
                whole: false,
                hosts,
                gone: Vec::new(),
            }),
        };
        self.gateway.on_update(now, poll.to, update);
    }

    pub fn begin(&mut self, now: Timestamp, path: &str) -> RequestId {
        self.gateway.begin(now, head(path)).expect("the request is accepted")
    }

    /// Begins a request and expects it to be sent; returns the attempt.
    pub fn send(&mut self, now: Timestamp, path: &str) -> (RequestId, AttemptStart) {
        let id = self.begin(now, path);
        match self.gateway.step(now, id) {
            Step::Send(start) => (id, start),
            step => panic!("the request is not sent: {step:?}"),
        }
    }

    pub fn end(&mut self, now: Timestamp, id: RequestId, start: &AttemptStart, end: AttemptEnd) {
        self.gateway.attempt_ended(now, id, start.attempt, end, ByteSize(2_000));
    }

    /// Sends a request, ends its attempt and removes it; returns the server.
    pub fn run(
        &mut self,
        sent: Timestamp,
        ended: Timestamp,
        path: &str,
        end: AttemptEnd,
    ) -> ServerId {
        let (id, start) = self.send(sent, path);
        self.end(ended, id, &start, end);
        self.gateway.step(ended, id);
        self.gateway.forget(ended, id);
        start.server
    }
}

/// An update without changes, which answers the poll with this number.
pub fn unchanged_update(sequence: u64, control_hosts: impl IntoIterator<Item = HostId>) -> Update {
    Update {
        sequence,
        current: true,
        control_hosts: control_hosts.into_iter().map(control_host).collect(),
        registry: RegistryUpdate::Unchanged,
        hosts: HostsUpdate::Unchanged,
    }
}

fn control_host(host: HostId) -> ControlHostRecord {
    ControlHostRecord { host, place: KnownPlace::Unknown }
}

pub fn head(path: &str) -> RequestHead {
    RequestHead {
        host: "bank.example".to_owned(),
        method: "GET".to_owned(),
        path: path.to_owned(),
        body_size: ByteSize(0),
        content: Fingerprint::of(path.as_bytes()),
        caller_timeout: Some(Millis(4_000)),
        credentials: Credentials::None,
        relayed: None,
    }
}

/// Answers the poll of a gateway without changes, if one is due.
pub fn answer_poll(gateway: &mut Gateway, now: Timestamp) {
    if let Some(poll) = gateway.poll(now) {
        gateway.on_update(now, poll.to, unchanged_update(poll.poll.sequence, [CONTROL_HOST]));
    }
}

/// Tells a gateway which entry hosts there are.
pub fn list_hosts(gateway: &mut Gateway, now: Timestamp, number: u64, hosts: Vec<EntryHostRecord>) {
    let Some(poll) = gateway.poll(now) else { panic!("a poll is due") };
    let revision =
        HostsRevision { control_host: CONTROL_HOST, incarnation: Incarnation(2), number };
    let update = Update {
        hosts: HostsUpdate::Changed(HostsChanges {
            revision,
            whole: true,
            hosts,
            gone: Vec::new(),
        }),
        ..unchanged_update(poll.poll.sequence, [CONTROL_HOST])
    };
    gateway.on_update(now, poll.to, update);
}
