//! Sends one request to a backend server and reads the complete response.

use std::{net::SocketAddr, rc::Rc};

use gateway_core::{AttemptEnd, PathOutcome};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header};
use ids::{ByteSize, Incarnation, Millis};
use platform::headers;

use super::{
    pool::{ConnectError, Connection},
    shared::Shared,
};
use crate::{
    body::{self, HeldBody, RequestBody},
    connections::ConnectionState,
};

/// Maximum size of a response body; it is held in memory until it is complete.
pub(crate) const MAX_RESPONSE_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);

/// Time for which an idle connection may be reused if its server states no timeout, in
/// milliseconds.
const DEFAULT_IDLE_TIME: Millis = Millis(2_000);

/// Fraction of a server's keep-alive timeout for which an idle connection may be reused, in
/// thousandths: the timeout starts earlier at the server, which may also close sooner.
const KEEP_ALIVE_SHARE_MILLI: u64 = 500;

/// Lowest status code that counts as a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// A request to a backend server.
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) request: Request<RequestBody>,
    pub(crate) attempt_id: Rc<str>,
    /// The client that the response is held for.
    pub(crate) client: Rc<ConnectionState>,
    pub(crate) has_permit: bool,
    pub(crate) may_reuse_connection: bool,
}

/// A complete response of a backend server.
pub(crate) struct ServerResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
}

/// How a call ended, and its response if the caller may receive it.
pub(crate) struct CallResult {
    pub(crate) end: AttemptEnd,
    pub(crate) response: Option<ServerResponse>,
}

impl CallResult {
    fn without_response(end: AttemptEnd) -> Self {
        Self { end, response: None }
    }

    /// The server has answered, and there is no room for its response. The request may have run.
    fn without_room() -> Self {
        Self { end: AttemptEnd::Answered, response: Some(ServerResponse::without_room()) }
    }
}

impl ServerResponse {
    /// Stands for a response that is not held, and promises nothing.
    pub(crate) fn without_room() -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            headers: HeaderMap::new(),
            body: bytes::Bytes::from_static(b"there is no room for the response\n").into(),
        }
    }
}

/// Sends a request and reads the complete response.
pub(crate) async fn call(shared: Rc<Shared>, call: Call) -> CallResult {
    let (address, incarnation) = (call.address, call.incarnation);
    let (attempt_id, client) = (call.attempt_id.clone(), call.client.clone());
    let sent_at = shared.clock.now();
    let sent = send(&shared, call).await;
    let (connection, response) = match sent {
        Ok(sent) => sent,
        Err(end) => return CallResult::without_response(end),
    };
    let (head, body) = response.into_parts();
    // A different server speaks for itself only.
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        let found = headers::read_notice(head.status, &head.headers, &attempt_id);
        shared.process_notice(address, incarnation, sent_at, found);
    }
    let body = match body::read_response(&client, body, MAX_RESPONSE_SIZE).await {
        Ok(body) => body,
        Err(e) if e.is_for_lack_of_room() => return CallResult::without_room(),
        Err(_) => return CallResult::without_response(AttemptEnd::Lost),
    };
    let end = classify(head.status, &head.headers, &attempt_id);
    if end != AttemptEnd::Lost && shared.may_keep_connection(address, incarnation) {
        keep_connection(&shared, address, connection, &head.headers);
    }
    match end {
        AttemptEnd::Answered | AttemptEnd::ServerError => {
            let response = ServerResponse { status: head.status, headers: head.headers, body };
            CallResult { end, response: Some(response) }
        }
        _ => CallResult::without_response(end),
    }
}

/// Keeps a connection for a later request if the headers of its last response allow that.
pub(crate) fn keep_connection(
    shared: &Shared,
    address: SocketAddr,
    connection: Connection,
    headers: &HeaderMap,
) {
    if let Some(reusable_for) = reusable_for(headers) {
        shared.pool.put(shared.clock.now(), address, connection, reusable_for);
    }
}

/// Sends a request to another gateway, and reads the head of its response.
pub(crate) async fn send_to_gateway(
    shared: &Shared,
    address: SocketAddr,
    request: Request<RequestBody>,
    may_reuse_connection: bool,
) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    let request = match send_on_idle(shared, address, request, may_reuse_connection).await? {
        Sent::Done(sent) => return Ok(*sent),
        Sent::NotSent(request) => request,
    };
    let connect = shared.pool.connect(address).await;
    let connection = connect.map_err(|_| AttemptEnd::Unreachable)?;
    send_on(connection, *request).await
}

