//! Crowds of clients that send too much or stop short of their end, and what processes use meanwhile.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use ids::Millis;
use platform::stand_in;

use super::{Fleet, http};

/// Memory of the smallest machine of a gateway, in kilobytes.
pub const GATEWAY_MEMORY: u64 = 160_000;

/// Memory of the smallest machine of a control host, in kilobytes.
pub const CONTROL_MEMORY: u64 = 256_000;

/// Time limit that the clients of a crowd state.
const TIME_LIMIT: Millis = Millis(60_000);

/// Longest wait of a client of a crowd for a process that doesn't read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// States in `/proc/net/tcp` of sockets that hold no bytes; the queue of a listener is counted in
/// connections.
const TIME_WAIT: &str = "06";
const LISTEN: &str = "0A";

/// Intervals at which processes and sockets are read; the list of sockets is long after many connections.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const SOCKET_INTERVAL: Duration = Duration::from_millis(100);

/// Statuses that promise that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What each client of a crowd sends on its connection; `{id}` in the head becomes its own id.
#[derive(Clone)]
pub struct Script {
    pub head: String,
    pub piece: Arc<Vec<u8>>,
    pub pieces: usize,
}

impl Script {
    /// A request of which only the head is sent.
    pub fn of_head(method: &str, path: &str) -> Self {
        Self::with_framing(method, path, "", Vec::new(), 0)
    }

    /// A body with an announced length.
    pub fn announced(
        method: &str,
        path: &str,
        announced: usize,
        piece: usize,
        sent: usize,
    ) -> Self {
        let framing = format!("content-length: {announced}\r\n");
        Self::with_framing(method, path, &framing, vec![b'a'; piece], sent / piece)
    }

    /// A chunked body without its last chunk.
    pub fn chunked(method: &str, path: &str, chunk: usize, sent: usize) -> Self {
        // Tiny chunks are written many at a time.
        let together = (4_096 / chunk).max(1);
        let mut piece = format!("{chunk:x}\r\n").into_bytes();
        piece.resize(piece.len() + chunk, b'a');
        piece.extend_from_slice(b"\r\n");
        let pieces = sent / chunk / together;
        Self::with_framing(
            method,
            path,
            "transfer-encoding: chunked\r\n",
            piece.repeat(together),
            pieces,
        )
    }

    /// A head without its end.
    pub fn endless_head(path: &str, size: usize) -> Self {
        let line = b"x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
        let head = format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-long: ");
        Self { head, piece: Arc::new(line.to_vec()), pieces: size / line.len() }
    }

    fn with_framing(
        method: &str,
        path: &str,
        framing: &str,
        piece: Vec<u8>,
        pieces: usize,
    ) -> Self {
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\n{framing}");
        for (name, value) in stand_in::caller_headers("{id}", TIME_LIMIT) {
            head += &format!("{name}: {value}\r\n");
        }
        Self { head: head + "\r\n", piece: Arc::new(piece), pieces }
    }

    /// Sends until the process refuses more; whatever was answered shows later.
    fn send(&self, stream: &mut TcpStream, id: &str) {
        if stream.write_all(self.head.replace("{id}", id).as_bytes()).is_err() {
            return;
        }
        for _ in 0..self.pieces {
            if stream.write_all(&self.piece).is_err() {
                return;
            }
        }
    }
}

/// The open connections of a crowd, by the ids of their requests.
pub struct Crowd(BTreeMap<String, TcpStream>);

impl Crowd {
    /// Sends a script from many clients at once and leaves their connections open; a path of an ordinary
    /// request that each connection serves first is optional.
    pub fn send(
        name: &str,
        address: SocketAddr,
        clients: usize,
        ordinary: Option<&str>,
        script: &Script,
    ) -> Self {
        let send = |i: usize| {
            let id = format!("{name}-{i}");
            let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            stream.set_read_timeout(Some(WRITE_TIMEOUT)).ok()?;
            if let Some(path) = ordinary {
                let headers = stand_in::caller_headers(&format!("first-{id}"), TIME_LIMIT);
                http::send(&mut stream, "GET", path, &headers, b"")?;
                http::receive(&mut stream)?;
            }
            script.send(&mut stream, &id);
            stream.set_nonblocking(true).ok()?;
            Some((id, stream))
        };
        thread::scope(|scope| {
            let clients: Vec<_> = (0..clients).map(|i| scope.spawn(move || send(i))).collect();
            Self(clients.into_iter().filter_map(|it| it.join().unwrap()).collect())
        })
    }

