//! Sends one request to a backend server and reads the whole answer.

use std::{net::SocketAddr, rc::Rc};

use admin::Clock;
use bytes::{Bytes, BytesMut};
use gateway_core::AttemptEnd;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header};
use ids::Millis;
use platform::headers;

use super::pool::{self, Connection, Pool};

/// Largest answer that is taken, in bytes; it is held in memory until it is whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long an idle connection is used again when its server names no timeout, in milliseconds.
const DEFAULT_KEEP: Millis = Millis(2_000);

/// Part of a server's named timeout after which an idle connection is not used again, in
/// thousandths: the server counts from an earlier moment and may close sooner.
const KEEP_USE_MILLI: u64 = 500;

/// The first status code that says that the server failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// A request on its way to a backend server.
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) attempt_id: Rc<str>,
    pub(crate) may_reuse_connection: bool,
}

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How a call ended, and the answer if it was whole.
pub(crate) struct CallEnd {
    pub(crate) end: AttemptEnd,
    pub(crate) answer: Option<Answer>,
}

impl CallEnd {
    fn without_answer(end: AttemptEnd) -> Self {
        Self { end, answer: None }
    }
}

/// Sends a request and reads the whole answer.
pub(crate) async fn call(pool: Rc<Pool>, clock: Clock, call: Call) -> CallEnd {
    let Call { address, request, attempt_id, may_reuse_connection } = call;
    let sent = send(&pool, &clock, address, request, may_reuse_connection).await;
    let (connection, response) = match sent {
        Ok(sent) => sent,
        Err(end) => return CallEnd::without_answer(end),
    };
    let (head, body) = response.into_parts();
    let Some(body) = read_body(body).await else {
        return CallEnd::without_answer(AttemptEnd::Lost);
    };
    let end = classify(head.status, &head.headers, &attempt_id);
    if end != AttemptEnd::Lost
        && let Some(usable_for) = usable_for(&head.headers)
    {
        pool.put(clock.now(), address, connection, usable_for);
    }
    match end {
        AttemptEnd::Answered | AttemptEnd::ServerError => {
            let answer = Answer { status: head.status, headers: head.headers, body };
            CallEnd { end, answer: Some(answer) }
        }
        _ => CallEnd::without_answer(end),
    }
}

async fn send(
    pool: &Pool,
    clock: &Clock,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    may_reuse_connection: bool,
) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    let mut request = request;
    if may_reuse_connection && let Some(mut connection) = pool.take(clock.now(), address) {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((connection, response)),
            // Only a request of which nothing was sent comes back.
            Err(mut e) => match e.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(AttemptEnd::Lost),
            },
        }
    }
    let Some(mut connection) = pool::connect(address).await else {
        return Err(AttemptEnd::Unreachable);
    };
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((connection, response)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(AttemptEnd::NotSent),
            None => Err(AttemptEnd::Lost),
        },
    }
}

/// Reads a body; `None` when it is cut off or too large.
async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.ok()?.into_data() else { continue };
        if data.len() + chunk.len() > MAX_ANSWER_BYTES {
            return None;
        }
        data.extend_from_slice(&chunk);
    }
    Some(data.freeze())
}

/// What a whole answer says of the attempt.
///
/// An answer to another request, or one that no backend server of the service gives, says nothing
/// of this one: it may have run.
fn classify(status: StatusCode, headers: &HeaderMap, attempt_id: &str) -> AttemptEnd {
    let said = headers::read_response(headers, attempt_id);
    if status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptEnd::Misplaced;
    }
    if said.is_marked_not_run {
        return AttemptEnd::Shed;
    }
    let is_usable = said.matches_attempt && !said.is_encoded;
    if !is_usable || (status.is_success() && !said.is_signed) {
        return AttemptEnd::Lost;
    }
    match status.as_u16() < FIRST_SERVER_ERROR {
        true => AttemptEnd::Answered,
        false => AttemptEnd::ServerError,
    }
}

/// How long the connection of an answer may serve again; `None` when it may not.
fn usable_for(headers: &HeaderMap) -> Option<Millis> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
    if text(header::CONNECTION).is_some_and(|it| it.eq_ignore_ascii_case("close")) {
        return None;
    }
    let named = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let Some(named) = named else { return Some(DEFAULT_KEEP) };
    let seconds = named.split(',').find_map(|it| it.trim().strip_prefix("timeout="));
    let seconds: u64 = seconds.and_then(|it| it.trim().parse().ok())?;
    Some(Millis(seconds * KEEP_USE_MILLI))
}
