//! Tests that requests that crash backend servers are refused, and no others.

mod gateway;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use gateway::{
    Fleet,
    crashing::{CrashingServer, DOWN_TIME, Fate, Running},
    wait_for,
};

const LOOKUP: &str = "/look/status";

/// Starts control hosts 1 to 3, gateways from host 11 on and servers, and waits until all serve.
fn serving_fleet(
    gateways: u8,
    servers: u64,
    decide: impl Fn(u64, &str) -> Fate + Clone + Send + Sync + 'static,
) -> (Fleet, Vec<Running>) {
    let fleet = Fleet::start_with(gateways);
    fleet.put_config(1, "queue");
    let servers = CrashingServer::start_all(&fleet, servers, decide);
    let hosts = 11..11 + gateways;
    wait_for("ready gateways", || hosts.clone().all(|it| fleet.is_ready(it)).then_some(()));
    hosts.for_each(|it| fleet.wait_until_served(it, &format!("/look/first-{it}")));
    (fleet, servers)
}

/// Guards against a path that many callers look up being refused since servers have lost answers to it.
#[test]
fn a_popular_lookup_is_served_after_servers_have_lost_answers() {
    let is_losing = Arc::new(AtomicBool::new(false));
    let (losing, count) = (is_losing.clone(), Arc::new(AtomicU64::new(0)));
    let (fleet, _servers) = serving_fleet(6, 6, move |server, path| {
        let is_lost = || count.fetch_add(1, Ordering::SeqCst) % 5 < 2;
        match path == LOOKUP && server <= 4 && losing.load(Ordering::SeqCst) && is_lost() {
            true => Fate::AnswerLost,
            false => Fate::Answered,
        }
    });
    let look_up = |number: u64| {
        let gateway = 11 + (number % 6) as u8;
        fleet.request(gateway, &format!("r{number}"), LOOKUP).map(|it| it.status)
    };

    is_losing.store(true, Ordering::SeqCst);
    for number in 0..150 {
        look_up(number);
    }
    is_losing.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));

    let refused = (1_000..1_120).filter(|it| look_up(*it) != Some(200)).count();
    assert_eq!(refused, 0);
}

const POISON: &str = "/pay/poison";

/// Time after the third crash within which all gateways must know of it.
const SPREAD_TIME: Duration = Duration::from_secs(3);

/// Number of crashes that are allowed later than that.
const MAX_LATE_CRASHES: usize = 3;

/// What becomes of requests, of which one crashes each server that runs it.
fn crash_on_poison(_server: u64, path: &str) -> Fate {
    if path == POISON { Fate::Crash } else { Fate::Answered }
}

/// Sends the request that crashes servers to gateways in turn until all of them refuse it, and waits until
/// the servers are back; returns when they did.
fn wait_until_refused(fleet: &Fleet, gateways: u8, servers: &[Running]) -> Instant {
    let mut number = 0;
    wait_for("gateways that refuse the request", || {
        let refused = (11..11 + gateways).filter(|it| {
            number += 1;
            let response = fleet.request(*it, &format!("poison-{number}"), POISON);
            response.is_some_and(|it| it.status == 503)
        });
        let are_all = refused.count() == usize::from(gateways);
        (are_all && crashes(servers).len() >= 3).then_some(())
    });
    thread::sleep(DOWN_TIME + SPREAD_TIME);
    Instant::now()
}

/// Returns when requests that crash servers have begun to run, in order.
fn crashes(servers: &[Running]) -> Vec<Instant> {
    let runs = servers.iter().flat_map(Running::runs).filter(|it| it.path == POISON);
    let mut crashes: Vec<Instant> = runs.map(|it| it.at).collect();
    crashes.sort();
    crashes
}

