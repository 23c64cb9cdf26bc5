//! Tests with real processes that callers get no answer with a status that means nothing.

mod gateway;

use std::sync::atomic::{AtomicU64, Ordering};

use gateway::{Cut, Fleet, HttpResponse, Server, call, wait_for};
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

/// The gateway that callers ask.
const GATEWAY: u8 = 11;

const OTHER_GATEWAY: u8 = 12;

/// Statuses that a server may send and that no final response has.
const MEANINGLESS: [u16; 8] = [0, 1, 99, 101, 199, 600, 700, 999];

/// Number of the next request: a path that is lost at three servers is refused.
static NEXT: AtomicU64 = AtomicU64::new(0);

fn start() -> (Fleet, Vec<Server>) {
    let fleet = Fleet::start();
    let servers: Vec<_> = (1..=4).map(|it| Server::start(it, "queue")).collect();
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    [GATEWAY, OTHER_GATEWAY].iter().for_each(|it| fleet.wait_until_used(*it, &servers));
    (fleet, servers)
}

/// Sends a request with its own id and path.
fn ask(fleet: &Fleet, method: &str, route: &str) -> (String, Option<HttpResponse>) {
    let id = format!("status-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    let headers = stand_in::caller_headers(&id, Millis(4_000));
    let address = fleet.address(GATEWAY, fleet.ports.callers);
    let response = call(address, method, &format!("/{route}/{id}"), &headers, b"");
    (id, response)
}

/// Asserts that callers get a failure of the gateway's own in place of each such answer, and that
/// nothing that must not be repeated is.
fn assert_replaced(fleet: &Fleet, servers: &[Server]) {
    let mut passed_on = Vec::new();
    for status in MEANINGLESS {
        for (method, route) in [("GET", "look"), ("POST", "pay")] {
            let seen = wait_for("a run", || {
                // Servers that have lost requests are avoided for a while.
                set_status(servers, None);
                wait_until_served(fleet);
                set_status(servers, Some(status));
                ask_once(fleet, servers, method, route)
            });
            if ![502, 503, 504].contains(&seen) {
                passed_on.push(format!("{method}: {seen:03} for {status:03}"));
            }
        }
    }
    set_status(servers, None);
    assert!(passed_on.is_empty(), "{passed_on:?}");
}

fn set_status(servers: &[Server], status: Option<u16>) {
    servers.iter().for_each(|it| *it.status.lock().unwrap() = status);
}

/// Sends one request and returns the caller's status, or `None` if it has reached no server.
fn ask_once(fleet: &Fleet, servers: &[Server], method: &str, route: &str) -> Option<u16> {
    let (id, response) = ask(fleet, method, route);

    let seen = response.map(|it| it.status).expect("a response");
    let ran = servers.iter().map(|it| it.runs.lock().unwrap().clone());
    let runs = ran.flatten().filter(|it| *it == id).count();
    assert!(seen != 503 || runs == 0, "{id} has run and was answered 503");
    assert!(route == "look" || runs <= 1, "{id} ran {runs} times");
    (runs > 0).then_some(seen)
}

/// Waits until an answer of a server reaches the caller.
fn wait_until_served(fleet: &Fleet) {
    wait_for("an answer", || ask(fleet, "GET", "look").1.filter(|it| it.status == 200).map(drop));
}

#[test]
fn statuses_that_mean_nothing_reach_no_caller() {
    let (fleet, servers) = start();

    assert_replaced(&fleet, &servers);
    wait_until_served(&fleet);
}

#[test]
fn statuses_that_mean_nothing_reach_no_caller_through_another_gateway() {
    let (fleet, servers) = start();
    for server in &servers {
        server.cuts.lock().unwrap().insert(fleet.ip(GATEWAY), Cut::Reset);
    }
    wait_until_served(&fleet);

    assert_replaced(&fleet, &servers);
}

#[test]
fn other_statuses_reach_the_caller_unchanged() {
    let (fleet, servers) = start();
    for status in [204, 301, 404, 451, 500, 599] {
        set_status(&servers, Some(status));

        let (_, response) = ask(&fleet, "GET", "look");

        assert_eq!(response.map(|it| it.status), Some(status));
    }
}
