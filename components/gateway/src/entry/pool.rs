//! Connections to backend servers.

use std::{cell::RefCell, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ids::{FastMap, Millis, Timestamp};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Longest wait for a new connection: several round trips to the farthest region, and less than
/// the second after which a lost opening packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 2;

/// A connection to a backend server; dropping it closes the socket at once.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that waits for its next request.
struct Idle {
    connection: Connection,
    usable_until: Timestamp,
}

/// Idle connections by server address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<FastMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection that the server has not closed, as far as can be told.
    pub(crate) fn take(&self, now: Timestamp, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(it) = connections.pop() {
            if now < it.usable_until && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Keeps a connection for a later request.
    pub(crate) fn put(
        &self,
        now: Timestamp,
        address: SocketAddr,
        connection: Connection,
        usable_for: Millis,
    ) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(|it| now < it.usable_until && !it.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(Idle { connection, usable_until: now + usable_for });
        }
    }
}

/// Opens a connection; `None` when the server cannot be reached in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<Connection> {
    match timeout(CONNECT_TIMEOUT, open(address)).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(e)) => {
            log::debug!(server_address:% = address, error:% = e; "server not reached");
            None
        }
        Err(_) => {
            log::debug!(server_address:% = address; "server not reached in time");
            None
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // Its error reaches the request that used the connection, too.
        if let Err(e) = connection.await {
            log::debug!(error:% = e; "connection to a server ended");
        }
    });
    Ok(Connection { sender, task: task.abort_handle() })
}
