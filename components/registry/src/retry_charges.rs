//! What entry hosts have charged to their parts of the retry budgets, kept for their next processes.
//!
//! Kept in memory only, and lost with this process; answers say for how long nothing was lost.

use ids::{FastMap, HostId, Incarnation, Millis, ServiceName, Timestamp};
use schema::retry_budget::{AgedRetryCharges, EarlierRetryCharges, RetryCharges};

/// Time for which charges are kept: longer than the window of any budget.
const KEEP: Millis = Millis(60_000);

/// Maximum number of services of a host whose charges are kept.
const MAX_SERVICES: usize = 1_024;

/// Minimum time between two removals of expired charges.
const PRUNE_INTERVAL: Millis = Millis(10_000);

/// The last report of an entry host on a service.
#[derive(Debug)]
struct Record {
    /// The process that reported.
    incarnation: Incarnation,
    reported_at: Timestamp,
    charges: RetryCharges,
}

/// The charges of entry hosts that report to this control host.
#[derive(Debug)]
pub struct RetryChargeRecords {
    /// Since when nothing was lost; `None` in a new fleet, where there was nothing before.
    complete_since: Option<Timestamp>,
    hosts: FastMap<HostId, FastMap<ServiceName, Record>>,
    pruned_at: Timestamp,
}

impl RetryChargeRecords {
    /// Creates the records of a process that starts now.
    pub fn new(now: Timestamp, is_new_fleet: bool) -> Self {
        let complete_since = (!is_new_fleet).then_some(now);
        Self { complete_since, hosts: FastMap::default(), pruned_at: now }
    }

    /// Records a report of an entry host's process. It includes what the process knows of the charges
    /// of the one before it, so that it replaces that one's report.
    pub fn record(
        &mut self,
        now: Timestamp,
        (host, incarnation): (HostId, Incarnation),
        charges: &RetryCharges,
    ) {
        self.prune(now);
        let records = self.hosts.entry(host).or_default();
        let before = records.get(&charges.service);
        let is_outdated = before.is_some_and(|it| it.incarnation > incarnation);
        let has_room = before.is_some() || records.len() < MAX_SERVICES;
        if has_room && !is_outdated {
            let record = Record { incarnation, reported_at: now, charges: charges.clone() };
            records.insert(charges.service.clone(), record);
        }
    }

    /// Returns the charges of an entry host's processes before `incarnation`.
    pub fn before(
        &self,
        now: Timestamp,
        (host, incarnation): (HostId, Incarnation),
    ) -> EarlierRetryCharges {
        let records = self.hosts.get(&host).into_iter().flat_map(|it| it.values());
        let earlier = records.filter(|it| it.incarnation < incarnation);
        let services = earlier.map(|it| AgedRetryCharges {
            charges: it.charges.clone(),
            age_ms: now.since(it.reported_at),
        });
        let known_for_ms = self.complete_since.map_or(Millis(u64::MAX), |it| now.since(it));
        EarlierRetryCharges { known_for_ms, services: services.collect() }
    }

    fn prune(&mut self, now: Timestamp) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        for records in self.hosts.values_mut() {
            records.retain(|_, it| now.since(it.reported_at) < KEEP);
        }
        self.hosts.retain(|_, it| !it.is_empty());
    }
}
