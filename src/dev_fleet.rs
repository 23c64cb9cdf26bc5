//! Development fleet: all hosts and stand-in backend servers in one process, on loopback.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::Duration,
};

use config::Config;
use control::RunningControl;
use entry::RunningEntry;
use ids::{ByteSize, DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::{
    operator::{OperatorRequest, OperatorResponse, Submit},
    settings::{ControlSettings, EntrySettings, Peer},
};
use stand_in::{StandIn, StandInSettings};

use crate::{
    cli::ExitError,
    operator::{self, OperatorClient},
};

/// Number of control hosts.
const CONTROL_HOSTS: u32 = 3;

/// Id of the first entry host; the others follow it.
const FIRST_ENTRY_HOST: u32 = 101;

/// Timeout for the configuration text to be accepted.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between attempts to submit the configuration text.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Lifetime of the announcements of stand-in servers.
const ANNOUNCEMENT_LIFETIME: Millis = Millis(3_000);

/// Time for which an entry host still serves callers after a planned stop has begun.
const DRAIN_TIME: Millis = Millis(500);

/// Settings of a development fleet.
#[derive(Debug, Clone)]
pub struct DevFleetSettings {
    /// Path of the configuration text.
    pub text_file: PathBuf,
    /// Number of entry hosts.
    pub entry_hosts: u32,
    /// Number of backend servers of each service.
    pub servers_per_service: u32,
    /// Service time of a request on a backend server.
    pub service_time: Millis,
    /// Folder for keys and the replicated log; by default a temporary one that is removed at the
    /// stop.
    pub data_folder: Option<PathBuf>,
}

/// Running development fleet.
pub struct DevFleet {
    control: Vec<RunningControl>,
    entries: Vec<RunningEntry>,
    servers: Vec<StandIn>,
    config: Config,
    folder: PathBuf,
    is_temporary: bool,
}

/// Region and data centre of a host.
struct Location {
    region: RegionName,
    data_centre: DataCentreName,
}

/// Starts the fleet and waits until its configuration text is accepted.
pub async fn start(settings: DevFleetSettings) -> Result<DevFleet, ExitError> {
    let name = settings.text_file.display().to_string();
    let text = fs::read_to_string(&settings.text_file)
        .map_err(|e| ExitError::failed(format!("cannot read {name}: {e}")))?;
    let config = config::parse(&text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(|it| format!("{name}:{it}")).collect();
        ExitError::invalid(lines.join("\n"))
    })?;
    let is_temporary = settings.data_folder.is_none();
    let folder = settings.data_folder.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("daisypaddle-dev-{}", std::process::id()))
    });
    write_secrets(&folder).map_err(ExitError::failed)?;
    let locations = locations(&config);
    let voters = peers(1, CONTROL_HOSTS, &locations)?;
    let seeds = peers(FIRST_ENTRY_HOST, settings.entry_hosts.max(1), &locations)?;

    let mut control = Vec::new();
    for peer in &voters {
        let host = control_settings(peer, &voters, &seeds, &folder);
        control.push(control::start(host, true).await.map_err(ExitError::failed)?);
    }
    let mut entries = Vec::new();
    for peer in &seeds {
        let host = entry_settings(peer, &voters, &seeds, &folder);
        entries.push(entry::start(host).await.map_err(ExitError::failed)?);
    }
    let servers = start_servers(
        &config,
        settings.servers_per_service,
        settings.service_time,
        &locations,
        &entries,
    )
    .await?;
    submit(&control, &text).await?;
    Ok(DevFleet { control, entries, servers, config, folder, is_temporary })
}

impl DevFleet {
    /// Returns the addresses of all hosts and example commands, for the terminal.
    pub fn guide(&self) -> String {
        let mut text = String::from("\nThe fleet runs.\n\nEntry hosts, for callers:\n");
        for entry in &self.entries {
            text += &format!(
                "  http://{}   metrics http://{}/metrics\n",
                entry.caller_address, entry.admin_address
            );
        }
        text += "Control hosts, for operators:\n";
        for control in &self.control {
            text += &format!("  http://{}   token {OPERATOR_TOKEN}\n", control.admin_address);
        }
        text += "Backend servers:\n";
        for server in &self.servers {
            text += &format!("  {} {}\n", server.id(), server.address);
        }
        text += "\nTry:\n";
        let Some(entry) = self.entries.first() else { return text };
        text += &format!("  curl -i http://{}/directory\n", entry.caller_address);
        for route in &self.config.text().routes {
            let is_idempotent = self.config.service(&route.service).is_some_and(|it| it.idempotent);
            let key = match is_idempotent {
                true => "",
                false => " -X POST -H 'Idempotency-Key: my-first-key'",
            };
            text += &format!("  curl -i{key} http://{}{}/1\n", entry.caller_address, route.path);
        }
        text
    }

    /// Stops the entry hosts, the backend servers and the control hosts, in this order.
    pub async fn stop(self) -> Result<(), ExitError> {
        for entry in self.entries {
            entry.stop().await;
        }
        self.servers.iter().for_each(StandIn::kill);
        for control in self.control {
            control.stop().await.map_err(ExitError::failed)?;
        }
        if self.is_temporary {
            fs::remove_dir_all(&self.folder).map_err(ExitError::failed)?;
        }
        Ok(())
    }
}