/// Result of sending a request on an idle connection.
enum Sent {
    Done(Box<(Connection, Response<Incoming>)>),
    /// There is no such connection, or it was closed before anything was sent.
    NotSent(Box<Request<RequestBody>>),
}

async fn send_on_idle(
    shared: &Shared,
    address: SocketAddr,
    request: Request<RequestBody>,
    may_reuse_connection: bool,
) -> Result<Sent, AttemptEnd> {
    let idle = match may_reuse_connection {
        true => shared.pool.take(shared.clock.now(), address),
        false => None,
    };
    let Some(mut connection) = idle else { return Ok(Sent::NotSent(Box::new(request))) };
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Sent::Done(Box::new((connection, response)))),
        // The request is returned only if nothing of it was sent.
        Err(mut e) => match e.take_message() {
            Some(unsent) => Ok(Sent::NotSent(Box::new(unsent))),
            None => Err(AttemptEnd::Lost),
        },
    }
}

async fn send_on(
    mut connection: Connection,
    request: Request<RequestBody>,
) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((connection, response)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(AttemptEnd::NotSent),
            None => Err(AttemptEnd::Lost),
        },
    }
}

async fn send(shared: &Shared, call: Call) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    let Call { address, incarnation, request, has_permit, may_reuse_connection, .. } = call;
    let request = match send_on_idle(shared, address, request, may_reuse_connection).await? {
        Sent::Done(sent) => return Ok(*sent),
        Sent::NotSent(request) => request,
    };
    let connection = match shared.pool.connect(address).await {
        Ok(connection) => connection,
        Err(e) => {
            shared.record_path(address, incarnation, PathOutcome::Unreachable);
            if e == ConnectError::Refused {
                shared.with_core(|core, now| core.on_connection_refused(now, address, incarnation));
            }
            return Err(AttemptEnd::Unreachable);
        }
    };
    // The response to another request may have closed the server to new ones meanwhile.
    if !shared.may_send(address, incarnation, has_permit) {
        return Err(AttemptEnd::Withheld);
    }
    let sent = send_on(connection, *request).await;
    let outcome = match &sent {
        Ok(_) => PathOutcome::Reached,
        Err(_) => PathOutcome::Broken,
    };
    shared.record_path(address, incarnation, outcome);
    sent
}

/// Classifies a complete response.
///
/// A response to another attempt, one whose status is not that of a final response, an encoded one, or a success without a backend server's signature
/// proves nothing about this request, which may have run: the attempt counts as lost.
pub(crate) fn classify(status: StatusCode, headers: &HeaderMap, attempt_id: &str) -> AttemptEnd {
    let platform_headers = headers::read_response(headers, attempt_id);
    // A late copy of an earlier answer may say that its own request did not run.
    if platform_headers.names_other_attempt || !entry::is_final_status(status) {
        return AttemptEnd::Lost;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptEnd::Misplaced;
    }
    if platform_headers.is_marked_not_run {
        return AttemptEnd::Shed;
    }
    let is_usable = platform_headers.matches_attempt && !platform_headers.is_encoded;
    if !is_usable || (status.is_success() && !platform_headers.is_signed) {
        return AttemptEnd::Lost;
    }
    match status.as_u16() < MIN_SERVER_ERROR_STATUS {
        true => AttemptEnd::Answered,
        false => AttemptEnd::ServerError,
    }
}

/// Returns how long the connection of a response may be reused, or `None` if it may not.
fn reusable_for(headers: &HeaderMap) -> Option<Millis> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
    if text(header::CONNECTION).is_some_and(|it| it.eq_ignore_ascii_case("close")) {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let Some(keep_alive) = keep_alive else { return Some(DEFAULT_IDLE_TIME) };
    let seconds = keep_alive.split(',').find_map(|it| it.trim().strip_prefix("timeout="));
    let seconds: u64 = seconds.and_then(|it| it.trim().parse().ok())?;
    Some(Millis(seconds * KEEP_ALIVE_SHARE_MILLI))
}
