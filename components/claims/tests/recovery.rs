//! Restarts, hand-overs and changes of the claim map, one at a time.

mod fleet;

use claims::{ClaimKey, ClaimMap, Decision, MAX_CLOCK_SKEW};
use fleet::{Fleet, answer, payload};
use ids::{Epoch, HostId, RequestId};
use schema::claims::{ClaimsMessage, PreviousReplicas};

/// Longer than a copy, a hand-over or a stored outcome takes without faults.
const QUIET_MILLIS: u64 = 500;

fn small_fleet(hosts: u32) -> Fleet {
    let mut fleet = Fleet::new(hosts);
    fleet.shrink_map();
    fleet
}

fn finished_key(fleet: &mut Fleet) -> ClaimKey {
    let key = fleet.key(1);
    let request = fleet.begin(HostId(1), &key, payload(1));
    fleet.settle();
    fleet.finish(HostId(1), request, answer("booked"));
    fleet.run(QUIET_MILLIS);
    key
}

fn resend(fleet: &mut Fleet, host: HostId, key: &ClaimKey) -> Option<Decision> {
    let request: RequestId = fleet.begin(host, key, payload(1));
    fleet.run(QUIET_MILLIS);
    fleet.decision(request).cloned()
}

fn booked() -> Option<Decision> {
    Some(Decision::Finished(answer("booked")))
}

fn install_everywhere(fleet: &mut Fleet, map: ClaimMap) {
    fleet.map = map;
    let hosts: Vec<_> = fleet.nodes.keys().copied().collect();
    hosts.into_iter().for_each(|it| fleet.install_map(it));
    fleet.run(QUIET_MILLIS);
}

#[test]
fn a_restarted_replica_abstains_until_it_has_copied_all_others() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other(&key);

    fleet.restart(replicas[0]);
    let before = fleet.nodes[&replicas[0]].status().abstaining.len();
    fleet.run(QUIET_MILLIS);
    let after = fleet.nodes[&replicas[0]].status().abstaining.len();

    assert!(before > 0);
    assert_eq!(after, 0);
    assert_eq!(resend(&mut fleet, other, &key), booked());
}

#[test]
fn replicas_that_restart_one_after_another_keep_the_answer() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    for round in 0..2 {
        for host in 1..=4 {
            fleet.restart(HostId(host));
            fleet.run(QUIET_MILLIS);
        }
        assert_eq!(resend(&mut fleet, HostId(round + 1), &key), booked());
    }
}

#[test]
fn two_replicas_that_restart_at_once_never_grant_again_in_their_epoch() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other(&key);

    fleet.restart(replicas[0]);
    fleet.restart(replicas[1]);
    fleet.run(QUIET_MILLIS);
    let fresh = fleet.key(2);

    assert!(!matches!(resend(&mut fleet, other, &fresh), Some(Decision::Granted)));
    assert_eq!(resend(&mut fleet, other, &key), booked());
}

#[test]
fn a_reopened_shard_answers_unknown_for_older_keys_and_grants_newer_ones() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other(&key);
    replicas.iter().for_each(|it| fleet.restart(*it));
    fleet.run(QUIET_MILLIS);
    let lost = fleet.map.lost_shards(&fleet.reports());
    let number = fleet.map.shard_of(&key).unwrap();

    let epoch = fleet.map.epoch().next();
    let map = fleet.map.reopen(epoch, &fleet.live(), &lost, fleet.wall());
    install_everywhere(&mut fleet, map);
    let fresh = fleet.key(2);

    assert!(lost.contains(&number));
    assert_eq!(resend(&mut fleet, other, &key), Some(Decision::Unknown));
    assert_eq!(resend(&mut fleet, other, &fresh), Some(Decision::Granted));
}

#[test]
fn new_replicas_copy_the_shard_before_they_grant() {
    let mut fleet = small_fleet(5);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other(&key);
    fleet.stop(replicas[0]);

    let map = ClaimMap::build(fleet.map.epoch().next(), &fleet.live(), Some(&fleet.map));
    install_everywhere(&mut fleet, map);
    let moved = fleet.map.replicas_of(&key);
    fleet.stop(replicas[1]);

    assert!(!moved.contains(&replicas[0]));
    assert_eq!(resend(&mut fleet, other, &key), booked());
}

