//! Claim maps and tickets.

use std::collections::BTreeSet;

use claims::{ClaimHost, ClaimKey, ClaimMap, SHARDS_PER_HOME, Ticket, TicketError};
use ids::{DataCentreName, Epoch, HostId, IdempotencyKey, Incarnation, KeyDigest, WallTime};
use schema::claims::{ClaimHome, ClaimShard, PreviousReplicas};

fn data_centre(number: u32) -> DataCentreName {
    format!("dc-{number}").parse().unwrap()
}

/// Returns hosts in four data centres of two regions.
fn hosts(per_data_centre: u32) -> Vec<ClaimHost> {
    let mut hosts = Vec::new();
    for number in 0..4 * per_data_centre {
        let data_centre_number = number / per_data_centre;
        hosts.push(ClaimHost {
            host: HostId(number + 1),
            incarnation: Incarnation(1),
            data_centre: data_centre(data_centre_number),
            region: format!("region-{}", data_centre_number / 2).parse().unwrap(),
        });
    }
    hosts
}

fn build(hosts: &[ClaimHost]) -> ClaimMap {
    ClaimMap::build(Epoch(1), hosts, None)
}

fn data_centres_of(shard: &ClaimShard, hosts: &[ClaimHost]) -> BTreeSet<DataCentreName> {
    let chosen = hosts.iter().filter(|it| shard.replicas.iter().any(|r| r.host == it.host));
    chosen.map(|it| it.data_centre.clone()).collect()
}

#[test]
fn each_home_has_its_shards_with_three_replicas() {
    let hosts = hosts(4);

    let map = build(&hosts);

    assert_eq!(map.shards().count(), 5 * SHARDS_PER_HOME);
    for (_, shard) in map.shards() {
        assert_eq!(shard.replicas.len(), 3);
        match &shard.home {
            ClaimHome::DataCentre(name) => {
                assert_eq!(data_centres_of(shard, &hosts), BTreeSet::from([name.clone()]));
            }
            ClaimHome::Fleet => assert_eq!(data_centres_of(shard, &hosts).len(), 3),
        }
    }
}

#[test]
fn a_data_centre_with_too_few_hosts_uses_others_of_its_region() {
    let hosts = hosts(2);

    let map = build(&hosts);

    for (_, shard) in map.shards().filter(|(_, it)| it.home != ClaimHome::Fleet) {
        let regions: BTreeSet<_> = hosts
            .iter()
            .filter(|it| shard.replicas.iter().any(|r| r.host == it.host))
            .map(|it| it.region.clone())
            .collect();
        assert_eq!(shard.replicas.len(), 3);
        assert_eq!(regions.len(), 1);
    }
}

#[test]
fn a_shard_has_one_replica_per_host_if_there_are_fewer_than_three() {
    for count in [1, 2] {
        let hosts = &hosts(2)[..count];

        let map = build(hosts);

        assert!(map.shards().all(|(_, it)| it.replicas.len() == count));
    }
}

#[test]
fn losing_a_host_replaces_only_its_replicas() {
    let all = hosts(4);
    let map = build(&all);
    let lost = HostId(1);
    let live: Vec<_> = all.iter().filter(|it| it.host != lost).cloned().collect();

    let next = ClaimMap::build(Epoch(2), &live, Some(&map));

    for ((_, old), (_, new)) in map.shards().zip(next.shards()) {
        if !old.replicas.iter().any(|it| it.host == lost) {
            assert_eq!(old, new);
            continue;
        }
        let kept = old.replicas.iter().filter(|it| it.host != lost);
        assert!(kept.clone().all(|it| new.replicas.contains(it)));
        assert_eq!(new.epoch, Epoch(2));
        assert_eq!(new.opened, Epoch(1));
        assert!(matches!(new.previous, PreviousReplicas::CopyFrom(_)));
    }
}

#[test]
fn a_shard_that_lost_a_majority_or_is_not_settled_is_left_unchanged() {
    let all = hosts(1);
    let map = build(&all);
    let two_lost = ClaimMap::build(Epoch(2), &all[2..], Some(&map));
    let one_lost = ClaimMap::build(Epoch(2), &all[1..], Some(&map));
    let again = ClaimMap::build(Epoch(3), &all[2..], Some(&one_lost));

    for (number, shard) in map.shards() {
        let lost = shard.replicas.iter().filter(|it| it.host.0 <= 2).count();
        if lost == 2 {
            assert_eq!(two_lost.shard(number), Some(shard));
        }
        let changed = one_lost.shard(number).unwrap();
        if changed.previous != PreviousReplicas::None {
            assert_eq!(again.shard(number), Some(changed));
        }
    }
}

#[test]
fn the_map_depends_on_the_set_of_hosts_only() {
    let mut hosts = hosts(4);
    let map = build(&hosts);

    hosts.reverse();

    assert_eq!(build(&hosts), map);
    assert_eq!(ClaimMap::build(Epoch(1), &hosts, Some(&map)), map);
}

#[test]
fn keys_spread_over_the_shards_of_their_home() {
    const KEYS: u32 = 64_000;
    let map = build(&hosts(4));
    let mut counts = vec![0; map.shards().count()];
    for number in 0..KEYS {
        let digest = KeyDigest::of(&number.to_be_bytes());
        let ticket = Ticket { home: data_centre(2), epoch: Epoch(1), minted: WallTime(5) };
        let key = ClaimKey { digest, ticket: Some(ticket) };
        counts[map.shard_of(&key).unwrap().0 as usize] += 1;
    }

    let key_counts: Vec<_> = counts.into_iter().filter(|it| *it > 0).collect();

    assert_eq!(key_counts.len(), SHARDS_PER_HOME);
    assert!(key_counts.iter().all(|it| (800..1200).contains(it)), "{key_counts:?}");
}

#[test]
fn a_ticket_in_a_key_round_trips_through_text() {
    let ticket = Ticket { home: data_centre(1), epoch: Epoch(77), minted: WallTime(123_456) };

    let key: IdempotencyKey = format!("{ticket}order~7").parse().unwrap();

    assert_eq!(ticket.to_string(), "dp1~dc-1~4d~1e240~");
    assert_eq!(Ticket::parse_prefix(&key), Ok(Some(ticket)));
}

#[test]
fn a_key_without_a_ticket_parses_and_a_malformed_ticket_does_not() {
    let parse = |text: &str| Ticket::parse_prefix(&text.parse().unwrap());

    assert_eq!(parse("order-7"), Ok(None));
    assert_eq!(parse("dp1order"), Ok(None));
    assert_eq!(parse("dp1~dc-1~4d~1e240"), Err(TicketError::MissingPart));
    assert_eq!(parse("dp1~d/c~4d~1~x"), Err(TicketError::BadHome));
    assert_eq!(parse("dp1~dc-1~zz~1~x"), Err(TicketError::BadEpoch));
    assert_eq!(parse("dp1~dc-1~1~-1~x"), Err(TicketError::BadMintTime));
}
