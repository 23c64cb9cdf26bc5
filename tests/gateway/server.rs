//! A stand-in for a backend server of the platform.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hyper::HeaderMap;
use ids::{Incarnation, Millis};
use platform::stand_in;
use schema::announcement::{Announcement, ServerState};

use super::http::{header_map, read_head};

/// Begin of all keys of tests.
pub const KEY: &str = "key-that-no-server-sees";

/// A backend server that can be told to fail.
pub struct Server {
    pub announcement: Announcement,
    behaviour: Arc<Behaviour>,
}

/// What a server does with requests, and what it has seen.
#[derive(Default)]
pub struct Behaviour {
    /// Ids of the attempts that have arrived, and when.
    arrivals: Mutex<Vec<(String, Instant)>>,
    /// Whether the server runs requests but closes their connections without a response.
    pub drops_connections: AtomicBool,
    /// Whether the server refuses requests as if another server had its address.
    pub has_other_id: AtomicBool,
    /// Whether the next answer on a connection comes after a second copy of the one before.
    pub late_copies: Mutex<Option<LateCopy>>,
    /// Whether the responses say that the server leaves.
    pub is_leaving: AtomicBool,
    /// The `Retry-After` with which the server turns all requests away.
    pub turns_away: Mutex<Option<String>>,
    /// The status of all responses, instead of 200.
    pub status: Mutex<Option<u16>>,
    /// The limit on the requests of all gateways that the responses name.
    pub limit: Mutex<Option<String>>,
    /// Whether the server sends bytes without end instead of responses.
    pub pours: Mutex<Option<Pour>>,
    /// Number of connections on which the server sends bytes without end.
    pub pouring: Mutex<usize>,
    /// Gateways that are cut off from the server, and how.
    pub cuts: Mutex<BTreeMap<Ipv4Addr, Cut>>,
    /// The gateways that the attempts came from, by id.
    pub sources: Mutex<BTreeMap<String, Ipv4Addr>>,
    /// What the heads of the attempts say of their callers, by id.
    pub callers: Mutex<BTreeMap<String, SeenCaller>>,
    /// Ids of the attempts that have run.
    pub runs: Mutex<Vec<String>>,
    /// When attempts arrived, and from which gateways.
    pub sources_at: Mutex<Vec<(Instant, Ipv4Addr)>>,
    /// When which gateways were told of a limit.
    told: Mutex<Vec<(Instant, Ipv4Addr)>>,
    /// When the gateway closed the connections of requests to paths that end with `hang`.
    pub closed_at: Mutex<Vec<Instant>>,
    /// Number of open connections.
    pub connections: Mutex<usize>,
}

/// The answer of which a server sends a second copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCopy {
    Answer,
    /// That it did not run the request.
    NotRun,
}

/// What a server sees of the caller of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenCaller {
    pub organisation: Option<String>,
    /// Whether any part of the head shows a key.
    pub shows_key: bool,
}

/// Where a server sends bytes without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pour {
    /// In the head of a response.
    Head,
    /// In a chunked body.
    Body,
    /// After a whole response.
    AfterResponse,
}

/// How a gateway is cut off from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Its connections are reset.
    Reset,
    /// Nothing arrives on its connections.
    Silent,
    /// Its open connections live on, and new ones are reset.
    NewRefused,
}

impl Behaviour {
    /// Returns when a gateway was first told of a limit in a time.
    pub fn told_at(&self, gateway: Ipv4Addr, time: Range<Instant>) -> Option<Instant> {
        let told = self.told.lock().unwrap();
        told.iter().find(|(at, ip)| *ip == gateway && time.contains(at)).map(|(at, _)| *at)
    }

    fn cut(&self, gateway: Ipv4Addr) -> Option<Cut> {
        self.cuts.lock().unwrap().get(&gateway).copied()
    }
}

impl std::ops::Deref for Server {
    type Target = Behaviour;

    fn deref(&self) -> &Behaviour {
        &self.behaviour
    }
}

