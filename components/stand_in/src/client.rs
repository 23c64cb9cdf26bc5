//! An HTTP client that sends each request over a new connection.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why no complete response was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// The time limit passed.
    TimedOut,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectFailed => "cannot connect",
            Self::ConnectionLost => "the connection was lost before the response was complete",
            Self::TimedOut => "the request timed out",
        })
    }
}

impl std::error::Error for HttpError {}

/// Sends one request and reads the complete response, within `limit` in all.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<HttpAnswer, HttpError> {
    timeout(limit, exchange_unbounded(address, request)).await.unwrap_or(Err(HttpError::TimedOut))
}

async fn exchange_unbounded(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<HttpAnswer, HttpError> {
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = address.to_string().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    let stream = TcpStream::connect(address).await.map_err(|_| HttpError::ConnectFailed)?;
    // Nagle's algorithm would delay small requests.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| HttpError::ConnectionLost)?;
    tokio::spawn(async move {
        // `send_request` and the body report the connection's errors.
        let _ = connection.await;
    });
    let response = sender.send_request(request).await.map_err(|_| HttpError::ConnectionLost)?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| HttpError::ConnectionLost)?.to_bytes();
    Ok(HttpAnswer { status: head.status, headers: head.headers, body })
}
