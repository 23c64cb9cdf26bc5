//! A whole fleet in one process, on loopback.

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

/// Control hosts of the fleet.
const CONTROL_HOSTS: u32 = 3;

/// The id of the first entry host.
const FIRST_ENTRY_HOST: u32 = 101;

/// Longest wait until the text is accepted.
const SUBMIT_LIMIT: Duration = Duration::from_secs(30);

/// Between two tries to submit the text.
const SUBMIT_RETRY: Duration = Duration::from_millis(100);

/// How long announcements of the stand-in servers hold.
const ANNOUNCEMENT_LIFETIME: Millis = Millis(3_000);

/// Longest wait of a planned stop for requests in flight.
const DRAIN: Millis = Millis(500);

/// What the fleet consists of.
#[derive(Debug, Clone)]
pub struct DevFleetSettings {
    /// The configuration text.
    pub text: PathBuf,
    /// Number of entry hosts.
    pub entry_hosts: u32,
    /// Backend servers of each service.
    pub servers: u32,
    /// Time that a stand-in server takes for one request.
    pub service_time: Millis,
    /// Folder for keys and the replicated log; a temporary one if not given.
    pub data: Option<PathBuf>,
}

/// A fleet that runs in this process.
pub struct DevFleet {
    control: Vec<RunningControl>,
    entries: Vec<RunningEntry>,
    servers: Vec<StandIn>,
    config: Config,
    folder: PathBuf,
    is_temporary: bool,
}

/// Where one host is.
struct Place {
    region: RegionName,
    data_centre: DataCentreName,
}

/// Starts the fleet and waits until its text is accepted.
pub async fn start(settings: DevFleetSettings) -> Result<DevFleet, ExitError> {
    let name = settings.text.display().to_string();
    let text = fs::read_to_string(&settings.text)
        .map_err(|e| ExitError::failed(format!("cannot read {name}: {e}")))?;
    let config = config::parse(&text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(|it| format!("{name}:{it}")).collect();
        ExitError::invalid(lines.join("\n"))
    })?;
    let is_temporary = settings.data.is_none();
    let folder = settings.data.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("daisypaddle-dev-{}", std::process::id()))
    });
    write_secrets(&folder).map_err(ExitError::failed)?;
    let places = places(&config);
    let voters = peers(1, CONTROL_HOSTS, &places)?;
    let seeds = peers(FIRST_ENTRY_HOST, settings.entry_hosts.max(1), &places)?;

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
    let servers =
        start_servers(&config, settings.servers, settings.service_time, &places, &entries).await?;
    submit(&control, &text).await?;
    Ok(DevFleet { control, entries, servers, config, folder, is_temporary })
}

impl DevFleet {
    /// Tells where to find what, and what to try.
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

    /// Stops every host as planned.
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

/// The token of the fleet's only operator.
const OPERATOR_TOKEN: &str = "daisypaddle-dev-token";

/// The key of a fleet that nobody else reaches.
const FLEET_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn write_secrets(folder: &Path) -> std::io::Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("fleet.key"), FLEET_KEY)?;
    fs::write(folder.join("operators"), format!("dev {OPERATOR_TOKEN}\n"))
}

fn places(config: &Config) -> Vec<Place> {
    let regions = config.text().regions.iter();
    let places = regions.flat_map(|region| {
        region.data_centres.iter().map(|data_centre| Place {
            region: region.name.clone(),
            data_centre: data_centre.clone(),
        })
    });
    places.collect()
}

/// Hosts with ids from `first` on, spread over the data centres.
fn peers(first: u32, count: u32, places: &[Place]) -> Result<Vec<Peer>, ExitError> {
    let addresses =
        free_addresses(Ipv4Addr::LOCALHOST, count as usize).map_err(ExitError::failed)?;
    let hosts = (first..).zip(addresses).zip(places.iter().cycle());
    let peers = hosts.map(|((host, peer_address), place)| Peer {
        host: HostId(host),
        region: place.region.clone(),
        data_centre: place.data_centre.clone(),
        peer_address,
    });
    Ok(peers.collect())
}

/// Addresses with the given loopback IP number whose ports are free now.
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
        drain_ms: DRAIN,
    }
}

async fn start_servers(
    config: &Config,
    count: u32,
    service_time: Millis,
    places: &[Place],
    entries: &[RunningEntry],
) -> Result<Vec<StandIn>, ExitError> {
    let mut servers = Vec::new();
    let mut place = places.iter().cycle();
    for service in &config.text().services {
        for number in 1..=count {
            let Some(place) = place.next() else { break };
            let server = format!("{}-{number}", service.name);
            let settings = StandInSettings {
                server: server.parse().map_err(ExitError::failed)?,
                service: service.name.clone(),
                data_centre: place.data_centre.clone(),
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

/// Submits the text until a leader accepts it.
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
                    return Err(ExitError::invalid(operator::describe_errors(&errors)));
                }
                Ok(_) | Err(_) => tokio::time::sleep(SUBMIT_RETRY).await,
            }
        }
    };
    let result = tokio::time::timeout(SUBMIT_LIMIT, submit).await;
    result.unwrap_or_else(|_| Err(ExitError::failed("no control host accepted the text")))
}
