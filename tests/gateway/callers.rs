//! Callers that record what they get for each request, and checks of what gateways promise them.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpStream},
    process::ExitStatus,
    thread,
    time::{Duration, Instant},
};

use ids::Millis;
use platform::stand_in;
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

use super::{
    Fleet, Server, WAIT_TIMEOUT,
    http::{HttpResponse, call, receive, send},
};

/// Time within which the gateways of the tests stop.
pub const STOP_WITHIN: Duration = Duration::from_secs(6);

/// Begin of the last sixth of a stop.
const LAST_SIXTH: Duration = Duration::from_secs(5);

/// Time after the signal up to which requests may be sent that last into the last sixth of a stop.
const LONG_REQUESTS_UNTIL: Duration = Duration::from_secs(3);

/// Longest wait of a caller for data.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A request and what its server is to do.
#[derive(Debug, Clone)]
pub struct Ask {
    pub id: String,
    pub route: &'static str,
    /// Time that the server works on it.
    pub work: Duration,
    /// Size of the response's body.
    pub size: usize,
    pub time_limit: Millis,
    /// Time after which the caller begins to read.
    pub read_delay: Duration,
    pub key: Option<String>,
}

impl Ask {
    pub fn new(id: String, work: Duration) -> Self {
        Self {
            id,
            route: "look",
            work,
            size: 0,
            time_limit: Millis(3_000),
            read_delay: Duration::ZERO,
            key: None,
        }
    }

    fn path(&self) -> String {
        format!("/{}/{}/work-{}/size-{}", self.route, self.id, self.work.as_millis(), self.size)
    }

    /// Sends the request on a connection and waits for the response.
    pub fn send_on(self, gateway: SocketAddr, stream: &mut TcpStream) -> Sent {
        let at = Instant::now();
        let mut headers = stand_in::caller_headers(&self.id, self.time_limit).to_vec();
        headers.extend(self.key.as_deref().map(stand_in::key_header));
        let response = send(stream, "GET", &self.path(), &headers, b"").and_then(|()| {
            thread::sleep(self.read_delay);
            receive(stream)
        });
        let response = response.filter(|it| it.status != 200 || it.body.len() >= self.size);
        Sent { ask: self, gateway, at, took: at.elapsed(), response }
    }

    /// Sends the request on a new connection; returns `None` if it is not accepted.
    pub fn send_to(self, gateway: SocketAddr) -> Option<Sent> {
        let mut stream = connect(gateway)?;
        Some(self.send_on(gateway, &mut stream))
    }
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    Some(stream)
}

/// A request of a caller, and the response if it was complete.
pub struct Sent {
    pub ask: Ask,
    pub gateway: SocketAddr,
    pub at: Instant,
    pub took: Duration,
    pub response: Option<HttpResponse>,
}

impl Sent {
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |it| it.status)
    }

    /// Returns whether the caller has a complete response of a server.
    pub fn is_answered(&self) -> bool {
        self.response.as_ref().is_some_and(|it| stand_in::is_signed(&it.head))
    }

    fn describe(&self, signalled: Option<Instant>, arrived: Option<Instant>) -> String {
        let since_signal = |at: Instant| match signalled {
            Some(signalled) if at < signalled => -(signalled - at).as_secs_f64(),
            Some(signalled) => (at - signalled).as_secs_f64(),
            None => f64::NAN,
        };
        format!(
            "{} of {}: sent {:.3} s after the signal, at a server {:.3}, status {} at {:.3}",
            self.ask.id,
            self.gateway,
            since_signal(self.at),
            arrived.map_or(f64::NAN, since_signal),
            self.status(),
            since_signal(self.at + self.took),
        )
    }
}

/// Time that most requests of a [`Client`] take.
const CLIENT_WORK: Duration = Duration::from_millis(230);

/// A caller that asks directories for gateways and uses each answer for a while.
pub struct Client {
    pub key: Option<String>,
    number: u64,
    rng: Xoshiro256PlusPlus,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    /// When the answer of the directory runs out.
    valid_until: Instant,
    keep_time: Duration,
    /// Connections that are kept between requests, if the client keeps any.
    kept: Option<BTreeMap<SocketAddr, TcpStream>>,
}

