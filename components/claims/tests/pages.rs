//! Copies and hand-overs that take more than one message.

mod fleet;

use claims::{ClaimKey, Decision};
use fleet::{Fleet, answer, payload};
use ids::{HostId, KeyDigest};
use schema::claims::ClaimsMessage;

/// More records than fit into one page.
const KEYS: u32 = 1_200;

/// Longer than a copy or a hand-over takes without faults.
const SETTLE_MILLIS: u64 = 500;

/// Longer than the delay between two attempts to store an outcome.
const RETRY_MILLIS: u64 = 3_000;

/// More than the retries that follow once a majority has stored an outcome.
const RETRIES: usize = 8;

struct Scenario {
    fleet: Fleet,
    replicas: Vec<HostId>,
    entry: HostId,
    /// The key whose record comes last in a copy.
    last: ClaimKey,
}

/// Returns a shard with many finished keys, of which the first `empty_replicas` have no records.
fn scenario(empty_replicas: usize) -> Scenario {
    let mut fleet = Fleet::new(4);
    fleet.shrink_map();
    let ticket = fleet.key(0).ticket;
    let key = |number: u32| ClaimKey {
        digest: KeyDigest::of(&number.to_be_bytes()),
        ticket: ticket.clone(),
    };
    let last = (0..KEYS).map(key).max_by_key(|it| it.digest).unwrap();
    let (replicas, entry) = fleet.replicas_and_other_host(&last);
    for number in 0..KEYS {
        let request = fleet.begin(entry, &key(number), payload(1));
        let drop_messages = |fleet: &mut Fleet| {
            replicas.iter().take(empty_replicas).for_each(|it| drop(fleet.intercept(entry, *it)));
        };
        drop_messages(&mut fleet);
        fleet.deliver_all();
        fleet.finish(entry, request, answer("booked"));
        drop_messages(&mut fleet);
        fleet.deliver_all();
    }
    // The retries to store the outcomes are lost.
    for _ in 0..RETRIES {
        fleet.advance(RETRY_MILLIS);
        fleet.in_flight.clear();
    }
    Scenario { fleet, replicas, entry, last }
}

impl Scenario {
    /// Sends the last key again and returns the decision.
    fn resend(&mut self) -> Option<Decision> {
        let request = self.fleet.begin(self.entry, &self.last.clone(), payload(1));
        self.fleet.run(SETTLE_MILLIS);
        self.fleet.decision(request).cloned()
    }
}

#[test]
fn a_shard_of_several_pages_survives_a_rolling_restart() {
    let mut scenario = scenario(0);

    for host in scenario.replicas.clone() {
        scenario.fleet.restart(host);
        scenario.fleet.run(SETTLE_MILLIS);
    }

    assert_eq!(scenario.resend(), Some(Decision::Finished(answer("booked"))));
}

#[test]
fn a_hand_over_counts_once_its_last_page_is_stored() {
    let mut scenario = scenario(1);
    let [empty, stopping, restarting] = scenario.replicas[..] else { panic!("three replicas") };

    // Only the first page reaches the replica that has no records.
    scenario.fleet.drain(stopping);
    scenario.fleet.intercept(stopping, restarting);
    let number = scenario.fleet.map.shard_of(&scenario.last).unwrap();
    let is_first_page = |it: &fleet::Envelope| {
        matches!(
            &it.message,
            ClaimsMessage::HandOver(page) if page.shard == number.0 && !page.last
        )
    };
    let index = scenario.fleet.in_flight.iter().position(|it| it.to == empty && is_first_page(it));
    scenario.fleet.deliver(index.unwrap());
    scenario.fleet.in_flight.clear();
    scenario.fleet.stop(stopping);
    scenario.fleet.restart(restarting);
    scenario.fleet.run(SETTLE_MILLIS);

    assert_ne!(scenario.resend(), Some(Decision::Granted));
}

#[test]
fn a_complete_hand_over_counts_for_the_replica_that_stopped() {
    let mut scenario = scenario(1);
    let [_, stopping, restarting] = scenario.replicas[..] else { panic!("three replicas") };

    scenario.fleet.drain(stopping);
    scenario.fleet.run(SETTLE_MILLIS);
    scenario.fleet.stop(stopping);
    scenario.fleet.restart(restarting);
    scenario.fleet.run(SETTLE_MILLIS);

    assert_eq!(scenario.resend(), Some(Decision::Finished(answer("booked"))));
}
