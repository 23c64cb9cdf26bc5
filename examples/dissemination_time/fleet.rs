//! A fleet of real processes.

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    time::Duration,
};

use daisypaddle::{dev_fleet::free_addresses, operator::OperatorClient};
use ids::{ByteSize, HostId, Millis};
use schema::{
    operator::{OperatorRequest, OperatorResponse, Submit},
    settings::{ControlSettings, EntrySettings, Peer},
};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::links::Links;

const FLEET_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

const OPERATOR_TOKEN: &str = "a-token-for-the-measurement";

/// The id of the first entry host.
const FIRST_ENTRY_HOST: u32 = 101;

/// Time between two attempts to submit.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Where the hosts listen; proxies listen on another loopback address, so that they can't take a
/// host's port.
const HOSTS_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 7, 1);

/// The configuration in which the version and the first priority are replaced.
const CONFIG_TEXT: &str = include_str!("../strengur.yaml");

/// Regions and data centres to which hosts are assigned round-robin.
const PLACES: [(&str, &str); 6] = [
    ("reykjavik", "rvk-1"),
    ("akureyri", "ak-1"),
    ("egilsstadir", "eg-1"),
    ("reykjavik", "rvk-2"),
    ("akureyri", "ak-2"),
    ("egilsstadir", "eg-2"),
];

/// A running host, which is killed when dropped.
struct Host {
    process: Child,
    id: HostId,
    admin_address: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Addresses, proxies and files of a fleet.
struct Layout {
    /// Number of control hosts, which come first in `hosts`.
    control: usize,
    hosts: Vec<(HostId, SocketAddr)>,
    links: Option<Links>,
    folder: TempDir,
}

/// A running fleet.
pub struct Fleet {
    /// Control hosts, then entry hosts.
    hosts: Vec<Host>,
    layout: Layout,
    /// The newest version.
    version: u64,
}

impl Fleet {
    /// Starts control and entry hosts, optionally with a proxy for each ordered pair of hosts.
    pub async fn start(control: usize, entries: usize, use_proxies: bool) -> Self {
        let folder = TempDir::new().expect("a folder can be created");
        fs::write(folder.path().join("fleet.key"), FLEET_KEY).expect("the folder is writable");
        let operators = format!("measurement {OPERATOR_TOKEN}\n");
        fs::write(folder.path().join("operators"), operators).expect("the folder is writable");
        let ids = (1..).take(control).chain((FIRST_ENTRY_HOST..).take(entries)).map(HostId);
        let addresses =
            free_addresses(HOSTS_IP, (control + entries) * 3).expect("loopback has free ports");
        let hosts: Vec<_> = ids.zip(addresses.iter().copied()).collect();
        let links = match use_proxies {
            true => Some(Links::start(&hosts).await),
            false => None,
        };
        let layout = Layout { control, hosts, links, folder };
        let rest = &addresses[layout.hosts.len()..];
        let running =
            rest.chunks(2).enumerate().map(|(index, it)| layout.start_host(index, it[0], it[1]));
        Self { hosts: running.collect(), layout, version: 1 }
    }

    /// Returns the proxies; panics if the fleet has none.
    pub fn links(&self) -> &Links {
        self.layout.links.as_ref().expect("this fleet has proxies")
    }

    /// Returns the number of entry hosts.
    pub fn entries(&self) -> usize {
        self.hosts.len() - self.layout.control
    }

    /// Returns the id of a control host.
    pub fn control_id(&self, index: usize) -> HostId {
        self.hosts[index].id
    }

    /// Returns the id of an entry host.
    pub fn entry_id(&self, index: usize) -> HostId {
        self.hosts[self.layout.control + index].id
    }

    /// Returns process id and admin address of each host, control hosts first.
    pub fn processes(&self) -> impl Iterator<Item = (u32, SocketAddr)> {
        self.hosts.iter().map(|it| (it.process.id(), it.admin_address))
    }

    /// Returns the admin addresses of the entry hosts.
    pub fn entry_admin_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.hosts[self.layout.control..].iter().map(|it| it.admin_address)
    }

