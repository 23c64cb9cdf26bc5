//! Sends one request to a backend server and reads the whole answer.

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

/// Memory that is reserved for an answer before its request is sent, in bytes.
const FIRST_RESERVATION_BYTES: u64 = 16 * 1024;

/// A request on its way to a backend server.
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) max_answer: ByteSize,
    pub(crate) may_reuse_connection: bool,
}

/// How a call ended.
pub(crate) struct CallEnd {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) reported_load: Option<u32>,
    /// Holds the memory of the answer.
    pub(crate) reservation: Option<Reservation>,
}

impl CallEnd {
    fn without_answer(outcome: AttemptOutcome) -> Self {
        Self { outcome, reported_load: None, reservation: None }
    }
}

/// Sends a request and reads the whole answer.
pub(crate) async fn call(pool: &Pool, budget: &MemoryBudget, call: Call) -> CallEnd {
    let Call { address, request, max_answer, may_reuse_connection } = call;
    let first = FIRST_RESERVATION_BYTES.min(max_answer.0);
    let Some(reservation) = budget.try_reserve(first) else {
        return CallEnd::without_answer(AttemptOutcome::NotSent);
    };
    let tag = request.headers().get(REQUEST_HEADER).cloned();
    let sent = match send(pool, address, request, may_reuse_connection).await {
        Ok(sent) => sent,
        Err(outcome) => return CallEnd::without_answer(outcome),
    };
    let (connection, response) = sent;
    let reported_load =
        headers::text(response.headers(), LOAD_HEADER).and_then(|it| it.parse().ok());
    let is_own = response.headers().get(REQUEST_HEADER).is_none_or(|it| Some(it) == tag.as_ref());
    let keeps_open = keeps_connection(response.headers());
    let end = read_answer(response, max_answer, reservation).await;
    if !is_own {
        return CallEnd { reported_load, ..CallEnd::without_answer(AttemptOutcome::Mismatched) };
    }
    let is_whole = !matches!(end.outcome, AttemptOutcome::Truncated);
    // A connection whose answer was not whole is closed by being dropped.
    if is_whole && keeps_open {
        pool.put(address, connection);
    }
    CallEnd { reported_load, ..end }
}

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
            // Only a request of which nothing was sent comes back.
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

fn keeps_connection(headers: &HeaderMap) -> bool {
    !headers::text(headers, "connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
}

async fn read_answer(
    response: Response<Incoming>,
    max_answer: ByteSize,
    mut reservation: Reservation,
) -> CallEnd {
    let (mut head, mut body) = response.into_parts();
    let size = body.size_hint();
    // Without a length or chunks, an answer that was cut off looks like a whole one.
    let is_delimited =
        size.exact().is_some() || head.headers.contains_key(header::TRANSFER_ENCODING);
    if !is_delimited || size.lower() > max_answer.0 {
        return CallEnd::without_answer(AttemptOutcome::Truncated);
    }
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CallEnd::without_answer(AttemptOutcome::Truncated);
        };
        let Ok(chunk) = frame.into_data() else { continue };
        let size = (data.len() + chunk.len()) as u64;
        if size > max_answer.0 {
            return CallEnd::without_answer(AttemptOutcome::Truncated);
        }
        if !reservation.grow_to(size).await {
            let outcome = AttemptOutcome::Shed { proves_not_run: false, retry_after: None };
            return CallEnd::without_answer(outcome);
        }
        data.extend_from_slice(&chunk);
    }
    if let Some(outcome) = shed(head.status, &head.headers) {
        return CallEnd::without_answer(outcome);
    }
    headers::remove_hop_by_hop(&mut head.headers);
    let answer = Answer {
        status: head.status.as_u16(),
        headers: head.headers.iter().filter(|it| keeps_header(it.0)).map(to_header).collect(),
        body: data.freeze().into(),
    };
    CallEnd {
        outcome: AttemptOutcome::Answered(answer),
        reported_load: None,
        reservation: Some(reservation),
    }
}

/// A busy server's answer: it says so itself, or it asks to come back later.
fn shed(status: StatusCode, headers: &HeaderMap) -> Option<AttemptOutcome> {
    let says_so = headers.contains_key(SHED_HEADER);
    let asks_to_return =
        status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(header::RETRY_AFTER);
    if !says_so && !asks_to_return && status != StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    let retry_after = headers::text(headers, "retry-after").and_then(|it| it.parse::<u64>().ok());
    let proves_not_run =
        says_so || headers::text(headers, OUTCOME_HEADER).is_some_and(|it| it == "not-run");
    Some(AttemptOutcome::Shed {
        proves_not_run,
        retry_after: retry_after.map(|it| Millis(it.saturating_mul(1000))),
    })
}

/// Headers that the entry host writes itself are not passed on.
fn keeps_header(name: &header::HeaderName) -> bool {
    let own = [OUTCOME_HEADER, LOAD_HEADER, REQUEST_HEADER];
    *name != header::CONTENT_LENGTH && !own.contains(&name.as_str())
}

fn to_header((name, value): (&header::HeaderName, &header::HeaderValue)) -> Header {
    Header { name: name.as_str().to_owned(), value: value.as_bytes().to_vec().into() }
}