impl Server {
    /// Starts a server with id `i-{number}`.
    pub fn start(number: u64, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let announcement = Announcement {
            server: format!("i-{number}").parse().unwrap(),
            service: service.parse().unwrap(),
            data_centre: "north-a".parse().unwrap(),
            address,
            incarnation: Incarnation(1_000 + number),
            lifetime_ms: Millis(1_500),
            sequence: 1,
            slots: 3,
            state: ServerState::Serving,
        };
        let server = Self { announcement, behaviour: Arc::default() };
        let name = server.announcement.server.to_string();
        let behaviour = server.behaviour.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, behaviour) = (name.clone(), behaviour.clone());
                thread::spawn(move || {
                    // A connection that has been reset has no peer.
                    let Ok(SocketAddr::V4(gateway)) = stream.peer_addr() else { return };
                    *behaviour.connections.lock().unwrap() += 1;
                    serve(stream, *gateway.ip(), &name, &behaviour);
                    *behaviour.connections.lock().unwrap() -= 1;
                });
            }
        });
        server
    }

    /// Returns the ids of the attempts that have arrived, in order.
    pub fn attempt_ids(&self) -> Vec<String> {
        self.arrivals().into_iter().map(|(id, _)| id).collect()
    }

    /// Returns the ids of the attempts that have arrived and when, in order.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// Serves requests on one connection; paths that end with `slow` take two seconds, and paths that