impl Client {
    pub fn new(seed: u64, number: u64, directories: Vec<SocketAddr>) -> Self {
        Self {
            key: None,
            number,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed * 1_000 + number),
            directories,
            addresses: Vec::new(),
            valid_until: Instant::now(),
            keep_time: Duration::from_secs(if number % 4 == 3 { 3 } else { 1 }),
            kept: (number % 2 == 1).then(BTreeMap::new),
        }
    }

    fn index(&mut self, len: usize) -> usize {
        (self.rng.next_u64() % len as u64) as usize
    }

    /// Asks directories until one lists gateways; connections to gateways that left are dropped.
    fn ask_directory(&mut self) {
        let path = stand_in::directory_path("north", "north-a");
        for _ in 0..self.directories.len() {
            let i = self.index(self.directories.len());
            let response = call(self.directories[i], "GET", &path, &[], b"");
            let listed = response.map(|it| stand_in::read_addresses(&it.body)).unwrap_or_default();
            let listed: Vec<_> = listed.iter().filter_map(|it| it.parse().ok()).collect();
            if !listed.is_empty() {
                if let Some(kept) = &mut self.kept {
                    kept.retain(|it, _| listed.contains(it));
                }
                self.addresses = listed;
                self.valid_until = Instant::now() + self.keep_time;
                return;
            }
        }
    }

    /// Sends requests one after the other until `end`.
    pub fn run(mut self, end: Instant) -> Vec<Sent> {
        let mut sent: Vec<Sent> = Vec::new();
        while Instant::now() < end {
            if self.valid_until <= Instant::now() {
                self.ask_directory();
            }
            thread::sleep(Duration::from_millis(self.rng.next_u64() % 120));
            if self.addresses.is_empty() {
                continue;
            }
            let i = self.index(self.addresses.len());
            let gateway = self.addresses[i];
            let is_slow = self.rng.next_u64().is_multiple_of(30);
            let ask = Ask {
                route: if self.rng.next_u64().is_multiple_of(2) { "look" } else { "pay" },
                key: self.key.clone(),
                ..Ask::new(
                    format!("client-{}-{}", self.number, sent.len()),
                    if is_slow { CLIENT_WORK * 5 } else { CLIENT_WORK },
                )
            };
            let stream = self.kept.as_mut().and_then(|it| it.remove(&gateway));
            let Some(mut stream) = stream.or_else(|| connect(gateway)) else { continue };
            let request = ask.send_on(gateway, &mut stream);
            let keeps = request.response.as_ref().is_some_and(|it| !it.closes_connection());
            if let Some(kept) = self.kept.as_mut().filter(|_| keeps) {
                kept.insert(gateway, stream);
            }
            sent.push(request);
        }
        sent
    }
}

/// The signals by which gateways were stopped.
pub type Stops = Vec<(SocketAddr, Instant)>;

/// Returns the requests that broke a promise: those that reached a server and have no complete
/// response from it, refusals without a time to return, and non-idempotent requests that ran twice.
pub fn broken_promises(sent: &[Sent], servers: &[Server], stops: &Stops) -> Vec<String> {
    let mut arrivals: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for (id, at) in servers.iter().flat_map(Server::arrivals) {
        arrivals.entry(id).or_default().push(at);
    }
    let mut broken = Vec::new();
    for request in sent {
        let arrived = arrivals.get(&request.ask.id);
        let signalled = stops
            .iter()
            .find(|(gateway, at)| *gateway == request.gateway && request.at < *at + STOP_WITHIN)
            .map(|(_, at)| *at);
        let first = arrived.and_then(|it| it.iter().min().copied());
        let text = |what: &str| format!("{what}: {}", request.describe(signalled, first));
        if arrived.is_some() && !request.is_answered() && !is_excused(request, signalled, first) {
            broken.push(text("no response of its server"));
        }
        if arrived.is_some() && request.status() == 503 && !request.is_answered() {
            broken.push(text("refused as not run, but ran"));
        }
        let retry_after = request.response.as_ref().and_then(HttpResponse::retry_after);
        if request.status() == 503 && retry_after.is_none() {
            broken.push(text("refused without a time to return"));
        }
        if request.ask.route == "pay" && arrived.is_some_and(|it| it.len() > 1) {
            broken.push(text("ran twice"));
        }
    }
    broken
}

/// Returns whether a request had reached its time limit, or was sent early in a stop and its server
/// still worked on it late in the stop.
fn is_excused(request: &Sent, signalled: Option<Instant>, arrived: Option<Instant>) -> bool {
    let is_overdue = request.took >= Duration::from(request.ask.time_limit);
    let is_long = signalled.zip(arrived).is_some_and(|(signalled, arrived)| {
        request.at <= signalled + LONG_REQUESTS_UNTIL
            && arrived + request.ask.work >= signalled + LAST_SIXTH
    });
    is_overdue || is_long
}

impl Fleet {
    pub fn callers(&self, gateway: u8) -> SocketAddr {
        self.address(gateway, self.ports.callers)
    }

    /// Sends SIGTERM to a gateway and returns when.
    pub fn stop(&self, gateway: u8) -> Instant {
        let at = Instant::now();
        self.signal(gateway, "-TERM");
        at
    }

    /// Returns the lines on planned stops and unfinished connections in the logs of all hosts.
    pub fn stop_logs(&self) -> Vec<String> {
        let is_of_stop = |line: &&str| {
            line.contains("planned stop") || line.contains("open at the end of the process")
        };
        let hosts = self.processes.keys().map(|it| it.octets()[3]);
        hosts
            .flat_map(|host| {
                let log = fs::read_to_string(self.log_file(host)).unwrap_or_default();
                let lines = log.lines().filter(is_of_stop);
                lines.map(|it| format!("host {host}: {it}")).collect::<Vec<_>>()
            })
            .collect()
    }

    /// Returns how a process ended, if it has.
    pub fn exit_status(&mut self, host: u8) -> Option<ExitStatus> {
        let ip = self.ip(host);
        self.processes.get_mut(&ip).unwrap().try_wait().unwrap()
    }

    /// Waits for the end of a process that was told to stop, and checks that it ends well in time.
    pub fn expect_exit(&mut self, host: u8, signalled: Instant) {
        let start = Instant::now();
        let status = loop {
            if let Some(status) = self.exit_status(host) {
                break status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not exit");
            thread::sleep(Duration::from_millis(5));
        };
        let took = signalled.elapsed();
        assert!(status.success(), "{status}");
        assert!(took < STOP_WITHIN, "the process ended {took:?} after the signal");
    }
}
