//! Announces a stand-in server to entry hosts.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use schema::announcement::{Announcement, ServerState};

use crate::client::exchange;

/// Timeout of an announcement to one entry host.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces one server to the entry hosts in turn.
pub(crate) struct Announcer {
    announcement: Mutex<Announcement>,
    entry_hosts: Vec<SocketAddr>,
    next_host: AtomicU64,
}

impl Announcer {
    pub(crate) fn new(announcement: Announcement, entry_hosts: Vec<SocketAddr>) -> Self {
        Self { announcement: Mutex::new(announcement), entry_hosts, next_host: AtomicU64::new(0) }
    }

    /// Announces the server three times per lifetime of an announcement until the task is aborted.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let lifetime = self.announcement.lock().expect("no holder panics").lifetime_ms;
            self.announce().await;
            tokio::time::sleep(Duration::from(lifetime) / 3).await;
        }
    }

    /// Changes the announced state and announces it at once; returns whether an entry host accepted
    /// it.
    pub(crate) async fn set_state(&self, state: ServerState) -> bool {
        self.announcement.lock().expect("no holder panics").state = state;
        self.announce().await
    }

    /// Tries the entry hosts in turn until one accepts the announcement; returns whether one did.
    pub(crate) async fn announce(&self) -> bool {
        let body = {
            let mut announcement = self.announcement.lock().expect("no holder panics");
            announcement.sequence += 1;
            Bytes::from(
                serde_json::to_vec(&*announcement).expect("announcements serialize to JSON"),
            )
        };
        for _ in 0..self.entry_hosts.len() {
            let i = self.next_host.fetch_add(1, Ordering::Relaxed) as usize;
            let address = self.entry_hosts[i % self.entry_hosts.len()];
            let request = Request::post("/announce").body(Full::new(body.clone()));
            let Ok(request) = request else { return false };
            if exchange(address, request, ANNOUNCE_TIMEOUT).await.is_ok_and(|it| it.status == 200) {
                return true;
            }
        }
        false
    }
}
