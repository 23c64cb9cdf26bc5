//! A minimal HTTP client, which gives tests control over its connections.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use hyper::HeaderMap;

/// A complete response.
pub struct HttpResponse {
    pub status: u16,
    /// Status line and headers as received.
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns the `retry-after` header in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        header_map(&self.head).get("retry-after")?.to_str().ok()?.parse().ok()
    }

    /// Returns whether the sender closes the connection after the response.
    pub fn closes_connection(&self) -> bool {
        self.head.to_ascii_lowercase().contains("connection: close")
    }

    /// Returns the address in the `location` header.
    pub fn redirect_address(&self) -> Option<SocketAddr> {
        let headers = header_map(&self.head);
        let location = headers.get("location")?.to_str().ok()?;
        location.strip_prefix("http://")?.split('/').next()?.parse().ok()
    }
}

/// Sends a request over a new connection; returns `None` unless a complete response arrives.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    send(&mut stream, method, path, headers, body)?;
    receive(&mut stream)
}

/// Writes a request; returns `None` if the connection is broken.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Option<()> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n").as_bytes()).ok()?;
    stream.write_all(body).ok()
}

/// Reads a response; returns `None` if the connection ends before it is complete.
pub fn receive(stream: &mut TcpStream) -> Option<HttpResponse> {
    let mut buf = Vec::new();
    let head = read_head(stream, &mut buf)?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length =
        header_map(&head).get("content-length").and_then(|it| it.to_str().ok()?.parse().ok());
    let length: usize = length.unwrap_or(0);
    let mut body = buf;
    let missing = length.checked_sub(body.len())?;
    let mut rest = vec![0; missing];
    stream.read_exact(&mut rest).ok()?;
    body.extend(rest);
    Some(HttpResponse { status, head, body })
}

/// Reads the head of a request or response and keeps further bytes in `buf`; returns `None` at the
/// end of the connection.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = buf.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut chunk = [0; 4_096];
        let read = stream.read(&mut chunk).ok().filter(|it| *it > 0)?;
        buf.extend_from_slice(&chunk[..read]);
    }
}

/// Parses the headers of a head, skipping invalid ones.
pub fn header_map(head: &str) -> HeaderMap {
    let lines = head.lines().skip(1).filter_map(|it| it.split_once(':'));
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = hyper::header::HeaderName::from_bytes(name.trim().as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.trim().parse()) {
            headers.insert(name, value);
        }
    }
    headers
}
