//! What all HTTP servers of this crate share.

use std::{convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket};

use crate::peers::StartError;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;

/// Largest head of a request, in bytes: more than any configuration allows callers.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Silence after which an idle connection is closed: longer than the 15 s that configurations
/// allow callers, so that a request rarely crosses the close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause after an error of accept, which mostly says that no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A response with a whole body.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Listens on an address, also when connections of an earlier process are still closing.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|e| StartError::Listen(address, e))
}

/// Accepts connections until the task is dropped, and answers their requests by `handle`.
pub(crate) async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Reply> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without it small answers would wait for the other side's acknowledgement.
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(error:% = e; "answers may be delayed");
        }
        let handle = handle.clone();
        let service = service_fn(move |req| {
            let reply = handle(req);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // A broken connection concerns its caller only.
            if let Err(e) = connection.await {
                log::debug!(error:% = e; "connection of a caller ended");
            }
        });
    }
}

/// A plain text reply.
pub(crate) fn text(status: StatusCode, message: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(message.into()));
    *reply.status_mut() = status;
    reply
}

/// A reply in JSON.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = text(status, body);
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}
