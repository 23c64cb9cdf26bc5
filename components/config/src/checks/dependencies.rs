//! Rules for the dependencies of services.

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
                problems.push(path.problem(problem));
            }
        }
    }
    check_cycles(problems, text);
}

/// Joins names with commas, for an error message.
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
    problems.push(path.problem(CheckProblem::DependencyCycle(cycle)));
}

/// Returns the services that are in a cycle or depend on one, each with one such dependency.
///
/// Removes services whose dependencies are all removed until there is none left (Kahn's algorithm);
/// what remains is blocked by a cycle.
fn blocked_services(text: &ConfigText) -> BTreeMap<&ServiceName, &ServiceName> {
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    let mut dependents: BTreeMap<&ServiceName, Vec<&ServiceName>> = BTreeMap::new();
    let mut remaining: BTreeMap<&ServiceName, BTreeSet<&ServiceName>> = BTreeMap::new();
    for service in &text.services {
        let unresolved: BTreeSet<_> =
            service.depends_on.iter().filter(|it| known.contains(it)).collect();
        unresolved.iter().for_each(|it| dependents.entry(it).or_default().push(&service.name));
        remaining.insert(&service.name, unresolved);
    }
    let mut ready: Vec<_> = remaining.iter().filter(|it| it.1.is_empty()).map(|it| *it.0).collect();
    while let Some(service) = ready.pop() {
        remaining.remove(service);
        for dependent in dependents.remove(service).unwrap_or_default() {
            let Some(unresolved) = remaining.get_mut(dependent) else { continue };
            unresolved.remove(service);
            if unresolved.is_empty() {
                ready.push(dependent);
            }
        }
    }
    remaining
        .into_iter()
        .filter_map(|(name, unresolved)| Some((name, *unresolved.first()?)))
        .collect()
}

/// Follows the dependencies of blocked services until one repeats; returns that cycle as text.
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
