//! A fleet of real processes on loopback, with a fault-injecting proxy on every link between them.

#![allow(dead_code, unused_imports, clippy::print_stderr)]

mod callers;
mod links;
mod operators;
mod process;
mod settings;
mod versions;

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{
        PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use daisypaddle::{dev_fleet::free_addresses, operator::OperatorClient};
use fault_proxy::Fault;
use ids::{ConfigVersion, DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::{
    entry_status::EntryStatusPage,
    operator::{OperatorRequest, OperatorResponse, Status},
};
use stand_in::{StandIn, StandInSettings};
use tempfile::TempDir;

pub use callers::{call, get, post};
pub use links::Links;
pub use operators::{accepted, audit_trail, submit_through};
pub use process::{Process, SPAWNING};
pub use versions::VersionWatch;

/// Ends a wait that would never end; no test depends on its length.
pub const HANG_LIMIT: Duration = Duration::from_secs(90);

/// The token of the fleet's operator.
pub const TOKEN: &str = "a-token-for-the-tests";

/// A path that crashes the server that runs it.
pub const CRASH_PATH: &str = "/queue/crash";

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Region and data centre of each place where hosts run, in turn.
const PLACES: [(&str, &str); 4] =
    [("north", "north-1"), ("north", "north-2"), ("south", "south-1"), ("south", "south-2")];

/// The id of the first entry host.
const FIRST_ENTRY: u32 = 101;

/// A configuration text with two services: `queue` is idempotent, `deposit` is not.
pub fn text(version: u64, floor: u32) -> String {
    let service = |name: &str, idempotent: bool| {
        format!(
            "  - {{ name: {name}, idempotent: {idempotent}, patience: prompt, priority: 5, \
             deadline_ms: 5000, floor: {floor}, favour: speed, max_request_bytes: 65536, \
             max_response_bytes: 1048576, probe_path: /{name}/probe }}\n"
        )
    };
    format!(
        "version: {version}\n\
         regions:\n\
         \x20 - {{ name: north, data_centres: [north-1, north-2] }}\n\
         \x20 - {{ name: south, data_centres: [south-1, south-2] }}\n\
         services:\n{}{}\
         routes:\n\
         \x20 - {{ path: /queue, service: queue }}\n\
         \x20 - {{ path: /deposit, service: deposit }}\n\
         default_organisation: {{ requests_per_second: 5000, burst: 5000 }}\n",
        service("queue", true),
        service("deposit", false),
    )
}

/// A host of the fleet.
pub struct Host {
    pub id: HostId,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    /// Where callers connect; entry hosts only.
    pub caller_address: SocketAddr,
    pub process: Process,
}

/// A fleet of real processes.
pub struct Fleet {
    pub control: Vec<Host>,
    pub entries: Vec<Host>,
    pub servers: Vec<StandIn>,
    pub links: Links,
    pub folder: TempDir,
}

impl Fleet {
    /// Starts control and entry hosts and waits until `text(1, floor)` is in force everywhere and
    /// claims can be made.
    pub async fn start(control: usize, entries: usize, floor: u32) -> Self {
        let fleet = Self::start_empty(control, entries).await;
        fleet.submit(&text(1, floor)).await;
        fleet.wait_in_force(ConfigVersion(1)).await;
        fleet.wait_for_claims().await;
        fleet
    }

    /// Starts control and entry hosts without a configuration.
    pub async fn start_empty(control: usize, entries: usize) -> Self {
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join("fleet.key"), KEY).unwrap();
        fs::write(folder.path().join("operators"), format!("tester {TOKEN}\n")).unwrap();
        let control_ids = (1..).take(control).map(HostId);
        let entry_ids = (FIRST_ENTRY..).take(entries).map(HostId);
        let ids: Vec<_> = control_ids.chain(entry_ids).collect();
        let addresses = {
            let _spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
            free_addresses(own_ip(), ids.len() * 3).unwrap()
        };
        let peers: Vec<_> = ids.iter().copied().zip(addresses.iter().copied()).collect();
        let links = Links::start(&peers).await;
        let mut fleet =
            Self { control: Vec::new(), entries: Vec::new(), servers: Vec::new(), links, folder };
        for (i, (id, peer_address)) in peers.into_iter().enumerate() {
            let host = Host {
                id,
                peer_address,
                admin_address: addresses[ids.len() + i],
                caller_address: addresses[ids.len() * 2 + i],
                process: Process::new(fleet.folder.path(), id),
            };
            match i < control {
                true => fleet.control.push(host),
                false => fleet.entries.push(host),
            }
        }
        (0..control).for_each(|i| fleet.start_control(i, true));
        (0..entries).for_each(|i| fleet.start_entry(i));
        fleet
    }

    /// Starts the process of a control host.
    pub fn start_control(&mut self, index: usize, bootstrap: bool) {
        let settings = self.control_settings(index);
        let host = &mut self.control[index];
        let extra: &[&str] = if bootstrap { &["--bootstrap"] } else { &[] };
        host.process.start(env!("CARGO_BIN_EXE_daisypaddle-control"), &settings, extra);
    }

    /// Starts the process of an entry host.
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.entry_settings(index);
        let host = &mut self.entries[index];
        host.process.start(env!("CARGO_BIN_EXE_daisypaddle-entry"), &settings, &[]);
    }

    /// The data folder of a control host.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data-{}", self.control[index].id))
    }

    /// Starts a backend server that announces itself to the entry hosts.
    pub async fn add_server(&mut self, service: &str, name: &str) -> usize {
        self.add_server_behind(service, name, None).await
    }

    /// Starts a backend server that announces another address than its own, as behind a proxy.
    pub async fn add_server_behind(
        &mut self,
        service: &str,
        name: &str,
        bind: Option<(SocketAddr, SocketAddr)>,
    ) -> usize {
        let (address, announced) = match bind {
            Some((address, announced)) => (address, Some(announced)),
            None => ("127.0.0.1:0".parse().unwrap(), None),
        };
        let settings = StandInSettings {
            server: name.parse().unwrap(),
            service: service.parse().unwrap(),
            data_centre: PLACES[self.servers.len() % PLACES.len()].1.parse().unwrap(),
            incarnation: Incarnation(1),
            address,
            announced_address: announced,
            entry_hosts: self.entries.iter().map(|it| it.caller_address).collect(),
            slots: 3,
            service_time: Millis(5),
            lifetime: Millis(3_000),
            crash_path: Some(CRASH_PATH.to_owned()),
        };
        self.servers.push(stand_in::start(settings).await.unwrap());
        self.servers.len() - 1
    }

    /// Adds `count` servers of each service and waits until every entry host knows them.
    pub async fn add_servers(&mut self, count: usize) {
        for service in ["queue", "deposit"] {
            for number in 1..=count {
                self.add_server(service, &format!("{service}-{number}")).await;
            }
        }
        let all = self.servers.len();
        for index in 0..self.entries.len() {
            self.wait_for_entry(index, |it| it.servers.len() >= all).await;
        }
    }

    /// A client for all control hosts.
    pub fn operator(&self) -> OperatorClient {
        let addresses = self.control.iter().map(|it| it.admin_address).collect();
        OperatorClient::new(addresses, TOKEN.to_owned())
    }

    /// Submits until a leader accepts or refuses the text.
    pub async fn submit(&self, text: &str) -> OperatorResponse {
        submit_through(&self.operator(), text).await
    }

    /// Waits until every running entry host has the version in force.
    pub async fn wait_in_force(&self, version: ConfigVersion) {
        for (index, host) in self.entries.iter().enumerate() {
            if host.process.is_running() {
                self.wait_for_entry(index, |it| {
                    it.version >= version && it.mode == schema::membership::MemberState::Serving
                })
                .await;
            }
        }
    }

    /// Waits until every running entry host has a claim map and sees the others.
    pub async fn wait_for_claims(&self) {
        let running = self.entries.iter().filter(|it| it.process.is_running()).count();
        for (index, host) in self.entries.iter().enumerate() {
            if host.process.is_running() {
                self.wait_for_entry(index, |it| {
                    it.claim_epoch.0 > 0 && it.members.len() >= running
                })
                .await;
            }
        }
    }

    /// The status of an entry host, if it answers.
    pub async fn entry_status(&self, index: usize) -> Option<EntryStatusPage> {
        let answer = get(self.entries[index].admin_address, "/v1/status", &[]).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Waits until the status of an entry host is as wanted.
    pub async fn wait_for_entry(
        &self,
        index: usize,
        is_wanted: impl Fn(&EntryStatusPage) -> bool,
    ) -> EntryStatusPage {
        wait_for("the status of an entry host", async || {
            self.entry_status(index).await.filter(|it| is_wanted(it))
        })
        .await
    }

    /// The index of the control host that leads and holds its lease.
    pub async fn leader(&self) -> usize {
        wait_for("a leader", async || {
            for (index, host) in self.control.iter().enumerate() {
                let status =
                    self.operator().request_at(host.admin_address, &OperatorRequest::Status).await;
                if matches!(status, Ok(OperatorResponse::Status(it)) if it.holds_lease) {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    /// The answer of one control host, if it gives one.
    pub async fn ask(&self, index: usize, request: &OperatorRequest) -> Option<OperatorResponse> {
        self.operator().request_at(self.control[index].admin_address, request).await.ok()
    }

    /// The status of a control host, if it answers.
    pub async fn control_status(&self, index: usize) -> Option<Status> {
        match self.ask(index, &OperatorRequest::Status).await? {
            OperatorResponse::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Waits until the status of a control host is as wanted.
    pub async fn wait_for_control(
        &self,
        index: usize,
        is_wanted: impl Fn(&Status) -> bool,
    ) -> Status {
        wait_for("the status of a control host", async || {
            self.control_status(index).await.filter(|it| is_wanted(it))
        })
        .await
    }

    /// A client for all control hosts but one.
    pub fn operator_without(&self, index: usize) -> OperatorClient {
        let others = self.control.iter().enumerate().filter(|(i, _)| *i != index);
        let addresses = others.map(|(_, it)| it.admin_address).collect();
        OperatorClient::new(addresses, TOKEN.to_owned())
    }

    /// Sets the fault of all links from or to a host.
    pub fn isolate(&self, host: HostId, fault: Fault) {
        self.links.isolate(host, fault);
    }
}

/// A loopback IP number that no other fleet uses, so that its ports stay free while a host restarts.
fn own_ip() -> Ipv4Addr {
    static FLEETS: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, low, FLEETS.fetch_add(1, Ordering::Relaxed))
}

/// Where a host runs.
fn place(host: HostId) -> (RegionName, DataCentreName) {
    let (region, data_centre) = PLACES[(host.0 as usize - 1) % PLACES.len()];
    (region.parse().unwrap(), data_centre.parse().unwrap())
}

/// Waits until `check` gives a value.
pub async fn wait_for<T>(what: &str, check: impl AsyncFn() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    match tokio::time::timeout(HANG_LIMIT, wait).await {
        Ok(value) => value,
        Err(_) => panic!("waited in vain for {what}"),
    }
}
