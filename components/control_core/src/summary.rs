//! Summarises the changes of a configuration for the audit trail.

use std::collections::BTreeMap;

use schema::config_text::ConfigText;

/// Returns the changes between two configurations, such as `services +a ~b -c; routes changed`.
pub(crate) fn summarize(before: Option<&ConfigText>, after: &ConfigText) -> String {
    let Some(before) = before else {
        return format!(
            "first text: {} services, {} routes, {} organisations",
            after.services.len(),
            after.routes.len(),
            after.organisations.len()
        );
    };
    let services = named_changes(
        "services",
        before.services.iter().map(|it| (it.name.to_string(), it)),
        after.services.iter().map(|it| (it.name.to_string(), it)),
    );
    let organisations = named_changes(
        "organisations",
        before.organisations.iter().map(|it| (it.name.to_string(), it)),
        after.organisations.iter().map(|it| (it.name.to_string(), it)),
    );
    let mut parts: Vec<String> = services.into_iter().chain(organisations).collect();
    let others = [
        ("regions", before.regions != after.regions),
        ("routes", before.routes != after.routes),
        ("default organisation", before.default_organisation != after.default_organisation),
    ];
    parts.extend(others.iter().filter(|it| it.1).map(|it| format!("{} changed", it.0)));
    if parts.is_empty() {
        return "nothing but the version".to_owned();
    }
    parts.join("; ")
}

/// Lists the items that were added (`+`), changed (`~`) and removed (`-`), by name.
fn named_changes<'a, T: PartialEq + 'a>(
    kind: &str,
    before: impl Iterator<Item = (String, &'a T)>,
    after: impl Iterator<Item = (String, &'a T)>,
) -> Option<String> {
    let before: BTreeMap<String, &T> = before.collect();
    let after: BTreeMap<String, &T> = after.collect();
    let mut changes: Vec<String> = Vec::new();
    for (name, item) in &after {
        match before.get(name) {
            None => changes.push(format!("+{name}")),
            Some(previous) if previous != item => changes.push(format!("~{name}")),
            Some(_) => {}
        }
    }
    let removed = before.keys().filter(|it| !after.contains_key(*it));
    changes.extend(removed.map(|name| format!("-{name}")));
    if changes.is_empty() {
        return None;
    }
    Some(format!("{kind} {}", changes.join(" ")))
}
