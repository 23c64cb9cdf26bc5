//! Changes of the claim map that reach hosts at different times.

mod fleet;

use claims::{ClaimKey, ClaimMap, Decision, NotGranted};
use fleet::{Fleet, answer, payload};
use ids::{AttemptNumber, Epoch, HostId, RequestId, WallTime};
use schema::claims::{
    ClaimRequest, ClaimVerdict, ClaimantId, ClaimsMessage, KeyAge, KeyTicket, Refusal,
};

/// Longer than the pause between two tries to store an outcome.
const RETRY_MILLIS: u64 = 3_000;

/// More than the tries that follow once a majority has stored an outcome.
const RETRIES: usize = 8;

struct Scene {
    fleet: Fleet,
    key: ClaimKey,
    /// The replicas before the change; the last of them is replaced.
    replicas: Vec<HostId>,
    /// The replica that comes in.
    joins: HostId,
    /// An entry host that is no replica.
    entry: HostId,
}

fn scene() -> Scene {
    let mut fleet = Fleet::new(5);
    fleet.shrink_map();
    let key = fleet.key(1);
    let mut replicas = fleet.map.replicas_of(&key);
    let leaves = *replicas.last().unwrap();
    let next = map_without(&fleet, leaves).replicas_of(&key);
    let joins = *next.iter().find(|it| !replicas.contains(it)).unwrap();
    let known: Vec<_> = replicas.iter().copied().chain([joins]).collect();
    let entry = *fleet.nodes.keys().find(|it| !known.contains(it)).unwrap();
    replicas.retain(|it| *it != leaves);
    replicas.push(leaves);
    Scene { fleet, key, replicas, joins, entry }
}

fn map_without(fleet: &Fleet, host: HostId) -> ClaimMap {
    let mut live = fleet.live();
    live.retain(|it| it.host != host);
    ClaimMap::build(fleet.map.epoch().next(), &live, Some(&fleet.map))
}

impl Scene {
    fn exchange(&mut self, from: HostId, to: HostId) {
        for envelope in self.fleet.hold_back(from, to) {
            self.fleet.hand_in(envelope);
        }
        for envelope in self.fleet.hold_back(to, from) {
            self.fleet.hand_in(envelope);
        }
    }
}

#[test]
fn new_replicas_copy_a_majority_not_one() {
    let mut scene = scene();
    let key = scene.key.clone();
    let (a, b, leaves) = (scene.replicas[0], scene.replicas[1], scene.replicas[2]);
    let (joins, entry) = (scene.joins, scene.entry);
    let winner = scene.fleet.begin(entry, &key, payload(1));
    scene.fleet.hold_back(entry, a);
    scene.fleet.settle();

    // The copies are made from replicas that do not hold the claim, as far as they are made.
    scene.fleet.map = map_without(&scene.fleet, leaves);
    [joins, a].into_iter().for_each(|it| scene.fleet.install_map(it));
    scene.exchange(joins, a);
    scene.fleet.in_flight.clear();
    let rival = scene.fleet.begin(joins, &key, payload(1));
    scene.fleet.hold_back(joins, b);
    scene.fleet.settle();

    assert_eq!(scene.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scene.fleet.decision(rival), Some(&Decision::Granted));
}

#[test]
fn replicas_that_were_copied_grant_no_more_keys_in_the_old_epoch() {
    let mut scene = scene();
    let key = scene.key.clone();
    let (a, b) = (scene.replicas[0], scene.replicas[1]);
    let (joins, entry) = (scene.joins, scene.entry);
    scene.fleet.map = map_without(&scene.fleet, scene.replicas[2]);
    [joins, a].into_iter().for_each(|it| scene.fleet.install_map(it));
    scene.exchange(joins, a);
    scene.exchange(joins, b);
    scene.exchange(a, b);
    scene.fleet.in_flight.clear();

    // One host claims the key by the old map, one by the new map.
    let old = scene.fleet.begin(entry, &key, payload(1));
    scene.fleet.settle();
    let new = scene.fleet.begin(joins, &key, payload(1));
    scene.fleet.settle();

    assert_eq!(scene.fleet.decision(old), None);
    assert_eq!(scene.fleet.decision(new), Some(&Decision::Granted));
}

