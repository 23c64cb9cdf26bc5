//! Tests that changes of the settings, of the configuration and of the backend servers end no
//! request in flight.

mod gateway;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use gateway::{Fleet, Server, receive, send};
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

/// Number of changes; each second one moves the routes to the other service.
const CHANGES: u64 = 12;

/// Number of requests that a caller sends over one connection.
const REQUESTS_PER_CONNECTION: u64 = 10;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// The statuses of all requests; `None` where there was no complete response.
type Outcomes = Mutex<BTreeMap<Option<u16>, u64>>;

/// Sends requests to a gateway over connections that it keeps for a while.
fn call_until_done(
    gateway: SocketAddr,
    paths: &[&str],
    next_id: &AtomicU64,
    is_done: &AtomicBool,
    outcomes: &Outcomes,
) {
    while !is_done.load(Ordering::SeqCst) {
        let mut stream = TcpStream::connect(gateway).unwrap();
        for _ in 0..REQUESTS_PER_CONNECTION {
            let id = next_id.fetch_add(1, Ordering::SeqCst);
            let path = paths[(id as usize) % paths.len()];
            let headers = stand_in::caller_headers(&format!("c{id}"), Millis(4_000));
            let response =
                send(&mut stream, "GET", path, &headers, b"").and_then(|()| receive(&mut stream));
            let status = response.as_ref().map(|it| it.status);
            *outcomes.lock().unwrap().entry(status).or_default() += 1;
            if response.is_none_or(|it| it.head.to_ascii_lowercase().contains("connection: close"))
            {
                break;
            }
            thread::sleep(REQUEST_INTERVAL);
        }
    }
}

/// Starts a server and announces it.
fn add_server(fleet: &Fleet, number: u64, service: &str) -> Server {
    let server = Server::start(number, service);
    fleet.announce(&server, 1, ServerState::Serving);
    server
}

#[test]
fn reloads_changes_and_drains_of_servers_cut_off_no_request() {
    let fleet = Fleet::start();
    fleet.put_config(1, "queue");
    let mut servers: Vec<Server> = (1..=6)
        .map(|it| add_server(&fleet, it, if it % 2 == 0 { "queue" } else { "other" }))
        .collect();
    fleet.wait_until_ready();
    [11, 12].iter().for_each(|it| fleet.wait_until_served(*it, "/look/first"));
    let (next_id, is_done) = (AtomicU64::new(0), AtomicBool::new(false));
    let outcomes = Outcomes::default();

    thread::scope(|scope| {
        for gateway in [11, 12] {
            let gateway = fleet.address(gateway, fleet.ports.callers);
            for paths in [&["/look/1", "/pay/1"][..], &["/pay/2", "/look/2"], &["/pay/slow"]] {
                let cx = (&next_id, &is_done, &outcomes);
                scope.spawn(move || call_until_done(gateway, paths, cx.0, cx.1, cx.2));
            }
        }
        for change in 0..CHANGES {
            let service = if change % 2 == 0 { "other" } else { "queue" };
            [11, 12, 1, 2, 3].iter().for_each(|it| fleet.signal(*it, "-HUP"));
            fleet.put_config(2 + change, service);
            let leaving = servers.remove(0);
            servers.push(add_server(&fleet, 7 + change, leaving.announcement.service.as_str()));
            thread::sleep(CHANGE_INTERVAL);
            fleet.announce(&leaving, 2, ServerState::Draining);
        }
        is_done.store(true, Ordering::SeqCst);
    });

    let outcomes = outcomes.into_inner().unwrap();
    assert!(outcomes.get(&Some(200)).is_some_and(|it| *it > 500), "{outcomes:?}");
    assert_eq!(outcomes.len(), 1, "{outcomes:?}");
}
