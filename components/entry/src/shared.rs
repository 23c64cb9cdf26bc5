//! The decisions of this host behind their lock, and the work that they ask for.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, Ordering},
};

use admin::Clock;
use bytes::Bytes;
use entry_core::{
    AttemptEnded, AttemptOutcome, AttemptStart, CallerResponse, EntryAction, EntryCore, EntryEvent,
    ProbeStart,
};
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri, header::HeaderValue};
use ids::{AttemptNumber, FastMap, HostId, Incarnation, RequestId, Timestamp};
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
    time::timeout,
};
use transport::Transport;

use crate::{
    backend::{self, Call, CallEnd},
    headers::{DEADLINE_HEADER, PROBE_HEADER, REQUEST_HEADER},
    memory::{MemoryBudget, Reservation},
    metrics::LatencyMetrics,
    pool::Pool,
};

/// A caller's request as it is sent to backend servers.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What waits for the answer to a caller.
struct Pending {
    request: Arc<CallerRequest>,
    tx: oneshot::Sender<Reply>,
    attempts: FastMap<AttemptNumber, AbortHandle>,
    received: Timestamp,
    /// Time that the last whole answer took, in microseconds.
    backend_micros: u64,
    /// Memory of the last answer.
    reservation: Option<Reservation>,
}

/// The answer to a caller, with the memory that it takes.
pub(crate) struct Reply {
    pub(crate) response: Box<CallerResponse>,
    pub(crate) reservation: Option<Reservation>,
}

/// Shards of the pending requests, each under its own lock.
const SHARDS: u64 = 16;

/// What the tasks of an entry host share.
pub(crate) struct Shared {
    core: Mutex<EntryCore>,
    pending: [Mutex<FastMap<RequestId, Pending>>; SHARDS as usize],
    next_request: AtomicU64,
    pub(crate) clock: Clock,
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) transport: Transport,
    pub(crate) pool: Pool,
    pub(crate) budget: MemoryBudget,
    pub(crate) latency: LatencyMetrics,
    /// Wakes the timer task.
    pub(crate) wakeup: Notify,
    /// Told when callers may connect.
    pub(crate) opened: Notify,
    /// Told when callers may connect no more.
    pub(crate) closed: Notify,
    /// Told when a planned stop is complete.
    pub(crate) stopped: Notify,
}

/// Ends the work for a caller that goes away before it is answered.
pub(crate) struct CallerGuard {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.shared.is_pending(self.request) {
            self.shared.feed(EntryEvent::CallerGone { request: self.request });
        }
    }
}

impl Shared {
    pub(crate) fn new(
        core: EntryCore,
        clock: Clock,
        host: HostId,
        incarnation: Incarnation,
        transport: Transport,
        budget: MemoryBudget,
    ) -> Self {
        Self {
            core: Mutex::new(core),
            pending: Default::default(),
            next_request: AtomicU64::new(1),
            clock,
            host,
            incarnation,
            transport,
            pool: Pool::default(),
            budget,
            latency: LatencyMetrics::default(),
            wakeup: Notify::new(),
            opened: Notify::new(),
            closed: Notify::new(),
            stopped: Notify::new(),
        }
    }

    /// Runs `read` on the decisions.
    pub(crate) fn with_core<T>(&self, read: impl FnOnce(&mut EntryCore, Timestamp) -> T) -> T {
        let mut core = self.core.lock().expect("decisions never panic");
        read(&mut core, self.clock.now())
    }

    /// Tells the decisions what happened and carries their actions out.
    ///
    /// The lock is held until all actions are under way, so that they keep their order; none of
    /// them waits.
    pub(crate) fn feed(self: &Arc<Self>, event: EntryEvent) {
        let mut core = self.core.lock().expect("decisions never panic");
        let before = core.next_wakeup();
        let actions = core.handle(self.clock.now(), self.clock.wall(), event);
        for action in actions {
            self.carry_out(action);
        }
        let after = core.next_wakeup();
        if after.is_some() && (before.is_none() || after < before) {
            self.wakeup.notify_one();
        }
    }

    /// Registers a request; its answer arrives on the returned channel.
    pub(crate) fn register(
        self: &Arc<Self>,
        request: CallerRequest,
    ) -> (RequestId, CallerGuard, oneshot::Receiver<Reply>) {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        let pending = Pending {
            request: Arc::new(request),
            tx,
            attempts: FastMap::default(),
            received: self.clock.now(),
            backend_micros: 0,
            reservation: None,
        };
        self.shard(id).lock().expect("no holder panics").insert(id, pending);
        (id, CallerGuard { shared: self.clone(), request: id }, rx)
    }

    fn shard(&self, id: RequestId) -> &Mutex<FastMap<RequestId, Pending>> {
        &self.pending[(id.0 % SHARDS) as usize]
    }

