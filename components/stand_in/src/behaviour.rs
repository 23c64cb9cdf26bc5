//! The behaviour of a stand-in server, and counts of the requests that it ran.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ids::Millis;

/// How a stand-in server handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Sends complete answers.
    #[default]
    Healthy,
    /// Runs the request and answers with status 500.
    Failing,
    /// Runs the request and answers with another status.
    Answering(u16),
    /// Runs the request and never answers.
    Hanging,
    /// Runs the request and closes the connection after half of the answer's body.
    Truncating,
    /// Runs the request and sends an answer that carries the id of another attempt.
    WrongAnswer,
    /// Refuses all requests, probes included, with status 503.
    Shedding,
    /// Runs the request and closes the connection without an answer.
    Resetting,
    /// Closes the connection of requests without an answer, and answers probes.
    ResettingRequests,
}

/// Counts of the requests that a server ran.
#[derive(Debug, Default)]
pub struct Runs {
    total: AtomicU64,
    probes: AtomicU64,
    by_key: Mutex<BTreeMap<String, u64>>,
}

impl Runs {
    /// Returns the number of requests run, without probes.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::SeqCst)
    }

    /// Returns the number of probes run.
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::SeqCst)
    }

    /// Returns how often requests with each idempotency key were run.
    pub fn by_key(&self) -> BTreeMap<String, u64> {
        self.by_key.lock().expect("no holder panics").clone()
    }

    pub(crate) fn count_probe(&self) {
        self.probes.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn count(&self, key: Option<&str>) {
        self.total.fetch_add(1, Ordering::SeqCst);
        if let Some(key) = key {
            let mut by_key = self.by_key.lock().expect("no holder panics");
            *by_key.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// The behaviour and service time, which can be changed while the server runs.
#[derive(Debug, Default)]
pub(crate) struct Controls {
    behaviour: Mutex<Behaviour>,
    service_millis: AtomicU64,
}

impl Controls {
    pub(crate) fn new(service_time: Millis) -> Self {
        Self { behaviour: Mutex::default(), service_millis: AtomicU64::new(service_time.0) }
    }

    pub(crate) fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().expect("no holder panics")
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no holder panics") = behaviour;
    }

    pub(crate) fn service_time(&self) -> Duration {
        Duration::from_millis(self.service_millis.load(Ordering::SeqCst))
    }

    pub(crate) fn set_service_time(&self, time: Millis) {
        self.service_millis.store(time.0, Ordering::SeqCst);
    }
}
