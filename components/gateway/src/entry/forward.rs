//! Executes the steps that the decision logic returns for one request.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use gateway_core::{
    AttemptStart, AttemptTarget, Finish, PathOutcome, Refusal, RefusalReason, RelayStart,
    RequestHead, RequestSummary, RunStatus, Step,
};
use hyper::{HeaderMap, Method, Request, Uri};
use ids::{AttemptNumber, ByteSize, Incarnation, RequestId};
use platform::headers;
use tokio::{sync::Notify, task::JoinSet, time::sleep};

use super::{
    backend::{self, Call, CallResult, ServerResponse},
    relay::{self, RelayResult},
    shared::Shared,
};
use crate::{
    body::{HeldBody, RequestBody},
    connections::ConnectionState,
    peers,
};

/// Minimum time between two steps of a waiting request, in microseconds.
const MIN_STEP_WAIT_MICROS: u64 = 500;

/// A caller's request as it is sent to backend servers.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    /// The id that the caller assigned to this attempt.
    pub(crate) attempt_id: Rc<str>,
    /// The client that the request and its responses are held for.
    pub(crate) client: Rc<ConnectionState>,
}

impl CallerRequest {
    fn to_request(&self) -> Request<RequestBody> {
        let mut req = Request::new(self.body.to_request_body());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}

/// How an attempt ended.
enum Ended {
    Server(CallResult),
    Relay(RelayResult),
}

/// Sends a request to backend servers until it has a response or is given up.
///
/// If the caller disconnects, the future is dropped, which cancels the attempts and closes their
/// connections.
pub(crate) async fn forward(
    shared: &Rc<Shared>,
    head: RequestHead,
    request: &CallerRequest,
) -> Result<ServerResponse, Refusal> {
    let accepted = shared.with_core(|core, now| core.begin(now, head));
    let id = match accepted {
        Ok(id) => id,
        Err(refusal) => {
            shared.metrics.count_refusal(refusal.reason.code());
            log_immediate_refusal(request, &refusal);
            return Err(refusal);
        }
    };
    let mut guard = RequestGuard { shared: shared.clone(), id, request, is_finished: false };
    let waker = shared.register_waker(id);
    let mut attempts: JoinSet<(AttemptNumber, Ended)> = JoinSet::new();
    let mut responses: Vec<(AttemptNumber, ServerResponse)> = Vec::new();
    loop {
        let (step, probe) =
            shared.with_core(|core, now| (core.step(now, id), core.take_path_probe(now)));
        if let Some((address, incarnation)) = probe {
            probe_path(shared.clone(), address, incarnation);
        }
        match step {
            Step::Send(start) => start_attempt(shared, &mut attempts, request, &start),
            Step::Relay(start) => start_relay(shared, &mut attempts, request, start),
            Step::Wait(until) => {
                let wait = until.micros_since(shared.clock.now());
                let wait = Duration::from_micros(wait.max(MIN_STEP_WAIT_MICROS));
                let ended = next_attempt_end(&mut attempts, &waker, wait).await;
                match ended {
                    Some((attempt, Ended::Server(CallResult { end, response }))) => {
                        let response_size = response.as_ref().map_or(0, |it| it.body.len());
                        let size = ByteSize((request.body.len() + response_size) as u64);
                        responses.extend(response.map(|it| (attempt, it)));
                        shared
                            .with_core(|core, now| core.attempt_ended(now, id, attempt, end, size));
                    }
                    Some((attempt, Ended::Relay(RelayResult { end, response }))) => {
                        responses.extend(response.map(|it| (attempt, it)));
                        shared.with_core(|core, now| core.relay_ended(now, id, attempt, end));
                    }
                    None => {}
                }
            }
            Step::Finish(finish) => {
                guard.finish(finish);
                return result_of(finish, responses);
            }
        }
    }
}

fn start_attempt(
    shared: &Rc<Shared>,
    attempts: &mut JoinSet<(AttemptNumber, Ended)>,
    request: &CallerRequest,
    start: &AttemptStart,
) {
    let mut req = request.to_request();
    headers::write_attempt(req.headers_mut(), &start.server, start.time_left);
    headers::write_caller(req.headers_mut(), &start.caller);
    let call = Call {
        address: start.address,
        incarnation: start.incarnation,
        request: req,
        attempt_id: request.attempt_id.clone(),
        client: request.client.clone(),
        has_permit: start.has_permit,
        may_reuse_connection: start.may_reuse_connection,
    };
    let (cx, attempt) = (shared.clone(), start.attempt);
    attempts.spawn_local(async move { (attempt, Ended::Server(backend::call(cx, call).await)) });
}

fn start_relay(
    shared: &Rc<Shared>,
    attempts: &mut JoinSet<(AttemptNumber, Ended)>,
    request: &CallerRequest,
    start: RelayStart,
) {
    let mut req = request.to_request();
    headers::write_time_left(req.headers_mut(), start.time_left);
    let (cx, attempt) = (shared.clone(), start.attempt);
    let (attempt_id, client) = (request.attempt_id.clone(), request.client.clone());
    attempts.spawn_local(async move {
        (attempt, Ended::Relay(relay::call(cx, start, req, attempt_id, &client).await))
    });
}

/// Opens a connection to a server, without a request.
fn probe_path(shared: Rc<Shared>, address: SocketAddr, incarnation: Incarnation) {
    tokio::task::spawn_local(async move {
        let outcome = match shared.pool.connect(address).await {
            Ok(_) => PathOutcome::Connected,
            Err(_) => PathOutcome::Unreachable,
        };
        shared.record_path(address, incarnation, outcome);
    });
}

/// Waits for the end of an attempt; returns `None` if the request is woken or `wait` passes first.
async fn next_attempt_end(
    attempts: &mut JoinSet<(AttemptNumber, Ended)>,
    waker: &Notify,
    wait: Duration,
) -> Option<(AttemptNumber, Ended)> {
    tokio::select! {
        biased;
        Some(ended) = attempts.join_next() => Some(ended.expect("attempts do not panic")),
        () = waker.notified() => None,
        () = sleep(wait) => None,
    }
}

fn result_of(
    finish: Finish,
    responses: Vec<(AttemptNumber, ServerResponse)>,
) -> Result<ServerResponse, Refusal> {
    match finish {
        Finish::Refuse(refusal) => Err(refusal),
        Finish::Answer(attempt) => {
            let found = responses.into_iter().find(|(it, _)| *it == attempt);
            let response = found.map(|(_, response)| response);
            response.ok_or(Refusal {
                reason: RefusalReason::NoAnswer,
                run: RunStatus::MayHaveRun,
                retry_after: None,
            })
        }
    }
}

/// Removes a request from the decision logic when it ends or is dropped, and logs its outcome.
struct RequestGuard<'a> {
    shared: Rc<Shared>,
    id: RequestId,
    request: &'a CallerRequest,
    is_finished: bool,
}

