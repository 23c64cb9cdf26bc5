//! Tests with real processes that gateways whose paths to the backend servers are down serve callers
//! through other gateways.

mod gateway;

use std::{
    collections::BTreeMap,
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use gateway::{Cut, Fleet, HttpResponse, Server, wait_for};
use schema::announcement::ServerState;

const GATEWAYS: Range<u8> = 11..17;

/// Time between two requests of a caller; twelve callers send 120 a second, half of which must not
/// run twice.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the begin of a cut from which the platform expects callers to be served.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// A caller's request, and its response unless the connection failed.
struct Sent {
    gateway: u8,
    id: String,
    at: Instant,
    took: Duration,
    response: Option<HttpResponse>,
}

impl Sent {
    fn is_served(&self) -> bool {
        self.status() == 200
    }

    fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |it| it.status)
    }
}

fn start(servers: &[Server]) -> Fleet {
    let fleet = Fleet::start_with(GATEWAYS.len() as u8);
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    wait_for("ready gateways", || GATEWAYS.into_iter().all(|it| fleet.is_ready(it)).then_some(()));
    GATEWAYS.for_each(|it| fleet.wait_until_used(it, servers));
    fleet
}

fn cut(fleet: &Fleet, servers: &[Server], gateways: Range<u8>, how: Cut) {
    for server in servers {
        let cuts = gateways.clone().map(|it| (fleet.ip(it), how));
        server.cuts.lock().unwrap().extend(cuts);
    }
}

fn join(servers: &[Server]) {
    servers.iter().for_each(|it| it.cuts.lock().unwrap().clear());
}

/// Sends 120 requests a second for a while, spread over all gateways; `name` is part of their ids.
fn load(fleet: &Fleet, name: &str, time: Duration) -> Vec<Sent> {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|caller| {
                scope.spawn(move || {
                    let gateway = GATEWAYS.start + caller % GATEWAYS.len() as u8;
                    let route = if caller < 6 { "look" } else { "pay" };
                    let mut sent = Vec::new();
                    for i in 0.. {
                        let at = Instant::now();
                        if at >= end {
                            break;
                        }
                        let id = format!("{name}-{caller}-{i}");
                        let response = fleet.request(gateway, &id, &format!("/{route}/{id}"));
                        sent.push(Sent { gateway, id, at, took: at.elapsed(), response });
                        thread::sleep(REQUEST_INTERVAL.saturating_sub(at.elapsed()));
                    }
                    sent
                })
            })
            .collect();
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    })
}

/// Returns the share of requests that were served.
fn served_share<'a>(sent: impl Iterator<Item = &'a Sent>) -> f64 {
    let (mut all, mut served) = (0, 0);
    for request in sent {
        all += 1;
        served += u32::from(request.is_served());
    }
    f64::from(served) / f64::from(all.max(1))
}

/// Asserts that nothing that must not be repeated ran twice, and that what was refused has not run.
fn assert_promises(servers: &[Server], sent: &[Sent]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for id in servers.iter().flat_map(|it| it.attempt_ids()) {
        *runs.entry(id).or_default() += 1;
    }
    for request in sent {
        let runs = runs.get(&request.id).copied().unwrap_or_default();
        let path = request.response.as_ref().map(|it| String::from_utf8_lossy(&it.body));
        if let Some(body) = path.filter(|_| request.is_served()) {
            assert!(body.ends_with(&request.id), "{body} for {}", request.id);
        }
        if request.status() == 503 {
            assert_eq!(runs, 0, "{} was refused and has run", request.id);
        }
        let caller: u32 = request.id.split('-').nth(1).unwrap().parse().unwrap();
        assert!(runs <= 1 || caller < 6, "{} ran {runs} times", request.id);
    }
}

/// Cuts some gateways off for a while, and asserts that their callers are served like others.
fn assert_served_while_cut(gateways: Range<u8>, how: Cut) {
    let servers = [1, 2, 3, 4].map(|it| Server::start(it, "queue"));
    let fleet = start(&servers);
    let mut all = load(&fleet, "before", Duration::from_secs(1));

    cut(&fleet, &servers, gateways.clone(), how);
    let cut_at = Instant::now();
    let sent = load(&fleet, "cut", SETTLING_TIME + Duration::from_secs(4));
    join(&servers);
    let after = load(&fleet, "after", Duration::from_secs(5));

    let settled = || sent.iter().filter(|it| it.at >= cut_at + SETTLING_TIME);
    let at_cut = served_share(settled().filter(|it| gateways.contains(&it.gateway)));
    let elsewhere = served_share(settled().filter(|it| !gateways.contains(&it.gateway)));
    assert!(
        at_cut * 3.0 >= elsewhere * 2.0,
        "served: {at_cut} at cut gateways, {elsewhere} elsewhere"
    );
    assert!(elsewhere >= 0.95, "{elsewhere} served at the other gateways");
    let late = settled().filter(|it| it.took > Duration::from_millis(2_000)).count();
    assert!(late * 20 <= settled().count(), "{late} of {} took over 2 s", settled().count());
    let end = after.last().unwrap().at;
    let last: Vec<&Sent> =
        after.iter().filter(|it| it.at + Duration::from_millis(1_500) >= end).collect();
    assert!(last.iter().all(|it| it.is_served()), "all are served after the cut");
    let is_direct = |it: &&&Sent| {
        let sources = servers.iter().find_map(|at| at.sources.lock().unwrap().get(&it.id).copied());
        sources == Some(fleet.ip(it.gateway))
    };
    let direct = last.iter().filter(is_direct).count();
    assert!(direct * 10 >= last.len() * 9, "{direct} of {} are sent directly again", last.len());
    all.extend(sent);
    all.extend(after);
    assert_promises(&servers, &all);
}

#[test]
fn callers_of_gateways_whose_server_connections_are_reset_are_served() {
    assert_served_while_cut(11..14, Cut::Reset);
}

#[test]
fn callers_of_gateways_whose_server_connections_are_silent_are_served() {
    assert_served_while_cut(11..14, Cut::Silent);
}

#[test]
fn callers_of_gateways_that_cannot_open_server_connections_are_served() {
    assert_served_while_cut(11..14, Cut::NewRefused);
}

#[test]
fn callers_are_served_while_most_gateways_are_cut_off_from_the_servers() {
    assert_served_while_cut(11..15, Cut::Reset);
}
