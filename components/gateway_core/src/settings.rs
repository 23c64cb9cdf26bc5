//! Settings of a gateway's decisions.

use std::net::SocketAddr;

use ids::{DataCentreName, FastMap, HostId, Incarnation, Millis, RegionName, Timestamp};

use crate::{organisations::KeySecret, planned_stop::StopSchedule};

/// Limits on the retries of all gateways together, for each service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries per first attempt, in thousandths.
    pub share_milli: u64,
    /// Retries allowed per window in addition to the share, in thousandths.
    pub slack_milli: u64,
    /// Length of the window.
    pub window: Millis,
}

/// What becomes of keys that an operator withdraws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyWithdrawal {
    /// Time after which no gateway takes a withdrawn key any more.
    pub within: Millis,
    /// Whether a gateway that no control host reaches takes no keys.
    pub is_strict: bool,
}

/// Identity and settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This host.
    pub host: HostId,
    /// Region of this host.
    pub region: RegionName,
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Regions of all data centres.
    pub regions: FastMap<DataCentreName, RegionName>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// When this process started.
    pub started: Timestamp,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Control hosts to poll until the registry lists others.
    pub seeds: Vec<HostId>,
    /// Limits on retries.
    pub retry_budget: RetryBudgetSettings,
    /// How long callers may cache a directory answer.
    pub directory_ttl: Millis,
    /// Whether the work of requests is learned and decides where they go.
    pub learns_work: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Secret under which keys of callers are hashed.
    pub key_secret: KeySecret,
    /// What becomes of withdrawn keys, if the deployment says so.
    pub key_withdrawal: Option<KeyWithdrawal>,
}

/// Lifecycle state of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Waits for its first configuration.
    Joining,
    /// Serves callers.
    Serving,
    /// Serves callers that still use its address, and will stop soon.
    Draining(StopSchedule),
}
