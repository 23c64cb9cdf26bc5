//! A connection that is closed so that its client receives the whole last response.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Maximum time that a client may take to close its side of a connection.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum number of bytes that are discarded in one read.
const DISCARD_LEN: usize = 1024;

/// A stream whose shutdown waits until the client closes its side, and discards what it still sends.
///
/// A socket that is closed with unread bytes is reset, which can destroy a response that the client
/// has not read yet.
pub(crate) struct LingeringStream {
    stream: TcpStream,
    /// Ends the wait for the client, from the moment at which this side is shut down.
    linger: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, linger: None }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let linger = this.linger.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        while linger.as_mut().poll(cx).is_pending() {
            let mut discarded = [0; DISCARD_LEN];
            let mut buf = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
