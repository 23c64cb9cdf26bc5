//! Sends and receives messages over TCP, each behind its length.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use schema::MAX_FRAME_BYTES;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};

use crate::{Inbox, Stats, queue::Queued, seal::MAC_BYTES};

/// Longest wait for a connection to a peer: a lost opening packet is not waited for, since what is
/// sent is repeated anyway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a connection whose peer acknowledges nothing counts as broken.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without a message after which a connection is closed.
///
/// A peer that crashed meanwhile cannot say so, and the first message over such a connection is
/// lost. Longer than the four seconds between the lists that control hosts send each other.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Longest wait until a peer takes a message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections from peers served at once.
const MAX_INBOUND_CONNECTIONS: usize = 2048;

/// Pause after an error of accept, which mostly says that no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Length of the length in front of each message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Connects and sends until the channel is closed or no connection can be made.
pub(crate) async fn send_all(
    address: SocketAddr,
    mut rx: mpsc::Receiver<Queued>,
    stats: Arc<Stats>,
) {
    let mut unsent = None;
    loop {
        match connect_and_send(address, &mut rx, &mut unsent, &stats).await {
            ConnectionEnd::ChannelClosed => return,
            // What was not taken is sent over a new connection.
            ConnectionEnd::Lost => {}
            ConnectionEnd::Unreachable => break,
        }
    }
    rx.close();
    let queued = std::iter::from_fn(|| rx.try_recv().ok()).count();
    (0..queued + usize::from(unsent.is_some())).for_each(|_| stats.count_dropped());
}

/// Why a connection to a peer has ended.
enum ConnectionEnd {
    /// Nothing is to be sent any more.
    ChannelClosed,
    /// The connection broke.
    Lost,
    /// There was none, or it broke twice with the same message.
    Unreachable,
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            log::debug!(peer:% = address, error:% = e; "peer not reached");
            return None;
        }
        Err(_) => {
            log::debug!(peer:% = address; "peer not reached in time");
            return None;
        }
    };
    // Without it small messages would wait for each other.
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(peer:% = address, error:% = e; "messages may be delayed");
    }
    // Where the option is missing, a silent connection is noticed only once its buffer is full.
    if let Err(e) = SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT)) {
        log::debug!(peer:% = address, error:% = e; "silent connections are noticed late");
    }
    Some(stream)
}

/// Sends over one connection; a message that was not taken is left in `unsent`.
async fn connect_and_send(
    address: SocketAddr,
    rx: &mut mpsc::Receiver<Queued>,
    unsent: &mut Option<Queued>,
    stats: &Stats,
) -> ConnectionEnd {
    let Some(mut stream) = connect(address).await else { return ConnectionEnd::Unreachable };
    loop {
        let is_resend = unsent.is_some();
        let message = match unsent.take() {
            Some(message) => message,
            None => match next_message(&mut stream, rx).await {
                NextMessage::Send(message) => message,
                NextMessage::NeedsConnection(message) => {
                    *unsent = Some(message);
                    return ConnectionEnd::Lost;
                }
                NextMessage::None => return ConnectionEnd::ChannelClosed,
            },
        };
        let data = &message.data;
        let mut buf = Vec::with_capacity(LENGTH_BYTES + data.len());
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

/// What is to be sent next.
enum NextMessage {
    Send(Queued),
    /// The same, but the connection has ended meanwhile.
    NeedsConnection(Queued),
    /// Nothing more.
    None,
}

/// Waits for the next message; meanwhile notices the end of the connection, and closes it when
/// idle.
async fn next_message(stream: &mut TcpStream, rx: &mut mpsc::Receiver<Queued>) -> NextMessage {
    tokio::select! {
        biased;
        // A peer sends nothing on this connection, so that it is readable only at its end.
        _ = stream.read_u8() => {}
        message = rx.recv() => return message.map_or(NextMessage::None, NextMessage::Send),
        // An error means that the connection has ended already.
        () = sleep(IDLE_LIMIT) => drop(stream.shutdown().await),
    }
    rx.recv().await.map_or(NextMessage::None, NextMessage::NeedsConnection)
}

/// Accepts connections until the inbox is closed.
pub(crate) async fn accept_all(listener: TcpListener, inbox: Inbox) {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    while let Ok(permit) = permits.clone().acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let inbox = inbox.clone();
        tokio::spawn(async move {
            // The connection ends with its first error; the peer connects anew.
            if let Err(e) = receive_all(stream, &inbox).await {
                log::debug!(error:% = e; "connection from a peer ended");
            }
            drop(permit);
        });
    }
}

async fn receive_all(mut stream: TcpStream, inbox: &Inbox) -> io::Result<()> {
    let mut length = [0; LENGTH_BYTES];
    let mut buf = Vec::new();
    loop {
        stream.read_exact(&mut length).await?;
        let size = u32::from_le_bytes(length) as usize;
        if size > MAX_FRAME_BYTES + MAC_BYTES {
            inbox.stats.count_malformed();
            return Ok(());
        }
        // Grows with what really arrives, whatever length was claimed.
        buf.clear();
        let read = (&mut stream).take(size as u64).read_to_end(&mut buf).await?;
        if read < size || !inbox.accept(&buf).await {
            return Ok(());
        }
    }
}
