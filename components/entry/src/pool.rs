//! Connections to backend servers.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ids::FastMap;
use tokio::{net::TcpStream, time::timeout};

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Shards of the idle connections, each under its own lock.
const SHARDS: usize = 8;

/// A connection that can carry one request at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Idle connections by server address.
#[derive(Default)]
pub(crate) struct Pool {
    shards: [Mutex<FastMap<SocketAddr, Vec<Connection>>>; SHARDS],
}

impl Pool {
    /// An idle connection that is still open.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.shard(address).lock().expect("no holder panics");
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Keeps a connection for a later request.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.shard(address).lock().expect("no holder panics");
        let connections = idle.entry(address).or_default();
        connections.retain(|it| !it.is_closed());
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<FastMap<SocketAddr, Vec<Connection>>> {
        &self.shards[usize::from(address.port()) % SHARDS]
    }
}

/// Opens a connection; `None` when the server cannot be reached.
pub(crate) async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Its error reaches the request that used the connection.
        let _ = connection.await;
    });
    Some(sender)
}
