//! Validation rules for the dependencies of services.

use std::collections::{BTreeMap, BTreeSet};

use ids::ServiceName;
use schema::config_text::ConfigText;

use crate::error::{CheckProblem, NodePath, NodeProblem};

pub(crate) fn check(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    for (i, service) in text.services.iter().enumerate() {
        for (j, dependency) in service.depends_on.iter().enumerate() {
            if !known.contains(dependency) {
                let path = NodePath::of("services").index(i).key("depends_on").index(j);
                let problem = CheckProblem::UnknownService(dependency.clone(), join_names(&known));
                problems.push(path.with_problem(problem));
            }
        }
    }
    check_cycles(problems, text);
}

/// Joins names for an error message.
pub(crate) fn join_names(names: &BTreeSet<&ServiceName>) -> String {
    names.iter().map(|it| it.as_str()).collect::<Vec<_>>().join(", ")
}

/// Reports one dependency cycle, if there is any, at the first service that it blocks.
fn check_cycles(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let blocked = blocked_services(text);
    let Some(first) = text.services.iter().position(|it| blocked.contains_key(&it.name)) else {
        return;
    };
    let cycle = follow_to_cycle(&text.services[first].name, &blocked);
    let path = NodePath::of("services").index(first).key("depends_on");
    problems.push(path.with_problem(CheckProblem::DependencyCycle(cycle)));
}

/// Returns the services that are in a dependency cycle or depend on one, each with its first such
/// dependency.
///
/// Uses Kahn's algorithm: removes services without remaining dependencies until there are none
/// left. It is not recursive, because a text may have a dependency chain of tens of thousands of
/// services, on which recursion would overflow the stack.
fn blocked_services(text: &ConfigText) -> BTreeMap<&ServiceName, &ServiceName> {
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    let mut dependents: BTreeMap<&ServiceName, Vec<&ServiceName>> = BTreeMap::new();
    let mut remaining: BTreeMap<&ServiceName, BTreeSet<&ServiceName>> = BTreeMap::new();
    for service in &text.services {
        let dependencies: BTreeSet<_> =
            service.depends_on.iter().filter(|it| known.contains(it)).collect();
        dependencies.iter().for_each(|it| dependents.entry(it).or_default().push(&service.name));
        remaining.insert(&service.name, dependencies);
    }
    let mut ready: Vec<_> = remaining.iter().filter(|it| it.1.is_empty()).map(|it| *it.0).collect();
    while let Some(service) = ready.pop() {
        remaining.remove(service);
        for dependent in dependents.remove(service).unwrap_or_default() {
            let Some(dependencies) = remaining.get_mut(dependent) else { continue };
            dependencies.remove(service);
            if dependencies.is_empty() {
                ready.push(dependent);
            }
        }
    }
    remaining
        .into_iter()
        .filter_map(|(name, dependencies)| Some((name, *dependencies.first()?)))
        .collect()
}

/// Follows blocked dependencies until a service repeats, and returns that cycle as text.
fn follow_to_cycle(start: &ServiceName, blocked: &BTreeMap<&ServiceName, &ServiceName>) -> String {
    let mut chain = vec![start];
    let mut current = start;
    while let Some(next) = blocked.get(current) {
        if let Some(first) = chain.iter().position(|it| it == next) {
            let names = chain[first..].iter().chain([next]);
            return names.map(|it| it.as_str()).collect::<Vec<_>>().join(" -> ");
        }
        chain.push(next);
        current = next;
    }
    current.to_string()
}