impl RequestGuard<'_> {
    fn finish(&mut self, finish: Finish) {
        self.is_finished = true;
        let outcome = match finish {
            Finish::Answer(_) => "answered",
            Finish::Refuse(refusal) => refusal.reason.code(),
        };
        self.end(outcome, finish);
    }

    fn end(&self, outcome: &'static str, finish: Finish) {
        self.shared.remove_waker(self.id);
        let summary = self.shared.with_core(|core, now| core.forget(now, self.id));
        let Some(summary) = summary else { return };
        self.shared.metrics.count_request(&summary, outcome);
        log_request(self.request, &summary, outcome, finish);
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let refusal = Refusal {
                reason: RefusalReason::NoAnswer,
                run: RunStatus::MayHaveRun,
                retry_after: None,
            };
            self.end("caller-gone", Finish::Refuse(refusal));
        }
    }
}

fn log_immediate_refusal(request: &CallerRequest, refusal: &Refusal) {
    log::warn!(
        request:% = request.attempt_id,
        path:% = request.uri.path(),
        reason:% = refusal.reason.code(),
        retry_after_ms = refusal.retry_after.unwrap_or_default().0;
        "request refused at once"
    );
}

fn log_request(
    request: &CallerRequest,
    summary: &RequestSummary,
    outcome: &'static str,
    finish: Finish,
) {
    let attempts: Vec<String> = summary
        .attempts
        .iter()
        .map(|(target, end)| match target {
            AttemptTarget::Server(server) => format!("{server}:{end}"),
            AttemptTarget::Relay(host) => format!("via-{}:{end}", peers::address_of(*host, 0).ip()),
        })
        .collect();
    let attempts = attempts.join(" ");
    match finish {
        Finish::Answer(_) => log::info!(
            request:% = request.attempt_id,
            route:% = summary.route,
            service:% = summary.service,
            attempts:% = attempts,
            waited_ms = summary.waited.0,
            took_ms = summary.took.0,
            version = summary.version.0;
            "request answered"
        ),
        Finish::Refuse(refusal) => log::warn!(
            request:% = request.attempt_id,
            route:% = summary.route,
            service:% = summary.service,
            organisation:% = summary.organisation.as_ref().map_or("-", |it| it.as_str()),
            outcome:% = outcome,
            run:% = refusal.run,
            attempts:% = attempts,
            waited_ms = summary.waited.0,
            took_ms = summary.took.0,
            limit_ms = summary.time_limit.0,
            retry_after_ms = refusal.retry_after.unwrap_or_default().0,
            version = summary.version.0;
            "request failed"
        ),
    }
}
