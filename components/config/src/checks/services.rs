//! Rules for services.

use std::collections::BTreeSet;

use schema::config_text::{ConfigText, Service};

use crate::{
    checks::routes::is_valid_path,
    error::{CheckProblem, NodePath, NodeProblem},
};

/// Minimum deadline of a request, in milliseconds.
const MIN_DEADLINE_MILLIS: u64 = 10;

/// Maximum deadline of a request, in milliseconds: one day.
const MAX_DEADLINE_MILLIS: u64 = 24 * 60 * 60 * 1000;

/// Maximum size of a request or response body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Highest priority of a service; 0 is the lowest.
const MAX_PRIORITY: u32 = 9;

pub(crate) fn check(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let root = NodePath::of("services");
    if text.services.is_empty() {
        problems.push(root.clone().problem(CheckProblem::EmptyList("services")));
    }
    let mut names = BTreeSet::new();
    for (i, service) in text.services.iter().enumerate() {
        let path = root.index(i);
        if !names.insert(&service.name) {
            let problem = CheckProblem::DuplicateService(service.name.clone());
            problems.push(path.key("name").problem(problem));
        }
        check_ranges(problems, &path, service);
        check_consistency(problems, &path, service);
        if !is_valid_path(&service.probe_path) {
            let problem = CheckProblem::BadPath(service.probe_path.clone());
            problems.push(path.key("probe_path").problem(problem));
        }
    }
}

fn check_ranges(problems: &mut Vec<NodeProblem>, path: &NodePath, service: &Service) {
    let ranges = [
        ("deadline_ms", service.deadline_ms.0, MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS),
        ("max_request_bytes", service.max_request_bytes.0, 1, MAX_BODY_BYTES),
        ("max_response_bytes", service.max_response_bytes.0, 1, MAX_BODY_BYTES),
        ("priority", service.priority.into(), 0, MAX_PRIORITY.into()),
        ("floor", service.floor.into(), 1, u32::MAX.into()),
        ("slots_per_server", service.slots_per_server.into(), 1, u32::MAX.into()),
        ("connections_per_server", service.connections_per_server.into(), 1, u32::MAX.into()),
    ];
    for (name, value, min, max) in ranges {
        if !(min..=max).contains(&value) {
            let problem = CheckProblem::OutOfRange { name, value, min, max };
            problems.push(path.key(name).problem(problem));
        }
    }
}

fn check_consistency(problems: &mut Vec<NodeProblem>, path: &NodePath, service: &Service) {
    let connections = service.connections_per_server;
    let slots = service.slots_per_server;
    if connections < slots {
        let problem = CheckProblem::FewerConnectionsThanSlots { connections, slots };
        problems.push(path.key("connections_per_server").problem(problem));
    }
    let (floor, servers) = (service.floor, service.servers);
    if servers > 0 && floor > servers {
        let problem = CheckProblem::FloorAboveServers { floor, servers };
        problems.push(path.key("floor").problem(problem));
    }
}
