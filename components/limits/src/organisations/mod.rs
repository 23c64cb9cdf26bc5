//! Rate limits of organisations, enforced over the whole fleet.
//!
//! Each organisation has one coordinator among the entry hosts. Entry hosts that receive requests
//! of the organisation report their demand to the coordinator, which replies with a share of the
//! limit. Organisations without recent requests take no memory and cause no messages.

pub mod bucket;
mod shares;
mod usage;

use std::collections::BTreeMap;

use ids::{FastMap, HostId, Millis, OrganisationName, Timestamp};
use schema::{
    config_text::{Organisation, OrganisationLimit},
    limits::{LimitsMessage, OrganisationUsage, ShareGrant, UsageReport},
};

use self::{shares::ShareAllocator, usage::Usage};
use crate::rendezvous;

/// Longest time between two reports of the demand of an organisation with requests.
pub const REPORT_INTERVAL: Millis = Millis(1_000);

/// Maximum number of organisations reported in one tick; those with the highest demand come first.
const MAX_REPORTED_ORGANISATIONS: usize = 500;

/// Whether a request is within its organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limit.
    Admitted,
    /// The request is over the limit and did not run.
    Refused {
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
}

/// What the entry host must do to share limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitsAction {
    /// Send a message to another entry host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: LimitsMessage,
    },
}

/// The rate limits that this entry host applies, and those that it coordinates.
#[derive(Debug, Clone)]
pub struct OrganisationLimits {
    host: HostId,
    hosts: Vec<HostId>,
    default_limit: OrganisationLimit,
    limits: FastMap<OrganisationName, OrganisationLimit>,
    usage: BTreeMap<OrganisationName, Usage>,
    share_allocator: ShareAllocator,
}

impl OrganisationLimits {
    /// Returns the limits of the entry host `host`.
    ///
    /// `default_limit` applies to all organisations until the first configuration.
    pub fn new(host: HostId, default_limit: OrganisationLimit) -> Self {
        Self {
            host,
            hosts: vec![host],
            default_limit,
            limits: FastMap::default(),
            usage: BTreeMap::new(),
            share_allocator: ShareAllocator::default(),
        }
    }

    /// Applies a new configuration; token buckets stay filled to the same fraction.
    pub fn configure(
        &mut self,
        now: Timestamp,
        default_limit: &OrganisationLimit,
        organisations: &[Organisation],
    ) {
        self.default_limit = default_limit.clone();
        self.limits = organisations
            .iter()
            .map(|organisation| (organisation.name.clone(), organisation.limit.clone()))
            .collect();
        for (name, usage) in &mut self.usage {
            let limit = self.limits.get(name).unwrap_or(&self.default_limit);
            usage.set_limit(now, limit);
        }
    }

    /// Sets the live entry hosts; this one is added if it is missing.
    pub fn set_hosts(&mut self, _now: Timestamp, hosts: &[HostId]) {
        self.hosts = hosts.to_vec();
        if !self.hosts.contains(&self.host) {
            self.hosts.push(self.host);
        }
        self.hosts.sort();
        self.hosts.dedup();
    }

    /// Decides on one request of `organisation` and counts it.
    pub fn check(&mut self, now: Timestamp, organisation: &OrganisationName) -> LimitDecision {
        if let Some(usage) = self.usage.get_mut(organisation) {
            return usage.take(now);
        }
        let limit = self.limits.get(organisation).unwrap_or(&self.default_limit);
        let mut usage = Usage::new(now, limit, self.hosts.len());
        let decision = usage.take(now);
        self.usage.insert(organisation.clone(), usage);
        decision
    }

    /// Handles a message of another entry host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: LimitsMessage,
    ) -> Vec<LimitsAction> {
        match message {
            LimitsMessage::Usage(report) => {
                let organisations = self.grant(now, from, &report.organisations);
                let message = LimitsMessage::Shares(ShareGrant { organisations });
                vec![LimitsAction::Send { to: from, message }]
            }
            LimitsMessage::Shares(grant) => {
                self.apply_shares(now, &grant);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Reports the demand of organisations with recent requests and drops idle ones.
    ///
    /// A new organisation is first reported at the next call, so calls should come every 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LimitsAction> {
        self.share_allocator.expire(now);
        self.usage.retain(|_, usage| !usage.is_idle(now));
        let mut actions = Vec::new();
        for (to, organisations) in self.due_reports(now) {
            if to == self.host {
                let organisations = self.grant(now, to, &organisations);
                self.apply_shares(now, &ShareGrant { organisations });
                continue;
            }
            let message = LimitsMessage::Usage(UsageReport { organisations });
            actions.push(LimitsAction::Send { to, message });
        }
        actions
    }

    /// Returns the demand to report now, grouped by coordinator.
    fn due_reports(&mut self, now: Timestamp) -> BTreeMap<HostId, Vec<OrganisationUsage>> {
        let mut due: Vec<OrganisationUsage> = Vec::new();
        for (organisation, usage) in &mut self.usage {
            if let Some(demand_milli) = usage.due_report(now) {
                due.push(OrganisationUsage { organisation: organisation.clone(), demand_milli });
            }
        }
        due.sort_by_key(|usage| std::cmp::Reverse(usage.demand_milli));
        due.truncate(MAX_REPORTED_ORGANISATIONS);
        let mut reports: BTreeMap<HostId, Vec<OrganisationUsage>> = BTreeMap::new();
        for usage in due {
            let coordinator = rendezvous::coordinator(&usage.organisation, &self.hosts);
            reports.entry(coordinator.unwrap_or(self.host)).or_default().push(usage);
        }
        reports
    }

    fn grant(
        &mut self,
        now: Timestamp,
        to: HostId,
        reported: &[OrganisationUsage],
    ) -> Vec<schema::limits::OrganisationShare> {
        let mut granted = Vec::with_capacity(reported.len());
        for usage in reported {
            let limit = self.limits.get(&usage.organisation).unwrap_or(&self.default_limit);
            granted.push(self.share_allocator.grant(now, to, usage, limit));
        }
        granted
    }

    fn apply_shares(&mut self, now: Timestamp, grant: &ShareGrant) {
        for share in &grant.organisations {
            if let Some(usage) = self.usage.get_mut(&share.organisation) {
                usage.set_share(now, share.share_ppm);
            }
        }
    }
}
