//! Limits the requests of each organisation over the whole fleet.
//!
//! Each organisation has one coordinator among the entry hosts. Entry hosts that get requests
//! of the organisation report their demand to it, and are given a share of the limit in return.
//! Organisations without recent requests cost nothing.

mod bucket;
mod shares;
mod usage;

use std::collections::BTreeMap;

use ids::{FastMap, HostId, Millis, OrganisationName, Timestamp};
use schema::{
    config_text::{Organisation, OrganisationLimit},
    limits::{LimitsMessage, OrganisationUsage, ShareGrant, UsageReport},
};

use self::{shares::Shares, usage::Usage};
use crate::rendezvous;

/// Time between two reports of an organisation's demand.
pub const REPORT_INTERVAL: Millis = Millis(1_000);

/// Most organisations whose demand is reported at a time; those with the highest demand.
const MAX_REPORTED: usize = 500;

/// Whether a request is within its organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// Within the limit.
    Admitted,
    /// Over the limit; the request did not run.
    Refused {
        /// When the caller should come back.
        retry_after: Millis,
    },
}

/// What has to be done to share limits.
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

/// The limits of organisations as this entry host applies and coordinates them.
#[derive(Debug, Clone)]
pub struct OrganisationLimits {
    host: HostId,
    hosts: Vec<HostId>,
    default_limit: OrganisationLimit,
    limits: FastMap<OrganisationName, OrganisationLimit>,
    usage: BTreeMap<OrganisationName, Usage>,
    shares: Shares,
}

impl OrganisationLimits {
    /// Limits of the entry host `host`; `default_limit` holds until a configuration is taken.
    pub fn new(host: HostId, default_limit: OrganisationLimit) -> Self {
        Self {
            host,
            hosts: vec![host],
            default_limit,
            limits: FastMap::default(),
            usage: BTreeMap::new(),
            shares: Shares::default(),
        }
    }

    /// Takes a new configuration; buckets keep what they hold, up to the new burst.
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

    /// Takes the entry hosts that are alive, this one included or not.
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

    /// Takes a message of another entry host.
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
                self.take_shares(now, &grant);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Reports the demand of organisations with recent requests, and drops idle ones.
    ///
    /// New organisations are reported at the next call, so it should come each 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LimitsAction> {
        self.shares.expire(now);
        self.usage.retain(|_, usage| !usage.is_idle(now));
        let mut actions = Vec::new();
        for (to, organisations) in self.due_reports(now) {
            if to == self.host {
                let organisations = self.grant(now, to, &organisations);
                self.take_shares(now, &ShareGrant { organisations });
                continue;
            }
            let message = LimitsMessage::Usage(UsageReport { organisations });
            actions.push(LimitsAction::Send { to, message });
        }
        actions
    }

    /// The demand to report now, by coordinator.
    fn due_reports(&mut self, now: Timestamp) -> BTreeMap<HostId, Vec<OrganisationUsage>> {
        let mut due: Vec<OrganisationUsage> = Vec::new();
        for (organisation, usage) in &mut self.usage {
            if let Some(demand_milli) = usage.due_report(now) {
                due.push(OrganisationUsage { organisation: organisation.clone(), demand_milli });
            }
        }
        due.sort_by_key(|usage| std::cmp::Reverse(usage.demand_milli));
        due.truncate(MAX_REPORTED);
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
            granted.push(self.shares.grant(now, to, usage, limit));
        }
        granted
    }

    fn take_shares(&mut self, now: Timestamp, grant: &ShareGrant) {
        for share in &grant.organisations {
            if let Some(usage) = self.usage.get_mut(&share.organisation) {
                usage.set_share(now, share.share_ppm);
            }
        }
    }
}
