//! Tests with real processes that planned stops of gateways cost callers no response.

mod gateway;

use std::{
    collections::VecDeque,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use gateway::{
    Fleet, Server,
    callers::{Ask, Client, Sent, Stops, broken_promises, connect},
    receive, send, wait_for,
};
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

/// Host number of the first gateway.
const FIRST: u8 = 11;

/// Time that most requests take.
const WORK: Duration = Duration::from_millis(230);

/// Time limit of requests that a gateway can promise to answer even late in a stop.
const SHORT_LIMIT: Millis = Millis(1_500);

/// Starts a fleet whose gateways all serve from all of four servers.
fn start(gateways: u8) -> (Fleet, Vec<Server>) {
    let fleet = Fleet::start_with(gateways);
    let servers: Vec<Server> = (1..=4)
        .map(|i| {
            let mut server = Server::start(i, "queue");
            server.announcement.slots = 64;
            server
        })
        .collect();
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    let hosts = FIRST..FIRST + gateways;
    wait_for("ready gateways", || hosts.clone().all(|it| fleet.is_ready(it)).then_some(()));
    hosts.for_each(|it| fleet.wait_until_used(it, &servers));
    (fleet, servers)
}

/// Opens connections that each have served a request.
fn open_kept(gateway: SocketAddr, count: usize) -> VecDeque<TcpStream> {
    let open = |i| {
        let mut stream = connect(gateway).unwrap();
        let ask = Ask::new(format!("open-{gateway}-{i}"), Duration::ZERO);
        assert_eq!(ask.send_on(gateway, &mut stream).status(), 200);
        stream
    };
    (0..count).map(open).collect()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends requests to a gateway at an interval on kept and new connections in turn, each at its time
/// even if others are in flight, from `begin` until `end` or until connections are refused.
fn send_at_interval(
    gateway: SocketAddr,
    mut kept: VecDeque<TcpStream>,
    (begin, end): (Instant, Instant),
    interval: Duration,
    ask: impl Fn(u32) -> Ask,
) -> Vec<Sent> {
    let is_refused = AtomicBool::new(false);
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for i in 0.. {
            let at = begin + interval * i;
            if at >= end || is_refused.load(Ordering::Relaxed) {
                break;
            }
            sleep_until(at);
            let ask = ask(i);
            let stream = if i % 2 == 0 { kept.pop_front() } else { None };
            let is_refused = &is_refused;
            callers.push(scope.spawn(move || {
                if let Some(mut stream) = stream {
                    return Some(ask.send_on(gateway, &mut stream));
                }
                let sent = ask.send_to(gateway);
                is_refused.fetch_or(sent.is_none(), Ordering::Relaxed);
                sent
            }));
        }
        callers.into_iter().filter_map(|it| it.join().unwrap()).collect()
    })
}

/// Returns a request with a time limit that ends before a stop that is about to close its connections.
fn short_ask(id: String) -> Ask {
    Ask { time_limit: Millis(1_000), ..Ask::new(id, WORK) }
}

/// Sends one request after the other to a gateway, with pauses, until connections are refused.
fn send_in_turn(
    gateway: SocketAddr,
    mut kept: VecDeque<TcpStream>,
    begin: Instant,
    pause: Duration,
) -> Vec<Sent> {
    sleep_until(begin);
    let mut sent = Vec::new();
    loop {
        let ask = short_ask(format!("turn-{gateway}-{}", sent.len()));
        let stream = if sent.len() % 2 == 0 { kept.pop_front() } else { None };
        let Some(mut stream) = stream.or_else(|| connect(gateway)) else { return sent };
        sent.push(ask.send_on(gateway, &mut stream));
        thread::sleep(pause);
    }
}

fn assert_kept(fleet: &Fleet, sent: &[Sent], servers: &[Server], stops: &Stops) {
    let broken = broken_promises(sent, servers, stops);
    let mut logs = fleet.stop_logs();
    // Connections that were opened ahead and have carried no request of the test.
    logs.retain(|it| !it.contains("\"open-"));
    assert!(
        broken.is_empty(),
        "{} of {} requests:\n{}\n{}",
        broken.len(),
        sent.len(),
        broken.join("\n"),
        logs.join("\n")
    );
}