    /// Returns the next version to submit.
    pub fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// Submits a version until it is accepted.
    pub async fn submit(&self, version: u64) {
        let control = &self.hosts[..self.layout.control];
        let addresses = control.iter().map(|it| it.admin_address).collect();
        let client = OperatorClient::new(addresses, OPERATOR_TOKEN.to_owned());
        let text = CONFIG_TEXT
            .replace("version: 1\n", &format!("version: {version}\n"))
            .replace("priority: 5", &format!("priority: {}", 1 + version % 7));
        let request = OperatorRequest::Submit(Submit { text });
        loop {
            match client.request(&request).await {
                Ok(OperatorResponse::Accepted(_)) => return,
                Ok(OperatorResponse::Invalid(e)) => panic!("the configuration is invalid: {e:?}"),
                _ => sleep(SUBMIT_RETRY_INTERVAL).await,
            }
        }
    }
}

impl Layout {
    fn start_host(
        &self,
        index: usize,
        admin_address: SocketAddr,
        caller_address: SocketAddr,
    ) -> Host {
        let (id, _) = self.hosts[index];
        let (binary, settings) = match index < self.control {
            true => ("daisypaddle-control", self.control_settings(index, admin_address)),
            false => {
                ("daisypaddle-entry", self.entry_settings(index, admin_address, caller_address))
            }
        };
        let file = self.folder.path().join(format!("settings-{id}.yaml"));
        fs::write(&file, settings).expect("the folder is writable");
        let mut command = Command::new(binaries_folder().join(binary));
        command.arg("--settings").arg(file).stdin(Stdio::null()).stderr(Stdio::null());
        if index < self.control {
            command.arg("--bootstrap");
        }
        let process = command.spawn().expect("the binaries are built");
        Host { process, id, admin_address }
    }

    fn path(&self, name: &str) -> String {
        self.folder.path().join(name).display().to_string()
    }

    fn peer(&self, from: usize, to: usize) -> Peer {
        let (host, address) = self.hosts[to];
        let (region, data_centre) = PLACES[to % PLACES.len()];
        let peer_address = match &self.links {
            Some(links) if from != to => links.address(self.hosts[from].0, host),
            _ => address,
        };
        Peer {
            host,
            region: region.parse().expect("the name is valid"),
            data_centre: data_centre.parse().expect("the name is valid"),
            peer_address,
        }
    }

    fn control_settings(&self, index: usize, admin_address: SocketAddr) -> String {
        let own = self.peer(index, index);
        let settings = ControlSettings {
            host: own.host,
            region: own.region,
            data_centre: own.data_centre,
            peer_address: own.peer_address,
            admin_address,
            fleet_key_file: self.path("fleet.key"),
            operator_tokens_file: self.path("operators"),
            data_folder: self.path(&format!("data-{}", own.host)),
            voters: (0..self.control).map(|it| self.peer(index, it)).collect(),
            seeds: (self.control..self.hosts.len()).map(|it| self.peer(index, it)).collect(),
            seed: 7,
        };
        serde_json::to_string(&settings).expect("settings can be serialised")
    }

    fn entry_settings(
        &self,
        index: usize,
        admin_address: SocketAddr,
        caller_address: SocketAddr,
    ) -> String {
        let own = self.peer(index, index);
        let settings = EntrySettings {
            host: own.host,
            region: own.region,
            data_centre: own.data_centre,
            caller_address,
            peer_address: own.peer_address,
            admin_address,
            fleet_key_file: self.path("fleet.key"),
            control_hosts: (0..self.control).map(|it| self.peer(index, it)).collect(),
            seeds: (self.control..self.hosts.len()).map(|it| self.peer(index, it)).collect(),
            seed: 7,
            memory_budget_bytes: ByteSize(64 * 1024 * 1024),
            drain_ms: Millis(500),
        };
        serde_json::to_string(&settings).expect("settings can be serialised")
    }
}

/// Returns the folder of the binaries, which is the parent of that of the examples.
fn binaries_folder() -> std::path::PathBuf {
    let current_exe = env::current_exe().expect("the path of the binary is known");
    current_exe.parent().and_then(Path::parent).expect("examples have a parent folder").to_owned()
}
