//! The rules that a configuration text must keep.

mod dependencies;
mod routes;
mod services;

use std::collections::BTreeSet;

use schema::config_text::{ConfigText, OrganisationLimit};

use crate::error::{CheckProblem, Found, NodePath};

/// Returns every problem of `text`, in the order of the text.
pub(crate) fn check(text: &ConfigText) -> Vec<Found> {
    let mut found = Vec::new();
    if text.version.0 == 0 {
        found.push(NodePath::of("version").found(CheckProblem::Zero("version")));
    }
    check_regions(&mut found, text);
    services::check(&mut found, text);
    dependencies::check(&mut found, text);
    routes::check(&mut found, text);
    check_organisations(&mut found, text);
    found
}

fn check_regions(found: &mut Vec<Found>, text: &ConfigText) {
    let root = NodePath::of("regions");
    if text.regions.is_empty() {
        found.push(root.clone().found(CheckProblem::EmptyList("regions")));
    }
    let mut regions = BTreeSet::new();
    let mut data_centres = BTreeSet::new();
    for (i, region) in text.regions.iter().enumerate() {
        let path = root.index(i);
        if !regions.insert(&region.name) {
            let problem = CheckProblem::DuplicateRegion(region.name.clone());
            found.push(path.key("name").found(problem));
        }
        if region.data_centres.is_empty() {
            found.push(path.clone().found(CheckProblem::EmptyList("data_centres")));
        }
        for (j, data_centre) in region.data_centres.iter().enumerate() {
            if !data_centres.insert(data_centre) {
                let problem = CheckProblem::DuplicateDataCentre(data_centre.clone());
                found.push(path.key("data_centres").index(j).found(problem));
            }
        }
    }
}

fn check_organisations(found: &mut Vec<Found>, text: &ConfigText) {
    let root = NodePath::of("organisations");
    let mut names = BTreeSet::new();
    for (i, organisation) in text.organisations.iter().enumerate() {
        let path = root.index(i);
        if !names.insert(&organisation.name) {
            let problem = CheckProblem::DuplicateOrganisation(organisation.name.clone());
            found.push(path.key("name").found(problem));
        }
        check_limit(found, path.key("limit"), &organisation.limit);
    }
    check_limit(found, NodePath::of("default_organisation"), &text.default_organisation);
}

fn check_limit(found: &mut Vec<Found>, path: NodePath, limit: &OrganisationLimit) {
    if limit.requests_per_second.0 == 0 {
        let problem = CheckProblem::Zero("requests_per_second");
        found.push(path.key("requests_per_second").found(problem));
    }
    if limit.burst == 0 {
        found.push(path.key("burst").found(CheckProblem::Zero("burst")));
    }
}
