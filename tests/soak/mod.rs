//! A fault soak: real processes on loopback under a schedule of overlapping faults that follows from a
//! seed, checked from what callers and backend servers see.

mod faults;

use std::{
    collections::BTreeMap,
    fmt,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

use crate::gateway::{Fleet, HttpResponse, Server, receive, send, wait_for};
use faults::{Fault, FaultKind, Schedule};

pub const GATEWAYS: Range<u8> = 11..17;
pub const SERVERS: u64 = 6;

/// Callers of each gateway.
const CALLERS: u8 = 2;

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(90);

/// Time at the end without faults, of which the second half is checked for service.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Time after a fault during which the requests of its gateway don't count against a limit.
const EXCUSED_TIME: Duration = Duration::from_millis(2_500);

/// Time after a server has first told a gateway of a limit from which that gateway's requests count.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// Length of the windows in which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// A caller's request and what came of it.
struct Sent {
    id: String,
    is_idempotent: bool,
    at: Instant,
    took: Duration,
    response: Option<HttpResponse>,
}

impl Sent {
    fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |it| it.status)
    }
}

/// What a run has shown.
pub struct Report {
    pub seed: u64,
    faults: Vec<Fault>,
    statuses: BTreeMap<u16, usize>,
    /// Latencies of served requests at the quantiles 0.5, 0.99 and 1.
    latencies: [Duration; 3],
    /// Requests sent and served in each second.
    seconds: Vec<(usize, usize)>,
    /// Broken promises.
    pub findings: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {} findings", self.seed, self.findings.len())?;
        self.findings.iter().try_for_each(|it| writeln!(f, "  {it}"))?;
        writeln!(f, "  statuses {:?}; p50, p99, max {:?}", self.statuses, self.latencies)?;
        for (second, (sent, served)) in self.seconds.iter().enumerate() {
            let bar = "#".repeat(served * 50 / sent.max(&1));
            let began = self.faults.iter().filter(|it| it.at.as_secs() == second as u64);
            let began: Vec<String> = began.map(ToString::to_string).collect();
            writeln!(f, "  {second:3} s {served:4} of {sent:4} {bar:50} {}", began.join(", "))?;
        }
        Ok(())
    }
}

/// Runs the schedule of a seed for a time, and a recovery after it.
pub fn run(seed: u64, length: Duration) -> Report {
    let servers: Vec<Server> = (1..=SERVERS).map(|it| Server::start(it, "queue")).collect();
    let mut fleet = Fleet::start_with(GATEWAYS.len() as u8);
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    wait_for("ready gateways", || GATEWAYS.into_iter().all(|it| fleet.is_ready(it)).then_some(()));
    GATEWAYS.for_each(|it| fleet.wait_until_used(it, &servers));
    let mut schedule = Schedule::new(seed, length);
    let faults = schedule.faults.clone();
    let addresses: Vec<_> = GATEWAYS.map(|it| fleet.address(it, fleet.ports.callers)).collect();
    let ips: Vec<Ipv4Addr> = GATEWAYS.map(|it| fleet.ip(it)).collect();
    let begin = Instant::now();
    let end = begin + length + RECOVERY_TIME;
    let sent: Vec<Sent> = thread::scope(|scope| {
        let callers: Vec<_> = (0..GATEWAYS.len() as u8 * CALLERS)
            .map(|caller| {
                let addresses = &addresses;
                scope.spawn(move || call_until(addresses, caller, end))
            })
            .collect();
        while Instant::now() < end {
            schedule.apply(&mut fleet, &servers, begin.elapsed());
            thread::sleep(Duration::from_millis(20));
        }
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });
    let mut findings = Vec::new();
    check_promises(&servers, &sent, &mut findings);
    check_limits(&servers, &ips, &faults, begin, &mut findings);
    check_recovery(&sent, end, &mut findings);
    report(seed, faults, &sent, begin, findings)
}

/// Sends requests over a connection for as long as it lasts, and to the next gateway when it doesn't.
fn call_until(addresses: &[SocketAddr], caller: u8, end: Instant) -> Vec<Sent> {
    let mut gateway = usize::from(caller) % addresses.len();
    let is_idempotent = caller < GATEWAYS.len() as u8;
    let route = if is_idempotent { "look" } else { "pay" };
    let mut connection: Option<TcpStream> = None;
    let mut sent = Vec::new();
    for i in 0.. {
        let at = Instant::now();
        if at >= end {
            break;
        }
        let id = format!("{route}-{caller}-{i}");
        let stream = connection.take().or_else(|| connect(addresses[gateway]));
        let response = stream.and_then(|mut stream| {
            let headers = stand_in::caller_headers(&id, Millis(2_500));
            send(&mut stream, "GET", &format!("/{route}/{id}"), &headers, b"")?;
            let response = receive(&mut stream)?;
            let closes = response.head.to_ascii_lowercase().contains("connection: close");
            connection = Some(stream).filter(|_| !closes);
            Some(response)
        });
        if response.is_none() {
            gateway = (gateway + 1) % addresses.len();
        }
        sent.push(Sent { id, is_idempotent, at, took: at.elapsed(), response });
        thread::sleep(REQUEST_INTERVAL.saturating_sub(at.elapsed()));
    }
    sent
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    Some(stream)
}

