//! Settings of an entry host's decisions.

use std::net::SocketAddr;

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::settings::Peer;

/// Who this entry host is.
#[derive(Debug, Clone)]
pub struct EntryCoreSettings {
    /// This host.
    pub host: HostId,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Counts the starts of this process.
    pub incarnation: Incarnation,
    /// Where callers and backend servers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts reach this one.
    pub peer_address: SocketAddr,
    /// Where operators read status and metrics.
    pub admin_address: SocketAddr,
    /// The hosts that the settings name.
    pub peers: Vec<Peer>,
    /// Seed of the random choices.
    pub seed: u64,
    /// How long a planned stop serves callers that still keep the address.
    pub drain: Millis,
}
