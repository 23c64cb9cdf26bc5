//! Rules for what services depend on.

use std::collections::{BTreeMap, BTreeSet};

use ids::ServiceName;
use schema::config_text::ConfigText;

use crate::error::{CheckProblem, Found, NodePath};

pub(crate) fn check(found: &mut Vec<Found>, text: &ConfigText) {
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    for (i, service) in text.services.iter().enumerate() {
        for (j, dependency) in service.depends_on.iter().enumerate() {
            if !known.contains(dependency) {
                let path = NodePath::of("services").index(i).key("depends_on").index(j);
                let problem = CheckProblem::UnknownService(dependency.clone(), list(&known));
                found.push(path.found(problem));
            }
        }
    }
    check_cycles(found, text);
}

/// Lists names for an error message.
pub(crate) fn list(names: &BTreeSet<&ServiceName>) -> String {
    names.iter().map(|it| it.as_str()).collect::<Vec<_>>().join(", ")
}

/// Reports the first circle.
fn check_cycles(found: &mut Vec<Found>, text: &ConfigText) {
    let blocked = blocked_services(text);
    let Some(first) = text.services.iter().position(|it| blocked.contains_key(&it.name)) else {
        return;
    };
    let cycle = follow_to_cycle(&text.services[first].name, &blocked);
    let path = NodePath::of("services").index(first).key("depends_on");
    found.push(path.found(CheckProblem::DependencyCycle(cycle)));
}

/// The services that are in a circle or depend on one, each with the first such dependency.
///
/// Services are taken away as long as there is one without dependencies left; what remains is
/// blocked by a circle.
fn blocked_services(text: &ConfigText) -> BTreeMap<&ServiceName, &ServiceName> {
    let known: BTreeSet<&ServiceName> = text.services.iter().map(|it| &it.name).collect();
    let mut dependants: BTreeMap<&ServiceName, Vec<&ServiceName>> = BTreeMap::new();
    let mut open: BTreeMap<&ServiceName, BTreeSet<&ServiceName>> = BTreeMap::new();
    for service in &text.services {
        let needed: BTreeSet<_> =
            service.depends_on.iter().filter(|it| known.contains(it)).collect();
        needed.iter().for_each(|it| dependants.entry(it).or_default().push(&service.name));
        open.insert(&service.name, needed);
    }
    let mut free: Vec<_> = open.iter().filter(|it| it.1.is_empty()).map(|it| *it.0).collect();
    while let Some(service) = free.pop() {
        open.remove(service);
        for dependant in dependants.remove(service).unwrap_or_default() {
            let Some(needed) = open.get_mut(dependant) else { continue };
            needed.remove(service);
            if needed.is_empty() {
                free.push(dependant);
            }
        }
    }
    open.into_iter().filter_map(|(name, needed)| Some((name, *needed.first()?))).collect()
}

/// Follows blocked dependencies until one comes again, and names that circle.
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
