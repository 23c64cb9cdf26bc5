//! Reads and checks the settings of entry and control hosts.

use std::collections::BTreeSet;

use ids::HostId;
use schema::{
    gateway_settings::{GatewaySettings, RegistrySettings},
    settings::{ControlSettings, EntrySettings, Peer},
};

use crate::{
    error::{CheckError, CheckProblem, Found, NodePath},
    location::Locator,
    yaml,
};

/// Smallest memory budget for bodies, in bytes.
const MIN_MEMORY_BUDGET_BYTES: u64 = 1024 * 1024;

/// Longest planned stop, in milliseconds.
const MAX_DRAIN_MILLIS: u64 = 10 * 60 * 1000;

/// Parses and checks the settings of an entry host.
pub fn parse_entry_settings(text: &str) -> Result<EntrySettings, Vec<CheckError>> {
    let settings: EntrySettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut found = Vec::new();
    check_peers(&mut found, "control_hosts", &settings.control_hosts);
    check_peers(&mut found, "seeds", &settings.seeds);
    if settings.control_hosts.is_empty() {
        let path = NodePath::of("control_hosts");
        found.push(path.found(CheckProblem::EmptyList("control_hosts")));
    }
    let addresses = [settings.caller_address, settings.peer_address, settings.admin_address];
    check_addresses(&mut found, &addresses);
    check_range(
        &mut found,
        "memory_budget_bytes",
        settings.memory_budget_bytes.0,
        MIN_MEMORY_BUDGET_BYTES,
        u64::MAX,
    );
    check_range(&mut found, "drain_ms", settings.drain_ms.0, 0, MAX_DRAIN_MILLIS);
    finish(text, found, settings)
}

/// Parses and checks the settings of a control host.
pub fn parse_control_settings(text: &str) -> Result<ControlSettings, Vec<CheckError>> {
    let settings: ControlSettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut found = Vec::new();
    check_peers(&mut found, "voters", &settings.voters);
    check_peers(&mut found, "seeds", &settings.seeds);
    check_addresses(&mut found, &[settings.peer_address, settings.admin_address]);
    finish(text, found, settings)
}

/// Shortest planned stop of a gateway, in milliseconds: time for callers to leave it.
const MIN_STOP_MILLIS: u64 = 1_000;

/// Longest time for which callers of a gateway keep a directory answer, in milliseconds.
const MAX_DIRECTORY_KEEP_MILLIS: u64 = 60_000;

/// Parses and checks the settings of a gateway.
pub fn parse_gateway_settings(text: &str) -> Result<GatewaySettings, Vec<CheckError>> {
    let settings: GatewaySettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut found = Vec::new();
    check_seeds(&mut found, settings.seeds.is_empty());
    let addresses =
        [settings.caller_address, settings.readiness_address, settings.directory_address];
    check_addresses(&mut found, &addresses);
    let stop = settings.stop_within_s.0.0;
    check_range(&mut found, "stop_within_s", stop, MIN_STOP_MILLIS, MAX_DRAIN_MILLIS);
    let keep = settings.directory_keep_s.0.0;
    check_range(&mut found, "directory_keep_s", keep, 1, MAX_DIRECTORY_KEEP_MILLIS);
    finish(text, found, settings)
}

/// Parses and checks the settings of a control host of the registry.
pub fn parse_registry_settings(text: &str) -> Result<RegistrySettings, Vec<CheckError>> {
    let settings: RegistrySettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut found = Vec::new();
    check_seeds(&mut found, settings.seeds.is_empty());
    finish(text, found, settings)
}

fn check_seeds(found: &mut Vec<Found>, are_missing: bool) {
    if are_missing {
        found.push(NodePath::of("seeds").found(CheckProblem::EmptyList("seeds")));
    }
}

fn finish<T>(text: &str, found: Vec<Found>, settings: T) -> Result<T, Vec<CheckError>> {
    if found.is_empty() {
        return Ok(settings);
    }
    let locator = Locator::new(text);
    Err(found.into_iter().map(|it| locator.place(it)).collect())
}

fn check_peers(found: &mut Vec<Found>, key: &'static str, peers: &[Peer]) {
    let mut hosts: BTreeSet<HostId> = BTreeSet::new();
    for (i, peer) in peers.iter().enumerate() {
        if !hosts.insert(peer.host) {
            let path = NodePath::of(key).index(i).key("host");
            found.push(path.found(CheckProblem::DuplicateHost(peer.host)));
        }
    }
}

fn check_addresses(found: &mut Vec<Found>, addresses: &[std::net::SocketAddr]) {
    let fixed: Vec<_> = addresses.iter().filter(|it| it.port() != 0).collect();
    let unique: BTreeSet<_> = fixed.iter().collect();
    if unique.len() < fixed.len() {
        let path = NodePath::of("admin_address");
        found.push(path.found(CheckProblem::SameAddress("caller, peer and admin")));
    }
}

fn check_range(found: &mut Vec<Found>, name: &'static str, value: u64, min: u64, max: u64) {
    if (min..=max).contains(&value) {
        return;
    }
    found.push(NodePath::of(name).found(CheckProblem::OutOfRange { name, value, min, max }));
}
