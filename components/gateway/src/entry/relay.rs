//! Passes requests on to other gateways, and reads what other gateways pass on.
//!
//! A request that is passed on is the caller's request with a header that names its service and the
//! number of servers that it may still reach. The response carries a header that says how it ended
//! there. Both are accepted only from hosts of the fleet.
//!
//! If callers need keys, the header takes a form that a gateway of a build without keys can't read and
//! so refuses. It also carries the key, since each build removes it from what servers receive.

use std::{net::SocketAddr, rc::Rc};

use gateway_core::{AttemptEnd, CallerNote, Refusal, RelayEnd, RelayStart, RelayedHead};
use hyper::{
    HeaderMap, Request,
    header::{self, HeaderValue},
};
use ids::Millis;
use platform::headers;

use super::{
    backend::{self, ServerResponse},
    shared::Shared,
};
use crate::{
    body::{self, RequestBody},
    connections::ConnectionState,
    http::Reply,
};

/// Name of the header of requests and responses between gateways.
const RELAY: &str = "daisypaddle-relay";

/// First word of the header of a request that only a gateway that checks keys may serve.
const KEYED: &str = "keyed";

/// How a request that was passed on ended, and its response if the caller may receive it.
pub(crate) struct RelayResult {
    pub(crate) end: RelayEnd,
    pub(crate) response: Option<ServerResponse>,
}

/// The header of a request from another gateway can't be read.
pub(crate) struct InvalidHead;

/// Removes the header from a request, and returns its value if the request comes from a gateway.
pub(crate) fn take_head(
    shared: &Shared,
    headers: &mut HeaderMap,
    sender: SocketAddr,
) -> Result<Option<RelayedHead>, InvalidHead> {
    let Some(value) = headers.remove(RELAY) else { return Ok(None) };
    if !shared.is_gateway(sender) {
        log::warn!(sender:% = sender; "ignored the header of another gateway from a caller");
        return Ok(None);
    }
    let (head, key) = value.to_str().ok().and_then(read_head).ok_or(InvalidHead)?;
    if head.needs_key_check {
        headers.remove(header::AUTHORIZATION);
        let key = key.map(HeaderValue::from_str).transpose().map_err(|_| InvalidHead)?;
        headers.extend(key.map(|it| (header::AUTHORIZATION, it)));
    }
    Ok(Some(head))
}

/// Reads the value of the header, with the credentials of the caller if it carries any.
fn read_head(value: &str) -> Option<(RelayedHead, Option<&str>)> {
    let (keyed, rest) = match value.strip_prefix(KEYED) {
        Some(rest) => (true, rest.strip_prefix(' ')?),
        None => (false, value),
    };
    let (max_attempts, rest) = rest.split_once(' ')?;
    let (service, key) = match rest.split_once(' ') {
        Some((service, key)) if keyed => (service, Some(key)),
        _ => (rest, None),
    };
    let (service, max_attempts) = (service.parse().ok()?, max_attempts.parse().ok()?);
    Some((RelayedHead { service, max_attempts, needs_key_check: keyed }, key))
}

/// Moves the credentials of a request into the header for the other gateway.
fn write_head(
    headers: &mut HeaderMap,
    head: &RelayedHead,
    caller: &CallerNote,
) -> Result<(), header::InvalidHeaderValue> {
    let RelayedHead { service, max_attempts, needs_key_check } = head;
    let mut value = format!("{max_attempts} {service}").into_bytes();
    if *needs_key_check {
        value.splice(..0, format!("{KEYED} ").into_bytes());
        // The key of a caller that was not recognised is of no use there.
        let key = headers.get(header::AUTHORIZATION);
        if let (CallerNote::Organisation(_), Some(key)) = (caller, key) {
            value.push(b' ');
            value.extend_from_slice(key.as_bytes());
        }
        headers::write_caller(headers, caller);
    }
    let mut value = HeaderValue::from_bytes(&value)?;
    value.set_sensitive(*needs_key_check);
    headers.insert(RELAY, value);
    Ok(())
}

/// Marks the reply to another gateway with how its request ended.
pub(crate) fn mark_reply(reply: &mut Reply, end: RelayEnd) {
    reply.headers_mut().insert(RELAY, HeaderValue::from_static(end.name()));
}

/// Passes a request on and reads the complete response.
pub(crate) async fn call(
    shared: Rc<Shared>,
    start: RelayStart,
    mut req: Request<RequestBody>,
    attempt_id: Rc<str>,
    client: &ConnectionState,
) -> RelayResult {
    let without_response = |end| RelayResult { end, response: None };
    let RelayStart { address, head, may_reuse_connection, caller, .. } = start;
    if write_head(req.headers_mut(), &head, &caller).is_err() {
        return without_response(RelayEnd::Unable);
    }
    let sent = backend::send_to_gateway(&shared, address, req, may_reuse_connection).await;
    let (connection, response) = match sent {
        Ok(sent) => sent,
        Err(AttemptEnd::Lost) => return without_response(RelayEnd::Lost),
        Err(_) => return without_response(RelayEnd::Unreachable),
    };
    let (mut head, body) = response.into_parts();
    let body = match body::read_response(client, body, backend::MAX_RESPONSE_SIZE).await {
        Ok(body) => body,
        Err(e) if e.is_for_lack_of_room() => {
            let response = Some(ServerResponse::without_room());
            return RelayResult { end: RelayEnd::Answered, response };
        }
        Err(_) => return without_response(RelayEnd::Lost),
    };
    backend::keep_connection(&shared, address, connection, &head.headers);
    let Some(outcome) = head.headers.remove(RELAY) else {
        // A gateway that does not know this one yet serves the request as a caller's. What a server
        // has signed is the answer to it; anything else proves nothing.
        let end = backend::classify(head.status, &head.headers, &attempt_id);
        if end != AttemptEnd::Answered || !head.status.is_success() {
            return without_response(RelayEnd::Lost);
        }
        let response = ServerResponse { status: head.status, headers: head.headers, body };
        return RelayResult { end: RelayEnd::Answered, response: Some(response) };
    };
    let is = |end: RelayEnd| outcome.as_bytes() == end.name().as_bytes();
    if is(RelayEnd::Unable) {
        return without_response(RelayEnd::Unable);
    }
    if is(RelayEnd::Refused(None)) {
        return without_response(RelayEnd::Refused(retry_after(&head.headers)));
    }
    if !is(RelayEnd::Answered) {
        return without_response(RelayEnd::Lost);
    }
    let end = match backend::classify(head.status, &head.headers, &attempt_id) {
        AttemptEnd::Answered => RelayEnd::Answered,
        AttemptEnd::ServerError => RelayEnd::ServerError,
        _ => return without_response(RelayEnd::Lost),
    };
    let response = ServerResponse { status: head.status, headers: head.headers, body };
    RelayResult { end, response: Some(response) }
}

fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    (seconds >= 0.0).then_some(Millis((seconds * 1e3) as u64))
}

/// Returns how a refusal of this gateway is told to another one.
pub(crate) fn end_of(shared: &Shared, refusal: &Refusal) -> RelayEnd {
    shared.with_core(|core, _| core.relay_end_of(refusal))
}