#[test]
fn a_request_read_by_a_gateway_that_is_about_to_end_gets_its_answer() {
    // Shorter than the time that a gateway may need to see that no request is in flight and to end.
    const PAUSE: Duration = Duration::from_millis(40);
    const GATEWAYS: u8 = 6;
    let (mut fleet, servers) = start(GATEWAYS);
    let gateways: Vec<_> = (FIRST..FIRST + GATEWAYS).map(|it| fleet.callers(it)).collect();
    let mut kept: Vec<_> = gateways.iter().map(|it| open_kept(*it, 40)).collect();

    let stops: Stops =
        (FIRST..FIRST + GATEWAYS).map(|it| (fleet.callers(it), fleet.stop(it))).collect();
    let sent: Vec<Sent> = thread::scope(|scope| {
        let callers: Vec<_> = stops
            .iter()
            .zip(kept.drain(..))
            .enumerate()
            .map(|(i, ((gateway, signalled), kept))| {
                scope.spawn(move || {
                    let begin = *signalled + Duration::from_millis(3_200);
                    if i % 2 == 0 {
                        return send_in_turn(*gateway, kept, begin, PAUSE);
                    }
                    let time = (begin, *signalled + Duration::from_secs(6));
                    send_at_interval(*gateway, kept, time, Duration::from_millis(10), |i| {
                        short_ask(format!("dense-{gateway}-{i}"))
                    })
                })
            })
            .collect();
        for (host, (_, signalled)) in (FIRST..FIRST + GATEWAYS).zip(&stops) {
            fleet.expect_exit(host, *signalled);
        }
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });

    assert_kept(&fleet, &sent, &servers, &stops);
}

#[test]
fn a_request_is_not_answered_by_a_stopping_gateway_while_its_server_works() {
    let (mut fleet, servers) = start(2);
    let gateway = fleet.callers(FIRST);
    let ask = |name: &str, i: u32, work_ms| {
        let route = if (i / 2).is_multiple_of(2) { "look" } else { "pay" };
        let time_limit = if (i / 4).is_multiple_of(2) { SHORT_LIMIT } else { Millis(3_000) };
        let ask = Ask::new(format!("{name}-{i}"), Duration::from_millis(work_ms));
        Ask { route, time_limit, ..ask }
    };
    let quick = |i| ask("quick", i, 10);
    let slow = |i| ask("slow", i, 1_200);
    let (quick_kept, slow_kept) = (open_kept(gateway, 40), open_kept(gateway, 20));
    let begin = Instant::now();
    let signalled = begin + Duration::from_secs(1);
    let end = signalled + Duration::from_secs(6);

    let sent: Vec<Sent> = thread::scope(|scope| {
        let quick = scope.spawn(|| {
            send_at_interval(gateway, quick_kept, (begin, end), Duration::from_millis(10), quick)
        });
        let slow = scope.spawn(|| {
            let time = (signalled, end);
            send_at_interval(gateway, slow_kept, time, Duration::from_millis(100), slow)
        });
        sleep_until(signalled);
        fleet.stop(FIRST);
        fleet.expect_exit(FIRST, signalled);
        [quick, slow].into_iter().flat_map(|it| it.join().unwrap()).collect()
    });

    assert_kept(&fleet, &sent, &servers, &vec![(gateway, signalled)]);
    let served = sent.iter().filter(|it| it.ask.id.starts_with("slow") && it.status() == 200);
    assert!(served.count() >= 10, "requests are served while callers can't know of the stop");
}

