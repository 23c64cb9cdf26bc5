//! A stand-in for a backend server that crashes or loses answers, and announces each of its starts.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hyper::HeaderMap;
use ids::{Incarnation, Millis};
use platform::stand_in;
use schema::announcement::{Announcement, ServerState};

use super::{
    Fleet, call_any,
    http::{header_map, read_head},
};

/// Interval at which a start announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time until a server that has crashed starts again.
pub const DOWN_TIME: Duration = Duration::from_secs(2);

/// Time that an answered request takes.
const WORK: Duration = Duration::from_millis(50);

/// What becomes of a request that has begun to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// The connection is reset, and the process lives on.
    AnswerLost,
    /// The process crashes, and is back after [`DOWN_TIME`].
    Crash,
}

/// A request that has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub path: String,
}

type Decide = dyn Fn(&str) -> Fate + Send + Sync;

/// A server that keeps its address; each start has another id.
pub struct CrashingServer {
    number: u64,
    address: SocketAddr,
    controls: [SocketAddr; 3],
    decide: Box<Decide>,
    starts: AtomicU64,
    is_up: AtomicBool,
    /// Whether the test is over.
    is_over: AtomicBool,
    /// Connections of the present start.
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    next_stream: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

/// Ends the server when it is dropped.
pub struct Running(Arc<CrashingServer>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.is_over.store(true, Ordering::SeqCst);
    }
}

impl Running {
    /// Returns the runs of all starts so far.
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }
}

impl CrashingServer {
    /// Starts servers of the service `queue`.
    pub fn start_all(
        fleet: &Fleet,
        count: u64,
        decide: impl Fn(u64, &str) -> Fate + Clone + Send + Sync + 'static,
    ) -> Vec<Running> {
        let start = |number| {
            let decide = decide.clone();
            Self::start(fleet, number, move |path| decide(number, path))
        };
        (1..=count).map(start).collect()
    }

    fn start(
        fleet: &Fleet,
        number: u64,
        decide: impl Fn(&str) -> Fate + Send + Sync + 'static,
    ) -> Running {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Arc::new(Self {
            number,
            address: listener.local_addr().unwrap(),
            controls: fleet.control_addresses(),
            decide: Box::new(decide),
            starts: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        server.clone().run_start(listener);
        Running(server)
    }

    fn run_start(self: Arc<Self>, listener: TcpListener) {
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_up.store(true, Ordering::SeqCst);
        let announcer = self.clone();
        thread::spawn(move || announcer.announce(start));
        thread::spawn(move || self.accept(&listener, start));
    }

    fn is_current(&self, start: u64) -> bool {
        let is_over = self.is_over.load(Ordering::SeqCst);
        let is_up = self.is_up.load(Ordering::SeqCst);
        !is_over && is_up && self.starts.load(Ordering::SeqCst) == start
    }

    fn id(&self, start: u64) -> String {
        format!("i-{}-{start}", self.number)
    }

    fn announce(&self, start: u64) {
        let mut announcement = Announcement {
            server: self.id(start).parse().unwrap(),
            service: "queue".parse().unwrap(),
            data_centre: "north-a".parse().unwrap(),
            address: self.address,
            incarnation: Incarnation(1_000 * start + self.number),
            lifetime_ms: Millis(1_500),
            sequence: 1,
            slots: 3,
            state: ServerState::Serving,
        };
        while self.is_current(start) {
            let path = stand_in::announce_path(&announcement.server);
            let body = stand_in::announcement_body(&announcement);
            let _ = call_any(&self.controls, "POST", &path, &body);
            announcement.sequence += 1;
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, start: u64) {
        listener.set_nonblocking(true).unwrap();
        while self.is_current(start) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            let number = self.next_stream.fetch_add(1, Ordering::SeqCst);
            self.streams.lock().unwrap().insert(number, stream.try_clone().unwrap());
            let server = self.clone();
            thread::spawn(move || {
                server.serve(stream, start);
                server.streams.lock().unwrap().remove(&number);
            });
        }
    }

    /// Serves requests without bodies on one connection.
    fn serve(self: &Arc<Self>, mut stream: TcpStream, start: u64) {
        let mut buf = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buf) {
            let attempt = stand_in::read_attempt(&header_map(&head));
            if !self.is_current(start) {
                return;
            }
            if attempt.target.as_deref() != Some(&self.id(start)) {
                let _ = stream.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
                continue;
            }
            let path = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
            self.runs.lock().unwrap().push(Run { at: Instant::now(), path: path.clone() });
            let fate = (self.decide)(&path);
            if fate == Fate::Crash {
                return self.crash(start);
            }
            thread::sleep(WORK);
            if fate == Fate::AnswerLost || !self.is_current(start) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let mut headers = HeaderMap::new();
            stand_in::sign_response(&mut headers, &attempt.attempt_id);
            let mut response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n".to_owned();
            for (name, value) in &headers {
                response += &format!("{name}: {}\r\n", value.to_str().unwrap());
            }
            if stream.write_all(format!("{response}\r\nok").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn crash(self: &Arc<Self>, start: u64) {
        if !self.is_current(start) {
            return;
        }
        self.is_up.store(false, Ordering::SeqCst);
        for stream in std::mem::take(&mut *self.streams.lock().unwrap()).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            while !server.is_over.load(Ordering::SeqCst) {
                if let Ok(listener) = TcpListener::bind(server.address) {
                    return server.run_start(listener);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
}
