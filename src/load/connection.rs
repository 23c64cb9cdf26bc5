//! A connection that is kept between requests.

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

/// One request of a load.
pub(crate) struct LoadRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) organisation: String,
    pub(crate) key: Option<String>,
}

/// A connection that is opened when it is needed.
pub(crate) struct KeptConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl KeptConnection {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Sends a request, reads the whole answer and returns its outcome, or its status code.
    pub(crate) async fn send(&mut self, request: LoadRequest) -> Result<String, HttpError> {
        let mut sender = match self.sender.take().filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let mut builder = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(header::HOST, self.address.to_string())
            .header("daisypaddle-organisation", request.organisation);
        if let Some(key) = request.key {
            builder = builder.header("idempotency-key", key);
        }
        let http = builder.body(Full::new(Bytes::new())).map_err(|_| HttpError::ConnectionLost)?;
        let response = sender.send_request(http).await.map_err(|_| HttpError::ConnectionLost)?;
        let (head, body) = response.into_parts();
        body.collect().await.map_err(|_| HttpError::ConnectionLost)?;
        self.sender = Some(sender);
        let outcome = head.headers.get("daisypaddle-outcome").and_then(|it| it.to_str().ok());
        Ok(outcome.map_or_else(|| head.status.as_u16().to_string(), str::to_owned))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let stream =
            TcpStream::connect(self.address).await.map_err(|_| HttpError::ConnectFailed)?;
        // Without it small requests would wait for each other.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| HttpError::ConnectionLost)?;
        tokio::spawn(async move {
            // Its error reaches the request.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
