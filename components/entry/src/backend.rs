//! Sends a request to a backend server and reads the complete answer.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use entry_core::AttemptOutcome;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Incoming},
    header,
};
use ids::{ByteSize, Millis};
use schema::answer::{Answer, Header};

use crate::{
    headers::{self, LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER, SHED_HEADER},
    memory::{MemoryBudget, Reservation},
    pool::{self, Connection, Pool},
};

/// Memory reserved for an answer before the request is sent.
const INITIAL_RESERVATION_BYTES: u64 = 16 * 1024;

/// Request to a backend server.
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) request: Request<Full<Bytes>>,
    /// Largest allowed body of the answer.
    pub(crate) max_response_bytes: ByteSize,
    /// Whether to use a connection that has carried requests before.
    pub(crate) may_reuse_connection: bool,
}

/// Result of a call.
pub(crate) struct CallResult {
    pub(crate) outcome: AttemptOutcome,
    /// Number of requests in the server, if its answer reports it.
    pub(crate) reported_load: Option<u32>,
    /// Memory reserved for the answer.
    pub(crate) reservation: Option<Reservation>,
}

impl CallResult {
    fn without_answer(outcome: AttemptOutcome) -> Self {
        Self { outcome, reported_load: None, reservation: None }
    }
}

/// Sends a request and reads the complete answer.
pub(crate) async fn call(pool: &Pool, budget: &MemoryBudget, call: Call) -> CallResult {
    let Call { address, request, max_response_bytes, may_reuse_connection } = call;
    let initial_bytes = INITIAL_RESERVATION_BYTES.min(max_response_bytes.0);
    let Some(reservation) = budget.try_reserve(initial_bytes) else {
        return CallResult::without_answer(AttemptOutcome::NotSent);
    };
    let attempt_id = request.headers().get(REQUEST_HEADER).cloned();
    let (connection, response) = match send(pool, address, request, may_reuse_connection).await {
        Ok(it) => it,
        Err(outcome) => return CallResult::without_answer(outcome),
    };
    let reported_load =
        headers::text(response.headers(), LOAD_HEADER).and_then(|it| it.parse().ok());
    let is_matching =
        response.headers().get(REQUEST_HEADER).is_none_or(|it| Some(it) == attempt_id.as_ref());
    let keep_alive = is_keep_alive(response.headers());
    let result = read_answer(response, max_response_bytes, reservation).await;
    if !is_matching {
        return CallResult {
            reported_load,
            ..CallResult::without_answer(AttemptOutcome::Mismatched)
        };
    }
    let is_complete = !matches!(result.outcome, AttemptOutcome::Truncated);
    // A connection with an incomplete answer is dropped, which closes it.
    if is_complete && keep_alive {
        pool.put(address, connection);
    }
    CallResult { reported_load, ..result }
}

/// Sends a request on an idle connection if that is allowed, otherwise on a new one.
async fn send(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    may_reuse_connection: bool,
) -> Result<(Connection, Response<Incoming>), AttemptOutcome> {
    let mut request = request;
    if may_reuse_connection && let Some(mut connection) = pool.take(address) {
        match connection.try_send_request(request).await {
            Ok(response) => return Ok((connection, response)),
            // hyper returns the request only if nothing of it was sent.
            Err(mut e) => match e.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(AttemptOutcome::ConnectionLost),
            },
        }
    }
    let Some(mut connection) = pool::connect(address).await else {
        return Err(AttemptOutcome::NotSent);
    };
    match connection.try_send_request(request).await {
        Ok(response) => Ok((connection, response)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(AttemptOutcome::NotSent),
            None => Err(AttemptOutcome::ConnectionLost),
        },
    }
}

fn is_keep_alive(headers: &HeaderMap) -> bool {
    !headers::text(headers, "connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
}

async fn read_answer(
    response: Response<Incoming>,
    max_response_bytes: ByteSize,
    mut reservation: Reservation,
) -> CallResult {
    let (mut head, mut body) = response.into_parts();
    let size = body.size_hint();
    // An answer with neither a content length nor chunks looks complete even if it was cut off.
    let has_framing =
        size.exact().is_some() || head.headers.contains_key(header::TRANSFER_ENCODING);
    if !headers::is_final_status(head.status) || !has_framing || size.lower() > max_response_bytes.0
    {
        return CallResult::without_answer(AttemptOutcome::Truncated);
    }
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CallResult::without_answer(AttemptOutcome::Truncated);
        };
        let Ok(chunk) = frame.into_data() else { continue };
        let size = (data.len() + chunk.len()) as u64;
        if size > max_response_bytes.0 {
            return CallResult::without_answer(AttemptOutcome::Truncated);
        }
        if !reservation.grow_to(size).await {
            let outcome = AttemptOutcome::Shed { proves_not_run: false, retry_after: None };
            return CallResult::without_answer(outcome);
        }
        data.extend_from_slice(&chunk);
    }
    if let Some(outcome) = parse_shed(head.status, &head.headers) {
        return CallResult::without_answer(outcome);
    }
    headers::remove_hop_by_hop(&mut head.headers);
    let answer = Answer {
        status: head.status.as_u16(),
        headers: head.headers.iter().filter(|it| is_forwarded(it.0)).map(to_header).collect(),
        body: data.freeze().into(),
    };
    CallResult {
        outcome: AttemptOutcome::Answered(answer),
        reported_load: None,
        reservation: Some(reservation),
    }
}

/// Returns the outcome of an answer with which a busy server refuses the request: it carries the
/// shed header, has status 429, or has status 503 and a `Retry-After` header.
fn parse_shed(status: StatusCode, headers: &HeaderMap) -> Option<AttemptOutcome> {
    let has_shed_header = headers.contains_key(SHED_HEADER);
    let asks_for_retry =
        status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(header::RETRY_AFTER);
    if !has_shed_header && !asks_for_retry && status != StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    let retry_after = headers::text(headers, "retry-after").and_then(|it| it.parse::<u64>().ok());
    let proves_not_run =
        has_shed_header || headers::text(headers, OUTCOME_HEADER).is_some_and(|it| it == "not-run");
    Some(AttemptOutcome::Shed {
        proves_not_run,
        retry_after: retry_after.map(|it| Millis(it.saturating_mul(1000))),
    })
}

/// Returns whether a header of an answer is passed on to the caller; the entry host handles the
/// others itself.
fn is_forwarded(name: &header::HeaderName) -> bool {
    let handled_here = [OUTCOME_HEADER, LOAD_HEADER, REQUEST_HEADER];
    *name != header::CONTENT_LENGTH && !handled_here.contains(&name.as_str())
}

fn to_header((name, value): (&header::HeaderName, &header::HeaderValue)) -> Header {
    Header { name: name.as_str().to_owned(), value: value.as_bytes().to_vec().into() }
}
