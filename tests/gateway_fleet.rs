//! Tests a gateway fleet of real processes from its first start to a planned stop.

mod gateway;

use std::{
    fs,
    net::{Ipv4Addr, TcpListener, TcpStream},
    panic::{self, AssertUnwindSafe},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use gateway::{Fleet, Server, WAIT_TIMEOUT, call, config, receive, send, serving_fleet, wait_for};
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

#[test]
fn a_fleet_serves_from_its_first_start_and_after_the_loss_of_a_control_host() {
    let mut fleet = Fleet::start();
    let server = Server::start(1, "queue");
    fleet.put_config(3, "queue");
    fleet.announce(&server, 1, ServerState::Serving);
    fleet.wait_until_ready();
    fleet.wait_until_served(11, "/look/first");
    fleet.wait_until_served(12, "/look/first");

    let response = fleet.request(12, "a1", "/pay/1").unwrap();
    assert_eq!((response.status, response.body.as_slice()), (200, b"i-1 /pay/1".as_slice()));
    assert!(stand_in::is_signed(&response.head));
    assert_eq!(fleet.request(11, "a2", "/none/1").unwrap().status, 404);

    fleet.kill(1);
    fleet.put_config(9, "other");
    let read = fleet.call_control("GET", stand_in::READ_CONFIG, b"");
    assert_eq!(read, stand_in::config_body(&config(9, "other")));
    wait_for("the new configuration", || {
        let statuses = [11, 12].map(|it| fleet.request(it, "a3", "/look/1").map(|it| it.status));
        (statuses == [Some(503), Some(503)]).then_some(())
    });
    fleet.start_control(1, false);
    fleet.put_config(10, "queue");
    fleet.wait_until_served(11, "/look/again");
}

#[test]
fn a_non_idempotent_request_runs_once_and_is_not_reported_as_not_run() {
    let fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    fleet.wait_until_used(11, &servers);
    servers.iter().for_each(|it| it.drops_connections.store(true, Ordering::Relaxed));

    let payment = fleet.request(11, "payment", "/pay/1").unwrap();
    let look = fleet.request(11, "look", "/look/1").unwrap();

    let runs =
        |id: &str| servers.iter().flat_map(Server::attempt_ids).filter(|it| it == id).count();
    assert_eq!((payment.status, runs("payment")), (502, 1));
    assert_eq!((look.status, runs("look")), (502, 2));
}

#[test]
fn a_draining_server_and_a_reused_address_get_no_new_requests() {
    let fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    fleet.wait_until_used(11, &servers);
    fleet.wait_until_used(12, &servers);

    fleet.announce(&servers[0], 2, ServerState::Draining);
    // Gateways must learn of a drain within 2.5 s.
    thread::sleep(Duration::from_millis(2_500));
    let before = servers[0].attempt_ids().len();
    for i in 0..20 {
        let response = fleet.request(11 + i % 2, &format!("d{i}"), "/look/1").unwrap();
        assert_eq!(response.status, 200);
    }
    assert_eq!(servers[0].attempt_ids().len(), before);

    servers[1].has_other_id.store(true, Ordering::Relaxed);
    let refused = fleet.request(11, "moved", "/pay/1").unwrap();
    assert_eq!(refused.status, 503);
    assert!(!servers.iter().flat_map(Server::attempt_ids).any(|it| it == "moved"));
}

#[test]
fn a_planned_stop_cuts_off_no_request() {
    let (mut fleet, _server) = serving_fleet();
    let listed = fleet.address(11, fleet.ports.callers).to_string();
    wait_for("the address in both directories", || {
        let is_listed = [11, 12].map(|it| fleet.directory(it).contains(&listed));
        (is_listed == [true, true]).then_some(())
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
    let response = receive(&mut kept).expect("the open connection still serves");
    assert_eq!(response.status, 200);
    assert!(response.head.to_ascii_lowercase().contains("connection: close"));
    assert_eq!(receive(&mut slow).expect("the request in flight ends").status, 200);
    wait_for("the removal of the address from the other directory", || {
        (!fleet.directory(12).contains(&listed)).then_some(())
    });
    let process = fleet.processes.get_mut(&Ipv4Addr::new(127, 77, fleet.subnet, 11)).unwrap();
    let start = Instant::now();
    let status = loop {
        if let Some(status) = process.try_wait().unwrap() {
            break status;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not exit");
        thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success());
}

#[test]
fn a_caller_that_disconnects_frees_its_server_within_half_a_second() {
    let (fleet, server) = serving_fleet();
    let headers = stand_in::caller_headers("leaves", Millis(4_000));
    let mut caller = TcpStream::connect(fleet.address(11, fleet.ports.callers)).unwrap();
    send(&mut caller, "GET", "/look/hang", &headers, b"").unwrap();
    wait_for("the request", || server.attempt_ids().contains(&"leaves".to_owned()).then_some(()));

    let disconnected = Instant::now();
    drop(caller);

    let closed_at =
        wait_for("the closed connection", || server.closed_at.lock().unwrap().first().copied());
    let delay = closed_at - disconnected;
    assert!(delay < Duration::from_millis(500), "{delay:?}");
}

#[test]
fn a_control_host_counts_the_bytes_that_it_sends() {
    let (fleet, _server) = serving_fleet();
    let sent_bytes = || {
        let address = fleet.address(1, fleet.ports.metrics);
        let page = call(address, "GET", "/metrics", &[], b"")?;
        let page = String::from_utf8(page.body).ok()?;
        let name = "daisypaddle_peer_sent_bytes_total ";
        page.lines().find_map(|it| it.strip_prefix(name))?.parse::<u64>().ok()
    };

    // The fleet does not change, but the control host still responds to the polls of gateways.
    let before = wait_for("the metric", sent_bytes);
    let later = wait_for("more bytes", || sent_bytes().filter(|it| *it > before));
    wait_for("still more bytes", || sent_bytes().filter(|it| *it > later));
}

/// Returns what a gateway's processes were told that earlier ones had spent, in thousandths of a retry.
fn earlier_retries(fleet: &Fleet, host: u8) -> Vec<u64> {
    let log = fs::read_to_string(fleet.log_file(host)).unwrap();
    let lines = log.lines().filter(|it| it.contains("retries of earlier processes known"));
    let charged =
        |line| serde_json::from_str::<serde_json::Value>(line).ok()?["charged_milli"].as_u64();
    lines.filter_map(charged).collect()
}

#[test]
fn a_gateway_that_was_killed_knows_the_retries_of_its_earlier_process() {
    let mut fleet = Fleet::start();
    let servers = [Server::start(1, "queue"), Server::start(2, "queue")];
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    fleet.wait_until_used(11, &servers);
    wait_for("the first answer", || (earlier_retries(&fleet, 11) == [0]).then_some(()));

    // A report that a process has just queued may be lost with it.
    wait_for("a process that knows the retries of the one before", || {
        servers.iter().for_each(|it| it.drops_connections.store(true, Ordering::Relaxed));
        fleet.request(11, "lost", "/look/lost");
        servers.iter().for_each(|it| it.drops_connections.store(false, Ordering::Relaxed));
        let known = earlier_retries(&fleet, 11).len();
        fleet.kill(11);
        fleet.start_gateway(11);
        wait_for("the next answer", || (earlier_retries(&fleet, 11).len() > known).then_some(()));
        fleet.wait_until_served(11, "/look/again");
        earlier_retries(&fleet, 11).last().filter(|it| **it >= 1_000).map(|_| ())
    });
}

#[test]
fn a_settings_reload_cuts_off_no_request_and_is_logged() {
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

#[test]
fn hosts_listen_outside_the_range_of_ports_of_outgoing_connections() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let range: Vec<u16> = range.split_whitespace().map(|it| it.parse().unwrap()).collect();

    let ports = Fleet::start_with(0).ports;

    let all = [
        ports.peer,
        ports.metrics,
        ports.requests,
        ports.callers,
        ports.readiness,
        ports.directory,
    ];
    assert!(all.iter().all(|it| !(range[0]..=range[1]).contains(it)), "{all:?} in {range:?}");
}

#[test]
fn ports_of_a_fleet_are_free_while_other_threads_start_processes() {
    let is_done = AtomicBool::new(false);
    let mut taken = Vec::new();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let _ = Command::new("true").status();
                }
            });
        }
        for _ in 0..20 {
            let fleet = Fleet::without_hosts();
            let address = fleet.address(1, fleet.ports.peer);
            taken.extend(TcpListener::bind(address).is_err().then_some(address));
        }
        is_done.store(true, Ordering::Relaxed);
    });

    assert_eq!(taken, []);
}

