//! The other hosts, as far as dissemination needs to know them.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DataCentreName, HostId};
use membership::{MemberRole, MemberState, Membership};

/// The other live hosts and the paths to them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Hosts that this one exchanges changes with: neighbours and relays.
    pub links: Vec<HostId>,
    /// The relay of this host's data centre.
    pub relay: Option<HostId>,
    /// The live control hosts.
    pub control: Vec<HostId>,
    /// The live entry hosts of each data centre.
    pub entry: BTreeMap<DataCentreName, Vec<HostId>>,
}

impl View {
    /// The data centres whose entry hosts differ from those in `other`.
    pub(crate) fn changed_data_centres(&self, other: &Self) -> BTreeSet<DataCentreName> {
        let names = self.entry.keys().chain(other.entry.keys());
        names.filter(|it| self.entry.get(*it) != other.entry.get(*it)).cloned().collect()
    }

    /// Whether the host is live.
    pub(crate) fn is_live(&self, host: HostId) -> bool {
        self.links.contains(&host)
            || self.control.contains(&host)
            || self.entry.values().any(|it| it.contains(&host))
    }

    /// The view that a host's membership gives; changes only with its generation.
    pub fn of(membership: &Membership) -> Self {
        let own = membership.own_record();
        let links = membership.neighbours().iter().chain(membership.remote_links());
        let mut links = links.copied().collect::<Vec<_>>();
        links.sort_unstable();
        links.dedup();
        let mut view = Self {
            links,
            relay: membership.relay(&own.data_centre),
            control: Vec::new(),
            entry: BTreeMap::new(),
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
                MemberRole::Control => view.control.push(member.host),
                MemberRole::Entry(_) => {
                    view.entry.entry(member.data_centre.clone()).or_default().push(member.host);
                }
            }
        }
        view
    }
}
