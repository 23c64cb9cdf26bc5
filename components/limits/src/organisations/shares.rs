//! Divides the limits of the organisations that this entry host coordinates.

use std::collections::BTreeMap;

use ids::{FastMap, HostId, Millis, OrganisationName, Timestamp};
use schema::{
    config_text::OrganisationLimit,
    limits::{OrganisationShare, OrganisationUsage},
};

use super::usage::WHOLE_LIMIT_PPM;

/// Time for which a reported demand counts.
const DEMAND_LIFETIME: Millis = Millis(3_000);

/// Largest demand of a host that counts, in thousandths of requests a second; keeps sums in range.
const MAX_DEMAND_MILLI: u64 = u32::MAX as u64 * 1_000;

/// The demand of all entry hosts by organisation.
#[derive(Debug, Clone, Default)]
pub(super) struct Shares {
    demands: FastMap<OrganisationName, BTreeMap<HostId, Demand>>,
}

#[derive(Debug, Clone, Copy)]
struct Demand {
    milli: u64,
    reported_at: Timestamp,
}

impl Shares {
    /// Notes a host's demand and gives it its share of the limit.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        to: HostId,
        usage: &OrganisationUsage,
        limit: &OrganisationLimit,
    ) -> OrganisationShare {
        let milli = usage.demand_milli.min(MAX_DEMAND_MILLI);
        let demands = self.demands.entry(usage.organisation.clone()).or_default();
        demands.insert(to, Demand { milli, reported_at: now });
        demands.retain(|_, demand| is_current(now, demand));
        let limit_milli = u64::from(limit.requests_per_second.0) * 1_000;
        let share_ppm = share(milli, demands, limit_milli);
        OrganisationShare { organisation: usage.organisation.clone(), share_ppm }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.demands.retain(|_, demands| {
            demands.retain(|_, demand| is_current(now, demand));
            !demands.is_empty()
        });
    }
}

fn is_current(now: Timestamp, demand: &Demand) -> bool {
    now.since(demand.reported_at) < DEMAND_LIFETIME
}

/// The part of the limit for one host, in millionths.
///
/// Below the limit, each host gets its demand and all that is left, so that none is refused for
/// demand that just moved to it. Above the limit, each gets a part in proportion to its demand,
/// and the parts add up to the whole.
fn share(own_milli: u64, demands: &BTreeMap<HostId, Demand>, limit_milli: u64) -> u32 {
    let total: u64 = demands.values().map(|demand| demand.milli).sum();
    let left = limit_milli.saturating_sub(total);
    let divisor = total.max(limit_milli);
    let ppm = (own_milli + left) * u64::from(WHOLE_LIMIT_PPM);
    let ppm = ppm.checked_div(divisor).unwrap_or(0);
    u32::try_from(ppm).unwrap_or(WHOLE_LIMIT_PPM).min(WHOLE_LIMIT_PPM)
}
