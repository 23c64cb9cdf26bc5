//! The HTTP server used by all listeners of this crate.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use client_memory::{Listener, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES, Stage};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ids::{ByteSize, Millis};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::yield_now,
    time::timeout,
};

use crate::{
    body::{BodyError, ReplyBody},
    client_stream::ClientStream,
    connections::{CloseSignal, ConnectionState, Connections},
    peers::StartError,
};

/// Maximum number of connections that wait to be accepted, each with a full receive buffer at worst: on
/// the listener of requests, and on each other one.
const REQUEST_BACKLOG: u32 = 256;
const OTHER_BACKLOG: u32 = 64;

/// Maximum size of a request head, in bytes: more than any configuration allows callers.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Timeout for receiving the next request head, after which the connection is closed: longer than
/// the 15 s that configurations allow between two requests of a caller, so that a connection is
/// rarely closed while a request is on its way.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Time that the rest of a request head may take once the connections are to be closed.
const HEAD_TIME_AT_CLOSE: Duration = Duration::from_millis(500);

/// Time in which a client that gives way can be told so.
const EVICTION_TIME: Duration = Duration::from_millis(500);

/// Largest response that the buffers of its connection hold, in bytes.
const BUFFERED_REPLY_BYTES: usize = 4 * 1024;

/// Delay after an `accept` error, which usually means that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A response whose body is held in memory.
pub(crate) type Reply = Response<ReplyBody>;

/// Listens on an address, even if connections of an earlier process are still closing.
pub(crate) fn listen(address: SocketAddr, kind: Listener) -> Result<TcpListener, StartError> {
    let backlog = match kind {
        Listener::Requests => REQUEST_BACKLOG,
        Listener::Readiness | Listener::Directory | Listener::Metrics => OTHER_BACKLOG,
    };
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(backlog)
    };
    bind().map_err(|e| StartError::Listen(address, e))
}

/// Bounds what waits in the socket of a client: what a client sends while its request is in work, and
/// what it does not read.
fn set_buffers(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES as usize)
}

/// Accepts connections and calls `handle` for each request, until the connections are closed.
pub(crate) async fn serve<F, R>(
    listener: TcpListener,
    kind: Listener,
    connections: Rc<Connections>,
    handle: F,
) where
    F: Fn(Request<Incoming>, Rc<ConnectionState>) -> R + Clone + 'static,
    R: Future<Output = Reply> + 'static,
{
    let handle = Rc::new(handle);
    let mut close = connections.close_signal();
    loop {
        let accepted = tokio::select! {
            // Connections that were opened before the signal are not refused.
            biased;
            accepted = listener.accept() => accepted,
            () = close.received() => return,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection");
                tokio::select! {
                    () = tokio::time::sleep(ACCEPT_RETRY_DELAY) => continue,
                    () = close.received() => return,
                }
            }
        };
        // Its cause is counted and logged; without a response, the client may come back at once.
        let opened = connections.open(kind, address);
        if connections.are_leaving() {
            // Most can be closed before another connection is accepted.
            yield_now().await;
        }
        let Ok(state) = opened else { continue };
        if let Err(e) = set_buffers(&stream) {
            log::debug!(error:% = e; "the buffers of a client's socket have other sizes");
        }
        // Otherwise Nagle's algorithm delays small responses until the client's next ACK.
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(error:% = e; "responses may be delayed");
        }
        let handle = handle.clone();
        let service_state = state.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let state = service_state.clone();
            state.begin_request(req.uri().path());
            let reply = handle(req, state.clone());
            async move { Ok::<_, Infallible>(hold_reply(reply.await, state)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(ClientStream::new(stream, state.clone())), service);
        let close = close.clone();
        tokio::task::spawn_local(async move {
            // A connection error affects only this client.
            if let Err(e) = run_connection(connection, &state, close).await {
                log::debug!(error:% = e; "connection of a client failed");
            }
        });
    }
}

/// Serves a connection until its client closes it, or until the response after `close` is delivered.
async fn run_connection<S>(
    connection: http1::Connection<TokioIo<ClientStream>, S>,
    state: &ConnectionState,
    mut close: CloseSignal,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = ReplyBody, Error = Infallible>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        // What has arrived is read before the connection is closed.
        biased;
        result = connection.as_mut() => return result,
        () = state.evicted() => return end_evicted(connection.as_mut(), state).await,
        () = close.received() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        result = connection.as_mut() => return result,
        () = state.evicted() => return end_evicted(connection.as_mut(), state).await,
        () = tokio::time::sleep(HEAD_TIME_AT_CLOSE) => {}
    }
    // Nothing is owed to a client that has sent no whole head.
    if state.stage() == Stage::Idle {
        return Ok(());
    }
    tokio::select! {
        result = connection.as_mut() => result,
        () = state.evicted() => end_evicted(connection.as_mut(), state).await,
    }
}

/// Ends the connection of a client that gives way; one whose body was being read is told so first.
async fn end_evicted<S>(
    connection: Pin<&mut http1::Connection<TokioIo<ClientStream>, S>>,
    state: &ConnectionState,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = ReplyBody, Error = Infallible>,
{
    if state.stage() != Stage::ReadsBody {
        return Ok(());
    }
    timeout(EVICTION_TIME, connection).await.unwrap_or(Ok(()))
}

/// Accounts for a response until it is written, or replaces it if there is no room.
fn hold_reply(mut reply: Reply, state: Rc<ConnectionState>) -> Reply {
    let len = reply.body().len();
    let charge = match len <= BUFFERED_REPLY_BYTES || reply.body().is_charged() {
        true => None,
        false => match state.hold(ByteSize(len as u64)) {
            Ok(charge) => Some(charge),
            Err(refusal) => {
                reply = unavailable(&refusal.cause.to_string(), refusal.retry_after);
                None
            }
        },
    };
    state.begin_response(reply.body().len());
    reply.body_mut().attach(charge, state);
    reply
}

/// Returns the response to a request whose body can't be held.
pub(crate) fn body_error(error: &BodyError, state: &ConnectionState) -> Reply {
    let message = error.to_string();
    let mut reply = match error {
        BodyError::TooLarge => text(StatusCode::PAYLOAD_TOO_LARGE, format!("{message}\n")),
        BodyError::Refused(refusal) => unavailable(&message, refusal.retry_after),
        BodyError::Evicted | BodyError::NotMapped(_) => unavailable(&message, state.retry_after()),
        BodyError::Late => text(StatusCode::REQUEST_TIMEOUT, format!("{message}\n")),
        BodyError::Broken(_) => text(StatusCode::BAD_REQUEST, format!("{message}\n")),
    };
    // The rest of the body is not read.
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Returns the response to a request that has not run and may come back after a while.
pub(crate) fn unavailable(message: &str, retry_after: Millis) -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, format!("{message}\n"));
    if let Some(value) = retry_after_value(retry_after) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// Formats a `Retry-After` value as seconds with fractions.
pub(crate) fn retry_after_value(delay: Millis) -> Option<HeaderValue> {
    let text = format!("{:.3}", delay.0 as f64 / 1_000.0);
    HeaderValue::from_str(&text).ok()
}

/// Returns a plain text response.
pub(crate) fn text(status: StatusCode, message: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(message.into().into());
    *reply.status_mut() = status;
    reply
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = text(status, body);
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}
