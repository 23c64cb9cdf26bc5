//! A lookup of one tenant crashes upstreams, while other tenants' lookups of the same path are answered.

#[path = "fleet.rs"]
mod fleet;
#[path = "upstream.rs"]
mod upstream;

use std::{
    collections::BTreeMap,
    env,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use fleet::{Fleet, Record};
use gateway_core::{ApiKey, Idempotency, Organisation};
use ids::Millis;
use platform::stand_in;
use upstream::{Crashing, Seen};

/// The tenant whose lookup crashes upstreams, and the other one.
const CRASHING: &str = "clinic-a";
const OTHER: &str = "clinic-b";

/// The path that both look up.
const PATH: &str = "/pay/list";

const GATEWAYS: [u8; 4] = [21, 22, 23, 24];
const UPSTREAMS: u8 = 12;

/// Threads of callers of the other tenant, and the pause between two lookups of each.
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(200);

/// Time between two lookups of the crashing tenant.
const CRASHING_GAP: Duration = Duration::from_secs(1);

/// Time into its work at which that lookup crashes an upstream.
const CRASH_AFTER: Duration = Duration::from_millis(20);

/// How long callers ask.
const LENGTH: Duration = Duration::from_secs(50);

/// `stableWindowMs` of the deployment, and the retries that the rule allows.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: usize = 3;

type Statuses = Arc<Mutex<BTreeMap<(&'static str, u16), usize>>>;

fn main() {
    let record = Arc::new(Record::open());
    let mut fleet = Fleet::new(5, 1);
    let core: Vec<u8> = (1..=5).collect();
    core.iter().for_each(|it| fleet.start_control(*it, true));
    GATEWAYS.into_iter().for_each(|it| fleet.start_gateway(it));
    let organisation = |name: &str| Organisation {
        name: name.parse().expect("a valid name"),
        keys: vec![ApiKey::new(key_of(name).as_bytes())],
        priority: None,
        limit: None,
    };
    let organisations = vec![organisation(CRASHING), organisation(OTHER)];
    let text = fleet::config_with(1, Idempotency::Idempotent, Some(organisations));
    if fleet::put_text(&record, &fleet, &core, &text, Duration::from_secs(20)).is_none() {
        fleet::cannot_run("no configuration was accepted");
    }
    let seen = Arc::new(Seen::default());
    let crashing = Arc::new(Crashing {
        organisation: CRASHING,
        path: PATH,
        after: CRASH_AFTER,
        is_on: fleet::has_trouble(),
        undeterred: 0,
    });
    for number in 1..=UPSTREAMS {
        let address = fleet.address(100 + number, fleet::SERVER_PORT);
        let controls = fleet.control_addresses();
        upstream::start(number, address, controls, crashing.clone(), seen.clone());
    }
    sleep(Duration::from_secs(9));

    let gateways = GATEWAYS.map(|it| fleet.address(it, fleet::FRONT_PORT));
    let (statuses, is_over) = (Statuses::default(), Arc::new(AtomicBool::new(false)));
    let callers = if env::var("ALONE").is_ok() { 0 } else { CALLERS };
    let mut threads = Vec::new();
    for i in 0..=callers {
        let (name, pause) = if i == 0 { (CRASHING, CRASHING_GAP) } else { (OTHER, PAUSE) };
        let (statuses, is_over, record) = (statuses.clone(), is_over.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut n = i;
            while !is_over.load(Ordering::SeqCst) {
                n += 1;
                // Callers take the gateways in another order each.
                let gateway = gateways[(n * (i % 3 + 1) + i) % gateways.len()];
                let id = format!("{name}-{i}-{n}");
                let status = look_up(gateway, name, &id);
                record.line(format!("{id} at {gateway}: {status}"));
                *statuses.lock().unwrap().entry((name, status)).or_default() += 1;
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
    for ((name, status), count) in statuses.lock().unwrap().iter() {
        record.line(format!("{name}: {status} {count} times (0: no answer)"));
    }
    record.line(format!(
        "{} runs of the lookup of {CRASHING}, {} crashes, {retries} runs later than {STABLE_WINDOW:?} \
         after the third; {} lookups of {OTHER} lost at work",
        runs.len(),
        crashes.len(),
        seen.lost.load(Ordering::SeqCst)
    ));
    let what = "BUDGET: a request that crashes upstreams reached them in more than three retries";
    fleet::finish(&record, fleet, (retries > ALLOWED).then_some(what));
}

fn key_of(name: &str) -> String {
    format!("key-of-{name}")
}

/// Looks the path up; returns the status, or 0 if there is no answer.
fn look_up(gateway: SocketAddr, name: &str, id: &str) -> u16 {
    let own = stand_in::caller_headers(id, Millis(3_000));
    let key = stand_in::key_header(&key_of(name));
    let headers: Vec<(&str, String)> =
        own.iter().chain([&key]).map(|(name, value)| (name.as_str(), value.clone())).collect();
    let answer = fleet::call(gateway, "GET", PATH, &headers, b"", Duration::from_secs(4));
    answer.map_or(0, |it| it.status)
}
