//! The rules that a configuration text must satisfy.

mod dependencies;
mod routes;
mod services;

use std::collections::BTreeSet;

use schema::config_text::{ConfigText, OrganisationLimit};

use crate::error::{CheckProblem, NodePath, NodeProblem};

/// Returns the problems of `text`, in the order of the checks.
pub(crate) fn check(text: &ConfigText) -> Vec<NodeProblem> {
    let mut problems = Vec::new();
    if text.version.0 == 0 {
        problems.push(NodePath::of("version").problem(CheckProblem::Zero("version")));
    }
    check_regions(&mut problems, text);
    services::check(&mut problems, text);
    dependencies::check(&mut problems, text);
    routes::check(&mut problems, text);
    check_organisations(&mut problems, text);
    problems
}

fn check_regions(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let root = NodePath::of("regions");
    if text.regions.is_empty() {
        problems.push(root.clone().problem(CheckProblem::EmptyList("regions")));
    }
    let mut regions = BTreeSet::new();
    let mut data_centres = BTreeSet::new();
    for (i, region) in text.regions.iter().enumerate() {
        let path = root.index(i);
        if !regions.insert(&region.name) {
            let problem = CheckProblem::DuplicateRegion(region.name.clone());
            problems.push(path.key("name").problem(problem));
        }
        if region.data_centres.is_empty() {
            problems.push(path.clone().problem(CheckProblem::EmptyList("data_centres")));
        }
        for (j, data_centre) in region.data_centres.iter().enumerate() {
            if !data_centres.insert(data_centre) {
                let problem = CheckProblem::DuplicateDataCentre(data_centre.clone());
                problems.push(path.key("data_centres").index(j).problem(problem));
            }
        }
    }
}

fn check_organisations(problems: &mut Vec<NodeProblem>, text: &ConfigText) {
    let root = NodePath::of("organisations");
    let mut names = BTreeSet::new();
    for (i, organisation) in text.organisations.iter().enumerate() {
        let path = root.index(i);
        if !names.insert(&organisation.name) {
            let problem = CheckProblem::DuplicateOrganisation(organisation.name.clone());
            problems.push(path.key("name").problem(problem));
        }
        check_limit(problems, path.key("limit"), &organisation.limit);
    }
    check_limit(problems, NodePath::of("default_organisation"), &text.default_organisation);
}

fn check_limit(problems: &mut Vec<NodeProblem>, path: NodePath, limit: &OrganisationLimit) {
    if limit.requests_per_second.0 == 0 {
        let problem = CheckProblem::Zero("requests_per_second");
        problems.push(path.key("requests_per_second").problem(problem));
    }
    if limit.burst == 0 {
        problems.push(path.key("burst").problem(CheckProblem::Zero("burst")));
    }
}
