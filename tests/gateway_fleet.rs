//! A gateway fleet from its first start to planned stops.

mod gateway;

use std::{
    fs,
    net::{Ipv4Addr, TcpStream},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use gateway::{Fleet, HANG_LIMIT, Server, call, config, receive, send, serving_fleet, wait_for};
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

#[test]
fn a_fleet_serves_from_its_first_start_and_after_the_loss_of_its_leader() {
    let mut fleet = Fleet::start();
    let server = Server::start(1, "queue");
    fleet.put(3, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_ready();
    fleet.wait_served(11, "/look/first");
    fleet.wait_served(12, "/look/first");

    let answer = fleet.request(12, "a1", "/pay/1").unwrap();
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"i-1 /pay/1".as_slice()));
    assert!(stand_in::is_signed(&answer.head));
    assert_eq!(fleet.request(11, "a2", "/none/1").unwrap().status, 404);

    fleet.kill(1);
    fleet.put(9, "other");
    let read = fleet.ask("GET", stand_in::READ_CONFIG, b"");
    assert_eq!(read, stand_in::config_body(&config(9, "other")));
    wait_for("the new configuration", || {
        let statuses = [11, 12].map(|it| fleet.request(it, "a3", "/look/1").map(|it| it.status));
        (statuses == [Some(503), Some(503)]).then_some(())
    });
    fleet.start_control(1, false);
    fleet.put(10, "queue");
    fleet.wait_served(11, "/look/again");
}

#[test]
fn a_request_that_must_not_repeat_runs_once_and_is_not_called_not_run() {
    let fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_ready();
    fleet.wait_used(11, &servers);
    servers.iter().for_each(|it| it.breaks.store(true, Ordering::Relaxed));

    let payment = fleet.request(11, "payment", "/pay/1").unwrap();
    let look = fleet.request(11, "look", "/look/1").unwrap();

    let runs = |id: &str| servers.iter().flat_map(Server::ran).filter(|it| it == id).count();
    assert_eq!((payment.status, runs("payment")), (502, 1));
    assert_eq!((look.status, runs("look")), (502, 2));
}

#[test]
fn an_acknowledged_drain_and_a_reused_address_end_new_work() {
    let fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_ready();
    fleet.wait_used(11, &servers);
    fleet.wait_used(12, &servers);

    fleet.announce(&servers[0], 2, ServerState::Draining);
    // The bound on the spread of a drain is 2.5 s.
    thread::sleep(Duration::from_millis(2_500));
    let before = servers[0].ran().len();
    for i in 0..20 {
        let answer = fleet.request(11 + i % 2, &format!("d{i}"), "/look/1").unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(servers[0].ran().len(), before);

    servers[1].is_other.store(true, Ordering::Relaxed);
    let refused = fleet.request(11, "moved", "/pay/1").unwrap();
    assert_eq!(refused.status, 503);
    assert!(!servers.iter().flat_map(Server::ran).any(|it| it == "moved"));
}

#[test]
fn a_planned_stop_cuts_off_nothing() {
    let (mut fleet, _server) = serving_fleet();
    let listed = fleet.address(11, fleet.ports.callers).to_string();
    wait_for("both addresses", || {
        let all = [11, 12].map(|it| fleet.directory(it).contains(&listed));
        (all == [true, true]).then_some(())
    });
    let address = fleet.address(11, fleet.ports.callers);
    let headers = stand_in::caller_headers("kept", Millis(4_000));
    let mut kept = TcpStream::connect(address).unwrap();
    let mut slow = TcpStream::connect(address).unwrap();
    send(&mut kept, "GET", "/look/1", &headers, b"").unwrap();
    assert_eq!(receive(&mut kept).unwrap().status, 200);

    send(&mut slow, "GET", "/look/slow", &headers, b"").unwrap();
    fleet.signal(11, "-TERM");
    wait_for("a gateway that is not ready", || (!fleet.is_ready(11)).then_some(()));

    send(&mut kept, "GET", "/look/2", &headers, b"").unwrap();
    let answer = receive(&mut kept).expect("the open connection still serves");
    assert_eq!(answer.status, 200);
    assert!(answer.head.to_ascii_lowercase().contains("connection: close"));
    assert_eq!(receive(&mut slow).expect("the request in flight ends").status, 200);
    wait_for("the other directory", || (!fleet.directory(12).contains(&listed)).then_some(()));
    let process = fleet.processes.get_mut(&Ipv4Addr::new(127, 77, fleet.network, 11)).unwrap();
    let start = Instant::now();
    let status = loop {
        if let Some(status) = process.try_wait().unwrap() {
            break status;
        }
        assert!(start.elapsed() < HANG_LIMIT, "the process does not end");
        thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success());
}

#[test]
fn a_caller_that_leaves_frees_its_server_within_half_a_second() {
    let (fleet, server) = serving_fleet();
    let headers = stand_in::caller_headers("leaves", Millis(4_000));
    let mut caller = TcpStream::connect(fleet.address(11, fleet.ports.callers)).unwrap();
    send(&mut caller, "GET", "/look/hang", &headers, b"").unwrap();
    wait_for("the request", || server.ran().contains(&"leaves".to_owned()).then_some(()));

    let left = Instant::now();
    drop(caller);

    let freed = wait_for("the end", || server.freed.lock().unwrap().first().copied());
    assert!(freed - left < Duration::from_millis(500), "{:?}", freed - left);
}

#[test]
fn metrics_of_a_control_host_follow_what_it_sends() {
    let (fleet, _server) = serving_fleet();
    let sent_bytes = || {
        let address = fleet.address(1, fleet.ports.metrics);
        let page = call(address, "GET", "/metrics", &[], b"")?;
        let page = String::from_utf8(page.body).ok()?;
        let name = "daisypaddle_peer_sent_bytes_total ";
        page.lines().find_map(|it| it.strip_prefix(name))?.parse::<u64>().ok()
    };

    // Nothing of the fleet changes, but gateways are still answered.
    let before = wait_for("the metric", sent_bytes);
    let later = wait_for("more bytes", || sent_bytes().filter(|it| *it > before));
    wait_for("still more bytes", || sent_bytes().filter(|it| *it > later));
}

#[test]
fn a_settings_change_cuts_off_nothing_and_is_logged() {
    let (fleet, _server) = serving_fleet();
    let headers = stand_in::caller_headers("hup", Millis(4_000));
    let mut slow = TcpStream::connect(fleet.address(11, fleet.ports.callers)).unwrap();
    send(&mut slow, "GET", "/look/slow", &headers, b"").unwrap();

    fleet.signal(11, "-HUP");
    fleet.signal(1, "-HUP");

    assert_eq!(receive(&mut slow).unwrap().status, 200);
    for host in [11, 1] {
        wait_for("the log line", || {
            let log = fs::read_to_string(fleet.log_file(host)).unwrap();
            log.contains("settings reloaded").then_some(())
        });
    }
}
