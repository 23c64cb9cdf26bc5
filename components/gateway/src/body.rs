//! Bodies of requests and responses, held in segments that are accounted for.
//!
//! What arrives is copied into segments: a chunk of a connection's buffer would keep the whole buffer
//! alive, and one contiguous buffer would be copied whenever it grows.

use std::{
    collections::VecDeque,
    convert::Infallible,
    future::{Future, pending, poll_fn},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use client_memory::Refusal;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ids::ByteSize;
use memmap2::MmapMut;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::connections::{Charge, ConnectionState};

/// Bounds of the size of a segment, in bytes; segments of a body whose length isn't known double.
const MIN_SEGMENT_BYTES: usize = 1024;
const MAX_SEGMENT_BYTES: usize = 256 * 1024;

/// Size from which a segment is a mapping of its own, in bytes. The system gets it back when it is
/// dropped, while the allocator may keep what lies below memory in use.
const MIN_MAPPED_BYTES: usize = 16 * 1024;

/// Why a body isn't held.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum BodyError {
    /// the body is too large
    TooLarge,
    /// {0}
    Refused(Refusal),
    /// the client has given way to others
    Evicted,
    /// the body does not arrive in time
    Late,
    /// the body is broken: {0}
    Broken(hyper::Error),
    /// no memory can be mapped: {0}
    NotMapped(io::Error),
}

impl BodyError {
    /// Returns whether there may be room for the body at another time.
    pub(crate) fn is_for_lack_of_room(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Evicted | Self::NotMapped(_))
    }
}

/// A body that is held for a client.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldBody {
    segments: Vec<Bytes>,
    len: usize,
    charge: Option<Rc<Charge>>,
}

impl HeldBody {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|it| &**it)
    }

    /// Returns the body in one piece, which is a copy if it has several segments.
    pub(crate) fn to_bytes(&self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [segment] => segment.clone(),
            segments => segments.concat().into(),
        }
    }

    /// Drops the bytes and returns what accounts for them.
    pub(crate) fn into_charge(self) -> Option<Rc<Charge>> {
        self.charge
    }

    /// Returns the body of a request to a server; the segments are shared.
    pub(crate) fn to_request_body(&self) -> RequestBody {
        RequestBody { segments: self.segments.iter().cloned().collect(), remaining: self.len }
    }
}

impl From<Bytes> for HeldBody {
    /// Holds bytes that are not accounted for.
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        let segments = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        Self { segments, len, charge: None }
    }
}

/// The body of a request to a server or to another gateway.
pub(crate) struct RequestBody {
    segments: VecDeque<Bytes>,
    remaining: usize,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.segments.pop_front() else { return Poll::Ready(None) };
        self.remaining -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}

/// The body of a response to a client.
pub(crate) struct ReplyBody {
    segments: VecDeque<Bytes>,
    remaining: usize,
    charge: Option<Rc<Charge>>,
    /// Told when all segments are on their way.
    client: Option<Rc<ConnectionState>>,
}

impl ReplyBody {
    pub(crate) fn len(&self) -> usize {
        self.remaining
    }

    pub(crate) fn is_charged(&self) -> bool {
        self.charge.is_some()
    }

    /// Accounts for the body, and tells the client's connection when it is on its way.
    pub(crate) fn attach(&mut self, charge: Option<Charge>, client: Rc<ConnectionState>) {
        if let Some(charge) = charge {
            self.charge = Some(Rc::new(charge));
        }
        self.client = Some(client);
    }
}

impl From<HeldBody> for ReplyBody {
    fn from(body: HeldBody) -> Self {
        let HeldBody { segments, len, charge } = body;
        Self { segments: segments.into(), remaining: len, charge, client: None }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        HeldBody::from(bytes).into()
    }
}

impl Drop for ReplyBody {
    fn drop(&mut self) {
        if let Some(client) = &self.client {
            client.response_queued();
        }
    }
}

impl Body for ReplyBody {
    type Data = ReplySegment;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<ReplySegment>, Infallible>>> {
        let Some(bytes) = self.segments.pop_front() else { return Poll::Ready(None) };
        self.remaining -= bytes.len();
        let segment = ReplySegment { bytes, _charge: self.charge.clone() };
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}

/// A part of a response, accounted for until it is written to the socket.
pub(crate) struct ReplySegment {
    bytes: Bytes,
    _charge: Option<Rc<Charge>>,
}

impl Buf for ReplySegment {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// Until when a body is read.
pub(crate) struct ReadLimits {
    /// Largest body.
    pub(crate) size: ByteSize,
    /// When the client stops waiting.
    pub(crate) deadline: Option<Instant>,
    /// Longest time in which nothing arrives.
    pub(crate) stall_time: Duration,
}

/// Reads the body of a client's request.
pub(crate) async fn read_request(
    client: &Rc<ConnectionState>,
    mut body: Incoming,
    limits: ReadLimits,
) -> Result<HeldBody, BodyError> {
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let announced = body.size_hint().exact();
    if announced.is_some_and(|it| it > limits.size.0) {
        return Err(BodyError::TooLarge);
    }
    let time_left = limits.deadline.map(|it| it.saturating_duration_since(Instant::now()));
    let charge = client.begin_body(announced.map(ByteSize), time_left);
    let mut buf = BodyBuffer::new(charge.map_err(BodyError::Refused)?, announced);
    let mut wait = BodyWait::new(client, &limits);
    loop {
        let Some(frame) = poll_fn(|cx| wait.poll_frame(&mut body, cx)).await? else {
            return Ok(buf.finish());
        };
        let Ok(data) = frame.into_data() else { continue };
        if buf.len + data.len() > usize::try_from(limits.size.0).unwrap_or(usize::MAX) {
            return Err(BodyError::TooLarge);
        }
        buf.push(&data)?;
    }
}

/// Waits for the parts of a body, which may be millions.
struct BodyWait<'a> {
    client: &'a ConnectionState,
    evicted: Pin<Box<dyn Future<Output = ()> + 'a>>,
    late: Pin<Box<dyn Future<Output = ()> + 'a>>,
    stall: Option<Pin<Box<Sleep>>>,
    stall_time: Duration,
}

impl<'a> BodyWait<'a> {
    fn new(client: &'a ConnectionState, limits: &ReadLimits) -> Self {
        Self {
            client,
            evicted: Box::pin(client.evicted()),
            late: Box::pin(deadline_passed(limits.deadline)),
            stall: None,
            stall_time: limits.stall_time,
        }
    }

