//! HTTP server for operators and monitoring.

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
use tokio::{net::TcpListener, time::timeout};

/// Maximum size of a request body.
pub const MAX_ADMIN_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum time to receive the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time to finish the requests in flight after a stop: more than the slowest response takes.
const FINISH_TIMEOUT: Duration = Duration::from_secs(15);

/// Request to the admin server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`; empty if there is none.
    pub query: String,
    /// Bearer token of the `Authorization` header.
    pub token: Option<String>,
    /// IP address of the client.
    pub client_ip: String,
    /// Complete body.
    pub body: Bytes,
}

/// Response of the admin server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// Status code.
    pub status: StatusCode,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
}

impl AdminResponse {
    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, body: Vec<u8>) -> Self {
        Self { status, content_type: "application/json", body: body.into() }
    }

    /// Creates a response with a plain text body.
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: body.into() }
    }

    /// Creates the response to a request for an unknown page.
    pub fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "no such page\n")
    }
}

/// Handles the requests that arrive at the admin address of a process.
pub trait AdminService: Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, req: AdminRequest) -> impl Future<Output = AdminResponse> + Send;
}

/// Serves requests until `stop` completes, then finishes those in flight, except for those whose
/// clients keep them open for too long.
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
            // The error of a connection affects only its client.
            let _ = connection.await;
        });
    }
    if timeout(FINISH_TIMEOUT, graceful.shutdown()).await.is_err() {
        log::warn!("connections to the admin address are open at the end of the server");
    }
    Ok(())
}

async fn handle<S: AdminService>(
    service: Arc<S>,
    client_ip: String,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let admin_response = match read_request(client_ip, req).await {
        Ok(req) => service.handle(req).await,
        Err(refusal) => refusal,
    };
    let mut response = Response::new(Full::new(admin_response.body));
    *response.status_mut() = admin_response.status;
    let content_type = header::HeaderValue::from_static(admin_response.content_type);
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
        return Err(payload_too_large());
    }
    let body = Limited::new(body, MAX_ADMIN_BODY_BYTES).collect().await;
    let body = body.map_err(|_| payload_too_large())?;
    Ok(AdminRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        token,
        client_ip,
        body: body.to_bytes(),
    })
}

fn payload_too_large() -> AdminResponse {
    AdminResponse::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or was cut off\n")
}