#[test]
fn an_outcome_counts_as_stored_only_where_copies_will_find_it() {
    let mut scene = scene();
    let key = scene.key.clone();
    let (a, b, leaves) = (scene.replicas[0], scene.replicas[1], scene.replicas[2]);
    let (joins, entry) = (scene.joins, scene.entry);
    let first = scene.fleet.begin(entry, &key, payload(1));
    scene.fleet.settle();

    // Two of the new replicas copy the held claim; then its outcome reaches two of the old ones.
    scene.fleet.map = map_without(&scene.fleet, leaves);
    [joins, a].into_iter().for_each(|it| scene.fleet.install_map(it));
    scene.exchange(joins, a);
    scene.exchange(joins, b);
    scene.exchange(a, b);
    scene.fleet.in_flight.clear();
    scene.fleet.finish(entry, first, answer("booked"));
    scene.fleet.hold_back(entry, a);
    scene.exchange(entry, b);
    scene.exchange(entry, leaves);
    for _ in 0..RETRIES {
        scene.fleet.advance(RETRY_MILLIS);
        scene.fleet.in_flight.clear();
    }
    let asks = scene.fleet.begin(joins, &key, payload(1));
    scene.fleet.hold_back(joins, b);
    scene.fleet.settle();
    let rival = scene.fleet.begin(joins, &key, payload(1));
    scene.fleet.hold_back(joins, b);
    scene.fleet.settle();

    assert_eq!(scene.fleet.nodes[&entry].status().open, 1);
    assert_eq!(scene.fleet.decision(asks), Some(&Decision::InProgress));
    assert_eq!(scene.fleet.decision(rival), Some(&Decision::InProgress));
}

#[test]
fn a_reopened_replica_refuses_keys_that_are_older_than_its_shard() {
    let mut scene = scene();
    let key = scene.key.clone();
    let number = scene.fleet.map.shard_of(&key).unwrap();
    let epoch = scene.fleet.map.epoch().next();
    let live = scene.fleet.live();
    scene.fleet.map = scene.fleet.map.reopen(epoch, &live, &[number], WallTime(0));
    let replica = scene.fleet.map.replicas_of(&key)[0];
    scene.fleet.install_map(replica);

    let incarnation = scene.fleet.incarnations[&scene.entry];
    let claim = ClaimRequest {
        shard: number.0,
        epoch,
        key: key.digest,
        age: KeyAge::Ticket(KeyTicket { epoch: Epoch(1), minted: scene.fleet.wall() }),
        claimant: ClaimantId { host: scene.entry, incarnation, request: RequestId(7) },
        round: AttemptNumber(0),
        payload: payload(1),
    };
    scene.fleet.hand_in(fleet::Envelope {
        from: scene.entry,
        from_incarnation: incarnation,
        to: replica,
        message: ClaimsMessage::Claim(claim),
    });

    let reply = &scene.fleet.in_flight.last().unwrap().message;
    let ClaimsMessage::ClaimReply(reply) = reply else { panic!("{reply:?}") };
    assert_eq!(reply.verdict, ClaimVerdict::Refused(Refusal::Closed));
}

#[test]
fn a_host_with_an_older_map_does_not_claim_keys_of_a_newer_one() {
    let mut scene = scene();
    let number = scene.fleet.map.shard_of(&scene.key).unwrap();
    let epoch = scene.fleet.map.epoch().next();
    let live = scene.fleet.live();
    scene.fleet.map = scene.fleet.map.reopen(epoch, &live, &[number], WallTime(0));
    let newer = scene.fleet.key(2);

    // No host has the new map yet, so that the old replicas would grant the key.
    let request = scene.fleet.begin(scene.entry, &newer, payload(1));
    scene.fleet.settle();

    let expected = Decision::Unavailable(NotGranted::Unknown);
    assert_eq!(scene.fleet.decision(request), Some(&expected));
}
