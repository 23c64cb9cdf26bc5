//! Sends authenticated messages between the hosts of a fleet over UDP and TCP.

mod datagram;
mod keys;
mod purpose;
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

use crate::queue::{ByteBudget, QueuedMessage};

pub use crate::{
    keys::{FleetKeys, KeyError},
    purpose::Purpose,
    seal::{OpenError, open, seal},
    stats::{Stats, StatsSnapshot},
};

/// Maximum size of a message sent as a datagram, in bytes; larger ones go over TCP.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Capacity of each peer's TCP queue and of the datagram queue, in messages; further ones are
/// dropped.
const SEND_QUEUE_CAPACITY: usize = 1024;

/// Capacity of the queue of received messages, in messages; while it is full, the sockets are not
/// read.
const RECEIVE_QUEUE_CAPACITY: usize = 4096;

/// The identity, address and keys of this host.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// Id of this host, sent with each message.
    pub host: HostId,
    /// Incarnation of this host, sent with each message.
    pub incarnation: Incarnation,
    /// The address to bind for TCP and UDP; port 0 picks a free port.
    pub address: SocketAddr,
    /// The keys that authenticate messages.
    pub keys: FleetKeys,
}

/// The queue of messages for a peer's TCP connection.
struct PeerQueue {
    tx: mpsc::Sender<QueuedMessage>,
    budget: ByteBudget,
}

/// Sends and receives messages; dropping it ends all connections.
pub struct Transport {
    host: HostId,
    incarnation: Incarnation,
    local_address: SocketAddr,
    keys: Arc<FleetKeys>,
    stats: Arc<Stats>,
    datagram_tx: mpsc::Sender<datagram::Datagram>,
    peer_queues: Mutex<FastMap<SocketAddr, PeerQueue>>,
    total_budget: ByteBudget,
    accept_task: tokio::task::AbortHandle,
    datagram_task: tokio::task::AbortHandle,
}

impl Transport {
    /// Binds the sockets and starts receiving; returns a channel with the received messages.
    pub async fn bind(
        settings: TransportSettings,
    ) -> io::Result<(Self, mpsc::Receiver<PeerFrame>)> {
        let (listener, socket) = bind_both(settings.address).await?;
        let local_address = listener.local_addr()?;
        let socket = Arc::new(socket);
        let stats = Arc::new(Stats::default());
        let (received_tx, received_rx) = mpsc::channel(RECEIVE_QUEUE_CAPACITY);
        let inbox = Inbox {
            host: settings.host,
            keys: Arc::new(settings.keys),
            stats: stats.clone(),
            tx: received_tx,
        };
        let keys = inbox.keys.clone();
        let datagram_task = tokio::spawn(datagram::receive_all(socket.clone(), inbox.clone()));
        let accept_task = tokio::spawn(stream::accept_all(listener, inbox));
        let (datagram_tx, rx) = mpsc::channel(SEND_QUEUE_CAPACITY);
        tokio::spawn(datagram::send_all(socket, rx, stats.clone()));
        let transport = Self {
            host: settings.host,
            incarnation: settings.incarnation,
            local_address,
            keys,
            stats,
            datagram_tx,
            peer_queues: Mutex::default(),
            total_budget: ByteBudget::total(),
            accept_task: accept_task.abort_handle(),
            datagram_task: datagram_task.abort_handle(),
        };
        Ok((transport, received_rx))
    }

    /// Returns the bound address, with the port that was picked.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns the current values of all counters.
    pub fn stats(&self) -> StatsSnapshot {
        self.stats.snapshot()
    }

