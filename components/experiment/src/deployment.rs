//! Sizes, network latencies and services of the simulated deployments.

use std::{fmt, str::FromStr};

use health::{KnownServer, KnownState, LiveHost};
use ids::{ByteSize, DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::config_text::{Favour, Patience, Service};

/// Data centres of a deployment.
pub const DATA_CENTRES: usize = 6;

/// Data centres of one region.
const DATA_CENTRES_PER_REGION: usize = 2;

/// Entry hosts of a deployment.
pub const HOSTS: usize = 36;

/// Services of a deployment.
pub const SERVICES: usize = 4;

/// Backend servers of each service.
pub const SERVERS_PER_SERVICE: usize = 12;

/// Backend servers of a deployment.
pub const SERVERS: usize = SERVICES * SERVERS_PER_SERVICE;

/// One-way latency within a data centre, in microseconds.
const LOCAL_LATENCY_US: u64 = 200;

/// One-way latency between data centres of one region, in microseconds.
const INTRA_REGION_LATENCY_US: u64 = 1_500;

/// One-way latency between regions, in microseconds.
const INTER_REGION_LATENCY_US: u64 = 20_000;

/// Simulated deployment; sets the `favour` of all services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Services that favour fast detection.
    Strengur,
    /// Services that favour few false ejections.
    Drumscan,
}

/// Rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// 15 requests per second to each server.
    Day,
    /// Six requests per minute to each service.
    Night,
}

impl Load {
    /// Returns the requests per second to each service.
    pub fn requests_per_second(self) -> f64 {
        match self {
            Load::Day => 15.0 * SERVERS_PER_SERVICE as f64,
            Load::Night => 0.1,
        }
    }
}

impl Deployment {
    /// Returns the services; `service-2` depends on `service-1` and `service-3`.
    pub fn services(self) -> Vec<Service> {
        (0..SERVICES).map(|it| self.service(it)).collect()
    }

    fn service(self, number: usize) -> Service {
        let depends_on =
            if number == 2 { vec![service_name(1), service_name(3)] } else { Vec::new() };
        Service {
            connections_per_server: 330,
            deadline_ms: Millis(5_000),
            depends_on,
            favour: match self {
                Deployment::Strengur => Favour::Speed,
                Deployment::Drumscan => Favour::Certainty,
            },
            floor: 6,
            idempotent: true,
            max_request_bytes: ByteSize(1 << 20),
            max_response_bytes: ByteSize(1 << 20),
            name: service_name(number),
            patience: Patience::Prompt,
            priority: 5,
            probe_path: "/probe".to_owned(),
            servers: 0,
            slots_per_server: 3,
        }
    }
}

/// Returns the name of a service.
pub fn service_name(number: usize) -> ids::ServiceName {
    format!("service-{number}").parse().expect("a valid name")
}

/// Returns the service that a server provides.
pub fn service_of(server: usize) -> usize {
    server / SERVERS_PER_SERVICE
}

/// Returns the data centre of a server.
pub fn server_data_centre(server: usize) -> usize {
    server % DATA_CENTRES
}

/// Returns the data centre of an entry host.
pub fn host_data_centre(host: usize) -> usize {
    host % DATA_CENTRES
}

/// Returns the region of a data centre.
pub fn region_of(data_centre: usize) -> usize {
    data_centre / DATA_CENTRES_PER_REGION
}

/// Returns the one-way latency between two data centres, in microseconds.
pub fn latency_us(a: usize, b: usize) -> u64 {
    if a == b {
        LOCAL_LATENCY_US
    } else if region_of(a) == region_of(b) {
        INTRA_REGION_LATENCY_US
    } else {
        INTER_REGION_LATENCY_US
    }
}

/// Returns all entry hosts.
pub fn live_hosts() -> Vec<LiveHost> {
    let live_host = |host| LiveHost {
        host: HostId(host as u32),
        data_centre: data_centre_name(host_data_centre(host)),
        region: region_name(region_of(host_data_centre(host))),
    };
    (0..HOSTS).map(live_host).collect()
}

/// Returns all backend servers, in their state at the start of a run.
pub fn known_servers() -> Vec<KnownServer> {
    let known_server = |server| KnownServer {
        server: format!("service-{}-server-{server}", service_of(server))
            .parse()
            .expect("a valid name"),
        service: service_name(service_of(server)),
        data_centre: data_centre_name(server_data_centre(server)),
        incarnation: Incarnation(1),
        state: KnownState::Serving,
    };
    (0..SERVERS).map(known_server).collect()
}

/// Returns the name of a data centre.
pub fn data_centre_name(number: usize) -> DataCentreName {
    format!("dc-{number}").parse().expect("a valid name")
}

fn region_name(number: usize) -> RegionName {
    format!("region-{number}").parse().expect("a valid name")
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Deployment::Strengur => "strengur",
            Deployment::Drumscan => "drumscan",
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "strengur" => Ok(Deployment::Strengur),
            "drumscan" => Ok(Deployment::Drumscan),
            _ => Err(format!("unknown deployment {text:?}, expected strengur or drumscan")),
        }
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Load::Day => "day",
            Load::Night => "night",
        })
    }
}

impl FromStr for Load {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "day" => Ok(Load::Day),
            "night" => Ok(Load::Night),
            _ => Err(format!("unknown load {text:?}, expected day or night")),
        }
    }
}
