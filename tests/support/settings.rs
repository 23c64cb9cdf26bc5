//! The settings files of the hosts.

use ids::{HostId, Millis};
use schema::settings::{ControlSettings, EntrySettings, Peer};

use super::{Fleet, Host, place};

impl Fleet {
    fn peer(&self, from: HostId, to: &Host) -> Peer {
        let (region, data_centre) = place(to.id);
        Peer { host: to.id, region, data_centre, peer_address: self.links.address(from, to.id) }
    }

    fn peers(&self, from: HostId, hosts: &[Host]) -> Vec<Peer> {
        let peers = hosts.iter().map(|it| match it.id == from {
            true => {
                let (region, data_centre) = place(from);
                Peer { host: from, region, data_centre, peer_address: it.peer_address }
            }
            false => self.peer(from, it),
        });
        peers.collect()
    }

    fn path(&self, name: &str) -> String {
        self.folder.path().join(name).display().to_string()
    }

    /// Returns the settings file of a control host.
    pub(super) fn control_settings(&self, index: usize) -> String {
        let host = &self.control[index];
        let (region, data_centre) = place(host.id);
        let settings = ControlSettings {
            host: host.id,
            region,
            data_centre,
            peer_address: host.peer_address,
            admin_address: host.admin_address,
            fleet_key_file: self.path("fleet.key"),
            operator_tokens_file: self.path("operators"),
            data_folder: self.data_folder(index).display().to_string(),
            voters: self.peers(host.id, &self.control),
            seeds: self.peers(host.id, &self.entries),
            seed: 7,
        };
        serde_json::to_string(&settings).unwrap()
    }

    /// Returns the settings file of an entry host.
    pub(super) fn entry_settings(&self, index: usize) -> String {
        let host = &self.entries[index];
        let (region, data_centre) = place(host.id);
        let settings = EntrySettings {
            host: host.id,
            region,
            data_centre,
            caller_address: host.caller_address,
            peer_address: host.peer_address,
            admin_address: host.admin_address,
            fleet_key_file: self.path("fleet.key"),
            control_hosts: self.peers(host.id, &self.control),
            seeds: self.peers(host.id, &self.entries),
            seed: 7,
            memory_budget_bytes: ids::ByteSize(64 * 1024 * 1024),
            // Longer than callers may cache a directory response.
            drain_ms: Millis(13_000),
        };
        serde_json::to_string(&settings).unwrap()
    }
}
