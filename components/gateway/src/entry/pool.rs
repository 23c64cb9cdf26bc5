//! A pool of idle connections to backend servers.

use std::{
    cell::RefCell,
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ids::{FastMap, Millis, Timestamp};
use tokio::{net::TcpSocket, task::AbortHandle, time::timeout};

use crate::body::RequestBody;

/// Timeout for a new connection: several round trips to the farthest region, but less than the
/// second after which a lost SYN packet is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum size of the buffers of a connection, and so of the head of a response, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 2;

/// Why no connection could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// No process accepts connections at the address.
    Refused,
    /// It failed otherwise, or took too long.
    Failed,
}

/// A connection to a backend server; dropping it closes the socket immediately.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<RequestBody>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection without a request in flight.
struct IdleConnection {
    connection: Connection,
    reusable_until: Timestamp,
}

/// Opens connections from the address of this host, and keeps idle ones by server address.
pub(crate) struct Pool {
    own_ip: Ipv4Addr,
    idle: RefCell<FastMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    pub(crate) fn new(own_ip: Ipv4Addr) -> Self {
        Self { own_ip, idle: RefCell::default() }
    }

    /// Takes an idle connection that is not known to be closed by the server.
    pub(crate) fn take(&self, now: Timestamp, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(it) = connections.pop() {
            if now < it.reusable_until && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Opens a connection, unless that takes too long.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        match timeout(CONNECT_TIMEOUT, open(self.own_ip, address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) => {
                log::debug!(server_address:% = address, error:% = e; "cannot connect to the server");
                match e.kind() {
                    io::ErrorKind::ConnectionRefused => Err(ConnectError::Refused),
                    _ => Err(ConnectError::Failed),
                }
            }
            Err(_) => {
                log::debug!(server_address:% = address; "connecting to the server timed out");
                Err(ConnectError::Failed)
            }
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Keeps a connection for a later request.
    pub(crate) fn put(
        &self,
        now: Timestamp,
        address: SocketAddr,
        connection: Connection,
        reusable_for: Millis,
    ) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(|it| now < it.reusable_until && !it.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { connection, reusable_until: now + reusable_for });
        }
    }
}

async fn open(own_ip: Ipv4Addr, address: SocketAddr) -> io::Result<Connection> {
    let socket = match address {
        SocketAddr::V4(_) => {
            let socket = TcpSocket::new_v4()?;
            socket.bind((own_ip, 0).into())?;
            socket
        }
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        // The request on this connection receives the error as well.
        if let Err(e) = connection.await {
            log::debug!(error:% = e; "connection to a server failed");
        }
    });
    Ok(Connection { sender, driver: driver.abort_handle() })
}
