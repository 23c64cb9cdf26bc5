//! The open connections of callers and other clients, what happens on each, and their end.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use client_memory::{
    LARGE_RECEIVE_BUFFER_BYTES, LARGE_SEND_BUFFER_BYTES, Listener, RECEIVE_BUFFER_BYTES, Refusal,
    SEND_BUFFER_BYTES, SMALL_BYTES, Stage,
};
use ids::{ByteSize, ClientId, Millis};
use tokio::sync::{Notify, watch};

use crate::clients::Clients;

/// What is known of a connection and of the latest request on it.
pub(crate) struct ConnectionState {
    peer: SocketAddr,
    /// One that has served a request stays in the last stage until the next request arrives.
    stage: Cell<Stage>,
    /// Id of the request if it has one, otherwise its path.
    request: RefCell<Rc<str>>,
    clients: Rc<Clients>,
    id: ClientId,
    receive_buffer: BufferSize,
    send_buffer: BufferSize,
    /// Accounts for a large send buffer, until it is known to have been read.
    unread: RefCell<Option<Charge>>,
    is_evicted: Cell<bool>,
    eviction: Notify,
}

impl ConnectionState {
    /// Returns the address of the client.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Records that the head of a request was received.
    pub(crate) fn begin_request(&self, path: &str) {
        self.stage.set(Stage::ReadsBody);
        self.clients.enter(self.id, Stage::ReadsBody);
        self.name_request(path.into());
    }

    /// Records that a request is complete and may run from now on; it must not if there is no room.
    pub(crate) fn begin_work(&self) -> Result<(), Refusal> {
        self.clients.try_enter(self.id, Stage::InWork)?;
        self.stage.set(Stage::InWork);
        self.receive_buffer.set(RECEIVE_BUFFER_BYTES);
        Ok(())
    }

    /// Records that a response is being written; a client for which there is no room is cut off.
    pub(crate) fn begin_response(&self, len: usize) {
        self.stage.set(Stage::WritesResponse);
        self.receive_buffer.set(RECEIVE_BUFFER_BYTES);
        if self.clients.try_enter(self.id, Stage::WritesResponse).is_err() {
            self.evict();
        }
        if len as u64 <= SEND_BUFFER_BYTES {
            return;
        }
        let mut unread = self.unread.borrow_mut();
        if unread.is_none() {
            let size = ByteSize((len as u64).min(LARGE_SEND_BUFFER_BYTES));
            *unread = self.hold(size).ok();
        }
        if let Some(unread) = &*unread {
            self.send_buffer.set(unread.size.0);
        }
    }

