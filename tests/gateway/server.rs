//! A stand-in for a backend server of the platform.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
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

/// A backend server that can be told to fail.
pub struct Server {
    pub announcement: Announcement,
    /// Ids of the attempts that have run, in order.
    attempt_ids: Arc<Mutex<Vec<String>>>,
    /// Whether the server runs requests but closes their connections without a response.
    pub drops_connections: Arc<AtomicBool>,
    /// Whether the server refuses requests as if another server had its address.
    pub has_other_id: Arc<AtomicBool>,
    /// When the gateway closed the connections of requests to paths that end with `hang`.
    pub closed_at: Arc<Mutex<Vec<Instant>>>,
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
        let server = Self {
            announcement,
            attempt_ids: Arc::default(),
            drops_connections: Arc::default(),
            has_other_id: Arc::default(),
            closed_at: Arc::default(),
        };
        let (attempt_ids, drops_connections, has_other_id) = (
            server.attempt_ids.clone(),
            server.drops_connections.clone(),
            server.has_other_id.clone(),
        );
        let name = server.announcement.server.to_string();
        let closed_at = server.closed_at.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (attempt_ids, drops_connections, has_other_id) =
                    (attempt_ids.clone(), drops_connections.clone(), has_other_id.clone());
                let (name, closed_at) = (name.clone(), closed_at.clone());
                thread::spawn(move || {
                    serve(
                        stream,
                        &name,
                        &attempt_ids,
                        &drops_connections,
                        &has_other_id,
                        &closed_at,
                    );
                });
            }
        });
        server
    }

    /// Returns the ids of the attempts that have run, in order.
    pub fn attempt_ids(&self) -> Vec<String> {
        self.attempt_ids.lock().unwrap().clone()
    }
}

/// Serves requests on one connection; paths that end with `slow` take two seconds, and paths that
/// end with `hang` get no response.
fn serve(
    mut stream: TcpStream,
    name: &str,
    attempt_ids: &Mutex<Vec<String>>,
    drops_connections: &AtomicBool,
    has_other_id: &AtomicBool,
    closed_at: &Mutex<Vec<Instant>>,
) {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf) {
        let attempt = stand_in::read_attempt(&header_map(&head));
        if has_other_id.load(Ordering::Relaxed) || attempt.target.as_deref() != Some(name) {
            let _ = stream.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        attempt_ids.lock().unwrap().push(attempt.attempt_id.clone());
        if drops_connections.load(Ordering::Relaxed) {
            return;
        }
        let target = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
        if target.ends_with("hang") {
            // The gateway sends nothing more, so the read returns when it closes the connection.
            let ended = stream.read(&mut [0]).map_or(true, |it| it == 0);
            assert!(ended, "data after a request without a body");
            closed_at.lock().unwrap().push(Instant::now());
            return;
        }
        if target.ends_with("slow") {
            thread::sleep(Duration::from_secs(2));
        }
        let mut headers = HeaderMap::new();
        stand_in::sign_response(&mut headers, &attempt.attempt_id);
        let body = format!("{name} {target}");
        let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in &headers {
            response += &format!("{name}: {}\r\n", value.to_str().unwrap());
        }
        if stream.write_all(format!("{response}\r\n{body}").as_bytes()).is_err() {
            return;
        }
    }
}
