//! Serves callers and backend servers over HTTP.

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
    pages, reply,
    reply_body::ReplyBody,
    shared::{CallerRequest, Shared},
};

/// Connections from callers and backend servers served at once.
const MAX_CONNECTIONS: usize = 8192;

/// Longest wait for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The organisation of callers that name none.
const NO_ORGANISATION: &str = "unnamed";

/// Connections of callers that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Silence after which no connection waits to be accepted any more.
const BACKLOG_SILENCE: Duration = Duration::from_millis(50);

/// Listens once the host may serve, until it may serve no more; then finishes what is in flight.
///
/// Until then connections are refused, so that callers go on to another address at once.
pub(crate) async fn serve(socket: TcpSocket, shared: Arc<Shared>) -> io::Result<()> {
    tokio::select! {
        () = shared.opened.notified() => {}
        () = shared.closed.notified() => return Ok(()),
    }
    let listener = socket.listen(BACKLOG)?;
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
            () = shared.closed.notified() => break,
        }
    }
    // Connections that were made before the end are served too.
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_SILENCE, listener.accept()).await {
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
    // Without it small answers would wait for the caller's acknowledgement.
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
        // A broken connection concerns its caller only.
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

async fn proxy(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<ReplyBody> {
    let (mut head, body) = req.into_parts();
    let host = host_of(&head.headers, &head.uri);
    let path = head.uri.path().to_owned();
    let key = key_of(&head.headers);
    let limit = shared.with_core(|core, _| core.max_request_bytes(&host, &path));
    let limit = limit.unwrap_or(ByteSize(0));
    let body = match read_body(shared, body, limit).await {
        Ok(body) => body,
        Err(e) => return reply::body_refused(e, key != KeyHeader::Missing),
    };
    let request_head = RequestHead {
        host,
        path,
        organisation: organisation_of(&head.headers),
        key,
        payload: payload_of(&head.method, &head.uri, &body.data),
        body_size: ByteSize(body.data.len() as u64),
        time_limit: time_limit_of(&head.headers),
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
    shared.feed(EntryEvent::Request { request: id, head: request_head });
    let response = match rx.await {
        Ok(it) => reply::to_caller(it),
        Err(_) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost\n"),
    };
    drop(guard);
    drop(body.reservation);
    response
}

/// A body and the memory that it takes.
struct ReadBody {
    data: Bytes,
    reservation: crate::memory::Reservation,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than the service allows.
    TooLarge,
    /// There is no memory for it now.
    NoMemory,
    /// The caller stopped in the middle.
    CutOff,
}

async fn read_body(
    shared: &Shared,
    body: Incoming,
    limit: ByteSize,
) -> Result<ReadBody, BodyError> {
    let size = body.size_hint();
    if size.lower() > limit.0 && limit.0 > 0 {
        return Err(BodyError::TooLarge);
    }
    let expected = size.upper().unwrap_or(limit.0).min(limit.0);
    let reservation = shared.budget.try_reserve(expected).ok_or(BodyError::NoMemory)?;
    let most = usize::try_from(limit.0).unwrap_or(usize::MAX);
    let collected = Limited::new(body, most).collect();
    match timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(data)) => Ok(ReadBody { data: data.to_bytes(), reservation }),
        // A path without service has no limit: the core refuses it without its body.
        Ok(Err(_)) if limit.0 == 0 => Ok(ReadBody { data: Bytes::new(), reservation }),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BodyError::CutOff),
    }
}

fn host_of(headers: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = uri.host().or_else(|| headers::text(headers, "host")).unwrap_or_default();
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    };
    without_port.to_ascii_lowercase()
}

fn key_of(headers: &HeaderMap) -> KeyHeader {
    if headers.get_all(KEY_HEADER).iter().count() > 1 {
        return KeyHeader::Malformed;
    }
    let Some(value) = headers.get(KEY_HEADER) else { return KeyHeader::Missing };
    // The header's value is a quoted string; bare values are taken too.
    let key = value.to_str().ok().and_then(|it| it.trim_matches('"').parse().ok());
    key.map_or(KeyHeader::Malformed, |it: IdempotencyKey| KeyHeader::Given(it))
}

fn organisation_of(headers: &HeaderMap) -> OrganisationName {
    let named = headers::text(headers, ORGANISATION_HEADER).and_then(|it| it.parse().ok());
    named.unwrap_or_else(|| NO_ORGANISATION.parse().expect("a constant name is valid"))
}

fn time_limit_of(headers: &HeaderMap) -> Option<Millis> {
    headers::text(headers, DEADLINE_HEADER)?.parse().ok()
}

fn payload_of(method: &Method, uri: &hyper::Uri, body: &Bytes) -> Fingerprint {
    let target = uri.path_and_query().map_or("", |it| it.as_str());
    let mut data = Vec::with_capacity(method.as_str().len() + target.len() + body.len() + 2);
    data.extend_from_slice(method.as_str().as_bytes());
    data.push(0);
    data.extend_from_slice(target.as_bytes());
    data.push(0);
    data.extend_from_slice(body);
    Fingerprint::of(&data)
}
