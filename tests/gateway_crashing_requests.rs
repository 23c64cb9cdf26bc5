//! Tests that requests that crash backend servers are refused, and no others.

mod gateway;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use gateway::{
    Fleet,
    crashing::{CrashingServer, Fate, Running},
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