    fn poll_frame(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Frame<Bytes>>, BodyError>> {
        if self.client.is_evicted() {
            return Poll::Ready(Err(BodyError::Evicted));
        }
        // Before the body, which may have a part ready at each poll until long after the deadline.
        if self.late.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(BodyError::Late));
        }
        if let Poll::Ready(frame) = Pin::new(body).poll_frame(cx) {
            self.stall = None;
            return Poll::Ready(frame.transpose().map_err(BodyError::Broken));
        }
        if self.evicted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(BodyError::Evicted));
        }
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(self.stall_time)));
        ready!(stall.as_mut().poll(cx));
        self.client.cut_off();
        Poll::Ready(Err(BodyError::Late))
    }
}

async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}

/// Reads the body of a response to a client's request.
pub(crate) async fn read_response(
    client: &ConnectionState,
    mut body: Incoming,
    limit: ByteSize,
) -> Result<HeldBody, BodyError> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|it| it > limit.0) {
        return Err(BodyError::TooLarge);
    }
    let charge = client.hold(ByteSize(announced.unwrap_or(0)));
    let mut buf = BodyBuffer::new(charge.map_err(BodyError::Refused)?, announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        if buf.len + data.len() > usize::try_from(limit.0).unwrap_or(usize::MAX) {
            return Err(BodyError::TooLarge);
        }
        buf.push(&data)?;
    }
    Ok(buf.finish())
}

/// Collects a body in segments.
struct BodyBuffer {
    charge: Charge,
    /// Length of the body if it is known; it is accounted for from the begin.
    announced: Option<usize>,
    segments: Vec<Bytes>,
    current: Option<Segment>,
    len: usize,
}

impl BodyBuffer {
    fn new(charge: Charge, announced: Option<u64>) -> Self {
        let announced = announced.and_then(|it| usize::try_from(it).ok());
        Self { charge, announced, segments: Vec::new(), current: None, len: 0 }
    }

    fn push(&mut self, mut data: &[u8]) -> Result<(), BodyError> {
        while !data.is_empty() {
            let segment = match &mut self.current {
                Some(segment) => segment,
                None => {
                    let capacity = self.next_capacity(data.len());
                    if self.announced.is_none() {
                        self.charge.add(ByteSize(capacity as u64)).map_err(BodyError::Refused)?;
                    }
                    self.current.insert(Segment::new(capacity).map_err(BodyError::NotMapped)?)
                }
            };
            let written = segment.write(data);
            self.len += written;
            data = &data[written..];
            if segment.free() == 0 {
                self.segments.extend(self.current.take().map(Segment::freeze));
            }
        }
        Ok(())
    }

    fn next_capacity(&self, needed: usize) -> usize {
        match self.announced {
            Some(announced) => announced.saturating_sub(self.len).clamp(1, MAX_SEGMENT_BYTES),
            None => needed.max(self.len).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
        }
    }

    fn finish(mut self) -> HeldBody {
        self.segments.extend(self.current.take().map(Segment::freeze));
        HeldBody { segments: self.segments, len: self.len, charge: Some(Rc::new(self.charge)) }
    }
}

/// A segment that is being filled.
enum Segment {
    Heap { buf: BytesMut, capacity: usize },
    Mapped { map: MmapMut, len: usize },
}

impl Segment {
    fn new(capacity: usize) -> io::Result<Self> {
        match capacity < MIN_MAPPED_BYTES {
            true => Ok(Self::Heap { buf: BytesMut::with_capacity(capacity), capacity }),
            false => Ok(Self::Mapped { map: MmapMut::map_anon(capacity)?, len: 0 }),
        }
    }

    fn free(&self) -> usize {
        match self {
            Self::Heap { buf, capacity } => capacity - buf.len(),
            Self::Mapped { map, len } => map.len() - len,
        }
    }

    /// Writes the part of `data` that fits, and returns its length.
    fn write(&mut self, data: &[u8]) -> usize {
        let part = &data[..data.len().min(self.free())];
        match self {
            Self::Heap { buf, .. } => buf.extend_from_slice(part),
            Self::Mapped { map, len } => {
                map[*len..*len + part.len()].copy_from_slice(part);
                *len += part.len();
            }
        }
        part.len()
    }

    fn freeze(self) -> Bytes {
        match self {
            Self::Heap { buf, .. } => buf.freeze(),
            Self::Mapped { map, len } => Bytes::from_owner(map).slice(..len),
        }
    }
}
