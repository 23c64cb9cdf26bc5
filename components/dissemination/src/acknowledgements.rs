//! Which host has which version in force, gathered by relays for control.

use std::collections::{BTreeMap, BTreeSet};

use ids::{ConfigVersion, HostId, Timestamp};
use schema::dissemination::VersionGroup;

/// The versions in force as reported to this host.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    pub(crate) versions: BTreeMap<HostId, ConfigVersion>,
    unsent: BTreeSet<HostId>,
    pub(crate) sent_at: Timestamp,
    pub(crate) repeated_at: Timestamp,
}

impl Acknowledgements {
    pub(crate) fn note(&mut self, host: HostId, version: ConfigVersion) {
        if self.versions.insert(host, version) != Some(version) {
            self.unsent.insert(host);
        }
    }

    pub(crate) fn note_groups(&mut self, groups: Vec<VersionGroup>) {
        for group in groups {
            for host in group.hosts {
                self.note(host, group.version);
            }
        }
    }

    /// The reports not yet passed on, grouped by version.
    pub(crate) fn take_unsent(&mut self) -> Vec<VersionGroup> {
        let mut groups = BTreeMap::<ConfigVersion, Vec<HostId>>::new();
        for host in std::mem::take(&mut self.unsent) {
            if let Some(version) = self.versions.get(&host) {
                groups.entry(*version).or_default().push(host);
            }
        }
        groups.into_iter().map(|(version, hosts)| VersionGroup { version, hosts }).collect()
    }

    /// Marks all reports on hosts in `hosts` as not yet passed on.
    pub(crate) fn repeat(&mut self, hosts: impl Iterator<Item = HostId>) {
        let known = hosts.filter(|it| self.versions.contains_key(it));
        self.unsent.extend(known);
    }
}
