//! The admin server answers, limits bodies and ends its connections when told to.

use std::sync::Arc;

use admin::{AdminRequest, AdminResponse, AdminService, MAX_ADMIN_BODY_BYTES, serve};
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

struct Echo;

impl AdminService for Echo {
    async fn handle(&self, req: AdminRequest) -> AdminResponse {
        let token = req.token.unwrap_or_default();
        AdminResponse::text(StatusCode::OK, format!("{} {} {token}", req.method, req.path))
    }
}

async fn exchange(address: std::net::SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    // A refused body resets the connection after the answer.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn requests_are_answered_until_the_stop() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    let server = tokio::spawn(serve(listener, Arc::new(Echo), async {
        let _ = stop_rx.await;
    }));

    let request = b"GET /status?x=1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer t\r\n\
                    connection: close\r\n\r\n";
    let answer = exchange(address, request).await;
    let too_large = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        MAX_ADMIN_BODY_BYTES + 1
    );
    let refused = exchange(address, too_large.as_bytes()).await;
    let garbage = exchange(address, b"\x01\x02 garbage\r\n\r\n").await;
    drop(stop_tx);
    server.await.unwrap().unwrap();

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("GET /status t"), "{answer}");
    assert!(refused.starts_with("HTTP/1.1 413"), "{refused}");
    assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");
}
