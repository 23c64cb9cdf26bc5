//! Connection pool for backend servers.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ids::FastMap;
use tokio::{net::TcpStream, time::timeout};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Number of shards of the pool; each has a lock of its own.
const SHARDS: usize = 8;

/// HTTP/1.1 connection, which carries one request at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Idle connections by server address.
#[derive(Default)]
pub(crate) struct Pool {
    shards: [Mutex<FastMap<SocketAddr, Vec<Connection>>>; SHARDS],
}

impl Pool {
    /// Takes an idle connection that is still open.
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

    /// Puts a connection back into the pool, unless the server has enough idle ones.
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

/// Opens a connection; `None` if the server cannot be reached.
pub(crate) async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The request that uses the connection receives its error as well.
        let _ = connection.await;
    });
    Some(sender)
}
