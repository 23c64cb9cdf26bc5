//! A request crashes upstreams after its caller has left.

#[path = "fleet.rs"]
mod fleet;
#[path = "upstream.rs"]
mod upstream;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use fleet::{Fleet, Record};
use gateway_core::Idempotency;
use ids::Millis;
use platform::stand_in;
use upstream::{Crashing, Seen};

/// The path that crashes upstreams, and that of all other requests.
const CRASHING: &str = "/pay/crash";
const OTHER: &str = "/pay/list";

const GATEWAYS: [u8; 4] = [21, 22, 23, 24];
const UPSTREAMS: u8 = 12;

/// Threads of other callers, and the pause between two lookups of each.
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(200);

/// Time between two requests that crash upstreams, and after which their caller leaves: half the objective.
const CRASHING_GAP: Duration = Duration::from_millis(250);
const LEAVES_AFTER: Duration = Duration::from_millis(500);

/// Upstreams that go on with a request whose connection is closed; most drop it.
const UNDETERRED: u8 = 5;

/// Time into its work at which that request crashes an upstream.
const CRASH_AFTER: Duration = Duration::from_millis(700);

/// How long callers ask.
const LENGTH: Duration = Duration::from_secs(80);

/// `stableWindowMs` of the deployment, and the retries that the rule allows.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

type Statuses = Arc<Mutex<BTreeMap<(&'static str, u16), usize>>>;

fn main() {
    let record = Arc::new(Record::open());
    let mut fleet = Fleet::new(5, 1);
    let core: Vec<u8> = (1..=5).collect();
    core.iter().for_each(|it| fleet.start_control(*it, true));
    GATEWAYS.into_iter().for_each(|it| fleet.start_gateway(it));
    let text = fleet::config_with(1, Idempotency::Idempotent, None);
    if fleet::put_text(&record, &fleet, &core, &text, Duration::from_secs(20)).is_none() {
        fleet::cannot_run("no configuration was accepted");
    }
    let seen = Arc::new(Seen::default());
    let crashing = Arc::new(Crashing {
        organisation: "",
        path: CRASHING,
        after: CRASH_AFTER,
        is_on: fleet::has_trouble(),
        undeterred: UNDETERRED,
    });
    for number in 1..=UPSTREAMS {
        let address = fleet.address(100 + number, fleet::SERVER_PORT);
        let controls = fleet.control_addresses();
        upstream::start(number, address, controls, crashing.clone(), seen.clone());
    }
    sleep(Duration::from_secs(9));

    let gateways = GATEWAYS.map(|it| fleet.address(it, fleet::FRONT_PORT));
    let (statuses, is_over) = (Statuses::default(), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for i in 0..=CALLERS {
        let (path, pause) = if i == 0 { (CRASHING, CRASHING_GAP) } else { (OTHER, PAUSE) };
        let (statuses, is_over, record) = (statuses.clone(), is_over.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut n = i;
            while !is_over.load(Ordering::SeqCst) {
                n += 1;
                // Callers take the gateways in another order each.
                let gateway = gateways[(n * (i % 3 + 1) + i) % gateways.len()];
                let id = format!("caller-{i}-{n}");
                let status = request(gateway, path, &id);
                record.line(format!("{path} {id} at {gateway}: {status}"));
                *statuses.lock().unwrap().entry((path, status)).or_default() += 1;
                sleep(pause);
            }
        }));
    }
    sleep(LENGTH);
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|it| it.join().expect("callers do not panic"));

    let crashes = seen.crashes.lock().unwrap().clone();
    let runs = seen.runs.lock().unwrap().clone();
    let third = crashes.get(2).map(|it| it.0 + STABLE_WINDOW);
    let retries = runs.iter().filter(|(at, _)| third.is_some_and(|it| *at > it)).count();
    for (at, number) in &crashes {
        record.line(format!("upstream {number} crashed {:?} ago", at.elapsed()));
    }
    for ((path, status), count) in statuses.lock().unwrap().iter() {
        record.line(format!("{path}: {status} {count} times (0: left, or no answer)"));
    }
    record.line(format!(
        "{} runs of {CRASHING}, {} crashes, {retries} runs later than {STABLE_WINDOW:?} \
         after the third; {} {OTHER} lost at work",
        runs.len(),
        crashes.len(),
        seen.lost.load(Ordering::SeqCst)
    ));
    let what = "BUDGET: a request that crashes upstreams reached them in more than three retries";
    fleet::finish(&record, fleet, (retries > ALLOWED).then_some(what));
}

/// Sends a request; returns the status, or 0 if there is no answer or the caller leaves.
fn request(gateway: SocketAddr, path: &str, id: &str) -> u16 {
    let own = stand_in::caller_headers(id, Millis(3_000));
    let headers: Vec<(&str, String)> =
        own.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    let patience = if path == CRASHING { LEAVES_AFTER } else { Duration::from_secs(4) };
    fleet::call(gateway, "GET", path, &headers, b"", patience).map_or(0, |it| it.status)
}
