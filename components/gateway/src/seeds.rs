//! Notices when the settings file names other seeds.

use std::{
    fmt, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Between two looks at the settings file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the settings file of this process.
pub(crate) struct SettingsWatch {
    path: PathBuf,
    hangups: Signal,
    modified: Option<SystemTime>,
}

impl SettingsWatch {
    pub(crate) fn start(path: PathBuf) -> io::Result<Self> {
        let modified = modified(&path);
        Ok(Self { path, hangups: signal(SignalKind::hangup())?, modified })
    }

    /// Completes when the settings may have changed.
    pub(crate) async fn changed(&mut self) {
        loop {
            tokio::select! {
                _ = self.hangups.recv() => {
                    self.modified = modified(&self.path);
                    return;
                }
                () = tokio::time::sleep(LOOK_INTERVAL) => {}
            }
            let modified = modified(&self.path);
            if modified != self.modified {
                self.modified = modified;
                return;
            }
        }
    }

    /// Reads the seeds of changed settings; settings with errors change nothing.
    pub(crate) fn read_seeds<T, E: fmt::Display>(
        &self,
        parse: fn(&str) -> Result<T, Vec<E>>,
        seeds: fn(T) -> Vec<SocketAddr>,
    ) -> Option<Vec<SocketAddr>> {
        match admin::read_settings(&self.path, parse) {
            Ok(settings) => {
                let seeds = seeds(settings);
                log::info!(seeds:? = seeds; "settings reloaded");
                Some(seeds)
            }
            Err(e) => {
                log::error!(error:% = e; "changed settings are not used");
                None
            }
        }
    }
}

/// A missing file looks unchanged until it is back.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
