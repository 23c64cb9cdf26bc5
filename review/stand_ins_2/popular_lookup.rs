//! Many callers look up the same path. For four seconds, some upstreams lose a part of their answers;
//! then the day ends with the loss of a control machine's disk.

mod harness;

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use harness::*;

const GATEWAYS: u8 = 36;
const UPSTREAMS: u32 = 12;
const HOST: &str = "shop.example";
const SERVICE: &str = "queuesvc";
const PATH: &str = "/queue/status";

/// Lookups a second of all callers together.
const RATE: f64 = 20.2;

/// Work of a lookup.
const WORK: Duration = Duration::from_millis(300);

/// Number of upstreams that lose answers, the share of their answers that is lost, and how long.
const LOSING: u32 = 7;
const LOST_SHARE: f64 = 0.4;
const LOSING_TIME: Duration = Duration::from_secs(4);

/// Time from the first lost answer to the final fault.
const BEFORE_FAULT: Duration = Duration::from_secs(1);

/// `recoveryS` of the deployment, in seconds.
const RECOVERY_S: f64 = 15.0;

/// Length of the time that is judged, from `recoveryS` after the machine is back.
const JUDGED: Duration = Duration::from_secs(30);

fn main() {
    let record = Record::create();
    let mut fleet = Fleet::start(&record, 3, GATEWAYS);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let is_losing = Arc::new(AtomicBool::new(false));
    let _upstreams: Vec<_> = (1..=UPSTREAMS)
        .map(|i| {
            let is_losing = is_losing.clone();
            let random = Mutex::new(Random::new());
            Upstream::start(&fleet, i, SERVICE, &runs, move |_, _| {
                let is_losing = i <= LOSING && is_losing.load(Ordering::SeqCst);
                match is_losing && lock(&random).unit() < LOST_SHARE {
                    true => Action::Reset(WORK),
                    false => Action::Answer(WORK, b"ok".to_vec()),
                }
            })
        })
        .collect();
    let route = || Route {
        host: HOST,
        prefix: "/queue/",
        kind: "safe",
        timeout_ms: 1_500,
        target_ms: 1_000,
        service: SERVICE,
        max_attempts: 2,
    };
    let controls = fleet.control_addresses();
    if put_config(&record, &controls, &config(1, &[SERVICE], &[route()])) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    for i in 0..GATEWAYS {
        fleet.wait_ready(FIRST_GATEWAY + i, Duration::from_secs(30));
    }
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    // When each lookup was sent, and the status of its answer.
    let answers: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..GATEWAYS)
        .map(|i| {
            let front = fleet.front(FIRST_GATEWAY + i);
            let (record, is_over, answers) = (record.clone(), is_over.clone(), answers.clone());
            thread::spawn(move || {
                let mut random = Random::new();
                (0..i).for_each(|_| _ = random.below(7));
                let mean = f64::from(GATEWAYS) / RATE;
                while !is_over.load(Ordering::SeqCst) {
                    let pause = -random.unit().max(1e-9).ln() * mean;
                    thread::sleep(Duration::from_secs_f64(pause.min(10.0)));
                    let (record, answers) = (record.clone(), answers.clone());
                    thread::spawn(move || {
                        let attempt = attempt_id();
                        let headers = client_headers(HOST, &attempt, 3_000);
                        let at = record.now();
                        let sent = call(front, "GET", PATH, &headers, b"", Duration::from_secs(3));
                        let status = sent.map_or(0, |it| it.status());
                        record.line(&format!(
                            "client: {attempt} {PATH} at {front} sent at {at:.3}, answer {status}"
                        ));
                        lock(&answers).push((at, status));
                    });
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(10));

    // Upstreams run requests and lose a part of their answers.
    let losses = has_trouble().then(|| {
        let (record, is_losing) = (record.clone(), is_losing.clone());
        thread::spawn(move || {
            record.line(&format!("upstream: {LOSING} of {UPSTREAMS} lose a part of their answers"));
            is_losing.store(true, Ordering::SeqCst);
            thread::sleep(LOSING_TIME);
            is_losing.store(false, Ordering::SeqCst);
            record.line("upstream: all are sound");
        })
    });
    thread::sleep(BEFORE_FAULT);

    // The final fault: a control machine loses its disk right after an acknowledgement.
    if put_config(&record, &controls, &config(2, &[SERVICE], &[route()])) != 200 {
        cannot_run("the second configuration was not accepted");
    }
    let fault_at = record.now();
    fleet.kill(1);
    fleet.lose_disk(1);
    thread::sleep(Duration::from_millis(900));
    fleet.start_control(1, false);
    let from = record.now() + RECOVERY_S;
    thread::sleep(Duration::from_secs_f64(RECOVERY_S));
    thread::sleep(JUDGED);
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }
    thread::sleep(Duration::from_secs(4));
    if let Some(it) = losses {
        let _ = it.join();
    }

    let answers = lock(&answers).clone();
    let share = |from: f64, to: f64| {
        let sent: Vec<_> = answers.iter().filter(|it| (from..to).contains(&it.0)).collect();
        let served = sent.iter().filter(|it| it.1 == 200).count();
        let refused = sent.iter().filter(|it| it.1 == 503).count();
        (served as f64 / sent.len().max(1) as f64, served, refused, sent.len())
    };
    let before = share(0.0, fault_at);
    let after = share(from, f64::INFINITY);
    record.say(&format!(
        "before the final fault {} of {} lookups served; later than {RECOVERY_S} s after the machine \
         is back {} of {} served, {} answered 503",
        before.1, before.3, after.1, after.3, after.2
    ));
    for i in 0..(JUDGED.as_secs() / 5) {
        let begin = from + 5.0 * i as f64;
        let (_, served, refused, sent) = share(begin, begin + 5.0);
        record
            .say(&format!("from {begin:.1} s: {served} of {sent} served, {refused} answered 503"));
    }
    let broken = (before.0 >= 0.25 && after.0 < 0.25)
        .then(|| format!("RECOVER: {} of {} requests served after the recovery", after.1, after.3));
    finish(&record, fleet, broken)
}
