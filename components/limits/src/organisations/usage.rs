//! The requests of one organisation on this entry host, and its share of the limit.

use ids::{Millis, Timestamp};
use schema::config_text::OrganisationLimit;

use super::{LimitDecision, REPORT_INTERVAL, bucket::TokenBucket};

/// Time without requests after which an organisation with a full bucket is dropped.
const IDLE_AFTER: Millis = Millis(60_000);

/// Time without a grant after which the share falls back to the initial one.
const SHARE_LIFETIME: Millis = Millis(10_000);

/// The whole limit, in millionths.
pub(super) const WHOLE_LIMIT_PPM: u32 = 1_000_000;

/// Entry hosts that an organisation uses at least, if there are as many: the addresses that a
/// directory gives to a caller.
const MIN_ASSUMED_HOSTS: usize = 4;

/// Time to the second report of a new organisation; it doubles up to [`REPORT_INTERVAL`].
const FIRST_INTERVAL: Millis = Millis(200);

/// Shortest time to a report of a demand that rises.
const EARLY_INTERVAL: Millis = Millis(200);

/// Requests above the expected ones that let a report go out early.
const EARLY_REQUESTS: u64 = 10;

/// Part of a new demand in the moving average, in thousandths.
const DEMAND_GAIN_MILLI: u64 = 500;

/// One organisation's bucket and demand.
#[derive(Debug, Clone)]
pub(super) struct Usage {
    bucket: TokenBucket,
    limit: OrganisationLimit,
    initial_share_ppm: u32,
    share_ppm: u32,
    share_at: Timestamp,
    requests: u64,
    /// Demand in requests a second, in thousandths; `None` before the first report.
    demand_milli: Option<u64>,
    reported_at: Timestamp,
    interval: Millis,
}

impl Usage {
    /// A new organisation on one of `hosts` entry hosts.
    pub(super) fn new(now: Timestamp, limit: &OrganisationLimit, hosts: usize) -> Self {
        let assumed = u32::try_from(assumed_hosts(hosts)).unwrap_or(u32::MAX);
        let share_ppm = WHOLE_LIMIT_PPM / assumed;
        Self {
            bucket: TokenBucket::new(now, limit, share_ppm),
            limit: limit.clone(),
            initial_share_ppm: share_ppm,
            share_ppm,
            share_at: now,
            requests: 0,
            demand_milli: None,
            reported_at: now,
            interval: FIRST_INTERVAL,
        }
    }

    pub(super) fn set_limit(&mut self, now: Timestamp, limit: &OrganisationLimit) {
        self.limit = limit.clone();
        self.bucket.set_limit(now, limit, self.share_ppm);
    }

    pub(super) fn set_share(&mut self, now: Timestamp, share_ppm: u32) {
        self.share_ppm = share_ppm.min(WHOLE_LIMIT_PPM);
        self.share_at = now;
        self.bucket.set_limit(now, &self.limit, self.share_ppm);
    }

    /// Decides on one request and counts it.
    pub(super) fn take(&mut self, now: Timestamp) -> LimitDecision {
        if now.since(self.share_at) >= SHARE_LIFETIME {
            self.set_share(now, self.share_ppm.min(self.initial_share_ppm));
        }
        self.requests += 1;
        self.bucket.take(now)
    }

    /// The demand, when it has to be reported now: at once for a new organisation, then at each
    /// interval with requests, earlier when it rises, and once more when requests have ended.
    pub(super) fn due_report(&mut self, now: Timestamp) -> Option<u64> {
        let Some(known) = self.demand_milli else {
            let demand = self.requests * 1_000_000 / REPORT_INTERVAL.0;
            return Some(self.report(now, demand));
        };
        let elapsed = now.since(self.reported_at);
        let silent = known == 0 && self.requests == 0;
        let due = elapsed >= self.interval || self.is_rising(known, elapsed);
        if silent || !due {
            return None;
        }
        self.interval = Millis(self.interval.0 * 2).min(REPORT_INTERVAL);
        let observed = self.requests * 1_000_000 / elapsed.0;
        let average = (known * (1_000 - DEMAND_GAIN_MILLI) + observed * DEMAND_GAIN_MILLI) / 1_000;
        let ended = self.requests == 0 && average < 1_000;
        Some(self.report(now, if ended { 0 } else { average }))
    }

    /// Whether many more requests came than the reported demand lets expect.
    fn is_rising(&self, known: u64, elapsed: Millis) -> bool {
        let expected = known * elapsed.0 / 1_000_000;
        elapsed >= EARLY_INTERVAL && self.requests > 2 * expected + EARLY_REQUESTS
    }

    /// Whether a new organisation would be treated the same.
    pub(super) fn is_idle(&mut self, now: Timestamp) -> bool {
        self.demand_milli == Some(0) && self.bucket.is_idle(now, IDLE_AFTER)
    }

    fn report(&mut self, now: Timestamp, demand_milli: u64) -> u64 {
        self.demand_milli = Some(demand_milli);
        self.reported_at = now;
        self.requests = 0;
        demand_milli
    }
}

/// The entry hosts that an organisation is assumed to use before its coordinator answers.
fn assumed_hosts(hosts: usize) -> usize {
    hosts.isqrt().max(MIN_ASSUMED_HOSTS).min(hosts).max(1)
}