#[test]
fn an_answer_that_its_caller_reads_slowly_is_not_cut_by_a_planned_stop() {
    let (mut fleet, servers) = start(2);
    let gateway = fleet.callers(FIRST);
    let large = |i| Ask {
        size: 8_000_000,
        time_limit: SHORT_LIMIT,
        read_delay: Duration::from_millis(600),
        ..Ask::new(format!("large-{i}"), Duration::from_millis(50))
    };
    let kept = open_kept(gateway, 20);

    let signalled = fleet.stop(FIRST);
    let begin = signalled + Duration::from_millis(1_000);
    let time = (begin, signalled + Duration::from_millis(4_700));
    let sent = thread::scope(|scope| {
        let callers = scope
            .spawn(|| send_at_interval(gateway, kept, time, Duration::from_millis(150), large));
        fleet.expect_exit(FIRST, signalled);
        callers.join().unwrap()
    });

    assert_kept(&fleet, &sent, &servers, &vec![(gateway, signalled)]);
    let served = sent.iter().filter(|it| it.status() == 200);
    assert!(served.count() >= 5, "answers are delivered in the stop");
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn stopping_all_gateways_in_turn_breaks_no_promise() {
    const GATEWAYS: u8 = 8;
    const SEED: u64 = 31;
    const STOP_INTERVAL: Duration = Duration::from_millis(3_500);
    let (mut fleet, servers) = start(GATEWAYS);
    let hosts = FIRST..FIRST + GATEWAYS;
    let directories: Vec<_> =
        hosts.clone().map(|it| fleet.address(it, fleet.ports.directory)).collect();
    let begin = Instant::now();
    let last_stop = begin + STOP_INTERVAL * u32::from(GATEWAYS - 1);
    let end = last_stop + Duration::from_secs(6);
    let mut stops = Stops::new();
    let mut stopping = Vec::new();

    let sent: Vec<Sent> = thread::scope(|scope| {
        let callers: Vec<_> = (0..32)
            .map(|it| {
                let client = Client::new(SEED, it, directories.clone());
                scope.spawn(move || client.run(end))
            })
            .collect();
        let mut next = 0;
        while next < GATEWAYS || !stopping.is_empty() {
            if next < GATEWAYS && begin + STOP_INTERVAL * u32::from(next) <= Instant::now() {
                stops.push((fleet.callers(FIRST + next), fleet.stop(FIRST + next)));
                stopping.push(FIRST + next);
                next += 1;
            }
            stopping.retain(|host| {
                let Some(status) = fleet.exit_status(*host) else { return true };
                assert!(status.success(), "{status}");
                fleet.start_gateway(*host);
                false
            });
            thread::sleep(Duration::from_millis(20));
        }
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });

    assert_kept(&fleet, &sent, &servers, &stops);
    let served = sent.iter().filter(|it| it.status() == 200).count();
    assert!(served * 10 >= sent.len() * 9, "{served} of {} were served", sent.len());
}

#[test]
fn a_second_sigterm_cuts_off_no_request() {
    let (mut fleet, servers) = start(2);
    let gateway = fleet.callers(FIRST);
    let slow = |i| Ask::new(format!("slow-{i}"), Duration::from_millis(1_200));

    let signalled = fleet.stop(FIRST);
    let time = (signalled, signalled + Duration::from_millis(800));
    let sent = thread::scope(|scope| {
        let callers = scope.spawn(|| {
            send_at_interval(gateway, VecDeque::new(), time, Duration::from_millis(100), slow)
        });
        sleep_until(signalled + Duration::from_millis(500));
        fleet.stop(FIRST);
        callers.join().unwrap()
    });

    assert_kept(&fleet, &sent, &servers, &vec![(gateway, signalled)]);
    assert!(sent.iter().all(|it| it.status() == 200));
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_sigterm_right_after_a_sighup_cuts_off_no_request() {
    let (mut fleet, servers) = start(2);
    let gateway = fleet.callers(FIRST);
    let slow = |i| Ask::new(format!("slow-{i}"), Duration::from_millis(1_200));
    let begin = Instant::now();
    let time = (begin, begin + Duration::from_millis(800));

    let (sent, signalled) = thread::scope(|scope| {
        let callers = scope.spawn(|| {
            send_at_interval(gateway, VecDeque::new(), time, Duration::from_millis(50), slow)
        });
        sleep_until(begin + Duration::from_millis(400));
        fleet.signal(FIRST, "-HUP");
        let signalled = fleet.stop(FIRST);
        (callers.join().unwrap(), signalled)
    });

    assert_kept(&fleet, &sent, &servers, &vec![(gateway, signalled)]);
    assert!(sent.iter().all(|it| it.status() == 200));
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_gateway_stopped_before_its_first_configuration_answers_and_ends_in_time() {
    let mut fleet = Fleet::start();
    let gateway = fleet.callers(FIRST);
    let mut stream = wait_for("a listening gateway", || connect(gateway));
    let headers = stand_in::caller_headers("early", Millis(3_000));
    send(&mut stream, "GET", "/look/1", &headers, b"").unwrap();

    let signalled = fleet.stop(FIRST);

    let response = receive(&mut stream).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.retry_after().is_some());
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_request_whose_body_is_sent_around_a_sigterm_is_answered() {
    let (mut fleet, _servers) = start(2);
    let mut stream = connect(fleet.callers(FIRST)).unwrap();
    let headers = stand_in::caller_headers("body", Millis(3_000));
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let head = format!(
        "POST /look/1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 1000\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&[b'a'; 500]).unwrap();

    let signalled = fleet.stop(FIRST);
    sleep_until(signalled + Duration::from_secs(1));
    stream.write_all(&[b'a'; 500]).unwrap();

    assert_eq!(receive(&mut stream).expect("a response").status, 200);
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_half_sent_head_does_not_keep_a_gateway_from_its_end() {
    let (mut fleet, _servers) = start(2);
    let mut stream = connect(fleet.callers(FIRST)).unwrap();
    stream.write_all(b"GET /look/1 HTTP/1.1\r\nhost: shop").unwrap();

    let signalled = fleet.stop(FIRST);

    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_half_sent_head_does_not_keep_a_gateway_that_owes_nothing() {
    let (mut fleet, _servers) = start(2);
    let mut stream = connect(fleet.callers(FIRST)).unwrap();
    stream.write_all(b"GET /look/1 HTTP/1.1\r\nhost: shop").unwrap();

    let signalled = fleet.stop(FIRST);

    fleet.expect_exit(FIRST, signalled);
    let took = signalled.elapsed();
    // The connections are to be closed 3.5 s after the signal.
    assert!(took < Duration::from_millis(4_500), "ended after {took:?}");
}

#[test]
fn a_gateway_that_handles_its_signal_late_ends_before_it_is_killed() {
    let (mut fleet, _servers) = start(2);
    let mut stream = connect(fleet.callers(FIRST)).unwrap();
    stream
        .write_all(b"POST /look/1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 9\r\n\r\nhalf")
        .unwrap();

    fleet.signal(FIRST, "-STOP");
    let signalled = fleet.stop(FIRST);
    sleep_until(signalled + Duration::from_millis(300));
    fleet.signal(FIRST, "-CONT");

    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_pipelined_request_around_a_sigterm_is_answered_or_not_passed_on() {
    let (mut fleet, servers) = start(2);
    let mut stream = connect(fleet.callers(FIRST)).unwrap();
    let path = "/look/1/work-1200";
    for id in ["first", "second"] {
        let headers = stand_in::caller_headers(id, Millis(3_000));
        send(&mut stream, "GET", path, &headers, b"").unwrap();
    }
    let has_arrived =
        |id: &str| servers.iter().any(|it| it.attempt_ids().iter().any(|it| it == id));
    wait_for("the first request", || has_arrived("first").then_some(()));

    let signalled = fleet.stop(FIRST);
    let mut responses = Vec::new();
    // A connection that is closed before all of its requests are read may be reset.
    let _ = stream.read_to_end(&mut responses);

    let responses = String::from_utf8_lossy(&responses);
    let answered = responses.matches(&format!(" {path}")).count();
    let expected = 1 + usize::from(has_arrived("second"));
    assert_eq!(answered, expected, "{responses}");
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn a_response_is_not_destroyed_by_what_its_caller_sends_after_the_request() {
    let (mut fleet, _servers) = start(2);
    let signalled = fleet.stop(FIRST);
    let mut stream = connect(fleet.callers(FIRST)).unwrap();
    let headers = stand_in::caller_headers("first", Millis(3_000));
    send(&mut stream, "GET", "/look/1/size-8000000", &headers, b"").unwrap();

    // The gateway closes the connection after its response, and reads no more requests.
    let mut writer = stream.try_clone().unwrap();
    let rest = thread::spawn(move || writer.write_all(&vec![b'a'; 4_000_000]));
    thread::sleep(Duration::from_millis(600));
    let response = receive(&mut stream);

    assert_eq!(response.map(|it| (it.status, it.body.len())), Some((200, 8_000_000)));
    drop(stream);
    let _ = rest.join().unwrap();
    fleet.expect_exit(FIRST, signalled);
}

#[test]
fn requests_that_arrive_while_a_stopping_gateway_is_frozen_get_an_answer() {
    let (mut fleet, servers) = start(2);
    let gateway = fleet.callers(FIRST);
    let mut kept = open_kept(gateway, 5);
    let signalled = fleet.stop(FIRST);

    // The connections are to be closed 3.5 s after the signal.
    sleep_until(signalled + Duration::from_millis(3_250));
    fleet.signal(FIRST, "-STOP");
    sleep_until(signalled + Duration::from_millis(3_350));
    let sent: Vec<Sent> = thread::scope(|scope| {
        let callers: Vec<_> = (0..10)
            .map(|i| {
                let stream = if i % 2 == 0 { kept.pop_front() } else { None };
                scope.spawn(move || {
                    let mut stream = stream.or_else(|| connect(gateway)).unwrap();
                    let ask = Ask::new(format!("frozen-{i}"), Duration::from_millis(10));
                    Ask { time_limit: Millis(1_000), ..ask }.send_on(gateway, &mut stream)
                })
            })
            .collect();
        sleep_until(signalled + Duration::from_millis(3_700));
        fleet.signal(FIRST, "-CONT");
        callers.into_iter().map(|it| it.join().unwrap()).collect()
    });

    assert_kept(&fleet, &sent, &servers, &vec![(gateway, signalled)]);
    let unanswered: Vec<_> =
        sent.iter().filter(|it| it.status() == 0).map(|it| &it.ask.id).collect();
    assert!(unanswered.is_empty(), "{unanswered:?}");
    fleet.expect_exit(FIRST, signalled);
}