#[test]
fn a_wait_ends_with_the_log_of_a_host_that_has_ended_on_its_own() {
    let mut fleet = Fleet::start_with(0);
    let _occupied = TcpListener::bind(fleet.address(9, fleet.ports.peer)).unwrap();
    let start = Instant::now();

    fleet.start_control(9, false);
    let wait = AssertUnwindSafe(|| wait_for("nothing", || None::<()>));
    let payload = panic::catch_unwind(wait).unwrap_err();

    let message = payload.downcast_ref::<String>().unwrap();
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "{message}");
    let ip = fleet.ip(9);
    assert!(message.contains(&format!("host {ip} has ended")), "{message}");
    assert!(message.contains("cannot listen on"), "{message}");
    fleet.kill(9);
}

#[test]
fn control_hosts_that_wait_for_the_bootstrap_log_which_one_is_missing() {
    let mut fleet = Fleet::without_hosts();
    let lines_of = |fleet: &Fleet, host: u8| {
        let log = fs::read_to_string(fleet.log_file(host)).unwrap();
        let line = "waiting for control hosts to bootstrap the log";
        let lines = log.lines().filter(|it| it.contains(line));
        let missing = |it| {
            serde_json::from_str::<serde_json::Value>(it).ok()?["missing"]
                .as_str()
                .map(str::to_owned)
        };
        lines.filter_map(missing).collect::<Vec<String>>()
    };
    let missing = fleet.ip(3).to_string();

    (1..=2).for_each(|it| fleet.start_control(it, true));
    for host in 1..=2 {
        wait_for("a second line", || (lines_of(&fleet, host).len() >= 2).then_some(()));
        let lines = lines_of(&fleet, host);
        assert!(lines.iter().all(|it| *it == missing), "{lines:?}");
    }
    fleet.start_control(3, true);
    fleet.put_config(1, "queue");

    let lines = lines_of(&fleet, 1).len();
    thread::sleep(Duration::from_millis(5_500));
    assert_eq!(lines_of(&fleet, 1).len(), lines, "the bootstrapped log waits for no host");
    assert_eq!(lines_of(&fleet, 3), [] as [String; 0]);
}
