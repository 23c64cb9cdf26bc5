//! A fault soak: real processes on loopback under a schedule of overlapping faults that follows from a
//! seed, checked from what callers and backend servers see.

mod faults;
mod organisations;
pub mod roll;

use std::{
    collections::{BTreeMap, BTreeSet},
    env, fmt, fs,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    ops::Range,
    path::PathBuf,
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

use gateway_core::GatewayConfig;
use ids::Millis;
use platform::stand_in;
use schema::announcement::ServerState;

use crate::gateway::{
    Fleet, Server, call_any,
    callers::{Ask, Client, STOP_WITHIN, Sent, Stops, broken_promises, connect},
    wait_for,
};
use faults::{Fault, FaultKind, Schedule, Stop};
use roll::{OldBuild, Roll};

pub const CONTROL_HOSTS: Range<u8> = 1..4;
pub const FIRST_GATEWAY: u8 = 11;
pub const SERVERS: u64 = 6;

/// Version of the first configuration of a run in which callers need keys.
const FIRST_VERSION: u64 = 2;

/// Callers of each gateway, beside one whose key is withdrawn.
const CALLERS: u8 = 3;

/// Most clients that ask directories for gateways.
const MAX_CLIENTS: u8 = 24;

/// Time between two requests of a caller in a fleet of up to [`USUAL_GATEWAYS`]; longer in larger ones.
const REQUEST_INTERVAL: Duration = Duration::from_millis(90);

const USUAL_GATEWAYS: u8 = 8;

/// Time at the end without faults, of which the second half is checked for service.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Time after a fault during which the requests of its gateway don't count against a limit, and during
/// which requests that are lost in a planned stop may be lost for the fault.
const EXCUSED_TIME: Duration = Duration::from_millis(2_500);

/// Time after the longest planned stop up to which a lost request is one of the stop.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// Time after a server has first told a gateway of a limit from which that gateway's requests count.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// Length of the windows in which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Longest path of a request.
const MAX_PATH: usize = 200;

/// Size of a large response.
const LARGE: usize = 4_000_000;

/// What a run has shown.
pub struct Report {
    pub seed: u64,
    faults: Vec<Fault>,
    statuses: BTreeMap<u16, usize>,
    /// Latencies of served requests at the quantiles 0.5, 0.99 and 1.
    latencies: [Duration; 3],
    /// Requests sent and served in each second.
    seconds: Vec<(usize, usize)>,
    /// Requests around planned stops that no other fault excuses.
    judged: usize,
    stops: usize,
    /// Hosts that were replaced by another build.
    replaced: usize,
    /// Configurations that were sent and acknowledged.
    configs: (u64, usize),
    /// Broken promises.
    pub findings: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {} findings", self.seed, self.findings.len())?;
        self.findings.iter().try_for_each(|it| writeln!(f, "  {it}"))?;
        writeln!(
            f,
            "  {} stops, {} requests judged around them; {} of {} configurations acknowledged",
            self.stops, self.judged, self.configs.1, self.configs.0
        )?;
        if self.replaced > 0 {
            writeln!(f, "  {} replacements by another build", self.replaced)?;
        }
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

/// Runs the schedule of a seed for a time, and a recovery after it. With an older build, hosts are
/// replaced by the other build meanwhile.
pub fn run(seed: u64, length: Duration, gateways: u8, old_build: Option<&OldBuild>) -> Report {
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|number| {
            let mut server = Server::start(number, "queue");
            server.announcement.slots = 64;
            server
        })
        .collect();
    let mut fleet = Fleet::without_hosts();
    let mut roll = old_build.map(|it| Roll::new(seed, it, gateways));
    roll.iter().for_each(|it| it.assign_first_builds(&mut fleet));
    fleet.start_hosts(gateways);
    fleet.put_config(FIRST_VERSION - 1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    let hosts = FIRST_GATEWAY..FIRST_GATEWAY + gateways;
    wait_for("ready gateways", || hosts.clone().all(|it| fleet.is_ready(it)).then_some(()));
    hosts.clone().for_each(|it| fleet.wait_until_used(it, &servers));
    // Gateways of an older build may know no keys.
    match &old_build {
        Some(_) => fleet.put(&organisations::config_with_keys(FIRST_VERSION)),
        None => organisations::require_keys(&fleet, hosts.clone()),
    }
    let mut schedule = Schedule::new(seed, length, gateways);
    let addresses: Vec<_> = hosts.clone().map(|it| fleet.callers(it)).collect();
    let directories: Vec<_> =
        hosts.clone().map(|it| fleet.address(it, fleet.ports.directory)).collect();
    let control_hosts = fleet.control_addresses();
    let begin = Instant::now();
    let end = begin + length + RECOVERY_TIME;
    let (sent, configs): (Vec<Sent>, Configs) = thread::scope(|scope| {
        let (changes, operator_rx) = channel();
        let operator = scope.spawn(move || configure(&control_hosts, &operator_rx));
        let callers = (0..u16::from(gateways) * u16::from(CALLERS + 1)).map(|caller| {
            let addresses = &addresses;
            scope.spawn(move || Caller::new(caller, addresses).call_until(end))
        });
        let clients = (0..gateways.min(MAX_CLIENTS)).map(|client| {
            let mut client = Client::new(seed, client.into(), directories.clone());
            client.key = Some(organisations::key(0));
            scope.spawn(move || client.run(end))
        });
        let callers: Vec<_> = callers.chain(clients).collect();
        while Instant::now() < end {
            schedule.apply(&mut fleet, &servers, &changes, begin.elapsed());
            if let Some(roll) = &mut roll {
                roll.advance(&mut fleet, &mut schedule);
            }
            thread::sleep(Duration::from_millis(20));
        }
        drop(changes);
        let sent = callers.into_iter().flat_map(|it| it.join().unwrap()).collect();
        (sent, operator.join().unwrap())
    });

    let mut findings = Vec::new();
    findings.extend(fleet.take_ended());
    check_promises(&servers, &sent, &mut findings);
    if old_build.is_none() {
        organisations::check(&servers, &sent, &configs, &schedule.faults, begin, &mut findings);
    }
    check_limits(&servers, &schedule.faults, begin, &mut findings);
    check_recovery(&sent, end, &mut findings);
    check_exits(&schedule, begin, &mut findings);
    check_config(&fleet, &configs, &mut findings);
    findings.extend(roll.as_ref().and_then(Roll::unfinished));
    let mut report = report(seed, &schedule, &sent, begin, &configs);
    report.replaced = roll.map_or(0, |it| it.replaced());
    let stops: Stops = schedule
        .stops
        .iter()
        .filter(|it| it.host >= FIRST_GATEWAY && it.was_up)
        .map(|it| (fleet.callers(it.host), it.at))
        .collect();
    let is_judged = judged_around(&stops, &schedule.faults, &servers, begin);
    let judged: Vec<Sent> = sent.into_iter().filter(is_judged).collect();
    findings.extend(broken_promises(&judged, &servers, &stops));
    if !findings.is_empty() {
        findings.push(format!("logs in {}", keep_logs(&fleet, seed).display()));
    }
    report.judged = judged.len();
    report.findings = findings;
    report
}

/// Copies the settings and logs of all hosts to the folder of the build, and returns where.
fn keep_logs(fleet: &Fleet, seed: u64) -> PathBuf {
    let exe = env::current_exe().unwrap();
    let folder = exe.ancestors().nth(2).unwrap().join(format!("soak-logs/seed-{seed}"));
    fs::create_dir_all(&folder).unwrap();
    for entry in fs::read_dir(fleet.folder.path()).unwrap().flatten() {
        if entry.path().is_file() {
            fs::copy(entry.path(), folder.join(entry.file_name())).unwrap();
        }
    }
    folder
}

/// A caller that goes on using a connection until its gateway closes it, or opens one a request.
struct Caller<'a> {
    number: u16,
    addresses: &'a [SocketAddr],
    gateway: usize,
    kept: Option<TcpStream>,
}

impl<'a> Caller<'a> {
    fn new(number: u16, addresses: &'a [SocketAddr]) -> Self {
        let gateway = usize::from(number) % addresses.len();
        Self { number, addresses, gateway, kept: None }
    }

    /// Every third caller opens a connection a request; some of its responses are large and read late.
    fn opens_each(&self) -> bool {
        usize::from(self.number) / self.addresses.len() == 2
    }

    /// The last caller of each gateway has a key that is withdrawn and given back.
    fn key(&self) -> String {
        let is_last = usize::from(self.number) / self.addresses.len() == usize::from(CALLERS);
        if is_last { organisations::withdrawn_key() } else { organisations::key(self.number) }
    }

    fn ask(&self, i: usize) -> Ask {
        let is_large = self.opens_each() && i % 8 == 3;
        let work = Duration::from_millis(if i % 20 == 7 { 900 } else { 20 });
        let route = if self.number.is_multiple_of(2) { "look" } else { "pay" };
        Ask {
            route,
            size: if is_large { LARGE } else { 0 },
            time_limit: Millis(if i.is_multiple_of(3) { 3_000 } else { 1_500 }),
            read_delay: Duration::from_millis(if is_large { 400 } else { 0 }),
            key: Some(self.key()),
            ..Ask::new(format!("{route}-{}-{i}", self.number), work)
        }
    }

    /// Sends requests, to the next gateway when one doesn't respond.
    fn call_until(mut self, end: Instant) -> Vec<Sent> {
        let interval =
            REQUEST_INTERVAL * (self.addresses.len() as u32 / u32::from(USUAL_GATEWAYS)).max(1);
        // Spreads the requests of all callers over the interval.
        let callers = self.addresses.len() as u32 * u32::from(CALLERS);
        thread::sleep(interval * u32::from(self.number) / callers);
        let mut sent = Vec::new();
        for i in 0.. {
            let at = Instant::now();
            if at >= end {
                break;
            }
            let address = self.addresses[self.gateway];
            let ask = self.ask(i);
            let request = match self.kept.take().or_else(|| connect(address)) {
                Some(mut stream) => {
                    let request = ask.send_on(address, &mut stream);
                    let keeps = !self.opens_each()
                        && request.response.as_ref().is_some_and(|it| !it.closes_connection());
                    self.kept = Some(stream).filter(|_| keeps);
                    request
                }
                None => Sent { ask, gateway: address, at, took: at.elapsed(), response: None },
            };
            if request.response.is_none() {
                self.gateway = (self.gateway + 1) % self.addresses.len();
            }
            sent.push(request);
            thread::sleep(interval.saturating_sub(at.elapsed()));
        }
        sent
    }
}

/// The versions of configurations that an operator has sent.
struct Configs {
    last_sent: u64,
    acknowledged: BTreeSet<u64>,
    /// When the versions were sent, and when those that were acknowledged were.
    times: Vec<(u64, Instant, Option<Instant>)>,
}

/// Returns a configuration with a route of its own version.
fn versioned_config(version: u64) -> GatewayConfig {
    let mut config = organisations::config_with_keys(version);
    if version > FIRST_VERSION {
        let mut route = config.routes[0].clone();
        route.name = format!("look-{version}");
        route.path_prefix = format!("/look-{version}/");
        config.routes.push(route);
    }
    config
}

/// Sends the changes that arrive, a number of versions with pauses each.
fn configure(hosts: &[SocketAddr], changes: &Receiver<(u64, Duration)>) -> Configs {
    let acknowledged = BTreeSet::from([FIRST_VERSION]);
    let mut configs = Configs { last_sent: FIRST_VERSION, acknowledged, times: Vec::new() };
    for (count, pause) in changes {
        for _ in 0..count {
            configs.last_sent += 1;
            let at = Instant::now();
            let body = stand_in::config_body(&versioned_config(configs.last_sent));
            let is_acknowledged = call_any(hosts, "POST", stand_in::PUT_CONFIG, &body).is_some();
            if is_acknowledged {
                configs.acknowledged.insert(configs.last_sent);
            }
            let acknowledged = is_acknowledged.then(Instant::now);
            configs.times.push((configs.last_sent, at, acknowledged));
            thread::sleep(pause);
        }
    }
    configs
}

/// The configuration that is read is the newest acknowledged one, or one that was sent later.
fn check_config(fleet: &Fleet, configs: &Configs, findings: &mut Vec<String>) {
    let read = fleet.call_control("GET", stand_in::READ_CONFIG, b"");
    let newest = configs.acknowledged.last().copied().unwrap_or_default();
    let is_sent = |version: u64| read == stand_in::config_body(&versioned_config(version));
    if !(newest..=configs.last_sent).any(is_sent) {
        let read = String::from_utf8_lossy(&read).into_owned();
        findings.push(format!("configuration {newest} was acknowledged, and read is {read}"));
    }
}

/// Planned stops end with code 0 in time, unless a fault of the host itself delays or kills it.
fn check_exits(schedule: &Schedule, begin: Instant, findings: &mut Vec<String>) {
    let stops = schedule.stops.iter().filter(|it| it.was_up && !it.is_killed);
    for stop in stops {
        let Stop { host, at, .. } = stop;
        let when = (*at - begin).as_secs_f64();
        let Some((ended, status)) = stop.ended else {
            findings.push(format!("host {host} still runs, told to stop at {when:.3} s"));
            continue;
        };
        if !status.success() {
            findings.push(format!("host {host} ended with {status}, told to stop at {when:.3} s"));
        }
        let took = ended - *at;
        let is_disturbed = schedule.faults.iter().any(|it| {
            it.disturbs(*host) && overlaps(&(begin + it.at..begin + it.until()), *at, ended)
        });
        if took >= STOP_WITHIN && !is_disturbed {
            findings.push(format!("host {host} ended {took:?} after its stop at {when:.3} s"));
        }
    }
}

/// Returns the number of a host, the last byte of its address.
fn host_of(ip: Ipv4Addr) -> u8 {
    ip.octets()[3]
}

fn overlaps(time: &Range<Instant>, from: Instant, until: Instant) -> bool {
    time.start <= until && from <= time.end
}

/// Returns a check of whether a request is one of a planned stop, and no unplanned fault of its gateway
/// or of a server that it reached was near.
fn judged_around(
    stops: &Stops,
    faults: &[Fault],
    servers: &[Server],
    begin: Instant,
) -> impl Fn(&Sent) -> bool {
    let mut reached: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for (number, server) in (1..).zip(servers) {
        for id in server.attempt_ids() {
            reached.entry(id).or_default().insert(number);
        }
    }
    move |request| {
        let (from, until) = (request.at, request.at + request.took);
        let is_of_stop = stops.iter().any(|(gateway, at)| {
            *gateway == request.gateway
                && overlaps(&(*at..*at + STOP_WITHIN + STOP_SLACK), from, until)
        });
        let SocketAddr::V4(gateway) = request.gateway else { return false };
        let host = host_of(*gateway.ip());
        let is_disturbed = |it: &Fault| {
            let concerns = it.disturbs(host)
                || reached
                    .get(&request.ask.id)
                    .is_some_and(|servers| servers.iter().any(|server| it.fails_requests(*server)));
            concerns && overlaps(&(begin + it.at..begin + it.until() + EXCUSED_TIME), from, until)
        };
        is_of_stop && !faults.iter().any(is_disturbed)
    }
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
        let (id, status) = (&request.ask.id, request.status());
        let is_idempotent = request.ask.route == "look";
        let runs = runs.get(id).copied().unwrap_or_default();
        if runs > 1 && !is_idempotent {
            findings.push(format!("{id} ran {runs} times"));
        }
        if status == 503 && runs > 0 && !is_idempotent {
            findings.push(format!("{id} was refused and has run"));
        }
        let Some(response) = request.response.as_ref().filter(|it| it.status == 200) else {
            continue;
        };
        if !stand_in::is_signed(&response.head) || !is_of(&response.body, id) {
            findings.push(format!("{id} got a response that is not its own"));
        }
    }
}

