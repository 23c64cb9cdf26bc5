//! Forwards TCP connections.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

use crate::faults::{Direction, Fault, Faults};

/// Maximum bytes read and forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Accepts and forwards connections until the task is aborted.
pub(crate) async fn accept_all(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let faults = faults.clone();
        tokio::spawn(async move {
            let mut closed = faults.subscribe_closed();
            tokio::select! {
                () = forward_connection(stream, target, &faults) => {}
                _ = closed.wait_for(|it| *it) => {}
            }
        });
    }
}

/// Forwards one connection until both directions have ended.
async fn forward_connection(stream: TcpStream, target: SocketAddr, faults: &Faults) {
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    // Nagle's algorithm would delay small messages.
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (client_rx, client_tx) = stream.into_split();
    let (target_rx, target_tx) = upstream.into_split();
    let forward = copy(client_rx, target_tx, faults.subscribe(Direction::Forward));
    let backward = copy(target_rx, client_tx, faults.subscribe(Direction::Backward));
    tokio::join!(forward, backward);
}

/// Copies one direction of a connection, subject to the current fault.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut fault: watch::Receiver<Fault>) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut forwarded = 0;
    loop {
        let Ok(read) = rx.read(&mut buf).await else { return };
        // A frozen direction holds back the end of the connection as well as data.
        if fault.wait_for(|it| *it != Fault::Frozen).await.is_err() {
            return;
        }
        if read == 0 {
            return;
        }
        let current = *fault.borrow();
        let mut size = read;
        match current {
            Fault::Blackhole => continue,
            Fault::Delay(delay) => sleep(delay).await,
            Fault::Truncate(limit) => size = read.min(limit.saturating_sub(forwarded)),
            Fault::None | Fault::Frozen | Fault::Loss(_) | Fault::Reorder(_) => {}
        }
        forwarded += size;
        if tx.write_all(&buf[..size]).await.is_err() || size < read {
            return;
        }
    }
}
