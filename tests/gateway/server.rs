//! A backend server of the platform.

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

/// A backend server of the platform.
pub struct Server {
    pub announcement: Announcement,
    /// Attempt ids in the order in which they ran.
    ran: Arc<Mutex<Vec<String>>>,
    /// Whether connections are closed once a request has run.
    pub breaks: Arc<AtomicBool>,
    /// Whether the server names itself by another id.
    pub is_other: Arc<AtomicBool>,
    /// When connections were ended whose request the server never answers.
    pub freed: Arc<Mutex<Vec<Instant>>>,
}

impl Server {
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
            ran: Arc::default(),
            breaks: Arc::default(),
            is_other: Arc::default(),
            freed: Arc::default(),
        };
        let (ran, breaks, is_other) =
            (server.ran.clone(), server.breaks.clone(), server.is_other.clone());
        let name = server.announcement.server.to_string();
        let freed = server.freed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ran, breaks, is_other) = (ran.clone(), breaks.clone(), is_other.clone());
                let (name, freed) = (name.clone(), freed.clone());
                thread::spawn(move || serve(stream, &name, &ran, &breaks, &is_other, &freed));
            }
        });
        server
    }

    pub fn ran(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }
}

/// Serves requests on one connection; paths that end with `slow` take two seconds.
fn serve(
    mut stream: TcpStream,
    name: &str,
    ran: &Mutex<Vec<String>>,
    breaks: &AtomicBool,
    is_other: &AtomicBool,
    freed: &Mutex<Vec<Instant>>,
) {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf) {
        let attempt = stand_in::read_attempt(&header_map(&head));
        if is_other.load(Ordering::Relaxed) || attempt.target.as_deref() != Some(name) {
            let _ = stream.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        ran.lock().unwrap().push(attempt.attempt_id.clone());
        if breaks.load(Ordering::Relaxed) {
            return;
        }
        let target = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
        if target.ends_with("hang") {
            // The gateway sends nothing more; the read ends with the connection.
            let ended = stream.read(&mut [0]).map_or(true, |it| it == 0);
            assert!(ended, "nothing follows a request without a body");
            freed.lock().unwrap().push(Instant::now());
            return;
        }
        if target.ends_with("slow") {
            thread::sleep(Duration::from_secs(2));
        }
        let mut headers = HeaderMap::new();
        stand_in::sign_response(&mut headers, &attempt.attempt_id);
        let body = format!("{name} {target}");
        let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in &headers {
            answer += &format!("{name}: {}\r\n", value.to_str().unwrap());
        }
        if stream.write_all(format!("{answer}\r\n{body}").as_bytes()).is_err() {
            return;
        }
    }
}
