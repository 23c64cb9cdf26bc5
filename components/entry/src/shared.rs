//! State shared by the tasks of an entry host, and the execution of the state machine's actions.

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
    backend::{self, Call, CallResult},
    headers::{DEADLINE_HEADER, PROBE_HEADER, REQUEST_HEADER},
    memory::{MemoryBudget, Reservation},
    metrics::LatencyMetrics,
    pool::Pool,
};

/// Request of a caller as it is forwarded to backend servers.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Request whose caller has no response yet.
struct PendingRequest {
    request: Arc<CallerRequest>,
    tx: oneshot::Sender<Reply>,
    /// Tasks of the attempts in flight.
    attempts: FastMap<AttemptNumber, AbortHandle>,
    received_at: Timestamp,
    /// Duration of the latest attempt with a complete answer, in microseconds.
    backend_micros: u64,
    /// Memory of the latest complete answer.
    reservation: Option<Reservation>,
}

/// Response to a caller, and the memory reserved for its body.
pub(crate) struct Reply {
    pub(crate) response: Box<CallerResponse>,
    pub(crate) reservation: Option<Reservation>,
}

/// Number of shards of the pending requests; each has a lock of its own.
const PENDING_SHARDS: u64 = 16;

/// State shared by the tasks of an entry host.
pub(crate) struct Shared {
    core: Mutex<EntryCore>,
    pending: [Mutex<FastMap<RequestId, PendingRequest>>; PENDING_SHARDS as usize],
    next_request: AtomicU64,
    pub(crate) clock: Clock,
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) transport: Transport,
    pub(crate) pool: Pool,
    pub(crate) budget: MemoryBudget,
    pub(crate) latency: LatencyMetrics,
    /// Notified when the next wakeup is due earlier than before.
    pub(crate) wakeup: Notify,
    /// Notified when the host starts to accept connections of callers.
    pub(crate) open_to_callers: Notify,
    /// Notified when the host stops accepting connections of callers.
    pub(crate) close_to_callers: Notify,
    /// Notified when a planned stop is complete.
    pub(crate) stopped: Notify,
}

