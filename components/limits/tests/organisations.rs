//! Rate limits of organisations on a single entry host.

mod common;

use common::{at, organisation};
use ids::{HostId, Millis, RequestRate};
use limits::organisations::{LimitDecision, OrganisationLimits};
use schema::config_text::{Organisation, OrganisationLimit};

fn limit(rate: u32, burst: u32) -> OrganisationLimit {
    OrganisationLimit { requests_per_second: RequestRate(rate), burst }
}

fn single_host() -> OrganisationLimits {
    let mut limits = OrganisationLimits::new(HostId(1), limit(10, 20));
    let named = Organisation { name: organisation(1), limit: limit(100, 5) };
    limits.configure(at(0), &limit(10, 20), &[named]);
    limits
}

/// Returns how many requests of an organisation are admitted if one arrives every `interval_ms`.
fn admitted(limits: &mut OrganisationLimits, number: u32, seconds: u64, interval_ms: u64) -> u64 {
    let admitted = (0..seconds * 1_000 / interval_ms)
        .filter(|i| {
            limits.check(at(i * interval_ms), &organisation(number)) == LimitDecision::Admitted
        })
        .count();
    admitted as u64
}

#[test]
fn a_single_host_admits_burst_and_rate() {
    assert_eq!(admitted(&mut single_host(), 1, 10, 1), 5 + 10 * 100 - 1);
    assert_eq!(admitted(&mut single_host(), 2, 10, 1), 20 + 10 * 10 - 1);
}

#[test]
fn organisations_don_t_use_each_other_s_tokens() {
    let mut limits = single_host();
    admitted(&mut limits, 2, 1, 1);

    assert_eq!(limits.check(at(1_000), &organisation(3)), LimitDecision::Admitted);
}

#[test]
fn a_caller_that_retries_after_the_given_delay_is_admitted() {
    let mut limits = single_host();
    let mut now = at(0);
    for _ in 0..200 {
        if let LimitDecision::Refused { retry_after } = limits.check(now, &organisation(2)) {
            assert!(retry_after > Millis(0));
            now = now + retry_after;
            assert_eq!(limits.check(now, &organisation(2)), LimitDecision::Admitted);
        }
    }
}
