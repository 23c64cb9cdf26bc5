//! Restarts, hand-overs and changes of the claim map, one at a time.

mod fleet;

use claims::{ClaimKey, ClaimMap, Decision, MAX_CLOCK_SKEW};
use fleet::{Fleet, answer, payload};
use ids::{Epoch, HostId, RequestId};
use schema::claims::{ClaimsMessage, PreviousReplicas};

/// Longer than a copy, a hand-over or the storing of an outcome takes without faults.
const SETTLE_MILLIS: u64 = 500;

fn small_fleet(hosts: u32) -> Fleet {
    let mut fleet = Fleet::new(hosts);
    fleet.shrink_map();
    fleet
}

/// Claims a key, stores its outcome and returns it.
fn finished_key(fleet: &mut Fleet) -> ClaimKey {
    let key = fleet.key(1);
    let request = fleet.begin(HostId(1), &key, payload(1));
    fleet.deliver_all();
    fleet.finish(HostId(1), request, answer("booked"));
    fleet.run(SETTLE_MILLIS);
    key
}

/// Sends a key again from `host` and returns the decision.
fn resend(fleet: &mut Fleet, host: HostId, key: &ClaimKey) -> Option<Decision> {
    let request: RequestId = fleet.begin(host, key, payload(1));
    fleet.run(SETTLE_MILLIS);
    fleet.decision(request).cloned()
}

fn finished_decision() -> Option<Decision> {
    Some(Decision::Finished(answer("booked")))
}

/// Installs a map on all hosts and waits for the copies.
fn install_everywhere(fleet: &mut Fleet, map: ClaimMap) {
    fleet.map = map;
    let hosts: Vec<_> = fleet.nodes.keys().copied().collect();
    hosts.into_iter().for_each(|it| fleet.install_map(it));
    fleet.run(SETTLE_MILLIS);
}

#[test]
fn a_restarted_replica_abstains_until_it_has_copied_all_others() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other_host(&key);

    fleet.restart(replicas[0]);
    let abstaining_before = fleet.nodes[&replicas[0]].status().abstaining.len();
    fleet.run(SETTLE_MILLIS);
    let abstaining_after = fleet.nodes[&replicas[0]].status().abstaining.len();

    assert!(abstaining_before > 0);
    assert_eq!(abstaining_after, 0);
    assert_eq!(resend(&mut fleet, other, &key), finished_decision());
}

#[test]
fn a_rolling_restart_of_the_replicas_keeps_the_answer() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    for round in 0..2 {
        for host in 1..=4 {
            fleet.restart(HostId(host));
            fleet.run(SETTLE_MILLIS);
        }
        assert_eq!(resend(&mut fleet, HostId(round + 1), &key), finished_decision());
    }
}

#[test]
fn two_replicas_that_restart_at_once_grant_nothing_in_their_epoch() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other_host(&key);

    fleet.restart(replicas[0]);
    fleet.restart(replicas[1]);
    fleet.run(SETTLE_MILLIS);
    let new_key = fleet.key(2);

    assert!(!matches!(resend(&mut fleet, other, &new_key), Some(Decision::Granted)));
    assert_eq!(resend(&mut fleet, other, &key), finished_decision());
}

#[test]
fn a_reopened_shard_answers_unknown_for_older_keys_and_grants_newer_ones() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other_host(&key);
    replicas.iter().for_each(|it| fleet.restart(*it));
    fleet.run(SETTLE_MILLIS);
    let lost = fleet.map.lost_shards(&fleet.reports());
    let number = fleet.map.shard_of(&key).unwrap();

    let epoch = fleet.map.epoch().next();
    let map = fleet.map.reopen(epoch, &fleet.live_hosts(), &lost, fleet.wall());
    install_everywhere(&mut fleet, map);
    let new_key = fleet.key(2);

    assert!(lost.contains(&number));
    assert_eq!(resend(&mut fleet, other, &key), Some(Decision::Unknown));
    assert_eq!(resend(&mut fleet, other, &new_key), Some(Decision::Granted));
}

#[test]
fn new_replicas_copy_the_shard_before_they_grant() {
    let mut fleet = small_fleet(5);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other_host(&key);
    fleet.stop(replicas[0]);

    let map = ClaimMap::build(fleet.map.epoch().next(), &fleet.live_hosts(), Some(&fleet.map));
    install_everywhere(&mut fleet, map);
    let new_replicas = fleet.map.replicas_of(&key);
    fleet.stop(replicas[1]);

    assert!(!new_replicas.contains(&replicas[0]));
    assert_eq!(resend(&mut fleet, other, &key), finished_decision());
}

#[test]
fn a_settled_shard_can_change_replicas_again() {
    let mut fleet = small_fleet(6);
    let key = finished_key(&mut fleet);
    let number = fleet.map.shard_of(&key).unwrap();
    for _ in 0..2 {
        let replicas = fleet.map.replicas_of(&key);
        replace_replica(&mut fleet, replicas[0]);
    }
    let host = *fleet.nodes.keys().next().unwrap();

    assert_eq!(fleet.map.shard(number).unwrap().previous, PreviousReplicas::None);
    assert_eq!(resend(&mut fleet, host, &key), finished_decision());
}