    /// Returns the status and the head of each response that has arrived, by id.
    pub fn responses(&mut self) -> BTreeMap<String, (u16, String)> {
        let mut responses = BTreeMap::new();
        for (id, stream) in &mut self.0 {
            let mut buf = [0; 1_024];
            let Ok(read) = stream.read(&mut buf) else { continue };
            let head = String::from_utf8_lossy(&buf[..read]).into_owned();
            let status = head.split_whitespace().nth(1).and_then(|it| it.parse().ok());
            if let Some(status) = status {
                responses.insert(id.clone(), (status, head));
            }
        }
        responses
    }

    /// Checks that no request has run whose response promises that it has not, and that such responses
    /// say when to come back.
    pub fn check_refusals(&mut self, runs: &[String]) {
        for (id, (status, head)) in self.responses() {
            if NOT_RUN.contains(&status) {
                assert!(!runs.contains(&id), "{id} was answered {status} and has run");
            }
            if status == 503 {
                let says_when = head.to_ascii_lowercase().contains("retry-after: ");
                assert!(says_when, "{id} was answered {status} without a time to come back");
            }
        }
    }
}

/// The most that a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Memory together with the bytes that wait in its sockets, in kilobytes.
    pub memory: u64,
    pub descriptors: usize,
}

/// Reads at intervals what processes use, until it is dropped.
pub struct Meter {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// What the threads of a meter have read.
#[derive(Default)]
struct Shared {
    most: Mutex<BTreeMap<Ipv4Addr, Usage>>,
    unread: Mutex<BTreeMap<Ipv4Addr, u64>>,
    /// Rounds in which the sockets were read, and in which the processes were.
    rounds: [AtomicU64; 2],
    is_over: AtomicBool,
}

impl Meter {
    pub fn start(fleet: &Fleet, hosts: &[u8]) -> Self {
        let processes: Vec<_> =
            hosts.iter().map(|it| (fleet.ip(*it), fleet.processes[&fleet.ip(*it)].id())).collect();
        let shared = Arc::new(Shared::default());
        let read_sockets = |shared: &Shared| {
            *lock(&shared.unread) = unread_bytes();
        };
        let read_processes = move |shared: &Shared| {
            for (ip, id) in &processes {
                let unread = lock(&shared.unread).get(ip).copied().unwrap_or_default() / 1_000;
                let memory = memory_of(*id, "VmRSS:") + unread;
                let descriptors = descriptors_of(*id);
                let mut most = lock(&shared.most);
                let usage = most.entry(*ip).or_default();
                usage.memory = usage.memory.max(memory);
                usage.descriptors = usage.descriptors.max(descriptors);
            }
        };
        let threads = vec![
            sample(shared.clone(), 0, SOCKET_INTERVAL, read_sockets),
            sample(shared.clone(), 1, SAMPLE_INTERVAL, read_processes),
        ];
        Self { shared, threads }
    }

    /// Returns the most that a process has used, also after this call began.
    pub fn most(&self, ip: Ipv4Addr) -> Usage {
        for rounds in &self.shared.rounds {
            let begun = rounds.load(Ordering::SeqCst);
            // The round that is under way may have begun earlier.
            while rounds.load(Ordering::SeqCst) < begun + 2 {
                thread::sleep(SAMPLE_INTERVAL);
            }
        }
        lock(&self.shared.most)[&ip]
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Starts a thread that reads at intervals and counts its rounds.
fn sample(
    shared: Arc<Shared>,
    number: usize,
    interval: Duration,
    read: impl Fn(&Shared) + Send + 'static,
) -> JoinHandle<()> {
    thread::spawn(move || {
        while !shared.is_over.load(Ordering::Relaxed) {
            read(&shared);
            shared.rounds[number].fetch_add(1, Ordering::SeqCst);
            thread::sleep(interval);
        }
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a field of a process's status, in kilobytes.
pub fn memory_of(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(field));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Returns the number of a process's open descriptors.
fn descriptors_of(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |it| it.count())
}

/// Returns the bytes that wait in the sockets of each local address, in either direction.
fn unread_bytes() -> BTreeMap<Ipv4Addr, u64> {
    let mut unread = BTreeMap::new();
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    for line in table.lines().skip(1) {
        // `sl: address:port address:port state sent:received`, all but `sl` of fixed widths.
        let (_, socket) = line.split_once(": ").unwrap();
        let (ip, state, queues) =
            (&socket[..8], &socket[28..30], [&socket[31..39], &socket[40..48]]);
        if state == TIME_WAIT || state == LISTEN {
            continue;
        }
        let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).unwrap().to_ne_bytes());
        let queues = queues.map(|it| u64::from_str_radix(it, 16).unwrap());
        *unread.entry(ip).or_insert(0) += queues.iter().sum::<u64>();
    }
    unread
}
