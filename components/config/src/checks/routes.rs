//! Validation rules for routes.

use std::collections::BTreeSet;

use ids::ServiceName;
use schema::config_text::ConfigText;

use crate::{
    checks::dependencies::join_names,
    error::{CheckProblem, NodePath, NodeProblem},
};

/// Paths that entry hosts handle themselves, so that a route to them would never be used.
const RESERVED_PATHS: [&str; 2] = ["/directory", "/announce"];

pub(crate) fn check(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let root = NodePath::of("routes");
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    let mut seen = BTreeSet::new();
    for (i, route) in text.routes.iter().enumerate() {
        let path = root.index(i);
        if !known.contains(&route.service) {
            let problem = CheckProblem::UnknownService(route.service.clone(), join_names(&known));
            problems.push(path.key("service").with_problem(problem));
        }
        if !is_valid_path(&route.path) {
            problems.push(path.key("path").with_problem(CheckProblem::BadPath(route.path.clone())));
        }
        if RESERVED_PATHS.contains(&route.path.trim_end_matches('/')) {
            problems.push(
                path.key("path").with_problem(CheckProblem::ReservedPath(route.path.clone())),
            );
        }
        if !is_valid_host(&route.host) {
            problems.push(path.key("host").with_problem(CheckProblem::BadHost(route.host.clone())));
        }
        let key = (route.host.to_ascii_lowercase(), route.path.trim_end_matches('/').to_owned());
        if !seen.insert(key) {
            let problem = CheckProblem::DuplicateRoute(route.host.clone(), route.path.clone());
            problems.push(path.with_problem(problem));
        }
    }
    check_reachable(problems, text);
}

/// Reports services that no route leads to.
fn check_reachable(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let routed: BTreeSet<&ServiceName> = text.routes.iter().map(|it| &it.service).collect();
    for (i, service) in text.services.iter().enumerate() {
        if !routed.contains(&service.name) {
            let path = NodePath::of("services").index(i).key("name");
            problems
                .push(path.with_problem(CheckProblem::ServiceWithoutRoute(service.name.clone())));
        }
    }
}

/// Returns whether `path` is an absolute path of visible ASCII characters without a query, a
/// fragment, double slashes or dot segments.
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
