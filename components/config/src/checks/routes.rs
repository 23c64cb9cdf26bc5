//! Rules for routes.

use std::collections::BTreeSet;

use ids::ServiceName;
use schema::config_text::ConfigText;

use crate::{
    checks::dependencies::list,
    error::{CheckProblem, Found, NodePath},
};

/// Paths that entry hosts answer themselves.
const RESERVED_PATHS: [&str; 2] = ["/directory", "/announce"];

pub(crate) fn check(found: &mut Vec<Found>, text: &ConfigText) {
    let root = NodePath::of("routes");
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    let mut seen = BTreeSet::new();
    for (i, route) in text.routes.iter().enumerate() {
        let path = root.index(i);
        if !known.contains(&route.service) {
            let problem = CheckProblem::UnknownService(route.service.clone(), list(&known));
            found.push(path.key("service").found(problem));
        }
        if !is_path(&route.path) {
            found.push(path.key("path").found(CheckProblem::BadPath(route.path.clone())));
        }
        if RESERVED_PATHS.contains(&route.path.trim_end_matches('/')) {
            found.push(path.key("path").found(CheckProblem::ReservedPath(route.path.clone())));
        }
        if !is_host(&route.host) {
            found.push(path.key("host").found(CheckProblem::BadHost(route.host.clone())));
        }
        let key = (route.host.to_ascii_lowercase(), route.path.trim_end_matches('/').to_owned());
        if !seen.insert(key) {
            let problem = CheckProblem::DuplicateRoute(route.host.clone(), route.path.clone());
            found.push(path.found(problem));
        }
    }
    check_reachable(found, text);
}

fn check_reachable(found: &mut Vec<Found>, text: &ConfigText) {
    let routed: BTreeSet<&ServiceName> = text.routes.iter().map(|it| &it.service).collect();
    for (i, service) in text.services.iter().enumerate() {
        if !routed.contains(&service.name) {
            let path = NodePath::of("services").index(i).key("name");
            found.push(path.found(CheckProblem::ServiceWithoutRoute(service.name.clone())));
        }
    }
}

/// Whether `path` is an absolute path without surprises.
pub(crate) fn is_path(path: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    path.starts_with('/')
        && !path.contains("//")
        && path.chars().all(allowed)
        && !path.split('/').any(|it| it == "." || it == "..")
}

fn is_host(host: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.');
    host == "*" || (!host.is_empty() && host.chars().all(allowed))
}
