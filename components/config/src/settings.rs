//! Parses and validates the settings of entry hosts, control hosts, gateways and the registry.

use std::collections::BTreeSet;

use ids::{DescriptorCount, HostId, Megabytes, Seconds};
use schema::{
    gateway_settings::{GatewaySettings, RegistrySettings},
    settings::{ControlSettings, EntrySettings, Peer},
};

use crate::{
    error::{CheckError, CheckProblem, NodePath, NodeProblem},
    location::Locator,
    yaml,
};

/// Minimum memory budget for request and response bodies, in bytes.
const MIN_MEMORY_BUDGET_BYTES: u64 = 1024 * 1024;

/// Maximum duration of a graceful shutdown, in milliseconds.
const MAX_SHUTDOWN_MILLIS: u64 = 10 * 60 * 1000;

/// Parses and validates the settings of an entry host.
pub fn parse_entry_settings(text: &str) -> Result<EntrySettings, Vec<CheckError>> {
    let settings: EntrySettings = yaml::parse(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_peers(&mut problems, "control_hosts", &settings.control_hosts);
    check_peers(&mut problems, "seeds", &settings.seeds);
    if settings.control_hosts.is_empty() {
        let path = NodePath::of("control_hosts");
        problems.push(path.with_problem(CheckProblem::EmptyList("control_hosts")));
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
    check_range(&mut problems, "drain_ms", settings.drain_ms.0, 0, MAX_SHUTDOWN_MILLIS);
    finish(text, problems, settings)
}

/// Parses and validates the settings of a control host.
pub fn parse_control_settings(text: &str) -> Result<ControlSettings, Vec<CheckError>> {
    let settings: ControlSettings = yaml::parse(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_peers(&mut problems, "voters", &settings.voters);
    check_peers(&mut problems, "seeds", &settings.seeds);
    check_addresses(&mut problems, &[settings.peer_address, settings.admin_address]);
    finish(text, problems, settings)
}

/// Maximum time to live of a gateway's directory answers, in milliseconds.
const MAX_DIRECTORY_TTL_MILLIS: u64 = 60_000;

/// Minimum time until a withdrawn key is out of use if that is strict, in milliseconds: what a gateway
/// knows is up to two polls old, each of which is held for a second.
const MIN_STRICT_WITHDRAWAL_MILLIS: u64 = 3_000;

/// Maximum time until a withdrawn key is out of use, in milliseconds: one day.
const MAX_WITHDRAWAL_MILLIS: u64 = 86_400_000;

/// Range of a host's memory, in megabytes.
const MEMORY_RANGE: (u64, u64) = (32, 1_000_000);

/// Range of the open descriptors of a process.
const DESCRIPTOR_RANGE: (u64, u64) = (64, 1_000_000);

/// Maximum time without progress after which a client is cut off, in milliseconds.
const MAX_STALL_MILLIS: u64 = 3_600_000;

/// Parses and validates the settings of a gateway.
pub fn parse_gateway_settings(text: &str) -> Result<GatewaySettings, Vec<CheckError>> {
    let settings: GatewaySettings = yaml::parse(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_seeds(&mut problems, settings.seeds.is_empty());
    let addresses =
        [settings.caller_address, settings.readiness_address, settings.directory_address];
    check_addresses(&mut problems, &addresses);
    let shutdown_millis = settings.stop_within_s.0.0;
    check_range(&mut problems, "stop_within_s", shutdown_millis, 1, MAX_SHUTDOWN_MILLIS);
    let ttl_millis = settings.directory_keep_s.0.0;
    check_range(&mut problems, "directory_keep_s", ttl_millis, 1, MAX_DIRECTORY_TTL_MILLIS);
    if let Some(withdrawal) = &settings.key_withdrawal {
        let path = NodePath::of("key_withdrawal").key("within_ms");
        let min = if withdrawal.strict { MIN_STRICT_WITHDRAWAL_MILLIS } else { 1 };
        let range = (min, MAX_WITHDRAWAL_MILLIS);
        check_range_at(&mut problems, path, "within_ms", withdrawal.within_ms.0, range);
    }
    check_clients(
        &mut problems,
        settings.memory_mb,
        settings.max_descriptors,
        settings.client_stall_s,
    );
    finish(text, problems, settings)
}

/// Parses and validates the settings of a control host of the registry.
pub fn parse_registry_settings(text: &str) -> Result<RegistrySettings, Vec<CheckError>> {
    let settings: RegistrySettings = yaml::parse(text).map_err(|e| vec![e])?;
    let mut problems = Vec::new();
    check_seeds(&mut problems, settings.seeds.is_empty());
    check_clients(
        &mut problems,
        settings.memory_mb,
        settings.max_descriptors,
        settings.client_stall_s,
    );
    finish(text, problems, settings)
}

fn check_clients(
    problems: &mut Vec<NodeProblem>,
    memory: Option<Megabytes>,
    descriptors: Option<DescriptorCount>,
    stall_time: Option<Seconds>,
) {
    if let Some(memory) = memory {
        let (min, max) = MEMORY_RANGE;
        check_range(problems, "memory_mb", memory.0.into(), min, max);
    }
    if let Some(descriptors) = descriptors {
        let (min, max) = DESCRIPTOR_RANGE;
        check_range(problems, "max_descriptors", descriptors.0.into(), min, max);
    }
    if let Some(stall_time) = stall_time {
        check_range(problems, "client_stall_s", stall_time.0.0, 1, MAX_STALL_MILLIS);
    }
}

fn check_seeds(problems: &mut Vec<NodeProblem>, is_empty: bool) {
    if is_empty {
        problems.push(NodePath::of("seeds").with_problem(CheckProblem::EmptyList("seeds")));
    }
}

/// Returns the settings, or the problems with their positions.
fn finish<T>(text: &str, problems: Vec<NodeProblem>, settings: T) -> Result<T, Vec<CheckError>> {
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
            problems.push(path.with_problem(CheckProblem::DuplicateHost(peer.host)));
        }
    }
}

/// Reports equal addresses; port 0 is exempt because the system replaces it by a free port.
fn check_addresses(problems: &mut Vec<NodeProblem>, addresses: &[std::net::SocketAddr]) {
    let fixed: Vec<_> = addresses.iter().filter(|it| it.port() != 0).collect();
    let distinct: BTreeSet<_> = fixed.iter().collect();
    if distinct.len() < fixed.len() {
        let path = NodePath::of("admin_address");
        problems.push(path.with_problem(CheckProblem::SameAddress("caller, peer and admin")));
    }
}

fn check_range(
    problems: &mut Vec<NodeProblem>,
    name: &'static str,
    value: u64,
    min: u64,
    max: u64,
) {
    check_range_at(problems, NodePath::of(name), name, value, (min, max));
}

fn check_range_at(
    problems: &mut Vec<NodeProblem>,
    path: NodePath,
    name: &'static str,
    value: u64,
    (min, max): (u64, u64),
) {
    if (min..=max).contains(&value) {
        return;
    }
    problems.push(path.with_problem(CheckProblem::OutOfRange { name, value, min, max }));
}