/// Work that must not repeat runs once at most, refusals are true, answers are whole.
fn check_promises(servers: &[Server], sent: &[Sent], findings: &mut Vec<String>) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for server in servers {
        for id in server.runs.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    for request in sent {
        let (id, status) = (&request.id, request.status());
        let runs = runs.get(id).copied().unwrap_or_default();
        if runs > 1 && !request.is_idempotent {
            findings.push(format!("{id} ran {runs} times"));
        }
        if status == 503 && runs > 0 && !request.is_idempotent {
            findings.push(format!("{id} was refused and has run"));
        }
        let Some(response) = request.response.as_ref().filter(|it| it.status == 200) else {
            continue;
        };
        if !stand_in::is_signed(&response.head) || !response.body.ends_with(id.as_bytes()) {
            findings.push(format!("{id} got a response that is not its own"));
        }
    }
}

/// Servers get no more from the gateways that they have told than their limits allow.
fn check_limits(
    servers: &[Server],
    ips: &[Ipv4Addr],
    faults: &[Fault],
    begin: Instant,
    findings: &mut Vec<String>,
) {
    for (number, server) in (1..).zip(servers) {
        let limited = faults.iter().filter_map(|it| match it.kind {
            FaultKind::Limit(at, limit) if at == number => Some((it, limit)),
            _ => None,
        });
        for (fault, limit) in limited {
            let time = begin + fault.at..begin + fault.until();
            let counted: Vec<Instant> = server
                .sources_at
                .lock()
                .unwrap()
                .iter()
                .filter(|(at, ip)| {
                    let told = server.told_at(*ip, time.clone());
                    let gateway = ips.iter().position(|it| it == ip);
                    let is_excused = faults.iter().any(|it| {
                        gateway.is_some_and(|gateway| it.disturbs(gateway))
                            && (begin + it.at..begin + it.until() + EXCUSED_TIME).contains(at)
                    });
                    time.contains(at)
                        && *at >= begin + fault.at + EXCUSED_TIME
                        && told.is_some_and(|it| *at >= it + TOLD_AFTER)
                        && !is_excused
                })
                .map(|(at, _)| *at)
                .collect();
            let in_window = |start: &Instant| {
                counted.iter().filter(|it| (*start..*start + LIMIT_WINDOW).contains(*it)).count()
            };
            let most = counted.iter().map(in_window).max().unwrap_or(0);
            let allowed = (limit * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
            if most > allowed {
                findings.push(format!("server {number} got {most} requests, {allowed} allowed"));
            }
        }
    }
}

/// Nearly all is served once the faults are over.
fn check_recovery(sent: &[Sent], end: Instant, findings: &mut Vec<String>) {
    let last: Vec<&Sent> = sent.iter().filter(|it| it.at + RECOVERY_TIME / 2 >= end).collect();
    let served = last.iter().filter(|it| it.status() == 200).count();
    if served * 50 < last.len() * 49 {
        findings.push(format!("{served} of {} served after the faults", last.len()));
    }
}

fn report(
    seed: u64,
    faults: Vec<Fault>,
    sent: &[Sent],
    begin: Instant,
    findings: Vec<String>,
) -> Report {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let mut seconds: Vec<(usize, usize)> = Vec::new();
    for request in sent {
        *statuses.entry(request.status()).or_default() += 1;
        let second = (request.at - begin).as_secs() as usize;
        seconds.resize(seconds.len().max(second + 1), (0, 0));
        seconds[second].0 += 1;
        seconds[second].1 += usize::from(request.status() == 200);
    }
    let served = sent.iter().filter(|it| it.status() == 200);
    let mut latencies: Vec<Duration> = served.map(|it| it.took).collect();
    latencies.sort();
    let quantile = |q: f64| {
        let i = ((latencies.len().max(1) - 1) as f64 * q) as usize;
        latencies.get(i).copied().unwrap_or_default()
    };
    let latencies = [quantile(0.5), quantile(0.99), quantile(1.0)];
    Report { seed, faults, statuses, latencies, seconds, findings }
}
