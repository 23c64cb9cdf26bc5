//! Rules for routes.

use std::collections::BTreeSet;

use ids::ServiceName;
use schema::config_text::ConfigText;

use crate::{
    checks::dependencies::join_names,
    error::{CheckProblem, NodePath, NodeProblem},
};

/// Paths that entry hosts answer themselves.
const RESERVED_PATHS: [&str; 2] = ["/directory", "/announce"];

pub(crate) fn check(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let root = NodePath::of("routes");
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    let mut seen = BTreeSet::new();
    for (i, route) in text.routes.iter().enumerate() {
        let path = root.index(i);
        if !known.contains(&route.service) {
            let problem = CheckProblem::UnknownService(route.service.clone(), join_names(&known));
            problems.push(path.key("service").problem(problem));
        }
        if !is_valid_path(&route.path) {
            problems.push(path.key("path").problem(CheckProblem::BadPath(route.path.clone())));
        }
        if RESERVED_PATHS.contains(&route.path.trim_end_matches('/')) {
            problems.push(path.key("path").problem(CheckProblem::ReservedPath(route.path.clone())));
        }
        if !is_valid_host(&route.host) {
            problems.push(path.key("host").problem(CheckProblem::BadHost(route.host.clone())));
        }
        let key = (route.host.to_ascii_lowercase(), route.path.trim_end_matches('/').to_owned());
        if !seen.insert(key) {
            let problem = CheckProblem::DuplicateRoute(route.host.clone(), route.path.clone());
            problems.push(path.problem(problem));
        }
    }
    check_services_have_routes(problems, text);
}

fn check_services_have_routes(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let routed: BTreeSet<&ServiceName> = text.routes.iter().map(|it| &it.service).collect();
    for (i, service) in text.services.iter().enumerate() {
        if !routed.contains(&service.name) {
            let path = NodePath::of("services").index(i).key("name");
            problems.push(path.problem(CheckProblem::ServiceWithoutRoute(service.name.clone())));
        }
    }
}

/// Returns whether `path` is absolute, has visible ASCII characters only, and contains no `//`, dot
/// segments, query or fragment.
pub(crate) fn is_valid_path(path: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    path.starts_with('/')
        && !path.contains("//")
        && path.chars().all(allowed)
        && !path.split('/').any(|it| it == "." || it == "..")
}

fn is_valid_host(host: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.');
    host == "*" || (!host.is_empty() && host.chars().all(allowed))
}
