//! Connects the decisions on what is held for clients to their connections, metrics and logs.

use std::{
    cell::RefCell,
    fs,
    rc::{Rc, Weak},
    time::Duration,
};

use admin::{Clock, gauge_value};
use client_memory::{
    ClientMemory, Limits, Listener, Refusal, RefusalCause, Report, Reporter, Stage,
};
use ids::{ByteSize, ClientId, DescriptorCount, FastMap, Megabytes, Millis, Seconds, Timestamp};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::connections::ConnectionState;

/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: DescriptorCount = DescriptorCount(4_096);

/// Time without progress after which a client is cut off if the settings name none.
const DEFAULT_STALL_TIME: Seconds = Seconds(Millis(30_000));

/// What the settings say about clients.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientSettings {
    pub(crate) memory: Megabytes,
    pub(crate) descriptors: Option<DescriptorCount>,
    pub(crate) stall_time: Option<Seconds>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Metrics of what is held for clients.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClientMetrics {
    evictions: Family<CauseLabels, Counter>,
    refusals: Family<CauseLabels, Counter>,
    connections: Gauge,
    bytes: Gauge,
}

impl ClientMetrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Clients whose connections were closed to make room, by cause";
        registry.register("client_evictions", help, metrics.evictions.clone());
        let help = "Connections, requests and responses of clients that were not held, by cause";
        registry.register("client_refusals", help, metrics.refusals.clone());
        let help = "Open connections of clients";
        registry.register("client_connections", help, metrics.connections.clone());
        let help = "Memory that is accounted for clients, in bytes";
        registry.register("client_memory_bytes", help, metrics.bytes.clone());
        metrics
    }

    /// Counts a client that was cut off after the longest time without progress.
    fn count_stalled(&self) {
        self.evictions.get_or_create(&CauseLabels { cause: "timeout" }).inc();
    }

    fn count_refusal(&self, cause: RefusalCause) {
        self.refusals.get_or_create(&CauseLabels { cause: cause.name() }).inc();
    }
}

/// The clients of a process, and what is held for them.
pub(crate) struct Clients {
    memory: RefCell<ClientMemory>,
    reporter: RefCell<Reporter>,
    open: RefCell<FastMap<ClientId, Weak<ConnectionState>>>,
    clock: Clock,
    metrics: ClientMetrics,
    stall_time: Duration,
}

impl Clients {
    pub(crate) fn new(settings: ClientSettings, clock: Clock, metrics: ClientMetrics) -> Self {
        let configured = settings.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let descriptors = system_descriptors().map_or(configured, |it| it.min(configured));
        let limits = Limits::of_host(settings.memory, descriptors);
        log::info!(
            bytes = limits.total.0,
            large_bytes = limits.large.0,
            connections = limits.connections;
            "limits of what is held for clients"
        );
        Self {
            memory: RefCell::new(ClientMemory::new(limits)),
            reporter: RefCell::default(),
            open: RefCell::default(),
            clock,
            metrics,
            stall_time: settings.stall_time.unwrap_or(DEFAULT_STALL_TIME).0.into(),
        }
    }

    /// Returns the longest time in which a client may send or read nothing.
    pub(crate) fn stall_time(&self) -> Duration {
        self.stall_time
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn open(&self, listener: Listener) -> Result<ClientId, Refusal> {
        self.checked(|it, now| it.open(now, listener))
    }

    /// Makes a connection known, so that it can be closed if its client gives way.
    pub(crate) fn add(&self, id: ClientId, state: &Rc<ConnectionState>) {
        self.open.borrow_mut().insert(id, Rc::downgrade(state));
    }

    pub(crate) fn close(&self, id: ClientId) {
        self.open.borrow_mut().remove(&id);
        self.with(|it, _| it.close(id));
    }

    pub(crate) fn enter(&self, id: ClientId, stage: Stage) {
        self.with(|it, now| it.enter(now, id, stage));
    }

    pub(crate) fn try_enter(&self, id: ClientId, stage: Stage) -> Result<(), Refusal> {
        self.checked(|it, now| it.try_enter(now, id, stage))
    }

    pub(crate) fn begin_body(
        &self,
        id: ClientId,
        announced: Option<ByteSize>,
        deadline: Option<Timestamp>,
    ) -> Result<(), Refusal> {
        self.checked(|it, now| it.begin_body(now, id, announced, deadline))
    }

    pub(crate) fn received(&self, id: ClientId, size: ByteSize) -> Result<(), Refusal> {
        self.checked(|it, now| it.received(now, id, size))
    }

    pub(crate) fn written(&self, id: ClientId, size: ByteSize) {
        self.with(|it, now| it.written(now, id, size));
    }

    pub(crate) fn hold(&self, id: ClientId, size: ByteSize) -> Result<(), Refusal> {
        self.checked(|it, now| it.hold(now, id, size))
    }

    pub(crate) fn release(&self, id: ClientId, size: ByteSize) {
        self.with(|it, _| it.release(id, size));
    }

    /// Returns the time after which there may be room.
    pub(crate) fn retry_after(&self) -> Millis {
        self.memory.borrow().retry_after(self.clock.now())
    }

    /// Records a client that is cut off after the longest time without progress.
    pub(crate) fn cut_off(&self) {
        self.metrics.count_stalled();
        self.report(Report { evicted: 1, refused: 0 });
    }

    /// Returns the open connections.
    pub(crate) fn states(&self) -> Vec<Rc<ConnectionState>> {
        self.open.borrow().values().filter_map(Weak::upgrade).collect()
    }

    pub(crate) fn count(&self) -> usize {
        self.memory.borrow().connections()
    }

    /// Returns whether connections of clients that gave way are still open.
    pub(crate) fn are_leaving(&self) -> bool {
        self.memory.borrow().leaving() > 0
    }

    fn checked<T>(
        &self,
        f: impl FnOnce(&mut ClientMemory, Timestamp) -> Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        let result = self.with(f);
        if let Err(refusal) = &result {
            self.metrics.count_refusal(refusal.cause);
            self.report(Report { evicted: 0, refused: 1 });
        }
        result
    }

    /// Calls `f` with the decision logic, then closes the connections of clients that give way.
    fn with<T>(&self, f: impl FnOnce(&mut ClientMemory, Timestamp) -> T) -> T {
        let mut memory = self.memory.borrow_mut();
        let result = f(&mut memory, self.clock.now());
        let evicted = memory.take_evicted();
        self.metrics.connections.set(gauge_value(memory.connections() as u64));
        self.metrics.bytes.set(gauge_value(memory.total().0));
        drop(memory);
        let count = evicted.len() as u64;
        for (id, cause) in evicted {
            self.metrics.evictions.get_or_create(&CauseLabels { cause: cause.name() }).inc();
            let state = self.open.borrow_mut().remove(&id).and_then(|it| it.upgrade());
            if let Some(state) = state {
                state.evict();
            }
        }
        if count > 0 {
            self.report(Report { evicted: count, refused: 0 });
        }
        result
    }

    fn report(&self, added: Report) {
        let Some(report) = self.reporter.borrow_mut().add(self.clock.now(), added) else { return };
        let memory = self.memory.borrow();
        log::warn!(
            evicted = report.evicted,
            refused = report.refused,
            connections = memory.connections(),
            held_bytes = memory.total().0,
            large_bytes = memory.large().0;
            "clients gave way or were refused"
        );
    }
}

/// Returns the system's limit on the open descriptors of this process, if it names one.
fn system_descriptors() -> Option<DescriptorCount> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|it| it.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok().map(DescriptorCount)
}
