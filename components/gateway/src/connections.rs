//! The open connections of callers and other clients, what happens on each, and their end.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
};

use tokio::sync::watch;

/// What a connection is busy with. One that has served a request stays in the last stage until the next
/// request arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum Stage {
    /// awaits-request
    AwaitsRequest,
    /// reads-body
    ReadsBody,
    /// in-work
    InWork,
    /// writes-response
    WritesResponse,
}

/// What is known of a connection and of the latest request on it.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    peer: SocketAddr,
    stage: Cell<Stage>,
    /// Id of the request if it has one, otherwise its path.
    request: RefCell<Rc<str>>,
}

impl ConnectionState {
    /// Returns the address of the client.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Records that the head of a request was received.
    pub(crate) fn begin_request(&self, path: &str) {
        self.stage.set(Stage::ReadsBody);
        self.name_request(path.into());
    }

    /// Names the request by its id.
    pub(crate) fn name_request(&self, request: Rc<str>) {
        *self.request.borrow_mut() = request;
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(crate) fn enter(&self, stage: Stage) {
        self.stage.set(stage);
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
#[derive(Debug, Default)]
pub(crate) struct Connections {
    closing: watch::Sender<bool>,
    states: RefCell<Vec<Weak<ConnectionState>>>,
}

impl Connections {
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

    /// Records a new connection, which is open as long as its state is held.
    pub(crate) fn open(&self, peer: SocketAddr) -> Rc<ConnectionState> {
        let state = Rc::new(ConnectionState {
            peer,
            stage: Cell::new(Stage::AwaitsRequest),
            request: RefCell::new("".into()),
        });
        let mut states = self.states.borrow_mut();
        // Amortizes the removal of closed connections.
        if states.len() == states.capacity() {
            states.retain(|it| it.strong_count() > 0);
        }
        states.push(Rc::downgrade(&state));
        state
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.states.borrow().iter().filter(|it| it.strong_count() > 0).count()
    }

    /// Logs the open connections whose requests may have no complete response yet.
    pub(crate) fn log_unfinished(&self) {
        for state in self.states.borrow().iter().filter_map(Weak::upgrade) {
            if state.stage.get() == Stage::AwaitsRequest {
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