    fn is_pending(&self, id: RequestId) -> bool {
        self.shard(id).lock().expect("no holder panics").contains_key(&id)
    }

    fn carry_out(self: &Arc<Self>, action: EntryAction) {
        match action {
            EntryAction::Send(it) => self.transport.send(it.to, it.address, it.message),
            EntryAction::StartAttempt(start) => self.start_attempt(start),
            EntryAction::CancelAttempt { request, attempt } => {
                let mut pending = self.shard(request).lock().expect("no holder panics");
                let attempts = pending.get_mut(&request).map(|it| &mut it.attempts);
                if let Some(task) = attempts.and_then(|it| it.remove(&attempt)) {
                    task.abort();
                }
            }
            EntryAction::Respond { request, response } => self.respond(request, response),
            EntryAction::StartProbe(probe) => self.start_probe(probe),
            EntryAction::OpenToCallers => self.opened.notify_one(),
            EntryAction::CloseToCallers => self.closed.notify_one(),
            EntryAction::Stopped => self.stopped.notify_one(),
        }
    }

    fn respond(&self, id: RequestId, response: Box<CallerResponse>) {
        let removed = self.shard(id).lock().expect("no holder panics").remove(&id);
        let Some(pending) = removed else { return };
        if let CallerResponse::Answer { replayed: false, .. } = &*response {
            let total = self.clock.now().micros_since(pending.received);
            self.latency.observe(total.saturating_sub(pending.backend_micros));
        }
        // The caller may have gone away.
        let _ = pending.tx.send(Reply { response, reservation: pending.reservation });
    }

    fn start_attempt(self: &Arc<Self>, start: AttemptStart) {
        let mut shard = self.shard(start.request).lock().expect("no holder panics");
        let Some(pending) = shard.get_mut(&start.request) else { return };
        let call = self.build_call(&pending.request, &start);
        let shared = self.clone();
        let (request, attempt) = (start.request, start.attempt);
        let task = tokio::spawn(async move {
            let started = shared.clock.now();
            let end = backend::call(&shared.pool, &shared.budget, call).await;
            let micros = shared.clock.now().micros_since(started);
            shared.on_call_ended(request, attempt, end, micros);
        });
        pending.attempts.insert(attempt, task.abort_handle());
    }

    fn on_call_ended(
        self: &Arc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        end: CallEnd,
        micros: u64,
    ) {
        let CallEnd { outcome, reported_load, reservation } = end;
        let mut shard = self.shard(request).lock().expect("no holder panics");
        if let Some(pending) = shard.get_mut(&request) {
            pending.attempts.remove(&attempt);
            if reservation.is_some() {
                pending.reservation = reservation;
                pending.backend_micros = micros;
            }
        }
        drop(shard);
        let ended = AttemptEnded { request, attempt, outcome, reported_load };
        self.feed(EntryEvent::AttemptEnded(ended));
    }

    fn build_call(&self, caller: &CallerRequest, start: &AttemptStart) -> Call {
        let mut request = Request::new(Full::new(caller.body.clone()));
        *request.method_mut() = caller.method.clone();
        *request.uri_mut() = caller.uri.clone();
        *request.headers_mut() = caller.headers.clone();
        let tag = format!("{}-{}-{}-{}", self.host, self.incarnation, start.request, start.attempt);
        set_header(request.headers_mut(), REQUEST_HEADER, &tag);
        set_header(request.headers_mut(), DEADLINE_HEADER, &start.time_left.to_string());
        Call {
            address: start.address,
            request,
            max_answer: start.max_response_bytes,
            may_reuse_connection: start.may_reuse_connection,
        }
    }

    fn start_probe(self: &Arc<Self>, probe: ProbeStart) {
        let shared = self.clone();
        tokio::spawn(async move {
            let started = shared.clock.now();
            let outcome = shared.send_probe(&probe).await;
            let server = probe.server;
            shared.feed(EntryEvent::ProbeEnded { server, outcome, started });
        });
    }

    async fn send_probe(&self, probe: &ProbeStart) -> Option<AttemptOutcome> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = probe.path.parse().unwrap_or_default();
        set_header(request.headers_mut(), "host", &probe.address.to_string());
        set_header(request.headers_mut(), PROBE_HEADER, "1");
        set_header(request.headers_mut(), DEADLINE_HEADER, &probe.timeout.to_string());
        let call = Call {
            address: probe.address,
            request,
            max_answer: probe.max_response_bytes,
            may_reuse_connection: true,
        };
        let end = backend::call(&self.pool, &self.budget, call);
        timeout(probe.timeout.into(), end).await.ok().map(|it| it.outcome)
    }
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
