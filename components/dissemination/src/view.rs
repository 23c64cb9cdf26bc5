//! The part of the fleet membership that dissemination uses.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DataCentreName, HostId};
use membership::{MemberRole, MemberState, Membership};

/// The live hosts of the fleet, by role, and the links of this host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Hosts that this one exchanges changes with: neighbours in its data centre, and relays of
    /// other data centres.
    pub links: Vec<HostId>,
    /// The relay of this host's data centre.
    pub relay: Option<HostId>,
    /// The live control hosts.
    pub control_hosts: Vec<HostId>,
    /// The live entry hosts of each data centre.
    pub entry_hosts: BTreeMap<DataCentreName, Vec<HostId>>,
}

impl View {
    /// Returns the data centres whose entry hosts differ from those in `other`.
    pub(crate) fn changed_data_centres(&self, other: &Self) -> BTreeSet<DataCentreName> {
        let names = self.entry_hosts.keys().chain(other.entry_hosts.keys());
        names
            .filter(|it| self.entry_hosts.get(*it) != other.entry_hosts.get(*it))
            .cloned()
            .collect()
    }

    /// Returns whether `host` is a link, a control host or an entry host of this view.
    pub(crate) fn is_live(&self, host: HostId) -> bool {
        self.links.contains(&host)
            || self.control_hosts.contains(&host)
            || self.entry_hosts.values().any(|it| it.contains(&host))
    }

    /// Builds the view from a host's membership; it changes only with the membership's generation.
    pub fn from_membership(membership: &Membership) -> Self {
        let own = membership.own_record();
        let links = membership.neighbours().iter().chain(membership.remote_links());
        let mut links = links.copied().collect::<Vec<_>>();
        links.sort_unstable();
        links.dedup();
        let mut view = Self {
            links,
            relay: membership.relay(&own.data_centre),
            control_hosts: Vec::new(),
            entry_hosts: BTreeMap::new(),
        };
        for member in membership.members() {
            let live = matches!(
                member.state,
                MemberState::Joining | MemberState::Serving | MemberState::Draining
            );
            if !live {
                continue;
            }
            match member.role {
                MemberRole::Control => view.control_hosts.push(member.host),
                MemberRole::Entry(_) => {
                    view.entry_hosts
                        .entry(member.data_centre.clone())
                        .or_default()
                        .push(member.host);
                }
            }
        }
        view
    }
}
