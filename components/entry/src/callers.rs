//! HTTP server for callers and backend servers.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use entry_core::{EntryEvent, KeyHeader, RequestHead};
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use ids::{ByteSize, Fingerprint, IdempotencyKey, Millis, OrganisationName};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::{
    headers::{self, DEADLINE_HEADER, KEY_HEADER, ORGANISATION_HEADER, REQUEST_HEADER},
    memory::Reservation,
    pages, reply,
    reply_body::ReplyBody,
    shared::{CallerRequest, Shared},
};

/// Maximum number of open connections from callers and backend servers.
const MAX_CONNECTIONS: usize = 8192;

/// Maximum time to receive the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Organisation of callers that send no valid organisation header.
const DEFAULT_ORGANISATION: &str = "unnamed";

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Time without a new connection after which the listen backlog counts as empty.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Serves connections from the time the host opens to callers until it closes to them, then
/// finishes the requests in flight.
///
/// The socket does not listen before: connections are refused, so that callers try another
/// address at once.
pub(crate) async fn serve(socket: TcpSocket, shared: Arc<Shared>) -> io::Result<()> {
    tokio::select! {
        () = shared.open_to_callers.notified() => {}
        () = shared.close_to_callers.notified() => return Ok(()),
    }
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { break };
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_connection(stream, &shared, &graceful, permit);
                }
            }
            () = shared.close_to_callers.notified() => break,
        }
    }
    // Connections that still wait in the listen backlog are served as well.
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_DRAIN_TIMEOUT, listener.accept()).await {
        let Ok(permit) = permits.clone().acquire_owned().await else { break };
        serve_connection(stream, &shared, &graceful, permit);
    }
    drop(listener);
    graceful.shutdown().await;
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    graceful: &GracefulShutdown,
    permit: OwnedSemaphorePermit,
) {
    // With Nagle's algorithm, small responses would wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let shared = shared.clone();
    let handler = service_fn(move |req| handle(shared.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), handler);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // The error of a connection affects only its caller.
        let _ = connection.await;
        drop(permit);
    });
}

async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let response = match (req.method(), req.uri().path()) {
        (&Method::GET, "/directory") => pages::directory(&shared, req.uri().query()),
        (&Method::POST, "/announce") => pages::announce(&shared, req).await,
        _ => proxy(&shared, req).await,
    };
    Ok(response)
}

/// Passes a request to the state machine and returns the response for the caller.
async fn proxy(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<ReplyBody> {
    let (mut head, body) = req.into_parts();
    let host = parse_host(&head.headers, &head.uri);
    let path = head.uri.path().to_owned();
    let key = parse_key(&head.headers);
    let max_body_size = shared.with_core(|core, _| core.max_request_bytes(&host, &path));
    let max_body_size = max_body_size.unwrap_or(ByteSize(0));
    let body = match read_body(shared, body, max_body_size).await {
        Ok(body) => body,
        Err(e) => return reply::body_error_response(e, key != KeyHeader::Missing),
    };
    let request_head = RequestHead {
        host,
        path,
        organisation: parse_organisation(&head.headers),
        key,
        payload: payload_fingerprint(&head.method, &head.uri, &body.data),
        body_size: ByteSize(body.data.len() as u64),
        time_limit: parse_time_limit(&head.headers),
    };
    headers::remove_hop_by_hop(&mut head.headers);
    head.headers.remove(REQUEST_HEADER);
    head.headers.remove(header::CONTENT_LENGTH);
    let uri = head.uri.path_and_query().map(|it| it.as_str().parse().unwrap_or_default());
    let request = CallerRequest {
        method: head.method,
        uri: uri.unwrap_or_default(),
        headers: head.headers,
        body: body.data,
    };
    let (id, guard, rx) = shared.register(request);
    shared.handle_event(EntryEvent::Request { request: id, head: request_head });
    let response = match rx.await {
        Ok(it) => reply::from_reply(it),
        Err(_) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost\n"),
    };
    drop(guard);
    drop(body.reservation);
    response
}

/// Request body, and the memory reserved for it.
struct RequestBody {
    data: Bytes,
    reservation: Reservation,
}

/// Errors of reading a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is larger than the service allows.
    TooLarge,
    /// The memory budget has no room for the body.
    NoMemory,
    /// The connection was lost, or the body did not arrive in time.
    CutOff,
}

async fn read_body(
    shared: &Shared,
    body: Incoming,
    max_size: ByteSize,
) -> Result<RequestBody, BodyError> {
    let size = body.size_hint();
    if size.lower() > max_size.0 && max_size.0 > 0 {
        return Err(BodyError::TooLarge);
    }
    let expected_size = size.upper().unwrap_or(max_size.0).min(max_size.0);
    let reservation = shared.budget.try_reserve(expected_size).ok_or(BodyError::NoMemory)?;
    let max_bytes = usize::try_from(max_size.0).unwrap_or(usize::MAX);
    let collected = Limited::new(body, max_bytes).collect();
    match timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(data)) => Ok(RequestBody { data: data.to_bytes(), reservation }),
        // Without a service for the path, the maximum size is 0: the state machine refuses the
        // request without needing its body.
        Ok(Err(_)) if max_size.0 == 0 => Ok(RequestBody { data: Bytes::new(), reservation }),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BodyError::CutOff),
    }
}

fn parse_host(headers: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = uri.host().or_else(|| headers::text(headers, "host")).unwrap_or_default();
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    };
    without_port.to_ascii_lowercase()
}

fn parse_key(headers: &HeaderMap) -> KeyHeader {
    if headers.get_all(KEY_HEADER).iter().count() > 1 {
        return KeyHeader::Malformed;
    }
    let Some(value) = headers.get(KEY_HEADER) else { return KeyHeader::Missing };
    // The value should be a quoted string; values without quotes are accepted as well.
    let key = value.to_str().ok().and_then(|it| it.trim_matches('"').parse().ok());
    key.map_or(KeyHeader::Malformed, |it: IdempotencyKey| KeyHeader::Given(it))
}

fn parse_organisation(headers: &HeaderMap) -> OrganisationName {
    let organisation = headers::text(headers, ORGANISATION_HEADER).and_then(|it| it.parse().ok());
    organisation.unwrap_or_else(|| DEFAULT_ORGANISATION.parse().expect("the default name is valid"))
}

fn parse_time_limit(headers: &HeaderMap) -> Option<Millis> {
    headers::text(headers, DEADLINE_HEADER)?.parse().ok()
}

fn payload_fingerprint(method: &Method, uri: &hyper::Uri, body: &Bytes) -> Fingerprint {
    let target = uri.path_and_query().map_or("", |it| it.as_str());
    let mut data = Vec::with_capacity(method.as_str().len() + target.len() + body.len() + 2);
    data.extend_from_slice(method.as_str().as_bytes());
    data.push(0);
    data.extend_from_slice(target.as_bytes());
    data.push(0);
    data.extend_from_slice(body);
    Fingerprint::of(&data)
}
