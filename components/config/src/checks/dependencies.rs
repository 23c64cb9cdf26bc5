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

/// Reports the first circle, found by a depth-first walk.
fn check_cycles(found: &mut Vec<Found>, text: &ConfigText) {
    let mut walk = Walk {
        edges: text.services.iter().map(|it| (&it.name, it.depends_on.as_slice())).collect(),
        done: BTreeSet::new(),
        chain: Vec::new(),
    };
    for (i, service) in text.services.iter().enumerate() {
        if let Some(cycle) = walk.visit(&service.name) {
            let path = NodePath::of("services").index(i).key("depends_on");
            found.push(path.found(CheckProblem::DependencyCycle(cycle)));
            return;
        }
    }
}

struct Walk<'a> {
    edges: BTreeMap<&'a ServiceName, &'a [ServiceName]>,
    done: BTreeSet<&'a ServiceName>,
    chain: Vec<&'a ServiceName>,
}

impl<'a> Walk<'a> {
    fn visit(&mut self, name: &'a ServiceName) -> Option<String> {
        if self.done.contains(name) {
            return None;
        }
        if let Some(start) = self.chain.iter().position(|it| *it == name) {
            let names = self.chain[start..].iter().chain([&name]);
            return Some(names.map(|it| it.as_str()).collect::<Vec<_>>().join(" -> "));
        }
        self.chain.push(name);
        let edges = self.edges.get(name).copied().unwrap_or_default();
        let cycle = edges.iter().find_map(|it| self.visit(it));
        self.chain.pop();
        self.done.insert(name);
        cycle
    }
}