/// end with `hang` get no response. A segment `work-MS` sets the time that a request takes, and
/// `size-BYTES` the size of the response's body.
fn serve(mut stream: TcpStream, gateway: Ipv4Addr, name: &str, behaviour: &Behaviour) {
    if matches!(behaviour.cut(gateway), Some(Cut::Reset | Cut::NewRefused)) {
        return;
    }
    let mut buf = Vec::new();
    let mut previous: Option<String> = None;
    while let Some(head) = read_head(&mut stream, &mut buf) {
        if discard_body(&mut stream, &mut buf, &head).is_none() {
            return;
        }
        match behaviour.cut(gateway) {
            Some(Cut::Reset) => return,
            Some(Cut::Silent) => {
                // Returns when the gateway closes the connection.
                while stream.read(&mut [0; 1024]).is_ok_and(|it| it > 0) {}
                return;
            }
            Some(Cut::NewRefused) | None => {}
        }
        let attempt = stand_in::read_attempt(&header_map(&head));
        let has_other_id = behaviour.has_other_id.load(Ordering::Relaxed);
        if has_other_id || attempt.target.as_deref() != Some(name) {
            let _ = stream.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        behaviour.arrivals.lock().unwrap().push((attempt.attempt_id.clone(), Instant::now()));
        behaviour.sources.lock().unwrap().insert(attempt.attempt_id.clone(), gateway);
        behaviour.sources_at.lock().unwrap().push((Instant::now(), gateway));
        let shows_key = head.to_ascii_lowercase().contains("authorization") || head.contains(KEY);
        let caller = SeenCaller { organisation: attempt.organisation, shows_key };
        behaviour.callers.lock().unwrap().insert(attempt.attempt_id.clone(), caller);
        let retry_after = behaviour.turns_away.lock().unwrap().clone();
        if retry_after.is_none() {
            behaviour.runs.lock().unwrap().push(attempt.attempt_id.clone());
        }
        if behaviour.drops_connections.load(Ordering::Relaxed) {
            return;
        }
        let target = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
        let pour = *behaviour.pours.lock().unwrap();
        if let Some(pour) = pour {
            *behaviour.pouring.lock().unwrap() += 1;
            pour_bytes(&mut stream, pour, &attempt.attempt_id, &format!("{name} {target}"));
            *behaviour.pouring.lock().unwrap() -= 1;
            return;
        }
        if target.ends_with("hang") {
            // The gateway sends nothing more, so the read returns when it closes the connection.
            let ended = stream.read(&mut [0]).map_or(true, |it| it == 0);
            assert!(ended, "data after a request without a body");
            behaviour.closed_at.lock().unwrap().push(Instant::now());
            return;
        }
        if target.ends_with("slow") {
            thread::sleep(Duration::from_secs(2));
        }
        if let Some(time) = path_number(&target, "work-") {
            thread::sleep(Duration::from_millis(time));
        }
        let late_copy = *behaviour.late_copies.lock().unwrap();
        if let (Some(copy), Some(id)) = (late_copy, previous.replace(attempt.attempt_id.clone())) {
            let _ = stream.write_all(&late_response(copy, &id));
        }
        let mut headers = HeaderMap::new();
        stand_in::sign_response(&mut headers, &attempt.attempt_id);
        if behaviour.is_leaving.load(Ordering::Relaxed) {
            stand_in::mark_leaving(&mut headers);
        }
        if let Some(limit) = &*behaviour.limit.lock().unwrap() {
            stand_in::name_limit(&mut headers, limit);
            behaviour.told.lock().unwrap().push((Instant::now(), gateway));
        }
        let status = match &retry_after {
            Some(value) => {
                stand_in::mark_not_run(&mut headers);
                headers.insert("retry-after", value.parse().unwrap());
                "503 Service Unavailable".to_owned()
            }
            None => format!("{:03} Some Reason", behaviour.status.lock().unwrap().unwrap_or(200)),
        };
        let mut body = format!("{name} {target}");
        if let Some(size) = path_number(&target, "size-") {
            let missing = usize::try_from(size).unwrap().saturating_sub(body.len());
            body += &" ".repeat(missing);
        }
        let mut response = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in &headers {
            response += &format!("{name}: {}\r\n", value.to_str().unwrap());
        }
        if stream.write_all(format!("{response}\r\n{body}").as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a body with a length; returns `None` if the connection ends first.
fn discard_body(stream: &mut TcpStream, buf: &mut Vec<u8>, head: &str) -> Option<()> {
    let length =
        header_map(head).get("content-length").and_then(|it| it.to_str().ok()?.parse().ok());
    let mut missing: usize = length.unwrap_or(0);
    let buffered = missing.min(buf.len());
    buf.drain(..buffered);
    missing -= buffered;
    let mut chunk = vec![0; missing.min(64 * 1024)];
    while missing > 0 {
        let len = missing.min(chunk.len());
        missing -= stream.read(&mut chunk[..len]).ok().filter(|it| *it > 0)?;
    }
    Some(())
}

/// Returns the number in the path segment that starts with `prefix`.
fn path_number(path: &str, prefix: &str) -> Option<u64> {
    path.split('/').find_map(|it| it.strip_prefix(prefix)?.parse().ok())
}

/// Returns the answer to the attempt with this id.
fn late_response(copy: LateCopy, attempt_id: &str) -> Vec<u8> {
    let mut headers = HeaderMap::new();
    stand_in::sign_response(&mut headers, attempt_id);
    let status = match copy {
        LateCopy::Answer => "200 OK",
        LateCopy::NotRun => {
            stand_in::mark_not_run(&mut headers);
            "503 Service Unavailable"
        }
    };
    let body = format!("late answer to {attempt_id}");
    let mut response = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in &headers {
        response += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    format!("{response}\r\n{body}").into_bytes()
}

/// Sends bytes until the gateway closes the connection.
fn pour_bytes(stream: &mut TcpStream, pour: Pour, attempt_id: &str, body: &str) {
    let mut headers = HeaderMap::new();
    stand_in::sign_response(&mut headers, attempt_id);
    let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
    for (name, value) in &headers {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let (begin, bytes) = match pour {
        Pour::Head => (head, "x-filler: ".to_owned() + &"a".repeat(4_096) + "\r\n"),
        Pour::Body => {
            let begin = head + "transfer-encoding: chunked\r\n\r\n";
            (begin, format!("1000\r\n{}\r\n", "a".repeat(4_096)))
        }
        Pour::AfterResponse => {
            let begin = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
            (begin, "a".repeat(4_096))
        }
    };
    let mut is_open = stream.write_all(begin.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(bytes.as_bytes()).is_ok();
    }
}
