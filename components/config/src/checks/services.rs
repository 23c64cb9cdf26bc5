//! Rules for services.

use std::collections::BTreeSet;

use schema::config_text::{ConfigText, Service};

use crate::{
    checks::routes::is_path,
    error::{CheckProblem, Found, NodePath},
};

/// Shortest deadline of a request, in milliseconds.
const MIN_DEADLINE_MILLIS: u64 = 10;

/// Longest deadline of a request, in milliseconds: one day.
const MAX_DEADLINE_MILLIS: u64 = 24 * 60 * 60 * 1000;

/// Largest body of a request or response, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The highest priority.
const MAX_PRIORITY: u32 = 9;

pub(crate) fn check(found: &mut Vec<Found>, text: &ConfigText) {
    let root = NodePath::of("services");
    if text.services.is_empty() {
        found.push(root.clone().found(CheckProblem::EmptyList("services")));
    }
    let mut names = BTreeSet::new();
    for (i, service) in text.services.iter().enumerate() {
        let path = root.index(i);
        if !names.insert(&service.name) {
            let problem = CheckProblem::DuplicateService(service.name.clone());
            found.push(path.key("name").found(problem));
        }
        check_ranges(found, &path, service);
        check_capacity(found, &path, service);
        if !is_path(&service.probe_path) {
            let problem = CheckProblem::BadPath(service.probe_path.clone());
            found.push(path.key("probe_path").found(problem));
        }
    }
}

fn check_ranges(found: &mut Vec<Found>, path: &NodePath, service: &Service) {
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
            found.push(path.key(name).found(problem));
        }
    }
}

fn check_capacity(found: &mut Vec<Found>, path: &NodePath, service: &Service) {
    let connections = service.connections_per_server;
    let slots = service.slots_per_server;
    if connections < slots {
        let problem = CheckProblem::FewerConnectionsThanSlots { connections, slots };
        found.push(path.key("connections_per_server").found(problem));
    }
    let (floor, servers) = (service.floor, service.servers);
    if servers > 0 && floor > servers {
        let problem = CheckProblem::FloorAboveServers { floor, servers };
        found.push(path.key("floor").found(problem));
    }
}
