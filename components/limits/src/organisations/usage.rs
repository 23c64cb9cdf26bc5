//! The requests of one organisation on this entry host, and its share of the limit.

use ids::{Millis, Timestamp};
use schema::config_text::OrganisationLimit;

use super::{
    LimitDecision, REPORT_INTERVAL,
    bucket::{BucketSize, TokenBucket},
};

/// Time without requests after which an organisation is dropped, if its bucket is full.
const IDLE_AFTER: Millis = Millis(60_000);

/// Time without a grant after which a larger share falls back to the initial one.
const SHARE_LIFETIME: Millis = Millis(10_000);

/// The share that is the whole limit, in millionths.
pub(super) const WHOLE_LIMIT_PPM: u32 = 1_000_000;

/// Minimum number of entry hosts that an organisation is assumed to use, if there are as many: the
/// number of addresses that a directory gives to a caller.
const MIN_ASSUMED_HOSTS: usize = 4;

/// Time between the first two reports of an organisation; it doubles up to [`REPORT_INTERVAL`].
const FIRST_REPORT_INTERVAL: Millis = Millis(200);

/// Time after a report from which rising demand may be reported early.
const EARLY_REPORT_INTERVAL: Millis = Millis(200);

/// Requests above twice the expected number that cause an early report.
const EARLY_REPORT_REQUESTS: u64 = 10;

/// Weight of the newest demand in the EWMA, in thousandths.
const DEMAND_WEIGHT_MILLI: u64 = 500;

/// The token bucket, share and demand of one organisation.
#[derive(Debug, Clone)]
pub(super) struct Usage {
    bucket: TokenBucket,
    limit: OrganisationLimit,
    initial_share_ppm: u32,
    share_ppm: u32,
    share_set_at: Timestamp,
    /// Requests since the last report, admitted or not.
    requests: u64,
    /// Last reported demand in thousandths of requests per second; `None` before the first report.
    demand_milli: Option<u64>,
    reported_at: Timestamp,
    report_interval: Millis,
}

impl Usage {
    /// Returns the usage of a new organisation on one of `hosts` entry hosts.
    pub(super) fn new(now: Timestamp, limit: &OrganisationLimit, hosts: usize) -> Self {
        let assumed = u32::try_from(assumed_hosts(hosts)).unwrap_or(u32::MAX);
        let share_ppm = WHOLE_LIMIT_PPM / assumed;
        Self {
            bucket: TokenBucket::full(now, BucketSize::share_of(limit, share_ppm)),
            limit: limit.clone(),
            initial_share_ppm: share_ppm,
            share_ppm,
            share_set_at: now,
            requests: 0,
            demand_milli: None,
            reported_at: now,
            report_interval: FIRST_REPORT_INTERVAL,
        }
    }

    pub(super) fn set_limit(&mut self, now: Timestamp, limit: &OrganisationLimit) {
        self.limit = limit.clone();
        self.bucket.resize(now, BucketSize::share_of(limit, self.share_ppm));
    }

    pub(super) fn set_share(&mut self, now: Timestamp, share_ppm: u32) {
        self.share_ppm = share_ppm.min(WHOLE_LIMIT_PPM);
        self.share_set_at = now;
        self.bucket.resize(now, BucketSize::share_of(&self.limit, self.share_ppm));
    }

    /// Decides on one request and counts it.
    pub(super) fn take(&mut self, now: Timestamp) -> LimitDecision {
        if now.since(self.share_set_at) >= SHARE_LIFETIME {
            self.set_share(now, self.share_ppm.min(self.initial_share_ppm));
        }
        self.requests += 1;
        self.bucket.take(now)
    }

    /// Returns the demand if it must be reported now.
    ///
    /// The first report is due at once, and further ones at each interval with requests, or earlier
    /// while demand rises. After the requests have ended, a last report gives a demand of zero.
    pub(super) fn due_report(&mut self, now: Timestamp) -> Option<u64> {
        let Some(previous) = self.demand_milli else {
            let demand = self.requests * 1_000_000 / REPORT_INTERVAL.0;
            return Some(self.mark_reported(now, demand));
        };
        let elapsed = now.since(self.reported_at);
        let no_demand = previous == 0 && self.requests == 0;
        let due = elapsed >= self.report_interval || self.is_rising(previous, elapsed);
        if no_demand || !due {
            return None;
        }
        self.report_interval = Millis(self.report_interval.0 * 2).min(REPORT_INTERVAL);
        let observed = self.requests * 1_000_000 / elapsed.0;
        let average =
            (previous * (1_000 - DEMAND_WEIGHT_MILLI) + observed * DEMAND_WEIGHT_MILLI) / 1_000;
        let has_ended = self.requests == 0 && average < 1_000;
        Some(self.mark_reported(now, if has_ended { 0 } else { average }))
    }

    /// Returns whether there were many more requests than the last reported demand predicts.
    fn is_rising(&self, previous: u64, elapsed: Millis) -> bool {
        let expected = previous * elapsed.0 / 1_000_000;
        elapsed >= EARLY_REPORT_INTERVAL && self.requests > 2 * expected + EARLY_REPORT_REQUESTS
    }

    /// Returns whether the organisation may be dropped without changing how it is limited.
    pub(super) fn is_idle(&mut self, now: Timestamp) -> bool {
        self.demand_milli == Some(0) && self.bucket.is_idle(now, IDLE_AFTER)
    }

    fn mark_reported(&mut self, now: Timestamp, demand_milli: u64) -> u64 {
        self.demand_milli = Some(demand_milli);
        self.reported_at = now;
        self.requests = 0;
        demand_milli
    }
}

/// Returns how many entry hosts an organisation is assumed to use before its coordinator answers.
fn assumed_hosts(hosts: usize) -> usize {
    hosts.isqrt().max(MIN_ASSUMED_HOSTS).min(hosts).max(1)
}
