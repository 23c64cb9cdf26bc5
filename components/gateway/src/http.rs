//! The HTTP server used by all listeners of this crate.

use std::{convert::Infallible, future::Future, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket};

use crate::{
    connections::{CloseSignal, ConnectionState, Connections, Stage},
    lingering::LingeringStream,
    peers::StartError,
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 512;

/// Maximum size of a request head, in bytes: more than any configuration allows callers.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Timeout for receiving the next request head, after which the connection is closed: longer than
/// the 15 s that configurations allow between two requests of a caller, so that a connection is
/// rarely closed while a request is on its way.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Time that the rest of a request head may take once the connections are to be closed.
const HEAD_TIME_AT_CLOSE: Duration = Duration::from_millis(500);

/// Delay after an `accept` error, which usually means that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A response whose body is held in memory.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Listens on an address, even if connections of an earlier process are still closing.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|e| StartError::Listen(address, e))
}

/// Accepts connections and calls `handle` for each request, until the connections are closed.
pub(crate) async fn serve<F, R>(listener: TcpListener, connections: Rc<Connections>, handle: F)
where
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
        // Otherwise Nagle's algorithm delays small responses until the client's next ACK.
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(error:% = e; "responses may be delayed");
        }
        let handle = handle.clone();
        let state = connections.open(address);
        let service_state = state.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let state = service_state.clone();
            state.begin_request(req.uri().path());
            let reply = handle(req, state.clone());
            async move {
                let reply = reply.await;
                state.enter(Stage::WritesResponse);
                Ok::<_, Infallible>(reply)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
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
    connection: http1::Connection<TokioIo<LingeringStream>, S>,
    state: &ConnectionState,
    mut close: CloseSignal,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        // What has arrived is read before the connection is closed.
        biased;
        result = connection.as_mut() => return result,
        () = close.received() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        result = connection.as_mut() => return result,
        () = tokio::time::sleep(HEAD_TIME_AT_CLOSE) => {}
    }
    // Nothing is owed to a client that has sent no whole head.
    if state.stage() == Stage::AwaitsRequest {
        return Ok(());
    }
    connection.await
}

/// Returns a plain text response.
pub(crate) fn text(status: StatusCode, message: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(message.into()));
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
