//! Schedules in which single late or lost messages could let a key be granted twice.

mod fleet;

use claims::{ClaimKey, Decision};
use fleet::{Fleet, payload};
use ids::HostId;

/// Longer than the backoff after a split vote.
const BACKOFF_MILLIS: u64 = 20;

/// Longer than a claimant waits for replies before it asks again.
const RETRY_MILLIS: u64 = 60;

struct Scenario {
    fleet: Fleet,
    key: ClaimKey,
    replicas: Vec<HostId>,
    /// Two entry hosts that are not replicas of the key.
    entries: [HostId; 2],
}

fn scenario() -> Scenario {
    let mut fleet = Fleet::new(5);
    fleet.shrink_map();
    let key = fleet.key(1);
    let replicas = fleet.map.replicas_of(&key);
    let others: Vec<_> = fleet.nodes.keys().copied().filter(|it| !replicas.contains(it)).collect();
    Scenario { fleet, key, replicas, entries: [others[0], others[1]] }
}

impl Scenario {
    fn deliver_messages(&mut self, from: HostId, to: HostId) {
        for envelope in self.fleet.intercept(from, to) {
            self.fleet.deliver_envelope(envelope);
        }
    }

    /// Delivers the messages of a host to a replica, and those in return.
    fn exchange(&mut self, host: HostId, replica: HostId) {
        self.deliver_messages(host, replica);
        self.deliver_messages(replica, host);
    }
}

#[test]
fn a_late_release_does_not_end_a_later_round() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let [first, second] = scenario.entries;
    let [a, b, c] = [scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]];
    let at_b = scenario.fleet.begin(second, &key, payload(1));
    scenario.exchange(second, b);
    let at_c = scenario.fleet.begin(c, &key, payload(1));
    scenario.fleet.in_flight.clear();

    // The vote splits; the release of the first round is delayed on its way to one replica.
    let winner = scenario.fleet.begin(first, &key, payload(1));
    [a, b, c].into_iter().for_each(|it| scenario.exchange(first, it));
    let late = scenario.fleet.intercept(first, a);
    scenario.fleet.release(second, at_b);
    scenario.fleet.release(c, at_c);
    scenario.fleet.deliver_all();
    scenario.fleet.advance(BACKOFF_MILLIS);
    scenario.fleet.intercept(first, c);
    scenario.fleet.deliver_all();
    late.into_iter().for_each(|it| scenario.fleet.deliver_envelope(it));
    let rival = scenario.fleet.begin(second, &key, payload(1));
    scenario.fleet.intercept(second, b);
    scenario.fleet.deliver_all();

    assert_eq!(scenario.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scenario.fleet.decision(rival), Some(&Decision::Granted));
}

#[test]
fn a_copy_that_finds_two_claimants_grants_the_key_to_neither() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let [first, second] = scenario.entries;
    let [a, b, c] = [scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]];
    let rival = scenario.fleet.begin(second, &key, payload(1));
    scenario.exchange(second, c);
    let winner = scenario.fleet.begin(first, &key, payload(1));
    scenario.exchange(first, a);
    scenario.exchange(first, b);
    scenario.fleet.in_flight.clear();

    // The first replica loses the winner's record, and copies the rival's before the winner's.
    scenario.fleet.restart(a);
    scenario.exchange(a, c);
    scenario.exchange(a, b);
    let number = scenario.fleet.map.shard_of(&key).unwrap();
    let abstaining = scenario.fleet.nodes[&a].status().abstaining;
    scenario.fleet.advance(RETRY_MILLIS);
    scenario.exchange(second, a);

    assert!(!abstaining.contains(&number));
    assert_eq!(scenario.fleet.decision(winner), Some(&Decision::Granted));
    assert_eq!(scenario.fleet.decision(rival), None);
}

#[test]
fn a_grant_of_an_earlier_round_does_not_count() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let [first, second] = scenario.entries;
    let [a, b, c] = [scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]];
    let at_b = scenario.fleet.begin(second, &key, payload(1));
    scenario.exchange(second, b);
    let at_c = scenario.fleet.begin(c, &key, payload(1));
    scenario.fleet.in_flight.clear();

    // The vote splits; the first grant arrives again in the next round.
    let loser = scenario.fleet.begin(first, &key, payload(1));
    scenario.deliver_messages(first, a);
    let grant = scenario.fleet.in_flight.last().cloned().unwrap();
    scenario.deliver_messages(a, first);
    scenario.exchange(first, b);
    scenario.exchange(first, c);
    scenario.fleet.release(second, at_b);
    scenario.fleet.release(c, at_c);
    scenario.fleet.deliver_all();
    let rival = scenario.fleet.begin(second, &key, payload(1));
    scenario.exchange(second, a);
    scenario.exchange(second, c);
    scenario.fleet.in_flight.clear();
    scenario.fleet.advance(BACKOFF_MILLIS);
    scenario.fleet.deliver_envelope(grant);
    scenario.exchange(first, b);

    assert_eq!(scenario.fleet.decision(rival), Some(&Decision::Granted));
    assert_ne!(scenario.fleet.decision(loser), Some(&Decision::Granted));
}

#[test]
fn a_hand_over_counts_for_its_replica_only_until_the_replica_restarts() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let [first, second] = scenario.entries;
    let [a, b, c] = [scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]];
    scenario.fleet.drain(a);
    scenario.fleet.run(RETRY_MILLIS);
    scenario.fleet.restart(a);
    scenario.fleet.run(RETRY_MILLIS);

    // The restarted replica and another one grant the key; then that other one restarts and can
    // copy only from the third one.
    let winner = scenario.fleet.begin(first, &key, payload(1));
    scenario.fleet.intercept(first, b);
    scenario.fleet.deliver_all();
    scenario.fleet.restart(c);
    scenario.fleet.intercept(c, a);
    scenario.fleet.deliver_all();
    let rival = scenario.fleet.begin(second, &key, payload(1));
    scenario.fleet.intercept(second, a);
    scenario.fleet.deliver_all();

    assert_eq!(scenario.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scenario.fleet.decision(rival), Some(&Decision::Granted));
}

#[test]
fn a_copy_keeps_the_incarnations_that_its_sources_know() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let [first, second] = scenario.entries;
    let [a, b, c] = [scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]];
    let late = scenario.fleet.begin(first, &key, payload(1));
    scenario.deliver_messages(first, a);
    let grant = scenario.fleet.intercept(a, first);
    let claim = scenario.fleet.intercept(first, b);
    scenario.fleet.in_flight.clear();

    // Each replica restarts, the second one while the third one is drained, so that it copies only
    // the first one, which has the third one's records.
    scenario.fleet.restart(a);
    scenario.fleet.deliver_all();
    scenario.fleet.drain(c);
    scenario.fleet.deliver_all();
    scenario.fleet.restart(b);
    scenario.fleet.deliver_all();
    scenario.fleet.restart(c);
    scenario.fleet.deliver_all();
    let winner = scenario.fleet.begin(second, &key, payload(1));
    scenario.fleet.intercept(second, b);
    scenario.fleet.deliver_all();
    grant.into_iter().chain(claim).for_each(|it| scenario.fleet.deliver_envelope(it));
    scenario.fleet.deliver_all();

    assert_eq!(scenario.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scenario.fleet.decision(late), Some(&Decision::Granted));
}