/// Stops a host, replaces it in the map and settles the copied shards.
fn replace_replica(fleet: &mut Fleet, host: HostId) {
    fleet.stop(host);
    let map = ClaimMap::build(fleet.map.epoch().next(), &fleet.live_hosts(), Some(&fleet.map));
    install_everywhere(fleet, map);
    let copied = fleet.map.copied_shards(&fleet.reports());
    let settled = fleet.map.settle(fleet.map.epoch().next(), &copied);
    install_everywhere(fleet, settled);
}

#[test]
fn replicas_with_slower_clocks_refuse_what_those_before_them_forgot() {
    const SKEW_MILLIS: u64 = 5_000;
    let mut fleet = small_fleet(6);
    let key = finished_key(&mut fleet);
    let replicas = fleet.map.replicas_of(&key);
    fleet.clock_skew.extend(replicas.iter().map(|it| (*it, SKEW_MILLIS)));
    fleet.advance(fleet.settings.retention.0 - SKEW_MILLIS);

    replace_replica(&mut fleet, replicas[0]);
    replace_replica(&mut fleet, replicas[1]);
    let slow_replica = fleet.map.replicas_of(&key).into_iter().find(|it| !replicas.contains(it));

    assert_eq!(resend(&mut fleet, slow_replica.unwrap(), &key), Some(Decision::Expired));
}

#[test]
fn a_replica_with_a_skewed_clock_is_not_copied() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other_host(&key);
    let number = fleet.map.shard_of(&key).unwrap();

    fleet.clock_skew.insert(replicas[1], 2 * MAX_CLOCK_SKEW.0);
    fleet.restart(replicas[0]);
    fleet.run(SETTLE_MILLIS);
    let abstaining_while_skewed = fleet.nodes[&replicas[0]].status().abstaining;
    fleet.clock_skew.clear();
    fleet.run(SETTLE_MILLIS);
    let abstaining_after = fleet.nodes[&replicas[0]].status().abstaining;

    assert!(abstaining_while_skewed.contains(&number));
    assert!(!abstaining_after.contains(&number));
    assert_eq!(resend(&mut fleet, other, &key), finished_decision());
}

#[test]
fn after_a_hand_over_another_replica_can_restart_without_loss() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other_host(&key);

    fleet.drain(replicas[0]);
    fleet.run(SETTLE_MILLIS);
    let drained = fleet.nodes[&replicas[0]].is_drained();
    fleet.stop(replicas[0]);
    fleet.restart(replicas[1]);
    fleet.run(SETTLE_MILLIS);
    let new_key = fleet.key(2);

    assert!(drained);
    assert_eq!(resend(&mut fleet, other, &key), finished_decision());
    assert_eq!(resend(&mut fleet, other, &new_key), Some(Decision::Granted));
}

#[test]
fn a_drained_replica_grants_nothing() {
    let mut fleet = small_fleet(1);
    let key = fleet.key(1);

    fleet.drain(HostId(1));
    let decision = resend(&mut fleet, HostId(1), &key);

    assert!(!matches!(decision, Some(Decision::Granted)));
}

#[test]
fn a_grant_of_an_earlier_start_does_not_count_with_a_later_grant() {
    let mut fleet = small_fleet(4);
    let key = fleet.key(1);
    let (replicas, other) = fleet.replicas_and_other_host(&key);

    // The first replica grants the key, then restarts and copies the others, which have not
    // received the claim yet.
    let late = fleet.begin(other, &key, payload(1));
    let mut claim_messages = std::mem::take(&mut fleet.in_flight);
    fleet.deliver_envelope(claim_messages.remove(0));
    let grant = fleet.in_flight.pop().unwrap();
    fleet.restart(replicas[0]);
    fleet.run(20);
    let rival = fleet.begin(replicas[2], &key, payload(1));
    let rival_claim = fleet
        .in_flight
        .iter()
        .position(|it| it.to == replicas[0] && matches!(it.message, ClaimsMessage::Claim(_)));
    fleet.deliver(rival_claim.unwrap());
    let reply = fleet.in_flight.pop().unwrap();
    fleet.in_flight.clear();
    fleet.deliver_envelope(reply);
    fleet.deliver_envelope(grant);
    fleet.deliver_envelope(claim_messages.remove(0));
    fleet.deliver_all();

    assert_eq!(fleet.decision(rival), Some(&Decision::Granted));
    assert_ne!(fleet.decision(late), Some(&Decision::Granted));
}

#[test]
fn an_older_map_is_ignored() {
    let mut fleet = small_fleet(3);
    let newest = fleet.map.epoch();
    fleet.map = ClaimMap::build(Epoch(1), &[], None);

    fleet.install_map(HostId(1));

    assert_eq!(fleet.nodes[&HostId(1)].map().epoch(), newest);
}
