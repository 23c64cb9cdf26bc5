//! Settings of a gateway's decisions.

use std::net::SocketAddr;

use ids::{DataCentreName, FastMap, HostId, Incarnation, Millis, RegionName};

/// Bounds on the further attempts of all gateways together, for each service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Further attempts for each first one, in thousandths.
    pub share_milli: u64,
    /// Further attempts allowed besides in each window.
    pub slack: u32,
    /// The window.
    pub window: Millis,
}

/// Who this gateway is.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This host.
    pub host: HostId,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The regions of all data centres.
    pub regions: FastMap<DataCentreName, RegionName>,
    /// The start of this process.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Control hosts that were known when the settings were written.
    pub seeds: Vec<HostId>,
    /// Bounds on further attempts.
    pub retry_budget: RetryBudgetSettings,
    /// How long callers keep a directory answer.
    pub directory_ttl: Millis,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Where a gateway is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It has no configuration yet that it may trust.
    Joining,
    /// It serves callers.
    Serving,
    /// It serves the callers that still have its address, and stops soon.
    Draining {
        /// When the process ends; no request may last longer.
        until: ids::Timestamp,
    },
}
