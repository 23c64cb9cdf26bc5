//! Divides the limits of the organisations that this entry host coordinates between entry hosts.

use std::collections::BTreeMap;

use ids::{FastMap, HostId, Millis, OrganisationName, Timestamp};
use schema::{
    config_text::OrganisationLimit,
    limits::{OrganisationShare, OrganisationUsage},
};

use super::usage::WHOLE_LIMIT_PPM;

/// Time after which a reported demand no longer counts.
const DEMAND_LIFETIME: Millis = Millis(3_000);

/// Largest demand counted for a host, in thousandths of requests per second; keeps sums in range.
const MAX_DEMAND_MILLI: u64 = u32::MAX as u64 * 1_000;

/// Computes the shares of entry hosts from the demand that they report.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareAllocator {
    demands: FastMap<OrganisationName, BTreeMap<HostId, Demand>>,
}

/// The last demand that a host reported for an organisation.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// Thousandths of requests per second.
    rate_milli: u64,
    reported_at: Timestamp,
}

impl ShareAllocator {
    /// Records the demand of a host and returns the host's share of the limit.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        to: HostId,
        usage: &OrganisationUsage,
        limit: &OrganisationLimit,
    ) -> OrganisationShare {
        let rate_milli = usage.demand_milli.min(MAX_DEMAND_MILLI);
        let demands = self.demands.entry(usage.organisation.clone()).or_default();
        demands.insert(to, Demand { rate_milli, reported_at: now });
        demands.retain(|_, demand| is_fresh(now, demand));
        let limit_milli = u64::from(limit.requests_per_second.0) * 1_000;
        let share_ppm = share(rate_milli, demands, limit_milli);
        OrganisationShare { organisation: usage.organisation.clone(), share_ppm }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.demands.retain(|_, demands| {
            demands.retain(|_, demand| is_fresh(now, demand));
            !demands.is_empty()
        });
    }
}

fn is_fresh(now: Timestamp, demand: &Demand) -> bool {
    now.since(demand.reported_at) < DEMAND_LIFETIME
}

/// Returns the share of the limit for one host, in millionths.
///
/// If the total demand is below the limit, each host gets its own demand and all of the unused
/// limit, so that no request is refused because demand has just moved to its host. Above the
/// limit, hosts get shares in proportion to their demand, which add up to the whole limit.
fn share(own_milli: u64, demands: &BTreeMap<HostId, Demand>, limit_milli: u64) -> u32 {
    let total: u64 = demands.values().map(|demand| demand.rate_milli).sum();
    let unused = limit_milli.saturating_sub(total);
    let divisor = total.max(limit_milli);
    let ppm = (own_milli + unused) * u64::from(WHOLE_LIMIT_PPM);
    let ppm = ppm.checked_div(divisor).unwrap_or(0);
    u32::try_from(ppm).unwrap_or(WHOLE_LIMIT_PPM).min(WHOLE_LIMIT_PPM)
}
