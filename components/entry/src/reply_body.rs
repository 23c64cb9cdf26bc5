//! Body of a response to a caller.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::memory::Reservation;

/// Complete body that holds its memory reservation until it is sent.
pub(crate) struct ReplyBody {
    data: Full<Bytes>,
    _reservation: Option<Reservation>,
}

impl ReplyBody {
    pub(crate) fn new(data: Bytes, reservation: Option<Reservation>) -> Self {
        Self { data: Full::new(data), _reservation: reservation }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.data).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.data.size_hint()
    }
}