    /// Queues a message for a peer, without a guarantee of delivery.
    ///
    /// Membership messages, load reports, retry loans, permits and rates go by UDP if they fit into a
    /// datagram, since they tolerate loss and reordering. All others go by TCP.
    pub fn send(&self, to: HostId, address: SocketAddr, message: PeerMessage) {
        let delivery = Delivery::of(&message);
        let frame = PeerFrame { from: self.host, to, incarnation: self.incarnation, message };
        let purpose = Purpose::of(&frame.message);
        let sealed = seal(&self.keys, &frame);
        self.stats.count_queued(purpose, sealed.len());
        let fits = sealed.len() <= MAX_DATAGRAM_BYTES;
        match delivery {
            Delivery::Datagram { .. } if fits => self.send_datagram(address, sealed),
            Delivery::Datagram { or_stream: false } => self.stats.count_dropped(),
            Delivery::Datagram { or_stream: true } | Delivery::Stream => {
                self.send_stream(address, sealed);
            }
        }
    }

    /// Waits until all messages that were queued for TCP connections are written or dropped.
    ///
    /// Messages that are queued meanwhile may be dropped.
    pub async fn flush(&self) {
        self.total_budget.all_returned().await;
    }

    fn send_datagram(&self, address: SocketAddr, data: Vec<u8>) {
        if self.datagram_tx.try_send(datagram::Datagram { address, data }).is_err() {
            self.stats.count_dropped();
        }
    }

    fn send_stream(&self, address: SocketAddr, data: Vec<u8>) {
        let mut queues = self.peer_queues.lock().expect("no holder panics");
        let queue = queues.entry(address).or_insert_with(|| self.open_queue(address));
        let Some(message) = QueuedMessage::new(data, &queue.budget, &self.total_budget) else {
            return self.stats.count_dropped();
        };
        match queue.tx.try_send(message) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => self.stats.count_dropped(),
            Err(mpsc::error::TrySendError::Closed(message)) => {
                *queue = self.open_queue(address);
                if queue.tx.try_send(message).is_err() {
                    self.stats.count_dropped();
                }
            }
        }
    }

    /// Creates a queue and spawns the task that sends its messages over TCP.
    fn open_queue(&self, address: SocketAddr) -> PeerQueue {
        let (tx, rx) = mpsc::channel(SEND_QUEUE_CAPACITY);
        tokio::spawn(stream::send_all(address, rx, self.stats.clone()));
        PeerQueue { tx, budget: ByteBudget::per_peer() }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.datagram_task.abort();
    }
}

/// How a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// Over TCP.
    Stream,
    /// By UDP; if it is too large, over TCP or not at all.
    Datagram { or_stream: bool },
}

impl Delivery {
    /// Returns how a message is sent.
    ///
    /// Kinds appended to the schema never go over TCP: builds up to 287041c close a connection on
    /// which a kind arrives that they do not know, and lose what follows it.
    fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Consensus(_)
            | PeerMessage::Dissemination(_)
            | PeerMessage::Claims(_)
            | PeerMessage::Health(_)
            | PeerMessage::Limits(_)
            | PeerMessage::ClaimReport(_)
            | PeerMessage::Sync(_) => Self::Stream,
            PeerMessage::Membership(_)
            | PeerMessage::ServerLoad(_)
            | PeerMessage::RetryBudget(_)
            | PeerMessage::ServerLimit(_) => Self::Datagram { or_stream: true },
            PeerMessage::OrganisationRate(_)
            | PeerMessage::ServerWork(_)
            | PeerMessage::Quarantine(_) => Self::Datagram { or_stream: false },
        }
    }
}

/// Verifies received data and passes messages for this host to the receive queue.
#[derive(Clone)]
struct Inbox {
    host: HostId,
    keys: Arc<FleetKeys>,
    stats: Arc<Stats>,
    tx: mpsc::Sender<PeerFrame>,
}

impl Inbox {
    /// Verifies sealed data and queues its message if it is for this host.
    ///
    /// Returns `false` when the connection should end: its sender has no key of the fleet, or the
    /// receive queue is closed. A message that cannot be decoded is only dropped.
    async fn deliver(&self, data: &[u8]) -> bool {
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
            // A newer build may send kinds of messages that this one does not know.
            Err(OpenError::Decode(_)) => {
                self.stats.count_malformed();
                true
            }
            Err(OpenError::TooShort) => {
                self.stats.count_malformed();
                false
            }
        }
    }
}

/// Maximum attempts to find a port that is free for both TCP and UDP.
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
