//! A stand-in for an upstream that a request may crash.

#![allow(dead_code)]

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use ids::{Incarnation, Millis};
use platform::stand_in;
use schema::announcement::{Announcement, ServerState};

use crate::fleet::call_control;

/// Requests that an upstream works on at once, and that wait besides.
const SLOTS: u64 = 3;
const QUEUE: u64 = 3;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(300);

/// Time until an upstream that has crashed is back.
const DOWN: Duration = Duration::from_secs(2);

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What all upstreams have seen.
#[derive(Default)]
pub struct Seen {
    /// When the request that crashes upstreams began to run, and at which upstream.
    pub runs: Mutex<Vec<(Instant, u8)>>,
    /// When an upstream crashed, and which.
    pub crashes: Mutex<Vec<(Instant, u8)>>,
    /// Requests of others that an upstream was at work on when it crashed.
    pub lost: AtomicU64,
}

/// The request that crashes upstreams.
pub struct Crashing {
    /// Its organisation; empty if there are none.
    pub organisation: &'static str,
    pub path: &'static str,
    /// Time into its work at which it crashes its upstream.
    pub after: Duration,
    /// Whether it does.
    pub is_on: bool,
    /// Highest number of the upstreams that go on with a request whose connection is closed.
    pub undeterred: u8,
}

struct Upstream {
    number: u8,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    crashing: Arc<Crashing>,
    seen: Arc<Seen>,
    start: AtomicU64,
    is_up: AtomicBool,
    in_work: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

/// Starts an upstream, which is back `DOWN` after each crash, with a new id.
pub fn start(
    number: u8,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    crashing: Arc<Crashing>,
    seen: Arc<Seen>,
) {
    let upstream = Arc::new(Upstream {
        number,
        address,
        controls,
        crashing,
        seen,
        start: AtomicU64::new(0),
        is_up: AtomicBool::new(true),
        in_work: AtomicU64::new(0),
        connections: Mutex::default(),
    });
    thread::spawn(move || {
        loop {
            upstream.is_up.store(true, Ordering::SeqCst);
            let start = upstream.start.fetch_add(1, Ordering::SeqCst) + 1;
            let announcer = upstream.clone();
            thread::spawn(move || announcer.announce(start));
            upstream.accept();
            thread::sleep(DOWN);
        }
    });
}

impl Upstream {
    fn id(&self, start: u64) -> String {
        format!("i-{}-{start}", self.number)
    }

    fn lives(&self, start: u64) -> bool {
        self.is_up.load(Ordering::SeqCst) && self.start.load(Ordering::SeqCst) == start
    }

    /// Announces one start until it has crashed.
    fn announce(&self, start: u64) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis());
        let mut sequence = 0;
        while self.lives(start) {
            sequence += 1;
            let announcement = Announcement {
                server: self.id(start).parse().expect("a valid id"),
                service: "depositsvc".parse().expect("a valid name"),
                data_centre: "rvk-a".parse().expect("a valid name"),
                address: self.address,
                incarnation: Incarnation(born as u64),
                sequence,
                state: ServerState::Serving,
                slots: SLOTS as u32,
                lifetime_ms: Millis(0),
            };
            let path = stand_in::announce_path(&announcement.server);
            let body = stand_in::announcement_body(&announcement);
            for i in 0..self.controls.len() {
                let i = (i + usize::from(self.number) + sequence as usize) % self.controls.len();
                if call_control(self.controls[i], "POST", &path, &body)
                    .is_ok_and(|it| it.status == 200)
                {
                    break;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Accepts connections until this start has crashed.
    fn accept(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        };
        let _ = listener.set_nonblocking(true);
        let start = self.start.load(Ordering::SeqCst);
        while self.lives(start) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().unwrap().push(copy);
                    }
                    let upstream = self.clone();
                    thread::spawn(move || upstream.serve(stream, start));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    /// Ends this start: all its connections are closed, and nothing listens at its address.
    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.seen.crashes.lock().unwrap().push((Instant::now(), self.number));
    }

    fn serve(&self, mut stream: TcpStream, start: u64) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while self.lives(start) {
            let Some(head) = read_head(&mut stream, &mut buf) else { return };
            let is_kept = self.answer(&mut stream, &head, start);
            if !is_kept {
                return;
            }
        }
    }

    /// Runs a request without a body; returns whether the connection can be kept.
    fn answer(&self, stream: &mut TcpStream, head: &str, start: u64) -> bool {
        let attempt = stand_in::read_attempt(&header_map(head));
        let mut headers = HeaderMap::new();
        if attempt.target.is_some_and(|it| it != self.id(start)) {
            return write(stream, "421 Misdirected Request", &headers, "");
        }
        stand_in::sign_response(&mut headers, &attempt.attempt_id);
        if self.in_work.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.in_work.fetch_sub(1, Ordering::SeqCst);
            stand_in::mark_not_run(&mut headers);
            return write(stream, "503 Service Unavailable", &headers, "");
        }
        let organisation = attempt.organisation.unwrap_or_default();
        let path = head.split_whitespace().nth(1).unwrap_or_default();
        let is_crashing = organisation == self.crashing.organisation && path == self.crashing.path;
        if is_crashing {
            self.seen.runs.lock().unwrap().push((Instant::now(), self.number));
        }
        if is_crashing && self.crashing.is_on {
            let is_undeterred = self.number <= self.crashing.undeterred;
            let is_closed = is_closed_within(stream, self.crashing.after);
            if (is_undeterred || !is_closed) && self.lives(start) {
                self.crash();
            }
        } else {
            thread::sleep(WORK);
        }
        self.in_work.fetch_sub(1, Ordering::SeqCst);
        if !self.lives(start) {
            self.seen.lost.fetch_add(u64::from(!is_crashing), Ordering::SeqCst);
            return false;
        }
        write(stream, "200 OK", &headers, &format!("list of {organisation}"))
    }
}

/// Waits; returns whether the sender has closed the connection meanwhile.
fn is_closed_within(stream: &mut TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = stream.set_read_timeout(Some(time));
    // Nothing but the end of the connection can arrive before the response.
    let is_closed = stream.read(&mut [0]).is_ok_and(|it| it == 0);
    let _ = stream.set_read_timeout(None);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    is_closed
}

fn write(stream: &mut TcpStream, status: &str, headers: &HeaderMap, body: &str) -> bool {
    let mut response = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        response += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    stream.write_all(format!("{response}\r\n{body}").as_bytes()).is_ok()
}

fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = buf.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut chunk = [0; 4_096];
        let read = stream.read(&mut chunk).ok().filter(|it| *it > 0)?;
        buf.extend_from_slice(&chunk[..read]);
    }
}

fn header_map(head: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in head.lines().skip(1).filter_map(|it| it.split_once(':')) {
        let name = HeaderName::from_bytes(name.trim().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value.trim())) {
            headers.insert(name, value);
        }
    }
    headers
}
