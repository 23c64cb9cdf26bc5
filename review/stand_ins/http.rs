//! A small HTTP/1.1 client and server side, on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A parsed head of a request or response.
#[derive(Debug, Clone)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads from a stream until a deadline.
struct Reader<'a> {
    stream: &'a mut TcpStream,
    deadline: Instant,
    buf: Vec<u8>,
}

impl Reader<'_> {
    fn fill(&mut self) -> io::Result<()> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let text: Vec<u8> = self.buf.drain(..end + 4).collect();
                return parse_head(&text);
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let is_chunked =
            head.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if !is_chunked {
            let len = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            return self.exact(len);
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.exact(size)?);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

fn parse_head(text: &[u8]) -> io::Result<Head> {
    let text = String::from_utf8_lossy(text);
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Ok(Head { first_line, headers: headers.collect() })
}

/// Sends a request over a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time_limit: Duration,
) -> io::Result<Response> {
    let deadline = Instant::now() + time_limit;
    let mut stream = TcpStream::connect_timeout(&address, time_limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    send(&mut stream, method, path, headers, body)?;
    receive(&mut stream, deadline)
}

/// Writes a request.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Reads a response.
pub fn receive(stream: &mut TcpStream, deadline: Instant) -> io::Result<Response> {
    let mut reader = Reader { stream, deadline, buf: Vec::new() };
    let head = reader.head()?;
    let status = head.word(1).parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let body = reader.body(&head)?;
    Ok(Response { status, head, body })
}

/// A request as a server reads it.
pub struct Received {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Reads the next request of a connection; `rest` holds bytes that were read beyond the last one.
pub fn next_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Received> {
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut reader = Reader { stream, deadline, buf: std::mem::take(rest) };
    let head = reader.head()?;
    let body = reader.body(&head)?;
    *rest = std::mem::take(&mut reader.buf);
    Ok(Received { head, body })
}
