//! Settings of [`EntryCore`](crate::EntryCore).

use std::net::SocketAddr;

use ids::{DataCentreName, HostId, Incarnation, Millis, RegionName};
use schema::settings::Peer;

/// Identity, addresses and startup parameters of an entry host.
#[derive(Debug, Clone)]
pub struct EntryCoreSettings {
    /// Id of this host.
    pub host: HostId,
    /// Region of this host.
    pub region: RegionName,
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Incarnation of this process; grows with each start.
    pub incarnation: Incarnation,
    /// Address that callers and backend servers connect to.
    pub caller_address: SocketAddr,
    /// Address that other hosts send messages to.
    pub peer_address: SocketAddr,
    /// Address of the status and metrics pages.
    pub admin_address: SocketAddr,
    /// Control hosts and seeds from the settings file.
    pub peers: Vec<Peer>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Time during which a draining host still serves callers that have cached its address.
    pub drain: Millis,
}
