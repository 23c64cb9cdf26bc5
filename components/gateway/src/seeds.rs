//! Reloads the seeds when the settings file changes.

use std::{
    fmt, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval of checks of the settings file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the settings file of this process for changes.
pub(crate) struct SettingsWatch {
    path: PathBuf,
    sighup: Signal,
    modified_at: Option<SystemTime>,
}

impl SettingsWatch {
    pub(crate) fn start(path: PathBuf) -> io::Result<Self> {
        let modified_at = modified_at(&path);
        Ok(Self { path, sighup: signal(SignalKind::hangup())?, modified_at })
    }

    /// Waits until the settings may have changed: after a SIGHUP or a new modification time.
    pub(crate) async fn changed(&mut self) {
        loop {
            tokio::select! {
                _ = self.sighup.recv() => {
                    self.modified_at = modified_at(&self.path);
                    return;
                }
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            let modified_at = modified_at(&self.path);
            if modified_at != self.modified_at {
                self.modified_at = modified_at;
                return;
            }
        }
    }

    /// Reads the seeds from the settings file; returns `None` if that fails.
    pub(crate) fn read_seeds<T, E: fmt::Display>(
        &self,
        parse: fn(&str) -> Result<T, Vec<E>>,
        seeds_of: fn(T) -> Vec<SocketAddr>,
    ) -> Option<Vec<SocketAddr>> {
        match admin::read_settings(&self.path, parse) {
            Ok(settings) => {
                let seeds = seeds_of(settings);
                log::info!(seeds:? = seeds; "settings reloaded");
                Some(seeds)
            }
            Err(e) => {
                log::error!(error:% = e; "cannot reload the settings");
                None
            }
        }
    }
}

/// Returns the modification time of a file, or `None` if it cannot be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
