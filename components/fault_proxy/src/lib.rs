//! A proxy for TCP and UDP that injects network faults, for tests with real processes.
//!
//! It listens on one port for both protocols and forwards to one target address. Each direction has
//! its own fault, which can be changed at any time.

mod datagrams;
mod faults;
mod streams;

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
};

pub use crate::faults::Fault;
use crate::faults::Faults;

/// A running proxy; dropping it closes its connections.
pub struct FaultProxy {
    address: SocketAddr,
    faults: Arc<Faults>,
    tasks: [JoinHandle<()>; 2],
}

/// Maximum attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 16;

impl FaultProxy {
    /// Starts a proxy for `target`; `seed` determines the random losses and delays of datagrams.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let (listener, socket) = bind_both().await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Faults::new(seed));
        let tasks = [
            tokio::spawn(streams::accept_all(listener, target, faults.clone())),
            tokio::spawn(datagrams::forward_all(socket, target, faults.clone())),
        ];
        Ok(Self { address, faults, tasks })
    }

    /// Returns the address that clients use instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for data sent to the target.
    pub fn set_forward(&self, fault: Fault) {
        self.faults.set_forward(fault);
    }

    /// Sets the fault for data sent by the target.
    pub fn set_backward(&self, fault: Fault) {
        self.faults.set_backward(fault);
    }

    /// Sets the fault for both directions.
    pub fn set(&self, fault: Fault) {
        self.set_forward(fault);
        self.set_backward(fault);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.faults.close();
    }
}

async fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) if attempt == BIND_ATTEMPTS => return Err(e),
            Err(_) => {}
        }
    }
}
