//! Reads callers' requests and answers them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use gateway_core::{Lifecycle, Refusal, RefusalReason, RequestHead, RunStatus};
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
};
use ids::{Fingerprint, Millis, Timestamp};
use platform::headers;
use tokio::time::{sleep, timeout};

use super::{
    backend::Answer,
    forward::{self, CallerRequest},
    shared::Shared,
};
use crate::http::{self, Reply};

/// Largest body before there is a configuration that says so, in bytes.
const FIRST_BODY_LIMIT: u64 = 1024 * 1024;

/// Time after the start of the process in which a configuration is waited for.
///
/// Load pattern: all hosts restart together, and callers come back before the first configuration;
/// it arrives within a second, so that they are better served late than sent away.
const JOINING_TIME: Millis = Millis(3_000);

/// Longest wait of a request for the first configuration.
const JOINING_WAIT: Duration = Duration::from_millis(1_000);

/// Time over which requests that waited are released: the first of them show which servers are
/// broken.
const JOINING_SPREAD: Millis = Millis(200);

/// Answers one request of a caller.
pub(crate) async fn handle(shared: Rc<Shared>, req: Request<Incoming>) -> Reply {
    let mut reply = answer(&shared, req).await;
    let life = shared.with_core(|core, _| core.lifecycle());
    if matches!(life, Lifecycle::Draining { .. }) {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn answer(shared: &Rc<Shared>, req: Request<Incoming>) -> Reply {
    let (mut head, body) = req.into_parts();
    let caller = headers::read_caller(&head.headers);
    let attempt_id: Rc<str> = caller.attempt_id.as_str().into();
    wait_for_config(shared, &attempt_id).await;
    let body = match read_body(shared, body).await {
        Ok(body) => body,
        Err(status) => {
            log::warn!(request:% = attempt_id, status = status.as_u16(); "request body not read");
            return http::text(status, "the request body could not be read\n");
        }
    };
    let request_head = RequestHead {
        host: host_of(&head.headers, &head.uri),
        path: head.uri.path().to_owned(),
        fingerprint: fingerprint_of(head.method.as_str(), &head.uri, &body),
        caller_timeout: caller.timeout,
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
    };
    match forward::forward(shared, request_head, &request).await {
        Ok(answer) => whole_answer(answer),
        Err(refusal) => refused(refusal),
    }
}

/// Lets a request wait for the first configuration when one may arrive soon.
async fn wait_for_config(shared: &Shared, attempt_id: &str) {
    let changed = shared.config_changed.notified();
    let is_joining = shared.with_core(|core, _| core.lifecycle()) == Lifecycle::Joining;
    if is_joining && shared.clock.now() < Timestamp::default() + JOINING_TIME {
        // Without a configuration the request is refused.
        if timeout(JOINING_WAIT, changed).await.is_ok() {
            let spread = Fingerprint::of(attempt_id.as_bytes()).0[0];
            let share = f64::from(spread) / f64::from(u8::MAX);
            sleep(Duration::from(JOINING_SPREAD).mul_f64(share)).await;
        }
    }
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, StatusCode> {
    let limits = shared.with_core(|core, _| core.caller_limits());
    let limit = limits.map_or(FIRST_BODY_LIMIT, |it| it.max_body.0);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

fn host_of(headers: &HeaderMap, uri: &Uri) -> String {
    let named = headers.get(header::HOST).and_then(|it| it.to_str().ok());
    uri.host().or(named).unwrap_or_default().to_owned()
}

fn fingerprint_of(method: &str, uri: &Uri, body: &[u8]) -> Fingerprint {
    let target = uri.path_and_query().map_or("", |it| it.as_str());
    let parts = [method.as_bytes(), &[0], target.as_bytes(), &[0], body];
    Fingerprint::of(&parts.concat())
}

fn whole_answer(answer: Answer) -> Reply {
    let Answer { status, mut headers, body } = answer;
    entry::remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut reply = Response::new(body.into());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// The response to a refused request.
///
/// 503 promises that the request has not run and never will; 502 and 504 promise nothing.
fn refused(refusal: Refusal) -> Reply {
    let status = match (refusal.reason, refusal.run) {
        (RefusalReason::UnknownRoute, _) => StatusCode::NOT_FOUND,
        (_, RunStatus::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::TimeLimit, RunStatus::MayHaveRun) => StatusCode::GATEWAY_TIMEOUT,
        (_, RunStatus::MayHaveRun) => StatusCode::BAD_GATEWAY,
    };
    let mut reply = http::text(status, format!("{}\n", refusal.reason));
    if let Some(value) = refusal.retry_after.and_then(retry_after) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// Seconds with fractions.
fn retry_after(wait: Millis) -> Option<HeaderValue> {
    let text = format!("{:.3}", wait.0 as f64 / 1_000.0);
    HeaderValue::from_str(&text).ok()
}
