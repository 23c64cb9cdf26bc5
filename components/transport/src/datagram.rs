//! Sends and receives small messages that may be lost.

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::UdpSocket, sync::mpsc};

use crate::{Inbox, MAX_DATAGRAM_BYTES, Stats};

/// A sealed message and where it goes.
pub(crate) struct Datagram {
    pub(crate) address: SocketAddr,
    pub(crate) data: Vec<u8>,
}

/// Sends until the channel is closed.
pub(crate) async fn send_all(
    socket: Arc<UdpSocket>,
    mut rx: mpsc::Receiver<Datagram>,
    stats: Arc<Stats>,
) {
    while let Some(datagram) = rx.recv().await {
        match socket.send_to(&datagram.data, datagram.address).await {
            Ok(sent) => stats.count_sent(sent),
            Err(_) => stats.count_dropped(),
        }
    }
}

/// Receives until the inbox is closed.
pub(crate) async fn receive_all(socket: Arc<UdpSocket>, inbox: Inbox) -> io::Result<()> {
    // One byte more than allowed shows a datagram that is too large.
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    while !inbox.tx.is_closed() {
        // An error here reports an earlier datagram that its peer refused.
        let Ok((received, _)) = socket.recv_from(&mut buf).await else { continue };
        if received > MAX_DATAGRAM_BYTES {
            inbox.stats.count_malformed();
            continue;
        }
        inbox.accept(&buf[..received]).await;
    }
    Ok(())
}