/// Token of the only operator.
const OPERATOR_TOKEN: &str = "daisypaddle-dev-token";

/// Fleet key; a constant is enough for a fleet that is reachable only on loopback.
const FLEET_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn write_secrets(folder: &Path) -> std::io::Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("fleet.key"), FLEET_KEY)?;
    fs::write(folder.join("operators"), format!("dev {OPERATOR_TOKEN}\n"))
}

fn locations(config: &Config) -> Vec<Location> {
    let regions = config.text().regions.iter();
    let locations = regions.flat_map(|region| {
        region.data_centres.iter().map(|data_centre| Location {
            region: region.name.clone(),
            data_centre: data_centre.clone(),
        })
    });
    locations.collect()
}

/// Returns `count` hosts with ids from `first` on and free addresses, spread over the data centres.
fn peers(first: u32, count: u32, locations: &[Location]) -> Result<Vec<Peer>, ExitError> {
    let addresses =
        free_addresses(Ipv4Addr::LOCALHOST, count as usize).map_err(ExitError::failed)?;
    let hosts = (first..).zip(addresses).zip(locations.iter().cycle());
    let peers = hosts.map(|((host, peer_address), location)| Peer {
        host: HostId(host),
        region: location.region.clone(),
        data_centre: location.data_centre.clone(),
        peer_address,
    });
    Ok(peers.collect())
}

/// Returns addresses on `ip` with ports that are free at the moment.
pub fn free_addresses(ip: Ipv4Addr, count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn path(folder: &Path, name: &str) -> String {
    folder.join(name).display().to_string()
}

fn control_settings(
    peer: &Peer,
    voters: &[Peer],
    seeds: &[Peer],
    folder: &Path,
) -> ControlSettings {
    ControlSettings {
        host: peer.host,
        region: peer.region.clone(),
        data_centre: peer.data_centre.clone(),
        peer_address: peer.peer_address,
        admin_address: any_port(),
        fleet_key_file: path(folder, "fleet.key"),
        operator_tokens_file: path(folder, "operators"),
        data_folder: path(folder, &format!("control-{}", peer.host)),
        voters: voters.to_vec(),
        seeds: seeds.to_vec(),
        seed: 1,
    }
}

fn entry_settings(peer: &Peer, voters: &[Peer], seeds: &[Peer], folder: &Path) -> EntrySettings {
    EntrySettings {
        host: peer.host,
        region: peer.region.clone(),
        data_centre: peer.data_centre.clone(),
        caller_address: any_port(),
        peer_address: peer.peer_address,
        admin_address: any_port(),
        fleet_key_file: path(folder, "fleet.key"),
        control_hosts: voters.to_vec(),
        seeds: seeds.to_vec(),
        seed: 1,
        memory_budget_bytes: ByteSize(64 * 1024 * 1024),
        drain_ms: DRAIN_TIME,
    }
}

async fn start_servers(
    config: &Config,
    count: u32,
    service_time: Millis,
    locations: &[Location],
    entries: &[RunningEntry],
) -> Result<Vec<StandIn>, ExitError> {
    let mut servers = Vec::new();
    let mut locations = locations.iter().cycle();
    for service in &config.text().services {
        for number in 1..=count {
            let Some(location) = locations.next() else { break };
            let server = format!("{}-{number}", service.name);
            let settings = StandInSettings {
                server: server.parse().map_err(ExitError::failed)?,
                service: service.name.clone(),
                data_centre: location.data_centre.clone(),
                incarnation: Incarnation(1),
                address: any_port(),
                announced_address: None,
                entry_hosts: entries.iter().map(|it| it.caller_address).collect(),
                slots: service.slots_per_server,
                service_time,
                lifetime: ANNOUNCEMENT_LIFETIME,
                crash_path: None,
            };
            servers.push(stand_in::start(settings).await.map_err(ExitError::failed)?);
        }
    }
    Ok(servers)
}

/// Submits the configuration text until the leader responds. A fleet whose data folder already
/// holds this version or a later one keeps that one.
async fn submit(control: &[RunningControl], text: &str) -> Result<(), ExitError> {
    let addresses = control.iter().map(|it| it.admin_address).collect();
    let client = OperatorClient::new(addresses, OPERATOR_TOKEN.to_owned());
    let submit = async {
        loop {
            let request = OperatorRequest::Submit(Submit { text: text.to_owned() });
            match client.request(&request).await {
                Ok(OperatorResponse::Accepted(_)) => return Ok(()),
                Ok(
                    OperatorResponse::Conflict(_)
                    | OperatorResponse::OutOfOrder(_)
                    | OperatorResponse::Superseded(_),
                ) => return Ok(()),
                Ok(OperatorResponse::Invalid(errors)) => {
                    return Err(ExitError::invalid(operator::format_errors(&errors)));
                }
                Ok(_) | Err(_) => tokio::time::sleep(SUBMIT_RETRY_INTERVAL).await,
            }
        }
    };
    let result = tokio::time::timeout(SUBMIT_TIMEOUT, submit).await;
    result.unwrap_or_else(|_| {
        Err(ExitError::failed("no control host accepted the configuration text in time"))
    })
}
