//! Changes of the claim map that hosts apply at different times.

mod fleet;

use claims::{ClaimKey, ClaimMap, Decision, NotGranted};
use fleet::{Fleet, answer, payload};
use ids::{AttemptNumber, Epoch, HostId, RequestId, WallTime};
use schema::claims::{
    ClaimRequest, ClaimVerdict, ClaimantId, ClaimsMessage, KeyAge, KeyTicket, Refusal,
};

/// Longer than the delay between two attempts to store an outcome.
const RETRY_MILLIS: u64 = 3_000;

/// More than the retries that follow once a majority has stored an outcome.
const RETRIES: usize = 8;

struct Scenario {
    fleet: Fleet,
    key: ClaimKey,
    /// The replicas before the change; the last of them is replaced.
    replicas: Vec<HostId>,
    /// The replica that replaces it.
    joining: HostId,
    /// An entry host that is never a replica of the key.
    entry: HostId,
}

fn scenario() -> Scenario {
    let mut fleet = Fleet::new(5);
    fleet.shrink_map();
    let key = fleet.key(1);
    let mut replicas = fleet.map.replicas_of(&key);
    let leaving = *replicas.last().unwrap();
    let next = map_without(&fleet, leaving).replicas_of(&key);
    let joining = *next.iter().find(|it| !replicas.contains(it)).unwrap();
    let all_replicas: Vec<_> = replicas.iter().copied().chain([joining]).collect();
    let entry = *fleet.nodes.keys().find(|it| !all_replicas.contains(it)).unwrap();
    replicas.retain(|it| *it != leaving);
    replicas.push(leaving);
    Scenario { fleet, key, replicas, joining, entry }
}

fn map_without(fleet: &Fleet, host: HostId) -> ClaimMap {
    let mut live = fleet.live_hosts();
    live.retain(|it| it.host != host);
    ClaimMap::build(fleet.map.epoch().next(), &live, Some(&fleet.map))
}

impl Scenario {
    /// Delivers the messages of a host to another one, and those in return.
    fn exchange(&mut self, from: HostId, to: HostId) {
        for envelope in self.fleet.intercept(from, to) {
            self.fleet.deliver_envelope(envelope);
        }
        for envelope in self.fleet.intercept(to, from) {
            self.fleet.deliver_envelope(envelope);
        }
    }
}

#[test]
fn new_replicas_copy_a_majority_not_one() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let (a, b, leaving) = (scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]);
    let (joining, entry) = (scenario.joining, scenario.entry);
    let winner = scenario.fleet.begin(entry, &key, payload(1));
    scenario.fleet.intercept(entry, a);
    scenario.fleet.deliver_all();

    // Only a replica that does not hold the claim is copied.
    scenario.fleet.map = map_without(&scenario.fleet, leaving);
    [joining, a].into_iter().for_each(|it| scenario.fleet.install_map(it));
    scenario.exchange(joining, a);
    scenario.fleet.in_flight.clear();
    let rival = scenario.fleet.begin(joining, &key, payload(1));
    scenario.fleet.intercept(joining, b);
    scenario.fleet.deliver_all();

    assert_eq!(scenario.fleet.decision(winner), Some(&Decision::Granted));
    assert_ne!(scenario.fleet.decision(rival), Some(&Decision::Granted));
}

#[test]
fn replicas_that_were_copied_grant_no_more_keys_in_the_old_epoch() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let (a, b) = (scenario.replicas[0], scenario.replicas[1]);
    let (joining, entry) = (scenario.joining, scenario.entry);
    scenario.fleet.map = map_without(&scenario.fleet, scenario.replicas[2]);
    [joining, a].into_iter().for_each(|it| scenario.fleet.install_map(it));
    scenario.exchange(joining, a);
    scenario.exchange(joining, b);
    scenario.exchange(a, b);
    scenario.fleet.in_flight.clear();

    // One host claims the key with the old map, one with the new map.
    let old = scenario.fleet.begin(entry, &key, payload(1));
    scenario.fleet.deliver_all();
    let new = scenario.fleet.begin(joining, &key, payload(1));
    scenario.fleet.deliver_all();

    assert_eq!(scenario.fleet.decision(old), None);
    assert_eq!(scenario.fleet.decision(new), Some(&Decision::Granted));
}

