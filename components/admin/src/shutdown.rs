//! Signals that start a planned stop.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Returns a future that completes at the first SIGTERM or SIGINT.
pub fn shutdown_signal() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
