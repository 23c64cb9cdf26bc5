//! Tests of the admin server: requests, the limit of request bodies, malformed requests and
//! shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use admin::{AdminRequest, AdminResponse, AdminService, MAX_ADMIN_BODY_BYTES, serve};
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::{sleep, timeout},
};

struct EchoService;

impl AdminService for EchoService {
    async fn handle(&self, req: AdminRequest) -> AdminResponse {
        let token = req.token.unwrap_or_default();
        AdminResponse::text(StatusCode::OK, format!("{} {} {token}", req.method, req.path))
    }
}

/// Sends a request on a connection of its own and returns the response.
async fn send_request(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut response = Vec::new();
    // The server resets the connection after the response if it refuses the body.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn server_handles_requests_until_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    let server = tokio::spawn(serve(listener, Arc::new(EchoService), async {
        let _ = stop_rx.await;
    }));

    let request = b"GET /status?x=1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer t\r\n\
                    connection: close\r\n\r\n";
    let response = send_request(address, request).await;
    let oversized = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        MAX_ADMIN_BODY_BYTES + 1
    );
    let payload_too_large = send_request(address, oversized.as_bytes()).await;
    let malformed = send_request(address, b"\x01\x02 garbage\r\n\r\n").await;
    drop(stop_tx);
    server.await.unwrap().unwrap();

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("GET /status t"), "{response}");
    assert!(payload_too_large.starts_with("HTTP/1.1 413"), "{payload_too_large}");
    assert!(malformed.starts_with("HTTP/1.1 400"), "{malformed}");
}

#[tokio::test]
async fn a_request_without_its_rest_does_not_hold_up_a_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    let server = tokio::spawn(serve(listener, Arc::new(EchoService), async {
        let _ = stop_rx.await;
    }));
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf").await.unwrap();
    sleep(Duration::from_millis(100)).await;

    drop(stop_tx);

    let ended = timeout(Duration::from_secs(30), server).await;
    assert!(ended.is_ok(), "the server waits for the rest of the request");
}
