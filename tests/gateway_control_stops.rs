//! Tests that a planned stop of a control host ends no request that it has read without an answer.

mod gateway;

use std::{
    net::{SocketAddr, TcpStream},
    process::ExitStatus,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use gateway::{Fleet, HttpResponse, Server, WAIT_TIMEOUT, call, config, receive, send, wait_for};
use platform::stand_in;
use schema::announcement::{Announcement, ServerState};

/// Statuses that a control host gives: done, ask another control host, or ask again.
const STATUSES: [u16; 3] = [200, 307, 503];

/// Time after the signal until the other control hosts can answer again.
const MAJORITY_RETURNS_AFTER: Duration = Duration::from_millis(400);

/// Time after the signal until the rest of a half-sent request follows.
const REST_FOLLOWS_AFTER: Duration = Duration::from_millis(300);

/// Time that a stopping control host may take, with a margin for a busy machine.
const MAX_STOP_TIME: Duration = Duration::from_secs(5);

/// Starts three control hosts, which have accepted version 1; returns the leader as well.
fn control_fleet() -> (Fleet, u8) {
    let fleet = Fleet::start_with(0);
    fleet.put_config(1, "queue");
    let leader = wait_for("a leader", || (1..=3).find(|it| read_version(&fleet, *it).is_some()));
    (fleet, leader)
}

fn request_address(fleet: &Fleet, host: u8) -> SocketAddr {
    fleet.address(host, fleet.ports.requests)
}

/// Reads the newest version from a control host, without following redirects.
fn read_version(fleet: &Fleet, host: u8) -> Option<u64> {
    let response = call(request_address(fleet, host), "GET", stand_in::READ_CONFIG, &[], b"")?;
    (response.status == 200).then(|| version_of(&response.body))
}

fn version_of(body: &[u8]) -> u64 {
    let config: serde_json::Value = serde_json::from_slice(body).unwrap();
    config["version"].as_u64().unwrap()
}

fn config_body(version: u64) -> Vec<u8> {
    stand_in::config_body(&config(version, "queue"))
}

fn connect(fleet: &Fleet, host: u8) -> TcpStream {
    let stream = TcpStream::connect(request_address(fleet, host)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Opens a connection on which a read was answered.
fn kept_connection(fleet: &Fleet, host: u8) -> TcpStream {
    let mut stream = connect(fleet, host);
    send(&mut stream, "GET", stand_in::READ_CONFIG, &[], b"").unwrap();
    assert_eq!(receive(&mut stream).unwrap().status, 200);
    stream
}

/// Writes the head of a change of the configuration and half of its body; returns the other half.
fn send_half(stream: &mut TcpStream, version: u64) -> Vec<u8> {
    use std::io::Write;
    let mut body = config_body(version);
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: control\r\ncontent-length: {}\r\n\r\n",
        stand_in::PUT_CONFIG,
        body.len()
    );
    let rest = body.split_off(body.len() / 2);
    stream.write_all(&[head.into_bytes(), body].concat()).unwrap();
    rest
}

/// Waits for the end of a process; returns how long that took.
fn wait_for_exit(fleet: &mut Fleet, host: u8) -> (ExitStatus, Duration) {
    let start = Instant::now();
    let ip = fleet.ip(host);
    let process = fleet.processes.get_mut(&ip).unwrap();
    let status = wait_for("the end of the process", || process.try_wait().unwrap());
    (status, start.elapsed())
}

fn others(host: u8) -> impl Iterator<Item = u8> {
    (1..=3).filter(move |it| *it != host)
}

#[test]
fn requests_that_wait_for_a_majority_at_a_planned_stop_get_an_answer() {
    let (mut fleet, leader) = control_fleet();
    let server = Server::start(1, "queue");
    let announcement = |sequence| Announcement {
        sequence,
        state: ServerState::Serving,
        ..server.announcement.clone()
    };
    let mut streams: Vec<TcpStream> = (0..30)
        .map(|i| match i % 2 {
            0 => connect(&fleet, leader),
            _ => kept_connection(&fleet, leader),
        })
        .collect();
    others(leader).for_each(|it| fleet.signal(it, "-STOP"));
    for (stream, i) in streams.iter_mut().zip(0u64..) {
        let path = stand_in::announce_path(&server.announcement.server);
        let body = stand_in::announcement_body(&announcement(i + 1));
        match i % 3 {
            0 => send(stream, "POST", stand_in::PUT_CONFIG, &[], &config_body(10 + i)),
            1 => send(stream, "POST", &path, &[], &body),
            _ => send(stream, "GET", stand_in::READ_CONFIG, &[], b""),
        }
        .unwrap();
    }
    thread::sleep(Duration::from_millis(100));

    fleet.signal(leader, "-TERM");
    thread::sleep(MAJORITY_RETURNS_AFTER);
    others(leader).for_each(|it| fleet.signal(it, "-CONT"));

    let responses: Vec<Option<HttpResponse>> = streams.iter_mut().map(receive).collect();
    let statuses: Vec<_> = responses.iter().map(|it| it.as_ref().map(|it| it.status)).collect();
    let unanswered = statuses.iter().filter(|it| it.is_none()).count();
    assert_eq!(unanswered, 0, "{statuses:?}");
    assert!(statuses.iter().flatten().all(|it| STATUSES.contains(it)), "{statuses:?}");
    let (status, took) = wait_for_exit(&mut fleet, leader);
    assert!(status.success() && took < MAX_STOP_TIME, "{status} after {took:?}");
    let acknowledged = (0u64..).zip(&statuses).filter(|(i, it)| i % 3 == 0 && **it == Some(200));
    let newest = acknowledged.map(|(i, _)| 10 + i).max().unwrap_or(1);
    let read = version_of(&fleet.call_control("GET", stand_in::READ_CONFIG, b""));
    assert!(read >= newest, "version {newest} was acknowledged, and {read} is read");
}

#[test]
fn a_change_whose_rest_arrives_after_the_signal_is_acknowledged() {
    use std::io::Write;
    let (mut fleet, leader) = control_fleet();
    let mut stream = connect(&fleet, leader);
    let rest = send_half(&mut stream, 2);
    thread::sleep(Duration::from_millis(100));

    fleet.signal(leader, "-TERM");
    thread::sleep(REST_FOLLOWS_AFTER);
    let _ = stream.write_all(&rest);

    assert_eq!(receive(&mut stream).map(|it| it.status), Some(200));
    let (status, took) = wait_for_exit(&mut fleet, leader);
    assert!(status.success() && took < MAX_STOP_TIME, "{status} after {took:?}");
    let read = fleet.call_control("GET", stand_in::READ_CONFIG, b"");
    assert_eq!(version_of(&read), 2);
}

#[test]
fn a_change_whose_rest_never_arrives_is_refused_at_a_planned_stop() {
    let (mut fleet, leader) = control_fleet();
    let mut stream = connect(&fleet, leader);
    send_half(&mut stream, 2);
    thread::sleep(Duration::from_millis(100));

    fleet.signal(leader, "-TERM");

    assert_eq!(receive(&mut stream).map(|it| it.status), Some(503));
    let (status, took) = wait_for_exit(&mut fleet, leader);
    assert!(status.success() && took < MAX_STOP_TIME, "{status} after {took:?}");
}

/// What an operator has seen.
#[derive(Default)]
struct Seen {
    /// Responses by status.
    answered: usize,
    /// Requests that were sent before the signal and got no complete answer.
    cut: Vec<String>,
    /// Reads that returned less than was acknowledged or read before they were sent.
    outdated: Vec<String>,
}

/// Ends the operators of a test, also when the test fails.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends changes and reads to all control hosts in turn until `is_done`, each on an open connection
/// as long as there is one.
fn operate(
    addresses: &[SocketAddr],
    next_version: &AtomicU64,
    known_version: &AtomicU64,
    signalled: &AtomicU64,
    is_done: &AtomicBool,
    start: Instant,
) -> Seen {
    let mut seen = Seen::default();
    let mut streams: Vec<Option<TcpStream>> = addresses.iter().map(|_| None).collect();
    for i in (0..addresses.len()).cycle() {
        if is_done.load(Ordering::SeqCst) {
            break;
        }
        let stream = streams[i].take().or_else(|| TcpStream::connect(addresses[i]).ok());
        let Some(mut stream) = stream else { continue };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let version = next_version.fetch_add(1, Ordering::SeqCst);
        let is_read = version.is_multiple_of(3);
        let known = known_version.load(Ordering::SeqCst);
        let sent = match is_read {
            true => send(&mut stream, "GET", stand_in::READ_CONFIG, &[], b""),
            false => send(&mut stream, "POST", stand_in::PUT_CONFIG, &[], &config_body(version)),
        };
        let sent_at = start.elapsed().as_micros() as u64;
        let response = sent.and_then(|()| receive(&mut stream));
        let Some(response) = response else {
            // A request may cross the close of its connection.
            let signalled = signalled.load(Ordering::SeqCst);
            if sent.is_some() && sent_at + 20_000 < signalled {
                seen.cut.push(format!("sent {} us before the signal", signalled - sent_at));
            }
            continue;
        };
        seen.answered += 1;
        assert!(STATUSES.contains(&response.status), "{}", response.head);
        if response.status == 200 {
            let version = if is_read { version_of(&response.body) } else { version };
            if is_read && version < known {
                seen.outdated.push(format!("{version} after {known}"));
            }
            known_version.fetch_max(version, Ordering::SeqCst);
        }
        if !response.head.to_ascii_lowercase().contains("connection: close") {
            streams[i] = Some(stream);
        }
    }
    seen
}

#[test]
fn planned_stops_of_leaders_in_turn_lose_no_acknowledged_change() {
    let (mut fleet, _) = control_fleet();
    let addresses: Vec<SocketAddr> = (1..=3).map(|it| request_address(&fleet, it)).collect();
    let (next_version, known_version) = (AtomicU64::new(2), AtomicU64::new(1));
    let (signalled, is_done, start) = (AtomicU64::new(0), AtomicBool::new(false), Instant::now());

    let seen: Vec<Seen> = thread::scope(|scope| {
        let operators: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    operate(&addresses, &next_version, &known_version, &signalled, &is_done, start)
                })
            })
            .collect();
        let done = SetOnDrop(&is_done);
        for _ in 0..4 {
            let before = known_version.load(Ordering::SeqCst);
            wait_for("a new version", || {
                (known_version.load(Ordering::SeqCst) > before + 20).then_some(())
            });
            let leader =
                wait_for("a leader", || (1..=3).find(|it| read_version(&fleet, *it).is_some()));
            signalled.store(start.elapsed().as_micros() as u64, Ordering::SeqCst);
            fleet.signal(leader, "-TERM");
            let (status, took) = wait_for_exit(&mut fleet, leader);
            assert!(status.success() && took < MAX_STOP_TIME, "{status} after {took:?}");
            fleet.start_control(leader, false);
        }
        drop(done);
        operators.into_iter().map(|it| it.join().unwrap()).collect()
    });

    let cut: Vec<_> = seen.iter().flat_map(|it| &it.cut).collect();
    let outdated: Vec<_> = seen.iter().flat_map(|it| &it.outdated).collect();
    assert!(seen.iter().map(|it| it.answered).sum::<usize>() > 300);
    assert!(cut.is_empty() && outdated.is_empty(), "cut {cut:?}, outdated {outdated:?}");
    let newest = known_version.load(Ordering::SeqCst);
    let read = version_of(&fleet.call_control("GET", stand_in::READ_CONFIG, b""));
    assert!(read >= newest, "version {newest} was acknowledged, and {read} is read");
}
