//! A connection on which responses may have statuses that an HTTP library doesn't send.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use hyper::StatusCode;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::behaviour::{Behaviour, Controls};

/// Begin of the responses whose status is replaced.
const REPLACED: &[u8] = b"HTTP/1.1 299";

/// Length of the part of [`REPLACED`] before the status.
const STATUS_AT: usize = REPLACED.len() - 3;

/// Returns the status that stands for the one of [`Behaviour::Answering`] until it is written.
pub(crate) fn replaced_status() -> StatusCode {
    StatusCode::from_u16(299).expect("a valid status")
}

/// Replaces the status of responses as the behaviour says.
pub(crate) struct StatusStream {
    stream: TcpStream,
    controls: Arc<Controls>,
}

impl StatusStream {
    pub(crate) fn new(stream: TcpStream, controls: Arc<Controls>) -> Self {
        Self { stream, controls }
    }
}

impl AsyncRead for StatusStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

// Writes are not vectored, so that each response begins a buffer.
impl AsyncWrite for StatusStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Behaviour::Answering(status) = self.controls.behaviour() else {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        };
        let Some(rest) = buf.strip_prefix(REPLACED) else {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        };
        let status = format!("{status:03}");
        let replaced = [&REPLACED[..STATUS_AT], status.as_bytes(), rest].concat();
        Pin::new(&mut self.stream).poll_write(cx, &replaced)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
