//! Tests with real processes that backend servers that leave, or that ask for a pause, get no
//! requests.

mod gateway;

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use gateway::{Fleet, Server, call, wait_for};
use schema::announcement::ServerState;

const GATEWAYS: [u8; 2] = [11, 12];

/// Time between two requests of a caller; four callers send 100 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time that the platform gives a gateway to stop sending to a server that leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time in which requests that were on their way may still arrive at a server that asked for a
/// pause, and how many later ones may.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
const MAX_ARRIVALS_IN_PAUSE: usize = 2;

fn start(servers: &[Server]) -> Fleet {
    let fleet = Fleet::start();
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    GATEWAYS.iter().for_each(|it| fleet.wait_until_used(*it, servers));
    fleet
}

/// Sends 100 requests a second for a while, half of them through each gateway; returns the statuses
/// and when each request was sent, by its id, which begins with the gateway.
fn load(fleet: &Fleet, time: Duration) -> Vec<(String, Instant, u16)> {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                scope.spawn(move || {
                    let gateway = GATEWAYS[caller % 2];
                    let mut sent = Vec::new();
                    for i in 0.. {
                        let now = Instant::now();
                        if now >= end {
                            break;
                        }
                        let id = format!("{gateway}-{caller}-{i}");
                        let path = format!("/look/{id}");
                        let status = fleet.request(gateway, &id, &path).map_or(0, |it| it.status);
                        sent.push((id, now, status));
                        thread::sleep(REQUEST_INTERVAL.saturating_sub(now.elapsed()));
                    }
                    sent
                })
            })
            .collect();
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    })
}

fn metrics(fleet: &Fleet, gateway: u8) -> String {
    let address = fleet.address(gateway, fleet.ports.metrics);
    let response = call(address, "GET", "/metrics", &[], b"").unwrap();
    String::from_utf8(response.body).unwrap()
}

/// Asserts that a server got no request that was sent later than [`DRAIN_TIME`] after it first said
/// that it leaves, at `left_at`.
fn assert_left(server: &Server, sent: &[(String, Instant, u16)], left_at: Instant) {
    let arrivals = server.attempt_ids();
    let late =
        sent.iter().filter(|(id, at, _)| *at > left_at + DRAIN_TIME && arrivals.contains(id));
    assert_eq!(late.count(), 0);
    assert!(sent.iter().filter(|(_, at, _)| *at > left_at + DRAIN_TIME).count() > 50);
}

#[test]
fn a_server_whose_responses_say_that_it_leaves_gets_no_requests_though_it_is_announced() {
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    let fleet = start(&servers);

    servers[0].is_leaving.store(true, Ordering::Relaxed);
    let left_at = Instant::now();
    let mut sent = load(&fleet, Duration::from_secs(1));
    fleet.announce(&servers[0], 2, ServerState::Serving);
    sent.extend(load(&fleet, DRAIN_TIME + Duration::from_secs(2)));

    assert_left(&servers[0], &sent, left_at);
    assert!(sent.iter().all(|(_, _, status)| *status == 200));
    assert!(GATEWAYS.iter().all(|it| metrics(&fleet, *it).contains("server_leaving_total 1")));
    wait_for("closed idle connections", || {
        (*servers[0].connections.lock().unwrap() == 0).then_some(())
    });
}

#[test]
fn a_server_that_leaves_gets_no_requests_while_no_control_host_can_be_reached() {
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    let mut fleet = start(&servers);
    (1..=3).for_each(|it| fleet.kill(it));

    servers[0].is_leaving.store(true, Ordering::Relaxed);
    let left_at = Instant::now();
    let sent = load(&fleet, DRAIN_TIME + Duration::from_secs(2));

    assert_left(&servers[0], &sent, left_at);
    assert!(sent.iter().all(|(_, _, status)| *status == 200));
}

#[test]
fn a_server_that_asks_for_a_pause_gets_nothing_until_its_end() {
    const PAUSE: Duration = Duration::from_secs(3);
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    let fleet = start(&servers);

    *servers[0].turns_away.lock().unwrap() = Some(PAUSE.as_secs().to_string());
    let overloaded_at = Instant::now();
    let sent = load(&fleet, PAUSE * 2);

    for gateway in GATEWAYS {
        let prefix = format!("{gateway}-");
        let arrivals: Vec<Instant> = servers[0]
            .arrivals()
            .into_iter()
            .filter(|(id, at)| id.starts_with(&prefix) && *at >= overloaded_at)
            .map(|(_, at)| at)
            .collect();
        // Each arrival was answered with a pause.
        for asked in &arrivals {
            let paused = *asked + PAUSE_GRACE..*asked + PAUSE;
            let early = arrivals.iter().filter(|it| paused.contains(it)).count();
            assert!(early <= MAX_ARRIVALS_IN_PAUSE, "{early} requests in a pause");
        }
        assert!(arrivals.len() >= 2, "gateway {gateway} tries the server after the pause");
    }
    assert!(sent.iter().all(|(_, _, status)| *status == 200), "the other server serves");
    assert!(metrics(&fleet, 11).contains("daisypaddle_server_paused_total"));
}

#[test]
fn a_service_whose_servers_all_ask_for_a_pause_refuses_at_once_for_that_time() {
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    let fleet = start(&servers);
    for server in &servers {
        *server.turns_away.lock().unwrap() = Some("4".to_owned());
    }
    // The first requests learn of the pauses.
    wait_for("pauses of both servers", || {
        let response = fleet.request(11, "learn", "/look/learn")?;
        (response.retry_after()? > 2.0).then_some(())
    });

    let before = Instant::now();
    let response = fleet.request(11, "refused", "/look/refused").unwrap();
    let took = before.elapsed();

    assert_eq!(response.status, 503);
    assert!(response.retry_after() > Some(2.0), "{}", response.head);
    assert!(took < Duration::from_secs(1), "refused after {took:?}");
    let reached = servers.iter().any(|it| it.attempt_ids().contains(&"refused".to_owned()));
    assert!(!reached);
}
