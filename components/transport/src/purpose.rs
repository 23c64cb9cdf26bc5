//! What messages between hosts are for, to tell what their bytes are spent on.

use schema::{
    peer::PeerMessage,
    sync::{HostsUpdate, RegistryUpdate, SyncMessage},
};

/// What a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The replicated log.
    Replication,
    /// Polls of the registry.
    Polls,
    /// Changes of the configuration or the backend servers, also together with entry hosts.
    Registry,
    /// Changes of the list of entry hosts.
    EntryHosts,
    /// Answers to polls without changes.
    Unchanged,
    /// Load reports on backend servers.
    LoadReports,
    /// Retry budgets.
    RetryBudgets,
    /// Limits that backend servers name.
    ServerLimits,
    /// Rates of organisations.
    OrganisationRates,
    /// Requests that crash backend servers.
    Quarantine,
    /// Everything else.
    Other,
}

impl Purpose {
    /// All purposes, in the order of their declaration.
    pub const ALL: [Self; 11] = [
        Self::Replication,
        Self::Polls,
        Self::Registry,
        Self::EntryHosts,
        Self::Unchanged,
        Self::LoadReports,
        Self::RetryBudgets,
        Self::ServerLimits,
        Self::OrganisationRates,
        Self::Quarantine,
        Self::Other,
    ];

    /// Returns the purpose of a message.
    pub(crate) fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Consensus(_) => Self::Replication,
            PeerMessage::Sync(SyncMessage::Poll(_)) => Self::Polls,
            PeerMessage::Sync(SyncMessage::Update(it)) => match (&it.registry, &it.hosts) {
                (RegistryUpdate::Changed(_), _) => Self::Registry,
                (RegistryUpdate::Unchanged, HostsUpdate::Changed(_)) => Self::EntryHosts,
                (RegistryUpdate::Unchanged, HostsUpdate::Unchanged) => Self::Unchanged,
            },
            PeerMessage::Sync(SyncMessage::EntryHosts(_) | SyncMessage::EntryHostsWanted) => {
                Self::EntryHosts
            }
            PeerMessage::Sync(SyncMessage::UpdateBegins(_)) => Self::Registry,
            PeerMessage::ServerLoad(_) | PeerMessage::ServerWork(_) => Self::LoadReports,
            PeerMessage::RetryBudget(_) => Self::RetryBudgets,
            PeerMessage::ServerLimit(_) => Self::ServerLimits,
            PeerMessage::OrganisationRate(_) => Self::OrganisationRates,
            PeerMessage::Quarantine(_) => Self::Quarantine,
            PeerMessage::Membership(_)
            | PeerMessage::Dissemination(_)
            | PeerMessage::Claims(_)
            | PeerMessage::Health(_)
            | PeerMessage::Limits(_)
            | PeerMessage::ClaimReport(_) => Self::Other,
        }
    }

    /// Returns its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replication => "replication",
            Self::Polls => "polls",
            Self::Registry => "registry",
            Self::EntryHosts => "entry-hosts",
            Self::Unchanged => "unchanged",
            Self::LoadReports => "load-reports",
            Self::RetryBudgets => "retry-budgets",
            Self::ServerLimits => "server-limits",
            Self::OrganisationRates => "organisation-rates",
            Self::Quarantine => "quarantine",
            Self::Other => "other",
        }
    }
}
