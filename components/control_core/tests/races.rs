//! Tests concurrent and repeated submissions while control hosts are partitioned, restart and lose
//! their disks, in random order.

mod fleet;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use fleet::{Fleet, config_text, submit};
use ids::{ConfigVersion, HostId, RequestId};
use schema::operator::{Acceptance, OperatorResponse};

const CASES: u64 = 40;

/// Random input per case, in bytes; arbtest takes it from the low half of the seed.
const CASE_BYTES: u64 = 600;

/// The acceptances that were reported to operators.
#[derive(Default)]
struct ReportedAcceptances {
    by_version: BTreeMap<ConfigVersion, Acceptance>,
}

impl ReportedAcceptances {
    /// Checks that all answers about the same version name the same acceptance.
    fn check(&mut self, answers: &BTreeMap<RequestId, OperatorResponse>) {
        for response in answers.values() {
            match response {
                OperatorResponse::Accepted(accepted) => self.insert(&accepted.acceptance),
                OperatorResponse::Conflict(conflict) => self.insert(&conflict.winner),
                _ => {}
            }
        }
    }

    fn insert(&mut self, acceptance: &Acceptance) {
        let first = self.by_version.entry(acceptance.version).or_insert_with(|| acceptance.clone());
        assert_eq!(first, acceptance);
    }
}

fn random_host(fleet: &Fleet, u: &mut Unstructured<'_>) -> Result<HostId> {
    Ok(*u.choose(&fleet.ids())?)
}

/// Submits a configuration with a version near the newest one, sometimes to a random host instead
/// of the leader.
fn submit_random(fleet: &mut Fleet, u: &mut Unstructured<'_>) -> Result<()> {
    let newest = fleet.ids().into_iter().map(|it| fleet.in_force(it).0).max().unwrap_or(0);
    let version = (newest + u.int_in_range(0..=3)?).saturating_sub(1).max(1);
    let host = match fleet.leader() {
        Some(leader) if u.ratio(4, 5)? => leader,
        _ => random_host(fleet, u)?,
    };
    fleet.ask(host, "anna", submit(&config_text(version, u.int_in_range(0..=1)?)));
    Ok(())
}

/// Submits configurations and injects faults until the random input is used up.
fn run_random_steps(fleet: &mut Fleet, u: &mut Unstructured<'_>) -> Result<()> {
    while !u.is_empty() {
        let host = random_host(fleet, u)?;
        match u.int_in_range(0..=29)? {
            0..12 => submit_random(fleet, u)?,
            12..20 => (0..u.int_in_range(1..=20)?).for_each(|_| fleet.step()),
            20..24 => {
                let to = random_host(fleet, u)?;
                fleet.blocked_links.insert((host, to));
            }
            24..26 => fleet.blocked_links.clear(),
            26..28 => {
                fleet.stop(host);
                fleet.start(host, false);
            }
            _ if fleet.can_lose_disk(host) => {
                fleet.lose_disk(host);
                fleet.start(host, true);
            }
            _ => {}
        }
    }
    Ok(())
}

#[test]
fn no_accepted_version_is_lost_or_replaced() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut fleet = Fleet::with_leader(3);
            let _ = run_random_steps(&mut fleet, u);
            let mut reported = ReportedAcceptances::default();
            reported.check(&fleet.answers);

            fleet.blocked_links.clear();
            fleet.run_until(|it| it.leader().is_some());
            let newest = reported.by_version.keys().next_back().copied().unwrap_or_default();
            fleet.run_until(|it| it.ids().iter().all(|host| it.in_force(*host) >= newest));
            for version in reported.by_version.keys().copied().collect::<Vec<_>>() {
                let response = fleet.ask_leader("anna", submit(&config_text(version.0, 4)));
                assert!(matches!(response, OperatorResponse::Conflict(_)), "{response:?}");
            }
            reported.check(&fleet.answers);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
