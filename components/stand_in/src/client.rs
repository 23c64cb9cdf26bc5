//! A client that sends one request over a new connection.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// A whole answer.
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
    /// The value of a header as text, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// There was no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// The address could not be reached.
    Connect,
    /// The connection broke before the answer was whole.
    Broken,
    /// The answer took too long.
    TimedOut,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "cannot connect",
            Self::Broken => "the connection broke before the answer was whole",
            Self::TimedOut => "no answer in time",
        })
    }
}

impl std::error::Error for HttpError {}

/// Sends one request and reads the whole answer.
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
    let stream = TcpStream::connect(address).await.map_err(|_| HttpError::Connect)?;
    // Without it small requests would wait for each other.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| HttpError::Broken)?;
    tokio::spawn(async move {
        // Its error reaches the request.
        let _ = connection.await;
    });
    let response = sender.send_request(request).await.map_err(|_| HttpError::Broken)?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| HttpError::Broken)?.to_bytes();
    Ok(HttpAnswer { status: head.status, headers: head.headers, body })
}