/// Sends the request that crashes servers to all gateways for a while.
fn send_poison(fleet: &Fleet, gateways: u8, time: Duration) {
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        for gateway in 11..11 + gateways {
            number += 1;
            fleet.request(gateway, &format!("late-{gateway}-{number}"), POISON);
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against gateways that forget over a restart which requests crash servers.
#[test]
fn gateways_restarted_in_turn_go_on_refusing_a_request_that_crashes_servers() {
    let (mut fleet, servers) = serving_fleet(4, 8, crash_on_poison);
    let refused_at = wait_until_refused(&fleet, 4, &servers);

    for gateway in 11..15 {
        if gateway % 2 == 0 {
            fleet.kill(gateway);
        } else {
            let signalled = fleet.stop(gateway);
            fleet.expect_exit(gateway, signalled);
        }
        fleet.start_gateway(gateway);
        wait_for("a ready gateway", || fleet.is_ready(gateway).then_some(()));
        send_poison(&fleet, 4, Duration::from_secs(2));
    }

    let late = crashes(&servers).into_iter().filter(|it| *it > refused_at).count();
    assert!(late <= MAX_LATE_CRASHES, "{late} crashes after all gateways had refused the request");
}

/// Guards against a fleet that forgets which requests crash servers when all its gateways restart.
#[test]
fn gateways_killed_at_once_go_on_refusing_a_request_that_crashes_servers() {
    let (mut fleet, servers) = serving_fleet(4, 8, crash_on_poison);
    let refused_at = wait_until_refused(&fleet, 4, &servers);

    (11..15).for_each(|it| fleet.kill(it));
    (11..15).for_each(|it| fleet.start_gateway(it));
    wait_for("ready gateways", || (11..15).all(|it| fleet.is_ready(it)).then_some(()));
    send_poison(&fleet, 4, Duration::from_secs(5));

    let late = crashes(&servers).into_iter().filter(|it| *it > refused_at).count();
    assert!(late <= MAX_LATE_CRASHES, "{late} crashes after all gateways had refused the request");
}

/// Sends the request that crashes servers to two gateways for a while; returns how many servers it crashed later
/// than all gateways must have known of the third crash.
fn late_crashes_at_a_small_service(servers: u64) -> usize {
    let (fleet, servers) = serving_fleet(2, servers, crash_on_poison);
    send_poison(&fleet, 2, Duration::from_secs(18));
    let crashes = crashes(&servers);
    let known_at = crashes[2] + SPREAD_TIME;
    crashes.into_iter().filter(|it| *it > known_at).count()
}

/// Guards against requests that crash servers for good at a service of fewer than three addresses.
#[test]
fn a_request_that_crashes_servers_is_refused_at_a_service_with_two_of_them() {
    let late = late_crashes_at_a_small_service(2);

    assert!(late <= MAX_LATE_CRASHES, "{late} crashes after the third was known");
}

/// Guards against the same at a service of one server.
#[test]
fn a_request_that_crashes_servers_is_refused_at_a_service_with_one_of_them() {
    let late = late_crashes_at_a_small_service(1);

    assert!(late <= MAX_LATE_CRASHES, "{late} crashes after the third was known");
}

/// Guards against requests that are refused until an expiry though they crash servers no more.
#[test]
fn a_request_that_crashes_servers_no_more_is_served_again() {
    let is_mended = Arc::new(AtomicBool::new(false));
    let mended = is_mended.clone();
    let (fleet, servers) =
        serving_fleet(3, 6, move |server, path| match mended.load(Ordering::SeqCst) {
            true => Fate::Answered,
            false => crash_on_poison(server, path),
        });
    wait_until_refused(&fleet, 3, &servers);
    let before = crashes(&servers).len();

    is_mended.store(true, Ordering::SeqCst);
    let mended_at = Instant::now();
    let mut number = 0;
    let mut is_served = |gateway| {
        number += 1;
        let response = fleet.request(gateway, &format!("again-{number}"), POISON);
        response.is_some_and(|it| it.status == 200)
    };
    wait_for("an answer at each gateway", || (11..14).all(&mut is_served).then_some(()));

    assert!(mended_at.elapsed() < Duration::from_secs(15), "{:?}", mended_at.elapsed());
    // One trial was enough, and an answer at one gateway clears the request at all.
    assert!(crashes(&servers).len() > before);
}
