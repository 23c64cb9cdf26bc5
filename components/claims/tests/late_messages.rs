//! Single messages that come late or not at all, where that is dangerous.

mod fleet;

use claims::{ClaimKey, Decision};
use fleet::{Fleet, payload};
use ids::HostId;

/// Longer than the pause after a split vote.
const BACKOFF_MILLIS: u64 = 20;

/// How long a claimant waits for replies before it asks again.
const RETRY_MILLIS: u64 = 60;

struct Scene {
    fleet: Fleet,
    key: ClaimKey,
    replicas: Vec<HostId>,
    /// Two entry hosts that are no replicas.
    entries: [HostId; 2],
}

fn scene() -> Scene {
    let mut fleet = Fleet::new(5);
    fleet.shrink_map();
    let key = fleet.key(1);
    let replicas = fleet.map.replicas_of(&key);
    let others: Vec<_> = fleet.nodes.keys().copied().filter(|it| !replicas.contains(it)).collect();
    Scene { fleet, key, replicas, entries: [others[0], others[1]] }
}

impl Scene {
    fn deliver_to(&mut self, from: HostId, to: HostId) {
        for envelope in self.fleet.hold_back(from, to) {
            self.fleet.hand_in(envelope);
        }
    }

    /// Delivers a claim of an entry host to a replica, and the reply.
    fn ask(&mut self, entry: HostId, replica: HostId) {
        self.deliver_to(entry, replica);
        self.deliver_to(replica, entry);
    }
}

#[test]
fn a_late_release_does_not_end_a_later_round() {
    let mut scene = scene();
    let key = scene.key.clone();
    let [first, second] = scene.entries;
    let [a, b, c] = [scene.replicas[0], scene.replicas[1], scene.replicas[2]];
    let at_b = scene.fleet.begin(second, &key, payload(1));
    scene.ask(second, b);
    let at_c = scene.fleet.begin(c, &key, payload(1));
    scene.fleet.in_flight.clear();

    // The vote splits; the release of the first round is late at one replica.
    let winner = scene.fleet.begin(first, &key, payload(1));
    [a, b, c].into_iter().for_each(|it| scene.ask(first, it));
    let late = scene.fleet.hold_back(first, a);
    scene.fleet.release(second, at_b);
    scene.fleet.release(c, at_c);
    scene.fleet.settle();
    scene.fleet.advance(BACKOFF_MILLIS);
    scene.fleet.hold_back(first, c);
    scene.fleet.settle();
    late.into_iter().for_each(|it| scene.fleet.hand_in(it));
    let rival = scene.fleet.begin(second, &key, payload(1));
    scene.fleet.hold_back(second, b);
    scene.fleet.settle();

    assert_eq!(scene.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scene.fleet.decision(rival), Some(&Decision::Granted));
}

#[test]
fn a_copy_that_finds_two_claimants_grants_the_key_to_neither() {
    let mut scene = scene();
    let key = scene.key.clone();
    let [first, second] = scene.entries;
    let [a, b, c] = [scene.replicas[0], scene.replicas[1], scene.replicas[2]];
    let rival = scene.fleet.begin(second, &key, payload(1));
    scene.ask(second, c);
    let winner = scene.fleet.begin(first, &key, payload(1));
    scene.ask(first, a);
    scene.ask(first, b);
    scene.fleet.in_flight.clear();

    // The first replica forgets the winner, and copies the rival's record before the winner's.
    scene.fleet.restart(a);
    scene.ask(a, c);
    scene.ask(a, b);
    let number = scene.fleet.map.shard_of(&key).unwrap();
    let abstaining = scene.fleet.nodes[&a].status().abstaining;
    scene.fleet.advance(RETRY_MILLIS);
    scene.ask(second, a);

    assert!(!abstaining.contains(&number));
    assert_eq!(scene.fleet.decision(winner), Some(&Decision::Granted));
    assert_eq!(scene.fleet.decision(rival), None);
}

#[test]
fn a_grant_of_an_earlier_round_does_not_count() {
    let mut scene = scene();
    let key = scene.key.clone();
    let [first, second] = scene.entries;
    let [a, b, c] = [scene.replicas[0], scene.replicas[1], scene.replicas[2]];
    let at_b = scene.fleet.begin(second, &key, payload(1));
    scene.ask(second, b);
    let at_c = scene.fleet.begin(c, &key, payload(1));
    scene.fleet.in_flight.clear();

    // The vote splits; the first grant arrives once more in the next round.
    let loser = scene.fleet.begin(first, &key, payload(1));
    scene.deliver_to(first, a);
    let grant = scene.fleet.in_flight.last().cloned().unwrap();
    scene.deliver_to(a, first);
    scene.ask(first, b);
    scene.ask(first, c);
    scene.fleet.release(second, at_b);
    scene.fleet.release(c, at_c);
    scene.fleet.settle();
    let rival = scene.fleet.begin(second, &key, payload(1));
    scene.ask(second, a);
    scene.ask(second, c);
    scene.fleet.in_flight.clear();
    scene.fleet.advance(BACKOFF_MILLIS);
    scene.fleet.hand_in(grant);
    scene.ask(first, b);

    assert_eq!(scene.fleet.decision(rival), Some(&Decision::Granted));
    assert_ne!(scene.fleet.decision(loser), Some(&Decision::Granted));
}

#[test]
fn a_hand_over_stands_for_its_replica_only_until_it_returns() {
    let mut scene = scene();
    let key = scene.key.clone();
    let [first, second] = scene.entries;
    let [a, b, c] = [scene.replicas[0], scene.replicas[1], scene.replicas[2]];
    scene.fleet.drain(a);
    scene.fleet.run(RETRY_MILLIS);
    scene.fleet.restart(a);
    scene.fleet.run(RETRY_MILLIS);

    // The returned replica and another one grant the key; that other one restarts and hears
    // only of the third one.
    let winner = scene.fleet.begin(first, &key, payload(1));
    scene.fleet.hold_back(first, b);
    scene.fleet.settle();
    scene.fleet.restart(c);
    scene.fleet.hold_back(c, a);
    scene.fleet.settle();
    let rival = scene.fleet.begin(second, &key, payload(1));
    scene.fleet.hold_back(second, a);
    scene.fleet.settle();

    assert_eq!(scene.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scene.fleet.decision(rival), Some(&Decision::Granted));
}

#[test]
fn a_copy_remembers_the_starts_of_the_replicas_it_was_made_from() {
    let mut scene = scene();
    let key = scene.key.clone();
    let [first, second] = scene.entries;
    let [a, b, c] = [scene.replicas[0], scene.replicas[1], scene.replicas[2]];
    let late = scene.fleet.begin(first, &key, payload(1));
    scene.deliver_to(first, a);
    let grant = scene.fleet.hold_back(a, first);
    let claim = scene.fleet.hold_back(first, b);
    scene.fleet.in_flight.clear();

    // Each replica restarts, the second one while the third one's records stand in for it.
    scene.fleet.restart(a);
    scene.fleet.settle();
    scene.fleet.drain(c);
    scene.fleet.settle();
    scene.fleet.restart(b);
    scene.fleet.settle();
    scene.fleet.restart(c);
    scene.fleet.settle();
    let winner = scene.fleet.begin(second, &key, payload(1));
    scene.fleet.hold_back(second, b);
    scene.fleet.settle();
    grant.into_iter().chain(claim).for_each(|it| scene.fleet.hand_in(it));
    scene.fleet.settle();

    assert_eq!(scene.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scene.fleet.decision(late), Some(&Decision::Granted));
}
