//! HTTP client connection that is reused across requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use stand_in::HttpError;
use tokio::net::TcpStream;

/// Request of the load tool.
pub(crate) struct LoadRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) organisation: String,
    pub(crate) key: Option<String>,
}

/// Persistent connection, opened by the first request and again after an error.
pub(crate) struct PersistentConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl PersistentConnection {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Sends a request, reads the whole response and returns the outcome in its header, or its
    /// status code.
    pub(crate) async fn send(&mut self, load_request: LoadRequest) -> Result<String, HttpError> {
        let mut sender = match self.sender.take().filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let mut builder = Request::builder()
            .method(load_request.method)
            .uri(load_request.path)
            .header(header::HOST, self.address.to_string())
            .header("daisypaddle-organisation", load_request.organisation);
        if let Some(key) = load_request.key {
            builder = builder.header("idempotency-key", key);
        }
        let req = builder.body(Full::new(Bytes::new())).map_err(|_| HttpError::ConnectionLost)?;
        let response = sender.send_request(req).await.map_err(|_| HttpError::ConnectionLost)?;
        let (head, body) = response.into_parts();
        body.collect().await.map_err(|_| HttpError::ConnectionLost)?;
        self.sender = Some(sender);
        let outcome = head.headers.get("daisypaddle-outcome").and_then(|it| it.to_str().ok());
        Ok(outcome.map_or_else(|| head.status.as_u16().to_string(), str::to_owned))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let stream =
            TcpStream::connect(self.address).await.map_err(|_| HttpError::ConnectFailed)?;
        // Nagle's algorithm would delay small requests until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| HttpError::ConnectionLost)?;
        tokio::spawn(async move {
            // An error of the connection also fails the request in flight.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