    /// Names the request by its id.
    pub(crate) fn name_request(&self, request: Rc<str>) {
        *self.request.borrow_mut() = request;
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Records that all of the response is on its way; nothing more is held for its request.
    pub(crate) fn response_queued(&self) {
        self.send_buffer.set(SEND_BUFFER_BYTES);
        self.clients.enter(self.id, Stage::Idle);
    }

    /// Returns the new size of the socket's receive buffer if it has changed, in bytes.
    pub(crate) fn take_receive_buffer(&self) -> Option<u64> {
        self.receive_buffer.take_change()
    }

    /// Returns the new size of the socket's send buffer if it has changed, in bytes.
    pub(crate) fn take_send_buffer(&self) -> Option<u64> {
        self.send_buffer.take_change()
    }

    /// Records bytes that have arrived; an error means that they can't be held.
    pub(crate) fn received(&self, len: usize) -> Result<(), Refusal> {
        self.clients.received(self.id, ByteSize(len as u64))
    }

    /// Records bytes that were written.
    pub(crate) fn written(&self, len: usize) {
        self.clients.written(self.id, ByteSize(len as u64));
        // A socket with a small buffer takes more only after most was read.
        if self.send_buffer.applied.get() == SEND_BUFFER_BYTES {
            self.unread.take();
        }
    }

    /// Begins to hold a body, whose client stops waiting after `time_left`.
    pub(crate) fn begin_body(
        &self,
        announced: Option<ByteSize>,
        time_left: Option<Duration>,
    ) -> Result<Charge, Refusal> {
        let deadline = time_left.map(|it| {
            self.clients.now() + Millis(u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
        });
        self.clients.begin_body(self.id, announced, deadline)?;
        let mut charge = self.charge(announced.unwrap_or_default());
        if announced.is_some_and(|it| it.0 > SMALL_BYTES)
            && charge.add(ByteSize(LARGE_RECEIVE_BUFFER_BYTES)).is_ok()
        {
            self.receive_buffer.set(LARGE_RECEIVE_BUFFER_BYTES);
        }
        Ok(charge)
    }

    /// Holds a part of a body or of a response.
    pub(crate) fn hold(&self, size: ByteSize) -> Result<Charge, Refusal> {
        self.clients.hold(self.id, size)?;
        Ok(self.charge(size))
    }

    fn charge(&self, size: ByteSize) -> Charge {
        Charge { clients: self.clients.clone(), id: self.id, size }
    }

    /// Returns the longest time in which the client may send or read nothing.
    pub(crate) fn stall_time(&self) -> Duration {
        self.clients.stall_time()
    }

    /// Returns the time after which there may be room for what was refused.
    pub(crate) fn retry_after(&self) -> Millis {
        self.clients.retry_after()
    }

    /// Records that the client is cut off after the longest time without progress.
    pub(crate) fn cut_off(&self) {
        self.clients.cut_off();
    }

    /// Tells the connection that its client gives way.
    pub(crate) fn evict(&self) {
        self.is_evicted.set(true);
        self.eviction.notify_waiters();
    }

    /// Returns whether the client gives way.
    pub(crate) fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Waits until the client gives way.
    pub(crate) async fn evicted(&self) {
        let notified = self.eviction.notified();
        if !self.is_evicted.get() {
            notified.await;
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.clients.close(self.id);
    }
}

/// Size of a buffer of a socket, in bytes.
struct BufferSize {
    wanted: Cell<u64>,
    applied: Cell<u64>,
}

impl BufferSize {
    fn new(bytes: u64) -> Self {
        Self { wanted: Cell::new(bytes), applied: Cell::new(bytes) }
    }

    fn set(&self, bytes: u64) {
        self.wanted.set(bytes);
    }

    fn take_change(&self) -> Option<u64> {
        let wanted = self.wanted.get();
        (self.applied.replace(wanted) != wanted).then_some(wanted)
    }
}

/// Accounts for memory that is held for a client, until it is dropped.
pub(crate) struct Charge {
    clients: Rc<Clients>,
    id: ClientId,
    size: ByteSize,
}

impl std::fmt::Debug for Charge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Charge({} for client {})", self.size, self.id)
    }
}

impl Charge {
    /// Accounts for more memory.
    pub(crate) fn add(&mut self, size: ByteSize) -> Result<(), Refusal> {
        self.clients.hold(self.id, size)?;
        self.size.0 += size.0;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.clients.release(self.id, self.size);
    }
}

/// Tells a listener or a connection when to close. [`Connections::close`] waits until none is held.
#[derive(Debug, Clone)]
pub(crate) struct CloseSignal(watch::Receiver<bool>);

impl CloseSignal {
    /// Waits until the connections are to be closed.
    pub(crate) async fn received(&mut self) {
        // The sender is dropped only at the end of the process.
        let _ = self.0.wait_for(|is_closing| *is_closing).await;
    }
}

/// The open connections of a process.
pub(crate) struct Connections {
    closing: watch::Sender<bool>,
    clients: Rc<Clients>,
}

impl Connections {
    pub(crate) fn new(clients: Clients) -> Self {
        Self { closing: watch::Sender::default(), clients: Rc::new(clients) }
    }

    /// Returns a signal for a listener or a connection, which it holds until it has ended.
    pub(crate) fn close_signal(&self) -> CloseSignal {
        CloseSignal(self.closing.subscribe())
    }

    /// Closes the listeners, and each connection once it has delivered the response to the request
    /// that was read from it; completes when all have ended.
    pub(crate) async fn close(&self) {
        self.closing.send_replace(true);
        self.closing.closed().await;
    }

    /// Records a new connection, which is open as long as its state is held; an error means that
    /// there are too many.
    pub(crate) fn open(
        &self,
        listener: Listener,
        peer: SocketAddr,
    ) -> Result<Rc<ConnectionState>, Refusal> {
        let id = self.clients.open(listener)?;
        let state = Rc::new(ConnectionState {
            peer,
            stage: Cell::new(Stage::Idle),
            request: RefCell::new("".into()),
            clients: self.clients.clone(),
            id,
            receive_buffer: BufferSize::new(RECEIVE_BUFFER_BYTES),
            send_buffer: BufferSize::new(SEND_BUFFER_BYTES),
            unread: RefCell::default(),
            is_evicted: Cell::new(false),
            eviction: Notify::new(),
        });
        self.clients.add(id, &state);
        Ok(state)
    }

    /// Returns whether connections of clients that gave way are still open.
    pub(crate) fn are_leaving(&self) -> bool {
        self.clients.are_leaving()
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.clients.count()
    }

    /// Logs the open connections whose requests may have no complete response yet.
    pub(crate) fn log_unfinished(&self) {
        for state in self.clients.states() {
            if state.stage.get() == Stage::Idle {
                continue;
            }
            log::warn!(
                request:% = state.request.borrow(),
                peer:% = state.peer,
                stage:% = state.stage.get();
                "connection is open at the end of the process"
            );
        }
    }
}
