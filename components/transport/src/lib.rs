//! Carries authenticated messages between the hosts of a fleet over UDP and TCP.

mod datagram;
mod keys;
mod queue;
mod seal;
mod stats;
mod stream;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use ids::{FastMap, HostId, Incarnation};
use schema::peer::{PeerFrame, PeerMessage};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};

use crate::queue::{Queued, Room};

pub use crate::{
    keys::{FleetKeys, KeyError},
    seal::{OpenError, open, seal},
    stats::{Stats, StatsSnapshot},
};

/// Largest message sent as one datagram, in bytes; larger ones go over TCP.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Messages that wait for one peer's TCP connection before further ones are dropped.
const QUEUED_FRAMES_PER_PEER: usize = 1024;

/// Received messages that wait for the host.
const RECEIVED_QUEUE: usize = 4096;

/// Who this host is, and the keys it shares with its peers.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// This host.
    pub host: HostId,
    /// The start of this host's process.
    pub incarnation: Incarnation,
    /// The address to bind, for TCP and UDP; port 0 takes a free one.
    pub address: SocketAddr,
    /// The keys of the fleet.
    pub keys: FleetKeys,
}

/// What waits for the connection to a peer.
struct PeerStream {
    tx: mpsc::Sender<Queued>,
    room: Room,
}

/// Sends messages to peers; dropping it closes all connections.
pub struct Transport {
    host: HostId,
    incarnation: Incarnation,
    local_address: SocketAddr,
    keys: Arc<FleetKeys>,
    stats: Arc<Stats>,
    datagrams: mpsc::Sender<datagram::Datagram>,
    streams: Mutex<FastMap<SocketAddr, PeerStream>>,
    room: Room,
    listener: tokio::task::AbortHandle,
    reader: tokio::task::AbortHandle,
}

impl Transport {
    /// Binds the sockets; received messages arrive on the returned channel.
    pub async fn bind(
        settings: TransportSettings,
    ) -> io::Result<(Self, mpsc::Receiver<PeerFrame>)> {
        let (listener, socket) = bind_both(settings.address).await?;
        let local_address = listener.local_addr()?;
        let socket = Arc::new(socket);
        let stats = Arc::new(Stats::default());
        let (received_tx, received_rx) = mpsc::channel(RECEIVED_QUEUE);
        let inbox = Inbox {
            host: settings.host,
            keys: Arc::new(settings.keys),
            stats: stats.clone(),
            tx: received_tx,
        };
        let keys = inbox.keys.clone();
        let reader = tokio::spawn(datagram::receive_all(socket.clone(), inbox.clone()));
        let listener = tokio::spawn(stream::accept_all(listener, inbox));
        let (datagrams, rx) = mpsc::channel(QUEUED_FRAMES_PER_PEER);
        tokio::spawn(datagram::send_all(socket, rx, stats.clone()));
        let transport = Self {
            host: settings.host,
            incarnation: settings.incarnation,
            local_address,
            keys,
            stats,
            datagrams,
            streams: Mutex::default(),
            room: Room::of_all(),
            listener: listener.abort_handle(),
            reader: reader.abort_handle(),
        };
        Ok((transport, received_rx))
    }

    /// The bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counts of messages sent, received and dropped.
    pub fn stats(&self) -> StatsSnapshot {
        self.stats.snapshot()
    }

    /// Queues a message for a peer; it may be lost, like any message between hosts.
    pub fn send(&self, to: HostId, address: SocketAddr, message: PeerMessage) {
        let lossy = matches!(message, PeerMessage::Membership(_) | PeerMessage::ServerLoad(_));
        let frame = PeerFrame { from: self.host, to, incarnation: self.incarnation, message };
        let sealed = seal(&self.keys, &frame);
        if lossy && sealed.len() <= MAX_DATAGRAM_BYTES {
            self.send_datagram(address, sealed);
        } else {
            self.send_stream(address, sealed);
        }
    }

    fn send_datagram(&self, address: SocketAddr, data: Vec<u8>) {
        if self.datagrams.try_send(datagram::Datagram { address, data }).is_err() {
            self.stats.count_dropped();
        }
    }

    fn send_stream(&self, address: SocketAddr, data: Vec<u8>) {
        let mut streams = self.streams.lock().expect("no holder panics");
        let peer = streams.entry(address).or_insert_with(|| self.open_stream(address));
        let Some(message) = Queued::new(data, &peer.room, &self.room) else {
            return self.stats.count_dropped();
        };
        match peer.tx.try_send(message) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => self.stats.count_dropped(),
            Err(mpsc::error::TrySendError::Closed(message)) => {
                *peer = self.open_stream(address);
                if peer.tx.try_send(message).is_err() {
                    self.stats.count_dropped();
                }
            }
        }
    }

    fn open_stream(&self, address: SocketAddr) -> PeerStream {
        let (tx, rx) = mpsc::channel(QUEUED_FRAMES_PER_PEER);
        tokio::spawn(stream::send_all(address, rx, self.stats.clone()));
        PeerStream { tx, room: Room::of_peer() }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.listener.abort();
        self.reader.abort();
    }
}

/// Where verified messages for this host go.
#[derive(Clone)]
struct Inbox {
    host: HostId,
    keys: Arc<FleetKeys>,
    stats: Arc<Stats>,
    tx: mpsc::Sender<PeerFrame>,
}

impl Inbox {
    /// Verifies sealed data and queues its message; `false` when it is not genuine.
    async fn accept(&self, data: &[u8]) -> bool {
        match open(&self.keys, data) {
            Ok(frame) if frame.to == self.host => {
                self.stats.count_received(data.len());
                self.tx.send(frame).await.is_ok()
            }
            Ok(_) => {
                self.stats.count_misdirected();
                true
            }
            Err(OpenError::BadMac) => {
                self.stats.count_bad_mac();
                false
            }
            Err(OpenError::TooShort | OpenError::Decode(_)) => {
                self.stats.count_malformed();
                false
            }
        }
    }
}

/// Attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 16;

async fn bind_both(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && attempt < BIND_ATTEMPTS => {}
            Err(e) => return Err(e),
        }
    }
}
