//! A retry budget shared by all gateways of a data centre.
//!
//! A retry here is every attempt of a request after the first, including hedged attempts. An
//! attempt counts as a first one if no earlier attempt reached a server or may still reach one.
//!
//! Load pattern: a server breaks, and the gateways of its data centre need several retries within a
//! second, while each of them has sent only a few requests. A budget per gateway would be too
//! small, so the gateways of a data centre share one, which each of them tracks from the reports of
//! the others.

use std::collections::VecDeque;

use ids::{FastMap, ServiceName, Timestamp};

use crate::{events::RetryUsage, settings::RetryBudgetSettings};

/// Minimum number of entry hosts assumed, so that the budget isn't exceeded while few are known.
const MIN_ASSUMED_HOSTS: u64 = 24;

/// Fraction of the budget that is used, in thousandths. Reports may be lost or delayed, and hosts
/// that have just started don't know of earlier attempts.
const USABLE_SHARE_MILLI: u64 = 800;

/// Number of slices of the window; the oldest slice expires as a whole.
const WINDOW_SLICES: u64 = 20;

/// Attempts in one slice of the window.
#[derive(Debug, Clone, Copy)]
struct Slice {
    index: u64,
    first: u64,
    own_retries: u64,
    heard_retries: u64,
}

/// What an attempt was, and who sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attempt {
    /// The first attempt of a request, of any gateway.
    First,
    /// A retry of this gateway.
    OwnRetry,
    /// A retry that another gateway reported.
    HeardRetry,
}

/// Attempts of this data centre's gateways in the current window, by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: RetryBudgetSettings,
    by_service: FastMap<ServiceName, VecDeque<Slice>>,
}

impl RetryBudget {
    pub(crate) fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, by_service: FastMap::default() }
    }

    /// Records an attempt of any gateway in this data centre.
    pub(crate) fn record_attempt(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        attempt: Attempt,
    ) {
        let index = self.slice_index(now);
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), VecDeque::new());
        }
        let slices = self.by_service.get_mut(service).expect("was just inserted");
        if slices.back().is_none_or(|it| it.index != index) {
            slices.push_back(Slice { index, first: 0, own_retries: 0, heard_retries: 0 });
        }
        let slice = slices.back_mut().expect("was just pushed");
        match attempt {
            Attempt::First => slice.first += 1,
            Attempt::OwnRetry => slice.own_retries += 1,
            Attempt::HeardRetry => slice.heard_retries += 1,
        }
        while slices.front().is_some_and(|it| it.index + WINDOW_SLICES < index) {
            slices.pop_front();
        }
    }

    /// Returns what is known of the attempts in the window, and how many retries it allows.
    ///
    /// `fleet_hosts` is the number of entry hosts in the fleet, `local_hosts` of those in this data
    /// centre.
    pub(crate) fn usage(
        &self,
        now: Timestamp,
        service: &ServiceName,
        fleet_hosts: usize,
        local_hosts: usize,
    ) -> RetryUsage {
        let index = self.slice_index(now);
        let slices = self.by_service.get(service).into_iter().flatten();
        let mut usage = RetryUsage::default();
        for slice in slices.filter(|it| it.index + WINDOW_SLICES >= index) {
            usage.first += slice.first;
            usage.own_retries += slice.own_retries;
            usage.heard_retries += slice.heard_retries;
        }
        let fleet_hosts = (fleet_hosts as u64).max(MIN_ASSUMED_HOSTS);
        let slack_milli =
            self.settings.slack_milli.saturating_mul(local_hosts as u64) / fleet_hosts;
        let allowed_milli = (usage.first * self.settings.share_milli).saturating_add(slack_milli);
        usage.allowed = allowed_milli.saturating_mul(USABLE_SHARE_MILLI) / (1_000 * 1_000);
        usage
    }

    fn slice_index(&self, now: Timestamp) -> u64 {
        now.0 / (self.settings.window.0 * 1_000 / WINDOW_SLICES).max(1)
    }
}
