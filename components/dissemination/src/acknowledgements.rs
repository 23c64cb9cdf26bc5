//! Collects acknowledgements: the version that each host has in force.
//!
//! Relays collect those of their data centre and forward them to the control hosts.

use std::collections::{BTreeMap, BTreeSet};

use ids::{ConfigVersion, HostId, Timestamp};
use schema::dissemination::VersionGroup;

/// The latest acknowledgement of each host, and which of them are not yet forwarded.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    pub(crate) versions: BTreeMap<HostId, ConfigVersion>,
    unsent: BTreeSet<HostId>,
    pub(crate) sent_at: Timestamp,
    pub(crate) repeated_at: Timestamp,
}

impl Acknowledgements {
    /// Records an acknowledgement; a version that differs from the last one is to be forwarded.
    pub(crate) fn record(&mut self, host: HostId, version: ConfigVersion) {
        if self.versions.insert(host, version) != Some(version) {
            self.unsent.insert(host);
        }
    }

    pub(crate) fn record_groups(&mut self, groups: Vec<VersionGroup>) {
        for group in groups {
            for host in group.hosts {
                self.record(host, group.version);
            }
        }
    }

    /// Takes the acknowledgements not yet forwarded, grouped by version.
    pub(crate) fn take_unsent(&mut self) -> Vec<VersionGroup> {
        let mut groups = BTreeMap::<ConfigVersion, Vec<HostId>>::new();
        for host in std::mem::take(&mut self.unsent) {
            if let Some(version) = self.versions.get(&host) {
                groups.entry(*version).or_default().push(host);
            }
        }
        groups.into_iter().map(|(version, hosts)| VersionGroup { version, hosts }).collect()
    }

    /// Marks the acknowledgements of `hosts` as not yet forwarded.
    pub(crate) fn mark_unsent(&mut self, hosts: impl Iterator<Item = HostId>) {
        let known = hosts.filter(|it| self.versions.contains_key(it));
        self.unsent.extend(known);
    }
}
