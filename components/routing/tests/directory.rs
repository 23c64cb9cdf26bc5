//! Directory answers keep their guarantees for any set of entry hosts.

use std::{collections::BTreeSet, net::SocketAddr};

use ids::HostId;
use routing::{CallerLocation, Directory, EntryHost, EntryHostState, SPILL_LOAD_MILLI};

const CASES: u64 = 300;
const CASE_BYTES: u64 = 512;

const DATA_CENTRES: [(&str, &str); 6] =
    [("r1", "r1a"), ("r1", "r1b"), ("r2", "r2a"), ("r2", "r2b"), ("r3", "r3a"), ("r3", "r3b")];

fn entry_host(
    number: u32,
    data_centre: usize,
    load_milli: u32,
    state: EntryHostState,
) -> EntryHost {
    let (region, data_centre) = DATA_CENTRES[data_centre];
    EntryHost {
        host: HostId(number),
        region: region.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        load_milli,
        state,
    }
}

fn caller(data_centre: usize) -> CallerLocation {
    let (region, data_centre) = DATA_CENTRES[data_centre];
    CallerLocation { region: region.parse().unwrap(), data_centre: data_centre.parse().unwrap() }
}

fn fleet(state: EntryHostState) -> Vec<EntryHost> {
    (0..36).map(|i| entry_host(i, i as usize % DATA_CENTRES.len(), 0, state)).collect()
}

#[test]
fn the_nearest_data_centre_comes_first() {
    let mut directory = Directory::new(1);

    let answer = directory.answer(&caller(2), &fleet(EntryHostState::Serving));

    let names: Vec<String> =
        answer.addresses.iter().map(|address| address.data_centre.to_string()).collect();
    assert_eq!(names, ["r2a", "r2a", "r2b", "r2b"]);
}

#[test]
fn overloaded_hosts_are_listed_if_there_are_no_others() {
    let mut directory = Directory::new(1);

    let answer = directory.answer(&caller(0), &fleet(EntryHostState::Overloaded));

    assert!(answer.addresses.len() >= 3);
}

#[test]
fn first_addresses_are_spread_by_load() {
    let mut directory = Directory::new(1);
    let mut hosts = fleet(EntryHostState::Serving);
    hosts[0].load_milli = 750;
    let mut firsts = [0_u32; 36];

    for _ in 0..6_000 {
        let answer = directory.answer(&caller(0), &hosts);
        firsts[answer.addresses[0].host.0 as usize] += 1;
    }

    // Six hosts share the data centre: one with a weight of 250, five with 1,000.
    assert!((200..380).contains(&firsts[0]), "{firsts:?}");
    for host in [6, 12, 18, 24, 30] {
        assert!((1_000..1_290).contains(&firsts[host]), "{firsts:?}");
    }
}

/// Returns how many of 6,000 answers to callers in the first data centre start with its hosts.
fn count_starting_near(hosts: &[EntryHost]) -> usize {
    let mut directory = Directory::new(1);
    let near = "r1a".parse().unwrap();
    (0..6_000)
        .filter(|_| directory.answer(&caller(0), hosts).addresses[0].data_centre == near)
        .count()
}

#[test]
fn a_busy_data_centre_passes_part_of_its_callers_on() {
    let mut hosts = fleet(EntryHostState::Serving);
    assert_eq!(count_starting_near(&hosts), 6_000);

    for host in [0, 6, 12, 18, 24, 30] {
        hosts[host].load_milli = 2 * SPILL_LOAD_MILLI;
    }

    let near = count_starting_near(&hosts);
    assert!((2_800..3_200).contains(&near), "{near}");
}

#[test]
fn the_last_serving_host_doesn_t_get_the_callers_of_overloaded_ones() {
    let mut hosts = fleet(EntryHostState::Serving);
    for host in [6, 12, 18, 24, 30] {
        hosts[host].state = EntryHostState::Overloaded;
    }

    let near = count_starting_near(&hosts);

    assert!((850..1_150).contains(&near), "{near}");
}

fn random_state(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<EntryHostState> {
    use EntryHostState::{Dead, Draining, Overloaded, Serving};
    Ok(*u.choose(&[Serving, Serving, Overloaded, Draining, Dead])?)
}

fn check_answer(caller: &CallerLocation, hosts: &[EntryHost], directory: &mut Directory) {
    let answer = directory.answer(caller, hosts);
    let listed: Vec<&EntryHost> = answer
        .addresses
        .iter()
        .map(|address| hosts.iter().find(|entry| entry.host == address.host).unwrap())
        .collect();
    let is_usable = |entry: &&EntryHost| {
        matches!(entry.state, EntryHostState::Serving | EntryHostState::Overloaded)
    };
    let data_centres = |entries: &[&EntryHost]| -> BTreeSet<String> {
        entries.iter().map(|entry| entry.data_centre.to_string()).collect()
    };
    let usable: Vec<&EntryHost> = hosts.iter().filter(is_usable).collect();
    let distinct: BTreeSet<HostId> = listed.iter().map(|entry| entry.host).collect();

    assert!(listed.iter().all(is_usable));
    assert_eq!(distinct.len(), listed.len());
    assert!(listed.len() >= usable.len().min(3));
    assert!(data_centres(&listed).len() >= data_centres(&usable).len().min(2));
    assert!(answer.keep_for <= Directory::max_keep());
    if usable.iter().any(|entry| entry.state == EntryHostState::Serving) {
        assert_eq!(listed[0].state, EntryHostState::Serving);
    }
    let distance = |entry: &EntryHost| match () {
        () if entry.data_centre == caller.data_centre => 0,
        () if entry.region == caller.region => 1,
        () => 2,
    };
    // Nearer hosts come first, except those of busy data centres, which may be passed over and then
    // come last.
    let is_never_passed_over = |entry: &EntryHost| {
        let mut data_centre = usable.iter().filter(|other| other.data_centre == entry.data_centre);
        data_centre.all(|other| {
            other.state == EntryHostState::Serving && other.load_milli <= SPILL_LOAD_MILLI
        })
    };
    for state in [EntryHostState::Serving, EntryHostState::Overloaded] {
        let listed: Vec<&EntryHost> =
            listed.iter().copied().filter(|entry| entry.state == state).collect();
        let passed_over =
            listed.iter().rposition(|entry| is_never_passed_over(entry)).map_or(0, |last| last + 1);
        let split = (passed_over..=listed.len())
            .find(|&split| listed[split..].is_sorted_by_key(|entry| distance(entry)))
            .unwrap();
        assert!(listed[..split].is_sorted_by_key(|entry| distance(entry)));
    }
    assert!(listed.is_sorted_by_key(|entry| entry.state));
}

#[test]
fn answers_keep_their_guarantees() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut directory = Directory::new(case);
            while u.len() > 64 {
                let mut hosts = Vec::new();
                for i in 0..u.int_in_range(0..=8)? {
                    let data_centre = u.int_in_range(0..=DATA_CENTRES.len() - 1)?;
                    let load = u.int_in_range(0..=1_200)?;
                    hosts.push(entry_host(i, data_centre, load, random_state(u)?));
                }
                check_answer(&caller(u.int_in_range(0..=5)?), &hosts, &mut directory);
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
