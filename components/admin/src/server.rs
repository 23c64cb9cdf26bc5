//! A small HTTP server for requests of operators and monitoring.

use std::{convert::Infallible, future::Future, io, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Largest body of an operator's request, in bytes.
pub const MAX_ADMIN_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest wait for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// A request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminRequest {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, without `?`.
    pub query: String,
    /// The bearer token, if any.
    pub token: Option<String>,
    /// The address that the request came from.
    pub client_ip: String,
    /// The body.
    pub body: Bytes,
}

/// The answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// The status code.
    pub status: StatusCode,
    /// The media type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

impl AdminResponse {
    /// An answer in JSON.
    pub fn json(status: StatusCode, body: Vec<u8>) -> Self {
        Self { status, content_type: "application/json", body: body.into() }
    }

    /// An answer in plain text.
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: body.into() }
    }

    /// The answer for an unknown path.
    pub fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "no such page\n")
    }
}

/// Answers the requests of a process's admin address.
pub trait AdminService: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: AdminRequest) -> impl Future<Output = AdminResponse> + Send;
}

/// Serves until `stop` completes; then finishes the requests in flight.
pub async fn serve<S: AdminService>(
    listener: TcpListener,
    service: Arc<S>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut stop = pin!(stop);
    let graceful = hyper_util::server::graceful::GracefulShutdown::new();
    loop {
        let (stream, address) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(it) => it,
                Err(_) => continue,
            },
            () = &mut stop => break,
        };
        let service = service.clone();
        let client_ip = address.ip().to_string();
        let handler = service_fn(move |req| handle(service.clone(), client_ip.clone(), req));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), handler);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection concerns its peer only.
            let _ = connection.await;
        });
    }
    graceful.shutdown().await;
    Ok(())
}

async fn handle<S: AdminService>(
    service: Arc<S>,
    client_ip: String,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = match read_request(client_ip, req).await {
        Ok(req) => service.handle(req).await,
        Err(answer) => answer,
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let content_type = header::HeaderValue::from_static(answer.content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

async fn read_request(
    client_ip: String,
    req: Request<Incoming>,
) -> Result<AdminRequest, AdminResponse> {
    let (head, body) = req.into_parts();
    let token = head
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.strip_prefix("Bearer "))
        .map(str::to_owned);
    if body.size_hint().lower() > MAX_ADMIN_BODY_BYTES as u64 {
        return Err(body_refused());
    }
    let body = Limited::new(body, MAX_ADMIN_BODY_BYTES).collect().await;
    let body = body.map_err(|_| body_refused())?;
    Ok(AdminRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        token,
        client_ip,
        body: body.to_bytes(),
    })
}

fn body_refused() -> AdminResponse {
    AdminResponse::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or was cut off\n")
}