#[test]
fn an_outcome_counts_as_stored_only_where_copies_will_find_it() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let (a, b, leaving) = (scenario.replicas[0], scenario.replicas[1], scenario.replicas[2]);
    let (joining, entry) = (scenario.joining, scenario.entry);
    let first = scenario.fleet.begin(entry, &key, payload(1));
    scenario.fleet.deliver_all();

    // Two of the new replicas copy the held claim; then its outcome reaches two of the old ones.
    scenario.fleet.map = map_without(&scenario.fleet, leaving);
    [joining, a].into_iter().for_each(|it| scenario.fleet.install_map(it));
    scenario.exchange(joining, a);
    scenario.exchange(joining, b);
    scenario.exchange(a, b);
    scenario.fleet.in_flight.clear();
    scenario.fleet.finish(entry, first, answer("booked"));
    scenario.fleet.intercept(entry, a);
    scenario.exchange(entry, b);
    scenario.exchange(entry, leaving);
    for _ in 0..RETRIES {
        scenario.fleet.advance(RETRY_MILLIS);
        scenario.fleet.in_flight.clear();
    }
    let resend = scenario.fleet.begin(joining, &key, payload(1));
    scenario.fleet.intercept(joining, b);
    scenario.fleet.deliver_all();
    let rival = scenario.fleet.begin(joining, &key, payload(1));
    scenario.fleet.intercept(joining, b);
    scenario.fleet.deliver_all();

    assert_eq!(scenario.fleet.nodes[&entry].status().open, 1);
    assert_eq!(scenario.fleet.decision(resend), Some(&Decision::InProgress));
    assert_eq!(scenario.fleet.decision(rival), Some(&Decision::InProgress));
}

#[test]
fn a_reopened_replica_refuses_keys_that_are_older_than_its_shard() {
    let mut scenario = scenario();
    let key = scenario.key.clone();
    let number = scenario.fleet.map.shard_of(&key).unwrap();
    let epoch = scenario.fleet.map.epoch().next();
    let live = scenario.fleet.live_hosts();
    scenario.fleet.map = scenario.fleet.map.reopen(epoch, &live, &[number], WallTime(0));
    let replica = scenario.fleet.map.replicas_of(&key)[0];
    scenario.fleet.install_map(replica);

    let incarnation = scenario.fleet.incarnations[&scenario.entry];
    let claim = ClaimRequest {
        shard: number.0,
        epoch,
        key: key.digest,
        age: KeyAge::Ticket(KeyTicket { epoch: Epoch(1), minted: scenario.fleet.wall() }),
        claimant: ClaimantId { host: scenario.entry, incarnation, request: RequestId(7) },
        round: AttemptNumber(0),
        payload: payload(1),
    };
    scenario.fleet.deliver_envelope(fleet::Envelope {
        from: scenario.entry,
        from_incarnation: incarnation,
        to: replica,
        message: ClaimsMessage::Claim(claim),
    });

    let reply = &scenario.fleet.in_flight.last().unwrap().message;
    let ClaimsMessage::ClaimReply(reply) = reply else { panic!("{reply:?}") };
    assert_eq!(reply.verdict, ClaimVerdict::Refused(Refusal::Closed));
}

#[test]
fn a_host_with_an_older_map_does_not_claim_keys_of_a_newer_one() {
    let mut scenario = scenario();
    let number = scenario.fleet.map.shard_of(&scenario.key).unwrap();
    let epoch = scenario.fleet.map.epoch().next();
    let live = scenario.fleet.live_hosts();
    scenario.fleet.map = scenario.fleet.map.reopen(epoch, &live, &[number], WallTime(0));
    let newer = scenario.fleet.key(2);

    // No host has the new map yet, so the old replicas would grant the key.
    let request = scenario.fleet.begin(scenario.entry, &newer, payload(1));
    scenario.fleet.deliver_all();

    let expected = Decision::Unavailable(NotGranted::Unknown);
    assert_eq!(scenario.fleet.decision(request), Some(&expected));
}