#[test]
fn a_settled_shard_can_move_again() {
    let mut fleet = small_fleet(6);
    let key = finished_key(&mut fleet);
    let number = fleet.map.shard_of(&key).unwrap();
    for _ in 0..2 {
        let replicas = fleet.map.replicas_of(&key);
        replace_replica(&mut fleet, replicas[0]);
    }
    let host = *fleet.nodes.keys().next().unwrap();

    assert_eq!(fleet.map.shard(number).unwrap().previous, PreviousReplicas::None);
    assert_eq!(resend(&mut fleet, host, &key), booked());
}

/// Replaces a replica of the key and settles the map.
fn replace_replica(fleet: &mut Fleet, host: HostId) {
    fleet.stop(host);
    let map = ClaimMap::build(fleet.map.epoch().next(), &fleet.live(), Some(&fleet.map));
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
    fleet.skew.extend(replicas.iter().map(|it| (*it, SKEW_MILLIS)));
    fleet.advance(fleet.settings.retention.0 - SKEW_MILLIS);

    replace_replica(&mut fleet, replicas[0]);
    replace_replica(&mut fleet, replicas[1]);
    let slow = fleet.map.replicas_of(&key).into_iter().find(|it| !replicas.contains(it));

    assert_eq!(resend(&mut fleet, slow.unwrap(), &key), Some(Decision::Expired));
}

#[test]
fn a_replica_with_a_wrong_clock_is_not_copied() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other(&key);
    let number = fleet.map.shard_of(&key).unwrap();

    fleet.skew.insert(replicas[1], 2 * MAX_CLOCK_SKEW.0);
    fleet.restart(replicas[0]);
    fleet.run(QUIET_MILLIS);
    let wrong = fleet.nodes[&replicas[0]].status().abstaining;
    fleet.skew.clear();
    fleet.run(QUIET_MILLIS);
    let right = fleet.nodes[&replicas[0]].status().abstaining;

    assert!(wrong.contains(&number));
    assert!(!right.contains(&number));
    assert_eq!(resend(&mut fleet, other, &key), booked());
}

#[test]
fn a_planned_stop_hands_over_so_that_another_restart_does_no_harm() {
    let mut fleet = small_fleet(4);
    let key = finished_key(&mut fleet);
    let (replicas, other) = fleet.replicas_and_other(&key);

    fleet.drain(replicas[0]);
    fleet.run(QUIET_MILLIS);
    let drained = fleet.nodes[&replicas[0]].is_drained();
    fleet.stop(replicas[0]);
    fleet.restart(replicas[1]);
    fleet.run(QUIET_MILLIS);
    let fresh = fleet.key(2);

    assert!(drained);
    assert_eq!(resend(&mut fleet, other, &key), booked());
    assert_eq!(resend(&mut fleet, other, &fresh), Some(Decision::Granted));
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
    let (replicas, other) = fleet.replicas_and_other(&key);

    // The first replica grants the key, then restarts and copies the others, which have not
    // been asked yet.
    let late = fleet.begin(other, &key, payload(1));
    let mut asked = std::mem::take(&mut fleet.in_flight);
    fleet.hand_in(asked.remove(0));
    let grant = fleet.in_flight.pop().unwrap();
    fleet.restart(replicas[0]);
    fleet.run(20);
    let rival = fleet.begin(replicas[2], &key, payload(1));
    let to_first = fleet
        .in_flight
        .iter()
        .position(|it| it.to == replicas[0] && matches!(it.message, ClaimsMessage::Claim(_)));
    fleet.deliver(to_first.unwrap());
    let reply = fleet.in_flight.pop().unwrap();
    fleet.in_flight.clear();
    fleet.hand_in(reply);
    fleet.hand_in(grant);
    fleet.hand_in(asked.remove(0));
    fleet.settle();

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
