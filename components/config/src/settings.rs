//! Parses and checks the settings of entry hosts, control hosts and gateways.

use std::collections::BTreeSet;

use ids::HostId;
use schema::{
    gateway_settings::{GatewaySettings, RegistrySettings},
    settings::{ControlSettings, EntrySettings, Peer},
};

use crate::{
    error::{CheckError, CheckProblem, NodePath, NodeProblem},
    location::Locator,
    yaml,
};

/// Minimum memory budget for bodies, in bytes.
const MIN_MEMORY_BUDGET_BYTES: u64 = 1024 * 1024;

/// Maximum duration of a planned stop, in milliseconds.
const MAX_DRAIN_MILLIS: u64 = 10 * 60 * 1000;

/// Minimum duration of a planned stop of a gateway, in milliseconds; callers need time to leave it.
const MIN_STOP_MILLIS: u64 = 1_000;

/// Maximum time for which callers of a gateway may cache a directory answer, in milliseconds.
const MAX_DIRECTORY_KEEP_MILLIS: u64 = 60_000;

/// Parses and checks the settings of an entry host.
pub fn parse_entry_settings(text: &str) -> Result<EntrySettings, Vec<CheckError>> {
    let settings: EntrySettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_peers(&mut problems, "control_hosts", &settings.control_hosts);
    check_peers(&mut problems, "seeds", &settings.seeds);
    if settings.control_hosts.is_empty() {
        let path = NodePath::of("control_hosts");
        problems.push(path.problem(CheckProblem::EmptyList("control_hosts")));
    }
    let addresses = [settings.caller_address, settings.peer_address, settings.admin_address];
    check_addresses(&mut problems, &addresses);
    check_range(
        &mut problems,
        "memory_budget_bytes",
        settings.memory_budget_bytes.0,
        MIN_MEMORY_BUDGET_BYTES,
        u64::MAX,
    );
    check_range(&mut problems, "drain_ms", settings.drain_ms.0, 0, MAX_DRAIN_MILLIS);
    into_result(text, problems, settings)
}

/// Parses and checks the settings of a control host.
pub fn parse_control_settings(text: &str) -> Result<ControlSettings, Vec<CheckError>> {
    let settings: ControlSettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_peers(&mut problems, "voters", &settings.voters);
    check_peers(&mut problems, "seeds", &settings.seeds);
    check_addresses(&mut problems, &[settings.peer_address, settings.admin_address]);
    into_result(text, problems, settings)
}

/// Parses and checks the settings of a gateway.
pub fn parse_gateway_settings(text: &str) -> Result<GatewaySettings, Vec<CheckError>> {
    let settings: GatewaySettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_seeds(&mut problems, settings.seeds.is_empty());
    let addresses =
        [settings.caller_address, settings.readiness_address, settings.directory_address];
    check_addresses(&mut problems, &addresses);
    let stop = settings.stop_within_s.0.0;
    check_range(&mut problems, "stop_within_s", stop, MIN_STOP_MILLIS, MAX_DRAIN_MILLIS);
    let keep = settings.directory_keep_s.0.0;
    check_range(&mut problems, "directory_keep_s", keep, 1, MAX_DIRECTORY_KEEP_MILLIS);
    into_result(text, problems, settings)
}

/// Parses and checks the settings of a control host of the registry.
pub fn parse_registry_settings(text: &str) -> Result<RegistrySettings, Vec<CheckError>> {
    let settings: RegistrySettings = yaml::read(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_seeds(&mut problems, settings.seeds.is_empty());
    into_result(text, problems, settings)
}

fn check_seeds(problems: &mut Vec<NodeProblem>, is_empty: bool) {
    if is_empty {
        problems.push(NodePath::of("seeds").problem(CheckProblem::EmptyList("seeds")));
    }
}

fn into_result<T>(
    text: &str,
    problems: Vec<NodeProblem>,
    settings: T,
) -> Result<T, Vec<CheckError>> {
    if problems.is_empty() {
        return Ok(settings);
    }
    let locator = Locator::new(text);
    Err(problems.into_iter().map(|it| locator.locate(it)).collect())
}

fn check_peers(problems: &mut Vec<NodeProblem>, key: &'static str, peers: &[Peer]) {
    let mut hosts: BTreeSet<HostId> = BTreeSet::new();
    for (i, peer) in peers.iter().enumerate() {
        if !hosts.insert(peer.host) {
            let path = NodePath::of(key).index(i).key("host");
            problems.push(path.problem(CheckProblem::DuplicateHost(peer.host)));
        }
    }
}

fn check_addresses(problems: &mut Vec<NodeProblem>, addresses: &[std::net::SocketAddr]) {
    // Port 0 lets the operating system choose a free port, so such addresses may be equal.
    let fixed: Vec<_> = addresses.iter().filter(|it| it.port() != 0).collect();
    let unique: BTreeSet<_> = fixed.iter().collect();
    if unique.len() < fixed.len() {
        let path = NodePath::of("admin_address");
        problems.push(path.problem(CheckProblem::SameAddress("caller, peer and admin")));
    }
}

fn check_range(
    problems: &mut Vec<NodeProblem>,
    name: &'static str,
    value: u64,
    min: u64,
    max: u64,
) {
    if (min..=max).contains(&value) {
        return;
    }
    problems.push(NodePath::of(name).problem(CheckProblem::OutOfRange { name, value, min, max }));
}
