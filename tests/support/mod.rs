//! Test harness: a fleet of real processes on loopback, with a fault-injecting proxy for each
//! ordered pair of hosts.

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
pub use process::{Process, SPAWN_LOCK};
pub use versions::VersionMonitor;

/// Longest wait for a condition; it only ends tests that hang, and no check depends on its length.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// The operator's token.
pub const OPERATOR_TOKEN: &str = "a-token-for-the-tests";

/// A request path that crashes the backend server that runs it.
pub const CRASH_PATH: &str = "/queue/crash";

const FLEET_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Regions and data centres to which hosts and servers are assigned round-robin.
const PLACES: [(&str, &str); 4] =
    [("north", "north-1"), ("north", "north-2"), ("south", "south-1"), ("south", "south-2")];

/// The id of the first entry host.
const FIRST_ENTRY_HOST: u32 = 101;

/// Returns a configuration with two services: `queue` is idempotent, `deposit` is not.
pub fn config_text(version: u64, floor: u32) -> String {
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

/// A control host or an entry host.
pub struct Host {
    pub id: HostId,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    /// Where callers connect; used by entry hosts only.
    pub caller_address: SocketAddr,
    pub process: Process,
}

/// A fleet of real processes and stand-in backend servers.
pub struct Fleet {
    pub control: Vec<Host>,
    pub entries: Vec<Host>,
    pub servers: Vec<StandIn>,
    pub links: Links,
    pub folder: TempDir,
}

impl Fleet {
    /// Starts control and entry hosts and waits until `config_text(1, floor)` is in force
    /// everywhere and claims can be made.
    pub async fn start(control: usize, entries: usize, floor: u32) -> Self {
        let fleet = Self::start_empty(control, entries).await;
        fleet.submit(&config_text(1, floor)).await;
        fleet.wait_for_version(ConfigVersion(1)).await;
        fleet.wait_for_claims().await;
        fleet
    }

    /// Starts control and entry hosts without a configuration.
    pub async fn start_empty(control: usize, entries: usize) -> Self {
        let mut fleet = Self::prepare(control, entries).await;
        (0..control).for_each(|i| fleet.start_control(i, true));
        (0..entries).for_each(|i| fleet.start_entry(i));
        fleet
    }

    /// Prepares control and entry hosts that the test starts.
    pub async fn prepare(control: usize, entries: usize) -> Self {
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join("fleet.key"), FLEET_KEY).unwrap();
        fs::write(folder.path().join("operators"), format!("tester {OPERATOR_TOKEN}\n")).unwrap();
        let control_ids = (1..).take(control).map(HostId);
        let entry_ids = (FIRST_ENTRY_HOST..).take(entries).map(HostId);
        let ids: Vec<_> = control_ids.chain(entry_ids).collect();
        let addresses = {
            let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
            free_addresses(unused_ip(), ids.len() * 3).unwrap()
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
        fleet
    }

    /// Starts the process of a control host.
    pub fn start_control(&mut self, index: usize, bootstrap: bool) {
        let settings = self.control_settings(index);
        let host = &mut self.control[index];
        let flags: &[&str] = if bootstrap { &["--bootstrap"] } else { &[] };
        host.process.start(env!("CARGO_BIN_EXE_daisypaddle-control"), &settings, flags);
    }

    /// Starts the process of an entry host.
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.entry_settings(index);
        let host = &mut self.entries[index];
        host.process.start(env!("CARGO_BIN_EXE_daisypaddle-entry"), &settings, &[]);
    }

    /// Returns the data folder of a control host.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data-{}", self.control[index].id))
    }

    /// Starts a backend server and returns its index.
    pub async fn add_server(&mut self, service: &str, name: &str) -> usize {
        self.add_server_behind(service, name, None).await
    }

    /// Starts a backend server and returns its index; `bind` holds the addresses to bind and to
    /// announce when these differ, as behind a proxy.
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

    /// Starts `count` servers of each service and waits until every entry host knows them.
    pub async fn add_servers(&mut self, count: usize) {
        for service in ["queue", "deposit"] {
            for number in 1..=count {
                self.add_server(service, &format!("{service}-{number}")).await;
            }
        }
        let expected = self.servers.len();
        for index in 0..self.entries.len() {
            self.wait_for_entry(index, |it| it.servers.len() >= expected).await;
        }
    }

    /// Returns a client for all control hosts.
    pub fn operator(&self) -> OperatorClient {
        let addresses = self.control.iter().map(|it| it.admin_address).collect();
        OperatorClient::new(addresses, OPERATOR_TOKEN.to_owned())
    }

    /// Submits a configuration until a leader accepts or rejects it.
    pub async fn submit(&self, text: &str) -> OperatorResponse {
        submit_through(&self.operator(), text).await
    }

    /// Waits until every running entry host serves with this version or a newer one.
    pub async fn wait_for_version(&self, version: ConfigVersion) {
        for (index, host) in self.entries.iter().enumerate() {
            if host.process.is_running() {
                self.wait_for_entry(index, |it| {
                    it.version >= version && it.mode == schema::membership::MemberState::Serving
                })
                .await;
            }
        }
    }

    /// Waits until every running entry host has a claim map and knows the other running ones.
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

    /// Returns the status of an entry host, or `None` if it does not respond.
    pub async fn entry_status(&self, index: usize) -> Option<EntryStatusPage> {
        let response = get(self.entries[index].admin_address, "/v1/status", &[]).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Waits until the status of an entry host satisfies `condition`.
    pub async fn wait_for_entry(
        &self,
        index: usize,
        condition: impl Fn(&EntryStatusPage) -> bool,
    ) -> EntryStatusPage {
        wait_for("the status of an entry host", async || {
            self.entry_status(index).await.filter(|it| condition(it))
        })
        .await
    }

    /// Waits for a leader that holds its lease and returns its index.
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

    /// Sends a request to one control host; returns `None` if it does not respond.
    pub async fn request_at(
        &self,
        index: usize,
        request: &OperatorRequest,
    ) -> Option<OperatorResponse> {
        self.operator().request_at(self.control[index].admin_address, request).await.ok()
    }

    /// Returns the status of a control host, or `None` if it does not respond.
    pub async fn control_status(&self, index: usize) -> Option<Status> {
        match self.request_at(index, &OperatorRequest::Status).await? {
            OperatorResponse::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Waits until the status of a control host satisfies `condition`.
    pub async fn wait_for_control(
        &self,
        index: usize,
        condition: impl Fn(&Status) -> bool,
    ) -> Status {
        wait_for("the status of a control host", async || {
            self.control_status(index).await.filter(|it| condition(it))
        })
        .await
    }

    /// Returns a client for all control hosts but one.
    pub fn operator_without(&self, index: usize) -> OperatorClient {
        let others = self.control.iter().enumerate().filter(|(i, _)| *i != index);
        let addresses = others.map(|(_, it)| it.admin_address).collect();
        OperatorClient::new(addresses, OPERATOR_TOKEN.to_owned())
    }

    /// Sets the fault of all messages from or to a host.
    pub fn isolate(&self, host: HostId, fault: Fault) {
        self.links.isolate(host, fault);
    }
}

/// Returns a loopback address that no other fleet uses and from which no connection comes, so that
/// nothing else takes the port of a host that starts.
pub fn unused_ip() -> Ipv4Addr {
    static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, low, NEXT_FLEET.fetch_add(1, Ordering::Relaxed))
}

/// Returns the region and data centre of a host.
fn place(host: HostId) -> (RegionName, DataCentreName) {
    let (region, data_centre) = PLACES[(host.0 as usize - 1) % PLACES.len()];
    (region.parse().unwrap(), data_centre.parse().unwrap())
}

/// Polls `check` until it returns a value; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for<T>(expected: &str, check: impl AsyncFn() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    match tokio::time::timeout(WAIT_TIMEOUT, wait).await {
        Ok(value) => value,
        Err(_) => panic!("timed out waiting for {expected}"),
    }
}
