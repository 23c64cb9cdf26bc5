//! A client's connection that accounts for what passes, and that is closed so that the client receives
//! the whole last response.

use std::{
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::connections::ConnectionState;

/// Maximum time that a client may take to close its side of a connection.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum number of bytes of one read: hyper doubles the buffer of a connection whenever a read fills
/// its first 8 KiB.
const MAX_READ_LEN: usize = 8 * 1024 - 1;

/// Maximum number of bytes that are discarded in one read.
const DISCARD_LEN: usize = 1024;

/// A stream whose shutdown waits until the client closes its side, and discards what it still sends.
///
/// A socket that is closed with unread bytes is reset, which can destroy a response that the client
/// has not read yet.
pub(crate) struct ClientStream {
    stream: TcpStream,
    client: Rc<ConnectionState>,
    /// Ends a write of which the client reads nothing.
    stall: Option<Pin<Box<Sleep>>>,
    /// Ends the wait for the client, from the moment at which this side is shut down.
    linger: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, client: Rc<ConnectionState>) -> Self {
        Self { stream, client, stall: None, linger: None }
    }

    fn resize_send_buffer(&self) {
        if let Some(bytes) = self.client.take_send_buffer() {
            log_error(SockRef::from(&self.stream).set_send_buffer_size(bytes as usize));
        }
    }

    /// Accounts for the result of a write, and fails when the client has read nothing for too long.
    fn end_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = result {
            self.stall = None;
            if let Ok(written) = &result {
                self.client.written(*written);
            }
            return Poll::Ready(result);
        }
        let stall_time = self.client.stall_time();
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(stall_time)));
        ready!(stall.as_mut().poll(cx));
        self.client.cut_off();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

fn log_error(result: io::Result<()>) {
    if let Err(e) = result {
        log::debug!(error:% = e; "a buffer of a client's socket keeps its size");
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(bytes) = self.client.take_receive_buffer() {
            log_error(SockRef::from(&self.stream).set_recv_buffer_size(bytes as usize));
        }
        let len = buf.remaining().min(MAX_READ_LEN);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        if read > 0 && self.client.received(read).is_err() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.resize_send_buffer();
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.end_write(cx, result)
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
        self.resize_send_buffer();
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.end_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
