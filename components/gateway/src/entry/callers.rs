//! Handles the requests of callers.

use std::{rc::Rc, time::Duration};

use gateway_core::{Lifecycle, Refusal, RefusalReason, RelayEnd, RequestHead, RunStatus};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
};
use ids::{ByteSize, Fingerprint, Millis, Timestamp};
use platform::headers;
use tokio::time::{Instant, sleep, timeout};

use super::{
    backend::ServerResponse,
    forward::{self, CallerRequest},
    relay,
    shared::Shared,
};
use crate::{
    body::{self, BodyError, HeldBody, ReadLimits},
    connections::ConnectionState,
    http::{self, Reply},
};

/// Maximum size of a request body while there is no configuration.
const DEFAULT_MAX_BODY: ByteSize = ByteSize(1024 * 1024);

/// Time after the start of the process during which requests wait for the first configuration, in
/// milliseconds.
///
/// When all hosts restart together, callers return before the first configuration. It arrives
/// within a second, so it is better to serve them late than to refuse them.
const JOINING_TIME: Millis = Millis(3_000);

/// Maximum time that a request waits for the first configuration.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Time over which requests that waited for a configuration are released, in milliseconds: the
/// first ones show which servers are broken.
const RELEASE_SPREAD: Millis = Millis(200);

/// Handles one request of a caller.
pub(crate) async fn handle(
    shared: Rc<Shared>,
    req: Request<Incoming>,
    state: Rc<ConnectionState>,
) -> Reply {
    let mut reply = respond(&shared, req, &state).await;
    let lifecycle = shared.with_core(|core, _| core.lifecycle());
    if matches!(lifecycle, Lifecycle::Draining(_)) {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn respond(
    shared: &Rc<Shared>,
    req: Request<Incoming>,
    state: &Rc<ConnectionState>,
) -> Reply {
    let (mut head, body) = req.into_parts();
    let Ok(relayed) = relay::take_head(shared, &mut head.headers, state.peer()) else {
        let mut reply =
            http::text(StatusCode::SERVICE_UNAVAILABLE, "the relay header is not valid\n");
        relay::mark_reply(&mut reply, RelayEnd::Unable);
        return reply;
    };
    let caller = headers::read_caller(&head.headers);
    let attempt_id: Rc<str> = caller.attempt_id.as_str().into();
    state.name_request(attempt_id.clone());
    wait_for_config(shared, &attempt_id).await;
    let begun = Instant::now();
    let limits = read_limits(shared, caller.timeout.map(|it| begun + it.into()), state);
    let body = body::read_request(state, body, limits).await;
    let ready = body.and_then(|it| state.begin_work().map(|()| it).map_err(BodyError::Refused));
    let body = match ready {
        Ok(body) => body,
        Err(e) => {
            log::debug!(request:% = attempt_id, error:% = e; "cannot read the request body");
            let mut reply = http::body_error(&e, state);
            if relayed.is_some() {
                relay::mark_reply(&mut reply, RelayEnd::Refused(None));
            }
            return reply;
        }
    };
    // What the body has taken is not left for a server.
    let reading_time = Millis(u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX));
    let request_head = RequestHead {
        host: host_of(&head.headers, &head.uri),
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        body_size: ByteSize(body.len() as u64),
        content: digest_of(head.method.as_str(), &head.uri, &body),
        caller_timeout: caller.timeout.map(|it| Millis(it.0.saturating_sub(reading_time.0))),
        credentials: caller.credentials,
        relayed: relayed.clone(),
    };
    entry::remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(header::EXPECT);
    let target = head.uri.path_and_query().and_then(|it| it.as_str().parse().ok());
    let request = CallerRequest {
        method: head.method,
        uri: target.unwrap_or_default(),
        headers: head.headers,
        body,
        attempt_id,
        client: state.clone(),
    };
    let result = forward::forward(shared, request_head, &request).await;
    let end = result.as_ref().map_or_else(|it| relay::end_of(shared, it), |_| RelayEnd::Answered);
    let mut reply = match result {
        Ok(response) => proxied_reply(response),
        Err(refusal) => refusal_reply(refusal),
    };
    if relayed.is_some() {
        relay::mark_reply(&mut reply, end);
    }
    reply
}

/// Delays a request until the first configuration, if that is expected soon.
async fn wait_for_config(shared: &Shared, attempt_id: &str) {
    let changed = shared.config_changed.notified();
    let is_joining = shared.with_core(|core, _| core.lifecycle()) == Lifecycle::Joining;
    if is_joining && shared.clock.now() < Timestamp::default() + JOINING_TIME {
        // After a timeout, the request is refused because there is no configuration.
        if timeout(MAX_CONFIG_WAIT, changed).await.is_ok() {
            let first_byte = Fingerprint::of(attempt_id.as_bytes()).0[0];
            let fraction = f64::from(first_byte) / f64::from(u8::MAX);
            sleep(Duration::from(RELEASE_SPREAD).mul_f64(fraction)).await;
        }
    }
}

fn read_limits(shared: &Shared, deadline: Option<Instant>, state: &ConnectionState) -> ReadLimits {
    let limits = shared.with_core(|core, _| core.caller_limits());
    let size = limits.map_or(DEFAULT_MAX_BODY, |it| it.max_body);
    ReadLimits { size, deadline, stall_time: state.stall_time() }
}

fn host_of(headers: &HeaderMap, uri: &Uri) -> String {
    let header = headers.get(header::HOST).and_then(|it| it.to_str().ok());
    uri.host().or(header).unwrap_or_default().to_owned()
}

fn digest_of(method: &str, uri: &Uri, body: &HeldBody) -> Fingerprint {
    let target = uri.path_and_query().map_or("", |it| it.as_str());
    let head = [method.as_bytes(), &[0], target.as_bytes(), &[0]];
    Fingerprint::of_parts(head.into_iter().chain(body.segments()))
}

fn proxied_reply(response: ServerResponse) -> Reply {
    let ServerResponse { status, mut headers, body } = response;
    entry::remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut reply = Response::new(body.into());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Returns the error response for a refused request.
///
/// 503 guarantees that the request did not run and never will; 502 and 504 guarantee nothing.
fn refusal_reply(refusal: Refusal) -> Reply {
    let status = match (refusal.reason, refusal.run) {
        (RefusalReason::UnknownRoute, _) => StatusCode::NOT_FOUND,
        (RefusalReason::UnknownKey, RunStatus::NotRun) => StatusCode::UNAUTHORIZED,
        (RefusalReason::OverLimit, RunStatus::NotRun) => StatusCode::TOO_MANY_REQUESTS,
        (_, RunStatus::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::TimeLimit | RefusalReason::StopReached, RunStatus::MayHaveRun) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        (_, RunStatus::MayHaveRun) => StatusCode::BAD_GATEWAY,
    };
    let mut reply = http::text(status, format!("{}\n", refusal.reason));
    if let Some(value) = refusal.retry_after.and_then(http::retry_after_value) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}
