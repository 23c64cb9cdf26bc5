//! Tests with real processes that all gateways together keep to the limits that backend servers
//! name.

mod gateway;

use std::{
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use gateway::{Fleet, HttpResponse, Server, wait_for};
use schema::announcement::ServerState;

const GATEWAYS: Range<u8> = 11..15;

/// Time between two requests of a caller; eight callers send 100 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// Time after which the platform expects all gateways to keep to a new limit.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Length of the windows in which the platform counts arrivals.
const WINDOW: Duration = Duration::from_secs(4);

/// A caller's request, and its response unless the connection failed.
struct Sent {
    at: Instant,
    took: Duration,
    response: Option<HttpResponse>,
}

fn start(servers: &[Server]) -> Fleet {
    let fleet = Fleet::start_with(GATEWAYS.len() as u8);
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    wait_for("ready gateways", || GATEWAYS.into_iter().all(|it| fleet.is_ready(it)).then_some(()));
    GATEWAYS.for_each(|it| fleet.wait_until_used(it, servers));
    fleet
}

fn name_limit(server: &Server, limit: &str) {
    *server.limit.lock().unwrap() = Some(limit.to_owned());
}

/// Sends 100 requests a second for a while, spread over all gateways.
fn load(fleet: &Fleet, time: Duration) -> Vec<Sent> {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                scope.spawn(move || {
                    let gateway = GATEWAYS.start + caller % GATEWAYS.len() as u8;
                    let mut sent = Vec::new();
                    for i in 0.. {
                        let at = Instant::now();
                        if at >= end {
                            break;
                        }
                        let id = format!("{gateway}-{caller}-{i}");
                        let response = fleet.request(gateway, &id, &format!("/look/{id}"));
                        sent.push(Sent { at, took: at.elapsed(), response });
                        thread::sleep(REQUEST_INTERVAL.saturating_sub(at.elapsed()));
                    }
                    sent
                })
            })
            .collect();
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    })
}

/// Returns the most requests that arrived at a server within [`WINDOW`] after `from`.
fn most_in_window(server: &Server, from: Instant) -> usize {
    let arrivals: Vec<Instant> =
        server.arrivals().into_iter().map(|(_, at)| at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        arrivals.iter().filter(|it| (*start..*start + WINDOW).contains(*it)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Returns the number of requests that the platform accepts within [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[test]
fn a_server_gets_no_more_requests_from_all_gateways_than_the_limit_that_it_names() {
    let servers = [1, 2, 3].map(|it| Server::start(it, "queue"));
    let fleet = start(&servers);

    name_limit(&servers[0], "1");
    name_limit(&servers[1], "1.8");
    let named_at = Instant::now();
    let sent = load(&fleet, SETTLING_TIME + WINDOW * 2);

    let most = [0, 1].map(|it| most_in_window(&servers[it], named_at + SETTLING_TIME));
    assert!(most[0] <= allowed(1.0) && most[1] <= allowed(1.8), "{most:?} requests in a window");
    assert!(most[0] >= 2 && most[1] >= 4, "limited servers are used: {most:?}");
    let served = sent.iter().filter(|it| it.response.as_ref().is_some_and(|it| it.status == 200));
    assert_eq!(served.count(), sent.len(), "the third server serves the rest");
}

#[test]
fn requests_above_the_limits_of_all_servers_are_refused_at_once() {
    let servers = [1, 2].map(|it| Server::start(it, "queue"));
    let fleet = start(&servers);

    servers.iter().for_each(|it| name_limit(it, "4"));
    let named_at = Instant::now();
    let sent = load(&fleet, SETTLING_TIME + WINDOW * 2);

    let settled = named_at + SETTLING_TIME;
    for server in &servers {
        let most = most_in_window(server, settled);
        assert!(most <= allowed(4.0), "{most} requests in a window");
    }
    let later: Vec<&Sent> = sent.iter().filter(|it| it.at >= settled).collect();
    let statuses = later.iter().map(|it| it.response.as_ref().map_or(0, |it| it.status));
    let served = statuses.clone().filter(|it| *it == 200).count();
    assert!(served >= 32, "{served} of the 64 requests that the limits allow are served");
    assert!(statuses.clone().all(|it| it == 200 || it == 503));
    let refused = later.iter().filter(|it| it.response.as_ref().is_some_and(|it| it.status == 503));
    for request in refused {
        assert!(request.took < Duration::from_millis(1_500), "refused after {:?}", request.took);
        assert!(request.response.as_ref().unwrap().retry_after().is_some());
    }
}

#[test]
fn a_server_gets_its_usual_share_again_once_its_responses_name_no_limit() {
    let servers = [1, 2].map(|it| Server::start(it, "queue"));
    let fleet = start(&servers);
    name_limit(&servers[0], "1");
    load(&fleet, SETTLING_TIME);

    *servers[0].limit.lock().unwrap() = None;
    load(&fleet, SETTLING_TIME);
    let ended_at = Instant::now();
    load(&fleet, WINDOW);

    let arrived = most_in_window(&servers[0], ended_at);
    assert!(arrived >= 60, "{arrived} requests in a window without a limit");
}

#[test]
fn limits_that_are_not_numbers_close_no_server() {
    let servers = [Server::start(1, "queue")];
    let fleet = start(&servers);

    for limit in ["", "many", "-1", "NaN", "inf", "1, 2", "1e400"] {
        name_limit(&servers[0], limit);
        for i in 0..4 {
            let id = format!("invalid-{i}");
            let response = fleet.request(GATEWAYS.start, &id, &format!("/look/{id}")).unwrap();
            assert_eq!(response.status, 200, "with the limit {limit:?}");
        }
    }
}
