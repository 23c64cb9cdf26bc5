//! Sends and receives messages as UDP datagrams, without retransmission.

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::UdpSocket, sync::mpsc};

use crate::{Inbox, MAX_DATAGRAM_BYTES, Stats};

/// A sealed message and its destination.
pub(crate) struct Datagram {
    pub(crate) address: SocketAddr,
    pub(crate) data: Vec<u8>,
}

/// Sends queued datagrams until the channel is closed.
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

/// Receives datagrams until the inbox is closed.
pub(crate) async fn receive_all(socket: Arc<UdpSocket>, inbox: Inbox) -> io::Result<()> {
    // The extra byte tells an oversized datagram from one of the maximum size.
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    while !inbox.tx.is_closed() {
        // An error here is an ICMP reply to a datagram sent earlier, such as port unreachable.
        let Ok((received, _)) = socket.recv_from(&mut buf).await else { continue };
        if received > MAX_DATAGRAM_BYTES {
            inbox.stats.count_malformed();
            continue;
        }
        inbox.deliver(&buf[..received]).await;
    }
    Ok(())
}
