//! Sends and receives length-prefixed messages over TCP.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use schema::MAX_FRAME_BYTES;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};

use crate::{Inbox, Stats, queue::QueuedMessage, seal::MAC_BYTES};

/// Timeout of one attempt to connect to a peer: several round trips between regions.
///
/// TCP resends a lost SYN only after 1 s. A host that was without power when the first one was sent
/// may be back long before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of attempts to connect before the queued messages are dropped; their senders send them
/// again.
const CONNECT_ATTEMPTS: usize = 3;

/// Time that sent data may go without a TCP acknowledgement before the connection counts as broken.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without a message after which a connection is closed.
///
/// A crashed peer closes no connection, and the first message on such a connection would be lost.
/// Longer than the 4 s between the lists of entry hosts that control hosts send each other.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of writing one message to a connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum connections from peers served at once.
const MAX_INBOUND_CONNECTIONS: usize = 2048;

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Size of the length prefix of each message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Sends queued messages, reconnecting as needed, until the channel is closed or the peer is
/// unreachable.
pub(crate) async fn send_all(
    address: SocketAddr,
    mut rx: mpsc::Receiver<QueuedMessage>,
    stats: Arc<Stats>,
) {
    let mut unsent = None;
    loop {
        match connect_and_send(address, &mut rx, &mut unsent, &stats).await {
            ConnectionEnd::ChannelClosed => return,
            // A message that was not written is sent over a new connection.
            ConnectionEnd::Lost => {}
            ConnectionEnd::Unreachable => break,
        }
    }
    rx.close();
    let queued = std::iter::from_fn(|| rx.try_recv().ok()).count();
    (0..queued + usize::from(unsent.is_some())).for_each(|_| stats.count_dropped());
}

/// Why sending over a connection ended.
enum ConnectionEnd {
    /// The transport was dropped and the queue is empty.
    ChannelClosed,
    /// The connection was closed or broke; a new one may work.
    Lost,
    /// Connecting failed, or the same message failed on two connections.
    Unreachable,
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = match open_stream(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::debug!(peer:% = address, error:% = e; "cannot connect to the peer");
            return None;
        }
    };
    // Nagle's algorithm would delay small messages.
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(peer:% = address, error:% = e; "cannot set TCP_NODELAY");
    }
    // Without this option a dead connection is detected only once its send buffer is full.
    if let Err(e) = SockRef::from(&stream).set_tcp_user_timeout(Some(ACK_TIMEOUT)) {
        log::debug!(peer:% = address, error:% = e; "cannot set TCP_USER_TIMEOUT");
    }
    Some(stream)
}

/// Opens a connection; tries again only if nothing answers.
async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 0..CONNECT_ATTEMPTS {
        if let Ok(result) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            return result;
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// Connects and sends messages until the connection ends; one that was not written is left in
/// `unsent`.
async fn connect_and_send(
    address: SocketAddr,
    rx: &mut mpsc::Receiver<QueuedMessage>,
    unsent: &mut Option<QueuedMessage>,
    stats: &Stats,
) -> ConnectionEnd {
    let Some(mut stream) = connect(address).await else { return ConnectionEnd::Unreachable };
    loop {
        let is_resend = unsent.is_some();
        let message = match unsent.take() {
            Some(message) => message,
            None => match next_message(&mut stream, rx).await {
                NextMessage::Send(message) => message,
                NextMessage::Reconnect(message) => {
                    *unsent = Some(message);
                    return ConnectionEnd::Lost;
                }
                NextMessage::ChannelClosed => return ConnectionEnd::ChannelClosed,
            },
        };
        let data = &message.data;
        let mut buf = Vec::with_capacity(LENGTH_PREFIX_BYTES + data.len());
        buf.extend_from_slice(&(data.len() as u32).to_le_bytes());
        buf.extend_from_slice(data);
        match timeout(WRITE_TIMEOUT, stream.write_all(&buf)).await {
            Ok(Ok(())) => stats.count_sent(data.len()),
            Ok(Err(_)) | Err(_) => {
                *unsent = Some(message);
                return if is_resend { ConnectionEnd::Unreachable } else { ConnectionEnd::Lost };
            }
        }
    }
}

/// The result of waiting for a message to send.
enum NextMessage {
    /// The message can be sent on the current connection.
    Send(QueuedMessage),
    /// The connection has ended; the message needs a new one.
    Reconnect(QueuedMessage),
    /// There are no more messages.
    ChannelClosed,
}

/// Waits for the next message. Detects meanwhile that the peer closed the connection, and closes it
/// when it has been idle for too long.
async fn next_message(
    stream: &mut TcpStream,
    rx: &mut mpsc::Receiver<QueuedMessage>,
) -> NextMessage {
    tokio::select! {
        biased;
        // Peers send nothing on this connection, so it becomes readable only when it ends.
        _ = stream.read_u8() => {}
        message = rx.recv() => return message.map_or(NextMessage::ChannelClosed, NextMessage::Send),
        // An error means that the connection has already ended.
        () = sleep(IDLE_TIMEOUT) => drop(stream.shutdown().await),
    }
    rx.recv().await.map_or(NextMessage::ChannelClosed, NextMessage::Reconnect)
}

/// Accepts connections until the task is aborted; waits while the maximum is open.
pub(crate) async fn accept_all(listener: TcpListener, inbox: Inbox) {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    while let Ok(permit) = permits.clone().acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let inbox = inbox.clone();
        tokio::spawn(async move {
            // Any error ends the connection; the peer reconnects.
            if let Err(e) = receive_all(stream, &inbox).await {
                log::debug!(error:% = e; "connection from a peer ended");
            }
            drop(permit);
        });
    }
}

/// Receives messages until the connection ends, a message is invalid or the inbox is closed.
async fn receive_all(mut stream: TcpStream, inbox: &Inbox) -> io::Result<()> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    let mut buf = Vec::new();
    loop {
        stream.read_exact(&mut prefix).await?;
        let size = u32::from_le_bytes(prefix) as usize;
        if size > MAX_FRAME_BYTES + MAC_BYTES {
            inbox.stats.count_malformed();
            return Ok(());
        }
        // The buffer grows with the data received, not with the claimed size.
        buf.clear();
        let received = (&mut stream).take(size as u64).read_to_end(&mut buf).await?;
        if received < size || !inbox.deliver(&buf).await {
            return Ok(());
        }
    }
}
