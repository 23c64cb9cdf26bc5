//! Copies and hand-overs that take more than one message.

mod fleet;

use claims::{ClaimKey, Decision};
use fleet::{Fleet, answer, payload};
use ids::{HostId, KeyDigest};
use schema::claims::ClaimsMessage;

/// More than the records of one page.
const KEYS: u32 = 1_200;

/// Longer than a copy or a hand-over takes without faults.
const QUIET_MILLIS: u64 = 500;

/// Longer than the pause between two tries to store an outcome.
const RETRY_MILLIS: u64 = 3_000;

/// More than the tries that follow once a majority has stored an outcome.
const RETRIES: usize = 8;

struct Scene {
    fleet: Fleet,
    replicas: Vec<HostId>,
    entry: HostId,
    /// The key whose record comes last in a copy.
    last: ClaimKey,
}

/// A shard with many finished keys, which `unaware` replicas have not heard of.
fn scene(unaware: usize) -> Scene {
    let mut fleet = Fleet::new(4);
    fleet.shrink_map();
    let ticket = fleet.key(0).ticket;
    let key = |number: u32| ClaimKey {
        digest: KeyDigest::of(&number.to_be_bytes()),
        ticket: ticket.clone(),
    };
    let last = (0..KEYS).map(key).max_by_key(|it| it.digest).unwrap();
    let (replicas, entry) = fleet.replicas_and_other(&last);
    for number in 0..KEYS {
        let request = fleet.begin(entry, &key(number), payload(1));
        let deaf = |fleet: &mut Fleet| {
            replicas.iter().take(unaware).for_each(|it| drop(fleet.hold_back(entry, *it)));
        };
        deaf(&mut fleet);
        fleet.settle();
        fleet.finish(entry, request, answer("booked"));
        deaf(&mut fleet);
        fleet.settle();
    }
    // The further tries to store the outcomes are lost.
    for _ in 0..RETRIES {
        fleet.advance(RETRY_MILLIS);
        fleet.in_flight.clear();
    }
    Scene { fleet, replicas, entry, last }
}

impl Scene {
    fn resend(&mut self) -> Option<Decision> {
        let request = self.fleet.begin(self.entry, &self.last.clone(), payload(1));
        self.fleet.run(QUIET_MILLIS);
        self.fleet.decision(request).cloned()
    }
}

#[test]
fn a_large_shard_survives_restarts_one_after_another() {
    let mut scene = scene(0);

    for host in scene.replicas.clone() {
        scene.fleet.restart(host);
        scene.fleet.run(QUIET_MILLIS);
    }

    assert_eq!(scene.resend(), Some(Decision::Finished(answer("booked"))));
}

#[test]
fn a_hand_over_counts_once_its_last_page_is_stored() {
    let mut scene = scene(1);
    let [unaware, stops, restarts] = scene.replicas[..] else { panic!("three replicas") };

    // Only the first page reaches the replica that knows nothing.
    scene.fleet.drain(stops);
    scene.fleet.hold_back(stops, restarts);
    let number = scene.fleet.map.shard_of(&scene.last).unwrap();
    let is_page = |it: &fleet::Envelope| matches!(&it.message, ClaimsMessage::HandOver(page) if page.shard == number.0 && !page.last);
    let page = scene.fleet.in_flight.iter().position(|it| it.to == unaware && is_page(it));
    scene.fleet.deliver(page.unwrap());
    scene.fleet.in_flight.clear();
    scene.fleet.stop(stops);
    scene.fleet.restart(restarts);
    scene.fleet.run(QUIET_MILLIS);

    assert_ne!(scene.resend(), Some(Decision::Granted));
}

#[test]
fn a_whole_hand_over_stands_for_the_replica_that_stopped() {
    let mut scene = scene(1);
    let [_, stops, restarts] = scene.replicas[..] else { panic!("three replicas") };

    scene.fleet.drain(stops);
    scene.fleet.run(QUIET_MILLIS);
    scene.fleet.stop(stops);
    scene.fleet.restart(restarts);
    scene.fleet.run(QUIET_MILLIS);

    assert_eq!(scene.resend(), Some(Decision::Finished(answer("booked"))));
}
