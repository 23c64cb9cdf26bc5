//! Operators race and resend while control hosts are cut off, crash and lose disks.

mod fleet;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use fleet::{Fleet, submit, text};
use ids::{ConfigVersion, HostId, RequestId};
use schema::operator::{Acceptance, OperatorResponse};

const CASES: u64 = 40;
const CASE_BYTES: u64 = 600;

/// The outcomes that operators were told.
#[derive(Default)]
struct Told {
    acceptances: BTreeMap<ConfigVersion, Acceptance>,
}

impl Told {
    /// Checks that all answers about a version name the same acceptance.
    fn check(&mut self, answers: &BTreeMap<RequestId, OperatorResponse>) {
        for response in answers.values() {
            match response {
                OperatorResponse::Accepted(accepted) => self.note(&accepted.acceptance),
                OperatorResponse::Conflict(conflict) => self.note(&conflict.winner),
                _ => {}
            }
        }
    }

    fn note(&mut self, acceptance: &Acceptance) {
        let first =
            self.acceptances.entry(acceptance.version).or_insert_with(|| acceptance.clone());
        assert_eq!(first, acceptance);
    }
}

fn any_host(fleet: &Fleet, u: &mut Unstructured<'_>) -> Result<HostId> {
    Ok(*u.choose(&fleet.ids())?)
}

/// Submits a text whose version is near the newest one, sometimes to a host that does not lead.
fn submit_any(fleet: &mut Fleet, u: &mut Unstructured<'_>) -> Result<()> {
    let newest = fleet.ids().into_iter().map(|it| fleet.in_force(it).0).max().unwrap_or(0);
    let version = (newest + u.int_in_range(0..=3)?).saturating_sub(1).max(1);
    let host = match fleet.leader() {
        Some(leader) if u.ratio(4, 5)? => leader,
        _ => any_host(fleet, u)?,
    };
    fleet.ask(host, "anna", submit(&text(version, u.int_in_range(0..=1)?)));
    Ok(())
}

fn disturb(fleet: &mut Fleet, u: &mut Unstructured<'_>) -> Result<()> {
    while !u.is_empty() {
        let host = any_host(fleet, u)?;
        match u.int_in_range(0..=29)? {
            0..12 => submit_any(fleet, u)?,
            12..20 => (0..u.int_in_range(1..=20)?).for_each(|_| fleet.step()),
            20..24 => {
                let to = any_host(fleet, u)?;
                fleet.cuts.insert((host, to));
            }
            24..26 => fleet.cuts.clear(),
            26..28 => {
                fleet.stop(host);
                fleet.start(host, false);
            }
            _ if fleet.can_do_without(host) => {
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
            let _ = disturb(&mut fleet, u);
            let mut told = Told::default();
            told.check(&fleet.answers);

            fleet.cuts.clear();
            fleet.run_until(|it| it.leader().is_some());
            let newest = told.acceptances.keys().next_back().copied().unwrap_or_default();
            fleet.run_until(|it| it.ids().iter().all(|host| it.in_force(*host) >= newest));
            for version in told.acceptances.keys().copied().collect::<Vec<_>>() {
                let response = fleet.ask_leader("anna", submit(&text(version.0, 4)));
                assert!(matches!(response, OperatorResponse::Conflict(_)), "{response:?}");
            }
            told.check(&fleet.answers);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
