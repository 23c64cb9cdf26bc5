//! A response body that can be cut off in the middle.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The error that makes hyper close a connection, as the server's behaviour demands.
#[derive(Debug)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was closed on purpose")
    }
}

impl std::error::Error for Aborted {}

/// A body whose length is announced, and of which all or only half is sent.
pub(crate) struct ResponseBody {
    data: Option<Bytes>,
    announced_bytes: u64,
    is_cut_off: bool,
}

impl ResponseBody {
    /// Returns a body that is sent completely.
    pub(crate) fn complete(data: Vec<u8>) -> Self {
        Self { announced_bytes: data.len() as u64, data: Some(data.into()), is_cut_off: false }
    }

    /// Returns a body of which only the first half is sent.
    pub(crate) fn cut_off(mut data: Vec<u8>) -> Self {
        let announced_bytes = data.len() as u64;
        data.truncate(data.len() / 2);
        Self { announced_bytes, data: Some(data.into()), is_cut_off: true }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.data.take() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None if self.is_cut_off => Poll::Ready(Some(Err(Aborted))),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced_bytes)
    }
}
