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

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

pub(crate) async fn accept_all(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let faults = faults.clone();
        tokio::spawn(async move {
            let mut closed = faults.subscribe_closed();
            tokio::select! {
                () = forward(stream, target, &faults) => {}
                _ = closed.wait_for(|it| *it) => {}
            }
        });
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, faults: &Faults) {
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    // Without it small messages would wait for each other.
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (near_rx, near_tx) = stream.into_split();
    let (far_rx, far_tx) = upstream.into_split();
    let forward = copy(near_rx, far_tx, faults.subscribe(Direction::Forward));
    let backward = copy(far_rx, near_tx, faults.subscribe(Direction::Backward));
    tokio::join!(forward, backward);
}

async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut fault: watch::Receiver<Fault>) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut passed = 0;
    loop {
        let Ok(read) = rx.read(&mut buf).await else { return };
        // A frozen direction shows neither data nor its end.
        if fault.wait_for(|it| *it != Fault::Frozen).await.is_err() {
            return;
        }
        if read == 0 {
            return;
        }
        let current = *fault.borrow();
        let mut size = read;
        match current {
            Fault::Cut => continue,
            Fault::Delay(delay) => sleep(delay).await,
            Fault::Truncate(limit) => size = read.min(limit.saturating_sub(passed)),
            Fault::None | Fault::Frozen | Fault::Loss(_) | Fault::Reorder(_) => {}
        }
        passed += size;
        if tx.write_all(&buf[..size]).await.is_err() || size < read {
            return;
        }
    }
}
