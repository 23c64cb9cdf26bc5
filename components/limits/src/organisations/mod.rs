//! Limits the requests of each organisation over the whole fleet.

mod bucket;

use ids::{FastMap, HostId, Millis, OrganisationName, Timestamp};
use schema::{
    config_text::{Organisation, OrganisationLimit},
    limits::LimitsMessage,
};

use self::bucket::TokenBucket;

/// Time without requests after which a full bucket is dropped.
const IDLE_AFTER: Millis = Millis(60_000);

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

/// The limits of organisations as this entry host applies them.
#[derive(Debug, Clone)]
pub struct OrganisationLimits {
    host: HostId,
    hosts: Vec<HostId>,
    default_limit: OrganisationLimit,
    limits: FastMap<OrganisationName, OrganisationLimit>,
    buckets: FastMap<OrganisationName, TokenBucket>,
}

impl OrganisationLimits {
    /// Limits of the entry host `host`; `default_limit` holds until a configuration is taken.
    pub fn new(host: HostId, default_limit: OrganisationLimit) -> Self {
        Self {
            host,
            hosts: vec![host],
            default_limit,
            limits: FastMap::default(),
            buckets: FastMap::default(),
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
        for (name, bucket) in &mut self.buckets {
            let limit = self.limits.get(name).unwrap_or(&self.default_limit);
            bucket.set_limit(now, limit);
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
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            return bucket.take(now);
        }
        let limit = self.limits.get(organisation).unwrap_or(&self.default_limit);
        let mut bucket = TokenBucket::new(now, limit);
        let decision = bucket.take(now);
        self.buckets.insert(organisation.clone(), bucket);
        decision
    }

    /// Takes a message of another entry host.
    pub fn handle(
        &mut self,
        _now: Timestamp,
        _from: HostId,
        _message: LimitsMessage,
    ) -> Vec<LimitsAction> {
        Vec::new()
    }

    /// Shares what was used since the last call and drops idle buckets.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LimitsAction> {
        self.buckets.retain(|_, bucket| !bucket.is_idle(now, IDLE_AFTER));
        Vec::new()
    }
}
