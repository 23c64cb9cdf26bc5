//! Tests that a backend server whose departure was accepted gets no requests, also if the control
//! hosts did not know its present start.

mod gateway;

use std::{thread, time::Duration};

use gateway::{Fleet, Server, call_any, serving_fleet};
use ids::Incarnation;
use platform::stand_in;
use schema::announcement::ServerState;

/// Time after the departure was accepted from which no request reaches the server.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_500);

/// Reports the departure of a server's incarnation to each control host until one accepts it.
fn leave(fleet: &Fleet, server: &Server, incarnation: Incarnation) {
    let path = stand_in::leave_path(&server.announcement.server);
    fleet.call_control("POST", &path, &stand_in::departure_body(incarnation));
}

/// Sends requests to both gateways; returns how many of them have reached the server.
fn count_arrivals(fleet: &Fleet, server: &Server) -> usize {
    let before = server.arrivals().len();
    for number in 0..20 {
        for gateway in [11, 12] {
            let id = format!("r{number}-{gateway}");
            let response = fleet.request(gateway, &id, &format!("/look/{number}"));
            assert_eq!(response.map(|it| it.status), Some(200));
        }
    }
    server.arrivals().len() - before
}

/// Guards against a server that gets requests for good because it left between a restart and its
/// first announcement.
#[test]
fn a_server_that_left_right_after_a_restart_gets_no_requests() {
    let (fleet, _steady) = serving_fleet();
    let server = Server::start(2, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_until_used(11, std::slice::from_ref(&server));

    let restarted = Incarnation(server.announcement.incarnation.0 + 1_000);
    leave(&fleet, &server, restarted);
    thread::sleep(DRAINED_WITHIN);

    assert_eq!(count_arrivals(&fleet, &server), 0);
}

/// Guards against a server that gets requests for good because its first announcement arrived after
/// it had left.
#[test]
fn a_server_that_left_before_its_first_announcement_arrived_gets_no_requests() {
    let (fleet, _steady) = serving_fleet();
    let server = Server::start(2, "queue");

    leave(&fleet, &server, server.announcement.incarnation);
    fleet.announce(&server, 1, ServerState::Serving);
    thread::sleep(DRAINED_WITHIN);

    assert_eq!(count_arrivals(&fleet, &server), 0);
}

/// A late report of an earlier start must not take a server that runs out of service.
#[test]
fn a_late_departure_of_an_earlier_start_leaves_a_server_in_service() {
    let (fleet, _steady) = serving_fleet();
    let server = Server::start(2, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_until_used(11, std::slice::from_ref(&server));

    leave(&fleet, &server, Incarnation(server.announcement.incarnation.0 - 1));
    thread::sleep(DRAINED_WITHIN);

    assert!(count_arrivals(&fleet, &server) > 0);
}

#[test]
fn a_departure_that_can_not_be_kept_is_refused() {
    let (fleet, _steady) = serving_fleet();
    let path = stand_in::leave_path(&"i-unknown".parse().unwrap());

    let accepted = call_any(&fleet.control_addresses(), "POST", &path, b"");

    assert!(accepted.is_none());
}
