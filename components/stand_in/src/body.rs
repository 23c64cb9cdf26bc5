//! A response body that may break off in the middle.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The connection is broken off on purpose.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is broken off on purpose")
    }
}

impl std::error::Error for BrokenOff {}

/// A body of known length that is sent whole or cut off.
pub(crate) struct ScriptedBody {
    data: Option<Bytes>,
    announced: u64,
    breaks_off: bool,
}

impl ScriptedBody {
    /// A body that is sent whole.
    pub(crate) fn whole(data: Vec<u8>) -> Self {
        Self { announced: data.len() as u64, data: Some(data.into()), breaks_off: false }
    }

    /// A body of which only the first half is sent.
    pub(crate) fn cut_off(mut data: Vec<u8>) -> Self {
        let announced = data.len() as u64;
        data.truncate(data.len() / 2);
        Self { announced, data: Some(data.into()), breaks_off: true }
    }
}

impl Body for ScriptedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.data.take() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None if self.breaks_off => Poll::Ready(Some(Err(BrokenOff))),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced)
    }
}
