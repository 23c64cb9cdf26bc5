//! Entry hosts jointly enforce the limit of an organisation, within the documented error.

mod common;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use common::{at, organisation};
use ids::{HostId, RequestRate};
use limits::organisations::{LimitDecision, LimitsAction, OrganisationLimits};
use schema::{
    config_text::OrganisationLimit,
    limits::{LimitsMessage, OrganisationUsage, UsageReport},
};

const CASES: u64 = 60;
const CASE_BYTES: u64 = 4_096;

const HOSTS: u32 = 12;
const REQUESTS_PER_SECOND: u32 = 100;
const BURST: u32 = 100;
const SECONDS: u64 = 20;
const STEP_MS: u64 = 10;

fn hosts() -> Vec<HostId> {
    (0..HOSTS).map(HostId).collect()
}

fn host(id: HostId) -> OrganisationLimits {
    let limit =
        OrganisationLimit { requests_per_second: RequestRate(REQUESTS_PER_SECOND), burst: BURST };
    let mut limits = OrganisationLimits::new(id, limit);
    limits.set_hosts(at(0), &hosts());
    limits
}

/// A simulated fleet of entry hosts whose messages are delayed and may be lost.
struct Fleet {
    hosts: Vec<OrganisationLimits>,
    /// Messages in transit as sender, receiver and content, by time of arrival and number.
    messages: BTreeMap<(u64, u64), (HostId, HostId, LimitsMessage)>,
    next_message: u64,
    admitted: u64,
    lossy: bool,
}

impl Fleet {
    fn new(lossy: bool) -> Self {
        Self {
            hosts: hosts().into_iter().map(host).collect(),
            messages: BTreeMap::new(),
            next_message: 0,
            admitted: 0,
            lossy,
        }
    }

    fn send(
        &mut self,
        u: &mut Unstructured<'_>,
        now: u64,
        from: u32,
        actions: Vec<LimitsAction>,
    ) -> Result<()> {
        for LimitsAction::Send { to, message } in actions {
            if self.lossy && u.ratio(1, 20)? {
                continue;
            }
            let key = (now + u.int_in_range(1..=40)?, self.next_message);
            self.next_message += 1;
            self.messages.insert(key, (HostId(from), to, message));
        }
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>, now: u64) -> Result<()> {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= now
        {
            let (from, to, message) = entry.remove();
            let actions = self.hosts[to.0 as usize].handle(at(now), from, message);
            self.send(u, now, to.0, actions)?;
        }
        if now.is_multiple_of(100) {
            for id in 0..HOSTS {
                let actions = self.hosts[id as usize].tick(at(now));
                self.send(u, now, id, actions)?;
            }
        }
        Ok(())
    }

    fn request(&mut self, now: u64, to: usize) {
        let decision = self.hosts[to].check(at(now), &organisation(1));
        self.admitted += u64::from(decision == LimitDecision::Admitted);
    }
}

/// Offers four times the limit to hosts whose number changes every second.
///
/// Returns the number of admitted requests.
fn admitted_under_overload(u: &mut Unstructured<'_>) -> Result<u64> {
    let mut fleet = Fleet::new(true);
    let mut active_hosts = HOSTS as usize;
    for now in (0..SECONDS * 1_000).step_by(STEP_MS as usize) {
        if now.is_multiple_of(1_000) {
            active_hosts = u.int_in_range(1..=HOSTS as usize)?;
        }
        fleet.step(u, now)?;
        for i in 0..4 * u64::from(REQUESTS_PER_SECOND) * STEP_MS / 1_000 {
            fleet.request(now, (now / STEP_MS + i * 5) as usize % active_hosts);
        }
    }
    Ok(fleet.admitted)
}

#[test]
fn the_limit_is_not_exceeded_by_more_than_the_documented_error() {
    // Each host starts with a quarter of the burst. After that, the shares add up to the limit,
    // except while demand changes faster than it is reported.
    let max_admitted =
        u64::from(REQUESTS_PER_SECOND) * SECONDS * 5 / 4 + u64::from(BURST) * u64::from(HOSTS) / 4;
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let admitted = admitted_under_overload(u)?;
            assert!(admitted <= max_admitted, "{admitted} of at most {max_admitted}");
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn a_steady_organisation_within_its_limit_is_never_refused() {
    for active_hosts in [1, 4, 12] {
        let mut fleet = Fleet::new(false);
        let mut u = Unstructured::new(&[]);
        let mut offered = 0;
        for now in (0..SECONDS * 1_000).step_by(STEP_MS as usize) {
            fleet.step(&mut u, now).unwrap();
            if !now.is_multiple_of(100) {
                fleet.request(now, (now / STEP_MS) as usize % active_hosts);
                offered += 1;
            }
        }
        assert_eq!(fleet.admitted, offered, "{active_hosts} hosts");
    }
}

fn report(demand_milli: u64) -> LimitsMessage {
    let usage = OrganisationUsage { organisation: organisation(1), demand_milli };
    LimitsMessage::Usage(UsageReport { organisations: vec![usage] })
}

#[test]
fn shares_add_up_to_the_whole_limit_under_overload() {
    let mut coordinator = host(HostId(0));
    let mut granted = 0;

    for round in 0..2 {
        granted = 0;
        for number in 1..HOSTS {
            let demand = report(u64::from(number) * 10_000);
            let actions = coordinator.handle(at(round * 1_000), HostId(number), demand);
            let [LimitsAction::Send { to, message: LimitsMessage::Shares(shares) }] = &actions[..]
            else {
                panic!("{actions:?}")
            };
            assert_eq!(*to, HostId(number));
            granted += shares.organisations[0].share_ppm;
        }
    }

    assert!((999_900..=1_000_000).contains(&granted), "{granted}");
}

#[test]
fn organisations_without_requests_cause_no_messages() {
    let mut limits = host(HostId(0));
    limits.check(at(0), &organisation(1));
    let mut sent = 0;

    for now in (0..120_000).step_by(100) {
        sent += limits.tick(at(now)).len();
    }
    let late: usize = (120_000..180_000).step_by(100).map(|now| limits.tick(at(now)).len()).sum();

    assert!(sent <= 4, "{sent}");
    assert_eq!(late, 0);
}

#[test]
fn excessive_demands_get_no_more_than_the_whole_limit() {
    let mut coordinator = host(HostId(0));

    for number in 1..HOSTS {
        for demand in [u64::MAX, 0] {
            let actions = coordinator.handle(at(0), HostId(number), report(demand));
            let [LimitsAction::Send { message: LimitsMessage::Shares(shares), .. }] = &actions[..]
            else {
                panic!("{actions:?}")
            };
            assert!(shares.organisations[0].share_ppm <= 1_000_000);
        }
        coordinator.handle(at(0), HostId(number), report(u64::MAX));
    }
}