/// Returns whether a response body, which begins with the path of its request, is of a request.
fn is_of(body: &[u8], id: &str) -> bool {
    let path = &body[..body.len().min(MAX_PATH)];
    String::from_utf8_lossy(path).contains(&format!("/{id}/"))
}

/// Servers get no more from the gateways that they have told than their limits allow.
fn check_limits(servers: &[Server], faults: &[Fault], begin: Instant, findings: &mut Vec<String>) {
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
                    let is_excused = faults.iter().any(|it| {
                        (it.disturbs(host_of(*ip)) || it.stops(host_of(*ip)))
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
    let is_counted = |it: &&Sent| {
        it.at + RECOVERY_TIME / 2 >= end && it.ask.key != Some(organisations::withdrawn_key())
    };
    let last: Vec<&Sent> = sent.iter().filter(is_counted).collect();
    let served = last.iter().filter(|it| it.status() == 200).count();
    if served * 50 < last.len() * 49 {
        findings.push(format!("{served} of {} served after the faults", last.len()));
    }
}

fn report(
    seed: u64,
    schedule: &Schedule,
    sent: &[Sent],
    begin: Instant,
    configs: &Configs,
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
    Report {
        seed,
        faults: schedule.faults.clone(),
        statuses,
        latencies,
        seconds,
        judged: 0,
        stops: schedule.stops.len(),
        replaced: 0,
        configs: (configs.last_sent, configs.acknowledged.len()),
        findings: Vec::new(),
    }
}