/// Reports on drop that the caller has gone away, unless its request was answered.
pub(crate) struct CallerGuard {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.shared.is_pending(self.request) {
            self.shared.handle_event(EntryEvent::CallerGone { request: self.request });
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
            open_to_callers: Notify::new(),
            close_to_callers: Notify::new(),
            stopped: Notify::new(),
        }
    }

    /// Runs `f` on the state machine under its lock.
    pub(crate) fn with_core<T>(&self, f: impl FnOnce(&mut EntryCore, Timestamp) -> T) -> T {
        let mut core = self.core.lock().expect("no holder panics");
        f(&mut core, self.clock.now())
    }

    /// Passes an event to the state machine and executes the returned actions.
    ///
    /// The lock is held until all actions have started, so that they keep their order; none of
    /// them blocks.
    pub(crate) fn handle_event(self: &Arc<Self>, event: EntryEvent) {
        let mut core = self.core.lock().expect("no holder panics");
        let previous_wakeup = core.next_wakeup();
        let actions = core.handle(self.clock.now(), self.clock.wall(), event);
        for action in actions {
            self.execute(action);
        }
        let next_wakeup = core.next_wakeup();
        if next_wakeup.is_some() && (previous_wakeup.is_none() || next_wakeup < previous_wakeup) {
            self.wakeup.notify_one();
        }
    }

    /// Registers a request; the response arrives on the returned channel.
    pub(crate) fn register(
        self: &Arc<Self>,
        request: CallerRequest,
    ) -> (RequestId, CallerGuard, oneshot::Receiver<Reply>) {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        let pending = PendingRequest {
            request: Arc::new(request),
            tx,
            attempts: FastMap::default(),
            received_at: self.clock.now(),
            backend_micros: 0,
            reservation: None,
        };
        self.shard(id).lock().expect("no holder panics").insert(id, pending);
        (id, CallerGuard { shared: self.clone(), request: id }, rx)
    }

    fn shard(&self, id: RequestId) -> &Mutex<FastMap<RequestId, PendingRequest>> {
        &self.pending[(id.0 % PENDING_SHARDS) as usize]
    }

    fn is_pending(&self, id: RequestId) -> bool {
        self.shard(id).lock().expect("no holder panics").contains_key(&id)
    }

    fn execute(self: &Arc<Self>, action: EntryAction) {
        match action {
            EntryAction::Send(it) => self.transport.send(it.to, it.address, it.message),
            EntryAction::StartAttempt(start) => self.start_attempt(start),
            EntryAction::CancelAttempt { request, attempt } => {
                let mut shard = self.shard(request).lock().expect("no holder panics");
                let attempts = shard.get_mut(&request).map(|it| &mut it.attempts);
                if let Some(task) = attempts.and_then(|it| it.remove(&attempt)) {
                    task.abort();
                }
            }
            EntryAction::Respond { request, response } => self.respond(request, response),
            EntryAction::StartProbe(probe) => self.start_probe(probe),
            EntryAction::OpenToCallers => self.open_to_callers.notify_one(),
            EntryAction::CloseToCallers => self.close_to_callers.notify_one(),
            EntryAction::Stopped => self.stopped.notify_one(),
        }
    }

    fn respond(&self, id: RequestId, response: Box<CallerResponse>) {
        let pending = self.shard(id).lock().expect("no holder panics").remove(&id);
        let Some(pending) = pending else { return };
        if let CallerResponse::Answer { replayed: false, .. } = &*response {
            let total_micros = self.clock.now().micros_since(pending.received_at);
            self.latency.observe(total_micros.saturating_sub(pending.backend_micros));
        }
        // The caller may have closed its connection.
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
            let result = backend::call(&shared.pool, &shared.budget, call).await;
            let elapsed_micros = shared.clock.now().micros_since(started);
            shared.on_call_ended(request, attempt, result, elapsed_micros);
        });
        pending.attempts.insert(attempt, task.abort_handle());
    }

    fn on_call_ended(
        self: &Arc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        result: CallResult,
        elapsed_micros: u64,
    ) {
        let CallResult { outcome, reported_load, reservation } = result;
        let mut shard = self.shard(request).lock().expect("no holder panics");
        if let Some(pending) = shard.get_mut(&request) {
            pending.attempts.remove(&attempt);
            if reservation.is_some() {
                pending.reservation = reservation;
                pending.backend_micros = elapsed_micros;
            }
        }
        drop(shard);
        let ended = AttemptEnded { request, attempt, outcome, reported_load };
        self.handle_event(EntryEvent::AttemptEnded(ended));
    }

    fn build_call(&self, caller: &CallerRequest, start: &AttemptStart) -> Call {
        let mut request = Request::new(Full::new(caller.body.clone()));
        *request.method_mut() = caller.method.clone();
        *request.uri_mut() = caller.uri.clone();
        *request.headers_mut() = caller.headers.clone();
        let attempt_id =
            format!("{}-{}-{}-{}", self.host, self.incarnation, start.request, start.attempt);
        set_header(request.headers_mut(), REQUEST_HEADER, &attempt_id);
        set_header(request.headers_mut(), DEADLINE_HEADER, &start.time_left.to_string());
        Call {
            address: start.address,
            request,
            max_response_bytes: start.max_response_bytes,
            may_reuse_connection: start.may_reuse_connection,
        }
    }

    fn start_probe(self: &Arc<Self>, probe: ProbeStart) {
        let shared = self.clone();
        tokio::spawn(async move {
            let started = shared.clock.now();
            let outcome = shared.send_probe(&probe).await;
            let server = probe.server;
            shared.handle_event(EntryEvent::ProbeEnded { server, outcome, started });
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
            max_response_bytes: probe.max_response_bytes,
            may_reuse_connection: true,
        };
        let call = backend::call(&self.pool, &self.budget, call);
        timeout(probe.timeout.into(), call).await.ok().map(|it| it.outcome)
    }
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
