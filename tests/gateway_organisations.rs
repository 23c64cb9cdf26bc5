//! Tests that real gateways know callers by their keys, tell no server a key, and never take a
//! withdrawn key again.

mod gateway;

use gateway::{Fleet, KEY, SeenCaller, Server, call, config, wait_for, with_keys};
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

const GATEWAYS: [u8; 2] = [11, 12];

/// Returns the key with a number.
fn key(number: u8) -> String {
    format!("{KEY}-{number}")
}

/// Configures an organisation `acme` with keys.
fn put_keys(fleet: &Fleet, version: u64, numbers: &[u8]) {
    let keys: Vec<String> = numbers.iter().map(|it| key(*it)).collect();
    fleet.put(&with_keys(config(version, "queue"), "acme", &keys));
}

/// Sends a request with further headers and returns the status of the response, or 0.
fn ask(fleet: &Fleet, gateway: u8, id: &str, path: &str, more: &[(String, String)]) -> u16 {
    let mut headers = stand_in::caller_headers(id, Millis(4_000)).to_vec();
    headers.extend_from_slice(more);
    let response = call(fleet.callers(gateway), "GET", path, &headers, b"");
    response.map_or(0, |it| it.status)
}

fn ask_with_key(fleet: &Fleet, gateway: u8, number: u8) -> u16 {
    ask(fleet, gateway, &format!("k-{number}"), "/look/1", &[stand_in::key_header(&key(number))])
}

/// Starts a fleet in which organisation `acme` has the keys 1 and 2.
fn fleet() -> (Fleet, Server) {
    let fleet = Fleet::start();
    let server = Server::start(1, "queue");
    put_keys(&fleet, 1, &[1, 2]);
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_until_ready();
    wait_for("known keys", || {
        GATEWAYS.iter().all(|it| ask_with_key(&fleet, *it, 1) == 200).then_some(())
    });
    (fleet, server)
}

/// Waits until all gateways serve key 2; key 1 must not be served meanwhile or afterwards.
fn assert_only_second_key_is_served(fleet: &Fleet, server: &Server) {
    let mut sequence = server.arrivals().len() as u64 + 1_000;
    wait_for("the second key", || {
        fleet.announce(server, sequence, ServerState::Serving);
        sequence += 1;
        GATEWAYS.iter().for_each(|it| assert_ne!(ask_with_key(fleet, *it, 1), 200));
        GATEWAYS.iter().all(|it| ask_with_key(fleet, *it, 2) == 200).then_some(())
    });
    GATEWAYS.iter().for_each(|it| assert_eq!(ask_with_key(fleet, *it, 1), 401));
}

#[test]
fn servers_are_told_the_organisation_and_never_a_key() {
    let (fleet, server) = fleet();
    let claimed = stand_in::organisation_header("other");
    let (known, unknown) = (stand_in::key_header(&key(1)), stand_in::key_header(&key(9)));

    let statuses = [
        ask(&fleet, 11, "none", "/look/1", std::slice::from_ref(&claimed)),
        ask(&fleet, 11, "unknown", "/look/1", &[unknown.clone(), claimed.clone()]),
        ask(&fleet, 11, "two", "/look/1", &[known.clone(), known.clone()]),
        ask(&fleet, 12, "known", "/pay/1", &[known, claimed.clone()]),
        ask(&fleet, 12, "public", "/info/1", std::slice::from_ref(&claimed)),
        ask(&fleet, 12, "public-unknown", "/info/1", &[unknown, claimed]),
    ];

    assert_eq!(statuses, [401, 401, 401, 200, 200, 200]);
    let callers = server.callers.lock().unwrap().clone();
    let seen = |organisation: Option<&str>| SeenCaller {
        organisation: organisation.map(str::to_owned),
        shows_key: false,
    };
    let found = ["none", "unknown", "two", "known", "public", "public-unknown"]
        .map(|it| callers.get(it).cloned());
    let anonymous = Some(seen(None));
    let expected =
        [None, None, None, Some(seen(Some("acme"))), anonymous.clone(), anonymous.clone()];
    assert_eq!(found, expected);
    assert!(callers.values().all(|it| !it.shows_key), "{callers:?}");
}

#[test]
fn a_withdrawn_key_is_not_in_use_again_after_gateways_restart_and_may_be_given_back() {
    let (mut fleet, server) = fleet();

    put_keys(&fleet, 2, &[2]);

    wait_for("the withdrawal", || {
        GATEWAYS.iter().all(|it| ask_with_key(&fleet, *it, 1) == 401).then_some(())
    });
    for restarted in [&GATEWAYS[..1], &GATEWAYS[..]] {
        restarted.iter().for_each(|it| fleet.kill(*it));
        restarted.iter().for_each(|it| fleet.start_gateway(*it));
        assert_only_second_key_is_served(&fleet, &server);
    }
    put_keys(&fleet, 3, &[1, 2]);
    wait_for("the key that was given back", || {
        GATEWAYS.iter().all(|it| ask_with_key(&fleet, *it, 1) == 200).then_some(())
    });
}

#[test]
fn a_withdrawn_key_is_not_in_use_again_after_a_control_host_restarts_with_an_older_disk() {
    let (mut fleet, server) = fleet();
    fleet.kill(3);
    put_keys(&fleet, 2, &[2]);
    GATEWAYS.iter().for_each(|it| fleet.kill(*it));
    // Only the control host with the older disk responds.
    [1, 2].iter().for_each(|it| fleet.signal(*it, "-STOP"));

    fleet.start_control(3, false);
    GATEWAYS.iter().for_each(|it| fleet.start_gateway(*it));

    for _ in 0..20 {
        GATEWAYS.iter().for_each(|it| assert_ne!(ask_with_key(&fleet, *it, 1), 200));
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    [1, 2].iter().for_each(|it| fleet.signal(*it, "-CONT"));
    assert_only_second_key_is_served(&fleet, &server);
}
