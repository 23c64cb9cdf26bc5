//! How a stand-in server behaves, and what it has run.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ids::Millis;

/// Ways in which a server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Gives whole answers.
    #[default]
    Well,
    /// Answers with a server error.
    Failing,
    /// Takes the request and never answers.
    Frozen,
    /// Cuts the answer off in the middle.
    Truncating,
    /// Gives the answer to another request.
    Wrong,
    /// Refuses all work as busy.
    Shedding,
    /// Runs the request and breaks the connection.
    Resetting,
    /// Breaks the connections of requests, and answers probes well.
    ResettingRequests,
}

/// What a server has run.
#[derive(Debug, Default)]
pub struct Runs {
    total: AtomicU64,
    probes: AtomicU64,
    by_key: Mutex<BTreeMap<String, u64>>,
}

impl Runs {
    /// Requests run, without probes.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::SeqCst)
    }

    /// Probes run.
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::SeqCst)
    }

    /// How often each idempotency key was run.
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

/// A behaviour that can be changed while the server runs.
#[derive(Debug, Default)]
pub(crate) struct Script {
    behaviour: Mutex<Behaviour>,
    service_millis: AtomicU64,
}

impl Script {
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
